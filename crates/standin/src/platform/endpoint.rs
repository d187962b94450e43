//! A substitute for an endpoint of the platform: it announces itself to its agent and runs the
//! tasks that the agent starts. A run is one execution of a task.
//!
//! The task specification sets the run time and the CPU use of a task, for example `ms=60 cpu=1000`
//! for 60 milliseconds on one core. A task whose specification contains `fail` ends as failed, and
//! one whose specification contains `deadly` crashes the endpoint soon after its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::http::{BufferedRequest, Reply, serve};
use super::run_log::RunLog;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered announcement is abandoned.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time, from the receipt of a request, for which it extends the lease of the runs, in
/// milliseconds.
const MAX_LEASE_MS: u64 = 1000;
/// Interval at which runs advance.
const TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Highest progress reported for a run that has not ended, in percent.
const MAX_RUNNING_PERCENT: f64 = 99.0;
/// Unit of the delay of a delayed request, in milliseconds.
const DELAY_STEP_MS: u64 = 300;
/// Number of different delays, from one unit to this many.
const DELAY_STEPS: u32 = 7;

/// Behaviour of an endpoint, normal or with an injected fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointBehaviour {
    /// No fault.
    Normal,
    /// Tasks take this many times their normal run time.
    Slow(u32),
    /// Tasks make no progress.
    Hanging,
    /// All tasks fail at once, those already running and those started later.
    Failing,
    /// Every nth request is executed without a reply.
    DroppingReplies(u32),
    /// Every nth request, unless it is a `/hold`, gets no reply and is executed after a delay, or
    /// never if the endpoint crashes before.
    DelayingExecution(u32),
    /// The endpoint neither replies to requests nor sends announcements.
    Unresponsive,
}

/// Number of successive incarnations with the same id.
const INCARNATIONS_PER_ID: u64 = 2;

struct Run {
    task: String,
    run_id: u64,
    /// CPU use in thousandths of a core.
    cpu: u64,
    /// Time that the run takes at normal speed.
    run_time: Duration,
    /// Part of `run_time` that has been completed.
    progress: Duration,
    fails: bool,
    is_deadly: bool,
}

struct State {
    /// Unix time of the start in milliseconds, raised if needed to exceed the previous incarnation.
    incarnation: u64,
    /// Number of restarts so far.
    restarts: u64,
    started_at: Instant,
    /// Highest fencing token received; requests with a lower one are refused.
    fencing_token: u64,
    runs: Vec<Run>,
    /// Highest number of a run of each task that has ended or was stopped.
    last_ended_runs: BTreeMap<String, u64>,
    /// Ends that the agent has not acknowledged: number of the end, task, run and outcome.
    unacked_ends: Vec<(u64, String, u64, &'static str)>,
    /// Number of the most recent end; the first end has number 1.
    last_end_number: u64,
    /// Time on the endpoint's clock, in milliseconds, after which all runs end.
    lease_until_ms: u64,
    behaviour: EndpointBehaviour,
    draining: bool,
    requests: u32,
    announcement_number: u64,
}

impl State {
    fn new(previous_incarnation: u64, restarts: u64) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            incarnation: (now.as_millis() as u64).max(previous_incarnation + 1),
            restarts,
            started_at: Instant::now(),
            fencing_token: 0,
            runs: Vec::new(),
            last_ended_runs: BTreeMap::new(),
            unacked_ends: Vec::new(),
            last_end_number: 0,
            lease_until_ms: 0,
            behaviour: EndpointBehaviour::Normal,
            draining: false,
            requests: 0,
            announcement_number: 0,
        }
    }

    /// Returns the time on the endpoint's clock, which starts at 0 with each incarnation.
    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

struct Inner {
    /// Id of the first incarnation, by which the run log names the endpoint.
    id: String,
    /// CPU capacity in thousandths of a core.
    cpu: u64,
    run_log: RunLog,
    state: Mutex<State>,
    /// Notified each time that a run ends, to wake waiting `/hold` requests.
    run_ended: Notify,
}

/// A running endpoint. Dropping it stops the server and the announcements.
pub struct PlatformEndpoint {
    inner: Arc<Inner>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for PlatformEndpoint {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl PlatformEndpoint {
    /// Starts an endpoint of `service` with `cpu` thousandths of a core. It serves on `listener`
    /// and announces itself to `agent`; starts and ends of runs go to `run_log`.
    pub fn start(
        id: &str,
        service: &str,
        cpu: u64,
        listener: TcpListener,
        agent: SocketAddr,
        run_log: RunLog,
    ) -> Self {
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            cpu,
            run_log,
            state: Mutex::new(State::new(0, 0)),
            run_ended: Notify::new(),
        });
        let server_inner = inner.clone();
        let handle = move |req| server_inner.clone().handle_request(req);
        let tasks = vec![
            tokio::spawn(serve(listener, handle)),
            tokio::spawn(inner.clone().advance_runs()),
            tokio::spawn(inner.clone().announce(service.to_owned(), agent)),
        ];
        Self { inner, tasks }
    }

    /// Sets the behaviour, which stays until it is set again or the endpoint restarts.
    pub fn set_behaviour(&self, behaviour: EndpointBehaviour) {
        self.inner.state().behaviour = behaviour;
    }

    /// Sets whether the endpoint announces itself as draining.
    pub fn set_draining(&self, draining: bool) {
        self.inner.state().draining = draining;
    }

    /// Returns the id of the present incarnation.
    pub fn id(&self) -> String {
        self.inner.id_of(&self.inner.state())
    }

    /// Simulates a crash and a restart: all runs end and the endpoint starts with an empty state
    /// under a new incarnation. Each second incarnation has another id than the one before it.
    pub fn restart(&self) {
        let mut state = self.inner.state();
        self.inner.crash(&mut state);
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the mutex of the endpoint is never poisoned")
    }

    fn id_of(&self, state: &State) -> String {
        match state.restarts / INCARNATIONS_PER_ID {
            0 => self.id.clone(),
            number => format!("{}-{number}", self.id),
        }
    }

    fn crash(&self, state: &mut State) {
        for run in std::mem::take(&mut state.runs) {
            self.run_log.record(&self.id, &run.task, run.run_id, Some("crashed"));
        }
        *state = State::new(state.incarnation, state.restarts + 1);
    }

    /// Advances the runs and ends those that are done, have failed or whose lease has expired.
    async fn advance_runs(self: Arc<Self>) {
        let mut last = Instant::now();
        loop {
            sleep(TICK_INTERVAL).await;
            let elapsed = last.elapsed();
            last = Instant::now();
            let mut state = self.state();
            if state.runs.iter().any(|run| run.is_deadly) {
                self.crash(&mut state);
            }
            let speed = match state.behaviour {
                EndpointBehaviour::Slow(factor) => 1.0 / f64::from(factor.max(1)),
                EndpointBehaviour::Hanging => 0.0,
                _ => 1.0,
            };
            let failing = state.behaviour == EndpointBehaviour::Failing;
            for run in &mut state.runs {
                run.progress += elapsed.mul_f64(speed);
                run.fails |= failing;
            }
            let lease_expired = state.clock_ms() > state.lease_until_ms;
            let has_ended = |run: &Run| lease_expired || run.progress >= run.run_time || failing;
            let (ended, running): (Vec<Run>, Vec<Run>) =
                std::mem::take(&mut state.runs).into_iter().partition(has_ended);
            state.runs = running;
            for run in ended {
                let outcome = match run.fails {
                    _ if lease_expired => "lapsed",
                    true => "failed",
                    false => "done",
                };
                self.end(&mut state, &run, outcome);
            }
        }
    }

    fn end(&self, state: &mut State, run: &Run, outcome: &'static str) {
        self.run_log.record(&self.id, &run.task, run.run_id, Some(outcome));
        state.last_end_number += 1;
        let end_number = state.last_end_number;
        state.unacked_ends.push((end_number, run.task.clone(), run.run_id, outcome));
        let last_ended_run = state.last_ended_runs.entry(run.task.clone()).or_default();
        *last_ended_run = run.run_id.max(*last_ended_run);
        self.run_ended.notify_waiters();
    }

    async fn announce(self: Arc<Self>, service: String, agent: SocketAddr) {
        loop {
            let silent = self.state().behaviour == EndpointBehaviour::Unresponsive;
            if !silent {
                // An announcement that fails is repeated after the interval.
                let _ = timeout(ANNOUNCE_TIMEOUT, self.announce_once(&service, agent)).await;
            }
            sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn announce_once(&self, service: &str, agent: SocketAddr) -> Option<()> {
        let (id, body) = {
            let mut state = self.state();
            state.announcement_number += 1;
            let body = json!({
                "service": service, "address": "127.0.0.1:1", "zone": "z", "version": "v1",
                "slots": 8, "state": if state.draining { "draining" } else { "ready" },
                "coldRemainingMs": 0, "labels": ["a", "r1"], "clockMs": state.clock_ms(),
                "capacity": {"cpu": self.cpu, "memoryLimitMb": 65536, "gpus": 0},
                "sequence": state.announcement_number, "born": state.incarnation,
            });
            (self.id_of(&state), body)
        };
        let stream = TcpStream::connect(agent).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let connection_task = tokio::spawn(connection);
        let req = Request::builder()
            .method(Method::PUT)
            .uri(format!("/instances/{id}"))
            .header("host", agent.to_string())
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let response = sender.send_request(req).await;
        connection_task.abort();
        response.ok().map(|_| ())
    }

    async fn handle_request(self: Arc<Self>, req: BufferedRequest) -> Reply {
        let behaviour = self.state().behaviour;
        if behaviour == EndpointBehaviour::Unresponsive {
            return None;
        }
        let is_command = req.path != "/hold";
        let (request_number, incarnation) = {
            let mut state = self.state();
            state.requests = state.requests.wrapping_add(1);
            (state.requests, state.incarnation)
        };
        match behaviour {
            EndpointBehaviour::DroppingReplies(period)
                if request_number.is_multiple_of(period.max(1)) =>
            {
                self.execute(&req).await;
                None
            }
            EndpointBehaviour::DelayingExecution(period)
                if is_command && request_number.is_multiple_of(period.max(1)) =>
            {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(
                        u64::from(request_number % DELAY_STEPS) * DELAY_STEP_MS + DELAY_STEP_MS,
                    ))
                    .await;
                    if self.state().incarnation == incarnation {
                        self.execute(&req).await;
                    }
                });
                None
            }
            _ => self.execute(&req).await,
        }
    }

    async fn execute(&self, req: &BufferedRequest) -> Reply {
        let is_other = |id: &String| *id != self.id_of(&self.state());
        if req.expected_id.as_ref().is_some_and(is_other) {
            return Some((StatusCode::MISDIRECTED_REQUEST, clock_reply(&self.state()).1));
        }
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        match req.path.as_str() {
            "/run-start" => Some(self.start(&body)),
            "/run-stop" => Some(self.stop(&body)),
            "/hold" => Some(self.hold(&body).await),
            "/health" => Some((StatusCode::OK, Bytes::new())),
            _ => Some((StatusCode::NOT_FOUND, Bytes::new())),
        }
    }

    /// Checks the fencing token and returns a refusal if it is lower than one received before.
    fn check_fencing_token(&self, state: &mut State, body: &Value) -> Option<(StatusCode, Bytes)> {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.fencing_token {
            return Some(conflict(state, "fence"));
        }
        state.fencing_token = token;
        None
    }

    fn start(&self, body: &Value) -> (StatusCode, Bytes) {
        let mut state = self.state();
        if let Some(conflict_reply) = self.check_fencing_token(&mut state, body) {
            return conflict_reply;
        }
        let (task, run_id) = (string_of(&body["task"]), body["runId"].as_u64().unwrap_or(0));
        let deadline_ms = body["deadlineMs"].as_u64().unwrap_or(0);
        if state.last_ended_runs.get(&task).is_some_and(|last_ended_run| run_id <= *last_ended_run)
        {
            return conflict(&state, "old");
        }
        if deadline_ms < state.clock_ms() {
            return conflict(&state, "late");
        }
        extend_lease(&mut state, deadline_ms);
        if !state.runs.iter().any(|run| run.task == task) {
            let spec = string_of(&body["taskSpec"]);
            let run = Run {
                cpu: spec_value(&spec, "cpu="),
                run_time: Duration::from_millis(spec_value(&spec, "ms=")),
                progress: Duration::ZERO,
                fails: spec.contains("fail"),
                is_deadly: spec.contains("deadly"),
                task: task.clone(),
                run_id,
            };
            state.runs.push(run);
            self.run_log.record(&self.id, &task, run_id, None);
            let used: u64 = state.runs.iter().map(|run| run.cpu).sum();
            if used > self.cpu {
                self.run_log.record_overcommit(&self.id, used);
            }
        }
        clock_reply(&state)
    }

    fn stop(&self, body: &Value) -> (StatusCode, Bytes) {
        let mut state = self.state();
        if let Some(conflict_reply) = self.check_fencing_token(&mut state, body) {
            return conflict_reply;
        }
        let (task, run_id) = (string_of(&body["task"]), body["runId"].as_u64().unwrap_or(0));
        let last_ended_run = state.last_ended_runs.entry(task.clone()).or_default();
        *last_ended_run = run_id.max(*last_ended_run);
        if let Some(index) = state.runs.iter().position(|run| run.task == task) {
            let run = state.runs.remove(index);
            self.end(&mut state, &run, "stopped");
        }
        clock_reply(&state)
    }

    /// Extends the lease of the runs and lists the running and the ended ones. If all ends have
    /// been acknowledged, first waits until a run ends or the requested timeout has passed.
    async fn hold(&self, body: &Value) -> (StatusCode, Bytes) {
        let wait = Duration::from_millis(body["waitTimeoutMs"].as_u64().unwrap_or(0));
        {
            let mut state = self.state();
            if let Some(conflict_reply) = self.check_fencing_token(&mut state, body) {
                return conflict_reply;
            }
            if let Some(deadline_ms) = body["deadlineMs"].as_u64() {
                extend_lease(&mut state, deadline_ms);
            }
            let acked = body["lastAcked"].as_u64().unwrap_or(0);
            state.unacked_ends.retain(|(end_number, ..)| *end_number > acked);
        }
        let run_ended = self.run_ended.notified();
        let must_wait = self.state().unacked_ends.is_empty();
        if must_wait {
            // A timeout is normal: no run has ended within the wait.
            let _ = timeout(wait, run_ended).await;
        }
        let state = self.state();
        let progress_percent = |run: &Run| {
            let fraction = run.progress.as_secs_f64() / run.run_time.as_secs_f64().max(0.001);
            (fraction * 100.0).min(MAX_RUNNING_PERCENT) as u32
        };
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|run| json!([run.task, run.run_id, "", progress_percent(run)]))
            .collect();
        let finished: Vec<Value> = state
            .unacked_ends
            .iter()
            .map(|(end_number, task, run, outcome)| json!([end_number, task, run, outcome, ""]))
            .collect();
        let listing = json!({
            "clockMs": state.clock_ms(), "born": state.incarnation, "running": running,
            "finished": finished,
        });
        (StatusCode::OK, listing.to_string().into())
    }
}

/// Extends the lease to `deadline_ms`, at most by [`MAX_LEASE_MS`] from now.
fn extend_lease(state: &mut State, deadline_ms: u64) {
    let max_until_ms = state.clock_ms() + MAX_LEASE_MS;
    state.lease_until_ms = state.lease_until_ms.max(deadline_ms.min(max_until_ms));
}

fn clock_reply(state: &State) -> (StatusCode, Bytes) {
    (StatusCode::OK, json!({"clockMs": state.clock_ms()}).to_string().into())
}

fn conflict(state: &State, reason: &str) -> (StatusCode, Bytes) {
    let body = json!({"clockMs": state.clock_ms(), "reason": reason});
    (StatusCode::CONFLICT, body.to_string().into())
}

fn string_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns the number after `name` in a task specification, or 0 if there is none.
fn spec_value(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

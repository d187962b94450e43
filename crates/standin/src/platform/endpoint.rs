//! An endpoint: announces itself to the agent beside it and runs tasks under its orders.
//!
//! The work of a task is written in its text: `ms=60 cpu=1000`, and `fail` where it cannot be done.

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

use super::http::{Answer, Call, serve};
use super::run_log::RunLog;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which an announcement must be answered.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);
/// Longest lease granted, in milliseconds.
const MAX_LEASE_MS: u64 = 1000;
/// Time between two looks at what has ended.
const TICK: Duration = Duration::from_millis(2);

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointBehaviour {
    /// It does not.
    Normal,
    /// Tasks take so many times as long.
    Slow(u32),
    /// Tasks stand still.
    Hanging,
    /// Tasks fail.
    Failing,
    /// One order in so many is carried out and not answered.
    DroppingReplies(u32),
    /// One order in so many is not answered and carried out later.
    DelayingExecution(u32),
    /// It answers nothing and announces nothing.
    Unresponsive,
}

struct Run {
    task: String,
    number: u64,
    cpu: u64,
    work: Duration,
    done: Duration,
    fails: bool,
}

struct State {
    born: u64,
    started: Instant,
    fence: u64,
    runs: Vec<Run>,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    lease_ms: u64,
    behaviour: EndpointBehaviour,
    draining: bool,
    orders: u32,
    sequence: u64,
}

impl State {
    fn new(former_born: u64) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born: (now.as_millis() as u64).max(former_born + 1),
            started: Instant::now(),
            fence: 0,
            runs: Vec::new(),
            past: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            lease_ms: 0,
            behaviour: EndpointBehaviour::Normal,
            draining: false,
            orders: 0,
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

struct Inner {
    id: String,
    cpu: u64,
    run_log: RunLog,
    state: Mutex<State>,
    ends: Notify,
}

/// An endpoint.
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
    /// Starts an endpoint with `cpu` thousandths of a core that serves on `listener` and announces
    /// itself at `agent`.
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
            state: Mutex::new(State::new(0)),
            ends: Notify::new(),
        });
        let served = inner.clone();
        let handle = move |call| served.clone().answer(call);
        let tasks = vec![
            tokio::spawn(serve(listener, handle)),
            tokio::spawn(inner.clone().work()),
            tokio::spawn(inner.clone().announce(service.to_owned(), agent)),
        ];
        Self { inner, tasks }
    }

    /// Makes the endpoint behave in some way.
    pub fn set_behaviour(&self, behaviour: EndpointBehaviour) {
        self.inner.state().behaviour = behaviour;
    }

    /// Makes the endpoint say that it is about to leave, or that it stays.
    pub fn set_draining(&self, draining: bool) {
        self.inner.state().draining = draining;
    }

    /// Crashes the endpoint and starts it anew: it knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.inner.state();
        for run in std::mem::take(&mut state.runs) {
            self.inner.run_log.record(&self.inner.id, &run.task, run.number, Some("crashed"));
        }
        *state = State::new(state.born);
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the endpoint panics")
    }

    /// Lets tasks go on, end and lapse.
    async fn work(self: Arc<Self>) {
        let mut last = Instant::now();
        loop {
            sleep(TICK).await;
            let passed = last.elapsed();
            last = Instant::now();
            let mut state = self.state();
            let speed = match state.behaviour {
                EndpointBehaviour::Slow(factor) => 1.0 / f64::from(factor.max(1)),
                EndpointBehaviour::Hanging => 0.0,
                _ => 1.0,
            };
            let failing = state.behaviour == EndpointBehaviour::Failing;
            for run in &mut state.runs {
                run.done += passed.mul_f64(speed);
                run.fails |= failing;
            }
            let lapsed = state.clock_ms() > state.lease_ms;
            let is_over = |run: &Run| lapsed || run.done >= run.work || failing;
            let (over, rest): (Vec<Run>, Vec<Run>) =
                std::mem::take(&mut state.runs).into_iter().partition(is_over);
            state.runs = rest;
            for run in over {
                let how = match run.fails {
                    _ if lapsed => "lapsed",
                    true => "failed",
                    false => "done",
                };
                self.end(&mut state, &run, how);
            }
        }
    }

    fn end(&self, state: &mut State, run: &Run, how: &'static str) {
        self.run_log.record(&self.id, &run.task, run.number, Some(how));
        state.ends += 1;
        let number = state.ends;
        state.ended.push((number, run.task.clone(), run.number, how));
        let past = state.past.entry(run.task.clone()).or_default();
        *past = run.number.max(*past);
        self.ends.notify_waiters();
    }

    async fn announce(self: Arc<Self>, service: String, agent: SocketAddr) {
        loop {
            let silent = self.state().behaviour == EndpointBehaviour::Unresponsive;
            if !silent {
                // An agent that is away is told again.
                let _ = timeout(ANNOUNCE_LIMIT, self.announce_once(&service, agent)).await;
            }
            sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn announce_once(&self, service: &str, agent: SocketAddr) -> Option<()> {
        let body = {
            let mut state = self.state();
            state.sequence += 1;
            json!({
                "service": service, "address": "127.0.0.1:1", "zone": "z", "version": "v1",
                "slots": 8, "state": if state.draining { "draining" } else { "ready" },
                "coldRemainingMs": 0, "labels": ["a", "r1"], "clockMs": state.clock_ms(),
                "capacity": {"cpu": self.cpu, "memoryLimitMb": 65536, "gpus": 0},
                "sequence": state.sequence, "born": state.born,
            })
        };
        let stream = TcpStream::connect(agent).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let driven = tokio::spawn(connection);
        let req = Request::builder()
            .method(Method::PUT)
            .uri(format!("/instances/{}", self.id))
            .header("host", agent.to_string())
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let answered = sender.send_request(req).await;
        driven.abort();
        answered.ok().map(|_| ())
    }

    async fn answer(self: Arc<Self>, call: Call) -> Answer {
        let behaviour = self.state().behaviour;
        if behaviour == EndpointBehaviour::Unresponsive {
            return None;
        }
        let ordered = call.path != "/hold";
        let order = {
            let mut state = self.state();
            state.orders = state.orders.wrapping_add(1);
            state.orders
        };
        match behaviour {
            EndpointBehaviour::DroppingReplies(part) if order.is_multiple_of(part.max(1)) => {
                self.carry_out(&call).await;
                None
            }
            EndpointBehaviour::DelayingExecution(part)
                if ordered && order.is_multiple_of(part.max(1)) =>
            {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(u64::from(order % 7) * 300 + 300)).await;
                    self.carry_out(&call).await;
                });
                None
            }
            _ => self.carry_out(&call).await,
        }
    }

    async fn carry_out(&self, call: &Call) -> Answer {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        match call.path.as_str() {
            "/run-start" => Some(self.start(&body)),
            "/run-stop" => Some(self.stop(&body)),
            "/hold" => Some(self.hold(&body).await),
            "/health" => Some((StatusCode::OK, Bytes::new())),
            _ => Some((StatusCode::NOT_FOUND, Bytes::new())),
        }
    }

    /// Checks the fencing token, and answers where it is too low.
    fn fenced(&self, state: &mut State, body: &Value) -> Option<(StatusCode, Bytes)> {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.fence {
            return Some(refusal(state, "fence"));
        }
        state.fence = token;
        None
    }

    fn start(&self, body: &Value) -> (StatusCode, Bytes) {
        let mut state = self.state();
        if let Some(refused) = self.fenced(&mut state, body) {
            return refused;
        }
        let (task, number) = (text(&body["task"]), body["runId"].as_u64().unwrap_or(0));
        let until_ms = body["deadlineMs"].as_u64().unwrap_or(0);
        if state.past.get(&task).is_some_and(|past| number <= *past) {
            return refusal(&state, "old");
        }
        if until_ms < state.clock_ms() {
            return refusal(&state, "late");
        }
        extend(&mut state, until_ms);
        if !state.runs.iter().any(|run| run.task == task) {
            let spec = text(&body["taskSpec"]);
            let run = Run {
                cpu: number_of(&spec, "cpu="),
                work: Duration::from_millis(number_of(&spec, "ms=")),
                done: Duration::ZERO,
                fails: spec.contains("fail"),
                task: task.clone(),
                number,
            };
            state.runs.push(run);
            self.run_log.record(&self.id, &task, number, None);
            let used: u64 = state.runs.iter().map(|run| run.cpu).sum();
            if used > self.cpu {
                self.run_log.record_overcommit(&self.id, used);
            }
        }
        clock(&state)
    }

    fn stop(&self, body: &Value) -> (StatusCode, Bytes) {
        let mut state = self.state();
        if let Some(refused) = self.fenced(&mut state, body) {
            return refused;
        }
        let (task, number) = (text(&body["task"]), body["runId"].as_u64().unwrap_or(0));
        let past = state.past.entry(task.clone()).or_default();
        *past = number.max(*past);
        if let Some(at) = state.runs.iter().position(|run| run.task == task) {
            let run = state.runs.remove(at);
            self.end(&mut state, &run, "stopped");
        }
        clock(&state)
    }

    async fn hold(&self, body: &Value) -> (StatusCode, Bytes) {
        let wait = Duration::from_millis(body["waitTimeoutMs"].as_u64().unwrap_or(0));
        {
            let mut state = self.state();
            if let Some(refused) = self.fenced(&mut state, body) {
                return refused;
            }
            if let Some(until_ms) = body["deadlineMs"].as_u64() {
                extend(&mut state, until_ms);
            }
            let acked = body["lastAcked"].as_u64().unwrap_or(0);
            state.ended.retain(|(number, ..)| *number > acked);
        }
        let ended = self.ends.notified();
        let waits = self.state().ended.is_empty();
        if waits {
            // The time may pass without an end.
            let _ = timeout(wait, ended).await;
        }
        let state = self.state();
        let percent = |run: &Run| {
            let part = run.done.as_secs_f64() / run.work.as_secs_f64().max(0.001);
            (part * 100.0).min(99.0) as u32
        };
        let running: Vec<Value> =
            state.runs.iter().map(|run| json!([run.task, run.number, "", percent(run)])).collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let listing = json!({
            "clockMs": state.clock_ms(), "born": state.born, "running": running, "finished": ended,
        });
        (StatusCode::OK, listing.to_string().into())
    }
}

fn extend(state: &mut State, until_ms: u64) {
    let most = state.clock_ms() + MAX_LEASE_MS;
    state.lease_ms = state.lease_ms.max(until_ms.min(most));
}

fn clock(state: &State) -> (StatusCode, Bytes) {
    (StatusCode::OK, json!({"clockMs": state.clock_ms()}).to_string().into())
}

fn refusal(state: &State, reason: &str) -> (StatusCode, Bytes) {
    let body = json!({"clockMs": state.clock_ms(), "reason": reason});
    (StatusCode::CONFLICT, body.to_string().into())
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn number_of(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

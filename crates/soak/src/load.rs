//! Callers that submit jobs over persistent connections and retry those without a reply.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_platform::{HttpClient, HttpError};
use cowslipwing_standin::platform::{deadly_job_body, job_body};
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Time after which a request without a reply times out. Jobs are submitted with the same deadline.
/// The route of the jobs has it as its timeout.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which the caller of a long job times out, which exceeds the timeout of the route.
const LONG_JOB_TIMEOUT: Duration = Duration::from_millis(12_000);
/// Shortest and longest run time of a long job, in milliseconds.
const LONG_JOB_MS: std::ops::Range<u64> = 2000..6000;
/// Share of long jobs.
const LONG_SHARE: f64 = 0.03;
/// Pause between an attempt without a final reply and the next.
const RETRY_PAUSE: Duration = Duration::from_millis(1300);
/// Highest number of attempts of a request.
const MAX_ATTEMPTS: usize = 3;
/// Interval at which an entry is probed for a new route.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Value combined with the seed, so that the random numbers of the load differ from those of the
/// fault plan.
const LOAD_SEED_SALT: u64 = 0x10ad;

/// Value combined with the seed for the choice of deadly jobs.
const DEADLY_SEED_SALT: u64 = 0xdead;
/// Share of the jobs whose tasks crash the endpoints that start them.
const DEADLY_SHARE: f64 = 0.02;
/// Value combined with the seed for the choice of long jobs.
const LONG_SEED_SALT: u64 = 0x10c6;

/// Value combined with the seed for the choice of jobs that their callers cancel.
const CANCEL_SEED_SALT: u64 = 0xca5;
/// Share of the jobs that their callers cancel.
const CANCEL_SHARE: f64 = 0.06;
/// Share of the cancellations that go to another entry than the job.
const CANCEL_ELSEWHERE_SHARE: f64 = 0.5;
/// Time from the first submission of a job to its cancellation, in milliseconds.
const CANCEL_AFTER_MS: std::ops::Range<u64> = 10..900;

/// Settings of the submitted jobs.
pub(crate) struct LoadSettings {
    /// Average number of jobs submitted per second.
    pub(crate) jobs_per_second: u32,
    /// Time from which no job is deadly.
    pub(crate) deadly_until: Instant,
    /// Time from which no job is submitted.
    pub(crate) until: Instant,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The entry replied with this status and body.
    Answered(StatusCode, Bytes),
    /// The request could not be sent.
    Unreachable,
    /// No reply arrived before the caller timed out.
    TimedOut,
    /// The connection broke before a reply arrived.
    Broken,
}

/// A submitted job and all attempts of its caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) tasks: u32,
    /// Whether the job runs for longer than the timeout of its route.
    pub(crate) is_long: bool,
    /// Time from the first submission to the cancellation, if the caller cancels the job, and whether
    /// the cancellation goes to the next entry.
    cancel_after: Option<(Duration, bool)>,
    /// Time at which an entry has confirmed the cancellation.
    pub(crate) cancelled_at: Option<Instant>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the time for which its caller waits for a reply.
    fn timeout(&self) -> Duration {
        if self.is_long { LONG_JOB_TIMEOUT } else { REQUEST_TIMEOUT }
    }
}

/// An attempt to submit a job to an entry.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) entry: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}

/// A request that checks whether a probe route is in force at an entry.
#[derive(Clone, Debug)]
pub(crate) struct RouteProbe {
    pub(crate) entry: usize,
    pub(crate) sent_at: Instant,
    pub(crate) route: u64,
    pub(crate) in_force: bool,
}

/// The results of all callers and probes.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) requests: Mutex<Vec<Request>>,
    pub(crate) probes: Mutex<Vec<RouteProbe>>,
}

/// Submits jobs and waits for all of their callers.
pub(crate) async fn submit_jobs(
    cluster: Arc<Cluster>,
    observations: Arc<Observations>,
    seed: u64,
    settings: LoadSettings,
) {
    let LoadSettings { jobs_per_second, deadly_until, until } = settings;
    let mut rng = StdRng::seed_from_u64(seed ^ LOAD_SEED_SALT);
    // Separate, so that the other choices of a seed do not depend on it.
    let mut deadly_rng = StdRng::seed_from_u64(seed ^ DEADLY_SEED_SALT);
    let mut long_rng = StdRng::seed_from_u64(seed ^ LONG_SEED_SALT);
    let mut cancel_rng = StdRng::seed_from_u64(seed ^ CANCEL_SEED_SALT);
    let clients: Arc<Vec<HttpClient>> = Arc::new(
        (0..cluster.entries).map(|entry| HttpClient::new(cluster.caller_address(entry))).collect(),
    );
    let mut callers = tokio::task::JoinSet::new();
    while Instant::now() < until {
        // The random factor is 1 on average, which gives the requested rate.
        let pause = rng.random_range(0.2..1.8) / f64::from(jobs_per_second);
        sleep(Duration::from_secs_f64(pause)).await;
        let id = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..5);
        let (ms, cpu) = (rng.random_range(20..120), rng.random_range(500..2000));
        let is_deadly = deadly_rng.random_bool(DEADLY_SHARE) && Instant::now() < deadly_until;
        let is_long = long_rng.random_bool(LONG_SHARE) && !is_deadly;
        let tasks = if is_deadly || is_long { 1 } else { tasks };
        let body = if is_deadly {
            deadly_job_body(ms, cpu)
        } else if is_long {
            job_body(tasks, long_rng.random_range(LONG_JOB_MS), cpu)
        } else {
            job_body(tasks, ms, cpu)
        };
        let cancel_after = cancel_rng
            .random_bool(CANCEL_SHARE)
            .then(|| Duration::from_millis(cancel_rng.random_range(CANCEL_AFTER_MS)))
            .map(|after| (after, cancel_rng.random_bool(CANCEL_ELSEWHERE_SHARE)));
        let (cancelled_at, attempts) = (None, Vec::new());
        let request = Request { id, tasks, is_long, cancel_after, cancelled_at, attempts };
        let (cluster, clients) = (cluster.clone(), clients.clone());
        let observations = observations.clone();
        let first_entry = rng.random_range(0..cluster.entries);
        callers.spawn(async move {
            let request = submit_with_retries(&cluster, &clients, first_entry, request, body).await;
            observations
                .requests
                .lock()
                .expect("the mutex of the requests is never poisoned")
                .push(request);
        });
    }
    while callers.join_next().await.is_some() {}
}

/// Submits a job, to the next entry in each attempt, until a reply other than 504 arrives.
async fn submit_with_retries(
    cluster: &Cluster,
    clients: &[HttpClient],
    first_entry: usize,
    mut request: Request,
    body: Bytes,
) -> Request {
    let path = format!("/jobs/{}", request.id);
    let timeout = request.timeout();
    let timeout_ms = timeout.as_millis().to_string();
    let headers = [("host", "desk.example"), ("deadline-milliseconds", timeout_ms.as_str())];
    for attempt in 0..MAX_ATTEMPTS {
        let entry = (first_entry + attempt) % clients.len();
        let sent_at = Instant::now();
        let submission = clients[entry].call(Method::POST, &path, &headers, body.clone(), timeout);
        let cancellation = cancel(clients, entry, &path, request.cancel_after.take());
        let submission = async {
            tokio::select! {
                reply = submission => Some(reply),
                () = cluster.caller_cut(entry) => None,
            }
        };
        let (reply, cancelled_at) = tokio::join!(submission, cancellation);
        request.cancelled_at = request.cancelled_at.or(cancelled_at);
        let outcome = match reply {
            Some(Ok(reply)) => Outcome::Answered(reply.status, reply.body),
            Some(Err(HttpError::TimedOut { .. })) => Outcome::TimedOut,
            None | Some(Err(HttpError::ConnectionBroken { .. })) => Outcome::Broken,
            Some(Err(_)) => Outcome::Unreachable,
        };
        let must_retry = match &outcome {
            Outcome::Answered(status, _) => *status == StatusCode::GATEWAY_TIMEOUT,
            _ => true,
        };
        request.attempts.push(Attempt { entry, sent_at, ended_at: Instant::now(), outcome });
        if !must_retry || request.cancelled_at.is_some() {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    request
}

/// Cancels a job after a time; returns when an entry has confirmed it.
async fn cancel(
    clients: &[HttpClient],
    entry: usize,
    path: &str,
    cancel_after: Option<(Duration, bool)>,
) -> Option<Instant> {
    let (after, is_elsewhere) = cancel_after?;
    sleep(after).await;
    let client = &clients[(entry + usize::from(is_elsewhere)) % clients.len()];
    let headers = [("host", "desk.example")];
    let call = client.call(Method::DELETE, path, &headers, Bytes::new(), REQUEST_TIMEOUT);
    let reply = call.await.ok()?;
    reply.status.is_success().then(Instant::now)
}

/// Probes an entry for the newest route found in force and for the next one, until aborted.
pub(crate) async fn probe_routes(
    cluster: Arc<Cluster>,
    observations: Arc<Observations>,
    entry: usize,
) {
    let client = HttpClient::new(cluster.caller_address(entry));
    let mut newest_route = 1;
    loop {
        sleep(PROBE_INTERVAL).await;
        // Requesting the newest route again reveals that an entry has reverted its configuration.
        for requested in [newest_route, newest_route + 1] {
            let path = format!("/probe-{requested}/");
            let headers = [("host", "desk.example")];
            let call = client.call(Method::GET, &path, &headers, Bytes::new(), REQUEST_TIMEOUT);
            let sent_at = Instant::now();
            let in_force = match call.await.map(|reply| reply.status) {
                Ok(StatusCode::OK) => true,
                Ok(StatusCode::NOT_FOUND) => false,
                // An entry that has just started may not have a configuration yet.
                _ => continue,
            };
            let probe = RouteProbe { entry, sent_at, route: requested, in_force };
            observations
                .probes
                .lock()
                .expect("the mutex of the probes is never poisoned")
                .push(probe);
            if in_force {
                newest_route = requested;
            }
        }
    }
}

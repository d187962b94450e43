//! Callers: they submit jobs, keep connections open, and send again what got no answer.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cowslipwing_platform::{HttpClient, HttpError};
use cowslipwing_standin::platform::job_body;
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::fleet::Fleet;

/// Time a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Time after which a request without an answer is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(1300);
/// Times a request is sent.
const MAX_ATTEMPTS: usize = 3;
/// Time between two questions whether a route is in force.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// An answer came.
    Answered(StatusCode, Bytes),
    /// No connection could be made.
    Unreachable,
    /// No answer came in time.
    TimedOut,
    /// The connection broke.
    Broken,
}

/// A request and what its caller has seen.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) tasks: u32,
    pub(crate) attempts: Vec<Attempt>,
}

/// One attempt.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) entry: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}

/// Whether an entry knew a route.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) entry: usize,
    pub(crate) at: Instant,
    pub(crate) route: u64,
    pub(crate) known: bool,
}

/// What all callers have seen.
#[derive(Default)]
pub(crate) struct Seen {
    pub(crate) requests: Mutex<Vec<Request>>,
    pub(crate) probes: Mutex<Vec<Probe>>,
}

/// Submits jobs at a rate until `until`, and waits for their answers.
pub(crate) async fn submit(
    fleet: Arc<Fleet>,
    seen: Arc<Seen>,
    seed: u64,
    per_second: u32,
    until: Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x10ad);
    let clients: Arc<Vec<HttpClient>> =
        Arc::new((0..fleet.entries).map(|entry| HttpClient::new(fleet.callers(entry))).collect());
    let mut callers = tokio::task::JoinSet::new();
    while Instant::now() < until {
        let pause = rng.random_range(0.2..1.8) / f64::from(per_second);
        sleep(Duration::from_secs_f64(pause)).await;
        let id = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..5);
        let (ms, cpu) = (rng.random_range(20..120), rng.random_range(500..2000));
        let body = job_body(tasks, ms, cpu);
        let (clients, seen) = (clients.clone(), seen.clone());
        let first = rng.random_range(0..fleet.entries);
        callers.spawn(async move {
            let request = call(&clients, first, id, tasks, body).await;
            seen.requests.lock().expect("no holder of the requests panics").push(request);
        });
    }
    while callers.join_next().await.is_some() {}
}

async fn call(
    clients: &[HttpClient],
    first: usize,
    id: String,
    tasks: u32,
    body: Bytes,
) -> Request {
    let path = format!("/jobs/{id}");
    let patience = PATIENCE.as_millis().to_string();
    let headers = [("host", "desk.example"), ("deadline-milliseconds", patience.as_str())];
    let mut attempts = Vec::new();
    for number in 0..MAX_ATTEMPTS {
        let entry = (first + number) % clients.len();
        let sent_at = Instant::now();
        let reply =
            clients[entry].call(Method::POST, &path, &headers, body.clone(), PATIENCE).await;
        let outcome = match reply {
            Ok(reply) => Outcome::Answered(reply.status, reply.body),
            Err(HttpError::TimedOut { .. }) => Outcome::TimedOut,
            Err(HttpError::ConnectionBroken { .. }) => Outcome::Broken,
            Err(_) => Outcome::Unreachable,
        };
        let again = match &outcome {
            Outcome::Answered(status, _) => *status == StatusCode::GATEWAY_TIMEOUT,
            _ => true,
        };
        attempts.push(Attempt { entry, sent_at, ended_at: Instant::now(), outcome });
        if !again {
            break;
        }
        sleep(RESEND_AFTER).await;
    }
    Request { id, tasks, attempts }
}

/// Asks each entry whether it knows the newest route it has not confirmed, until the run ends.
pub(crate) async fn probe(fleet: Arc<Fleet>, seen: Arc<Seen>, entry: usize) {
    let client = HttpClient::new(fleet.callers(entry));
    let mut route = 1;
    loop {
        sleep(PROBE_INTERVAL).await;
        // The route found last is asked for again, so that a step back shows.
        for asked in [route, route + 1] {
            let path = format!("/probe-{asked}/");
            let headers = [("host", "desk.example")];
            let call = client.call(Method::GET, &path, &headers, Bytes::new(), PATIENCE);
            let at = Instant::now();
            let known = match call.await.map(|reply| reply.status) {
                Ok(StatusCode::OK) => true,
                Ok(StatusCode::NOT_FOUND) => false,
                // An entry that has just started knows no configuration yet.
                _ => continue,
            };
            let probe = Probe { entry, at, route: asked, known };
            seen.probes.lock().expect("no holder of the probes panics").push(probe);
            if known {
                route = asked;
            }
        }
    }
}

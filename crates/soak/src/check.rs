//! The promises, checked from what callers and endpoints have seen.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use cowslipwing_standin::platform::RunEvent as Run;
use hyper::StatusCode;

use crate::load::{Outcome, Probe, Request};

/// Time in which a published configuration must be in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Share of requests that must be served once the faults are over.
const LEAST_SERVED: f64 = 0.9;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A task ran at two places at once, or twice at one.
    ConcurrentRuns(String),
    /// An endpoint's room was exceeded.
    CapacityExceeded(String),
    /// A task of a refused job has started.
    RefusedJobStarted(String),
    /// A job was answered as complete while a task was not done.
    IncompleteJob(String),
    /// A planned stop cut a request off.
    AbortedByStop(String),
    /// An entry went back to an older configuration.
    ConfigReverted(String),
    /// A configuration was not in force in time after the faults.
    ConfigNotInForce(String),
    /// Too few requests were served after the faults.
    NotRecovered(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConcurrentRuns(what) => write!(f, "ran twice at once: {what}"),
            Self::CapacityExceeded(what) => write!(f, "room exceeded: {what}"),
            Self::RefusedJobStarted(what) => write!(f, "refused, but has run: {what}"),
            Self::IncompleteJob(what) => write!(f, "answered as complete, but is not: {what}"),
            Self::AbortedByStop(what) => write!(f, "cut off by a planned stop: {what}"),
            Self::ConfigReverted(what) => write!(f, "configuration reverted: {what}"),
            Self::ConfigNotInForce(what) => write!(f, "configuration not in force: {what}"),
            Self::NotRecovered(what) => write!(f, "not back in time: {what}"),
        }
    }
}

/// A run's outcome.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests made.
    pub requests: usize,
    /// Requests served in the end.
    pub served: usize,
    /// Tasks started.
    pub starts: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// A planned stop of an entry with no other fault near it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    pub(crate) entry: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// When faults began, ended, and what was planned.
pub(crate) struct Times {
    /// Start of the calm phase in which service must be back.
    pub(crate) calm_from: Instant,
    /// When the last configuration was published, and its route; the store is sound since before.
    pub(crate) published: (Instant, u64),
    /// Entries may restart at these times, and forget what they knew.
    pub(crate) restarts: Vec<(usize, Instant)>,
    pub(crate) stops: Vec<PlannedStop>,
}

/// Checks everything.
pub(crate) fn check(
    requests: &[Request],
    probes: &[Probe],
    runs: &[Run],
    overfull: &[(String, u64)],
    times: &Times,
) -> Report {
    let mut violations = check_runs(runs);
    violations
        .extend(overfull.iter().map(|found| Violation::CapacityExceeded(format!("{found:?}"))));
    for request in requests {
        violations.extend(check_request(request, runs));
        violations.extend(check_stops(request, runs, &times.stops));
    }
    violations.extend(check_probes(probes, times));
    violations.extend(check_recovery(requests, times));
    Report {
        requests: requests.len(),
        served: requests.iter().filter(|request| is_served(request)).count(),
        starts: runs.iter().filter(|run| run.outcome.is_none()).count(),
        violations,
    }
}

fn is_served(request: &Request) -> bool {
    let ok = |outcome: &Outcome| matches!(outcome, Outcome::Answered(StatusCode::OK, _));
    request.attempts.last().is_some_and(|attempt| ok(&attempt.outcome))
}

fn check_runs(runs: &[Run]) -> Vec<Violation> {
    let mut running: BTreeMap<&str, &Run> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in runs {
        match run.outcome {
            None => {
                if let Some(other) = running.insert(&run.task, run) {
                    let what = format!(
                        "{} run {} at {} and run {} at {}",
                        run.task, other.run, other.endpoint, run.run, run.endpoint
                    );
                    violations.push(Violation::ConcurrentRuns(what));
                }
            }
            Some(_) => {
                let same = |other: &&Run| other.run == run.run && other.endpoint == run.endpoint;
                if running.get(run.task.as_str()).is_some_and(same) {
                    running.remove(run.task.as_str());
                }
            }
        }
    }
    violations
}

fn check_request(request: &Request, runs: &[Run]) -> Option<Violation> {
    let refused = |outcome: &Outcome| {
        let refusals = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        match outcome {
            Outcome::Answered(status, _) => refusals.contains(status),
            Outcome::Unreachable => true,
            _ => false,
        }
    };
    let all_refused = request.attempts.iter().all(|attempt| refused(&attempt.outcome));
    if all_refused && runs.iter().any(|run| run.request_id() == request.id) {
        return Some(Violation::RefusedJobStarted(request.id.clone()));
    }
    let last = request.attempts.last()?;
    let Outcome::Answered(StatusCode::OK, body) = &last.outcome else {
        return None;
    };
    if !String::from_utf8_lossy(body).contains("completed") {
        return None;
    }
    let is_done = |index: &u32| {
        let name = format!("{}.0.0.{index}", request.id);
        runs.iter().any(|run| run.task == name && run.outcome == Some("done"))
    };
    let undone = (0..request.tasks).find(|index| !is_done(index));
    undone.map(|index| Violation::IncompleteJob(format!("{} task {index}", request.id)))
}

fn check_stops(request: &Request, runs: &[Run], stops: &[PlannedStop]) -> Option<Violation> {
    let cut = request.attempts.iter().find(|attempt| {
        let within = |stop: &PlannedStop| {
            stop.entry == attempt.entry
                && stop.from <= attempt.sent_at
                && attempt.ended_at <= stop.until
        };
        attempt.outcome == Outcome::Broken && stops.iter().any(within)
    })?;
    // A request that no process has read was not cut off by it.
    let started = |run: &Run| {
        run.request_id() == request.id && run.at >= cut.sent_at && run.at <= cut.ended_at
    };
    runs.iter().any(started).then(|| Violation::AbortedByStop(request.id.clone()))
}

fn check_probes(probes: &[Probe], times: &Times) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut newest: BTreeMap<usize, &Probe> = BTreeMap::new();
    for probe in probes {
        if probe.known {
            let known = newest.entry(probe.entry).or_insert(probe);
            if probe.route >= known.route {
                *known = probe;
            }
            continue;
        }
        let Some(known) = newest.get(&probe.entry) else {
            continue;
        };
        let restarted = |(entry, at): &(usize, Instant)| {
            *entry == probe.entry && *at >= known.at && *at <= probe.at
        };
        if probe.route <= known.route && !times.restarts.iter().any(restarted) {
            let what = format!("entry {} route {}", probe.entry, probe.route);
            violations.push(Violation::ConfigReverted(what));
        }
    }
    let (published_at, route) = times.published;
    let late = |probe: &&Probe| {
        probe.at > published_at + CONFIG_LIMIT && probe.route <= route && !probe.known
    };
    if let Some(probe) = probes.iter().find(late) {
        let what = format!("entry {} route {}", probe.entry, probe.route);
        violations.push(Violation::ConfigNotInForce(what));
    }
    violations
}

fn check_recovery(requests: &[Request], times: &Times) -> Option<Violation> {
    let calm = |request: &&Request| {
        request.attempts.first().is_some_and(|attempt| attempt.sent_at >= times.calm_from)
    };
    let (mut served, mut all) = (0, 0);
    for request in requests.iter().filter(calm) {
        all += 1;
        served += usize::from(request.attempts.len() == 1 && is_served(request));
    }
    let share = f64::from(served as u32) / f64::from(all.max(1) as u32);
    (share < LEAST_SERVED).then(|| Violation::NotRecovered(format!("{served} of {all} served")))
}

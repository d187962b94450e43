//! The promises, checked from what callers and endpoints have seen.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use cowslipwing_standin::platform::Seen as Run;
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
    RanTwice(String),
    /// An endpoint's room was exceeded.
    Overfull(String),
    /// A task of a refused job has started.
    RefusedButRan(String),
    /// A job was answered as complete while a task was not done.
    Incomplete(String),
    /// A planned stop cut a request off.
    CutOff(String),
    /// An entry went back to an older configuration.
    Reverted(String),
    /// A configuration was not in force in time after the faults.
    NotInForce(String),
    /// Too few requests were served after the faults.
    NotBack(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanTwice(what) => write!(f, "ran twice at once: {what}"),
            Self::Overfull(what) => write!(f, "room exceeded: {what}"),
            Self::RefusedButRan(what) => write!(f, "refused, but has run: {what}"),
            Self::Incomplete(what) => write!(f, "answered as complete, but is not: {what}"),
            Self::CutOff(what) => write!(f, "cut off by a planned stop: {what}"),
            Self::Reverted(what) => write!(f, "configuration reverted: {what}"),
            Self::NotInForce(what) => write!(f, "configuration not in force: {what}"),
            Self::NotBack(what) => write!(f, "not back in time: {what}"),
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
    violations.extend(overfull.iter().map(|found| Violation::Overfull(format!("{found:?}"))));
    for request in requests {
        violations.extend(check_request(request, runs));
        violations.extend(check_stops(request, runs, &times.stops));
    }
    violations.extend(check_probes(probes, times));
    violations.extend(check_recovery(requests, times));
    Report {
        requests: requests.len(),
        served: requests.iter().filter(|request| is_served(request)).count(),
        starts: runs.iter().filter(|run| run.how.is_none()).count(),
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
        match run.how {
            None => {
                if let Some(other) = running.insert(&run.task, run) {
                    let what = format!(
                        "{} run {} at {} and run {} at {}",
                        run.task, other.run, other.endpoint, run.run, run.endpoint
                    );
                    violations.push(Violation::RanTwice(what));
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
    if all_refused && runs.iter().any(|run| run.request() == request.id) {
        return Some(Violation::RefusedButRan(request.id.clone()));
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
        runs.iter().any(|run| run.task == name && run.how == Some("done"))
    };
    let undone = (0..request.tasks).find(|index| !is_done(index));
    undone.map(|index| Violation::Incomplete(format!("{} task {index}", request.id)))
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
    let started =
        |run: &Run| run.request() == request.id && run.at >= cut.sent_at && run.at <= cut.ended_at;
    runs.iter().any(started).then(|| Violation::CutOff(request.id.clone()))
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
            violations.push(Violation::Reverted(what));
        }
    }
    let (published_at, route) = times.published;
    let late = |probe: &&Probe| {
        probe.at > published_at + CONFIG_LIMIT && probe.route <= route && !probe.known
    };
    if let Some(probe) = probes.iter().find(late) {
        let what = format!("entry {} route {}", probe.entry, probe.route);
        violations.push(Violation::NotInForce(what));
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
    (share < LEAST_SERVED).then(|| Violation::NotBack(format!("{served} of {all} served")))
}

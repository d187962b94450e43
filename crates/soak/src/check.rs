//! Checks the guarantees from the replies that callers received and the runs that endpoints
//! recorded.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use cowslipwing_standin::platform::RunEvent;
use hyper::StatusCode;

use crate::load::{Outcome, Request, RouteProbe};

/// Time within which a published configuration must be in force at all entries.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of endpoints that crash under a task before its further starts are counted.
const MAX_CRASHES: usize = 3;
/// Number of starts of a task after [`MAX_CRASHES`] that violate the guarantee.
const EXCESS_STARTS: usize = 3;
/// Number of crashes under a task from which its job may be answered as failed.
const CRASHES_TO_FAIL: usize = 2;
/// Number of failed runs of a task from which its job may be answered as failed; the attempts that
/// the configuration allows.
const FAILURES_TO_FAIL: usize = 3;
/// Time after the confirmation of a cancellation from which no task of the job may start.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the stop of a run may take.
const STOP_TIME: Duration = Duration::from_millis(50);
/// Least time between the end of another fault and a planned stop for which the stop must not abort
/// requests. Requests sent in that time count as well.
pub(crate) const STOP_MARGIN: Duration = Duration::from_secs(3);
/// Least share of the requests after the recovery that must be served at their first attempt.
const MIN_SERVED_SHARE: f64 = 0.9;

/// A violation of a guarantee, with details for the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two runs of a task were active at the same time, on two endpoints or on one.
    ConcurrentRuns(String),
    /// The tasks of an endpoint used more CPU than it has.
    CapacityExceeded(String),
    /// A task was started although each attempt to submit its job was refused or reached no entry.
    RefusedJobStarted(String),
    /// A job was answered as completed although a task was not done.
    IncompleteJob(String),
    /// A task was started again and again although endpoints had crashed under it.
    CrashedAgain(String),
    /// A job was answered as failed although none of its tasks had failed or crashed often enough.
    FailedWithoutCause(String),
    /// A task of a cancelled job was started, or ran on, after the time allowed for its cancellation.
    RanAfterCancel(String),
    /// A planned stop of an entry broke the connection of a request that had started tasks.
    AbortedByStop(String),
    /// An entry returned to an older configuration without a restart.
    ConfigReverted(String),
    /// A configuration published after the faults was not in force in time.
    ConfigNotInForce(String),
    /// Too few requests after the recovery were served at their first attempt.
    NotRecovered(String),
    /// A process ended without a signal.
    EndedByItself(String),
    /// A process used more memory than its VM has.
    MemoryExceeded(String),
    /// Most long jobs after the recovery were not served at their first attempt.
    LongJobsNotServed(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConcurrentRuns(detail) => write!(f, "task has two concurrent runs: {detail}"),
            Self::CapacityExceeded(detail) => write!(f, "endpoint capacity exceeded: {detail}"),
            Self::RefusedJobStarted(detail) => write!(f, "refused job was started: {detail}"),
            Self::IncompleteJob(detail) => write!(f, "task of a completed job not done: {detail}"),
            Self::CrashedAgain(detail) => {
                write!(f, "task crashes endpoint after endpoint: {detail}")
            }
            Self::FailedWithoutCause(detail) => write!(f, "job failed without cause: {detail}"),
            Self::RanAfterCancel(detail) => write!(f, "cancelled job runs on: {detail}"),
            Self::AbortedByStop(detail) => write!(f, "request aborted by a planned stop: {detail}"),
            Self::ConfigReverted(detail) => write!(f, "configuration reverted: {detail}"),
            Self::ConfigNotInForce(detail) => write!(f, "configuration not in force: {detail}"),
            Self::NotRecovered(detail) => write!(f, "service not recovered in time: {detail}"),
            Self::EndedByItself(detail) => write!(f, "process ended by itself: {detail}"),
            Self::MemoryExceeded(detail) => write!(f, "memory of the VM exceeded: {detail}"),
            Self::LongJobsNotServed(detail) => write!(f, "long jobs not served: {detail}"),
        }
    }
}

/// The result of a run of the soak test.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of jobs submitted, each counted once for all its attempts.
    pub requests: usize,
    /// Number of jobs whose last attempt was answered with status 200.
    pub served: usize,
    /// Number of starts of tasks.
    pub starts: usize,
    /// Violations found; empty if all guarantees hold.
    pub violations: Vec<Violation>,
}

/// A planned stop of an entry without another fault close to it in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    pub(crate) entry: usize,
    /// Time of the signal.
    pub(crate) from: Instant,
    /// Time by which the process must have exited.
    pub(crate) until: Instant,
}

/// The times of the planned events that the checks refer to.
pub(crate) struct Timeline {
    /// Time by which service must have recovered from the faults.
    pub(crate) recovered_by: Instant,
    /// Time of the last publication of a configuration, and the number of its newest route. By
    /// then, the faults of the store have ended.
    pub(crate) last_publication: (Instant, u64),
    /// Entries and times at which they may restart and so lose their configuration.
    pub(crate) restarts: Vec<(usize, Instant)>,
    /// Stops that must not abort a request.
    pub(crate) stops: Vec<PlannedStop>,
}

/// Checks all guarantees and counts requests and starts.
pub(crate) fn check(
    requests: &[Request],
    probes: &[RouteProbe],
    run_events: &[RunEvent],
    overcommitted: &[(String, u64)],
    timeline: &Timeline,
) -> Report {
    let mut violations = find_concurrent_runs(run_events);
    violations.extend(find_repeated_crashes(run_events));
    violations.extend(
        overcommitted.iter().map(|endpoint| Violation::CapacityExceeded(format!("{endpoint:?}"))),
    );
    for request in requests {
        violations.extend(find_request_violation(request, run_events));
        violations.extend(find_failure_without_cause(request, run_events));
        violations.extend(find_run_after_cancel(request, run_events));
        violations.extend(find_aborted_request(request, run_events, &timeline.stops));
    }
    violations.extend(find_config_violations(probes, timeline));
    violations.extend(find_missing_recovery(requests, timeline));
    violations.extend(find_unserved_long_jobs(requests, timeline));
    Report {
        requests: requests.len(),
        served: requests.iter().filter(|request| is_served(request)).count(),
        starts: run_events.iter().filter(|event| event.outcome.is_none()).count(),
        violations,
    }
}

fn is_served(request: &Request) -> bool {
    let ok = |outcome: &Outcome| matches!(outcome, Outcome::Answered(StatusCode::OK, _));
    request.attempts.last().is_some_and(|attempt| ok(&attempt.outcome))
}

fn find_concurrent_runs(run_events: &[RunEvent]) -> Vec<Violation> {
    let mut running: BTreeMap<&str, &RunEvent> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in run_events {
        match event.outcome {
            None => {
                if let Some(other) = running.insert(&event.task, event) {
                    let detail = format!(
                        "{} run {} at {} and run {} at {}",
                        event.task, other.run, other.endpoint, event.run, event.endpoint
                    );
                    violations.push(Violation::ConcurrentRuns(detail));
                }
            }
            Some(_) => {
                let is_same_run =
                    |other: &&RunEvent| other.run == event.run && other.endpoint == event.endpoint;
                if running.get(event.task.as_str()).is_some_and(is_same_run) {
                    running.remove(event.task.as_str());
                }
            }
        }
    }
    violations
}

fn find_repeated_crashes(run_events: &[RunEvent]) -> Vec<Violation> {
    let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for event in run_events {
        let (crashes, excess_starts) = counts.entry(&event.task).or_default();
        match event.outcome {
            Some("crashed") => *crashes += 1,
            None if *crashes >= MAX_CRASHES => *excess_starts += 1,
            _ => {}
        }
    }
    let is_excess =
        |(_, (_, excess_starts)): &(&&str, &(usize, usize))| *excess_starts >= EXCESS_STARTS;
    let detail = |(task, (crashes, _)): (&&str, &(usize, usize))| {
        Violation::CrashedAgain(format!("{task}, {crashes} crashes"))
    };
    counts.iter().filter(is_excess).map(detail).collect()
}

fn find_failure_without_cause(request: &Request, run_events: &[RunEvent]) -> Option<Violation> {
    let Outcome::Answered(StatusCode::OK, body) = &request.attempts.last()?.outcome else {
        return None;
    };
    if !String::from_utf8_lossy(body).contains("failed") {
        return None;
    }
    let has_cause = |index: u32| {
        let name = format!("{}.0.0.{index}", request.id);
        let ends = |outcome| {
            let is_end = |event: &&RunEvent| event.task == name && event.outcome == Some(outcome);
            run_events.iter().filter(is_end).count()
        };
        ends("crashed") >= CRASHES_TO_FAIL || ends("failed") >= FAILURES_TO_FAIL
    };
    let is_explained = (0..request.tasks).any(has_cause);
    (!is_explained).then(|| Violation::FailedWithoutCause(request.id.clone()))
}

fn find_request_violation(request: &Request, run_events: &[RunEvent]) -> Option<Violation> {
    let is_refused = |outcome: &Outcome| {
        let refusals = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        match outcome {
            Outcome::Answered(status, _) => refusals.contains(status),
            Outcome::Unreachable => true,
            _ => false,
        }
    };
    let all_refused = request.attempts.iter().all(|attempt| is_refused(&attempt.outcome));
    if all_refused && run_events.iter().any(|event| event.request_id() == request.id) {
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
        run_events.iter().any(|event| event.task == name && event.outcome == Some("done"))
    };
    let first_undone = (0..request.tasks).find(|index| !is_done(index));
    first_undone.map(|index| Violation::IncompleteJob(format!("{} task {index}", request.id)))
}

fn find_run_after_cancel(request: &Request, run_events: &[RunEvent]) -> Option<Violation> {
    let cancelled_at = request.cancelled_at?;
    let is_late = |event: &&RunEvent| {
        let limit =
            if event.outcome.is_some() { CANCEL_TIMEOUT + STOP_TIME } else { CANCEL_TIMEOUT };
        event.request_id() == request.id && event.at > cancelled_at + limit
    };
    let event = run_events.iter().find(is_late)?;
    let after = event.at - cancelled_at;
    let detail = format!("{} run {} {:?}, {after:?} later", event.task, event.run, event.outcome);
    Some(Violation::RanAfterCancel(detail))
}

fn find_aborted_request(
    request: &Request,
    run_events: &[RunEvent],
    stops: &[PlannedStop],
) -> Option<Violation> {
    let aborted_attempt = request.attempts.iter().find(|attempt| {
        let is_within_stop = |stop: &PlannedStop| {
            stop.entry == attempt.entry
                && stop.from <= attempt.sent_at + STOP_MARGIN
                && stop.from <= attempt.ended_at
                && attempt.ended_at <= stop.until
        };
        attempt.outcome == Outcome::Broken && stops.iter().any(is_within_stop)
    })?;
    // If no task was started, the entry may not have read the request, so that the stop did not
    // abort it.
    let has_started = |event: &RunEvent| {
        event.request_id() == request.id
            && event.at >= aborted_attempt.sent_at
            && event.at <= aborted_attempt.ended_at
    };
    run_events.iter().any(has_started).then(|| Violation::AbortedByStop(request.id.clone()))
}

fn find_config_violations(probes: &[RouteProbe], timeline: &Timeline) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut newest_by_entry: BTreeMap<usize, &RouteProbe> = BTreeMap::new();
    for probe in probes {
        if probe.in_force {
            let newest_in_force = newest_by_entry.entry(probe.entry).or_insert(probe);
            if probe.route >= newest_in_force.route {
                *newest_in_force = probe;
            }
            continue;
        }
        let Some(newest_in_force) = newest_by_entry.get(&probe.entry) else {
            continue;
        };
        let has_restarted = |(entry, at): &(usize, Instant)| {
            *entry == probe.entry && *at >= newest_in_force.sent_at && *at <= probe.sent_at
        };
        if probe.route <= newest_in_force.route && !timeline.restarts.iter().any(has_restarted) {
            let detail = format!("entry {} route {}", probe.entry, probe.route);
            violations.push(Violation::ConfigReverted(detail));
        }
    }
    let (published_at, route) = timeline.last_publication;
    let is_late = |probe: &&RouteProbe| {
        probe.sent_at > published_at + CONFIG_TIMEOUT && probe.route <= route && !probe.in_force
    };
    if let Some(probe) = probes.iter().find(is_late) {
        let detail = format!("entry {} route {}", probe.entry, probe.route);
        violations.push(Violation::ConfigNotInForce(detail));
    }
    violations
}

/// Counts the requests after the recovery for which `predicate` holds. Returns the number of those
/// that were served at their first attempt, and of all.
fn count_after_recovery<F>(
    requests: &[Request],
    timeline: &Timeline,
    predicate: F,
) -> (usize, usize)
where
    F: Fn(&Request) -> bool,
{
    let is_after_recovery = |request: &&Request| {
        predicate(request)
            && request.attempts.first().is_some_and(|first| first.sent_at >= timeline.recovered_by)
    };
    let (mut served, mut total) = (0, 0);
    for request in requests.iter().filter(is_after_recovery) {
        total += 1;
        served += usize::from(request.attempts.len() == 1 && is_served(request));
    }
    (served, total)
}

/// Guards against jobs that are given up at the timeout of their route while their callers wait.
fn find_unserved_long_jobs(requests: &[Request], timeline: &Timeline) -> Option<Violation> {
    let (served, total) = count_after_recovery(requests, timeline, |request| request.is_long);
    (total > 1 && served * 2 < total)
        .then(|| Violation::LongJobsNotServed(format!("{served} of {total} served")))
}

fn find_missing_recovery(requests: &[Request], timeline: &Timeline) -> Option<Violation> {
    let (served, total) = count_after_recovery(requests, timeline, |_| true);
    let share = f64::from(served as u32) / f64::from(total.max(1) as u32);
    (share < MIN_SERVED_SHARE)
        .then(|| Violation::NotRecovered(format!("{served} of {total} served")))
}

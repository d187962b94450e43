//! Figures of a run.

use std::time::Duration;

use serde::Serialize;

use crate::Policy;
use crate::events::Outcome;
use crate::profile::Case;
use crate::workload::{DEADLINE, Job};

/// Failures after which a failing worker should take hardly anything.
pub const FIRST_FAILURES: u64 = 20;

/// The figures of one policy in one case.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The case.
    pub case: String,
    /// The policy.
    pub policy: String,
    /// Median response divided by the ideal's.
    pub median: f64,
    /// 99th percentile of the response divided by the ideal's.
    pub p99: f64,
    /// 99th percentile of the customer within its share, divided by what it has alone.
    pub modest_p99: f64,
    /// Work done in time, in seconds.
    pub goodput: f64,
    /// Part of the jobs refused at once.
    pub refused: f64,
    /// Orders to start for each task that succeeded.
    pub starts: f64,
    /// All messages for each task that succeeded.
    pub messages: f64,
    /// Part of the tasks that the failing worker took after its first failures.
    pub swallowed: f64,
}

impl Figures {
    /// Works out the figures of an outcome.
    ///
    /// `alone` is a run of the same policy with only the jobs of the customer within its share.
    pub fn new(
        case: Case,
        policy: Policy,
        (jobs, outcome): (&[Job], &Outcome),
        ideal: &Outcome,
        alone: (&[Job], &Outcome),
    ) -> Self {
        let tasks: usize = jobs.iter().map(|job| job.tasks.len()).sum();
        let ran = outcome.succeeded.max(1) as f64;
        let all = |_: &Job| true;
        let modest = percentile(jobs, outcome, 0.99, &|job| job.customer == 0);
        let modest_alone = percentile(alone.0, alone.1, 0.99, &all);
        let ratio = |part: f64, keep: &dyn Fn(&Job) -> bool| {
            let own = percentile(jobs, outcome, part, keep);
            own.as_secs_f64() / percentile(jobs, ideal, part, keep).as_secs_f64()
        };
        Self {
            case: case.to_string(),
            policy: policy.to_string(),
            median: ratio(0.5, &all),
            p99: ratio(0.99, &all),
            modest_p99: modest.as_secs_f64() / modest_alone.as_secs_f64(),
            goodput: outcome.useful,
            refused: outcome.refused as f64 / jobs.len() as f64,
            starts: outcome.starts as f64 / ran,
            messages: outcome.messages as f64 / ran,
            swallowed: outcome.swallowed as f64 / tasks as f64,
        }
    }
}

/// Returns a percentile of the response; a job without a whole answer counts with its deadline.
fn percentile(jobs: &[Job], outcome: &Outcome, part: f64, keep: &dyn Fn(&Job) -> bool) -> Duration {
    let kept = jobs.iter().zip(&outcome.responses).filter(|(job, _)| keep(job));
    let mut times: Vec<Duration> =
        kept.map(|(_, response)| response.unwrap_or(DEADLINE).min(DEADLINE)).collect();
    times.sort();
    let at = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
    times.get(at).copied().unwrap_or(DEADLINE)
}

/// Prints the head of the table.
pub fn print_head() {
    println!(
        "{:<12} {:<12} {:>7} {:>7} {:>10} {:>9} {:>8} {:>7} {:>9} {:>10}",
        "case",
        "policy",
        "median",
        "p99",
        "alone p99",
        "goodput",
        "refused",
        "starts",
        "messages",
        "swallowed"
    );
}

/// Prints one row of the table.
pub fn print_row(figures: &Figures) {
    println!(
        "{:<12} {:<12} {:>7.3} {:>7.3} {:>10.3} {:>9.0} {:>8.4} {:>7.3} {:>9.3} {:>10.4}",
        figures.case,
        figures.policy,
        figures.median,
        figures.p99,
        figures.modest_p99,
        figures.goodput,
        figures.refused,
        figures.starts,
        figures.messages,
        figures.swallowed
    );
}

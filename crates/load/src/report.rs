//! The results of a run and the table in which they are printed.

use std::time::Duration;

use serde::Serialize;

use crate::Policy;
use crate::events::Outcome;
use crate::profile::Case;
use crate::workload::{DEADLINE, Job};

/// Number of failures after which a policy is expected to send hardly any task to the failing
/// worker.
pub const DETECTION_FAILURES: u64 = 20;

/// The results of one policy in one case.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The name of the case.
    pub case: String,
    /// The name of the policy.
    pub policy: String,
    /// The median response time relative to that of the ideal scheduler.
    pub median: f64,
    /// The 99th percentile of the response time relative to that of the ideal scheduler.
    pub p99: f64,
    /// The 99th percentile of the response time of the modest customer (index 0), relative to a run
    /// with only its jobs.
    pub modest_p99: f64,
    /// The total work of jobs that completed within the deadline, in seconds.
    pub goodput: f64,
    /// The fraction of jobs refused at admission.
    pub refused: f64,
    /// The number of orders to start a task per successful task.
    pub starts: f64,
    /// The number of messages per successful task.
    pub messages: f64,
    /// The fraction of tasks that the failing worker took after its first [`DETECTION_FAILURES`]
    /// failures.
    pub swallowed: f64,
}

impl Summary {
    /// Computes the summary of an outcome.
    ///
    /// `isolated` is a run of the same policy with only the jobs of the modest customer.
    pub fn new(
        case: Case,
        policy: Policy,
        (jobs, outcome): (&[Job], &Outcome),
        ideal: &Outcome,
        isolated: (&[Job], &Outcome),
    ) -> Self {
        let tasks: usize = jobs.iter().map(|job| job.tasks.len()).sum();
        let succeeded = outcome.succeeded.max(1) as f64;
        let all = |_: &Job| true;
        let modest = response_time_quantile(jobs, outcome, 0.99, &|job| job.customer == 0);
        let modest_isolated = response_time_quantile(isolated.0, isolated.1, 0.99, &all);
        let ratio = |quantile: f64, keep: &dyn Fn(&Job) -> bool| {
            let value = response_time_quantile(jobs, outcome, quantile, keep);
            value.as_secs_f64() / response_time_quantile(jobs, ideal, quantile, keep).as_secs_f64()
        };
        Self {
            case: case.to_string(),
            policy: policy.to_string(),
            median: ratio(0.5, &all),
            p99: ratio(0.99, &all),
            modest_p99: modest.as_secs_f64() / modest_isolated.as_secs_f64(),
            goodput: outcome.goodput,
            refused: outcome.refused as f64 / jobs.len() as f64,
            starts: outcome.starts as f64 / succeeded,
            messages: outcome.messages as f64 / succeeded,
            swallowed: outcome.swallowed as f64 / tasks as f64,
        }
    }
}

/// Returns a quantile (0 to 1) of the response time of the jobs selected by `keep`.
///
/// A job that did not complete within the deadline counts with [`DEADLINE`].
fn response_time_quantile(
    jobs: &[Job],
    outcome: &Outcome,
    quantile: f64,
    keep: &dyn Fn(&Job) -> bool,
) -> Duration {
    let kept = jobs.iter().zip(&outcome.response_times).filter(|(job, _)| keep(job));
    let mut times: Vec<Duration> =
        kept.map(|(_, time)| time.unwrap_or(DEADLINE).min(DEADLINE)).collect();
    times.sort();
    let index = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(index).copied().unwrap_or(DEADLINE)
}

/// Prints the header of the table.
pub fn print_header() {
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

/// Prints a row of the table.
pub fn print_row(summary: &Summary) {
    println!(
        "{:<12} {:<12} {:>7.3} {:>7.3} {:>10.3} {:>9.0} {:>8.4} {:>7.3} {:>9.3} {:>10.4}",
        summary.case,
        summary.policy,
        summary.median,
        summary.p99,
        summary.modest_p99,
        summary.goodput,
        summary.refused,
        summary.starts,
        summary.messages,
        summary.swallowed
    );
}

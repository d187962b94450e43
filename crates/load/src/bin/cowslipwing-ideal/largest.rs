//! Lists the largest jobs of each queue that were not served, and the decisions that ended them.

use super::history::{History, Job};
use super::schedule::{Slo, isolated_time};

/// Returns the jobs with the given indexes that make up the largest `share` by processor time.
fn largest_of<'a>(history: &'a History, jobs: &[usize], share: f64) -> Vec<&'a Job> {
    let mut jobs: Vec<&Job> = jobs.iter().map(|index| &history.jobs[*index]).collect();
    jobs.sort_by(|a, b| b.core_seconds().total_cmp(&a.core_seconds()));
    let count = (jobs.len() as f64 * share).ceil() as usize;
    jobs.truncate(count);
    jobs
}

/// Prints how many of the largest jobs of each queue an endpoint that was free and fast would have
/// ended before their callers left, how many were served, and each one that was not.
pub fn report(history: &History, slo: Slo, share: f64) {
    let is_possible = |job: &Job| isolated_time(history, job) <= slo.caller_timeout(job);
    println!("queue largest possible served");
    let mut lost = Vec::new();
    for (queue, jobs) in &history.queues() {
        let largest = largest_of(history, jobs, share);
        let (served, unserved): (Vec<&Job>, Vec<&Job>) =
            largest.iter().partition(|job| job.end == "completed");
        let possible = largest.iter().filter(|job| is_possible(job)).count();
        println!("{queue} {} {possible} {}", largest.len(), served.len());
        lost.extend(unserved);
    }
    println!("job queue tasks core_s alone_ms deadline_ms possible ended_by");
    for job in lost {
        println!(
            "{} {} {} {:.1} {} {} {} {}",
            job.id,
            job.queue,
            job.tasks.len(),
            job.core_seconds(),
            isolated_time(history, job).as_millis(),
            slo.caller_timeout(job).as_millis(),
            is_possible(job),
            job.end
        );
    }
}

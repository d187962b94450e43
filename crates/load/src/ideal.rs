//! The ideal scheduler: central, without network latency, and with exact knowledge of run times.

use std::collections::VecDeque;
use std::time::Duration;

use crate::events::{EventQueue, Outcome, Progress};
use crate::profile::Cluster;
use crate::workload::{DEADLINE, Job};

/// Messages per task of a policy without credits: the order to start it and the report of its end.
pub const MESSAGES_PER_TASK: u64 = 2;

enum Event {
    JobArrived(usize),
    TaskEnded { worker: usize, job: usize },
}

/// Runs the jobs in the order of their arrival, starting the longest task of a job first and each
/// task on the fastest free worker. Tasks that have not started by the deadline of their job are
/// dropped.
pub fn run(cluster: &Cluster, jobs: &[Job]) -> Outcome {
    let mut events = EventQueue::new();
    for (index, job) in jobs.iter().enumerate() {
        events.push(job.arrival, Event::JobArrived(index));
    }
    let mut free_slots: Vec<u32> =
        cluster.workers.iter().map(|w| if w.fails { 0 } else { w.slots }).collect();
    let mut by_speed: Vec<usize> = (0..cluster.workers.len()).collect();
    by_speed.sort_by(|a, b| cluster.workers[*b].speed.total_cmp(&cluster.workers[*a].speed));
    let mut queue: VecDeque<(usize, usize)> = VecDeque::new();
    let mut progress = Progress::new(jobs.iter().map(|job| job.tasks.len()));
    let mut outcome = Outcome { response_times: vec![None; jobs.len()], ..Outcome::default() };
    while let Some((now, event)) = events.pop() {
        match event {
            Event::JobArrived(job) => {
                let mut longest_first: Vec<usize> = (0..jobs[job].tasks.len()).collect();
                longest_first.sort_by_key(|task| std::cmp::Reverse(jobs[job].tasks[*task]));
                queue.extend(longest_first.into_iter().map(|task| (job, task)));
            }
            Event::TaskEnded { worker, job } => {
                free_slots[worker] += 1;
                outcome.succeeded += 1;
                if progress.on_task_ended(job, true) {
                    outcome.on_completed(&jobs[job], job, now);
                }
            }
        }
        while let Some(worker) = by_speed.iter().copied().find(|worker| free_slots[*worker] > 0) {
            let Some((job, task)) = queue.pop_front() else {
                break;
            };
            if now > jobs[job].arrival + DEADLINE {
                progress.on_task_ended(job, false);
                continue;
            }
            free_slots[worker] -= 1;
            outcome.starts += 1;
            let duration = run_time(cluster, worker, jobs[job].tasks[task]);
            events.push(now + duration, Event::TaskEnded { worker, job });
        }
    }
    outcome.messages = outcome.starts * MESSAGES_PER_TASK;
    outcome
}

/// Returns the run time on a worker of a task whose run time at normal speed is `size`.
pub fn run_time(cluster: &Cluster, worker: usize, size: Duration) -> Duration {
    size.div_f64(cluster.workers[worker].speed)
}

//! The ideal: one central scheduler without latency that knows every size and speed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::events::{Events, Outcome, Progress};
use crate::profile::World;
use crate::workload::{DEADLINE, Job};

enum Event {
    Arrive(usize),
    End { worker: usize, job: usize },
}

/// Runs the jobs in the order of their arrival, the longest task of a job first, each on the fastest
/// free worker.
pub fn run(world: &World, jobs: &[Job]) -> Outcome {
    let mut events = Events::new();
    for (number, job) in jobs.iter().enumerate() {
        events.push(job.at, Event::Arrive(number));
    }
    let mut free: Vec<u32> =
        world.workers.iter().map(|w| if w.fails { 0 } else { w.slots }).collect();
    let mut fastest: Vec<usize> = (0..world.workers.len()).collect();
    fastest.sort_by(|a, b| world.workers[*b].speed.total_cmp(&world.workers[*a].speed));
    let mut queue: VecDeque<(usize, usize)> = VecDeque::new();
    let mut progress = Progress::new(jobs.iter().map(|job| job.tasks.len()));
    let mut outcome = Outcome { responses: vec![None; jobs.len()], ..Outcome::default() };
    while let Some((now, event)) = events.pop() {
        match event {
            Event::Arrive(job) => {
                let mut order: Vec<usize> = (0..jobs[job].tasks.len()).collect();
                order.sort_by_key(|task| std::cmp::Reverse(jobs[job].tasks[*task]));
                queue.extend(order.into_iter().map(|task| (job, task)));
            }
            Event::End { worker, job } => {
                free[worker] += 1;
                outcome.succeeded += 1;
                if progress.end(job, true) {
                    outcome.answer(&jobs[job], job, now);
                }
            }
        }
        while let Some(worker) = fastest.iter().copied().find(|worker| free[*worker] > 0) {
            let Some((job, task)) = queue.pop_front() else {
                break;
            };
            if now > jobs[job].at + DEADLINE {
                progress.end(job, false);
                continue;
            }
            free[worker] -= 1;
            outcome.starts += 1;
            let takes = run_time(world, worker, jobs[job].tasks[task]);
            events.push(now + takes, Event::End { worker, job });
        }
    }
    outcome.messages = outcome.starts * 2;
    outcome
}

/// Returns the time that a task takes on a worker.
pub fn run_time(world: &World, worker: usize, size: Duration) -> Duration {
    size.div_f64(world.workers[worker].speed)
}

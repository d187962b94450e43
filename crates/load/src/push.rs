//! Baseline policies that push each task to a worker on arrival: to a random one, or to the less
//! loaded of two random ones.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::events::{EventQueue, Outcome, Progress};
use crate::ideal::{MESSAGES_PER_TASK, run_time};
use crate::profile::{Cluster, FAILURE_TIME};
use crate::report::DETECTION_FAILURES;
use crate::workload::{DEADLINE, Job};

enum Event {
    JobArrived(usize),
    OrderArrived { worker: usize, job: usize, task: usize },
    TaskEnded { worker: usize, job: usize },
    EndReported { worker: usize, job: usize, load: u32, ok: bool },
}

/// Runs the jobs, sending each task to the least loaded of `choices` random workers.
///
/// An entry knows the load of a worker from the last report of the worker, plus the tasks sent
/// since.
pub fn run(cluster: &Cluster, jobs: &[Job], seed: u64, choices: u32) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = EventQueue::new();
    for (index, job) in jobs.iter().enumerate() {
        events.push(job.arrival, Event::JobArrived(index));
    }
    let workers = cluster.workers.len();
    let mut known_loads = vec![vec![0u32; workers]; cluster.entries];
    let mut queues: Vec<VecDeque<(usize, usize)>> = vec![VecDeque::new(); workers];
    let mut running = vec![0u32; workers];
    let mut failures = 0;
    let mut progress = Progress::new(jobs.iter().map(|job| job.tasks.len()));
    let mut outcome = Outcome { response_times: vec![None; jobs.len()], ..Outcome::default() };
    while let Some((now, event)) = events.pop() {
        match event {
            Event::JobArrived(job) => {
                for task in 0..jobs[job].tasks.len() {
                    let loads = &mut known_loads[jobs[job].entry];
                    let candidates = (0..choices).map(|_| rng.random_range(0..workers));
                    let worker = candidates.min_by_key(|worker| loads[*worker]).unwrap_or(0);
                    loads[worker] += 1;
                    outcome.starts += 1;
                    events.push(
                        now + cluster.link_latency,
                        Event::OrderArrived { worker, job, task },
                    );
                }
            }
            Event::OrderArrived { worker, job, task } => queues[worker].push_back((job, task)),
            Event::TaskEnded { worker, job } => {
                running[worker] -= 1;
                let ok = !cluster.workers[worker].fails;
                outcome.succeeded += u64::from(ok);
                if !ok {
                    failures += 1;
                    outcome.swallowed += u64::from(failures > DETECTION_FAILURES);
                }
                let load = running[worker] + queues[worker].len() as u32;
                events
                    .push(now + cluster.link_latency, Event::EndReported { worker, job, load, ok });
            }
            Event::EndReported { worker, job, load, ok } => {
                known_loads[jobs[job].entry][worker] = load;
                if progress.on_task_ended(job, ok) {
                    outcome.on_completed(&jobs[job], job, now);
                }
            }
        }
        start_queued(cluster, jobs, now, &mut queues, &mut running, &mut events);
    }
    outcome.messages = outcome.starts * MESSAGES_PER_TASK;
    outcome
}

/// Starts queued tasks on workers with free slots; tasks past the deadline of their job fail.
fn start_queued(
    cluster: &Cluster,
    jobs: &[Job],
    now: Duration,
    queues: &mut [VecDeque<(usize, usize)>],
    running: &mut [u32],
    events: &mut EventQueue<Event>,
) {
    for (worker, queue) in queues.iter_mut().enumerate() {
        while running[worker] < cluster.workers[worker].slots {
            let Some((job, task)) = queue.pop_front() else {
                break;
            };
            if now > jobs[job].arrival + DEADLINE {
                events.push(
                    now + cluster.link_latency,
                    Event::EndReported { worker, job, load: 0, ok: false },
                );
                continue;
            }
            running[worker] += 1;
            let duration = match cluster.workers[worker].fails {
                true => FAILURE_TIME,
                false => run_time(cluster, worker, jobs[job].tasks[task]),
            };
            events.push(now + duration, Event::TaskEnded { worker, job });
        }
    }
}

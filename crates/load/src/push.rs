//! Baselines that push each task at once to a worker: at random, or to the less loaded of two.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::events::{Events, Outcome, Progress};
use crate::ideal::run_time;
use crate::profile::World;
use crate::report::FIRST_FAILURES;
use crate::workload::{DEADLINE, Job};

enum Event {
    Arrive(usize),
    Start { worker: usize, job: usize, task: usize },
    End { worker: usize, job: usize },
    Answer { worker: usize, job: usize, load: u32, ok: bool },
}

/// Runs the jobs; each task goes to the less loaded of `choices` workers drawn at random, by the load
/// that the entry last heard of with an answer.
pub fn run(world: &World, jobs: &[Job], seed: u64, choices: u32) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Events::new();
    for (number, job) in jobs.iter().enumerate() {
        events.push(job.at, Event::Arrive(number));
    }
    let count = world.workers.len();
    let mut known = vec![vec![0u32; count]; world.entries];
    let mut queues: Vec<VecDeque<(usize, usize)>> = vec![VecDeque::new(); count];
    let mut running = vec![0u32; count];
    let mut failures = 0;
    let mut progress = Progress::new(jobs.iter().map(|job| job.tasks.len()));
    let mut outcome = Outcome { responses: vec![None; jobs.len()], ..Outcome::default() };
    while let Some((now, event)) = events.pop() {
        match event {
            Event::Arrive(job) => {
                for task in 0..jobs[job].tasks.len() {
                    let loads = &mut known[jobs[job].entry];
                    let drawn = (0..choices).map(|_| rng.random_range(0..count));
                    let worker = drawn.min_by_key(|worker| loads[*worker]).unwrap_or(0);
                    loads[worker] += 1;
                    outcome.starts += 1;
                    events.push(now + world.link, Event::Start { worker, job, task });
                }
            }
            Event::Start { worker, job, task } => queues[worker].push_back((job, task)),
            Event::End { worker, job } => {
                running[worker] -= 1;
                let ok = !world.workers[worker].fails;
                outcome.succeeded += u64::from(ok);
                if !ok {
                    failures += 1;
                    outcome.swallowed += u64::from(failures > FIRST_FAILURES);
                }
                let load = running[worker] + queues[worker].len() as u32;
                events.push(now + world.link, Event::Answer { worker, job, load, ok });
            }
            Event::Answer { worker, job, load, ok } => {
                known[jobs[job].entry][worker] = load;
                if progress.end(job, ok) {
                    outcome.answer(&jobs[job], job, now);
                }
            }
        }
        start_queued(world, jobs, now, &mut queues, &mut running, &mut events);
    }
    outcome.messages = outcome.starts * 2;
    outcome
}

fn start_queued(
    world: &World,
    jobs: &[Job],
    now: Duration,
    queues: &mut [VecDeque<(usize, usize)>],
    running: &mut [u32],
    events: &mut Events<Event>,
) {
    for (worker, queue) in queues.iter_mut().enumerate() {
        while running[worker] < world.workers[worker].slots {
            let Some((job, task)) = queue.pop_front() else {
                break;
            };
            if now > jobs[job].at + DEADLINE {
                events.push(now + world.link, Event::Answer { worker, job, load: 0, ok: false });
                continue;
            }
            running[worker] += 1;
            let takes = match world.workers[worker].fails {
                true => Duration::from_millis(1),
                false => run_time(world, worker, jobs[job].tasks[task]),
            };
            events.push(now + takes, Event::End { worker, job });
        }
    }
}

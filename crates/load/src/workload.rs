//! Jobs that arrive, drawn from seeded random numbers.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::profile::{Case, World};

/// Part of the tasks that take several seconds.
const LONG_PART: f64 = 0.02;
/// Tasks of a job: one in this many jobs is a large one.
const LARGE_JOB_EVERY: u32 = 20;
/// Time a job may take.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// The customer's number.
    pub customer: usize,
    /// The entry it comes to.
    pub entry: usize,
    /// Run time of each task on a usual worker.
    pub tasks: Vec<Duration>,
    /// Run time that the caller declares for each task.
    pub declared: Duration,
}

/// Returns the arrivals of a case.
pub fn arrivals(world: &World, case: Case, seed: u64, seconds: u64) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mean_work = mean_work(&mut rng);
    let rate = case.load() * world.capacity() / mean_work;
    let mut jobs = Vec::new();
    let mut now = 0.0;
    while now < seconds as f64 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -uniform.ln() / (rate * burst_factor(case, now));
        jobs.push(draw(&mut rng, world, case, Duration::from_secs_f64(now)));
    }
    jobs
}

fn burst_factor(case: Case, now: f64) -> f64 {
    const PERIOD: f64 = 10.0;
    if case == Case::Burst && now % PERIOD < 1.0 { 4.0 } else { 1.0 }
}

fn mean_work(rng: &mut StdRng) -> f64 {
    const SAMPLES: u32 = 2000;
    let total: f64 = (0..SAMPLES).map(|_| draw_tasks(rng)).map(|tasks| sum(&tasks)).sum();
    total / f64::from(SAMPLES)
}

fn sum(tasks: &[Duration]) -> f64 {
    tasks.iter().map(Duration::as_secs_f64).sum()
}

fn draw(rng: &mut StdRng, world: &World, case: Case, at: Duration) -> Job {
    let tasks = draw_tasks(rng);
    let mean = Duration::from_secs_f64(sum(&tasks) / tasks.len() as f64);
    let declared = match case {
        Case::Misdeclared if rng.random_bool(0.5) => mean * 10,
        Case::Misdeclared => mean / 10,
        _ => mean,
    };
    // The greedy customer offers ten times what the other does.
    let greedy = case == Case::Greedy && rng.random_bool(10.0 / 11.0);
    let entry = rng.random_range(0..world.entries);
    Job { at, customer: usize::from(greedy), entry, tasks, declared }
}

fn draw_tasks(rng: &mut StdRng) -> Vec<Duration> {
    let count = match rng.random_range(0..LARGE_JOB_EVERY) {
        0 => rng.random_range(20..=60),
        _ => rng.random_range(1..=6),
    };
    (0..count).map(|_| draw_task(rng)).collect()
}

fn draw_task(rng: &mut StdRng) -> Duration {
    let seconds = if rng.random_bool(LONG_PART) {
        rng.random_range(2.0..5.0)
    } else {
        // Even on a logarithmic scale from 50 ms to 1 s.
        0.05 * 20f64.powf(rng.random_range(0.0..1.0))
    };
    Duration::from_secs_f64(seconds)
}

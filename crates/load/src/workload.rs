//! Generates the arriving jobs from a seeded random number generator.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::profile::{Case, Cluster};

/// Fraction of tasks that take several seconds instead of at most one.
const LONG_TASK_FRACTION: f64 = 0.02;
/// One in this many jobs has a large number of tasks.
const LARGE_JOB_INTERVAL: u32 = 20;
/// Time after its arrival within which a job must end.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The arrival time, from the start of the run.
    pub arrival: Duration,
    /// The index of the customer: 0 for the modest one, or 1 for the greedy one, which submits jobs
    /// only in [`Case::Greedy`].
    pub customer: usize,
    /// The index of the entry that receives the job.
    pub entry: usize,
    /// The run time of each task on a worker of normal speed.
    pub tasks: Vec<Duration>,
    /// The run time that the caller declares for each task.
    pub declared: Duration,
}

/// Returns the jobs of a case in the order of their arrival, as a Poisson process.
pub fn generate(cluster: &Cluster, case: Case, seed: u64, seconds: u64) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mean_work = sample_mean_work(&mut rng);
    let rate = case.load() * cluster.capacity() / mean_work;
    let mut jobs = Vec::new();
    let mut now = 0.0;
    while now < seconds as f64 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -uniform.ln() / (rate * rate_factor(case, now));
        jobs.push(draw_job(&mut rng, cluster, case, Duration::from_secs_f64(now)));
    }
    jobs
}

/// Returns the factor by which the arrival rate is raised at a time in seconds.
fn rate_factor(case: Case, now: f64) -> f64 {
    const BURST_PERIOD: f64 = 10.0;
    const BURST_SECONDS: f64 = 1.0;
    const BURST_FACTOR: f64 = 4.0;
    if case == Case::Burst && now % BURST_PERIOD < BURST_SECONDS { BURST_FACTOR } else { 1.0 }
}

/// Estimates the mean work of a job, in seconds, from a sample of jobs.
fn sample_mean_work(rng: &mut StdRng) -> f64 {
    const SAMPLES: u32 = 2000;
    let total: f64 = (0..SAMPLES).map(|_| draw_tasks(rng)).map(|tasks| total_seconds(&tasks)).sum();
    total / f64::from(SAMPLES)
}

fn total_seconds(tasks: &[Duration]) -> f64 {
    tasks.iter().map(Duration::as_secs_f64).sum()
}

fn draw_job(rng: &mut StdRng, cluster: &Cluster, case: Case, arrival: Duration) -> Job {
    let tasks = draw_tasks(rng);
    let mean = Duration::from_secs_f64(total_seconds(&tasks) / tasks.len() as f64);
    let declared = match case {
        Case::Misdeclared if rng.random_bool(0.5) => mean * 10,
        Case::Misdeclared => mean / 10,
        _ => mean,
    };
    // The greedy customer submits ten times as many jobs as the other one.
    let greedy = case == Case::Greedy && rng.random_bool(10.0 / 11.0);
    let entry = rng.random_range(0..cluster.entries);
    Job { arrival, customer: usize::from(greedy), entry, tasks, declared }
}

fn draw_tasks(rng: &mut StdRng) -> Vec<Duration> {
    let count = match rng.random_range(0..LARGE_JOB_INTERVAL) {
        0 => rng.random_range(20..=60),
        _ => rng.random_range(1..=6),
    };
    (0..count).map(|_| draw_task(rng)).collect()
}

fn draw_task(rng: &mut StdRng) -> Duration {
    let seconds = if rng.random_bool(LONG_TASK_FRACTION) {
        rng.random_range(2.0..5.0)
    } else {
        // Uniform on a logarithmic scale from 50 ms to 1 s.
        0.05 * 20f64.powf(rng.random_range(0.0..1.0))
    };
    Duration::from_secs_f64(seconds)
}

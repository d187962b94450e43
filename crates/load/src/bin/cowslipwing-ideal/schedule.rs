//! Two ideal schedulers: one runs each job alone on all endpoints, which no scheduler can improve
//! on, and a central one knows the run times of all tasks in advance.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::history::{Endpoint, History, Job};

/// An answer after more than this multiple of the objective counts as missed instead of late.
const LATE_FACTOR: f64 = 3.0;

/// The service-level objective for response times: `stretch` times the work of the longest task,
/// plus `target`.
#[derive(Clone, Copy, Debug)]
pub struct Slo {
    pub stretch: f64,
    pub target: Duration,
    /// The time after which callers stop waiting for an answer, for jobs of which the log does not
    /// state it.
    pub caller_timeout: Duration,
}

/// The outcome of a job, by its response time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InTime,
    Late,
    /// The caller gave up, or the answer came after [`LATE_FACTOR`] times the objective.
    Missed,
}

/// The fractions of jobs that are answered in time and late.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeRates {
    pub in_time: f64,
    pub late: f64,
}

impl OutcomeRates {
    /// Computes the rates of the jobs with the given indexes.
    pub fn of(jobs: &[usize], outcomes: &[Outcome]) -> Self {
        let rate = |wanted: Outcome| {
            let count = jobs.iter().filter(|job| outcomes[**job] == wanted).count();
            count as f64 / jobs.len().max(1) as f64
        };
        Self { in_time: rate(Outcome::InTime), late: rate(Outcome::Late) }
    }
}

impl Slo {
    /// Returns the objective for the response time of a job.
    fn objective(&self, job: &Job) -> Duration {
        let longest = job.tasks.iter().map(|task| task.work).max().unwrap_or_default();
        longest.mul_f64(self.stretch) + self.target
    }

    /// Returns the time at which a job must end to be answered in time.
    fn due(&self, job: &Job) -> Duration {
        job.arrival + self.objective(job).min(self.caller_timeout(job))
    }

    /// Returns the time for which the caller of a job waits.
    pub fn caller_timeout(&self, job: &Job) -> Duration {
        job.deadline.unwrap_or(self.caller_timeout)
    }

    fn classify(&self, job: &Job, response_time: Duration) -> Outcome {
        let objective = self.objective(job);
        if response_time > self.caller_timeout(job)
            || response_time > objective.mul_f64(LATE_FACTOR)
        {
            Outcome::Missed
        } else if response_time > objective {
            Outcome::Late
        } else {
            Outcome::InTime
        }
    }
}

/// Returns the response time of a job alone, each task on the fastest endpoint that is large enough.
/// No scheduler answers it earlier.
pub fn isolated_time(history: &History, job: &Job) -> Duration {
    let ends = job.tasks.iter().map(|task| {
        let large_enough = history.endpoints.iter().filter(|e| e.cpu_millis >= task.cpu_millis);
        let fastest = large_enough.map(|e| e.slowness).min_by(f64::total_cmp);
        fastest.map_or(Duration::MAX, |slowness| task.work.mul_f64(slowness))
    });
    ends.max().unwrap_or_default()
}

/// Runs each job alone.
pub fn isolated_outcomes(history: &History, slo: Slo) -> Vec<Outcome> {
    let outcome = |job| slo.classify(job, isolated_time(history, job));
    history.jobs.iter().map(outcome).collect()
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    TaskEnded { endpoint: usize, job: usize, task: usize },
    JobArrived { job: usize },
}

/// A task that waits for a free endpoint, ordered by its latest start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WaitingTask {
    /// The latest start at which the task ends in time on an endpoint of speed 1.
    latest_start: Duration,
    job: usize,
    task: usize,
}

struct CentralScheduler<'a> {
    history: &'a History,
    slo: Slo,
    /// The free processors of each endpoint, in thousandths of a core.
    free_cpu_millis: Vec<u32>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    waiting: Vec<WaitingTask>,
    /// The number of tasks of each job that have not ended.
    remaining: Vec<usize>,
    outcomes: Vec<Outcome>,
}

/// Runs all jobs on endpoints that never fail, without network latency.
///
/// The most urgent task starts first, on the slowest endpoint on which it ends in time, so that the
/// fast endpoints stay free for tasks that need them.
pub fn central_outcomes(history: &History, slo: Slo) -> Vec<Outcome> {
    let mut scheduler = CentralScheduler {
        history,
        slo,
        free_cpu_millis: history.endpoints.iter().map(|endpoint| endpoint.cpu_millis).collect(),
        events: BinaryHeap::new(),
        waiting: Vec::new(),
        remaining: history.jobs.iter().map(|job| job.tasks.len()).collect(),
        outcomes: vec![Outcome::Missed; history.jobs.len()],
    };
    for (index, job) in history.jobs.iter().enumerate() {
        scheduler.events.push(Reverse((job.arrival, Event::JobArrived { job: index })));
    }
    while let Some(Reverse((now, event))) = scheduler.events.pop() {
        scheduler.on_event(now, event);
        scheduler.start_waiting(now);
    }
    scheduler.outcomes
}

impl CentralScheduler<'_> {
    fn on_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::JobArrived { job } => {
                let arrived = &self.history.jobs[job];
                let due = self.slo.due(arrived);
                let to_waiting = |(task, details): (usize, &super::history::Task)| WaitingTask {
                    latest_start: due.saturating_sub(details.work),
                    job,
                    task,
                };
                self.waiting.extend(arrived.tasks.iter().enumerate().map(to_waiting));
                self.waiting.sort();
            }
            Event::TaskEnded { endpoint, job, task } => {
                let ended = &self.history.jobs[job];
                self.free_cpu_millis[endpoint] += ended.tasks[task].cpu_millis;
                self.remaining[job] -= 1;
                if self.remaining[job] == 0 {
                    self.outcomes[job] =
                        self.slo.classify(ended, now.saturating_sub(ended.arrival));
                }
            }
        }
    }

    /// Starts the waiting tasks for which an endpoint has room, and drops those whose caller has
    /// given up.
    fn start_waiting(&mut self, now: Duration) {
        let candidates = std::mem::take(&mut self.waiting);
        for waiting in candidates {
            let job = &self.history.jobs[waiting.job];
            if now > job.arrival + self.slo.caller_timeout(job) {
                continue;
            }
            match self.choose(now, waiting) {
                Some(endpoint) => self.run(now, waiting, endpoint),
                None => self.waiting.push(waiting),
            }
        }
    }

    /// Returns the endpoint for a task, or `None` if none has room.
    fn choose(&self, now: Duration, waiting: WaitingTask) -> Option<usize> {
        let job = &self.history.jobs[waiting.job];
        let task = &job.tasks[waiting.task];
        let due = self.slo.due(job);
        let end_on = |endpoint: &Endpoint| now + task.work.mul_f64(endpoint.slowness);
        let with_room = (0..self.free_cpu_millis.len())
            .filter(|index| self.free_cpu_millis[*index] >= task.cpu_millis);
        let cost = |index: &usize| {
            let end = end_on(&self.history.endpoints[*index]);
            // Prefers the slowest endpoint that is in time; if none is, the fastest one.
            if end <= due { (false, due - end) } else { (true, end) }
        };
        with_room.min_by_key(cost)
    }

    fn run(&mut self, now: Duration, waiting: WaitingTask, endpoint: usize) {
        let task = &self.history.jobs[waiting.job].tasks[waiting.task];
        self.free_cpu_millis[endpoint] -= task.cpu_millis;
        let end = now + task.work.mul_f64(self.history.endpoints[endpoint].slowness);
        let event = Event::TaskEnded { endpoint, job: waiting.job, task: waiting.task };
        self.events.push(Reverse((end, event)));
    }
}

//! Two ideals: each job alone on all endpoints, and one central scheduler that knows every size.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::history::{Endpoint, History, Job};

/// Response up to this multiple of the objective counts as late, beyond as none.
const LATE_FACTOR: f64 = 3.0;

/// What callers are promised.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    pub stretch: f64,
    pub target: Duration,
    pub patience: Duration,
}

/// How a job fared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InTime,
    Late,
    Lost,
}

/// Parts of a queue's jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub in_time: f64,
    pub late: f64,
}

impl Share {
    /// Counts the outcomes of some jobs.
    pub fn of(jobs: &[usize], outcomes: &[Outcome]) -> Self {
        let part = |wanted: Outcome| {
            let found = jobs.iter().filter(|job| outcomes[**job] == wanted).count();
            found as f64 / jobs.len().max(1) as f64
        };
        Self { in_time: part(Outcome::InTime), late: part(Outcome::Late) }
    }
}

impl Promise {
    fn objective(&self, job: &Job) -> Duration {
        let longest = job.tasks.iter().map(|task| task.work).max().unwrap_or_default();
        longest.mul_f64(self.stretch) + self.target
    }

    /// Returns when a job must end to be answered in time.
    fn due(&self, job: &Job) -> Duration {
        job.at + self.objective(job).min(self.patience)
    }

    fn judge(&self, job: &Job, response: Duration) -> Outcome {
        let objective = self.objective(job);
        if response > self.patience || response > objective.mul_f64(LATE_FACTOR) {
            Outcome::Lost
        } else if response > objective {
            Outcome::Late
        } else {
            Outcome::InTime
        }
    }
}

/// Runs each task at once on the fastest endpoint that is large enough: no scheduler does better.
pub fn alone(history: &History, promise: Promise) -> Vec<Outcome> {
    let response = |job: &Job| {
        let ends = job.tasks.iter().map(|task| {
            let fits = history.endpoints.iter().filter(|e| e.cpu_millis >= task.cpu_millis);
            let fastest = fits.map(|e| e.slowness).min_by(f64::total_cmp);
            fastest.map_or(Duration::MAX, |slowness| task.work.mul_f64(slowness))
        });
        ends.max().unwrap_or_default()
    };
    history.jobs.iter().map(|job| promise.judge(job, response(job))).collect()
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    End { endpoint: usize, job: usize, task: usize },
    Arrive { job: usize },
}

/// A task that waits for room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Waiting {
    /// Latest moment to start on an endpoint of speed 1 and end in time.
    start_by: Duration,
    job: usize,
    task: usize,
}

struct Central<'a> {
    history: &'a History,
    promise: Promise,
    free: Vec<u32>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    waiting: Vec<Waiting>,
    left: Vec<usize>,
    outcomes: Vec<Outcome>,
}

/// Runs the jobs on endpoints that never fail, without latency: the most urgent task first, each on the
/// slowest endpoint on which it is in time, so that fast ones are left to those that need them.
pub fn central(history: &History, promise: Promise) -> Vec<Outcome> {
    let mut central = Central {
        history,
        promise,
        free: history.endpoints.iter().map(|endpoint| endpoint.cpu_millis).collect(),
        events: BinaryHeap::new(),
        waiting: Vec::new(),
        left: history.jobs.iter().map(|job| job.tasks.len()).collect(),
        outcomes: vec![Outcome::Lost; history.jobs.len()],
    };
    for (number, job) in history.jobs.iter().enumerate() {
        central.events.push(Reverse((job.at, Event::Arrive { job: number })));
    }
    while let Some(Reverse((now, event))) = central.events.pop() {
        central.on_event(now, event);
        central.start(now);
    }
    central.outcomes
}

impl Central<'_> {
    fn on_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive { job } => {
                let arrived = &self.history.jobs[job];
                let due = self.promise.due(arrived);
                let wait = |(task, found): (usize, &super::history::Task)| Waiting {
                    start_by: due.saturating_sub(found.work),
                    job,
                    task,
                };
                self.waiting.extend(arrived.tasks.iter().enumerate().map(wait));
                self.waiting.sort();
            }
            Event::End { endpoint, job, task } => {
                let ended = &self.history.jobs[job];
                self.free[endpoint] += ended.tasks[task].cpu_millis;
                self.left[job] -= 1;
                if self.left[job] == 0 {
                    self.outcomes[job] = self.promise.judge(ended, now.saturating_sub(ended.at));
                }
            }
        }
    }

    /// Starts what has room; what can no longer be answered is dropped.
    fn start(&mut self, now: Duration) {
        let waiting = std::mem::take(&mut self.waiting);
        for wait in waiting {
            let job = &self.history.jobs[wait.job];
            if now > job.at + self.promise.patience {
                continue;
            }
            match self.choose(now, wait) {
                Some(endpoint) => self.run(now, wait, endpoint),
                None => self.waiting.push(wait),
            }
        }
    }

    fn choose(&self, now: Duration, wait: Waiting) -> Option<usize> {
        let job = &self.history.jobs[wait.job];
        let task = &job.tasks[wait.task];
        let due = self.promise.due(job);
        let ends = |endpoint: &Endpoint| now + task.work.mul_f64(endpoint.slowness);
        let fits = (0..self.free.len()).filter(|number| self.free[*number] >= task.cpu_millis);
        let cost = |number: &usize| {
            let end = ends(&self.history.endpoints[*number]);
            // In time: the slowest first. Else: the fastest first.
            if end <= due { (false, due - end) } else { (true, end) }
        };
        fits.min_by_key(cost)
    }

    fn run(&mut self, now: Duration, wait: Waiting, endpoint: usize) {
        let task = &self.history.jobs[wait.job].tasks[wait.task];
        self.free[endpoint] -= task.cpu_millis;
        let end = now + task.work.mul_f64(self.history.endpoints[endpoint].slowness);
        let event = Event::End { endpoint, job: wait.job, task: wait.task };
        self.events.push(Reverse((end, event)));
    }
}

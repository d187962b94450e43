//! The event queue, the progress of jobs and the outcome of a simulated run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::workload::{DEADLINE, Job};

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The time from arrival to completion of each job; `None` for jobs that did not complete.
    pub response_times: Vec<Option<Duration>>,
    /// The number of jobs refused at admission.
    pub refused: u64,
    /// The number of orders to start a task.
    pub starts: u64,
    /// The number of tasks that succeeded.
    pub succeeded: u64,
    /// The number of messages between entries and agents.
    pub messages: u64,
    /// The number of tasks that the failing worker took after its first [`DETECTION_FAILURES`]
    /// failures.
    ///
    /// [`DETECTION_FAILURES`]: crate::report::DETECTION_FAILURES
    pub swallowed: u64,
    /// The total work of jobs that completed within the deadline, in seconds.
    pub goodput: f64,
}

impl Outcome {
    /// Records the completion of a job.
    pub fn on_completed(&mut self, job: &Job, index: usize, now: Duration) {
        let response_time = now - job.arrival;
        self.response_times[index] = Some(response_time);
        if response_time <= DEADLINE {
            self.goodput += job.tasks.iter().map(Duration::as_secs_f64).sum::<f64>();
        }
    }
}

/// An event in the queue; `sequence` orders events of equal time.
#[derive(Debug)]
struct Scheduled<E> {
    at: Duration,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A queue of events ordered by time; events of equal time are in insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    /// The sequence number of the last added event.
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }

    /// Adds an event at a time.
    pub fn push(&mut self, at: Duration, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}

/// Counts the remaining tasks of each job.
#[derive(Debug)]
pub struct Progress {
    remaining: Vec<usize>,
    failed: Vec<bool>,
}

impl Progress {
    /// Creates the progress of jobs with the given numbers of tasks.
    pub fn new(task_counts: impl Iterator<Item = usize>) -> Self {
        let remaining: Vec<usize> = task_counts.collect();
        Self { failed: vec![false; remaining.len()], remaining }
    }

    /// Records the end of a task and returns whether it completed its job, that is, was the last
    /// task and none failed.
    pub fn on_task_ended(&mut self, job: usize, ok: bool) -> bool {
        self.failed[job] |= !ok;
        self.remaining[job] -= 1;
        self.remaining[job] == 0 && !self.failed[job]
    }

    /// Returns whether all tasks of a job have ended.
    pub fn is_finished(&self, job: usize) -> bool {
        self.remaining[job] == 0
    }
}

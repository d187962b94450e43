//! A queue of events in the order of their time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::workload::{DEADLINE, Job};

/// What became of the jobs of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from arrival to the whole answer, for jobs that completed.
    pub responses: Vec<Option<Duration>>,
    /// Jobs refused at once.
    pub refused: u64,
    /// Orders to start a task.
    pub starts: u64,
    /// Tasks that ran and succeeded.
    pub succeeded: u64,
    /// All messages between entries and agents.
    pub messages: u64,
    /// Tasks that the failing worker took after its first failures.
    pub swallowed: u64,
    /// Work of the jobs that were answered in time, in seconds.
    pub useful: f64,
}

impl Outcome {
    /// Takes in that a job has its whole answer.
    pub fn answer(&mut self, job: &Job, number: usize, now: Duration) {
        let response = now - job.at;
        self.responses[number] = Some(response);
        if response <= DEADLINE {
            self.useful += job.tasks.iter().map(Duration::as_secs_f64).sum::<f64>();
        }
    }
}

#[derive(Debug)]
struct Entry<E> {
    at: Duration,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events to come; those of the same time come in the order they were added.
#[derive(Debug)]
pub struct Events<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    number: u64,
}

impl<E> Events<E> {
    /// Returns a queue without events.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), number: 0 }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Duration, event: E) {
        self.number += 1;
        self.heap.push(Reverse(Entry { at, number: self.number, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

/// Keeps count of the tasks of each job.
#[derive(Debug)]
pub struct Progress {
    left: Vec<usize>,
    failed: Vec<bool>,
}

impl Progress {
    /// Returns the progress of jobs that have just arrived.
    pub fn new(sizes: impl Iterator<Item = usize>) -> Self {
        let left: Vec<usize> = sizes.collect();
        Self { failed: vec![false; left.len()], left }
    }

    /// Counts a task as ended; true where it was the last of a job that has not failed.
    pub fn end(&mut self, job: usize, ok: bool) -> bool {
        self.failed[job] |= !ok;
        self.left[job] -= 1;
        self.left[job] == 0 && !self.failed[job]
    }

    /// Tells whether every task of a job has ended.
    pub fn is_over(&self, job: usize) -> bool {
        self.left[job] == 0
    }
}

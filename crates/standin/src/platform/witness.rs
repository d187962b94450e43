//! What the endpoints have seen.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// One start or end of a run.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When.
    pub at: Instant,
    /// The endpoint's id.
    pub endpoint: String,
    /// The task, as REQUEST.OCCURRENCE.STEP.INDEX.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// How it ended; none for a start.
    pub how: Option<&'static str>,
}

impl Seen {
    /// Returns the request that the task belongs to.
    pub fn request(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

/// What all endpoints of a test have seen, in order.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    seen: Arc<Mutex<Vec<Seen>>>,
    /// Endpoints whose room was exceeded, with what was in use.
    overfull: Arc<Mutex<Vec<(String, u64)>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the witness panics")
}

impl Witness {
    /// Notes a start or an end.
    pub(super) fn note(&self, endpoint: &str, task: &str, run: u64, how: Option<&'static str>) {
        let (endpoint, task) = (endpoint.to_owned(), task.to_owned());
        lock(&self.seen).push(Seen { at: Instant::now(), endpoint, task, run, how });
    }

    /// Notes that an endpoint's room was exceeded.
    pub(super) fn note_overfull(&self, endpoint: &str, used: u64) {
        lock(&self.overfull).push((endpoint.to_owned(), used));
    }

    /// Returns everything seen so far.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }

    /// Returns the endpoints whose room was exceeded.
    pub fn overfull(&self) -> Vec<(String, u64)> {
        lock(&self.overfull).clone()
    }
}

//! What the endpoints have seen.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// One start or end of a run.
#[derive(Clone, Debug)]
pub struct RunEvent {
    /// When.
    pub at: Instant,
    /// The endpoint's id.
    pub endpoint: String,
    /// The task, as REQUEST.OCCURRENCE.STEP.INDEX.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// How it ended; none for a start.
    pub outcome: Option<&'static str>,
}

impl RunEvent {
    /// Returns the request that the task belongs to.
    pub fn request_id(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

/// What all endpoints of a test have seen, in order.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    events: Arc<Mutex<Vec<RunEvent>>>,
    /// Endpoints whose room was exceeded, with what was in use.
    overcommitted: Arc<Mutex<Vec<(String, u64)>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the witness panics")
}

impl RunLog {
    /// Notes a start or an end.
    pub(super) fn record(
        &self,
        endpoint: &str,
        task: &str,
        run: u64,
        outcome: Option<&'static str>,
    ) {
        let (endpoint, task) = (endpoint.to_owned(), task.to_owned());
        lock(&self.events).push(RunEvent { at: Instant::now(), endpoint, task, run, outcome });
    }

    /// Notes that an endpoint's room was exceeded.
    pub(super) fn record_overcommit(&self, endpoint: &str, used: u64) {
        lock(&self.overcommitted).push((endpoint.to_owned(), used));
    }

    /// Returns everything seen so far.
    pub fn events(&self) -> Vec<RunEvent> {
        lock(&self.events).clone()
    }

    /// Returns the endpoints whose room was exceeded.
    pub fn overcommitted(&self) -> Vec<(String, u64)> {
        lock(&self.overcommitted).clone()
    }
}

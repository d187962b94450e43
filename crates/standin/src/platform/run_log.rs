//! A log of the starts and ends of runs on all endpoints of a test.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A start or an end of a run on an endpoint.
#[derive(Clone, Debug)]
pub struct RunEvent {
    /// Time at which the endpoint recorded the event.
    pub at: Instant,
    /// Id of the endpoint's first incarnation.
    pub endpoint: String,
    /// Name of the task, as `REQUEST.OCCURRENCE.STEP.INDEX`. The occurrence is 0 for a job that
    /// runs once, as all jobs of the tests do.
    pub task: String,
    /// Number of the run, as given by the agent.
    pub run: u64,
    /// How the run ended: `done`, `failed`, `stopped`, `lapsed` (the lease expired) or `crashed`.
    /// `None` for a start.
    pub outcome: Option<&'static str>,
}

impl RunEvent {
    /// Returns the id of the request that the task belongs to.
    pub fn request_id(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

/// The starts and ends of runs on all endpoints of a test, in order of recording. Clones share the
/// log.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    events: Arc<Mutex<Vec<RunEvent>>>,
    /// Endpoints that ran more than their CPU capacity allows, each with the CPU in use.
    overcommitted: Arc<Mutex<Vec<(String, u64)>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("the mutexes of the run log are never poisoned")
}

impl RunLog {
    /// Records the start of a run, or its end if there is an outcome.
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

    /// Records that the tasks of an endpoint use `used` thousandths of a core, more than it has.
    pub(super) fn record_overcommit(&self, endpoint: &str, used: u64) {
        lock(&self.overcommitted).push((endpoint.to_owned(), used));
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<RunEvent> {
        lock(&self.events).clone()
    }

    /// Returns the id of each endpoint whose CPU capacity was exceeded, with the CPU in use at the
    /// time in thousandths of a core. An endpoint appears once for each start beyond its capacity.
    pub fn overcommitted(&self) -> Vec<(String, u64)> {
        lock(&self.overcommitted).clone()
    }
}

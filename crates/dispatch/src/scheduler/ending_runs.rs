//! Runs of ended jobs whose ends their agents have not confirmed.
//!
//! A caller may send its job again as soon as its connection breaks, before the cancellation of the runs
//! has reached their agents. A task that is placed then would run beside the one that is being stopped.
//! Until the ends are confirmed, or the leases have ended the runs, the job counts as open.

use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::{AgentId, RequestId, TaskRun};

/// The runs of an ended job.
#[derive(Clone, Debug)]
struct Ending {
    /// Time by which the leases have ended the runs; `None` until the first tick after the job's end.
    until: Option<Duration>,
    runs: Vec<(AgentId, TaskRun)>,
}

/// The runs of all ended jobs that may go on.
#[derive(Clone, Debug, Default)]
pub(super) struct EndingRuns {
    jobs: SortedMap<RequestId, Ending>,
}

impl EndingRuns {
    /// Adds the cancelled runs of a job that has ended.
    pub(super) fn add(&mut self, id: &RequestId, runs: Vec<(AgentId, TaskRun)>) {
        if !runs.is_empty() {
            self.jobs.insert(id.clone(), Ending { until: None, runs });
        }
    }

    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.jobs.contains(id)
    }

    /// Handles the confirmed end of a run.
    pub(super) fn on_end(&mut self, agent: &AgentId, run: &TaskRun) {
        if let Some(ending) = self.jobs.get_mut(&run.task.request) {
            ending.runs.retain(|(other, other_run)| other != agent || other_run != run);
            if ending.runs.is_empty() {
                self.jobs.remove(&run.task.request);
            }
        }
    }

    /// Keeps the runs at an agent for which `is_there` holds.
    pub(super) fn retain_at<F>(&mut self, agent: &AgentId, is_there: F)
    where
        F: Fn(&TaskRun) -> bool,
    {
        for (_, ending) in self.jobs.iter_mut() {
            ending.runs.retain(|(other, run)| other != agent || is_there(run));
        }
        self.jobs.retain(|_, ending| !ending.runs.is_empty());
    }

    /// Forgets the runs that leases have ended; `lease_bound` is the time that this takes at most.
    pub(super) fn expire(&mut self, now: Duration, lease_bound: Duration) {
        for (_, ending) in self.jobs.iter_mut() {
            ending.until.get_or_insert(now + lease_bound);
        }
        self.jobs.retain(|_, ending| ending.until.is_none_or(|until| now < until));
    }
}

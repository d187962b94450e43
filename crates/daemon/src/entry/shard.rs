//! The jobs of one range.

use std::sync::Arc;
use std::time::Instant;

use cowslipwing_claims::{Job, Recovery};
use cowslipwing_policy::Requirements;
use cowslipwing_proto::{JobAnswer, JobSubmission};
use cowslipwing_types::{Epoch, JobId, SortedMap};
use tokio::sync::oneshot;

/// What a caller that waits for a job is told.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The answer is final.
    Answer(Arc<JobAnswer>),
    /// Another entry owns the job's range by now.
    OwnerChanged,
}

/// What this entry does for a range.
#[derive(Clone, Debug)]
pub(crate) enum ServingState {
    /// Another entry owns the range, or none.
    NotOwned,
    /// This entry owns the range and is taking it over.
    TakingOver,
    /// This entry serves the range.
    Serving(Recovery),
}

/// A job that has no answer yet.
pub(crate) struct OpenJob {
    pub(crate) job: Job,
    pub(crate) submission: Arc<JobSubmission>,
    pub(crate) requirements: Requirements,
    pub(crate) traceparent: String,
    /// Deadline in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: u64,
    pub(crate) waiters: Vec<oneshot::Sender<Reply>>,
    /// Agents were told to give back what they have.
    pub(crate) take_back_sent: bool,
}

/// A job that has its answer.
pub(crate) struct EndedJob {
    pub(crate) fingerprint: u64,
    pub(crate) answer: Arc<JobAnswer>,
    pub(crate) ended_at: Instant,
}

/// The jobs of one range and this entry's part in it.
pub(crate) struct Shard {
    pub(crate) epoch: Epoch,
    pub(crate) serving: ServingState,
    /// No new job is taken on, since the range is to be given away.
    pub(crate) draining: bool,
    /// Another entry was told all that is known, so that no job may be taken on again.
    pub(crate) handed_over: bool,
    pub(crate) open_jobs: SortedMap<JobId, OpenJob>,
    pub(crate) ended_jobs: SortedMap<JobId, EndedJob>,
}

impl Shard {
    pub(crate) fn new() -> Self {
        Self {
            epoch: Epoch::default(),
            serving: ServingState::NotOwned,
            draining: false,
            handed_over: false,
            open_jobs: SortedMap::new(),
            ended_jobs: SortedMap::new(),
        }
    }

    /// Tells whether this entry serves the range.
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.serving, ServingState::Serving(_))
    }

    /// Follows the owner that the log names; returns the open jobs of a range that was lost.
    pub(crate) fn set_owner(&mut self, epoch: Epoch, is_own: bool) -> Vec<OpenJob> {
        if epoch <= self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        self.draining = false;
        self.handed_over = false;
        self.serving = if is_own { ServingState::TakingOver } else { ServingState::NotOwned };
        self.ended_jobs = SortedMap::new();
        std::mem::take(&mut self.open_jobs).into_values()
    }

    /// Begins to serve at an epoch, unless the range has moved on.
    pub(crate) fn start_serving(&mut self, epoch: Epoch, recovery: Recovery) -> bool {
        let is_current = self.epoch == epoch && matches!(self.serving, ServingState::TakingOver);
        if is_current {
            self.serving = ServingState::Serving(recovery);
        }
        is_current
    }
}

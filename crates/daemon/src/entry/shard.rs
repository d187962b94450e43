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
    Moved,
}

/// What this entry does for a range.
#[derive(Clone, Debug)]
pub(crate) enum Serving {
    /// Another entry owns the range, or none.
    Elsewhere,
    /// This entry owns the range and is taking it over.
    TakingOver,
    /// This entry serves the range.
    Here(Recovery),
}

/// A job that has no answer yet.
pub(crate) struct OpenJob {
    pub(crate) job: Job,
    pub(crate) submission: Arc<JobSubmission>,
    pub(crate) need: Requirements,
    pub(crate) traceparent: String,
    /// Deadline in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: u64,
    pub(crate) waiters: Vec<oneshot::Sender<Reply>>,
    /// Agents were told to give back what they have.
    pub(crate) taken_back: bool,
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
    pub(crate) serving: Serving,
    /// No new job is taken on, since the range is to be given away.
    pub(crate) draining: bool,
    /// Another entry was told all that is known, so that no job may be taken on again.
    pub(crate) given: bool,
    pub(crate) open: SortedMap<JobId, OpenJob>,
    pub(crate) ended: SortedMap<JobId, EndedJob>,
}

impl Shard {
    pub(crate) fn new() -> Self {
        Self {
            epoch: Epoch::default(),
            serving: Serving::Elsewhere,
            draining: false,
            given: false,
            open: SortedMap::new(),
            ended: SortedMap::new(),
        }
    }

    /// Tells whether this entry serves the range.
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.serving, Serving::Here(_))
    }

    /// Follows the owner that the log names; returns the open jobs of a range that was lost.
    pub(crate) fn follow(&mut self, epoch: Epoch, is_mine: bool) -> Vec<OpenJob> {
        if epoch <= self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        self.draining = false;
        self.given = false;
        self.serving = if is_mine { Serving::TakingOver } else { Serving::Elsewhere };
        self.ended = SortedMap::new();
        std::mem::take(&mut self.open).into_values()
    }

    /// Begins to serve at an epoch, unless the range has moved on.
    pub(crate) fn serve(&mut self, epoch: Epoch, recovery: Recovery) -> bool {
        let current = self.epoch == epoch && matches!(self.serving, Serving::TakingOver);
        if current {
            self.serving = Serving::Here(recovery);
        }
        current
    }
}

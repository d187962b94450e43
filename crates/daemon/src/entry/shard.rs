//! The jobs of one range.

use std::sync::Arc;
use std::time::Instant;

use cowslipwing_claims::{Job, RangeHandover, Recovery};
use cowslipwing_policy::Requirements;
use cowslipwing_proto::{JobAnswer, JobSubmission};
use cowslipwing_types::{Epoch, JobId, SortedMap};
use tokio::sync::oneshot;

use super::job_memory::JobMemory;

/// The message to a caller that waits for a job.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The final answer of the job.
    Answer(Arc<JobAnswer>),
    /// Another entry has become the owner of the job's range.
    OwnerChanged,
}

/// Whether this entry serves a range.
#[derive(Clone, Debug)]
pub(crate) enum ServingState {
    /// The range belongs to another entry or has no owner.
    NotOwned,
    /// This entry owns the range and is taking it over.
    TakingOver,
    /// This entry serves the range; the recovery holds what is known about tasks that earlier
    /// owners have started.
    Serving(Recovery),
}

/// A job that has no final answer yet.
pub(crate) struct OpenJob {
    pub(crate) job: Job,
    /// Counts the job's memory while it is open.
    pub(crate) _memory: JobMemory,
    pub(crate) submission: Arc<JobSubmission>,
    /// Resources that each task of the job requires.
    pub(crate) requirements: Requirements,
    /// Trace context of the submission, as a `traceparent` header; empty if it is not traced.
    pub(crate) traceparent: String,
    /// Deadline in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: u64,
    /// Callers that wait for the answer.
    pub(crate) waiters: Vec<oneshot::Sender<Reply>>,
    /// Whether the agents have been told to return the job's tasks.
    pub(crate) take_back_sent: bool,
}

/// A job that has its final answer.
pub(crate) struct EndedJob {
    /// Hash of the submission, which a repeated submission must match.
    pub(crate) fingerprint: u64,
    pub(crate) answer: Arc<JobAnswer>,
    pub(crate) ended_at: Instant,
}

/// The jobs of one range, and whether this entry serves it.
pub(crate) struct Shard {
    /// Newest epoch of the range, 0 if it has had no owner yet.
    pub(crate) epoch: Epoch,
    pub(crate) serving: ServingState,
    /// Whether the range is being handed over to another entry.
    pub(crate) handover: RangeHandover,
    pub(crate) open_jobs: SortedMap<JobId, OpenJob>,
    pub(crate) ended_jobs: SortedMap<JobId, EndedJob>,
}

impl Shard {
    /// Creates the state of a range that has had no owner yet.
    pub(crate) fn new() -> Self {
        Self {
            epoch: Epoch::default(),
            serving: ServingState::NotOwned,
            handover: RangeHandover::None,
            open_jobs: SortedMap::new(),
            ended_jobs: SortedMap::new(),
        }
    }

    /// Returns whether this entry serves the range.
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.serving, ServingState::Serving(_))
    }

    /// Applies a newer epoch of the range, which belongs to this entry if `is_own` is `true`.
    ///
    /// Removes and returns the jobs that were open under the old epoch. An epoch that is not newer
    /// changes nothing.
    pub(crate) fn set_owner(&mut self, epoch: Epoch, is_own: bool) -> Vec<OpenJob> {
        if epoch <= self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        self.handover.on_ended();
        self.serving = if is_own { ServingState::TakingOver } else { ServingState::NotOwned };
        self.ended_jobs = SortedMap::new();
        std::mem::take(&mut self.open_jobs).into_values()
    }

    /// Starts to serve the range at an epoch, after its takeover.
    ///
    /// Returns `false` if the range has a newer epoch or is not being taken over.
    pub(crate) fn start_serving(&mut self, epoch: Epoch, recovery: Recovery) -> bool {
        let is_current = self.epoch == epoch && matches!(self.serving, ServingState::TakingOver);
        if is_current {
            self.serving = ServingState::Serving(recovery);
        }
        is_current
    }
}

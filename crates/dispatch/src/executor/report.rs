//! What an agent receives from its endpoint and from entries.

use std::time::Duration;

use compact_str::CompactString;

use crate::id::{EntryId, TaskRun};
use crate::resources::Resources;
use crate::scheduler::TaskOrder;

/// A report of an endpoint about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Id of the endpoint, which differs between its incarnations.
    pub id: CompactString,
    /// Wall-clock start time in milliseconds, which identifies the incarnation.
    pub incarnation: u64,
    /// Service that the endpoint belongs to.
    pub service: CompactString,
    /// Total resources of the endpoint.
    pub capacity: Resources,
    /// Kind of the endpoint, which a step can require as a label.
    pub kind: CompactString,
    /// Rack of the endpoint, which a step can require as a label.
    pub rack: CompactString,
    /// Whether the endpoint is about to leave and accepts no new tasks.
    pub draining: bool,
    /// Time for which the endpoint is still slow, because it has just started.
    pub cold_remaining: Duration,
    /// Number that rises with each report of an incarnation.
    pub sequence: u64,
}

impl EndpointReport {
    /// Returns whether two reports are of the same incarnation.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }

    /// Returns whether the endpoint has a label as its kind or its rack; `true` for no label.
    pub fn has_label(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.kind == label || self.rack == label)
    }

    /// Returns whether an agent that restarts must learn of the change between two reports.
    pub fn differs_from(&self, other: &Self) -> bool {
        !self.is_same_incarnation(other)
            || self.draining != other.draining
            || self.capacity != other.capacity
    }
}

/// Progress of a run at the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskProgress {
    /// The run.
    pub run: TaskRun,
    /// Completed share of the work, in percent.
    pub percent: u32,
}

/// The way in which a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// The task or the endpoint failed.
    Failed,
    /// The run was stopped, its lease expired, or it was interrupted.
    Aborted,
}

/// The end of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskEnd {
    /// Sequence number of the end, counted from 1 in each incarnation of the endpoint.
    pub sequence: u64,
    /// The run that ended.
    pub run: TaskRun,
    /// The way in which it ended.
    pub outcome: RunOutcome,
}

/// The runs that an endpoint lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Agent time at which the listing was requested.
    pub requested_at: Duration,
    /// Incarnation that answered.
    pub incarnation: u64,
    /// The endpoint's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<TaskProgress>,
    /// Runs that have ended and whose end is not acknowledged.
    pub ended: Vec<TaskEnd>,
}

/// The reason for which an endpoint did not start a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The endpoint has seen a higher fencing token.
    Fenced,
    /// The endpoint has seen a run of this task with the same or a higher number.
    OldRun,
    /// The start arrived after its deadline.
    TooLate,
    /// The endpoint has too few free resources.
    NoRoom,
    /// The endpoint answered that it cannot serve the call.
    Unhealthy,
    /// No connection to the endpoint was available in time, so the call was not sent.
    NotSent,
    /// Nothing listens at the endpoint's address.
    NotListening,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The endpoint rejected the call as invalid, or for an unknown reason.
    Invalid,
}

/// The outcome of a call that starts a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The task runs.
    Started,
    /// The task does not run, and this call will not start it.
    Refused(StartRefusal),
    /// No answer arrived, so that the task may or may not run.
    NoReply,
}

/// A task order together with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOrder {
    /// Entry that sent the order.
    pub entry: EntryId,
    /// The order.
    pub order: TaskOrder,
}

//! What an agent is told by its endpoint and by entries.

use std::time::Duration;

use compact_str::CompactString;

use crate::id::{EntryName, TaskRun};
use crate::resources::Resources;
use crate::scheduler::TaskOrder;

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// Its id.
    pub id: CompactString,
    /// Wall-clock millisecond of its start, which tells incarnations apart.
    pub incarnation: u64,
    /// Its service.
    pub service: CompactString,
    /// Its size.
    pub capacity: Resources,
    /// Its kind.
    pub kind: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// It is about to leave.
    pub draining: bool,
    /// Rises with each report of an incarnation.
    pub sequence: u64,
}

/// A task that runs at the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskProgress {
    /// The run.
    pub run: TaskRun,
    /// Part of its work that is done.
    pub percent: u32,
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// Done.
    Done,
    /// Failed, by its own fault or the endpoint's.
    Failed,
    /// Stopped, lapsed or broken off.
    Aborted,
}

/// A run that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskEnd {
    /// Number of the end, from 1 in each incarnation.
    pub sequence: u64,
    /// The run.
    pub run: TaskRun,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// What the endpoint lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// When the listing was asked for.
    pub requested_at: Duration,
    /// The incarnation.
    pub incarnation: u64,
    /// The endpoint's clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<TaskProgress>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<TaskEnd>,
}

/// Why the endpoint did not start a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// A higher fencing token was seen.
    Fenced,
    /// The run's number is not above one seen before.
    OldRun,
    /// The start came after its deadline.
    TooLate,
    /// There is no room.
    NoRoom,
    /// The endpoint is not healthy.
    Unhealthy,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The request was not understood.
    Invalid,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// It does not run and will not.
    Refused(StartRefusal),
    /// Nothing is known.
    NoReply,
}

/// A task order as received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedOrder {
    /// The entry that sent it.
    pub entry: EntryName,
    /// What it asks for.
    pub order: TaskOrder,
}

//! Messages between entries and agents about tasks, and the actions of an entry.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::crash_log::CrashRecord;
use crate::id::{AgentId, RequestId, TaskRun};
use crate::job::Answer;
use crate::resources::Resources;

use super::Decision;

/// The part that a run had in the crash of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashRole {
    /// The run was among the last that were started before the crash, so that it may have caused it.
    Suspect,
    /// The run had been started before others.
    Bystander,
    /// The endpoint had not confirmed the start, so that the run may not have been there.
    Unconfirmed,
}

/// The status of a run, which an agent reports to the entry that ordered it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStatus {
    /// The run did not start, and this run number will not be started: no start was sent, or the
    /// only one was refused, or the incarnation to which all were sent has confirmed a stop and does
    /// not list the run.
    NotStarted,
    /// The run did not start, because the endpoint has seen the same or a higher run number. Another
    /// attempt of the caller may have started the task there.
    StaleRun,
    /// The task completed after this run time.
    Done(Duration),
    /// The task ran and failed.
    Failed,
    /// The run was stopped or lost, but its endpoint is not known to have crashed.
    Stopped,
    /// The run was lost because its endpoint crashed.
    Crashed(CrashRole),
    /// The run did not start, because the task is suspected of an earlier crash of the endpoint.
    KnownSuspect,
    /// The run is far slower than is usual at its endpoint, and needs about this much more time.
    Slow(Duration),
    /// The task is more work than expected and cannot end in time, since it needs about this much
    /// more time.
    Overrun(Duration),
}

impl RunStatus {
    /// Returns whether the run does not go on.
    pub fn ends_run(self) -> bool {
        !matches!(self, Self::Slow(_) | Self::Overrun(_))
    }
}

/// A task event that an agent sends to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskEvent {
    /// The run that the event is about.
    pub run: TaskRun,
    /// Status of the run.
    pub status: RunStatus,
}

/// An order to run a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskOrder {
    /// The run to start.
    pub run: TaskRun,
    /// Description of the work, passed to the endpoint as it is.
    pub payload: Arc<str>,
    /// Resources that the task requires.
    pub resources: Resources,
    /// Expected work: the run time on an endpoint of slowness 1.
    pub expected_work: Duration,
    /// Time within which the task must start to meet its objective; zero if the objective is
    /// already missed.
    pub start_within: Duration,
    /// Time after which the task must not be started any more.
    pub abandon_after: Duration,
    /// Time within which the task must end for the answer to reach the caller.
    pub end_within: Duration,
    /// Maximum number of tasks of the step at this endpoint; 0 means no limit.
    pub max_per_endpoint: u32,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Label that the endpoint must have as its kind or its rack when the task starts.
    pub required_label: Option<CompactString>,
}

/// An action that the entry must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an order to an agent.
    Order(AgentId, TaskOrder),
    /// Cancels a run at an agent.
    Cancel(AgentId, TaskRun),
    /// Sends a crash record and the time since the crash to an agent.
    ShareCrash(AgentId, CrashRecord, Duration),
    /// Sends the final answer to the caller.
    Answer(RequestId, Answer),
    /// Writes a decision to the log.
    Record(Decision),
}

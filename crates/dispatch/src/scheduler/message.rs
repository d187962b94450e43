//! What an entry and an agent tell each other of tasks, and what an entry is to do.

use std::sync::Arc;
use std::time::Duration;

use crate::id::{AgentId, RequestId, TaskRun};
use crate::job::Answer;
use crate::resources::Resources;

use super::Decision;

/// How a task has fared at an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It has not run, and will not under this number.
    NotStarted,
    /// It has not run; the endpoint has seen a number as high or higher.
    StaleRun,
    /// It ran to its end, for so long.
    Done(Duration),
    /// It ran and failed.
    Failed,
    /// It was stopped or lost.
    Stopped,
    /// It runs at an endpoint that is far slower than usual, and needs about so much longer.
    Slow(Duration),
    /// It is more work than expected and cannot end in time, since it needs about so much longer.
    Overrun(Duration),
}

/// What an agent tells of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskEvent {
    /// The run.
    pub run: TaskRun,
    /// How it fared.
    pub fate: Fate,
}

/// An order to run a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskOrder {
    /// The run.
    pub run: TaskRun,
    /// What the endpoint is handed.
    pub payload: Arc<str>,
    /// What the task needs.
    pub resources: Resources,
    /// Work expected: the run time on an endpoint of speed 1.
    pub expected_work: Duration,
    /// Time within which a start serves the objective; zero where it is missed already.
    pub start_within: Duration,
    /// Time after which a start is of no use.
    pub abandon_after: Duration,
    /// Time by which the task must end for its caller to get the answer.
    pub end_within: Duration,
    /// Most tasks of the step at this endpoint; 0 for no limit.
    pub max_per_endpoint: u32,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to an agent.
    Order(AgentId, TaskOrder),
    /// Take a task back from an agent, or stop it.
    Cancel(AgentId, TaskRun),
    /// Answer the caller.
    Answer(RequestId, Answer),
    /// Record a decision.
    Record(Decision),
}

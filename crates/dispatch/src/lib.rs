//! Decisions on jobs whose caller waits for the answer.
//!
//! The [`Scheduler`] of an entry admits jobs, places their tasks, and moves tasks away from endpoints
//! that fail, hang or crawl. The [`Executor`] of an agent has the last word on starting a task at its
//! endpoint. Both are state machines: events and the time go in, actions come out. Times are
//! durations since the VM booted, so that a suspended VM sees them pass.

mod answers;
mod executor;
mod id;
mod job;
mod place;
mod predict;
mod room;
mod route;
mod samples;
mod scheduler;

pub use answers::Answers;
pub use executor::{
    EndpointReport, Executor, ExecutorAction, ExecutorSettings, HowEnded, Listing, Order,
    StartOutcome, StartRefusal, TaskEnd, TaskProgress,
};
pub use id::{AgentId, EntryName, IdError, RequestId, TaskName, TaskRun};
pub use job::{Answer, GiveUp, JobSpec, RefusalReason, StepSpec, Terms};
pub use place::{Candidate, Demand, EndpointStatus, Forecast, QueuedCpu, exceeds};
pub use predict::{Predictor, Work};
pub use room::{FreeRoom, Room};
pub use route::{Route, RouteTable};
pub use samples::{Samples, Speed};
pub use scheduler::{Action, Decision, Fate, Scheduler, SchedulerSettings, TaskEvent, TaskOrder};

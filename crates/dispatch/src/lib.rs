//! Decisions on jobs whose caller waits for the answer.
//!
//! The [`Scheduler`] of an entry admits jobs, places their tasks, and moves tasks away from endpoints
//! that fail, hang or crawl. The [`Executor`] of an agent has the last word on starting a task at its
//! endpoint. Both are state machines: events and the time go in, actions come out. Times are
//! durations since the VM booted, so that a suspended VM sees them pass.

mod executor;
mod id;
mod job;
mod placement;
mod predictor;
mod reply_tracker;
mod resources;
mod route;
mod samples;
mod scheduler;

pub use executor::{
    EndpointReport, Executor, ExecutorAction, ExecutorSettings, Listing, ReceivedOrder, RunOutcome,
    StartOutcome, StartRefusal, TaskEnd, TaskProgress,
};
pub use id::{AgentId, EntryName, IdError, RequestId, TaskName, TaskRun};
pub use job::{Answer, ContractTerms, GiveUpReason, JobSpec, RefusalReason, StepSpec};
pub use placement::{
    Candidate, EndpointStatus, Forecast, PlacementRequest, QueuedCpu, exceedance_probability,
};
pub use predictor::{Predictor, WorkEstimate};
pub use reply_tracker::ReplyTracker;
pub use resources::{FreeResources, Resources};
pub use route::{Route, RouteTable};
pub use samples::{Samples, SlownessEstimator};
pub use scheduler::{Action, Decision, Fate, Scheduler, SchedulerSettings, TaskEvent, TaskOrder};

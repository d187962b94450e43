//! Scheduling of jobs whose callers wait for the answer.
//!
//! The [`Scheduler`] of an entry admits jobs, places their tasks, and moves tasks away from
//! endpoints that fail, hang or become slow. The [`Executor`] of an agent decides whether and when
//! a task starts at its endpoint. Both are state machines: they take events and the current time,
//! and return actions. Times are durations since the VM booted, a clock that also advances while
//! the VM is suspended.
//!
//! These terms are used throughout:
//!
//! - The *work* of a task is its run time on an endpoint of slowness 1. The *slowness* of an
//!   endpoint is the ratio of run time to work there; lower is faster.
//! - The *objective* of a job is the time by which its contract promises the answer. Its *deadline*
//!   is the time at which its caller times out.
//! - A *listing* is an endpoint's answer to a list request of its agent: the running and the ended
//!   runs, and the endpoint's clock. The request can also extend the lease of the running ones.
//! - An *incarnation* of an agent, an entry or an endpoint is its process from one start to the
//!   next.

mod attachment;
mod connection_budget;
mod connections;
mod crash_log;
mod ended_jobs;
mod evacuation;
mod executor;
mod id;
mod job;
mod outbox;
mod placement;
mod predictor;
mod priority;
mod reply_tracker;
mod report_memory;
mod resources;
mod route;
mod samples;
mod scheduler;

pub use attachment::{KnownEntry, MAX_ENTRIES_PER_AGENT, select_entries};
pub use connection_budget::{ConnectionBudget, ConnectionDecision, ConnectionLoad};
pub use connections::{
    CloseReason, ClosedConnection, ConnectionId, ConnectionLimits, ConnectionPhase,
    ConnectionTable, ConnectionUsage, Room,
};
pub use crash_log::{CrashCount, CrashLog, CrashRecord};
pub use ended_jobs::EndedJobs;
pub use evacuation::{
    EvacuationFeed, EvacuationNotice, EvacuationNotices, EvacuationState, EvacuationVersion,
    Evacuations, FullEvacuationRead,
};
pub use executor::{
    EndpointReport, Executor, ExecutorAction, ExecutorSettings, Listing, ReceivedOrder, RunOutcome,
    StartOutcome, StartRefusal, TaskEnd, TaskProgress,
};
pub use id::{AgentId, EntryId, IdError, RequestId, TaskName, TaskRun};
pub use job::{
    Answer, ContractTerms, GiveUpReason, JobSpec, RefusalReason, StepSpec, TimeoutSource,
};
pub use outbox::Outbox;
pub use placement::{
    Candidate, DEFAULT_REMOTE_RUN_TIME_RATIO, EndpointStatus, Forecast, PlacementRequest,
    QueuedCpu, exceedance_probability,
};
pub use predictor::{Predictor, WorkEstimate};
pub use priority::{CpuByPriority, PRIORITY_CLASSES, priority_class};
pub use reply_tracker::{EndpointActivity, ReplyTracker};
pub use report_memory::ReportMemory;
pub use resources::{FreeResources, Resources};
pub use route::{RequestLimits, Route, RouteTable};
pub use samples::{EndpointCondition, Samples, SlownessEstimator};
pub use scheduler::{
    Action, CrashRole, Decision, RackChoice, RackDecision, RackSurvey, RunStatus, Scheduler,
    SchedulerSettings, TaskEvent, TaskOrder,
};

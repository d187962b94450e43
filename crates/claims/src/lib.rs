//! Decides who may start a task, and ensures that each task starts at most once.
//!
//! Job keys are partitioned into ranges. Each range is owned by one entry at a time, and each
//! change of owner increments the range's epoch. The members are the entries that have joined and
//! not left; the peers of an entry are the other members.
//!
//! The owner of a range starts tasks while it holds a lease ([`Leases`]) that its peers
//! ([`LeaseVoter`]) or the log have confirmed. An agent's [`Ledger`] makes the final decision on
//! each start. A new owner runs a [`Takeover`], whose [`Recovery`] determines which keys are safe
//! to start.
//!
//! This crate does no I/O and reads no clock: callers pass in events and times and carry out the
//! decisions.

mod agents;
mod handover;
mod job;
mod key;
mod lease;
mod lease_vote;
mod ledger;
mod takeover;

pub use agents::{AgentRegistry, AnnouncedAgent, UsableAgents};
pub use handover::{RangeHandover, ReceivedTransfers};
pub use job::{FailureReason, Job, JobPhase, TaskOutcome, TaskState};
pub use key::{KeyAgeLimits, KeyFreshness};
pub use lease::{LeaseRound, Leases};
pub use lease_vote::{LeaseVote, LeaseVoter};
pub use ledger::{
    HeldTask, Ledger, LedgerLimits, Report, Stage, StartRequest, StartResponse, TakeBackResponse,
};
pub use takeover::{AwaitingPromises, AwaitingSurveys, RecoveredTask, Recovery, Takeover};

//! Decides who may start a task, and keeps it to one start.
//!
//! An owner of a range starts tasks under a [`Leases`] entry that its peers' [`Votes`] or the log
//! confirm. An agent's [`Ledger`] has the last word on each start. A new owner goes through a
//! [`Takeover`], and its [`Recovery`] tells which keys are safe to start.
//!
//! Everything here is pure: events and times go in, decisions come out.

mod announcements;
mod job;
mod key;
mod lease;
mod ledger;
mod takeover;
mod votes;

pub use announcements::{Announced, Announcements, Usable};
pub use job::{FailReason, Job, JobPhase, Outcome, TaskState};
pub use key::{AgeRules, KeyVerdict};
pub use lease::{LeaseRound, Leases};
pub use ledger::{
    Held, Ledger, LedgerLimits, Report, Stage, StartOrder, StartVerdict, TakeBackVerdict,
};
pub use takeover::{Claimed, Found, Promised, Recovery, Takeover};
pub use votes::{Confirmation, Votes};

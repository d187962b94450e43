//! Runs scripted scenarios against real processes.
//!
//! A [`Cluster`] starts daemons and stand-ins on loopback, kills, freezes and cuts them off. A
//! [`Scenario`] is a text that drives one. The [`Verdict`] comes from what the endpoints counted and
//! what the callers were answered, never from the daemons' own word.

mod caller;
mod cluster;
mod error;
mod forwarder;
mod load;
mod process;
mod scenario;
mod verdict;

pub use caller::{Caller, Reply};
pub use cluster::Cluster;
pub use error::TestkitError;
pub use forwarder::Forwarder;
pub use load::{Load, LoadPlan};
pub use process::{Process, program_path};
pub use scenario::Scenario;
pub use verdict::{Ledger, Submission, Verdict};

//! Runs scripted scenarios against real processes.
//!
//! A [`Cluster`] starts daemons and substitute servers on loopback. It can kill and freeze them and
//! cut their links. A [`Scenario`] is a script that drives a cluster. The [`Verdict`] is computed
//! only from the starts that the endpoints recorded and the answers that the callers received. It
//! does not rely on what the daemons report about themselves.

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

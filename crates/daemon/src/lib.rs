//! The entry and the agent as processes: network services and background tasks around the decision
//! logic, which lives in crates without I/O.
//!
//! An [`Entry`] accepts submissions, owns ranges of job keys and collects the tasks' answers. An
//! [`Agent`] runs beside an endpoint and makes the final decision on starting a task there.
//!
//! # Terms
//!
//! - A *range* is one of the parts into which job keys are divided by hash. One entry, the *owner*
//!   of the range, handles its jobs. Each takeover of the range gives it a higher *epoch*.
//! - The *decision log* is a log on the platform's store. Entries record contracts, the set of
//!   entries that are *members*, and the owners of ranges there. The *fold* is the state that
//!   results from applying its records.
//! - An *incarnation* is one run of an entry or an agent, from its start to its exit.
//! - A *credit* is an agent's permission to send it one task.

pub mod agent;
mod api_error;
mod convert;
pub mod entry;
mod metrics;
mod net;
mod signal;
mod telemetry;
mod trace;

pub use agent::Agent;
pub use api_error::ApiError;
pub use entry::Entry;
pub use metrics::Metrics;
pub use net::StartError;
pub use signal::{StopSignal, wait_for_signal};
pub use telemetry::{TelemetryError, TelemetryGuard};

//! The entry and the agent as processes: network services and background tasks around the decision
//! logic, which lives in crates without I/O.
//!
//! An [`Entry`] accepts submissions, owns ranges of job keys and collects the tasks' answers. An
//! [`Agent`] runs beside an endpoint and makes the final decision on starting a task there.

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

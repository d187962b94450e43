//! The entry and the agent: thin shells around the pure parts.
//!
//! An [`Entry`] takes submissions, owns ranges of job keys and gathers answers. An [`Agent`] stands
//! beside an endpoint and has the last word on starting a task.

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

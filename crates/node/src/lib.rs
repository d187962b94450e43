//! The entry and the agent as they run on the platform.
//!
//! An [`Entry`] accepts callers' requests and places their tasks. An [`Agent`] runs beside an
//! endpoint and decides which tasks start there. Each agent opens a stream to a few entries. State
//! that must be shared or survive a restart is kept in the platform's metadata store. This crate
//! does the input and output; the decisions are made by the scheduler and the executor of
//! `cowslipwing_dispatch`.

mod agent;
mod convert;
mod entry;
mod http;
mod members;
mod metrics;
mod stdout_log;
mod wire_ids;

pub use agent::Agent;
pub use entry::Entry;
pub use http::ListenError;
pub use metrics::Metrics;
pub use stdout_log::{StdoutLog, StdoutLogError};

use std::time::Duration;

/// Time for which an agent keeps the tasks of an entry after the last contact with it. The sum of
/// this time and the endpoint's lease is below 1.3 s, the time after which callers retry a request.
pub(crate) const ENTRY_LEASE: Duration = Duration::from_millis(600);
/// Longest lease that an agent requests for the tasks at its endpoint.
pub(crate) const ENDPOINT_LEASE: Duration = Duration::from_millis(500);
/// Time without a frame after which a stream is closed and reopened.
pub(crate) const STREAM_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between heartbeats on a stream, before the addition for each stream.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Addition to the heartbeat interval for each stream of a process. It bounds the share of time
/// that a process with many streams spends on heartbeats.
pub(crate) const HEARTBEAT_INTERVAL_PER_STREAM: Duration = Duration::from_millis(2);

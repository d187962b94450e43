//! The entry and the agent as they run on the platform: thin shells around the decisions.
//!
//! An [`Entry`] takes callers' requests and places their tasks; an [`Agent`] stands beside an endpoint
//! and has the last word on what starts there. Agents open a stream to each entry. What must be agreed
//! or kept goes through the platform's store.

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

/// Time for which an agent keeps tasks of an entry that it does not hear from. With the endpoint's
/// lease it stays below the time after which callers send a request again, 1.3 s.
pub(crate) const ENTRY_LEASE: Duration = Duration::from_millis(600);
/// Longest lease of tasks asked for from endpoints.
pub(crate) const ENDPOINT_LEASE: Duration = Duration::from_millis(500);
/// Silence after which a stream is closed and opened anew.
pub(crate) const STREAM_SILENCE: Duration = Duration::from_millis(700);
/// Time between two signs of life on a stream, to which a part for each stream is added.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Addition to the time between signs of life for each stream of a process, so that processes with
/// many streams spend a bounded part of their time on them.
pub(crate) const BEAT_PER_STREAM: Duration = Duration::from_millis(2);

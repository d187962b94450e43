//! Substitutes for the platform's metadata store and endpoints that serve its published protocol.
//!
//! They run in the process of the test, so that the test can inject faults and read which tasks
//! were started.

mod endpoint;
mod http;
mod job;
mod run_log;
mod store;

pub use endpoint::{EndpointBehaviour, PlatformEndpoint};
pub use job::{deadly_job_body, job_body};
pub use run_log::{RunEvent, RunLog};
pub use store::{PlatformStore, StoreBehaviour};

//! Stand-ins that speak the platform's published protocol: the metadata store and endpoints.
//!
//! They run within the process of a test, so that it can make them misbehave and see what was run.

mod caller;
mod endpoint;
mod http;
mod run_log;
mod store;

pub use caller::job_body;
pub use endpoint::{EndpointBehaviour, PlatformEndpoint};
pub use run_log::{RunEvent, RunLog};
pub use store::{PlatformStore, StoreBehaviour};

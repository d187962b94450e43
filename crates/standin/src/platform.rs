//! Stand-ins that speak the platform's published protocol: the metadata store and endpoints.
//!
//! They run within the process of a test, so that it can make them misbehave and see what was run.

mod caller;
mod endpoint;
mod http;
mod store;
mod witness;

pub use caller::job_body;
pub use endpoint::{Mood, PlatformEndpoint};
pub use store::{PlatformStore, StoreMood};
pub use witness::{Seen, Witness};

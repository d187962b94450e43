//! Small stand-ins of the platform's log and of an endpoint, for the demo and the tests.

mod endpoint;
mod log_server;
mod log_state;

pub mod platform;

pub use endpoint::{EndpointServer, Start};
pub use log_server::LogServer;
pub use log_state::{LogState, Refusal};

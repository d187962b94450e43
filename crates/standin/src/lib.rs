//! Small stand-ins of the platform and of an endpoint, for the demo and the tests.

mod endpoint;

pub mod platform;

pub use endpoint::{EndpointServer, StartCount};

//! Substitutes for the platform and for an endpoint, used by the demo and the tests.

mod endpoint;

pub mod platform;

pub use endpoint::{EndpointServer, StartCount};

//! Settings of the daemon, read from YAML and checked.

mod check;
mod error;
mod model;

pub use error::SettingsError;
pub use model::{
    AgentConfig, Config, EntryConfig, LeaseConfig, LimitConfig, PlatformAgentConfig,
    PlatformConfig, PlatformEntryConfig, Role, Telemetry, Traces,
};

//! Settings of the daemon, parsed from YAML and validated.

mod check;
mod counts;
mod error;
mod model;

pub use error::SettingsError;
pub use model::{
    AgentConfig, Config, EntryConfig, LeaseConfig, LimitConfig, PlatformAgentConfig,
    PlatformConfig, PlatformEntryConfig, Role, Telemetry, Traces,
};

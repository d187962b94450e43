//! The subcommands, one per module.

pub(crate) mod batch;
pub(crate) mod config;
pub(crate) mod contract;
pub(crate) mod demo;
pub(crate) mod endpoint;
pub(crate) mod job;
pub(crate) mod settings;
pub(crate) mod status;

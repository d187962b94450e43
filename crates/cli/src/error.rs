//! Errors of commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use cowslipwing_platform::StoreError;
use cowslipwing_proto::Problem;
use cowslipwing_settings::SettingsError;
use snafu::Snafu;

/// The error returned by a failed command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The entry could not be reached or its answer was cut off.
    #[snafu(display(
        "no answer from the entry {address}: {detail}; check --entry and try another"
    ))]
    Unreachable { address: SocketAddr, detail: String },
    /// The entry's answer is not the expected JSON.
    #[snafu(display(
        "the entry's answer is not valid: {source}; use the version of this tool that matches the entry"
    ))]
    BadAnswer { source: serde_json::Error },
    /// The entry rejected the request.
    #[snafu(display("{} ({}); {}{}", problem.message, problem.kind, problem.remedy, retry_hint(problem)))]
    Refused { problem: Problem },
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// A file is not valid YAML, or does not have the expected keys.
    #[snafu(display("{} is not valid: {source}; see the guide", path.display()))]
    Malformed { path: PathBuf, source: serde_yaml_ng::Error },
    /// The job failed.
    #[snafu(display("the job failed: {reason}"))]
    JobFailed { reason: String },
    /// The settings could not be read or are invalid.
    #[snafu(display("{source}"), context(false))]
    BadSettings { source: SettingsError },
    /// The configuration has findings.
    #[snafu(display("{count} findings; correct the configuration before sending it"))]
    Findings { count: usize },
    /// The configuration could not be checked.
    #[snafu(display("could not check: {detail}"))]
    NotChecked { detail: String },
    /// The store did not return the configuration in force.
    #[snafu(display("could not check: the store {address}: {source}; check --store"))]
    Store { address: SocketAddr, source: StoreError },
    /// The store has no configuration.
    #[snafu(display("could not check: the store {address} has no configuration; omit --in-force"))]
    NoConfiguration { address: SocketAddr },
    /// The demo could not be started.
    #[snafu(display(
        "the demo could not be started: {detail}; check that loopback ports are free and try again"
    ))]
    DemoFailed { detail: String },
}

impl CliError {
    /// Returns the process's exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        const FAILURE: u8 = 1;
        const NOT_CHECKED: u8 = 2;
        const UNREACHABLE: u8 = 3;
        match self {
            Self::Unreachable { .. } => UNREACHABLE,
            Self::NotChecked { .. } | Self::Store { .. } | Self::NoConfiguration { .. } => {
                NOT_CHECKED
            }
            _ => FAILURE,
        }
    }
}

fn retry_hint(problem: &Problem) -> String {
    match problem.retry_after_ms {
        0 => String::new(),
        millis => format!(" (in {millis} ms)"),
    }
}

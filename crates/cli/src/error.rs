//! What can go wrong with a command.

use std::net::SocketAddr;
use std::path::PathBuf;

use cowslipwing_proto::Problem;
use cowslipwing_settings::SettingsError;
use snafu::Snafu;

/// A command that did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// The entry cannot be reached.
    #[snafu(display(
        "no answer from the entry {address}: {detail}; check --entry and try another"
    ))]
    Unreachable { address: SocketAddr, detail: String },
    /// The entry's answer cannot be read.
    #[snafu(display("the entry's answer cannot be read: {source}; use a tool of its version"))]
    BadAnswer { source: serde_json::Error },
    /// The entry refused the request.
    #[snafu(display("{} ({}); {}{}", problem.message, problem.kind, problem.remedy, retry(problem)))]
    Refused { problem: Problem },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// A file is not what was expected.
    #[snafu(display("{} is not valid: {source}; see the guide", path.display()))]
    Malformed { path: PathBuf, source: serde_yaml_ng::Error },
    /// The job failed.
    #[snafu(display("the job failed: {reason}"))]
    JobFailed { reason: String },
    /// The settings cannot be used.
    #[snafu(display("{source}"), context(false))]
    BadSettings { source: SettingsError },
    /// The demo did not come up.
    #[snafu(display("the demo cannot run: {detail}; stop what holds its ports and try again"))]
    DemoFailed { detail: String },
}

impl CliError {
    /// Returns the process's exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        const FAILED: u8 = 1;
        const UNREACHABLE: u8 = 3;
        match self {
            Self::Unreachable { .. } => UNREACHABLE,
            _ => FAILED,
        }
    }
}

fn retry(problem: &Problem) -> String {
    match problem.retry_after_ms {
        0 => String::new(),
        millis => format!(" (in {millis} ms)"),
    }
}

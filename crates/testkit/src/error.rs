//! Errors of the test kit and failed expectations of scenarios.

use std::path::PathBuf;

use snafu::Snafu;

/// A scenario that could not be run, or an expectation that did not hold.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TestkitError {
    /// A program of the workspace has not been built.
    #[snafu(display("{} is missing; run cargo build --workspace first", path.display()))]
    ProgramNotBuilt {
        /// Path at which the program was expected.
        path: PathBuf,
    },
    /// An operation of the operating system failed.
    #[snafu(display("cannot {what}: {source}"))]
    Io {
        /// The operation, as a verb with its object.
        what: &'static str,
        /// Error that the system returned.
        source: std::io::Error,
    },
    /// The first line of output of a process contains no address.
    #[snafu(display("{name} did not print a listen address; read its log"))]
    NoListenAddress {
        /// Name of the program.
        name: String,
    },
    /// A step names a process that was not started.
    #[snafu(display("line {line}: no process is named {name:?}; start it first"))]
    UnknownProcess {
        /// Line of the scenario, counted from 1.
        line: usize,
        /// Name in the step.
        name: String,
    },
    /// A step of the scenario cannot be parsed or executed as written.
    #[snafu(display("line {line}: invalid step {text:?}; {remedy}"))]
    InvalidStep {
        /// Line of the scenario, counted from 1.
        line: usize,
        /// Text of the step.
        text: String,
        /// How to correct the step.
        remedy: &'static str,
    },
    /// A step that waits reached its time limit.
    #[snafu(display("line {line}: timed out waiting for {what}"))]
    TimedOut {
        /// Line of the scenario, counted from 1.
        line: usize,
        /// Event that the step waited for.
        what: String,
    },
    /// An expectation of the scenario did not hold.
    #[snafu(display("line {line}: expected {expected}, got {actual}"))]
    ExpectationFailed {
        /// Line of the scenario, counted from 1.
        line: usize,
        /// Expected value or condition.
        expected: String,
        /// Actual value.
        actual: String,
    },
}

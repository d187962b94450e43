//! What can go wrong in the kit itself, or with an expectation.

use std::path::PathBuf;

use snafu::Snafu;

/// A scenario that cannot go on, or did not hold.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TestkitError {
    /// A program is not built.
    #[snafu(display("{} is missing; run cargo build --workspace first", path.display()))]
    ProgramNotBuilt {
        /// The program.
        path: PathBuf,
    },
    /// The system refused something.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: &'static str,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A process did not tell its address.
    #[snafu(display("{name} ended without telling its address; read its log"))]
    NoListenAddress {
        /// The process.
        name: String,
    },
    /// No process has the name.
    #[snafu(display("line {line}: nothing is named {name:?}; start it first"))]
    UnknownProcess {
        /// The line of the scenario.
        line: usize,
        /// The name.
        name: String,
    },
    /// A line cannot be read.
    #[snafu(display("line {line}: {text:?} is not understood; {remedy}"))]
    InvalidStep {
        /// The line of the scenario.
        line: usize,
        /// The text.
        text: String,
        /// What to write.
        remedy: &'static str,
    },
    /// Something did not come about in time.
    #[snafu(display("line {line}: {what} did not come about in time"))]
    TimedOut {
        /// The line of the scenario.
        line: usize,
        /// What was waited for.
        what: String,
    },
    /// An expectation did not hold.
    #[snafu(display("line {line}: expected {expected}, saw {seen}"))]
    ExpectationFailed {
        /// The line of the scenario.
        line: usize,
        /// What was expected.
        expected: String,
        /// What was seen.
        seen: String,
    },
}

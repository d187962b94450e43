//! What can be wrong with settings.

use std::path::PathBuf;

use snafu::Snafu;

/// Settings that cannot be used. The message names the key, the value and the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings {}: {source}; check the path", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The text is not YAML of the expected shape.
    #[snafu(display("the settings are not valid: {source}; see the settings reference"))]
    Malformed {
        /// What the parser reported, with the key and the line.
        source: serde_yaml_ng::Error,
    },
    /// A key is missing.
    #[snafu(display("{key} is missing; set it to {remedy}"))]
    Missing {
        /// The key.
        key: &'static str,
        /// What to set.
        remedy: &'static str,
    },
    /// A value cannot be used.
    #[snafu(display("{key} is {value:?}; {remedy}"))]
    BadValue {
        /// The key.
        key: &'static str,
        /// The value as given.
        value: String,
        /// What to do.
        remedy: String,
    },
}

//! Errors of reading and validating settings.

use std::path::PathBuf;

use snafu::Snafu;

/// The error returned for unreadable or invalid settings.
///
/// The message names the key, the value and the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read the settings file {}: {source}; check the path", path.display()))]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error reported by the operating system.
        source: std::io::Error,
    },
    /// The text is not valid YAML, or has an unknown key or a value of the wrong type.
    #[snafu(display("the settings are not valid: {source}; see the settings reference"))]
    Malformed {
        /// The error reported by the parser, with the key and the line.
        source: serde_yaml_ng::Error,
    },
    /// A required key is missing.
    #[snafu(display("{key} is missing; set it to {remedy}"))]
    Missing {
        /// The full name of the key, such as `entry.http`.
        key: &'static str,
        /// What to set the key to.
        remedy: &'static str,
    },
    /// A value is invalid.
    #[snafu(display("{key} is {value:?}; {remedy}"))]
    BadValue {
        /// The full name of the key, such as `entry.http`.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// How to correct the value.
        remedy: String,
    },
}

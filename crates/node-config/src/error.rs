//! Errors of reading settings. Each is displayed on one line with the key, the expected value and the value found.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// The reason why settings are rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The top-level value of the settings is not a JSON object.
    #[snafu(display("expected an object, found {found}"))]
    NotAnObject {
        /// The JSON text of the value found, truncated if it is long.
        found: String,
    },
    /// A required key is missing, or its value has the wrong type, is out of range or is not one of the known words.
    #[snafu(display("{key}: expected {expected}, found {found}"))]
    InvalidValue {
        /// The path of keys to the value, joined by dots.
        key: String,
        /// A description of the values that are accepted.
        expected: String,
        /// The JSON text of the value found, truncated if it is long.
        found: String,
    },
    /// The `settings` object in a node's file is invalid.
    #[snafu(display("settings.{source}"))]
    DeploymentSettings {
        /// The error, whose key is relative to `settings`.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
    /// The text is not valid TOML.
    #[snafu(display("{source}"), context(false))]
    NotToml {
        /// The parser's error.
        source: toml::de::Error,
    },
    /// A value in a TOML file has the wrong type, or its key is unknown.
    #[snafu(display("{key}: {reason}"))]
    TomlValue {
        /// The path of keys to the value, joined by dots.
        key: String,
        /// The message of the parser's error.
        reason: String,
    },
    /// A maintenance plan contradicts itself.
    #[snafu(display("{reason}"))]
    InvalidPlan {
        /// The offending key and the expected value.
        reason: String,
    },
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    UnreadableFile {
        /// The path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not valid JSON.
    #[snafu(display("{}: not JSON: {source}", path.display()))]
    NotJson {
        /// The path of the file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The content of the file is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidFile {
        /// The path of the file.
        path: PathBuf,
        /// The error in the content.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
}

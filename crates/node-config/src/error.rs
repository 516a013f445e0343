//! What is wrong with a file of settings, in one line: the key, what was expected, and what stands there.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why settings are refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The settings as a whole are no object.
    #[snafu(display("expected an object, found {found}"))]
    NotAnObject {
        /// What stands there.
        found: String,
    },
    /// A key is missing, of the wrong type, out of range or an unknown word.
    #[snafu(display("{key}: expected {expected}, found {found}"))]
    InvalidValue {
        /// The keys that lead to the value, joined by dots.
        key: String,
        /// What would be accepted.
        expected: String,
        /// What stands there.
        found: String,
    },
    /// The deployment's settings inside a node's file are wrong.
    #[snafu(display("settings.{source}"))]
    DeploymentSettings {
        /// What is wrong, by a key below `settings`.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
    /// A text is no TOML.
    #[snafu(display("{source}"), context(false))]
    NotToml {
        /// What the parser says.
        source: toml::de::Error,
    },
    /// A value of a TOML file is not of the type that its key has, or a key is unknown.
    #[snafu(display("{key}: {reason}"))]
    TomlValue {
        /// The keys that lead to the value, joined by dots.
        key: String,
        /// What the parser says.
        reason: String,
    },
    /// A plan for maintenance contradicts itself.
    #[snafu(display("{reason}"))]
    InvalidPlan {
        /// The key and what was expected.
        reason: String,
    },
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file is no JSON.
    #[snafu(display("{}: not JSON: {source}", path.display()))]
    NotJson {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// What a file holds is wrong.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
}

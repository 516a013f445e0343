//! Helpers for the operators' TOML files: they read and check values and report errors by key and file.

use crate::error::{ConfigError, InvalidFileSnafu, InvalidValueSnafu, TomlValueSnafu, UnreadableFileSnafu};
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::ops::RangeInclusive;
use std::path::Path;

/// Parses a TOML text; an error names the key at which parsing failed.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let document = toml::Deserializer::parse(text)?;
    serde_path_to_error::deserialize(document).map_err(|error| {
        let (key, reason) = (error.path().to_string(), error.inner().message());
        TomlValueSnafu { key, reason }.build()
    })
}

/// Reads a file and parses its text with `read`; an error names the file.
pub(crate) fn read_file<T>(
    path: &Path,
    read: impl Fn(&str) -> Result<T, ConfigError>,
) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path).context(UnreadableFileSnafu { path })?;
    read(&text).context(InvalidFileSnafu { path })
}

/// Checks that the value of `key` lies within a range.
pub(crate) fn check_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), ConfigError> {
    if range.contains(&value) {
        return Ok(());
    }
    let expected = format!("a whole number from {} to {}", range.start(), range.end());
    InvalidValueSnafu { key, expected, found: value.to_string() }.fail()
}

/// Reports `key` as invalid unless `holds` is true, for rules that are not ranges.
pub(crate) fn check(holds: bool, key: &str, expected: &str, found: &str) -> Result<(), ConfigError> {
    if holds { Ok(()) } else { InvalidValueSnafu { key, expected, found }.fail() }
}

//! Typed access to the keys of a JSON object. An error about a value names its key, the expected value and the value found.
//! A key that is absent or null leaves the default to the caller. Keys that are never read are ignored.

use crate::error::{ConfigError, InvalidValueSnafu, NotAnObjectSnafu};
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde_json::Value;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// A JSON object, or null in place of an absent one, with its path of keys from the top-level object.
pub struct Object<'a> {
    value: &'a Value,
    path: String,
}

/// The maximum duration in nanoseconds, about thirty years. A longer one is taken for a mistake.
const MAX_DURATION_NS: f64 = 1e18;

impl<'a> Object<'a> {
    /// Wraps the top-level object.
    pub fn root(value: &'a Value) -> Result<Object<'a>, ConfigError> {
        Object::with_path(value, String::new())
    }

    fn with_path(value: &'a Value, path: String) -> Result<Object<'a>, ConfigError> {
        match value {
            Value::Object(_) | Value::Null => Ok(Object { value, path }),
            _ if path.is_empty() => NotAnObjectSnafu { found: excerpt(value) }.fail(),
            _ => InvalidValueSnafu { key: path, expected: "an object", found: excerpt(value) }.fail(),
        }
    }

    /// Returns the value of a key, or `None` if the key is absent or null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Builds the error for a key whose value is not as expected.
    pub fn invalid(&self, key: &str, expected: &str) -> ConfigError {
        let found = self.get(key).map_or("nothing".to_owned(), excerpt);
        InvalidValueSnafu { key: self.key(key), expected, found }.build()
    }

    fn read<T>(
        &self,
        key: &str,
        expected: &str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        self.get(key).map(|value| read(value).ok_or_else(|| self.invalid(key, expected))).transpose()
    }

    /// Reads an object; an absent key gives an empty one.
    pub fn object(&self, key: &str) -> Result<Object<'a>, ConfigError> {
        Object::with_path(self.get(key).unwrap_or(&Value::Null), self.key(key))
    }

    /// Reads a boolean; an absent key gives `false`.
    pub fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        Ok(self.read(key, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// Reads an optional number that must lie within a range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Result<Option<f64>, ConfigError> {
        let number = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        self.read(key, &range_text("a number", &range, f64::MAX), number)
    }

    /// Reads a required number that must lie within a range.
    pub fn required_number(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let number = self.number(key, range.clone())?;
        number.ok_or_else(|| self.invalid(key, &range_text("a number", &range, f64::MAX)))
    }

    /// Reads an optional whole number that must lie within a range.
    pub fn count(&self, key: &str, range: RangeInclusive<u64>) -> Result<Option<u64>, ConfigError> {
        let count = |value: &Value| value.as_u64().filter(|n| range.contains(n));
        self.read(key, &range_text("a whole number", &range, u64::MAX), count)
    }

    /// Reads an optional duration, given in nanoseconds.
    pub fn duration(&self, key: &str) -> Result<Option<Duration>, ConfigError> {
        let ns = |value: &Value| value.as_f64().filter(|ns| (0.0..=MAX_DURATION_NS).contains(ns));
        Ok(self.read(key, "nanoseconds, a number from 0 on", ns)?.map(|ns| Duration::from_nanos(ns as u64)))
    }

    /// Reads a required duration above zero, given in nanoseconds.
    pub fn required_duration(&self, key: &str) -> Result<Duration, ConfigError> {
        let duration = self.duration(key)?.filter(|duration| duration.nanos() > 0);
        duration.ok_or_else(|| self.invalid(key, "nanoseconds, a number above 0"))
    }

    /// Reads an optional string.
    pub fn text(&self, key: &str) -> Result<Option<&'a str>, ConfigError> {
        self.read(key, "a text", Value::as_str)
    }

    /// Reads an optional string that must be one of the known words, and returns the value paired with that word.
    pub fn word<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<Option<T>, ConfigError> {
        let meaning =
            |value: &Value| known.iter().find(|(word, _)| value == *word).map(|(_, meaning)| *meaning);
        self.read(key, &one_of_words(known), meaning)
    }

    /// Reads a required string that must be one of the known words, and returns the value paired with that word.
    pub fn required_word<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<T, ConfigError> {
        self.word(key, known)?.ok_or_else(|| self.invalid(key, &one_of_words(known)))
    }

    /// Reads an optional list.
    pub fn list(&self, key: &str) -> Result<Option<&'a [Value]>, ConfigError> {
        self.read(key, "a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// Reads a list of strings; an absent key gives an empty list.
    pub fn texts(&self, key: &str) -> Result<Vec<String>, ConfigError> {
        let text = |value: &Value| value.as_str().map(str::to_owned);
        let texts = self.read(key, "a list of texts", |v| v.as_array()?.iter().map(text).collect());
        Ok(texts?.unwrap_or_default())
    }

    /// Reads a list of objects; an absent key gives an empty list.
    pub fn objects(&self, key: &str) -> Result<Vec<Object<'a>>, ConfigError> {
        let list = self.list(key)?.unwrap_or_default();
        list.iter()
            .enumerate()
            .map(|(index, value)| match value {
                Value::Object(_) => Object::with_path(value, format!("{}[{index}]", self.key(key))),
                _ => {
                    let key = format!("{}[{index}]", self.key(key));
                    InvalidValueSnafu { key, expected: "an object", found: excerpt(value) }.fail()
                }
            })
            .collect()
    }

    /// Reads an optional list that must hold one number for each tariff, all within a range.
    pub fn numbers_per_tariff(
        &self,
        key: &str,
        tariff_count: usize,
        range: RangeInclusive<f64>,
    ) -> Result<Option<Vec<f64>>, ConfigError> {
        let expected = format!(
            "a list of {tariff_count} numbers, one for each tariff, from {} to {}",
            range.start(),
            range.end()
        );
        let number = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        let numbers = |value: &Value| value.as_array()?.iter().map(number).collect::<Option<Vec<f64>>>();
        self.read(key, &expected, |value| numbers(value).filter(|list| list.len() == tariff_count))
    }
}

/// Describes a range in an error's words. A range that ends at `unbounded` has no upper limit.
fn range_text<T: Display + PartialEq>(noun: &str, range: &RangeInclusive<T>, unbounded: T) -> String {
    let (min, max) = (range.start(), range.end());
    if *max == unbounded { format!("{noun} from {min} on") } else { format!("{noun} from {min} to {max}") }
}

/// Lists the known words in an error's words.
fn one_of_words<T>(known: &[(&str, T)]) -> String {
    let words: Vec<&str> = known.iter().map(|(word, _)| *word).collect();
    format!("one of {}", words.join(", "))
}

/// Formats a value as JSON for an error, truncated to `MAX_CHARS` characters.
fn excerpt(value: &Value) -> String {
    const MAX_CHARS: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MAX_CHARS {
        return text;
    }
    text.chars().take(MAX_CHARS).chain("...".chars()).collect()
}

//! Typed access to the keys of a JSON object. A value that is wrong is reported by its key, what was expected and what
//! stands there. A key that is absent or null is left to the caller's default; keys that nobody asks for are ignored.

use crate::error::{ConfigError, InvalidValueSnafu, NotAnObjectSnafu};
use grebeusher_dispatch::time::{Duration, DurationExt};
use serde_json::Value;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// A JSON object, and the keys that lead to it from the outermost one.
pub struct Object<'a> {
    value: &'a Value,
    path: String,
}

/// Some thirty years in nanoseconds: anything longer is taken for a mistake.
const MAX_NS: f64 = 1e18;

impl<'a> Object<'a> {
    /// The outermost object.
    pub fn root(value: &'a Value) -> Result<Object<'a>, ConfigError> {
        Object::at(value, String::new())
    }

    fn at(value: &'a Value, path: String) -> Result<Object<'a>, ConfigError> {
        match value {
            Value::Object(_) | Value::Null => Ok(Object { value, path }),
            _ if path.is_empty() => NotAnObjectSnafu { found: shown(value) }.fail(),
            _ => InvalidValueSnafu { key: path, expected: "an object", found: shown(value) }.fail(),
        }
    }

    /// The value, unless it is absent.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// The error for a key that does not hold what was expected.
    pub fn invalid(&self, key: &str, expected: &str) -> ConfigError {
        let found = self.get(key).map_or("nothing".to_owned(), shown);
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

    /// The object under a key; an empty one if it is absent.
    pub fn object(&self, key: &str) -> Result<Object<'a>, ConfigError> {
        Object::at(self.get(key).unwrap_or(&Value::Null), self.key(key))
    }

    /// A flag; false if the key is absent.
    pub fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        Ok(self.read(key, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// A number within a range, if the key is there.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Result<Option<f64>, ConfigError> {
        let number = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        self.read(key, &range_text("a number", &range, f64::MAX), number)
    }

    /// A number within a range; the key is required.
    pub fn required_number(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let number = self.number(key, range.clone())?;
        number.ok_or_else(|| self.invalid(key, &range_text("a number", &range, f64::MAX)))
    }

    /// A whole number within a range, if the key is there.
    pub fn count(&self, key: &str, range: RangeInclusive<u64>) -> Result<Option<u64>, ConfigError> {
        let count = |value: &Value| value.as_u64().filter(|n| range.contains(n));
        self.read(key, &range_text("a whole number", &range, u64::MAX), count)
    }

    /// A duration, counted in nanoseconds, if the key is there.
    pub fn duration(&self, key: &str) -> Result<Option<Duration>, ConfigError> {
        let ns = |value: &Value| value.as_f64().filter(|ns| (0.0..=MAX_NS).contains(ns));
        Ok(self.read(key, "nanoseconds, a number from 0 on", ns)?.map(|ns| Duration::from_nanos(ns as u64)))
    }

    /// A duration above zero, counted in nanoseconds; the key is required.
    pub fn required_duration(&self, key: &str) -> Result<Duration, ConfigError> {
        let duration = self.duration(key)?.filter(|duration| duration.nanos() > 0);
        duration.ok_or_else(|| self.invalid(key, "nanoseconds, a number above 0"))
    }

    /// A text, if the key is there.
    pub fn text(&self, key: &str) -> Result<Option<&'a str>, ConfigError> {
        self.read(key, "a text", Value::as_str)
    }

    /// The value that stands for one of the known words, if the key is there.
    pub fn word<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<Option<T>, ConfigError> {
        let meant = |value: &Value| known.iter().find(|(word, _)| value == *word).map(|(_, meant)| *meant);
        self.read(key, &one_of(known), meant)
    }

    /// The value that stands for one of the known words; the key is required.
    pub fn required_word<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<T, ConfigError> {
        self.word(key, known)?.ok_or_else(|| self.invalid(key, &one_of(known)))
    }

    /// A list, if the key is there.
    pub fn list(&self, key: &str) -> Result<Option<&'a [Value]>, ConfigError> {
        self.read(key, "a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// A list of texts; an empty one if it is absent.
    pub fn texts(&self, key: &str) -> Result<Vec<String>, ConfigError> {
        let text = |value: &Value| value.as_str().map(str::to_owned);
        let texts = self.read(key, "a list of texts", |v| v.as_array()?.iter().map(text).collect());
        Ok(texts?.unwrap_or_default())
    }

    /// The objects of a list; an empty one if it is absent.
    pub fn objects(&self, key: &str) -> Result<Vec<Object<'a>>, ConfigError> {
        let list = self.list(key)?.unwrap_or_default();
        list.iter()
            .enumerate()
            .map(|(at, value)| match value {
                Value::Object(_) => Object::at(value, format!("{}[{at}]", self.key(key))),
                _ => {
                    let key = format!("{}[{at}]", self.key(key));
                    InvalidValueSnafu { key, expected: "an object", found: shown(value) }.fail()
                }
            })
            .collect()
    }

    /// The numbers of a list that has one for each tariff, if it is there.
    pub fn one_each(
        &self,
        key: &str,
        tariffs: usize,
        range: RangeInclusive<f64>,
    ) -> Result<Option<Vec<f64>>, ConfigError> {
        let expected = format!(
            "a list of {tariffs} numbers, one for each tariff, from {} to {}",
            range.start(),
            range.end()
        );
        let number = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        let numbers = |value: &Value| value.as_array()?.iter().map(number).collect::<Option<Vec<f64>>>();
        self.read(key, &expected, |value| numbers(value).filter(|list| list.len() == tariffs))
    }
}

/// A range in words; `unbounded` is the end of a range that has none.
fn range_text<T: Display + PartialEq>(what: &str, range: &RangeInclusive<T>, unbounded: T) -> String {
    let (least, most) = (range.start(), range.end());
    if *most == unbounded {
        format!("{what} from {least} on")
    } else {
        format!("{what} from {least} to {most}")
    }
}

/// The known words, as an error lists them.
fn one_of<T>(known: &[(&str, T)]) -> String {
    let words: Vec<&str> = known.iter().map(|(word, _)| *word).collect();
    format!("one of {}", words.join(", "))
}

/// A value as it stands there, truncated.
fn shown(value: &Value) -> String {
    const MAX_SHOWN: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN {
        return text;
    }
    text.chars().take(MAX_SHOWN).chain("...".chars()).collect()
}

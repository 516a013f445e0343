//! Reads single settings, and says in plain words what is wrong with one: its key, what was expected, what stands
//! there. What is absent or null is left to the reader's default; keys that nobody asks for are skipped.

use grebeusher_dispatch::time::{Duration, DurationExt};
use serde_json::Value;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// An object of the settings, and the keys that lead to it.
pub struct Section<'a> {
    value: &'a Value,
    path: String,
}

/// Some thirty years in nanoseconds: what is longer is a slip.
const MAX_NS: f64 = 1e18;

impl<'a> Section<'a> {
    /// The object that is the whole of what is read.
    pub fn whole(value: &'a Value) -> Result<Section<'a>, String> {
        Section::at(value, String::new())
    }

    fn at(value: &'a Value, path: String) -> Result<Section<'a>, String> {
        match value {
            Value::Object(_) | Value::Null => Ok(Section { value, path }),
            _ if path.is_empty() => Err(format!("expected an object, found {}", shown(value))),
            _ => Err(format!("{path}: expected an object, found {}", shown(value))),
        }
    }

    /// The value, unless it is absent.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// What is wrong with a key.
    pub fn wrong(&self, key: &str, expected: &str) -> String {
        let found = self.get(key).map_or("nothing".to_owned(), shown);
        format!("{}: expected {expected}, found {found}", self.key(key))
    }

    fn read<T>(
        &self,
        key: &str,
        expected: &str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        self.get(key).map(|value| read(value).ok_or_else(|| self.wrong(key, expected))).transpose()
    }

    /// The object under a key; an empty one if it is absent.
    pub fn part(&self, key: &str) -> Result<Section<'a>, String> {
        Section::at(self.get(key).unwrap_or(&Value::Null), self.key(key))
    }

    /// A flag that is false is omitted.
    pub fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.read(key, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Result<Option<f64>, String> {
        let number = |value: &Value| value.as_f64().filter(|n| range.contains(n));
        self.read(key, &within("a number", &range, f64::MAX), number)
    }

    /// A number that must be there.
    pub fn due_number(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, String> {
        let number = self.number(key, range.clone())?;
        number.ok_or_else(|| self.wrong(key, &within("a number", &range, f64::MAX)))
    }

    pub fn count(&self, key: &str, range: RangeInclusive<u64>) -> Result<Option<u64>, String> {
        let count = |value: &Value| value.as_u64().filter(|n| range.contains(n));
        self.read(key, &within("a whole number", &range, u64::MAX), count)
    }

    /// A span, which is counted in nanoseconds.
    pub fn span(&self, key: &str) -> Result<Option<Duration>, String> {
        let ns = |value: &Value| value.as_f64().filter(|ns| (0.0..=MAX_NS).contains(ns));
        Ok(self.read(key, "nanoseconds, a number from 0 on", ns)?.map(|ns| Duration::from_nanos(ns as u64)))
    }

    /// A span that must be there, and be something.
    pub fn due_span(&self, key: &str) -> Result<Duration, String> {
        let span = self.span(key)?.filter(|span| span.nanos() > 0);
        span.ok_or_else(|| self.wrong(key, "nanoseconds, a number above 0"))
    }

    pub fn text(&self, key: &str) -> Result<Option<&'a str>, String> {
        self.read(key, "a text", Value::as_str)
    }

    /// One of the words that are known here.
    pub fn word<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<Option<T>, String> {
        let meant = |value: &Value| known.iter().find(|(word, _)| value == *word).map(|(_, meant)| *meant);
        self.read(key, &one_of(known), meant)
    }

    /// One of the words that are known here, which must be there.
    pub fn due_word<T: Copy>(&self, key: &str, known: &[(&str, T)]) -> Result<T, String> {
        self.word(key, known)?.ok_or_else(|| self.wrong(key, &one_of(known)))
    }

    pub fn list(&self, key: &str) -> Result<Option<&'a [Value]>, String> {
        self.read(key, "a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// A list of texts; an empty one if it is absent.
    pub fn texts(&self, key: &str) -> Result<Vec<String>, String> {
        let text = |value: &Value| value.as_str().map(str::to_owned);
        let texts = self.read(key, "a list of texts", |v| v.as_array()?.iter().map(text).collect());
        Ok(texts?.unwrap_or_default())
    }

    /// The objects of a list; an empty one if it is absent.
    pub fn parts(&self, key: &str) -> Result<Vec<Section<'a>>, String> {
        let list = self.list(key)?.unwrap_or_default();
        list.iter()
            .enumerate()
            .map(|(at, value)| match value {
                Value::Object(_) => Section::at(value, format!("{}[{at}]", self.key(key))),
                _ => Err(format!("{}[{at}]: expected an object, found {}", self.key(key), shown(value))),
            })
            .collect()
    }

    /// The numbers of a list that has one for each tariff, if it is there.
    pub fn one_each(
        &self,
        key: &str,
        tariffs: usize,
        range: RangeInclusive<f64>,
    ) -> Result<Option<Vec<f64>>, String> {
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

/// `endless`: the end of a range that has none.
fn within<T: Display + PartialEq>(what: &str, range: &RangeInclusive<T>, endless: T) -> String {
    let (least, most) = (range.start(), range.end());
    if *most == endless {
        format!("{what} from {least} on")
    } else {
        format!("{what} from {least} to {most}")
    }
}

fn one_of<T>(known: &[(&str, T)]) -> String {
    let words: Vec<&str> = known.iter().map(|(word, _)| *word).collect();
    format!("one of {}", words.join(", "))
}

/// A value as it stands there, cut where it is long.
fn shown(value: &Value) -> String {
    const MOST: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MOST {
        return text;
    }
    text.chars().take(MOST).chain("...".chars()).collect()
}

//! Typed access to the fields of a JSON object. A field that is absent or null takes its default. A field of the wrong
//! type or out of range is rejected with an error that names its path and the expected value.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use snafu::Snafu;
use tinyjson::JsonValue;

/// The largest integer up to which a JSON number represents every integer exactly (2^53).
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// The maximum length of a string, in bytes. The strings that operators send are shorter.
const MAX_TEXT_BYTES: usize = 4096;

/// The error for a field that is missing or wrong, with its path and the expected value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}: expected {expected}", if path.is_empty() { "the root" } else { path }))]
pub struct FieldError {
    /// The path of the field from the root, like `bindings.frontend` or `route_table[3].timeout_ms`. The path of the
    /// root itself is empty.
    pub path: String,
    /// The value that was expected.
    pub expected: &'static str,
}

impl FieldError {
    pub(crate) fn new(path: &str, expected: &'static str) -> FieldError {
        FieldError { path: path.to_owned(), expected }
    }

    /// Returns the same error with its path extended by the name of the object or array that contains the field.
    pub(crate) fn within(mut self, outer: &str) -> FieldError {
        let dot = if self.path.is_empty() || self.path.starts_with('[') { "" } else { "." };
        self.path = format!("{outer}{dot}{}", self.path);
        self
    }

    /// Returns the same error with its path extended by the index of the array element that contains the field.
    pub(crate) fn at(self, index: usize) -> FieldError {
        self.within(&format!("[{index}]"))
    }
}

/// The fields of one JSON object.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    object: &'a HashMap<String, JsonValue>,
}

impl<'a> Fields<'a> {
    pub fn of(value: &'a JsonValue) -> Result<Fields<'a>, FieldError> {
        match value {
            JsonValue::Object(object) => Ok(Fields { object }),
            _ => Err(FieldError::new("", "an object")),
        }
    }

    pub fn get(&self, name: &str) -> Option<&'a JsonValue> {
        self.object.get(name).filter(|value| !matches!(value, JsonValue::Null))
    }

    pub fn entries(&self) -> impl Iterator<Item = (&'a String, &'a JsonValue)> {
        self.object.iter()
    }

    pub fn child(&self, name: &str) -> Result<Option<Fields<'a>>, FieldError> {
        self.get(name).map(|value| Fields::of(value).map_err(|error| error.within(name))).transpose()
    }

    pub fn list(&self, name: &str) -> Result<Option<&'a [JsonValue]>, FieldError> {
        match self.get(name) {
            None => Ok(None),
            Some(JsonValue::Array(elements)) => Ok(Some(elements)),
            Some(_) => Err(FieldError::new(name, "a list")),
        }
    }

    /// Reads a string, which must not be empty.
    pub fn text(&self, name: &str) -> Result<Option<&'a str>, FieldError> {
        self.get(name).map(|value| text(value).map_err(|error| error.within(name))).transpose()
    }

    pub fn required_text(&self, name: &str) -> Result<&'a str, FieldError> {
        self.text(name)?.ok_or_else(|| FieldError::new(name, "a text that is not empty"))
    }

    pub fn flag(&self, name: &str) -> Result<Option<bool>, FieldError> {
        match self.get(name) {
            None => Ok(None),
            Some(JsonValue::Boolean(flag)) => Ok(Some(*flag)),
            Some(_) => Err(FieldError::new(name, "true or false")),
        }
    }

    /// Reads a finite number of 0 or more.
    pub fn amount(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.get(name) {
            None => Ok(None),
            Some(JsonValue::Number(number)) if number.is_finite() && *number >= 0.0 => Ok(Some(*number)),
            Some(_) => Err(FieldError::new(name, "a number of 0 or more")),
        }
    }

    /// Reads an integer of 0 or more. A number with a fraction is rounded up.
    pub fn count(&self, name: &str) -> Result<Option<u64>, FieldError> {
        match self.amount(name)? {
            Some(amount) if amount > MAX_EXACT => Err(FieldError::new(name, "a number of at most 2^53")),
            amount => Ok(amount.map(|amount| amount.ceil() as u64)),
        }
    }

    /// Reads an integer that fits into 32 bits. A number with a fraction is rounded up.
    pub fn small_count(&self, name: &str) -> Result<Option<u32>, FieldError> {
        let to_u32 = |count| u32::try_from(count).map_err(|_| FieldError::new(name, "a number below 2^32"));
        self.count(name)?.map(to_u32).transpose()
    }

    pub fn address(&self, name: &str) -> Result<Option<SocketAddrV4>, FieldError> {
        self.get(name).map(|value| address(value).map_err(|error| error.within(name))).transpose()
    }

    pub fn addresses(&self, name: &str) -> Result<Vec<SocketAddrV4>, FieldError> {
        let elements = self.list(name)?.unwrap_or_default().iter().enumerate();
        let read =
            |(index, element)| address(element).map_err(|error: FieldError| error.at(index).within(name));
        elements.map(read).collect()
    }
}

/// Reads a list of strings. The result is empty if the list is absent.
pub(crate) fn texts<'a>(fields: &Fields<'a>, name: &str) -> Result<Vec<&'a str>, FieldError> {
    let elements = fields.list(name)?.unwrap_or_default().iter().enumerate();
    elements.map(|(index, element)| text(element).map_err(|error| error.at(index).within(name))).collect()
}

fn text(value: &JsonValue) -> Result<&str, FieldError> {
    match value {
        JsonValue::String(text) if text.is_empty() => Err(FieldError::new("", "a text that is not empty")),
        JsonValue::String(text) if text.len() > MAX_TEXT_BYTES => {
            Err(FieldError::new("", "a text of at most 4096 bytes"))
        }
        JsonValue::String(text) => Ok(text),
        _ => Err(FieldError::new("", "a text that is not empty")),
    }
}

fn address(value: &JsonValue) -> Result<SocketAddrV4, FieldError> {
    let parsed = text(value).ok().and_then(|text| text.parse::<SocketAddrV4>().ok());
    let parsed = parsed.filter(|address| address.port() != 0);
    parsed.ok_or_else(|| FieldError::new("", "an IPv4 address with a port, like 10.1.0.35:8146"))
}

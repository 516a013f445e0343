//! Reading JSON by hand: guarded parsing, a frame that is cut without a tree, and typed fields.

mod fields;
mod frame;

use std::collections::HashMap;

use snafu::Snafu;
use tinyjson::JsonValue;

pub use fields::FieldError;
pub(crate) use fields::{Fields, texts};
pub(crate) use frame::{elements, members};

/// The deepest nesting that is read. The parser calls itself once a level, and the operators' bodies nest to
/// less than ten.
const MAX_DEPTH: usize = 48;

/// Why a text is not taken as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Unreadable {
    /// The bytes are not UTF-8.
    #[snafu(display("not UTF-8"))]
    NotUtf8,
    /// The text breaks the grammar of JSON, ends early, or goes on after the value.
    #[snafu(display("not JSON"))]
    NotJson,
    /// Arrays and objects are nested deeper than any body of the operators.
    #[snafu(display("nested too deeply"))]
    TooDeep,
    /// An object holds one key twice, so that it can't be told which value is meant.
    #[snafu(display("an object holds one key twice"))]
    KeyTwice,
}

/// Reads one JSON value that makes up the whole text.
pub(crate) fn parse(text: &str) -> Result<JsonValue, Unreadable> {
    let shape = Shape::of(text);
    if shape.depth > MAX_DEPTH {
        return Err(Unreadable::TooDeep);
    }
    let value: JsonValue = text.parse().map_err(|_| Unreadable::NotJson)?;
    // The parser lets the last of equal keys win, so fewer members than colons means that one stood twice.
    if count_members(&value) != shape.colons { Err(Unreadable::KeyTwice) } else { Ok(value) }
}

fn count_members(value: &JsonValue) -> usize {
    match value {
        JsonValue::Array(elements) => elements.iter().map(count_members).sum(),
        JsonValue::Object(members) => {
            let members: &HashMap<String, JsonValue> = members;
            members.len() + members.values().map(count_members).sum::<usize>()
        }
        _ => 0,
    }
}

/// What one pass over the bytes tells of a text before it is parsed.
struct Shape {
    depth: usize,
    /// Colons outside of strings: in valid JSON, one for each member of an object.
    colons: usize,
}

impl Shape {
    fn of(text: &str) -> Shape {
        let bytes = text.as_bytes();
        let (mut depth, mut deepest, mut colons, mut at) = (0_usize, 0, 0, 0);
        while let Some(byte) = bytes.get(at) {
            match byte {
                b'"' => at = frame::end_of_string(bytes, at).unwrap_or(bytes.len()),
                b'{' | b'[' => {
                    depth += 1;
                    deepest = deepest.max(depth);
                    at += 1;
                }
                b'}' | b']' => {
                    depth = depth.saturating_sub(1);
                    at += 1;
                }
                b':' => {
                    colons += 1;
                    at += 1;
                }
                _ => at += 1,
            }
        }
        Shape { depth: deepest, colons }
    }
}

//! Parses one JSON value after checks that the parser does not make: the depth of nesting and keys that stand twice.

use super::error::JsonError;
use super::scan::end_of_string;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// The deepest nesting that is read. The parser calls itself once a level, and the operators' bodies nest to
/// less than ten.
const MAX_DEPTH: usize = 48;

/// Reads one JSON value that makes up the whole text.
pub(crate) fn parse(text: &str) -> Result<JsonValue, JsonError> {
    let shape = Shape::of(text);
    if shape.depth > MAX_DEPTH {
        return Err(JsonError::TooDeep);
    }
    let value: JsonValue = text.parse().map_err(|_| JsonError::NotJson)?;
    // The parser lets the last of equal keys win, so fewer members than colons means that one stood twice.
    if count_members(&value) != shape.colons { Err(JsonError::DuplicateKey) } else { Ok(value) }
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
                b'"' => at = end_of_string(bytes, at).unwrap_or(bytes.len()),
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

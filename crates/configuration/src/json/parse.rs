//! Parses one JSON value, with two checks that the parser itself does not make: the depth of nesting and duplicate
//! keys.

use super::error::JsonError;
use super::scan::end_of_string;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// The maximum depth of nesting. The parser recurses once per level, so the limit keeps it from overflowing the stack.
/// The bodies that operators send have fewer than ten levels.
const MAX_DEPTH: usize = 48;

/// Parses one JSON value that makes up the whole text.
pub(crate) fn parse(text: &str) -> Result<JsonValue, JsonError> {
    let structure = TextStructure::of(text);
    if structure.depth > MAX_DEPTH {
        return Err(JsonError::TooDeep);
    }
    let value: JsonValue = text.parse().map_err(|_| JsonError::NotJson)?;
    // The parser keeps only the last member of those with equal keys, so an object with fewer members than colons had a
    // duplicate key.
    if count_members(&value) != structure.colons { Err(JsonError::DuplicateKey) } else { Ok(value) }
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

/// The properties of a JSON text that one pass over its bytes finds before it is parsed.
struct TextStructure {
    /// The maximum depth of nesting of arrays and objects.
    depth: usize,
    /// The number of colons outside of strings. In valid JSON, each member of an object has one.
    colons: usize,
}

impl TextStructure {
    fn of(text: &str) -> TextStructure {
        let bytes = text.as_bytes();
        let (mut depth, mut max_depth, mut colons, mut position) = (0_usize, 0, 0, 0);
        while let Some(byte) = bytes.get(position) {
            match byte {
                b'"' => position = end_of_string(bytes, position).unwrap_or(bytes.len()),
                b'{' | b'[' => {
                    depth += 1;
                    max_depth = max_depth.max(depth);
                    position += 1;
                }
                b'}' | b']' => {
                    depth = depth.saturating_sub(1);
                    position += 1;
                }
                b':' => {
                    colons += 1;
                    position += 1;
                }
                _ => position += 1,
            }
        }
        TextStructure { depth: max_depth, colons }
    }
}

//! Splits the outermost object or array of a large JSON text into the texts of its values. Each value is then parsed by
//! itself, so that no tree of the whole text is built. The text of a value is checked only when it is parsed.

use super::error::JsonError;
use super::parse::parse;
use super::scan::end_of_string;
use tinyjson::JsonValue;

/// A member of an object, with its decoded key and the unparsed text of its value.
pub(crate) struct Member<'a> {
    pub key: String,
    pub value: &'a str,
}

/// Returns the members of an object that makes up the whole text. An object with the same key twice is rejected.
pub(crate) fn members(text: &str) -> Result<Vec<Member<'_>>, JsonError> {
    let mut cursor = Cursor { text, position: 0 };
    let mut members: Vec<Member<'_>> = Vec::new();
    cursor.expect(b'{')?;
    if !cursor.next_is(b'}') {
        loop {
            let member = cursor.member()?;
            if members.iter().any(|other| other.key == member.key) {
                return Err(JsonError::DuplicateKey);
            }
            members.push(member);
            if members.len() > MAX_ROOT_MEMBERS {
                return Err(JsonError::NotJson);
            }
            if !cursor.next_is(b',') {
                break;
            }
        }
        cursor.expect(b'}')?;
    }
    cursor.expect_end()?;
    Ok(members)
}

/// The maximum number of members of the outermost object. Each key is compared with all others, and operators use only
/// four keys.
const MAX_ROOT_MEMBERS: usize = 256;

/// Returns the texts of the elements of an array that makes up the whole text.
pub(crate) fn elements(text: &str) -> Result<Vec<&str>, JsonError> {
    let mut cursor = Cursor { text, position: 0 };
    let mut elements = Vec::new();
    cursor.expect(b'[')?;
    if !cursor.next_is(b']') {
        loop {
            elements.push(cursor.value()?);
            if !cursor.next_is(b',') {
                break;
            }
        }
        cursor.expect(b']')?;
    }
    cursor.expect_end()?;
    Ok(elements)
}

/// A position in a JSON text, which moves forward as members and values are read.
struct Cursor<'a> {
    text: &'a str,
    position: usize,
}

impl<'a> Cursor<'a> {
    fn peek(&mut self) -> Option<u8> {
        let bytes = self.text.as_bytes();
        while bytes.get(self.position).is_some_and(|byte| is_white_space(*byte)) {
            self.position += 1;
        }
        bytes.get(self.position).copied()
    }

    /// Skips white space, and then `byte` if it comes next. Returns whether it did.
    fn next_is(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.position += usize::from(found);
        found
    }

    fn expect(&mut self, byte: u8) -> Result<(), JsonError> {
        if self.next_is(byte) { Ok(()) } else { Err(JsonError::NotJson) }
    }

    fn expect_end(&mut self) -> Result<(), JsonError> {
        if self.peek().is_none() { Ok(()) } else { Err(JsonError::NotJson) }
    }

    fn member(&mut self) -> Result<Member<'a>, JsonError> {
        if self.peek() != Some(b'"') {
            return Err(JsonError::NotJson);
        }
        let JsonValue::String(key) = parse(self.value()?)? else { return Err(JsonError::NotJson) };
        self.expect(b':')?;
        Ok(Member { key, value: self.value()? })
    }

    /// Returns the text of the next value and moves past it.
    fn value(&mut self) -> Result<&'a str, JsonError> {
        let bytes = self.text.as_bytes();
        let end = match self.peek() {
            Some(b'"') => end_of_string(bytes, self.position),
            Some(b'{' | b'[') => end_of_nested(bytes, self.position),
            Some(_) => end_of_scalar(bytes, self.position),
            None => None,
        };
        let end = end.ok_or(JsonError::NotJson)?;
        let value = self.text.get(self.position..end).ok_or(JsonError::NotJson)?;
        self.position = end;
        Ok(value)
    }
}

fn is_white_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}

/// Returns the end of the array or object that starts at `start`. The parser checks later that brackets and braces
/// match.
fn end_of_nested(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut position) = (0_usize, start);
    loop {
        match bytes.get(position)? {
            b'"' => position = end_of_string(bytes, position)?,
            b'{' | b'[' => {
                depth += 1;
                position += 1;
            }
            b'}' | b']' => {
                depth -= 1;
                position += 1;
                if depth == 0 {
                    return Some(position);
                }
            }
            _ => position += 1,
        }
    }
}

/// Returns the end of the number or literal name that starts at `start`; `None` if it is empty.
fn end_of_scalar(bytes: &[u8], start: usize) -> Option<usize> {
    let rest = bytes.get(start..)?;
    let is_delimiter =
        |byte: &u8| is_white_space(*byte) || matches!(byte, b',' | b':' | b']' | b'}' | b'{' | b'[' | b'"');
    let length = rest.iter().position(is_delimiter).unwrap_or(rest.len());
    (length > 0).then_some(start + length)
}

//! Cuts the outer frame of a large JSON text into the texts of its values, so that each is parsed by itself and
//! never a tree of the whole. What is inside a cut is checked when it is parsed.

use super::error::JsonError;
use super::parse::parse;
use super::scan::end_of_string;
use tinyjson::JsonValue;

/// A member of an object: its key, read, and the text of its value.
pub(crate) struct Member<'a> {
    pub key: String,
    pub value: &'a str,
}

/// The members of the object that makes up the whole text. A key that stands twice is rejected.
pub(crate) fn members(text: &str) -> Result<Vec<Member<'_>>, JsonError> {
    let mut cursor = Cursor { text, at: 0 };
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

/// Keys of the root are compared one with another; there are four on the operators' page.
const MAX_ROOT_MEMBERS: usize = 256;

/// The texts of the elements of the array that makes up the whole text.
pub(crate) fn elements(text: &str) -> Result<Vec<&str>, JsonError> {
    let mut cursor = Cursor { text, at: 0 };
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

struct Cursor<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Cursor<'a> {
    fn peek(&mut self) -> Option<u8> {
        let bytes = self.text.as_bytes();
        while bytes.get(self.at).is_some_and(|byte| is_space(*byte)) {
            self.at += 1;
        }
        bytes.get(self.at).copied()
    }

    /// Steps over the byte if it comes next.
    fn next_is(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
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

    /// The text of the value that comes next.
    fn value(&mut self) -> Result<&'a str, JsonError> {
        let bytes = self.text.as_bytes();
        let end = match self.peek() {
            Some(b'"') => end_of_string(bytes, self.at),
            Some(b'{' | b'[') => end_of_nested(bytes, self.at),
            Some(_) => end_of_scalar(bytes, self.at),
            None => None,
        };
        let end = end.ok_or(JsonError::NotJson)?;
        let value = self.text.get(self.at..end).ok_or(JsonError::NotJson)?;
        self.at = end;
        Ok(value)
    }
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}

/// Where the array or object that starts at `start` ends. Kinds of brackets are told apart by the parser later.
fn end_of_nested(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut at) = (0_usize, start);
    loop {
        match bytes.get(at)? {
            b'"' => at = end_of_string(bytes, at)?,
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            _ => at += 1,
        }
    }
}

/// Where the number or word that starts at `start` ends; nothing if it is empty.
fn end_of_scalar(bytes: &[u8], start: usize) -> Option<usize> {
    let rest = bytes.get(start..)?;
    let ends = |byte: &u8| is_space(*byte) || matches!(byte, b',' | b':' | b']' | b'}' | b'{' | b'[' | b'"');
    let length = rest.iter().position(ends).unwrap_or(rest.len());
    (length > 0).then_some(start + length)
}

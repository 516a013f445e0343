//! Finds the end of strings in JSON text without decoding them.

/// Returns the index after the closing quote of the string whose opening quote is at `start`; `None` if the string does
/// not end.
pub(crate) fn end_of_string(bytes: &[u8], start: usize) -> Option<usize> {
    let mut position = start + 1;
    loop {
        match bytes.get(position)? {
            b'"' => return Some(position + 1),
            b'\\' => position += 2,
            _ => position += 1,
        }
    }
}

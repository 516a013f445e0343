//! Steps over JSON text without reading it.

/// Where the string that starts at `start` ends: after its closing quote.
pub(crate) fn end_of_string(bytes: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

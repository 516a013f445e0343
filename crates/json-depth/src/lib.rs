//! What has to be known of a JSON text before it is read.

/// Whether no value stands in more than `most` others. The reader of values calls itself for each, so a text that nests too
/// deep would end the process. Looks at bytes only: what counts is ASCII, which no other character of UTF-8 contains.
pub fn is_shallow(text: &[u8], most: usize) -> bool {
    let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > most {
            return false;
        }
    }
    true
}

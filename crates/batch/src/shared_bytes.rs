//! Slices of shared buffers, so that a payload of the log and the state that was decoded from it share one copy of the
//! bytes.

use std::fmt;
use std::ops::{Deref, Range};
use std::sync::Arc;

/// A slice of a shared buffer. The buffer lives as long as any slice of it.
#[derive(Clone, Default)]
pub struct SharedBytes {
    buffer: Arc<[u8]>,
    /// The part of the buffer that belongs to the slice, in bytes. It is always within the buffer.
    range: Range<u32>,
}

impl SharedBytes {
    /// The bytes of the slice.
    pub fn as_slice(&self) -> &[u8] {
        let range = self.range.start as usize..self.range.end as usize;
        self.buffer.get(range).unwrap_or_default()
    }

    /// A part of this slice, or `None` if the range is not within it. An empty slice keeps no buffer alive.
    pub fn slice(&self, range: Range<usize>) -> Option<SharedBytes> {
        if range.start > range.end || range.end > self.len() {
            return None;
        }
        if range.is_empty() {
            return Some(SharedBytes::default());
        }
        // Both offsets are within this slice, whose range fits u32.
        let to_buffer_offset = |offset: usize| self.range.start + offset as u32;
        Some(SharedBytes {
            buffer: self.buffer.clone(),
            range: to_buffer_offset(range.start)..to_buffer_offset(range.end),
        })
    }

    /// The slice without its first `count` bytes; an empty one if it has no more than that.
    pub fn skip(&self, count: usize) -> SharedBytes {
        self.slice(count..self.len()).unwrap_or_default()
    }
}

impl From<Arc<[u8]>> for SharedBytes {
    /// A slice of the whole buffer. It is cut at 4 GiB; entries and snapshots are smaller.
    fn from(buffer: Arc<[u8]>) -> SharedBytes {
        let end = u32::try_from(buffer.len()).unwrap_or(u32::MAX);
        SharedBytes { buffer, range: 0..end }
    }
}

impl From<Vec<u8>> for SharedBytes {
    fn from(bytes: Vec<u8>) -> SharedBytes {
        SharedBytes::from(Arc::<[u8]>::from(bytes))
    }
}

impl From<&[u8]> for SharedBytes {
    fn from(bytes: &[u8]) -> SharedBytes {
        SharedBytes::from(Arc::<[u8]>::from(bytes))
    }
}

impl Deref for SharedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        self.as_slice()
    }
}

impl PartialEq for SharedBytes {
    fn eq(&self, other: &SharedBytes) -> bool {
        self.as_slice() == other.as_slice()
    }
}

impl Eq for SharedBytes {}

impl fmt::Debug for SharedBytes {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_slice().fmt(out)
    }
}

/// A slice of a shared buffer that contains UTF-8 text.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct SharedText(SharedBytes);

impl SharedText {
    /// Creates a text from bytes.
    ///
    /// # Errors
    /// Fails if the bytes are not UTF-8.
    pub fn new(bytes: SharedBytes) -> Result<SharedText, std::str::Utf8Error> {
        std::str::from_utf8(&bytes)?;
        Ok(SharedText(bytes))
    }

    /// The text as a string slice. The bytes are checked again on each call, because this crate has no unsafe code.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }

    /// The bytes of the text.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The length of the text in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<String> for SharedText {
    fn from(text: String) -> SharedText {
        SharedText(SharedBytes::from(text.into_bytes()))
    }
}

impl From<&str> for SharedText {
    fn from(text: &str) -> SharedText {
        SharedText(SharedBytes::from(text.as_bytes()))
    }
}

impl Deref for SharedText {
    type Target = str;

    fn deref(&self) -> &str {
        self.as_str()
    }
}

impl fmt::Display for SharedText {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_str().fmt(out)
    }
}

impl fmt::Debug for SharedText {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_str().fmt(out)
    }
}

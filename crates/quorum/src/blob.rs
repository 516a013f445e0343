//! The binary form of byte strings and lists. Decoding checks a length before it allocates memory for it.

use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::ids::truncated_input;

/// Immutable bytes with shared ownership. Cloning them from the log into messages, writes and the application copies no
/// bytes; an application that keeps them (`Arc::from`) shares their memory with the log.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blob(Arc<[u8]>);

impl Blob {
    /// The bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Default for Blob {
    fn default() -> Blob {
        Blob(Arc::from(Vec::new()))
    }
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Blob {
        Blob(Arc::from(bytes))
    }
}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Blob {
        Blob(Arc::from(bytes))
    }
}

impl From<Arc<[u8]>> for Blob {
    fn from(bytes: Arc<[u8]>) -> Blob {
        Blob(bytes)
    }
}

impl From<Blob> for Arc<[u8]> {
    fn from(blob: Blob) -> Arc<[u8]> {
        blob.0
    }
}

impl AsRef<[u8]> for Blob {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Blob {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Blob({} bytes)", self.0.len())
    }
}

impl SerBin for Blob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        (self.0.len() as u32).ser_bin(output);
        output.extend_from_slice(&self.0);
    }
}

impl DeBin for Blob {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Blob, DeBinErr> {
        let length = u32::de_bin(offset, bytes)? as usize;
        let end = offset.checked_add(length).ok_or_else(|| truncated_input(*offset, length, bytes))?;
        let content = bytes.get(*offset..end).ok_or_else(|| truncated_input(*offset, length, bytes))?;
        *offset = end;
        Ok(Blob::from(content))
    }
}

/// Writes a list as the count of its items, in 4 bytes, and the items.
pub(crate) fn write_list<T: SerBin>(items: &[T], output: &mut Vec<u8>) {
    (items.len() as u32).ser_bin(output);
    for item in items {
        item.ser_bin(output);
    }
}

/// Reads a list whose items take at least `min_item_bytes` bytes each. A count that the input can't hold is rejected
/// before memory is allocated for it.
pub(crate) fn read_list<T: DeBin>(
    min_item_bytes: usize,
    offset: &mut usize,
    bytes: &[u8],
) -> Result<Vec<T>, DeBinErr> {
    let count = u32::de_bin(offset, bytes)? as usize;
    let wanted = count.saturating_mul(min_item_bytes);
    if wanted > bytes.len().saturating_sub(*offset) {
        return Err(truncated_input(*offset, wanted, bytes));
    }
    let mut items = Vec::with_capacity(count);
    for _ in 0..count {
        items.push(T::de_bin(offset, bytes)?);
    }
    Ok(items)
}

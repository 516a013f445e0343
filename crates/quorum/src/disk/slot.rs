//! Slot files. A slot has the number of a generation and the generation's snapshot, if any, with a checksum.

use nanoserde::{DeBin, SerBin};

use super::format::{FileFormat, HEADER_BYTES};
use crate::entry::Snapshot;

/// The content of a slot file.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Slot {
    pub generation: u64,
    pub snapshot: Option<Snapshot>,
}

/// The format of a slot file, whose header is "GQS1". In every format the header is followed by the checksum of the
/// rest, so that a newer format can be distinguished from a torn write. The log of a generation has the format that the
/// header of its slot says.
const FORMAT: FileFormat = FileFormat { magic: *b"GQS", version: b'1' };

/// The size of the header and the checksum, in bytes.
const PREFIX_BYTES: usize = 8;

/// The initial capacity in addition to the snapshot's bytes, in bytes, so that the buffer does not grow and copy them
/// again.
const PREFIX_CAPACITY: usize = 1024;

impl Slot {
    /// Returns the bytes of a slot file: the header, the checksum, then the content.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let size = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.bytes.len());
        let mut bytes = Vec::with_capacity(size + PREFIX_CAPACITY);
        bytes.extend_from_slice(&FORMAT.header());
        0u32.ser_bin(&mut bytes);
        self.ser_bin(&mut bytes);
        let checksum = crc32fast::hash(&bytes[PREFIX_BYTES..]);
        bytes[4..PREFIX_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Whether the bytes of a slot file are complete and of a newer format.
    pub(super) fn is_newer(bytes: &[u8]) -> bool {
        FORMAT.is_newer(bytes) && verified_content(bytes).is_some()
    }

    /// Decodes the bytes of a slot file; none if they are not a complete slot of this format.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Slot> {
        let content = verified_content(bytes).filter(|_| FORMAT.matches(bytes))?;
        let mut offset = 0;
        let slot = Slot::de_bin(&mut offset, content).ok()?;
        (offset == content.len()).then_some(slot)
    }
}

/// The bytes after the header and the checksum, if the checksum is right.
fn verified_content(bytes: &[u8]) -> Option<&[u8]> {
    let mut offset = HEADER_BYTES;
    let checksum = u32::de_bin(&mut offset, bytes).ok()?;
    let content = bytes.get(offset..)?;
    (checksum == crc32fast::hash(content)).then_some(content)
}

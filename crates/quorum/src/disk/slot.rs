//! A slot file: the number of a generation and its snapshot, if it has one, under a checksum.

use nanoserde::{DeBin, SerBin};

use super::format::{FileFormat, HEADER_BYTES};
use crate::entry::Snapshot;

/// The content of a slot.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Slot {
    pub generation: u64,
    pub snapshot: Option<Snapshot>,
}

/// "GQS1" starts a slot and names the format of its content. In every format the checksum of the rest follows, so that a
/// newer format can be told from a torn write. The log of a slot's generation has the slot's format.
const FORMAT: FileFormat = FileFormat { magic: *b"GQS", version: b'1' };

/// Header and checksum.
const PREFIX_BYTES: usize = 8;

/// Initial capacity beyond the snapshot's bytes, so that those are copied only once.
const PREFIX_CAPACITY: usize = 1024;

impl Slot {
    /// The content of a slot's file: header, checksum, then the rest.
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

    /// Whether a slot's file is complete and of a newer format.
    pub(super) fn is_newer(bytes: &[u8]) -> bool {
        FORMAT.is_newer(bytes) && verified_content(bytes).is_some()
    }

    /// Reads a slot's file; none if it is torn.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Slot> {
        let content = verified_content(bytes).filter(|_| FORMAT.matches(bytes))?;
        let mut read = 0;
        let slot = Slot::de_bin(&mut read, content).ok()?;
        (read == content.len()).then_some(slot)
    }
}

/// What follows the header and the checksum, if the checksum holds.
fn verified_content(bytes: &[u8]) -> Option<&[u8]> {
    let mut offset = HEADER_BYTES;
    let checksum = u32::de_bin(&mut offset, bytes).ok()?;
    let content = bytes.get(offset..)?;
    (checksum == crc32fast::hash(content)).then_some(content)
}

//! A slot: a generation, perhaps with a snapshot, under a checksum.

use nanoserde::{DeBin, SerBin};

use crate::entry::Snapshot;

/// What a slot holds.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Slot {
    pub generation: u64,
    pub snapshot: Option<Snapshot>,
}

/// "GQS1": marks a slot, and the form of its content.
const MARK: u32 = 0x3153_5147;

/// Mark and checksum.
const HEAD_BYTES: usize = 8;

/// Room for all but the application's bytes, so that those are copied once.
const HEAD_ROOM: usize = 1024;

impl Slot {
    /// The content of a slot's file: mark, checksum, then the rest.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let size = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.bytes.len());
        let mut bytes = Vec::with_capacity(size + HEAD_ROOM);
        MARK.ser_bin(&mut bytes);
        0u32.ser_bin(&mut bytes);
        self.ser_bin(&mut bytes);
        let checksum = crc32fast::hash(&bytes[HEAD_BYTES..]);
        bytes[4..HEAD_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a slot's file; none if it is torn.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Slot> {
        let mut offset = 0;
        let mark = u32::de_bin(&mut offset, bytes).ok()?;
        let checksum = u32::de_bin(&mut offset, bytes).ok()?;
        let content = bytes.get(offset..)?;
        if mark != MARK || checksum != crc32fast::hash(content) {
            return None;
        }
        let mut read = 0;
        let slot = Slot::de_bin(&mut read, content).ok()?;
        (read == content.len()).then_some(slot)
    }
}

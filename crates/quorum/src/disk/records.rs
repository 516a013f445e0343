//! The records of a log file. Each has its length and a checksum that covers it and all records before it.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::blob::{read_list, write_list};
use crate::entry::{Entry, HardState};

/// One record of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// The first record, with all that the log holds when the generation begins.
    Base { generation: u64, hard_state: HardState, entries: Vec<Entry> },
    /// The hard state, in place of all earlier ones.
    HardState(HardState),
    /// Entries without gaps, which replace all entries from the index of the first one on.
    Entries(Vec<Entry>),
}

const BASE: u8 = 1;
const HARD_STATE: u8 = 2;
const ENTRIES: u8 = 3;

/// The size of a record's length and checksum, in bytes.
const PREFIX_BYTES: usize = 8;

/// The size of the smallest entry, in bytes: 8 for its index, 8 for its term and 1 for the kind of its payload.
const MIN_ENTRY_BYTES: usize = 17;

impl SerBin for Record {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        match self {
            Record::Base { generation, hard_state, entries } => {
                BASE.ser_bin(output);
                generation.ser_bin(output);
                hard_state.ser_bin(output);
                write_list(entries, output);
            }
            Record::HardState(hard_state) => {
                HARD_STATE.ser_bin(output);
                hard_state.ser_bin(output);
            }
            Record::Entries(entries) => {
                ENTRIES.ser_bin(output);
                write_list(entries, output);
            }
        }
    }
}

impl DeBin for Record {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Record, DeBinErr> {
        match u8::de_bin(offset, bytes)? {
            BASE => Ok(Record::Base {
                generation: u64::de_bin(offset, bytes)?,
                hard_state: HardState::de_bin(offset, bytes)?,
                entries: read_list(MIN_ENTRY_BYTES, offset, bytes)?,
            }),
            HARD_STATE => Ok(Record::HardState(HardState::de_bin(offset, bytes)?)),
            ENTRIES => Ok(Record::Entries(read_list(MIN_ENTRY_BYTES, offset, bytes)?)),
            _ => Err(DeBinErr::new(*offset, 1, bytes.len())),
        }
    }
}

/// The error of a record whose checksum is right but that this program can't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnknownRecord;

/// A record that was read and whose checksum is right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct VerifiedRecord {
    pub(super) record: Record,
    /// The checksum chain after the record.
    pub(super) chain: ChecksumChain,
    /// The size of the record in the file, in bytes.
    pub(super) size: usize,
}

/// The running checksum of a generation's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChecksumChain(u32);

impl ChecksumChain {
    /// The start of a chain. The first record has the number of the generation, so that all later checksums depend on
    /// it.
    pub(super) const START: ChecksumChain = ChecksumChain(0);

    /// Returns the chain after a record with this content.
    fn extend(self, content: &[u8]) -> ChecksumChain {
        let mut hasher = crc32fast::Hasher::new_with_initial(self.0);
        hasher.update(&(content.len() as u64).to_le_bytes());
        hasher.update(content);
        ChecksumChain(hasher.finalize())
    }

    /// Appends the binary form of a record to `output` and returns the chain after the record.
    pub(super) fn write(self, record: &Record, output: &mut Vec<u8>) -> ChecksumChain {
        let content = record.serialize_bin();
        let next = self.extend(&content);
        (content.len() as u32).ser_bin(output);
        next.0.ser_bin(output);
        output.extend_from_slice(&content);
        next
    }

    /// Reads the record at the start of `bytes`. None if it is torn or left over from an earlier write.
    ///
    /// # Errors
    ///
    /// When the record's checksum is right but its kind is unknown: a newer version of this program has written it, and
    /// it must not be taken for a torn end.
    pub(super) fn read(self, bytes: &[u8]) -> Result<Option<VerifiedRecord>, UnknownRecord> {
        let Some(content) = self.verified_content(bytes) else { return Ok(None) };
        let mut offset = 0;
        match Record::de_bin(&mut offset, content) {
            Ok(record) if offset == content.len() => {
                let chain = self.extend(content);
                Ok(Some(VerifiedRecord { record, chain, size: PREFIX_BYTES + content.len() }))
            }
            _ => Err(UnknownRecord),
        }
    }

    /// The content of the record at the start of `bytes`, if its checksum is right.
    fn verified_content(self, bytes: &[u8]) -> Option<&[u8]> {
        let mut offset = 0;
        let length = u32::de_bin(&mut offset, bytes).ok()? as usize;
        let checksum = u32::de_bin(&mut offset, bytes).ok()?;
        let end = PREFIX_BYTES.checked_add(length)?;
        let content = bytes.get(PREFIX_BYTES..end)?;
        (self.extend(content).0 == checksum).then_some(content)
    }
}

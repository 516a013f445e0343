//! A change of the configuration, and the log entry that contains it.

use std::sync::Arc;

use nanoserde::{DeBin, SerBin};
use snafu::Snafu;

use crate::configuration::MAX_BODY_BYTES;

/// The 128-bit hash of a body. Bodies with the same hash count as the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct BodyHash(u128);

impl BodyHash {
    /// Computes the hash of a body. It is the same in every process.
    pub fn of(body: &[u8]) -> BodyHash {
        BodyHash(xxhash_rust::xxh3::xxh3_128(body))
    }
}

/// A change of the configuration, without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct Change {
    /// The version that the change builds on; 0 for the first change.
    pub base: u64,
    /// The version that the change sets.
    pub version: u64,
    /// The hash of the body of the change.
    pub hash: BodyHash,
}

impl Change {
    /// The length of the binary form of a change, in bytes.
    pub(super) const BYTES: usize = 32;
}

/// A change with its body, which is stored as an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    change: Change,
    body: Arc<[u8]>,
}

/// The reason for which bytes are not a valid entry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EntryError {
    /// The bytes have another format, or are damaged.
    #[snafu(display("an entry of format {format} instead of {FORMAT}"))]
    Format {
        /// The format number at the beginning of the bytes.
        format: u8,
    },
    /// The bytes end before the body begins, or the body is larger than [`MAX_BODY_BYTES`].
    #[snafu(display("an entry can't have {bytes} bytes"))]
    Length {
        /// The number of bytes.
        bytes: usize,
    },
    /// The body does not match the hash in the change.
    #[snafu(display("the body of version {version} is damaged"))]
    Body {
        /// The version that the change sets.
        version: u64,
    },
}

/// The format number of the binary form of an entry. The binary form is this byte, then the change, then the body,
/// which extends to the end.
const FORMAT: u8 = 1;
/// The length of the binary form of an entry without its body.
const HEADER_BYTES: usize = 1 + Change::BYTES;

impl Entry {
    /// Creates the entry for a body that an operator sent.
    pub fn new(base: u64, version: u64, body: Arc<[u8]>) -> Entry {
        Entry { change: Change { base, version, hash: BodyHash::of(&body) }, body }
    }

    /// Returns the change that the entry contains.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Returns the body, byte for byte as the operator sent it.
    pub fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    /// Returns the binary form of the entry.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.body.len());
        bytes.push(FORMAT);
        self.change.ser_bin(&mut bytes);
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads an entry from its binary form.
    ///
    /// # Errors
    /// The bytes have another format, are too short or too long, or contain a body that doesn't match its hash.
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let length = EntryError::Length { bytes: bytes.len() };
        let format = *bytes.first().ok_or_else(|| length.clone())?;
        if format != FORMAT {
            return Err(EntryError::Format { format });
        }
        if bytes.len() > HEADER_BYTES + MAX_BODY_BYTES {
            return Err(length);
        }
        let mut position = 1;
        let change = Change::de_bin(&mut position, bytes).map_err(|_| length.clone())?;
        let body = bytes.get(position..).ok_or(length)?;
        if BodyHash::of(body) != change.hash {
            return Err(EntryError::Body { version: change.version });
        }
        Ok(Entry { change, body: Arc::from(body) })
    }
}

//! A change of the configuration, and the log entry that carries it.

use std::sync::Arc;

use nanoserde::{DeBin, SerBin};
use snafu::Snafu;

use crate::configuration::MAX_BODY_BYTES;

/// A hash of 128 bits of a body, by which the same body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct BodyHash(u128);

impl BodyHash {
    /// The hash of a body. It is the same in every process.
    pub fn of(body: &[u8]) -> BodyHash {
        BodyHash(xxhash_rust::xxh3::xxh3_128(body))
    }
}

/// A change of the configuration, without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct Change {
    /// The version that it builds on; 0 for the first.
    pub base: u64,
    /// The version that it sets.
    pub version: u64,
    /// The hash of its body.
    pub hash: BodyHash,
}

impl Change {
    /// The length of the binary form.
    pub(super) const BYTES: usize = 32;
}

/// A change with its body, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    change: Change,
    body: Arc<[u8]>,
}

/// Why bytes are not an entry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EntryError {
    /// They are of another format, or damaged.
    #[snafu(display("an entry of format {format} instead of {FORMAT}"))]
    Format {
        /// The format they begin with.
        format: u8,
    },
    /// They end before the body begins, or the body is larger than any that is accepted.
    #[snafu(display("an entry can't have {bytes} bytes"))]
    Length {
        /// How many there are.
        bytes: usize,
    },
    /// The body is not the one that the change was made with.
    #[snafu(display("the body of version {version} is damaged"))]
    Body {
        /// The version of the change.
        version: u64,
    },
}

/// The binary form: this byte, the change, and then the body to the end.
const FORMAT: u8 = 1;
const HEADER_BYTES: usize = 1 + Change::BYTES;

impl Entry {
    /// An entry for a body that an operator sent.
    pub fn new(base: u64, version: u64, body: Arc<[u8]>) -> Entry {
        Entry { change: Change { base, version, hash: BodyHash::of(&body) }, body }
    }

    /// The change that it carries.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// The body, byte for byte as it was sent.
    pub fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    /// The binary form.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.body.len());
        bytes.push(FORMAT);
        self.change.ser_bin(&mut bytes);
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads the binary form.
    ///
    /// # Errors
    /// The bytes are of another format, too short or too long, or the body doesn't match its hash.
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let length = EntryError::Length { bytes: bytes.len() };
        let format = *bytes.first().ok_or_else(|| length.clone())?;
        if format != FORMAT {
            return Err(EntryError::Format { format });
        }
        if bytes.len() > HEADER_BYTES + MAX_BODY_BYTES {
            return Err(length);
        }
        let mut at = 1;
        let change = Change::de_bin(&mut at, bytes).map_err(|_| length.clone())?;
        let body = bytes.get(at..).ok_or(length)?;
        if BodyHash::of(body) != change.hash {
            return Err(EntryError::Body { version: change.version });
        }
        Ok(Entry { change, body: Arc::from(body) })
    }
}

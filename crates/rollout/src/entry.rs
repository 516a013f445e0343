//! The log entries that change the replicated state of roll-outs, and their encoding.

use crate::order::RolloutOrder;
use nanoserde::{DeBin, SerBin};
use snafu::Snafu;

/// The first byte of an encoded entry. Entries of the configuration, which are in the same log, start with another byte.
pub const ENTRY_FORMAT: u8 = 2;

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Entry {
    /// Sets the version that the executors of a service have before its first roll-out.
    VersionInForce {
        /// The name of the service.
        service: String,
        /// The version in force.
        version: String,
    },
    /// Starts a roll-out by an operator's order.
    Begin {
        /// The order.
        order: RolloutOrder,
        /// The version in force. It is used if the state has none yet, and empty if the leader does not know it.
        in_force: String,
        /// The wall clock time at which the leader accepted the order, in milliseconds since 1970.
        begun_at_wall_ms: u64,
    },
    /// Ends an active roll-out. The version in force stays the same.
    Revert {
        /// The name of the service.
        service: String,
        /// The target version of the roll-out.
        target_version: String,
    },
}

/// Why bytes can't be decoded as an entry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EntryError {
    /// The entry has another format.
    #[snafu(display("a roll-out entry of format {format} instead of {ENTRY_FORMAT}"))]
    Format {
        /// The first byte of the entry, or 0 if there are no bytes.
        format: u8,
    },
    /// The bytes are incomplete, invalid, or followed by others.
    #[snafu(display("a damaged roll-out entry"))]
    Damaged,
}

impl Entry {
    /// Encodes the entry.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![ENTRY_FORMAT];
        self.ser_bin(&mut bytes);
        bytes
    }

    /// Decodes an entry.
    ///
    /// # Errors
    /// Fails if the entry has another format or is damaged.
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let format = bytes.first().copied().unwrap_or_default();
        if format != ENTRY_FORMAT {
            return Err(EntryError::Format { format });
        }
        let mut offset = 1;
        let entry = Entry::de_bin(&mut offset, bytes).map_err(|_| EntryError::Damaged)?;
        if offset == bytes.len() { Ok(entry) } else { Err(EntryError::Damaged) }
    }
}

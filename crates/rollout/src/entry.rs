//! The log entries that change the state of roll-outs.

use crate::order::RolloutOrder;
use nanoserde::{DeBin, SerBin};
use snafu::Snafu;

/// The first byte of an entry. The entries of the configuration, which stand in the same log, begin with another one.
pub const ENTRY_FORMAT: u8 = 2;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Entry {
    /// The version that the executors of a service have before any roll-out.
    VersionInForce {
        /// The service.
        service: String,
        /// The version.
        version: String,
    },
    /// An operator's order is taken.
    Begin {
        /// The order.
        order: RolloutOrder,
        /// The version in force, if that was not known before; empty if nobody knows it.
        in_force: String,
        /// When the order was taken, by the leader's time of day (milliseconds since 1970).
        begun_ms: u64,
    },
    /// A roll-out that is under way ends: the version before it stays in force.
    Revert {
        /// The service.
        service: String,
        /// The version that it was to have.
        target_version: String,
    },
}

/// Why bytes are not an entry.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EntryError {
    /// They are of another format.
    #[snafu(display("a roll-out entry of format {format} instead of {ENTRY_FORMAT}"))]
    Format {
        /// The format they begin with; 0 if there are none.
        format: u8,
    },
    /// They can't be read.
    #[snafu(display("a damaged roll-out entry"))]
    Damaged,
}

impl Entry {
    /// The binary form.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![ENTRY_FORMAT];
        self.ser_bin(&mut bytes);
        bytes
    }

    /// Reads the binary form.
    ///
    /// # Errors
    /// The bytes are of another format or damaged.
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let format = bytes.first().copied().unwrap_or_default();
        if format != ENTRY_FORMAT {
            return Err(EntryError::Format { format });
        }
        let mut at = 1;
        let entry = Entry::de_bin(&mut at, bytes).map_err(|_| EntryError::Damaged)?;
        if at == bytes.len() { Ok(entry) } else { Err(EntryError::Damaged) }
    }
}

//! The binary form of the whole register. It is stored on disk, and sent to replicas whose logs are behind.

use std::collections::VecDeque;
use std::sync::Arc;

use nanoserde::{DeBin, SerBin};
use snafu::Snafu;

use super::change::{BodyHash, Change};
use super::state::{ConfigurationRegister, MAX_HISTORY};
use crate::configuration::MAX_BODY_BYTES;

/// The format number of the binary form of a register. The binary form is this byte, then the number of changes, then
/// the changes, then the body, which extends to the end.
const FORMAT: u8 = 1;
/// The length of the number of changes in the binary form, in bytes.
const COUNT_BYTES: usize = 4;
/// The length of the binary form of a register without its changes and its body, in bytes.
const HEADER_BYTES: usize = 1 + COUNT_BYTES;

/// The reason for which bytes are not a valid snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotError {
    /// The bytes have another format, or are damaged.
    #[snafu(display("a snapshot of format {format} instead of {FORMAT}"))]
    Format {
        /// The format number at the beginning of the bytes.
        format: u8,
    },
    /// The bytes end before the body begins, or contain more changes or a larger body than a register can have.
    #[snafu(display("a snapshot can't have {bytes} bytes"))]
    Length {
        /// The number of bytes.
        bytes: usize,
    },
    /// The changes don't each build on the one before.
    #[snafu(display("the history of the snapshot is broken at version {version}"))]
    History {
        /// The version of the change that doesn't build on the one before.
        version: u64,
    },
    /// The body does not match the hash in the newest change.
    #[snafu(display("the body of the snapshot at version {version} is damaged"))]
    Body {
        /// The version that the newest change sets.
        version: u64,
    },
}

impl ConfigurationRegister {
    /// Returns the binary form of the whole register.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(HEADER_BYTES + self.history.len() * Change::BYTES + self.body.len());
        bytes.push(FORMAT);
        // The history has at most MAX_HISTORY changes, so its length fits into 32 bits.
        (self.history.len() as u32).ser_bin(&mut bytes);
        for change in &self.history {
            change.ser_bin(&mut bytes);
        }
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads a register from its binary form.
    ///
    /// # Errors
    /// The bytes have another format, are too short or too long, contain changes that don't each build on the one
    /// before, or contain a body that doesn't match the hash in the newest change.
    pub fn decode(bytes: &[u8]) -> Result<ConfigurationRegister, SnapshotError> {
        let length = || SnapshotError::Length { bytes: bytes.len() };
        let format = *bytes.first().ok_or_else(length)?;
        if format != FORMAT {
            return Err(SnapshotError::Format { format });
        }
        let mut position = 1;
        let count = u32::de_bin(&mut position, bytes).map_err(|_| length())? as usize;
        if count > MAX_HISTORY || bytes.len() > HEADER_BYTES + count * Change::BYTES + MAX_BODY_BYTES {
            return Err(length());
        }
        let changes = (0..count).map(|_| Change::de_bin(&mut position, bytes).map_err(|_| length()));
        let history = changes.collect::<Result<VecDeque<Change>, SnapshotError>>()?;
        check_history(&history)?;
        let body = bytes.get(position..).ok_or_else(length)?;
        check_body(history.back(), body)?;
        let version = history.back().map_or(0, |newest| newest.version);
        Ok(ConfigurationRegister { version, body: Arc::from(body), history })
    }
}

fn check_history(history: &VecDeque<Change>) -> Result<(), SnapshotError> {
    let mut previous_version = None;
    for change in history {
        let builds_on_previous = previous_version.is_none_or(|version| change.base == version);
        if !builds_on_previous || change.version <= change.base {
            return Err(SnapshotError::History { version: change.version });
        }
        previous_version = Some(change.version);
    }
    Ok(())
}

fn check_body(newest: Option<&Change>, body: &[u8]) -> Result<(), SnapshotError> {
    let is_intact = match newest {
        Some(change) => BodyHash::of(body) == change.hash,
        None => body.is_empty(),
    };
    let version = newest.map_or(0, |change| change.version);
    if is_intact { Ok(()) } else { Err(SnapshotError::Body { version }) }
}

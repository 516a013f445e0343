//! The binary form of the whole register, for the disk and for replicas that are behind.

use std::collections::VecDeque;
use std::sync::Arc;

use nanoserde::{DeBin, SerBin};
use snafu::Snafu;

use super::change::{BodyHash, Change};
use super::state::{ConfigurationRegister, MAX_HISTORY};
use crate::configuration::MAX_BODY_BYTES;

/// The binary form: this byte, the count of changes, the changes, and then the body to the end.
const FORMAT: u8 = 1;
const COUNT_BYTES: usize = 4;
const HEADER_BYTES: usize = 1 + COUNT_BYTES;

/// Why bytes are not a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotError {
    /// They are of another format, or damaged.
    #[snafu(display("a snapshot of format {format} instead of {FORMAT}"))]
    Format {
        /// The format they begin with.
        format: u8,
    },
    /// They end before the body begins, or hold more than a register does.
    #[snafu(display("a snapshot can't have {bytes} bytes"))]
    Length {
        /// How many there are.
        bytes: usize,
    },
    /// The changes don't build on one another.
    #[snafu(display("the history of the snapshot is broken at version {version}"))]
    History {
        /// The version of the change that doesn't fit.
        version: u64,
    },
    /// The body is not the one that the newest change was made with.
    #[snafu(display("the body of the snapshot at version {version} is damaged"))]
    Body {
        /// The version of the newest change.
        version: u64,
    },
}

impl ConfigurationRegister {
    /// The binary form of the whole register.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(HEADER_BYTES + self.history.len() * Change::BYTES + self.body.len());
        bytes.push(FORMAT);
        // At most MAX_HISTORY.
        (self.history.len() as u32).ser_bin(&mut bytes);
        for change in &self.history {
            change.ser_bin(&mut bytes);
        }
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads the binary form.
    ///
    /// # Errors
    /// The bytes are of another format, too short or too long, the changes don't build on one another, or the
    /// body is not that of the newest change.
    pub fn decode(bytes: &[u8]) -> Result<ConfigurationRegister, SnapshotError> {
        let length = || SnapshotError::Length { bytes: bytes.len() };
        let format = *bytes.first().ok_or_else(length)?;
        if format != FORMAT {
            return Err(SnapshotError::Format { format });
        }
        let mut at = 1;
        let count = u32::de_bin(&mut at, bytes).map_err(|_| length())? as usize;
        if count > MAX_HISTORY || bytes.len() > HEADER_BYTES + count * Change::BYTES + MAX_BODY_BYTES {
            return Err(length());
        }
        let changes = (0..count).map(|_| Change::de_bin(&mut at, bytes).map_err(|_| length()));
        let history = changes.collect::<Result<VecDeque<Change>, SnapshotError>>()?;
        check_history(&history)?;
        let body = bytes.get(at..).ok_or_else(length)?;
        check_body(history.back(), body)?;
        let version = history.back().map_or(0, |newest| newest.version);
        Ok(ConfigurationRegister { version, body: Arc::from(body), history })
    }
}

fn check_history(history: &VecDeque<Change>) -> Result<(), SnapshotError> {
    let mut before = None;
    for change in history {
        let builds_on_it = before.is_none_or(|version| change.base == version);
        if !builds_on_it || change.version <= change.base {
            return Err(SnapshotError::History { version: change.version });
        }
        before = Some(change.version);
    }
    Ok(())
}

fn check_body(newest: Option<&Change>, body: &[u8]) -> Result<(), SnapshotError> {
    let matches = match newest {
        Some(change) => BodyHash::of(body) == change.hash,
        None => body.is_empty(),
    };
    let version = newest.map_or(0, |change| change.version);
    if matches { Ok(()) } else { Err(SnapshotError::Body { version }) }
}

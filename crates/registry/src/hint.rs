//! The executors hint: the executors that a node stores on its disk across its own restart, so that it does not have to
//! wait for their next heartbeats.

use crate::codec::{Reader, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::executor::Executor;
use crate::registry::Registry;
use grebeusher_time::Instant;

/// The version of the format of the hint.
const FORMAT_VERSION: u8 = 1;

/// The largest number of executors in the hint.
const MAX_HINTED_EXECUTORS: usize = 4_096;

impl Registry {
    /// Encodes the responsive executors that exist as far as is known, for [`Registry::restore_executors`] in a later
    /// process of this node.
    pub fn executors_hint(&self) -> Vec<u8> {
        let existing = self.executors().filter(|executor| executor.exists() && !executor.unresponsive);
        let executors: Vec<Executor> = existing.take(MAX_HINTED_EXECUTORS).cloned().collect();
        let mut out = Writer::default();
        out.u8(FORMAT_VERSION);
        out.list(&executors);
        out.bytes
    }

    /// Returns whether an executor is known only from an earlier process of this node and has sent no heartbeat for so
    /// long since the restart that it may have announced its drain in the meantime.
    pub fn is_only_restored(&self, id: &str) -> bool {
        self.executors.is_only_restored(id)
    }

    /// Restores the executors that an earlier process of this node stored, and returns their number. The registers are
    /// merged like any others: the next heartbeat of an executor is newer, and without one it becomes unresponsive.
    ///
    /// # Errors
    /// Returns an error if the bytes are not in the format of [`Registry::executors_hint`].
    pub fn restore_executors(&mut self, now: Instant, bytes: &[u8]) -> Result<usize, DecodeError> {
        let mut input = Reader::new(bytes);
        let version = input.u8()?;
        if version != FORMAT_VERSION {
            return UnknownVariantSnafu { what: "the format version of the executors hint", tag: version }
                .fail();
        }
        let executors: Vec<Executor> = input.list("the executors hint", MAX_HINTED_EXECUTORS)?;
        let count = executors.len();
        for executor in executors {
            let (id, known) = (executor.report.id.clone(), self.executor(&executor.report.id).is_some());
            self.merge_executor(now, executor);
            if !known {
                self.executors.set_restored(&id);
            }
        }
        Ok(count)
    }
}

//! What a node remembers of the executors over its own restart: a hint that saves waiting for their next heartbeats.

use crate::codec::{Reader, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::executor::Executor;
use crate::registry::Registry;
use grebeusher_time::Instant;

/// The version of the form.
const VERSION: u8 = 1;

/// The most executors that are remembered.
const MAX_HINTED_EXECUTORS: usize = 4_096;

impl Registry {
    /// The executors that exist as far as is known, for [`Registry::restore_executors`] of a later process of this node.
    pub fn executors_hint(&self) -> Vec<u8> {
        let existing = self.executors().filter(|executor| executor.exists() && !executor.unresponsive);
        let executors: Vec<Executor> = existing.take(MAX_HINTED_EXECUTORS).cloned().collect();
        let mut out = Writer::default();
        out.u8(VERSION);
        out.list(&executors);
        out.bytes
    }

    /// Whether an executor is known only from an earlier process of this node, and has not been contacted for so long since that
    /// it may have said meanwhile that it leaves.
    pub fn is_only_restored(&self, id: &str) -> bool {
        self.executors.is_only_restored(id)
    }

    /// Takes over what an earlier process of this node remembered. It merges like any register: each next
    /// heartbeat of an executor is newer, and one that doesn't come leaves it unresponsive.
    ///
    /// # Errors
    /// The bytes are not in the form of [`Registry::executors_hint`].
    pub fn restore_executors(&mut self, now: Instant, bytes: &[u8]) -> Result<usize, DecodeError> {
        let mut input = Reader::new(bytes);
        let version = input.u8()?;
        if version != VERSION {
            return UnknownVariantSnafu { what: "the form of remembered executors", tag: version }.fail();
        }
        let executors: Vec<Executor> = input.list("remembered executors", MAX_HINTED_EXECUTORS)?;
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

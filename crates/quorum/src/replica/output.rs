//! What a replica has to write, to send and to load, and how far the log has got on its way to the disk.
//!
//! The state machine only records here that something changed; [`batch`](super::batch) turns it into a
//! [`Ready`](crate::Ready). Invariant: `synced <= writing <= last index of the log`.

use crate::ids::{Index, ReplicaId};
use crate::message::Message;
use crate::ready::Restore;

/// The output since the last batch.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingOutput {
    pub(super) hard_state_changed: bool,
    /// The snapshot changed, so that the complete state has to be written.
    pub(super) snapshot_changed: bool,
    /// The log changed from here on.
    pub(super) entries_from: Option<Index>,
    pub(super) messages: Vec<(ReplicaId, Message)>,
    pub(super) restore: Option<Restore>,
    /// The log was given out to be written up to here.
    pub(super) writing: Index,
    /// The log is on disk up to here.
    pub(super) synced: Index,
}

impl PendingOutput {
    /// Records that the log changes from an index on.
    pub(super) fn record_change(&mut self, from: Index) {
        self.entries_from = Some(self.entries_from.map_or(from, |earlier| earlier.min(from)));
        self.writing = self.writing.min(from.previous());
        self.synced = self.synced.min(from.previous());
    }
}

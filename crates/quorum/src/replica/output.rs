//! What a replica has to write, to send and to load, and how far the log has got on its way to the disk.
//!
//! The state machine only records here that something changed; [`batch`](super::batch) turns it into a
//! [`Ready`](crate::Ready). Invariant: `synced <= writing <= last index of the log`.

use crate::ids::{Index, ReplicaId};
use crate::message::Message;
use crate::ready::Restore;

/// What waits to be handed out, and how far that got.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingOutput {
    pub(super) hard_state_changed: bool,
    /// Everything is to be written anew.
    pub(super) snapshot_changed: bool,
    /// The log changed from here on.
    pub(super) entries_from: Option<Index>,
    pub(super) messages: Vec<(ReplicaId, Message)>,
    pub(super) restore: Option<Restore>,
    /// Handed out to be written up to here.
    pub(super) writing: Index,
    /// On disk up to here.
    pub(super) synced: Index,
}

impl PendingOutput {
    /// The log changes from an index on.
    pub(super) fn record_change(&mut self, from: Index) {
        self.entries_from = Some(self.entries_from.map_or(from, |earlier| earlier.min(from)));
        self.writing = self.writing.min(from.previous());
        self.synced = self.synced.min(from.previous());
    }
}

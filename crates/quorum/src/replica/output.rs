//! The output that a replica has accumulated since the last batch, and how much of its log is written and synced.
//!
//! The state machine only records changes here; [`batch`](super::batch) turns it into a
//! [`Ready`](crate::Ready). Invariant: `synced <= writing <= last index of the log`.

use crate::ids::{Index, ReplicaId};
use crate::message::Message;
use crate::ready::Restore;

/// The output since the last batch, and how much of the log is on disk.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingOutput {
    pub(super) hard_state_changed: bool,
    /// Whether the snapshot changed, so that the complete state has to be written.
    pub(super) snapshot_changed: bool,
    /// The index from which on the log changed.
    pub(super) entries_from: Option<Index>,
    pub(super) messages: Vec<(ReplicaId, Message)>,
    pub(super) restore: Option<Restore>,
    /// The index up to which the log was in a batch to be written.
    pub(super) writing: Index,
    /// The index up to which the log is synced.
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

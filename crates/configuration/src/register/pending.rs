//! Changes that are in the log of the leader of the partition and that it has not yet applied.

use super::change::Change;

/// The changes that the leader has proposed, or found in its log when it became the leader, and that it has not yet
/// applied. While any change is pending, another change can only be decided on if the committed changes suffice to do
/// so.
///
/// Only the leader of the partition keeps this list; the other replicas have none. As a change is proposed only while
/// no other is pending, the list is no longer than the uncommitted end of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    changes: Vec<Change>,
}

impl Pending {
    /// Creates an empty list.
    pub fn new() -> Pending {
        Pending::default()
    }

    /// Adds a change that the leader has put into the log, or has found there uncommitted.
    pub fn propose(&mut self, change: Change) {
        if !self.changes.contains(&change) {
            self.changes.push(change);
        }
    }

    /// Removes a change that was applied, whether it was accepted or not.
    pub fn applied(&mut self, change: &Change) {
        self.changes.retain(|pending| pending != change);
    }

    /// Removes all changes. The process calls this when it has lost the leadership, or before it reads the uncommitted
    /// end of the log again.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// Whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

//! Changes that are in the log of the partition's leader and not yet committed.

use super::change::Change;

/// The changes that the leader has proposed, or found in its log when it became the leader, and that are not yet
/// applied. While there is one, no other change can be judged but by what is committed.
///
/// The leader of the partition keeps it; replicas have none. As a change is proposed only while nothing is pending, it
/// is no longer than the uncommitted end of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    changes: Vec<Change>,
}

impl Pending {
    /// Nothing is pending.
    pub fn new() -> Pending {
        Pending::default()
    }

    /// A change was put into the log, or found there uncommitted.
    pub fn propose(&mut self, change: Change) {
        if !self.changes.contains(&change) {
            self.changes.push(change);
        }
    }

    /// A change was applied, whatever became of it.
    pub fn applied(&mut self, change: &Change) {
        self.changes.retain(|pending| pending != change);
    }

    /// The log's end is no longer this process's to decide: it lost the leadership, or is about to read the end
    /// anew.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

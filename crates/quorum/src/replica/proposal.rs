//! What the application puts into the log, and the snapshots by which it shortens the log.

use grebeusher_time::Instant;

use super::Replica;
use super::role::Role;
use crate::blob::Blob;
use crate::entry::{Entry, Payload, Snapshot};
use crate::error::{CompactError, ProposeError};
use crate::ids::{Index, Position, Term};

/// The bytes of uncommitted entries above which a leader takes no proposals.
const MAX_UNCOMMITTED: usize = 6 * 1024 * 1024;

impl Replica {
    /// Proposes a command. It is committed when [`Ready::committed`](crate::Ready::committed) has it under the same index
    /// and term; another term there, or a later index first, means that it was lost.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, too much is uncommitted, or the command is too large.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<Index, ProposeError> {
        self.advance(now);
        if command.len() > crate::MAX_COMMAND {
            return Err(ProposeError::TooLarge { size: command.len() });
        }
        let hint = self.leader_hint();
        let Role::Leader(leader_state) = &self.role else { return Err(ProposeError::NotLeader { hint }) };
        if let Some(leadership_transfer) = leader_state.leadership_transfer {
            return Err(ProposeError::NotLeader { hint: Some(leadership_transfer.target) });
        }
        if leader_state.uncommitted + command.len() > MAX_UNCOMMITTED {
            return Err(ProposeError::Busy);
        }
        Ok(self.append(self.hard_state.term, Payload::Command(Blob::from(command))))
    }

    /// Replaces the log up to `index` by a snapshot of the application, which contains everything up to there.
    ///
    /// # Errors
    ///
    /// When the application has not been given everything up to there, a snapshot of as much exists, or it is too large.
    pub fn compact(&mut self, index: Index, bytes: Vec<u8>) -> Result<(), CompactError> {
        let snapshot = self.log.snapshot_last().index;
        if bytes.len() > crate::MAX_SNAPSHOT {
            return Err(CompactError::TooLarge { size: bytes.len() });
        }
        if index > self.applied {
            return Err(CompactError::NotApplied { applied: self.applied });
        }
        let term = match self.log.term_at(index) {
            Some(term) if index > snapshot => term,
            _ => return Err(CompactError::Outdated { snapshot }),
        };
        let snapshot = Snapshot {
            last: Position { term, index },
            group: self.log.group_at(index).clone(),
            bytes: Blob::from(bytes),
        };
        let floor = self.oldest_pending_snapshot().unwrap_or(index);
        self.log.compact(snapshot, floor);
        self.output.snapshot_changed = true;
        Ok(())
    }

    /// Appends an entry to the replica's own log.
    pub(super) fn append(&mut self, term: Term, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        self.output.record_change(index);
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.uncommitted += payload.size();
        }
        self.log.push(Entry { index, term, payload });
        index
    }
}

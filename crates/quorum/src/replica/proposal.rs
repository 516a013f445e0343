//! Proposals of the application, and compaction of the log by snapshots of the application.

use grebeusher_time::Instant;

use super::Replica;
use super::role::Role;
use crate::blob::Blob;
use crate::entry::{Entry, Payload, Snapshot};
use crate::error::{CompactError, ProposeError};
use crate::ids::{Index, Position, Term};

/// The size of uncommitted entries, in bytes, above which a leader rejects proposals.
const MAX_UNCOMMITTED: usize = 6 * 1024 * 1024;

impl Replica {
    /// Proposes a command and returns its index. It is committed when [`Ready::committed`](crate::Ready::committed) has
    /// a command with this index and the term of the proposal. If that has a command of another term with this index,
    /// or a later index first, the command was lost.
    ///
    /// # Errors
    ///
    /// When this replica is not the leader, too many bytes are uncommitted, or the command is too large.
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

    /// Replaces the log up to `index` by a snapshot of the application, whose state after that entry is `bytes`.
    ///
    /// # Errors
    ///
    /// When the application has not been given all entries up to `index`, a snapshot up to there or beyond exists
    /// already, or `bytes` is too large.
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
        let oldest_pending_snapshot = self.oldest_pending_snapshot().unwrap_or(index);
        self.log.compact(snapshot, oldest_pending_snapshot);
        self.output.snapshot_changed = true;
        Ok(())
    }

    /// Appends an entry to this replica's log and returns its index.
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

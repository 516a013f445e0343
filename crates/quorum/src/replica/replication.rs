//! The messages that a leader sends to its followers: entries, heartbeats and chunks of a snapshot.

use super::Replica;
use crate::blob::Blob;
use crate::ids::{Index, Position, ReplicaId};
use crate::message::{Append, Body, LeaderTimestamp, Message, SnapshotChunk};
use crate::progress::{Progress, ProgressState};

/// The largest snapshot, in bytes, that is sent in place of entries that the log still has. Entries that have arrived
/// stay, while the transfer of a snapshot starts again when the leader changes, so it has to be short on any link.
const MAX_PREFERRED_SNAPSHOT_BYTES: usize = 512 * 1024;

impl Replica {
    /// Whether anything may be sent to a follower now.
    pub(super) fn has_entries_to_send(&self) -> bool {
        let last = self.log.last().index;
        let has_message = |follower: &Progress| {
            let is_receiving_snapshot = matches!(follower.state, ProgressState::Snapshot(_));
            follower.heartbeat_due
                || (follower.can_send() && (is_receiving_snapshot || follower.next <= last))
        };
        self.leader_state().is_some_and(|leader_state| leader_state.followers.values().any(has_message))
    }

    /// All messages that may be sent to the followers now. They do not depend on this replica's disk, because the
    /// leader counts itself in a quorum only for the entries that it has synced.
    pub(super) fn entries_to_send(&mut self) -> Vec<(ReplicaId, Message)> {
        let Some(leader_state) = self.leader_state_mut() else { return Vec::new() };
        let mut followers = std::mem::take(&mut leader_state.followers);
        let mut messages = Vec::new();
        for (replica, follower) in &mut followers {
            while let Some(body) = self.next_body(follower) {
                messages.push((*replica, self.message(*replica, self.hard_state.term, body)));
                follower.heartbeat_due = false;
            }
        }
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.followers = followers;
        }
        messages
    }

    /// The content of the next message to a follower, if one may be sent now.
    fn next_body(&self, follower: &mut Progress) -> Option<Body> {
        let last = self.log.last().index;
        let has_entries = follower.next <= last;
        let may_send = follower.can_send();
        if let ProgressState::Snapshot(transfer) = &mut follower.state {
            let before_log = Position::default();
            let heartbeat_due = follower.heartbeat_due;
            return match may_send {
                true => Some(self.next_chunk(transfer)),
                false => heartbeat_due.then(|| self.heartbeat(before_log)),
            };
        }
        let Some(previous) =
            self.position_before(follower.next).filter(|_| !self.snapshot_is_shorter(follower))
        else {
            return self.start_snapshot_transfer(follower);
        };
        if has_entries && may_send {
            let (entries, bytes) = self.log.batch(follower.next, crate::MAX_APPEND);
            follower.record_sent(entries.last()?.index, bytes);
            return Some(self.append_body(previous, entries));
        }
        if follower.heartbeat_due {
            if !follower.is_replicating() {
                follower.record_sent(previous.index, 0);
            }
            return Some(self.heartbeat(previous));
        }
        None
    }

    /// Whether the snapshot takes fewer bytes than the entries that a follower behind it still needs, although the log
    /// has them. After hundreds of changes of a large configuration the entries are many times longer than the
    /// snapshot, and the follower has to apply each of them.
    fn snapshot_is_shorter(&self, follower: &Progress) -> bool {
        let Some(snapshot) = self.log.snapshot().filter(|_| follower.is_idle()) else { return false };
        if follower.matched >= snapshot.last.index || snapshot.bytes.len() > MAX_PREFERRED_SNAPSHOT_BYTES {
            return false;
        }
        self.log.bytes_between(follower.matched, snapshot.last.index)
            > snapshot.bytes.len() + crate::MAX_APPEND
    }

    /// Starts to send the snapshot, because the log no longer has the entries that the follower needs or the snapshot
    /// is shorter. Returns its first chunk.
    fn start_snapshot_transfer(&self, follower: &mut Progress) -> Option<Body> {
        follower.become_snapshot(self.log.snapshot()?.clone());
        let ProgressState::Snapshot(transfer) = &mut follower.state else { return None };
        Some(self.next_chunk(transfer))
    }

    /// The position of the entry before `next`, unless the log no longer has its term.
    fn position_before(&self, next: Index) -> Option<Position> {
        let index = next.previous();
        let term = self.log.term_at(index)?;
        Some(Position { term, index })
    }

    /// Returns a heartbeat. A follower that missed entries rejects it, because its log has no such entry as `previous`.
    fn heartbeat(&self, previous: Position) -> Body {
        self.append_body(previous, Vec::new())
    }

    fn append_body(&self, previous: Position, entries: Vec<crate::entry::Entry>) -> Body {
        Body::Append(Append {
            previous,
            commit: self.commit,
            sent: LeaderTimestamp::from_instant(self.now),
            entries,
        })
    }

    /// Returns the next chunk of a snapshot and records it as sent.
    fn next_chunk(&self, transfer: &mut crate::progress::SnapshotTransfer) -> Body {
        let chunk_range = transfer.next_chunk();
        let snapshot = &transfer.snapshot;
        Body::SnapshotChunk(SnapshotChunk {
            last: snapshot.last,
            group: snapshot.group.clone(),
            total: snapshot.bytes.len() as u64,
            offset: chunk_range.start as u64,
            bytes: Blob::from(&snapshot.bytes.as_slice()[chunk_range]),
            sent: LeaderTimestamp::from_instant(self.now),
        })
    }

    /// The last append to a replica that was removed from the group: the entries that it still lacks, as many as one
    /// message holds.
    pub(super) fn final_append(&self, replica: ReplicaId) -> Option<Body> {
        let follower = self.leader_state()?.followers.get(&replica)?;
        let first = follower.matched.next();
        let previous = self.position_before(first)?;
        let (entries, _) = self.log.batch(first, crate::MAX_APPEND);
        Some(self.append_body(previous, entries))
    }

    /// The last index of the oldest snapshot that is still being sent.
    pub(super) fn oldest_pending_snapshot(&self) -> Option<Index> {
        self.leader_state()?.followers.values().filter_map(Progress::pending_snapshot).min()
    }
}

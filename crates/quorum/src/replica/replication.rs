//! What a leader sends to each follower: entries, heartbeats, chunks of a snapshot.

use super::Replica;
use crate::blob::Blob;
use crate::ids::{Index, Position, ReplicaId};
use crate::message::{Append, Body, LeaderTimestamp, Message, SnapshotChunk};
use crate::progress::{Progress, ProgressState};

/// The largest snapshot that is sent in place of entries that the log still has, in bytes. Entries that have arrived stay,
/// while an incomplete snapshot starts anew when the leader changes, so it has to be short on any link.
const MAX_RESTART_BYTES: usize = 512 * 1024;

impl Replica {
    /// Whether some follower is to be sent something now.
    pub(super) fn has_entries_to_send(&self) -> bool {
        let last = self.log.last().index;
        let waits = |follower: &Progress| {
            let in_transfer = matches!(follower.state, ProgressState::Snapshot(_));
            follower.heartbeat_due || (follower.can_send() && (in_transfer || follower.next <= last))
        };
        self.leader_state().is_some_and(|leader_state| leader_state.followers.values().any(waits))
    }

    /// Everything that may be sent to the followers now. It does not depend on this replica's disk: the leader counts
    /// itself for a quorum only up to what it has synced.
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

    /// The next message for one follower, if anything is due.
    fn next_body(&self, follower: &mut Progress) -> Option<Body> {
        let last = self.log.last().index;
        let has_entries = follower.next <= last;
        let may_send = follower.can_send();
        if let ProgressState::Snapshot(transfer) = &mut follower.state {
            let empty = Position::default();
            let tick_heartbeat = follower.heartbeat_due;
            return match may_send {
                true => Some(self.chunk(transfer)),
                false => tick_heartbeat.then(|| self.heartbeat(empty)),
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

    /// Whether a follower that is known to be behind the snapshot gets there by fewer bytes with the snapshot than with the
    /// entries that the log still has. After hundreds of changes of a large configuration these are many times longer, and
    /// each of them has to be applied.
    fn snapshot_is_shorter(&self, follower: &Progress) -> bool {
        let Some(snapshot) = self.log.snapshot().filter(|_| follower.is_idle()) else { return false };
        if follower.matched >= snapshot.last.index || snapshot.bytes.len() > MAX_RESTART_BYTES {
            return false;
        }
        self.log.bytes_between(follower.matched, snapshot.last.index)
            > snapshot.bytes.len() + crate::MAX_APPEND
    }

    /// The follower needs entries that the log no longer has, or gets there sooner by the snapshot.
    fn start_snapshot_transfer(&self, follower: &mut Progress) -> Option<Body> {
        follower.become_snapshot(self.log.snapshot()?.clone());
        let ProgressState::Snapshot(transfer) = &mut follower.state else { return None };
        Some(self.chunk(transfer))
    }

    fn position_before(&self, next: Index) -> Option<Position> {
        let index = next.previous();
        let term = self.log.term_at(index)?;
        Some(Position { term, index })
    }

    /// A heartbeat also shows a follower that it missed entries: it has none at `previous` then.
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

    fn chunk(&self, transfer: &mut crate::progress::SnapshotTransfer) -> Body {
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

    /// The last message to a replica that was removed: the entries that it still lacks, as far as one message holds them.
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

//! The follower's side of replication: it accepts entries and snapshots from a leader, and truncates uncommitted
//! entries that conflict with them.

use super::Replica;
use crate::blob::Blob;
use crate::entry::{Entry, Snapshot};
use crate::ids::{ClusterId, Position, ReplicaId, Term};
use crate::message::{
    Append, AppendOutcome, AppendResponse, Body, LeaderTimestamp, SnapshotChunk, SnapshotChunkResponse,
};
use crate::ready::Restore;

/// A snapshot of which some chunks have arrived.
#[derive(Clone, Debug, Hash)]
pub(super) struct IncomingSnapshot {
    leader: ReplicaId,
    /// The position of the last entry that the snapshot contains.
    last: Position,
    /// The bytes that have arrived, from the start without gaps.
    bytes: Vec<u8>,
}

impl Replica {
    pub(super) fn receive_append(&mut self, from: ReplicaId, term: Term, append: Append) {
        if !self.accept_leader(from, term, append.sent) {
            return;
        }
        let sent = append.sent;
        let outcome = self.accept_entries(append);
        self.respond_to_append(from, outcome, sent);
    }

    fn respond_to_append(&mut self, to: ReplicaId, outcome: AppendOutcome, sent: LeaderTimestamp) {
        self.send(to, self.hard_state.term, Body::AppendResponse(AppendResponse { outcome, sent }));
    }

    /// Follows the sender and returns true, unless its term is stale or the term has another leader.
    fn accept_leader(&mut self, from: ReplicaId, term: Term, sent: LeaderTimestamp) -> bool {
        if term < self.hard_state.term {
            self.respond_to_append(from, AppendOutcome::StaleTerm, sent);
            return false;
        }
        let known_leader = self.leader_hint().filter(|_| term == self.hard_state.term);
        if known_leader.is_some_and(|leader| leader != from) {
            return false;
        }
        self.become_follower_of(term, from);
        true
    }

    /// Appends the entries if this log has the entry before them. The log of every later leader has the entries that
    /// are committed here, so they are neither compared nor truncated.
    fn accept_entries(&mut self, append: Append) -> AppendOutcome {
        let Append { previous, commit, entries, .. } = append;
        if previous.index > self.commit && self.log.term_at(previous.index) != Some(previous.term) {
            return self.conflict(previous);
        }
        let end = previous.index.plus(entries.len() as u64);
        let committed = self.commit;
        for entry in entries.into_iter().filter(|entry| entry.index > committed) {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(commit.min(end).min(self.log.last().index));
        AppendOutcome::Matched(end.max(committed))
    }

    /// Appends an entry unless the log has it already. A conflicting entry and all after it are truncated first.
    fn accept_entry(&mut self, entry: Entry) {
        if self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.log.truncate(entry.index);
        }
        if entry.index == self.log.last().index.next() {
            self.output.record_change(entry.index);
            self.log.push(entry);
        }
    }

    /// Returns the rejection of an append after `previous`, with a hint where the logs may agree.
    fn conflict(&self, previous: Position) -> AppendOutcome {
        let hint = self.log.last_with_term_up_to(previous.index.previous(), previous.term);
        AppendOutcome::Conflict { rejected: previous.index, hint: hint.max(self.commit) }
    }

    pub(super) fn receive_chunk(&mut self, from: ReplicaId, term: Term, chunk: SnapshotChunk) {
        if !self.accept_leader(from, term, chunk.sent) {
            return;
        }
        if chunk.last.index <= self.commit {
            self.respond_to_append(from, AppendOutcome::Matched(self.commit), chunk.sent);
            return;
        }
        let (last, sent) = (chunk.last, chunk.sent);
        let Some(bytes) = self.collect_chunk(from, &chunk) else {
            let received = self
                .incoming_snapshot
                .as_ref()
                .map_or(0, |incoming_snapshot| incoming_snapshot.bytes.len() as u64);
            self.send(
                from,
                self.hard_state.term,
                Body::SnapshotChunkResponse(SnapshotChunkResponse { last, received, sent }),
            );
            return;
        };
        self.install(Snapshot { last, group: chunk.group, bytes });
        self.respond_to_append(from, AppendOutcome::Matched(last.index), sent);
    }

    /// Adds a chunk to the snapshot that it belongs to. Returns the bytes of the snapshot once all have arrived.
    fn collect_chunk(&mut self, leader: ReplicaId, chunk: &SnapshotChunk) -> Option<Blob> {
        let last = chunk.last;
        let is_same_snapshot = |incoming_snapshot: &IncomingSnapshot| {
            incoming_snapshot.leader == leader && incoming_snapshot.last == last
        };
        if !self.incoming_snapshot.as_ref().is_some_and(is_same_snapshot) {
            self.incoming_snapshot = Some(IncomingSnapshot { leader, last, bytes: Vec::new() });
        }
        let incoming_snapshot = self.incoming_snapshot.as_mut()?;
        if chunk.offset == incoming_snapshot.bytes.len() as u64 {
            incoming_snapshot.bytes.extend_from_slice(chunk.bytes.as_slice());
        }
        if (incoming_snapshot.bytes.len() as u64) < chunk.total {
            return None;
        }
        self.incoming_snapshot.take().map(|incoming_snapshot| Blob::from(incoming_snapshot.bytes))
    }

    /// Replaces the log and the state of the application by a complete snapshot.
    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.last.index;
        self.output.restore = Some(Restore { index, bytes: snapshot.bytes.clone() });
        self.output.snapshot_changed = true;
        self.output.writing = self.output.writing.min(index);
        self.output.synced = self.output.synced.min(index);
        self.log.install(snapshot);
        self.commit = index;
        self.applied = index;
    }

    /// Joins the cluster of the first leader that this replica hears from, if it belongs to no cluster yet.
    pub(super) fn adopt_cluster_id(&mut self, cluster_id: ClusterId) {
        if self.hard_state.cluster_id.is_none() {
            self.hard_state.cluster_id = Some(cluster_id);
            self.output.hard_state_changed = true;
        }
    }
}

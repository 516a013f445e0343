//! A follower: it takes entries and snapshots of a leader, and truncates uncommitted entries that conflict.

use super::Replica;
use crate::blob::Blob;
use crate::entry::{Entry, Snapshot};
use crate::ids::{ClusterId, Position, ReplicaId, Term};
use crate::message::{
    Append, AppendOutcome, AppendResponse, Body, LeaderTimestamp, SnapshotChunk, SnapshotChunkResponse,
};
use crate::ready::Restore;

/// A snapshot that is still arriving.
#[derive(Clone, Debug, Hash)]
pub(super) struct IncomingSnapshot {
    leader: ReplicaId,
    last: Position,
    bytes: Vec<u8>,
}

impl Replica {
    pub(super) fn receive_append(&mut self, from: ReplicaId, term: Term, append: Append) {
        if !self.accept_leader(from, term, append.sent) {
            return;
        }
        let sent = append.sent;
        let outcome = self.take_entries(append);
        self.respond_to_append(from, outcome, sent);
    }

    fn respond_to_append(&mut self, to: ReplicaId, outcome: AppendOutcome, sent: LeaderTimestamp) {
        self.send(to, self.hard_state.term, Body::AppendResponse(AppendResponse { outcome, sent }));
    }

    /// Follows the sender and returns true, unless its term is stale or it claims to be a second leader of the term.
    fn accept_leader(&mut self, from: ReplicaId, term: Term, sent: LeaderTimestamp) -> bool {
        if term < self.hard_state.term {
            self.respond_to_append(from, AppendOutcome::StaleTerm, sent);
            return false;
        }
        let known = self.leader_hint().filter(|_| term == self.hard_state.term);
        if known.is_some_and(|known| known != from) {
            return false;
        }
        self.become_follower_of(term, from);
        true
    }

    /// Appends the entries that match this log. What is committed here is in every later leader's log, so it is neither
    /// compared nor truncated.
    fn take_entries(&mut self, append: Append) -> AppendOutcome {
        let Append { previous, commit, entries, .. } = append;
        if previous.index > self.commit && self.log.term_at(previous.index) != Some(previous.term) {
            return self.conflict(previous);
        }
        let end = previous.index.plus(entries.len() as u64);
        let committed = self.commit;
        for entry in entries.into_iter().filter(|entry| entry.index > committed) {
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(end).min(self.log.last().index));
        AppendOutcome::Matched(end.max(committed))
    }

    fn take_entry(&mut self, entry: Entry) {
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

    /// Adds a chunk to the snapshot that it belongs to. Returns the bytes once they are complete.
    fn collect_chunk(&mut self, leader: ReplicaId, chunk: &SnapshotChunk) -> Option<Blob> {
        let last = chunk.last;
        let goes_on = |incoming_snapshot: &IncomingSnapshot| {
            incoming_snapshot.leader == leader && incoming_snapshot.last == last
        };
        if !self.incoming_snapshot.as_ref().is_some_and(goes_on) {
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

    /// An empty replica belongs to the cluster of the first leader that it hears of.
    pub(super) fn adopt_cluster_id(&mut self, cluster_id: ClusterId) {
        if self.hard_state.cluster_id.is_none() {
            self.hard_state.cluster_id = Some(cluster_id);
            self.output.hard_state_changed = true;
        }
    }
}

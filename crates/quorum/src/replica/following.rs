//! The follower's side: entries and snapshots of a leader.

use super::Replica;
use crate::blob::Blob;
use crate::entry::{Entry, Snapshot};
use crate::ids::{Founding, Position, ReplicaId, Term};
use crate::message::{Append, AppendReply, Body, Chunk, ChunkReply, Outcome, Stamp};
use crate::ready::Restore;

/// A snapshot that is still arriving.
#[derive(Clone, Debug, Hash)]
pub(super) struct Assembly {
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
        self.reply_append(from, outcome, sent);
    }

    fn reply_append(&mut self, to: ReplicaId, outcome: Outcome, sent: Stamp) {
        self.send(to, self.hard.term, Body::AppendReply(AppendReply { outcome, sent }));
    }

    /// Follows the sender, unless its term is over, which it is told. A term has one leader: who claims to be a second
    /// one is not believed.
    fn accept_leader(&mut self, from: ReplicaId, term: Term, sent: Stamp) -> bool {
        if term < self.hard.term {
            self.reply_append(from, Outcome::Outdated, sent);
            return false;
        }
        let known = self.leader_hint().filter(|_| term == self.hard.term);
        if known.is_some_and(|known| known != from) {
            return false;
        }
        self.note_leader(term, from);
        true
    }

    /// Takes the entries that follow on the own log. What is committed here is in every later leader's log, so it is
    /// never compared, let alone taken back.
    fn take_entries(&mut self, append: Append) -> Outcome {
        let Append { previous, commit, entries, .. } = append;
        if previous.index > self.commit && self.log.term_at(previous.index) != Some(previous.term) {
            return self.conflict(previous);
        }
        let end = previous.index.plus(entries.len() as u64);
        let decided = self.commit;
        for entry in entries.into_iter().filter(|entry| entry.index > decided) {
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(end).min(self.log.last().index));
        Outcome::Matched(end.max(decided))
    }

    fn take_entry(&mut self, entry: Entry) {
        if self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.log.truncate(entry.index);
        }
        if entry.index == self.log.last().index.next() {
            self.output.note_change(entry.index);
            self.log.push(entry);
        }
    }

    fn conflict(&self, previous: Position) -> Outcome {
        let hint = self.log.last_with_term_up_to(previous.index.previous(), previous.term);
        Outcome::Conflict { refused: previous.index, hint: hint.max(self.commit) }
    }

    pub(super) fn receive_chunk(&mut self, from: ReplicaId, term: Term, chunk: Chunk) {
        if !self.accept_leader(from, term, chunk.sent) {
            return;
        }
        if chunk.last.index <= self.commit {
            self.reply_append(from, Outcome::Matched(self.commit), chunk.sent);
            return;
        }
        let (last, sent) = (chunk.last, chunk.sent);
        let Some(bytes) = self.assemble(from, &chunk) else {
            let received = self.assembly.as_ref().map_or(0, |assembly| assembly.bytes.len() as u64);
            self.send(from, self.hard.term, Body::ChunkReply(ChunkReply { last, received, sent }));
            return;
        };
        self.install(Snapshot { last, group: chunk.group, bytes });
        self.reply_append(from, Outcome::Matched(last.index), sent);
    }

    /// Adds a piece to the snapshot that it belongs to. The bytes, once they are whole.
    fn assemble(&mut self, leader: ReplicaId, chunk: &Chunk) -> Option<Blob> {
        let last = chunk.last;
        let goes_on = |assembly: &Assembly| assembly.leader == leader && assembly.last == last;
        if !self.assembly.as_ref().is_some_and(goes_on) {
            self.assembly = Some(Assembly { leader, last, bytes: Vec::new() });
        }
        let assembly = self.assembly.as_mut()?;
        if chunk.offset == assembly.bytes.len() as u64 {
            assembly.bytes.extend_from_slice(chunk.bytes.as_slice());
        }
        if (assembly.bytes.len() as u64) < chunk.total {
            return None;
        }
        self.assembly.take().map(|assembly| Blob::from(assembly.bytes))
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.last.index;
        self.output.restore = Some(Restore { index, bytes: snapshot.bytes.clone() });
        self.output.rewrite = true;
        self.output.handed = self.output.handed.min(index);
        self.output.synced = self.output.synced.min(index);
        self.log.install(snapshot);
        self.commit = index;
        self.applied = index;
    }

    /// The first sign of a leader tells an empty replica which founding it belongs to.
    pub(super) fn join(&mut self, founding: Founding) {
        if self.hard.founding.is_none() {
            self.hard.founding = Some(founding);
            self.output.hard = true;
        }
    }
}

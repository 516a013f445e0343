//! The log in memory: the newest snapshot, the entries after it, some entries before it for followers that are
//! slightly behind, and the groups that the entries carry.
//!
//! Invariants: the entries have no gap; `before_first` is the position just before the first one and is never after the
//! snapshot; `groups` is in ascending order of indexes and never empty.

use std::collections::VecDeque;

use crate::entry::{Entry, Payload, RestoredState, Snapshot};
use crate::group::Group;
use crate::ids::{Index, Position, ReplicaId, Term};

/// The most bytes of entries that stay in memory although the snapshot contains them, for followers that are slightly
/// behind.
const MAX_RETAINED_BYTES: usize = 8 * 1024 * 1024;

/// A group and the index of the entry that carries it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupEntry {
    index: Index,
    group: Group,
}

/// The log of a replica.
#[derive(Clone, Debug)]
pub(crate) struct RaftLog {
    snapshot: Option<Snapshot>,
    /// The position just before the first entry in memory.
    before_first: Position,
    entries: VecDeque<Entry>,
    /// The size of the entries in memory, in bytes.
    bytes: usize,
    /// The size of the entries after the snapshot, in bytes.
    uncompacted_bytes: usize,
    /// The group at the snapshot and the groups after it, in ascending order of indexes; the first one is never
    /// removed.
    groups: Vec<GroupEntry>,
}

impl RaftLog {
    /// Creates the log from the state on disk, up to the first gap in its entries.
    pub(crate) fn restored(restored: RestoredState) -> RaftLog {
        let (before_first, group) = match &restored.snapshot {
            Some(snapshot) => (snapshot.last, snapshot.group.clone()),
            None => (Position::default(), Group::default()),
        };
        let mut log = RaftLog {
            snapshot: restored.snapshot,
            before_first,
            entries: VecDeque::new(),
            bytes: 0,
            uncompacted_bytes: 0,
            groups: vec![GroupEntry { index: before_first.index, group }],
        };
        for entry in restored.entries {
            if entry.index == log.last().index.next() {
                log.push(entry);
            }
        }
        log
    }

    /// The position of the last entry of the log.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.before_first, Entry::position)
    }

    /// The position of the last entry that the snapshot contains; the default position without a snapshot.
    pub(crate) fn snapshot_last(&self) -> Position {
        self.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.last)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The size of the entries after the snapshot, in bytes.
    pub(crate) fn uncompacted_bytes(&self) -> usize {
        self.uncompacted_bytes
    }

    /// The term of an entry, if the entry is in memory or just before those in memory.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.before_first.index {
            return Some(self.before_first.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index, if it is in memory.
    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.before_first.index.next().0)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from one index to another, both included, that are in memory.
    pub(crate) fn range(&self, from: Index, to: Index) -> impl Iterator<Item = &Entry> {
        let skipped = from.0.saturating_sub(self.before_first.index.next().0);
        self.entries.iter().skip(skipped as usize).take_while(move |entry| entry.index <= to)
    }

    /// The size of the entries after one index up to and including another, in bytes.
    pub(crate) fn bytes_between(&self, after: Index, to: Index) -> usize {
        self.range(after.next(), to).map(|entry| entry.payload.size()).sum()
    }

    /// As many entries from an index on as fit into `max_bytes`, but at least one if there is any, and their size in
    /// bytes.
    pub(crate) fn batch(&self, from: Index, max_bytes: usize) -> (Vec<Entry>, usize) {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.range(from, self.last().index) {
            let size = entry.payload.size();
            if !entries.is_empty() && bytes + size > max_bytes {
                break;
            }
            bytes += size;
            entries.push(entry.clone());
        }
        (entries, bytes)
    }

    /// Appends an entry, which must have the next index.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        let size = entry.payload.size();
        self.bytes += size;
        self.uncompacted_bytes += size;
        if let Payload::Group(group) = &entry.payload {
            self.groups.push(GroupEntry { index: entry.index, group: group.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on, which must be after the snapshot.
    pub(crate) fn truncate(&mut self, from: Index) {
        while self.entries.back().is_some_and(|entry| entry.index >= from) {
            let Some(entry) = self.entries.pop_back() else { break };
            self.bytes -= entry.payload.size();
            self.uncompacted_bytes = self.uncompacted_bytes.saturating_sub(entry.payload.size());
        }
        while self.groups.len() > 1 && self.groups.last().is_some_and(|last| last.index >= from) {
            self.groups.pop();
        }
    }

    /// The newest group in the log.
    pub(crate) fn group(&self) -> &Group {
        &self.newest_group().group
    }

    /// Whether the group before the newest one contains a replica.
    pub(crate) fn previous_group_contains(&self, replica: ReplicaId) -> bool {
        self.groups.iter().nth_back(1).is_some_and(|entry| entry.group.contains(replica))
    }

    /// The index of the entry that carries the newest group.
    pub(crate) fn group_index(&self) -> Index {
        self.newest_group().index
    }

    fn newest_group(&self) -> &GroupEntry {
        self.groups.last().unwrap_or(&self.groups[0])
    }

    /// The group in force at an index that is not before the snapshot.
    pub(crate) fn group_at(&self, index: Index) -> &Group {
        let in_force = self.groups.iter().rev().find(|entry| entry.index <= index);
        &in_force.unwrap_or(&self.groups[0]).group
    }

    /// Replaces the snapshot by a newer one of the application and drops entries that it contains, but keeps some of
    /// them in memory: 8 times as many bytes while a follower is receiving an older snapshot, whose last index is
    /// `oldest_pending_snapshot`, because it needs the entries after that one.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, oldest_pending_snapshot: Index) {
        let last = snapshot.last;
        self.groups.retain(|entry| entry.index > last.index);
        self.groups.insert(0, GroupEntry { index: last.index, group: snapshot.group.clone() });
        self.snapshot = Some(snapshot);
        self.uncompacted_bytes = self.bytes_between(last.index, self.last().index);
        let max_retained_bytes =
            if oldest_pending_snapshot < last.index { 8 * MAX_RETAINED_BYTES } else { MAX_RETAINED_BYTES };
        while self.bytes - self.uncompacted_bytes > max_retained_bytes && self.before_first.index < last.index
        {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= entry.payload.size();
            self.before_first = entry.position();
        }
    }

    /// Installs a snapshot of the leader. Entries after it stay if the log has its last entry.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        if self.term_at(last.index) == Some(last.term) {
            let oldest_pending_snapshot = last.index;
            self.compact(snapshot, oldest_pending_snapshot);
            return;
        }
        self.entries.clear();
        self.bytes = 0;
        self.uncompacted_bytes = 0;
        self.before_first = last;
        self.groups = vec![GroupEntry { index: last.index, group: snapshot.group.clone() }];
        self.snapshot = Some(snapshot);
    }

    /// The largest index up to `index` whose term is at most `term`, which is the highest one at which this log may
    /// agree with one that has `term` at `index`.
    pub(crate) fn last_with_term_up_to(&self, index: Index, term: Term) -> Index {
        let mut candidate = index.min(self.last().index);
        while candidate > self.before_first.index
            && self.term_at(candidate).is_some_and(|entry_term| entry_term > term)
        {
            candidate = candidate.previous();
        }
        candidate
    }
}

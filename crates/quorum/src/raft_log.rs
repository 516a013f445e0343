//! The log in memory: the newest snapshot, the entries after it, some entries before it for followers that lag a little,
//! and the groups that the entries carry.
//!
//! Invariants: the entries have no gap; `before` is the position just before the first one and is never after the
//! snapshot; `groups` is ascending and never empty.

use std::collections::VecDeque;

use crate::entry::{Entry, Payload, RestoredState, Snapshot};
use crate::group::Group;
use crate::ids::{Index, Position, ReplicaId, Term};

/// Entries that a snapshot contains stay in memory up to so many bytes, for followers that are a little behind.
const MAX_RETAINED_BYTES: usize = 8 * 1024 * 1024;

/// A group and the entry that carries it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupAt {
    index: Index,
    group: Group,
}

/// The log of a replica.
#[derive(Clone, Debug)]
pub(crate) struct RaftLog {
    snapshot: Option<Snapshot>,
    /// The position just before the first entry in memory.
    before: Position,
    entries: VecDeque<Entry>,
    /// The bytes of the entries in memory.
    bytes: usize,
    /// The bytes of the entries that no snapshot contains.
    uncompacted_bytes: usize,
    /// The group at the snapshot and those after it, ascending; the first one is never removed.
    groups: Vec<GroupAt>,
}

impl RaftLog {
    /// The log that was found on disk, up to the first gap.
    pub(crate) fn restored(restored: RestoredState) -> RaftLog {
        let (before, group) = match &restored.snapshot {
            Some(snapshot) => (snapshot.last, snapshot.group.clone()),
            None => (Position::default(), Group::default()),
        };
        let mut log = RaftLog {
            snapshot: restored.snapshot,
            before,
            entries: VecDeque::new(),
            bytes: 0,
            uncompacted_bytes: 0,
            groups: vec![GroupAt { index: before.index, group }],
        };
        for entry in restored.entries {
            if entry.index == log.last().index.next() {
                log.push(entry);
            }
        }
        log
    }

    /// The end of the log.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.before, Entry::position)
    }

    /// The last entry that the snapshot contains; the default without one.
    pub(crate) fn snapshot_last(&self) -> Position {
        self.snapshot.as_ref().map_or(Position::default(), |snapshot| snapshot.last)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The bytes of the entries that no snapshot contains.
    pub(crate) fn uncompacted_bytes(&self) -> usize {
        self.uncompacted_bytes
    }

    /// The term of an entry, when it is still known.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.before.index {
            return Some(self.before.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry, when it is in memory.
    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.before.index.next().0)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from one index to another, both included, as far as they are in memory.
    pub(crate) fn range(&self, from: Index, to: Index) -> impl Iterator<Item = &Entry> {
        let skipped = from.0.saturating_sub(self.before.index.next().0);
        self.entries.iter().skip(skipped as usize).take_while(move |entry| entry.index <= to)
    }

    /// The bytes of the entries after one index up to another.
    pub(crate) fn bytes_between(&self, after: Index, to: Index) -> usize {
        self.range(after.next(), to).map(|entry| entry.payload.size()).sum()
    }

    /// As many entries from an index on as fit, at least one if there is any, and their bytes.
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

    /// Adds an entry at the end. It has the next index.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        let size = entry.payload.size();
        self.bytes += size;
        self.uncompacted_bytes += size;
        if let Payload::Group(group) = &entry.payload {
            self.groups.push(GroupAt { index: entry.index, group: group.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes everything from an index on, which must be after the snapshot.
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

    /// The newest group.
    pub(crate) fn group(&self) -> &Group {
        &self.newest_group().group
    }

    /// Whether the group before the newest one contains a replica.
    pub(crate) fn previous_group_contains(&self, replica: ReplicaId) -> bool {
        self.groups.iter().nth_back(1).is_some_and(|known| known.group.contains(replica))
    }

    /// The index of the newest group.
    pub(crate) fn group_index(&self) -> Index {
        self.newest_group().index
    }

    fn newest_group(&self) -> &GroupAt {
        self.groups.last().unwrap_or(&self.groups[0])
    }

    /// The group at an entry that is not before the snapshot.
    pub(crate) fn group_at(&self, index: Index) -> &Group {
        let known = self.groups.iter().rev().find(|known| known.index <= index);
        &known.unwrap_or(&self.groups[0]).group
    }

    /// Takes a snapshot of the application and drops entries up to it, but keeps some in memory; more of them when a
    /// follower is receiving an older snapshot, which ends at `floor`.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, floor: Index) {
        let last = snapshot.last;
        self.groups.retain(|known| known.index > last.index);
        self.groups.insert(0, GroupAt { index: last.index, group: snapshot.group.clone() });
        self.snapshot = Some(snapshot);
        self.uncompacted_bytes = self.bytes_between(last.index, self.last().index);
        let max_retained = if floor < last.index { 8 * MAX_RETAINED_BYTES } else { MAX_RETAINED_BYTES };
        while self.bytes - self.uncompacted_bytes > max_retained && self.before.index < last.index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= entry.payload.size();
            self.before = entry.position();
        }
    }

    /// Takes a snapshot of the leader. Entries after it stay if the log agrees with it.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        if self.term_at(last.index) == Some(last.term) {
            let floor = last.index;
            self.compact(snapshot, floor);
            return;
        }
        self.entries.clear();
        self.bytes = 0;
        self.uncompacted_bytes = 0;
        self.before = last;
        self.groups = vec![GroupAt { index: last.index, group: snapshot.group.clone() }];
        self.snapshot = Some(snapshot);
    }

    /// The largest index up to `index` whose term is at most `term`: where the logs may agree at best.
    pub(crate) fn last_with_term_up_to(&self, index: Index, term: Term) -> Index {
        let mut candidate = index.min(self.last().index);
        while candidate > self.before.index && self.term_at(candidate).is_some_and(|own| own > term) {
            candidate = candidate.previous();
        }
        candidate
    }
}

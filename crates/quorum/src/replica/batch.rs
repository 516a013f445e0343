//! Batches of work for the program: the changes to write, messages to send, snapshot to load and commands to apply.

use super::Replica;
use crate::entry::{Entry, Payload, Snapshot, Write};
use crate::ids::Index;
use crate::ready::{Committed, Ready};

impl Replica {
    /// Whether there is anything to write, send, load or apply.
    pub fn has_ready(&self) -> bool {
        let output = &self.output;
        output.hard_state_changed
            || output.snapshot_changed
            || output.entries_from.is_some()
            || output.restore.is_some()
            || !output.messages.is_empty()
            || self.commit > self.applied
            || self.has_entries_to_send()
    }

    /// Takes the output since the last call; see [`Ready`] for the order in which it has to be processed.
    pub fn take_ready(&mut self) -> Ready {
        let immediate_messages = self.entries_to_send();
        let restore = self.output.restore.take();
        let committed = self.committed();
        let writes = self.writes();
        Ready {
            immediate_messages,
            must_sync: !writes.is_empty(),
            writes,
            messages: std::mem::take(&mut self.output.messages),
            restore,
            committed,
            applied: self.applied,
        }
    }

    /// Tells the replica that the writes of the last batch are synced.
    pub fn synced(&mut self) {
        self.output.synced = self.output.writing;
        self.advance_commit();
    }

    /// Returns the committed commands that the application has not been given yet, and records them as given.
    fn committed(&mut self) -> Vec<Committed> {
        let committed =
            self.log.range(self.applied.next(), self.commit).filter_map(|entry| match &entry.payload {
                Payload::Command(payload) => {
                    Some(Committed { index: entry.index, term: entry.term, payload: payload.clone() })
                }
                _ => None,
            });
        let committed = committed.collect();
        self.applied = self.applied.max(self.commit);
        committed
    }

    /// The changes to write to disk. The hard state comes first, and a loss of power may keep nothing else of the
    /// batch, so its commit index covers only entries that are synced already.
    fn writes(&mut self) -> Vec<Write> {
        let last = self.log.last().index;
        let output = &mut self.output;
        let entries_from = output.entries_from.take();
        let snapshot_changed = std::mem::take(&mut output.snapshot_changed);
        let hard_state_changed = std::mem::take(&mut output.hard_state_changed);
        output.writing = last;
        if entries_from.is_none() && !snapshot_changed && !hard_state_changed {
            return Vec::new();
        }
        self.hard_state.commit = self.commit.min(output.synced);
        match self.log.snapshot().filter(|_| snapshot_changed) {
            Some(snapshot) => vec![self.snapshot_write(snapshot)],
            None => self.incremental_writes(entries_from),
        }
    }

    /// Returns the write of the complete state, which a new snapshot requires.
    fn snapshot_write(&self, snapshot: &Snapshot) -> Write {
        let entries = self.entries_from(snapshot.last.index.next());
        Write::Snapshot { snapshot: snapshot.clone(), hard_state: self.hard_state, entries }
    }

    /// Returns the writes of the hard state and of the entries from an index on.
    fn incremental_writes(&self, entries_from: Option<Index>) -> Vec<Write> {
        let mut writes = vec![Write::HardState(self.hard_state)];
        writes.extend(entries_from.map(|from| Write::Entries(self.entries_from(from))));
        writes
    }

    fn entries_from(&self, from: Index) -> Vec<Entry> {
        self.log.range(from, self.log.last().index).cloned().collect()
    }
}

//! How registers of executors merge, and the only place where the set and its digest change together.

use super::Entry;
use crate::event::Event;
use crate::executor::Executor;
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::Instant;

/// The largest number of executors that are admitted: seven times the largest design.
const MAX_EXECUTORS: usize = 16_384;

impl Registry {
    /// Merges the register of an executor that another node published.
    pub(crate) fn merge_executor(&mut self, now: Instant, incoming: Executor) {
        let Some(mut published) = self.executors.published(&incoming.report.id) else {
            self.put_executor(now, incoming);
            return;
        };
        if !published.merge(incoming) {
            return;
        }
        let id = published.report.id.clone();
        let own = self.executors.entries.get(&id).filter(|entry| {
            entry.visible.reporter == self.own_name
                && entry.latest_call_seq > published.report.call_seq
                && published.exists()
        });
        let Some(entry) = own else {
            self.put_executor(now, published);
            return;
        };
        // This node has had a later call than the one in the merged register.
        let mut mine = Executor { unresponsive: false, ..entry.published() };
        mine.report.state = published.report.state;
        mine.report.call_seq = entry.latest_call_seq;
        self.put_executor(now, mine);
        self.announce(now, Key::Executor(id));
    }

    /// Puts a register in the place of the one before. Whether there was room.
    pub(super) fn put_executor(&mut self, now: Instant, executor: Executor) -> bool {
        let id = executor.report.id.clone();
        let has_tombstone = self.executors.tombstones.contains_key(&id);
        if has_tombstone && (executor.unresponsive || !executor.exists()) {
            self.update_executor_digest(&executor, false);
            self.executors.tombstones.insert(id, executor);
            return true;
        }
        let known = self.executors.entries.contains_key(&id);
        if !known && self.executors.entries.len() >= MAX_EXECUTORS {
            return false;
        }
        self.executors.tombstones.remove(&id);
        self.update_executor_digest(&executor, true);
        match self.executors.entries.get_mut(&id) {
            Some(entry) => entry.replace(executor, now),
            None => {
                self.executors.entries.insert(id.clone(), Entry::new(executor, now));
            }
        }
        self.record_executor_change(id);
        true
    }

    pub(super) fn record_executor_change(&mut self, id: String) {
        self.generation.executors += 1;
        self.output.events.push(Event::ExecutorChanged { id });
    }

    /// Executors that are gone or forgotten are not in the digest, as nodes forget them at different times.
    pub(super) fn update_executor_digest(&mut self, published: &Executor, visible: bool) {
        let live = published.exists() && visible;
        self.digest.set(
            Key::Executor(published.report.id.clone()),
            Register::Executor(published.clone()).hash(),
            live,
        );
    }

    /// Follows another node that no longer shows these: it knew earlier that they are unresponsive.
    pub(crate) fn evict_executors(&mut self, now: Instant, keys: &[Key]) {
        for key in keys {
            if let Key::Executor(id) = key
                && self.executors.entries.get(id).is_some_and(|entry| entry.published_unresponsive)
            {
                self.replace_with_tombstone(now, id);
            }
        }
    }
}

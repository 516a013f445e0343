//! Merging of the registers of executors. Entries are inserted and replaced only here, together with the digest.

use super::Entry;
use crate::event::Event;
use crate::executor::Executor;
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::Instant;

/// The largest number of executors that are admitted: seven times the number in the largest fleet that the tier is
/// designed for.
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
        let own_entry = self.executors.entries.get(&id).filter(|entry| {
            entry.visible.reporter == self.own_name
                && entry.latest_call_seq > published.report.call_seq
                && published.exists()
        });
        let Some(entry) = own_entry else {
            self.put_executor(now, published);
            return;
        };
        // This node has received a later call than the one in the merged register.
        let mut own_register = Executor { unresponsive: false, ..entry.published() };
        own_register.report.state = published.report.state;
        own_register.report.call_seq = entry.latest_call_seq;
        self.put_executor(now, own_register);
        self.announce(now, Key::Executor(id));
    }

    /// Stores the register of an executor and replaces the previous one. Returns false if there was no room for it.
    pub(super) fn put_executor(&mut self, now: Instant, executor: Executor) -> bool {
        let id = executor.report.id.clone();
        let has_tombstone = self.executors.tombstones.contains_key(&id);
        if has_tombstone && (executor.unresponsive || !executor.exists()) {
            self.update_executor_digest(&executor, false);
            self.executors.tombstones.insert(id, executor);
            return true;
        }
        let is_known = self.executors.entries.contains_key(&id);
        if !is_known && self.executors.entries.len() >= MAX_EXECUTORS {
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

    /// Updates the digest after a change of a register. Executors that are gone or have only a tombstone do not count
    /// as live, because nodes remove them at different times.
    pub(super) fn update_executor_digest(&mut self, published: &Executor, visible: bool) {
        let live = published.exists() && visible;
        self.digest.set(
            Key::Executor(published.report.id.clone()),
            Register::Executor(published.clone()).hash(),
            live,
        );
    }

    /// Replaces the unresponsive ones of these executors with tombstones because another node no longer lists them:
    /// that node found them unresponsive earlier.
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

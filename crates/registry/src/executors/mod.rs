//! The executors that this node knows, and the tombstones of those that ended.
//!
//! This module owns the set itself. [`calls`] takes the calls of executors, [`merge`] the registers that other nodes
//! publish, and [`expiry`] notices who has become unresponsive and who is to be forgotten. An entry is put in or
//! replaced by [`merge`] only, so that the digest always matches the set.

mod calls;
mod expiry;
mod merge;

use crate::executor::{Executor, ExecutorState};
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// Between two checks of all executors for missed heartbeats and expired entries.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// One executor with what this node has observed of it.
struct Entry {
    /// The register as callers see it: also unresponsive if only this node finds it so.
    visible: Executor,
    /// Whether the published register says that it is unresponsive.
    published_unresponsive: bool,
    /// The number of the latest call to this node. A plain heartbeat raises it without a published change.
    latest_call_seq: u64,
    /// When this node last had a call, or became the reporter of the executor.
    last_heartbeat: Instant,
    /// Since when its reporter is gone.
    orphaned_since: Option<Instant>,
    /// Since when it is unresponsive or gone.
    inactive_since: Option<Instant>,
    /// The latest state that all nodes have acknowledged to this one.
    confirmed_state: ExecutorState,
    /// Whether all that is known of it is what an earlier process of this node kept on its disk.
    restored: bool,
}

impl Entry {
    fn new(executor: Executor, now: Instant) -> Entry {
        Entry {
            published_unresponsive: executor.unresponsive,
            latest_call_seq: executor.report.call_seq,
            last_heartbeat: now,
            orphaned_since: None,
            inactive_since: None,
            confirmed_state: ExecutorState::Up,
            restored: false,
            visible: executor,
        }
    }

    fn published(&self) -> Executor {
        Executor { unresponsive: self.published_unresponsive, ..self.visible.clone() }
    }

    fn replace(&mut self, executor: Executor, now: Instant) {
        if executor.reporter != self.visible.reporter {
            self.last_heartbeat = now;
        }
        self.restored &= executor.report.call_seq <= self.latest_call_seq;
        self.latest_call_seq = self.latest_call_seq.max(executor.report.call_seq);
        self.published_unresponsive = executor.unresponsive;
        self.orphaned_since = None;
        self.visible = executor;
    }

    fn is_inactive(&self) -> bool {
        self.visible.unresponsive || !self.visible.exists()
    }
}

/// All executors by their ids.
pub(crate) struct Executors {
    entries: BTreeMap<String, Entry>,
    tombstones: BTreeMap<String, Executor>,
    /// When each tombstone was made, oldest first. An id may stand here more than once.
    tombstone_queue: VecDeque<(Instant, String)>,
    next_scan: Instant,
}

impl Executors {
    pub(crate) fn new(now: Instant) -> Executors {
        Executors {
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_queue: VecDeque::new(),
            next_scan: now + SCAN_INTERVAL,
        }
    }

    pub(crate) fn next_wake(&self) -> Instant {
        self.next_scan
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Executor> {
        self.entries.values().map(|entry| &entry.visible)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Executor> {
        Some(&self.entries.get(id)?.visible)
    }

    /// The register as it is published to other nodes, also of one that has only a tombstone.
    pub(crate) fn published(&self, id: &str) -> Option<Executor> {
        self.entries.get(id).map(Entry::published).or_else(|| self.tombstones.get(id).cloned())
    }

    /// Notes that everyone has acknowledged this state.
    pub(crate) fn set_confirmed_state(&mut self, id: &str, state: ExecutorState) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.confirmed_state = entry.confirmed_state.max(state);
        }
    }

    /// Notes that an executor is known from the disk only.
    pub(crate) fn set_restored(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.restored = true;
        }
    }

    pub(crate) fn is_only_restored(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.restored && entry.visible.unresponsive)
    }

    /// Leaves a duration out of all time-outs, as this process did not run in it.
    pub(crate) fn postpone(&mut self, by: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_heartbeat = entry.last_heartbeat + by;
            entry.orphaned_since = entry.orphaned_since.map(|since| since + by);
        }
    }
}

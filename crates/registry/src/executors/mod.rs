//! The executors that this node knows, and the tombstones of those that ended.
//!
//! This module owns the set itself. [`calls`] handles the calls of executors, [`merge`] merges the registers that other
//! nodes publish, and [`expiry`] detects unresponsive executors and removes expired ones. Only [`merge`] inserts or
//! replaces an entry, so that the digest always matches the set.

mod calls;
mod expiry;
mod merge;

use crate::executor::{Executor, ExecutorState};
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// The time between two scans of all executors for missed heartbeats and expired entries.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// The register of one executor and the local observations about it.
struct Entry {
    /// The register as callers see it: unresponsive also if only this node has found the executor unresponsive.
    visible: Executor,
    /// Whether the published register says that the executor is unresponsive.
    published_unresponsive: bool,
    /// The highest `call_seq` that this node knows. A heartbeat without other changes raises it, and is not published.
    latest_call_seq: u64,
    /// When this node last received a call of the executor, or when the reporter last changed.
    last_heartbeat: Instant,
    /// When this node found that the reporter is no longer a live member, if it is not.
    orphaned_since: Option<Instant>,
    /// When a scan first found the executor unresponsive or gone, if it is.
    inactive_since: Option<Instant>,
    /// The latest state that all live nodes have confirmed to this node.
    confirmed_state: ExecutorState,
    /// Whether the executor is known only from what an earlier process of this node stored on its disk.
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

/// All executors and tombstones, indexed by id.
pub(crate) struct Executors {
    entries: BTreeMap<String, Entry>,
    tombstones: BTreeMap<String, Executor>,
    /// When each tombstone was created, oldest first. An id may occur more than once.
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

    /// Returns the register of the executor or its tombstone, as it is published to other nodes.
    pub(crate) fn published(&self, id: &str) -> Option<Executor> {
        self.entries.get(id).map(Entry::published).or_else(|| self.tombstones.get(id).cloned())
    }

    /// Records that all live nodes have confirmed this state.
    pub(crate) fn set_confirmed_state(&mut self, id: &str, state: ExecutorState) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.confirmed_state = entry.confirmed_state.max(state);
        }
    }

    /// Records that an executor is known only from the disk.
    pub(crate) fn set_restored(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.restored = true;
        }
    }

    /// Returns whether the executor is known only from the disk and has not sent a heartbeat in time.
    pub(crate) fn is_only_restored(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.restored && entry.visible.unresponsive)
    }

    /// Extends all timeouts by a duration in which this process was frozen.
    pub(crate) fn postpone(&mut self, by: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_heartbeat = entry.last_heartbeat + by;
            entry.orphaned_since = entry.orphaned_since.map(|since| since + by);
        }
    }
}

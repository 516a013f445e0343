//! Timeouts of executors: missed heartbeats, lost reporters, and the expiry of entries and tombstones.
//!
//! Only the reporter publishes that an executor is unresponsive. Other nodes decide this by themselves only after the
//! reporter is gone, and do not publish it.

use super::{Entry, SCAN_INTERVAL};
use crate::executor::Executor;
use crate::register::Key;
use crate::registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::collections::HashSet;

/// The largest number of tombstones that are kept.
const MAX_TOMBSTONES: usize = 4_096;

/// The ids of the executors that a scan has to process.
#[derive(Default)]
struct Findings {
    /// Executors that this node reports and has to publish as unresponsive.
    missed_heartbeats: Vec<String>,
    /// Executors of which only the local view changed.
    changed: Vec<String>,
    /// Executors that were unresponsive or gone for the whole retention.
    expired: Vec<String>,
}

/// The timeouts that a scan applies.
struct ScanTimeouts {
    timeout: Duration,
    restored_timeout: Duration,
    retention: Duration,
}

impl ScanTimeouts {
    fn timeout_of(&self, entry: &Entry) -> Duration {
        if entry.restored { self.restored_timeout } else { self.timeout }
    }
}

/// Whether the node that an executor called last is a live member.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reporter {
    Live,
    Gone,
}

impl Entry {
    fn has_missed_heartbeats(&self, now: Instant, timeout: Duration) -> bool {
        !self.visible.unresponsive && self.visible.exists() && now.since(self.last_heartbeat) > timeout
    }

    /// Shows the published responsiveness while the reporter is live, and the executor as unresponsive once the
    /// reporter has been gone for the timeout. Returns whether the local view changed.
    fn follow_reporter(&mut self, now: Instant, reporter: Reporter, timeout: Duration) -> bool {
        let was_unresponsive = self.visible.unresponsive;
        if reporter == Reporter::Live {
            self.orphaned_since = None;
            self.visible.unresponsive = self.published_unresponsive;
        } else if now.since(*self.orphaned_since.get_or_insert(now)) > timeout {
            self.visible.unresponsive = true;
        }
        self.visible.unresponsive != was_unresponsive
    }

    fn is_expired(&mut self, now: Instant, retention: Duration) -> bool {
        if !self.is_inactive() {
            self.inactive_since = None;
            return false;
        }
        now.since(*self.inactive_since.get_or_insert(now)) > retention
    }
}

impl Registry {
    pub(super) fn announce_unresponsive(&mut self, now: Instant, id: &str) {
        if let Some(published) = self.executors.published(id) {
            self.put_executor(now, Executor { unresponsive: true, ..published });
            self.announce(now, Key::Executor(id.to_owned()));
        }
    }

    pub(crate) fn tick_executors(&mut self, now: Instant) {
        if self.executors.next_scan > now {
            return;
        }
        self.executors.next_scan = now + SCAN_INTERVAL;
        let findings = self.scan_executors(now);
        findings.missed_heartbeats.iter().for_each(|id| self.announce_unresponsive(now, id));
        findings.changed.into_iter().for_each(|id| self.record_executor_change(id));
        findings.expired.iter().for_each(|id| self.replace_with_tombstone(now, id));
        self.expire_tombstones(now);
    }

    fn scan_executors(&mut self, now: Instant) -> Findings {
        let timeouts = ScanTimeouts {
            timeout: self.timings.executor_timeout(),
            restored_timeout: self.timings.restored_executor_timeout(),
            retention: self.timings.executor_retention,
        };
        // Few nodes report many executors, so looking up the reporter of each executor in the members would cost more
        // than building this set.
        let members = self.members.values().map(|entry| &entry.member);
        let live_nodes: HashSet<&str> =
            members.filter(|member| member.serves()).map(|member| member.name.as_str()).collect();
        let mut findings = Findings::default();
        for (id, entry) in &mut self.executors.entries {
            let timeout = timeouts.timeout_of(entry);
            if entry.visible.reporter == self.own_name && entry.has_missed_heartbeats(now, timeout) {
                findings.missed_heartbeats.push(id.clone());
            }
            let reporter = match live_nodes.contains(entry.visible.reporter.as_str()) {
                true => Reporter::Live,
                false => Reporter::Gone,
            };
            if entry.follow_reporter(now, reporter, timeout) {
                findings.changed.push(id.clone());
            }
            if entry.is_expired(now, timeouts.retention) {
                findings.expired.push(id.clone());
            }
        }
        findings
    }

    /// Removes an executor from the set. Its tombstone prevents late updates from bringing it back.
    pub(super) fn replace_with_tombstone(&mut self, now: Instant, id: &str) {
        let Some(entry) = self.executors.entries.remove(id) else {
            return;
        };
        let mut published = entry.published();
        published.unresponsive = true;
        self.update_executor_digest(&published, false);
        self.executors.tombstones.insert(id.to_owned(), published);
        self.executors.tombstone_queue.push_back((now, id.to_owned()));
        self.record_executor_change(id.to_owned());
    }

    fn expire_tombstones(&mut self, now: Instant) {
        while let Some((since, id)) = self.executors.tombstone_queue.front().cloned() {
            let over_limit = self.executors.tombstone_queue.len() > MAX_TOMBSTONES;
            if !over_limit && now.since(since) <= self.timings.tombstone_retention {
                return;
            }
            self.executors.tombstone_queue.pop_front();
            // An executor that came back and expired again has a second, later entry in the queue.
            let has_later_entry = self.executors.tombstone_queue.iter().any(|(_, other)| *other == id);
            if !has_later_entry && self.executors.tombstones.remove(&id).is_some() {
                self.digest.remove(&Key::Executor(id));
            }
        }
    }
}

//! What time does to executors: missed heartbeats, lost reporters, and tombstones that expire.
//!
//! The reporter alone publishes that an executor is unresponsive. Other nodes find it so by themselves only after its
//! reporter is gone, and publish nothing.

use super::{Entry, SCAN_INTERVAL};
use crate::executor::Executor;
use crate::register::Key;
use crate::registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::collections::HashSet;

/// The largest number of tombstones that are kept.
const MAX_TOMBSTONES: usize = 4_096;

/// The ids that a scan has something to do for.
#[derive(Default)]
struct Findings {
    /// This node is the reporter, and has to publish that they are unresponsive.
    missed_heartbeats: Vec<String>,
    /// Only this node's view of them changed.
    changed: Vec<String>,
    /// They were unresponsive or gone for the whole retention.
    expired: Vec<String>,
}

/// The time-outs of one scan.
struct Bounds {
    timeout: Duration,
    restored_timeout: Duration,
    retention: Duration,
}

impl Bounds {
    fn timeout_of(&self, entry: &Entry) -> Duration {
        if entry.restored { self.restored_timeout } else { self.timeout }
    }
}

/// Whether the node that an executor calls is a live member.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reporter {
    Live,
    Gone,
}

impl Entry {
    fn has_missed_heartbeats(&self, now: Instant, timeout: Duration) -> bool {
        !self.visible.unresponsive && self.visible.exists() && now.since(self.last_heartbeat) > timeout
    }

    /// Follows the published register while the reporter lives, and finds the executor unresponsive once it has been
    /// gone for the time-out. Whether the view changed.
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
        let bounds = Bounds {
            timeout: self.timings.executor_timeout(),
            restored_timeout: self.timings.restored_executor_timeout(),
            retention: self.timings.executor_retention,
        };
        // Few nodes report many executors, so a look-up per executor in the members costs more than this set.
        let members = self.members.values().map(|entry| &entry.member);
        let live_nodes: HashSet<&str> =
            members.filter(|member| member.serves()).map(|member| member.name.as_str()).collect();
        let mut findings = Findings::default();
        for (id, entry) in &mut self.executors.entries {
            let timeout = bounds.timeout_of(entry);
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
            if entry.is_expired(now, bounds.retention) {
                findings.expired.push(id.clone());
            }
        }
        findings
    }

    /// Removes an executor from view. The tombstone keeps late updates from bringing it back.
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
            let many = self.executors.tombstone_queue.len() > MAX_TOMBSTONES;
            if !many && now.since(since) <= self.timings.tombstone_retention {
                return;
            }
            self.executors.tombstone_queue.pop_front();
            // An executor that came back and ended again has a second, later entry in the queue.
            let again = self.executors.tombstone_queue.iter().any(|(_, other)| *other == id);
            if !again && self.executors.tombstones.remove(&id).is_some() {
                self.digest.remove(&Key::Executor(id));
            }
        }
    }
}

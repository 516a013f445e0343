//! The set of executors: their calls, and how registers of executors merge.

use crate::executor::{Executor, ExecutorState};
use crate::placement;
use crate::register::{Key, Register};
use crate::registry::{Answer, Event, HeartbeatEffect, Registry};
use crate::report::HeartbeatReport;
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Between two looks at all executors.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// How many executors are taken in at most: seven times the largest design.
const MAX_EXECUTORS: usize = 16_384;

/// How many executors that ended are remembered at most.
const MAX_TOMBSTONES: usize = 4_096;

/// The longest id that a register holds, in bytes.
const MAX_ID: usize = crate::codec::MAX_TEXT;

/// One executor with what this node has noticed of it.
struct Entry {
    /// The register, but also unresponsive if only this node finds it so.
    visible: Executor,
    /// Whether the register says so.
    published_unresponsive: bool,
    /// The latest call to this node, whose updates may not have been worth telling.
    latest_call_seq: u64,
    /// When this node last had a call, or came to see to the executor.
    last_heartbeat: Instant,
    /// Since when the node that saw to it is gone.
    orphaned_since: Option<Instant>,
    /// Since when it is unresponsive or gone.
    inactive_since: Option<Instant>,
    /// The state that this node has told everyone, with confirmation.
    confirmed_state: ExecutorState,
    /// Whether all that is known of it is what an earlier process of this node kept on its disk.
    restored: bool,
}

impl Entry {
    fn new(executor: Executor, now: Instant) -> Entry {
        Entry {
            published_unresponsive: executor.unresponsive,
            latest_call_seq: executor.call_seq,
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
        self.restored &= executor.call_seq <= self.latest_call_seq;
        self.latest_call_seq = self.latest_call_seq.max(executor.call_seq);
        self.published_unresponsive = executor.unresponsive;
        self.orphaned_since = None;
        self.visible = executor;
    }

    fn is_inactive(&self) -> bool {
        self.visible.unresponsive || !self.visible.exists()
    }
}

/// The state of the set.
pub(crate) struct Executors {
    entries: BTreeMap<String, Entry>,
    tombstones: BTreeMap<String, Executor>,
    /// The tombstones from the oldest on.
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

    /// The register as it is told to others, also of one that is only remembered.
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

    /// Leaves a span out of all waits.
    pub(crate) fn postpone(&mut self, by: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_heartbeat = entry.last_heartbeat + by;
            entry.orphaned_since = entry.orphaned_since.map(|since| since + by);
        }
    }
}

impl Registry {
    /// Takes a heartbeat of an executor.
    pub fn heartbeat(&mut self, now: Instant, report: HeartbeatReport) -> HeartbeatEffect {
        self.begin_step(now);
        let members = self.members.values().map(|entry| &entry.member);
        let isolated = self.is_isolated(now);
        let target = placement::heartbeat_target(&report.id, &report.zone, members).filter(|_| !isolated);
        let (id, drains) = (report.id.clone(), report.state == ExecutorState::Draining);
        self.apply_heartbeat(now, report);
        let rejected = self.executors.entries.get(&id).is_some_and(|entry| {
            entry.visible.state == ExecutorState::Draining && entry.confirmed_state < ExecutorState::Draining
        });
        let answer = if drains && rejected {
            self.broadcast_state(now, &id, ExecutorState::Draining)
        } else {
            Answer::Now
        };
        HeartbeatEffect { answer, heartbeat_target: target }
    }

    /// Takes the last call of an executor.
    pub fn deregister(&mut self, now: Instant, id: &str) -> Answer {
        self.begin_step(now);
        if id.is_empty() || id.len() > MAX_ID {
            return Answer::Never;
        }
        if self.executors.tombstones.get(id).is_some_and(|executor| !executor.exists()) {
            return Answer::Now;
        }
        let known = self.executors.published(id).unwrap_or_else(|| unknown_executor(id, &self.own_name));
        let gone = Executor { state: ExecutorState::Gone, ..known };
        if !self.put_executor(now, gone) {
            return Answer::Never;
        }
        let published =
            self.executors.entries.get(id).is_some_and(|entry| entry.confirmed_state == ExecutorState::Gone);
        if published { Answer::Now } else { self.broadcast_state(now, id, ExecutorState::Gone) }
    }

    fn apply_heartbeat(&mut self, now: Instant, report: HeartbeatReport) {
        let drains = report.state == ExecutorState::Draining;
        let Some(published) = self.executors.published(&report.id) else {
            let incoming = executor_of_report(report, &self.own_name);
            return self.admit_executor(now, incoming);
        };
        if !published.exists() {
            return;
        }
        let latest =
            self.executors.entries.get(&report.id).map_or(published.call_seq, |entry| entry.latest_call_seq);
        if report.call_seq <= latest {
            // Late. Only that it drains still counts, as it never goes back.
            if drains && published.state == ExecutorState::Up {
                self.put_executor(now, Executor { state: ExecutorState::Draining, ..published });
            }
            return;
        }
        let mut incoming = executor_of_report(report, &self.own_name);
        incoming.state = incoming.state.max(published.state);
        let id = incoming.id.clone();
        if incoming.differs_from(&published) {
            let news_by_telling = drains && published.state == ExecutorState::Up;
            if self.put_executor(now, incoming.clone()) && !news_by_telling {
                self.announce(now, Key::Executor(id.clone()));
            }
        }
        if let Some(entry) = self.executors.entries.get_mut(&id) {
            entry.latest_call_seq = entry.latest_call_seq.max(incoming.call_seq);
            entry.last_heartbeat = now;
            entry.restored = false;
        }
    }

    fn admit_executor(&mut self, now: Instant, incoming: Executor) {
        let (id, address, drains) =
            (incoming.id.clone(), incoming.address, incoming.state != ExecutorState::Up);
        if !self.put_executor(now, incoming) {
            return;
        }
        if !drains {
            self.announce(now, Key::Executor(id.clone()));
        }
        // Whoever had the address before has ended, even if it did not say so.
        let former = self.executors.iter().filter(|other| other.address == address && other.id != id);
        let former: Vec<String> = former
            .filter(|other| other.exists() && !other.unresponsive)
            .map(|other| other.id.clone())
            .collect();
        former.iter().for_each(|former| self.announce_unresponsive(now, former));
    }

    /// Merges the register of an executor that another node told.
    pub(crate) fn merge_executor(&mut self, now: Instant, incoming: Executor) {
        let Some(mut published) = self.executors.published(&incoming.id) else {
            self.put_executor(now, incoming);
            return;
        };
        if !published.merge(incoming) {
            return;
        }
        let id = published.id.clone();
        let own = self.executors.entries.get(&id).filter(|entry| {
            entry.visible.reporter == self.own_name
                && entry.latest_call_seq > published.call_seq
                && published.exists()
        });
        let Some(entry) = own else {
            self.put_executor(now, published);
            return;
        };
        // This node has heard from it later than what it is told now.
        let mine = Executor {
            state: published.state,
            call_seq: entry.latest_call_seq,
            unresponsive: false,
            ..entry.published()
        };
        self.put_executor(now, mine);
        self.announce(now, Key::Executor(id));
    }

    /// Puts a register in the place of the one before. Whether there was room.
    fn put_executor(&mut self, now: Instant, executor: Executor) -> bool {
        let id = executor.id.clone();
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

    fn record_executor_change(&mut self, id: String) {
        self.generation.executors += 1;
        self.output.events.push(Event::ExecutorChanged { id });
    }

    /// Executors that are gone or forgotten are not in the digest, as nodes forget them at different times.
    fn update_executor_digest(&mut self, published: &Executor, visible: bool) {
        let live = published.exists() && visible;
        self.digest.set(
            Key::Executor(published.id.clone()),
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

    fn announce_unresponsive(&mut self, now: Instant, id: &str) {
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
        let (heard_bound, recalled_bound) =
            (self.timings.executor_timeout(), self.timings.restored_executor_timeout());
        let retention = self.timings.executor_retention;
        // Few nodes see to many executors, so that a look at each of them costs more than one at each node.
        let members = self.members.values().map(|entry| &entry.member);
        let live_nodes: HashSet<&str> =
            members.filter(|member| member.serves()).map(|member| member.name.as_str()).collect();
        let (mut unresponsive, mut changed, mut expired) = (Vec::new(), Vec::new(), Vec::new());
        for (id, entry) in &mut self.executors.entries {
            let reporter_is_live = live_nodes.contains(entry.visible.reporter.as_str());
            let own = entry.visible.reporter == self.own_name;
            let was_silent = entry.visible.unresponsive;
            let bound = if entry.restored { recalled_bound } else { heard_bound };
            if own && !was_silent && entry.visible.exists() && now.since(entry.last_heartbeat) > bound {
                unresponsive.push(id.clone());
            }
            if reporter_is_live {
                entry.orphaned_since = None;
                entry.visible.unresponsive = entry.published_unresponsive;
            } else if now.since(*entry.orphaned_since.get_or_insert(now)) > bound {
                entry.visible.unresponsive = true;
            }
            if entry.visible.unresponsive != was_silent {
                changed.push(id.clone());
            }
            if !entry.is_inactive() {
                entry.inactive_since = None;
            } else if now.since(*entry.inactive_since.get_or_insert(now)) > retention {
                expired.push(id.clone());
            }
        }
        unresponsive.iter().for_each(|id| self.announce_unresponsive(now, id));
        changed.into_iter().for_each(|id| self.record_executor_change(id));
        expired.iter().for_each(|id| self.replace_with_tombstone(now, id));
        self.expire_tombstones(now);
    }

    /// No longer shows an executor, but remembers it so that late updates of it are known for what they are.
    fn replace_with_tombstone(&mut self, now: Instant, id: &str) {
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
            // One that came back and was buried again stands here a second time, later.
            let again = self.executors.tombstone_queue.iter().any(|(_, other)| *other == id);
            if !again && self.executors.tombstones.remove(&id).is_some() {
                self.digest.remove(&Key::Executor(id));
            }
        }
    }
}

fn executor_of_report(report: HeartbeatReport, reporter: &str) -> Executor {
    Executor {
        id: report.id,
        service: report.service,
        address: report.address,
        zone: report.zone,
        slot_count: report.slot_count,
        config_version: report.config_version,
        pipeline_stage: report.pipeline_stage,
        state: report.state,
        cold_left_ms: report.cold_left_ms,
        call_seq: report.call_seq,
        models: report.models,
        reporter: reporter.to_owned(),
        unresponsive: false,
    }
}

/// An executor that says that it ends and that this node has never heard of; others may have.
fn unknown_executor(id: &str, reporter: &str) -> Executor {
    Executor {
        id: id.to_owned(),
        service: String::new(),
        address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
        zone: String::new(),
        slot_count: 0,
        config_version: String::new(),
        pipeline_stage: String::new(),
        state: ExecutorState::Gone,
        cold_left_ms: 0,
        call_seq: 0,
        models: Vec::new(),
        reporter: reporter.to_owned(),
        unresponsive: false,
    }
}

//! The set of executors: their calls, and how registers of executors merge.

use crate::executor::{Executor, ExecutorState};
use crate::placement;
use crate::register::{Key, Register};
use crate::registry::{Answer, Event, HeartbeatEffect, Registry};
use crate::report::HeartbeatReport;
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Between two looks at all executors.
const SCAN: Duration = Duration::from_millis(500);

/// How many executors are taken in at most: seven times the largest design.
const MAX_EXECUTORS: usize = 16_384;

/// How many executors that ended are remembered at most.
const MAX_TOMBSTONES: usize = 4_096;

/// The longest id that a register holds, in bytes.
const MAX_ID: usize = crate::codec::MAX_TEXT;

/// One executor with what this node has noticed of it.
struct Entry {
    /// The register, but also silent if only this node finds it so.
    shown: Executor,
    /// Whether the register says so.
    told_silent: bool,
    /// The latest call to this node, whose news may not have been worth telling.
    latest_call: u64,
    /// When this node last had a call, or came to see to the executor.
    last_beat: Instant,
    /// Since when the node that saw to it is gone.
    orphan_since: Option<Instant>,
    /// Since when it is silent or gone.
    quiet_since: Option<Instant>,
    /// The state that this node has told everyone, with confirmation.
    told_state: ExecutorState,
    /// Whether all that is known of it is what an earlier process of this node kept on its disk.
    recalled: bool,
}

impl Entry {
    fn new(executor: Executor, now: Instant) -> Entry {
        Entry {
            told_silent: executor.silent,
            latest_call: executor.call_seq,
            last_beat: now,
            orphan_since: None,
            quiet_since: None,
            told_state: ExecutorState::Up,
            recalled: false,
            shown: executor,
        }
    }

    fn told(&self) -> Executor {
        Executor { silent: self.told_silent, ..self.shown.clone() }
    }

    fn show(&mut self, executor: Executor, now: Instant) {
        if executor.heard_by != self.shown.heard_by {
            self.last_beat = now;
        }
        self.recalled &= executor.call_seq <= self.latest_call;
        self.latest_call = self.latest_call.max(executor.call_seq);
        self.told_silent = executor.silent;
        self.orphan_since = None;
        self.shown = executor;
    }

    fn is_quiet(&self) -> bool {
        self.shown.silent || !self.shown.exists()
    }
}

/// The state of the set.
pub(crate) struct Executors {
    entries: BTreeMap<String, Entry>,
    tombstones: BTreeMap<String, Executor>,
    /// The tombstones from the oldest on.
    buried: VecDeque<(Instant, String)>,
    next_scan: Instant,
}

impl Executors {
    pub(crate) fn new(now: Instant) -> Executors {
        Executors {
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            buried: VecDeque::new(),
            next_scan: now + SCAN,
        }
    }

    pub(crate) fn next_wake(&self) -> Instant {
        self.next_scan
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Executor> {
        self.entries.values().map(|entry| &entry.shown)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Executor> {
        Some(&self.entries.get(id)?.shown)
    }

    /// The register as it is told to others, also of one that is only remembered.
    pub(crate) fn told(&self, id: &str) -> Option<Executor> {
        self.entries.get(id).map(Entry::told).or_else(|| self.tombstones.get(id).cloned())
    }

    /// Notes that everyone has confirmed this state.
    pub(crate) fn set_told(&mut self, id: &str, state: ExecutorState) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.told_state = entry.told_state.max(state);
        }
    }

    /// Notes that an executor is known from the disk only.
    pub(crate) fn set_recalled(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.recalled = true;
        }
    }

    pub(crate) fn is_only_recalled(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.recalled && entry.shown.silent)
    }

    /// Leaves a span out of all waits.
    pub(crate) fn shift(&mut self, by: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_beat = entry.last_beat + by;
            entry.orphan_since = entry.orphan_since.map(|since| since + by);
        }
    }
}

impl Registry {
    /// Takes a heartbeat of an executor.
    pub fn heartbeat(&mut self, now: Instant, report: HeartbeatReport) -> HeartbeatEffect {
        self.enter(now);
        let members = self.members.values().map(|entry| &entry.member);
        let isolated = self.is_isolated(now);
        let target = placement::heartbeat_target(&report.id, &report.zone, members).filter(|_| !isolated);
        let (id, drains) = (report.id.clone(), report.state == ExecutorState::Draining);
        self.take_report(now, report);
        let untold = self.executors.entries.get(&id).is_some_and(|entry| {
            entry.shown.state == ExecutorState::Draining && entry.told_state < ExecutorState::Draining
        });
        let answer =
            if drains && untold { self.tell_all(now, &id, ExecutorState::Draining) } else { Answer::Now };
        HeartbeatEffect { answer, heartbeat_target: target }
    }

    /// Takes the last call of an executor.
    pub fn deregister(&mut self, now: Instant, id: &str) -> Answer {
        self.enter(now);
        if id.is_empty() || id.len() > MAX_ID {
            return Answer::Never;
        }
        if self.executors.tombstones.get(id).is_some_and(|executor| !executor.exists()) {
            return Answer::Now;
        }
        let known = self.executors.told(id).unwrap_or_else(|| unknown_executor(id, &self.own_name));
        let gone = Executor { state: ExecutorState::Gone, ..known };
        if !self.put_executor(now, gone) {
            return Answer::Never;
        }
        let told =
            self.executors.entries.get(id).is_some_and(|entry| entry.told_state == ExecutorState::Gone);
        if told { Answer::Now } else { self.tell_all(now, id, ExecutorState::Gone) }
    }

    fn take_report(&mut self, now: Instant, report: HeartbeatReport) {
        let drains = report.state == ExecutorState::Draining;
        let Some(told) = self.executors.told(&report.id) else {
            let fresh = register_of(report, &self.own_name);
            return self.take_new(now, fresh);
        };
        if !told.exists() {
            return;
        }
        let latest = self.executors.entries.get(&report.id).map_or(told.call_seq, |entry| entry.latest_call);
        if report.call_seq <= latest {
            // Late. Only that it drains still counts, as it never goes back.
            if drains && told.state == ExecutorState::Up {
                self.put_executor(now, Executor { state: ExecutorState::Draining, ..told });
            }
            return;
        }
        let mut fresh = register_of(report, &self.own_name);
        fresh.state = fresh.state.max(told.state);
        let id = fresh.id.clone();
        if fresh.differs_from(&told) {
            let news_by_telling = drains && told.state == ExecutorState::Up;
            if self.put_executor(now, fresh.clone()) && !news_by_telling {
                self.announce(now, Key::Executor(id.clone()));
            }
        }
        if let Some(entry) = self.executors.entries.get_mut(&id) {
            entry.latest_call = entry.latest_call.max(fresh.call_seq);
            entry.last_beat = now;
            entry.recalled = false;
        }
    }

    fn take_new(&mut self, now: Instant, fresh: Executor) {
        let (id, address, drains) = (fresh.id.clone(), fresh.address, fresh.state != ExecutorState::Up);
        if !self.put_executor(now, fresh) {
            return;
        }
        if !drains {
            self.announce(now, Key::Executor(id.clone()));
        }
        // Whoever had the address before has ended, even if it did not say so.
        let former = self.executors.iter().filter(|other| other.address == address && other.id != id);
        let former: Vec<String> =
            former.filter(|other| other.exists() && !other.silent).map(|other| other.id.clone()).collect();
        former.iter().for_each(|former| self.tell_silent(now, former));
    }

    /// Merges the register of an executor that another node told.
    pub(crate) fn merge_executor(&mut self, now: Instant, incoming: Executor) {
        let Some(mut told) = self.executors.told(&incoming.id) else {
            self.put_executor(now, incoming);
            return;
        };
        if !told.merge(incoming) {
            return;
        }
        let id = told.id.clone();
        let own = self.executors.entries.get(&id).filter(|entry| {
            entry.shown.heard_by == self.own_name && entry.latest_call > told.call_seq && told.exists()
        });
        let Some(entry) = own else {
            self.put_executor(now, told);
            return;
        };
        // This node has heard from it later than what it is told now.
        let mine = Executor { state: told.state, call_seq: entry.latest_call, silent: false, ..entry.told() };
        self.put_executor(now, mine);
        self.announce(now, Key::Executor(id));
    }

    /// Puts a register in the place of the one before. Whether there was room.
    fn put_executor(&mut self, now: Instant, executor: Executor) -> bool {
        let id = executor.id.clone();
        let remembered = self.executors.tombstones.contains_key(&id);
        if remembered && (executor.silent || !executor.exists()) {
            self.count_executor(&executor, false);
            self.executors.tombstones.insert(id, executor);
            return true;
        }
        let known = self.executors.entries.contains_key(&id);
        if !known && self.executors.entries.len() >= MAX_EXECUTORS {
            return false;
        }
        self.executors.tombstones.remove(&id);
        self.count_executor(&executor, true);
        match self.executors.entries.get_mut(&id) {
            Some(entry) => entry.show(executor, now),
            None => {
                self.executors.entries.insert(id.clone(), Entry::new(executor, now));
            }
        }
        self.note_executor_change(id);
        true
    }

    fn note_executor_change(&mut self, id: String) {
        self.generation.executors += 1;
        self.output.events.push(Event::ExecutorChanged { id });
    }

    /// Executors that are gone or forgotten are not in the digest, as nodes forget them at different times.
    fn count_executor(&mut self, told: &Executor, shown: bool) {
        let live = told.exists() && shown;
        self.digest.set(Key::Executor(told.id.clone()), Register::Executor(told.clone()).hash(), live);
    }

    /// Follows another node that no longer shows these: it knew earlier that they are silent.
    pub(crate) fn forget_executors(&mut self, now: Instant, keys: &[Key]) {
        for key in keys {
            if let Key::Executor(id) = key
                && self.executors.entries.get(id).is_some_and(|entry| entry.told_silent)
            {
                self.bury(now, id);
            }
        }
    }

    fn tell_silent(&mut self, now: Instant, id: &str) {
        if let Some(told) = self.executors.told(id) {
            self.put_executor(now, Executor { silent: true, ..told });
            self.announce(now, Key::Executor(id.to_owned()));
        }
    }

    pub(crate) fn tick_executors(&mut self, now: Instant) {
        if self.executors.next_scan > now {
            return;
        }
        self.executors.next_scan = now + SCAN;
        let (heard_bound, recalled_bound) =
            (self.timings.executor_silence(), self.timings.recalled_executor_silence());
        let retention = self.timings.executor_retention;
        // Few nodes see to many executors, so that a look at each of them costs more than one at each node.
        let members = self.members.values().map(|entry| &entry.member);
        let serving: HashSet<&str> =
            members.filter(|member| member.serves()).map(|member| member.name.as_str()).collect();
        let (mut silent, mut shown_anew, mut over) = (Vec::new(), Vec::new(), Vec::new());
        for (id, entry) in &mut self.executors.entries {
            let owner_lives = serving.contains(entry.shown.heard_by.as_str());
            let own = entry.shown.heard_by == self.own_name;
            let was_silent = entry.shown.silent;
            let bound = if entry.recalled { recalled_bound } else { heard_bound };
            if own && !was_silent && entry.shown.exists() && now.since(entry.last_beat) > bound {
                silent.push(id.clone());
            }
            if owner_lives {
                entry.orphan_since = None;
                entry.shown.silent = entry.told_silent;
            } else if now.since(*entry.orphan_since.get_or_insert(now)) > bound {
                entry.shown.silent = true;
            }
            if entry.shown.silent != was_silent {
                shown_anew.push(id.clone());
            }
            if !entry.is_quiet() {
                entry.quiet_since = None;
            } else if now.since(*entry.quiet_since.get_or_insert(now)) > retention {
                over.push(id.clone());
            }
        }
        silent.iter().for_each(|id| self.tell_silent(now, id));
        shown_anew.into_iter().for_each(|id| self.note_executor_change(id));
        over.iter().for_each(|id| self.bury(now, id));
        self.forget_buried(now);
    }

    /// No longer shows an executor, but remembers it so that late news of it are known for what they are.
    fn bury(&mut self, now: Instant, id: &str) {
        let Some(entry) = self.executors.entries.remove(id) else {
            return;
        };
        let mut told = entry.told();
        told.silent = true;
        self.count_executor(&told, false);
        self.executors.tombstones.insert(id.to_owned(), told);
        self.executors.buried.push_back((now, id.to_owned()));
        self.note_executor_change(id.to_owned());
    }

    fn forget_buried(&mut self, now: Instant) {
        while let Some((since, id)) = self.executors.buried.front().cloned() {
            let many = self.executors.buried.len() > MAX_TOMBSTONES;
            if !many && now.since(since) <= self.timings.tombstone_retention {
                return;
            }
            self.executors.buried.pop_front();
            // One that came back and was buried again stands here a second time, later.
            let again = self.executors.buried.iter().any(|(_, other)| *other == id);
            if !again && self.executors.tombstones.remove(&id).is_some() {
                self.digest.remove(&Key::Executor(id));
            }
        }
    }
}

fn register_of(report: HeartbeatReport, heard_by: &str) -> Executor {
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
        heard_by: heard_by.to_owned(),
        silent: false,
    }
}

/// An executor that says that it ends and that this node has never heard of; others may have.
fn unknown_executor(id: &str, heard_by: &str) -> Executor {
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
        heard_by: heard_by.to_owned(),
        silent: false,
    }
}

//! A fleet of registries in virtual time, with links that lose, duplicate, reorder and cut off messages, and nodes that
//! freeze, die, restart and are replaced.
#![allow(dead_code)]

use grebeusher_registry::{
    Answer, CallToken, Class, Event, Executor, ExecutorState, HeartbeatEffect, HeartbeatReport, Losses,
    Member, MemberState, Message, Registry, Settings, Timings,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const PORT: u16 = 7_660;

/// The delays and faults of all links.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// The shortest delay of a message.
    pub shortest: Duration,
    /// The longest delay of a message.
    pub longest: Duration,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
    pub duplicated: f64,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            shortest: Duration::from_millis(1),
            longest: Duration::from_millis(6),
            loss: 0.0,
            duplicated: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Node {
    pub name: String,
    pub address: SocketAddrV4,
    pub registry: Option<Registry>,
    pub frozen: bool,
    pub sent: Traffic,
    pub received: Traffic,
    pub sent_to_dead: u64,
    pub acknowledged: BTreeMap<CallToken, Instant>,
    pub rejected: BTreeMap<CallToken, Instant>,
    pub events: Vec<(Instant, Event)>,
    waiting: Vec<(SocketAddrV4, Message)>,
    wake: Option<Instant>,
    settings: Settings,
    starts: u64,
}

enum Scheduled {
    Arrive { from: SocketAddrV4, to: SocketAddrV4, message: Message },
    Wake(usize),
    Start(usize),
}

pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub random: Pcg64Mcg,
    cut: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled_events: BTreeMap<u64, Scheduled>,
    next_event_id: u64,
    seed: u64,
}

pub fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, (index / 250) as u8, (index % 250 + 1) as u8), PORT)
}

pub fn control(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(*address(index).ip(), 8_146)
}

pub fn zone(index: usize) -> String {
    format!("zone-{}", index % 4)
}

pub fn settings(index: usize, seeds: &[usize], storage_from: usize) -> Settings {
    let edge = index < storage_from;
    let member = Member {
        name: format!("{}-{}-{index}", if edge { "edge" } else { "storage" }, zone(index)),
        address: address(index),
        incarnation: 1_700_000_000_000 + index as u64,
        status_version: 0,
        class: if edge { Class::Edge } else { Class::Storage },
        zone: zone(index),
        control: edge.then(|| control(index)),
        replica: (index < 12 || !edge).then_some(index as u64 + 1),
        bootstrap: true,
        state: MemberState::Alive,
    };
    Settings {
        member,
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        timings: Timings::default(),
        losses: Losses { machines: 1, zones: 0 },
    }
}

impl Fleet {
    /// Creates `count` nodes, the last eighth of them of class storage. None of them is started.
    pub fn new(count: usize, seed: u64) -> Fleet {
        let seeds = [0, 1, 2];
        let nodes = (0..count).map(|index| Node::new(settings(index, &seeds, count - count / 8))).collect();
        Fleet {
            now: Instant(1_000_000_000),
            nodes,
            links: Links::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            cut: BTreeSet::new(),
            queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            next_event_id: 0,
            seed,
        }
    }

    /// Creates a fleet whose nodes all started within 0.3 s and know each other.
    pub fn converged(count: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(count, seed);
        fleet.start_all(Duration::from_millis(300));
        fleet.run(Duration::from_millis(6_000));
        fleet.assert_all_agree();
        fleet
    }

    pub fn add(&mut self, settings: Settings) -> usize {
        self.nodes.push(Node::new(settings));
        self.nodes.len() - 1
    }

    pub fn start_all(&mut self, within: Duration) {
        for index in 0..self.nodes.len() {
            let wait = Duration::from_nanos(self.random.random_range(0..=within.nanos()));
            self.start_in(index, wait);
        }
    }

    pub fn start_in(&mut self, index: usize, wait: Duration) {
        self.schedule(self.now + wait, Scheduled::Start(index));
    }

    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.starts += 1;
        let mut settings = node.settings.clone();
        settings.member.incarnation += (node.starts - 1) * 1_000;
        settings.member.bootstrap &= node.starts == 1;
        let seed = self.seed ^ (index as u64) << 32 ^ node.starts;
        node.registry = Some(Registry::new(settings, seed, self.now));
        node.frozen = false;
        node.wake = None;
        node.acknowledged.clear();
        node.rejected.clear();
        self.process_output(index);
    }

    /// Restarts a node whose clock was set back.
    pub fn start_with_clock_behind(&mut self, index: usize) {
        self.nodes[index].settings.member.incarnation -= 60_000_000;
        self.start(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].registry = None;
        self.nodes[index].waiting.clear();
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        // The timers fire before the sockets are read.
        let now = self.now;
        self.with(index, |registry| registry.tick(now));
        for (from, message) in std::mem::take(&mut self.nodes[index].waiting) {
            self.with(index, |registry| registry.receive(now, from, message));
        }
    }

    /// Drops all messages from `from` to `to`.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Cuts the nodes in `side` off from all others.
    pub fn cut_off(&mut self, side: &[usize]) {
        for index in 0..self.nodes.len() {
            for other in side {
                if !side.contains(&index) {
                    self.cut.insert((index, *other));
                    self.cut.insert((*other, index));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(scheduled) = self.scheduled_events.remove(&id) {
                self.dispatch(scheduled);
            }
        }
        self.now = until;
    }

    /// Runs until `done` returns true, checked every 5 ms. Returns the time that this took, or `None` after `within`.
    pub fn run_until(&mut self, within: Duration, mut done: impl FnMut(&Fleet) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= within {
                return None;
            }
            self.run(Duration::from_millis(5));
        }
        Some(self.now.since(start))
    }

    pub fn registry(&self, index: usize) -> &Registry {
        self.nodes[index].registry.as_ref().expect("the node runs")
    }

    /// Calls a registry and processes its output.
    pub fn with<T>(&mut self, index: usize, call: impl FnOnce(&mut Registry) -> T) -> T {
        let registry = self.nodes[index].registry.as_mut().expect("the node runs");
        let result = call(registry);
        self.process_output(index);
        result
    }

    pub fn heartbeat(&mut self, index: usize, report: &HeartbeatReport) -> HeartbeatEffect {
        let now = self.now;
        self.with(index, |registry| registry.heartbeat(now, report.clone()))
    }

    pub fn deregister(&mut self, index: usize, id: &str) -> Answer {
        let now = self.now;
        self.with(index, |registry| registry.deregister(now, id))
    }

    pub fn is_acknowledged(&self, index: usize, answer: Answer) -> bool {
        match answer {
            Answer::Now => true,
            Answer::Never => false,
            Answer::WhenAcknowledged(token) => self.nodes[index].acknowledged.contains_key(&token),
        }
    }

    /// Returns whether a call ended without an acknowledgement.
    pub fn is_rejected(&self, index: usize, answer: Answer) -> bool {
        match answer {
            Answer::Now => false,
            Answer::Never => true,
            Answer::WhenAcknowledged(token) => self.nodes[index].rejected.contains_key(&token),
        }
    }

    /// Sets the tolerated losses of nodes that start from now on.
    pub fn tolerate(&mut self, losses: Losses) {
        self.nodes.iter_mut().for_each(|node| node.settings.losses = losses);
    }

    /// Returns the indexes of the running nodes.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].registry.is_some()).collect()
    }

    /// Returns the names of the nodes that a node considers live.
    pub fn live(&self, index: usize) -> BTreeSet<String> {
        self.registry(index).live_members().map(|member| member.name.clone()).collect()
    }

    pub fn all_know_all(&self) -> bool {
        let running: BTreeSet<String> =
            self.running().into_iter().map(|index| self.nodes[index].name.clone()).collect();
        self.running().into_iter().all(|index| self.live(index) == running)
    }

    /// Returns whether all running nodes list the same executors.
    pub fn all_show_same_executors(&self) -> bool {
        let shown = |index| -> Vec<Executor> { self.registry(index).executors().cloned().collect() };
        let running = self.running();
        let first = shown(running[0]);
        running.iter().all(|index| shown(*index) == first)
    }

    pub fn assert_all_agree(&self) {
        for index in self.running() {
            let live = self.live(index);
            let missing: Vec<&str> = self
                .running()
                .into_iter()
                .map(|other| self.nodes[other].name.as_str())
                .filter(|name| !live.contains(*name))
                .collect();
            assert!(missing.is_empty(), "{} does not consider {missing:?} live", self.nodes[index].name);
            assert_eq!(
                live.len(),
                self.running().len(),
                "{} considers too many nodes live",
                self.nodes[index].name
            );
        }
    }

    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.sent = Traffic::default();
            node.received = Traffic::default();
            node.sent_to_dead = 0;
            node.events.clear();
        }
    }

    fn schedule(&mut self, at: Instant, scheduled: Scheduled) {
        self.next_event_id += 1;
        self.scheduled_events.insert(self.next_event_id, scheduled);
        self.queue.push(Reverse((at, self.next_event_id)));
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        let now = self.now;
        match scheduled {
            Scheduled::Start(index) => self.start(index),
            Scheduled::Wake(index) => {
                let node = &mut self.nodes[index];
                if node.wake != Some(now) || node.frozen || node.registry.is_none() {
                    return;
                }
                node.wake = None;
                self.with(index, |registry| registry.tick(now));
            }
            Scheduled::Arrive { from, to, message } => {
                let Some(index) = self.node_at(to) else {
                    return;
                };
                if self.nodes[index].frozen {
                    self.nodes[index].waiting.push((from, message));
                    return;
                }
                self.nodes[index].received.messages += 1;
                self.nodes[index].received.bytes += message.encode().len() as u64;
                self.with(index, |registry| registry.receive(now, from, message));
            }
        }
    }

    /// Returns the index of the running node at an address.
    fn node_at(&self, address: SocketAddrV4) -> Option<usize> {
        let [_, _, high, low] = address.ip().octets();
        let index = (usize::from(high) * 250 + usize::from(low)).checked_sub(1)?;
        self.nodes.get(index).filter(|node| node.address == address && node.registry.is_some()).map(|_| index)
    }

    fn process_output(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(registry) = &mut node.registry else {
            return;
        };
        let completed = registry.take_completed_calls(now);
        node.acknowledged.extend(completed.acknowledged.into_iter().map(|token| (token, now)));
        node.rejected.extend(completed.rejected.into_iter().map(|token| (token, now)));
        let output = registry.take_output();
        node.events.extend(output.events.into_iter().map(|event| (now, event)));
        let wake = registry.next_wake().max(now + Duration::from_nanos(1));
        if node.wake.is_none_or(|planned| wake < planned || planned < now) {
            node.wake = Some(wake);
            self.schedule(wake, Scheduled::Wake(index));
        }
        for (to, message) in output.messages {
            self.send(index, to, message);
        }
    }

    fn send(&mut self, index: usize, to: SocketAddrV4, message: Message) {
        let bytes = message.encode();
        assert!(bytes.len() <= grebeusher_registry::MAX_MESSAGE, "a message of {} bytes", bytes.len());
        let node = &mut self.nodes[index];
        node.sent.messages += 1;
        node.sent.bytes += bytes.len() as u64;
        let from = node.address;
        let receiver = self.node_at(to);
        if receiver.is_none() {
            self.nodes[index].sent_to_dead += 1;
        }
        let Some(receiver) = receiver else {
            return;
        };
        if self.cut.contains(&(index, receiver)) || self.random.random_bool(self.links.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.links.duplicated));
        for _ in 0..copies {
            let delay = Duration::from_nanos(
                self.random.random_range(self.links.shortest.nanos()..=self.links.longest.nanos()),
            );
            self.schedule(self.now + delay, Scheduled::Arrive { from, to, message: message.clone() });
        }
    }
}

impl Node {
    fn new(settings: Settings) -> Node {
        Node {
            name: settings.member.name.clone(),
            address: settings.member.address,
            registry: None,
            frozen: false,
            sent: Traffic::default(),
            received: Traffic::default(),
            sent_to_dead: 0,
            acknowledged: BTreeMap::new(),
            rejected: BTreeMap::new(),
            events: Vec::new(),
            waiting: Vec::new(),
            wake: None,
            settings,
            starts: 0,
        }
    }

    /// Returns how many deaths of other nodes this node saw.
    pub fn deaths_seen(&self) -> usize {
        let dead = |event: &Event| matches!(event, Event::MemberChanged { state: MemberState::Dead, .. });
        self.events.iter().filter(|(_, event)| dead(event)).count()
    }
}

/// Returns the first call of an executor in the zone of the node `index`.
pub fn report(id: &str, index: usize) -> HeartbeatReport {
    HeartbeatReport {
        id: id.to_owned(),
        service: "huvo11a".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, 9), 8_080),
        zone: zone(index),
        slot_count: 8,
        config_version: "v1".to_owned(),
        pipeline_stage: "both".to_owned(),
        state: ExecutorState::Up,
        cold_left_ms: 0,
        call_seq: 1,
        models: Vec::new(),
    }
}

/// Returns the next call of the same executor.
pub fn next(report: &HeartbeatReport) -> HeartbeatReport {
    HeartbeatReport { call_seq: report.call_seq + 1, ..report.clone() }
}

pub fn draining(report: &HeartbeatReport) -> HeartbeatReport {
    HeartbeatReport { state: ExecutorState::Draining, ..next(report) }
}

//! All of a run in one loop: the stand-ins, the clients, the nodes' processes, the agenda of what is due, and the books.

use crate::addresses::Addresses;
use crate::discovery::{EMPTY_INTERVAL, Registry};
use crate::executors::{Calls, Executor};
use crate::faults::Step;
use crate::nodes::Node;
use crate::wire::{News, Wire};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_emulator::figures::Figures;
use grebeusher_emulator::rules::Book;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::spread::Spread;
use grebeusher_emulator::stage::{Errand, START, ms};
use rand::distr::weighted::WeightedIndex;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// One turn of the loop reads many connections, in no order of what was written when.
const IN_ORDER: Duration = Duration::from_millis(20);

/// Whose a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Executor(usize),
    /// Of an executor, to a node.
    CallBack(usize, usize),
    /// To this node.
    Discovery(usize),
    /// Of a client, to a node; the unit that it waits for.
    Client(usize, Option<u64>),
    /// Asks a node whether it is ready: the rig as it starts, and the front as it goes on.
    Ready(usize),
    Front(usize),
    /// Of the staff, to a node's console.
    Console(usize),
    /// Of the agent of an executor.
    Agent(usize),
}

/// What is due at some time.
#[derive(Clone, Debug)]
pub enum Task {
    Comes(usize),
    Tries(usize),
    /// A client's patience is over, or it leaves.
    Due(u64),
    /// Whether the node of a unit whose connection broke is gone.
    Judges(u64),
    RunEnds(usize, u32, u64),
    Progresses(usize, u32, u64),
    Rises(usize, u32),
    CallTimesOut(usize, usize, u64),
    CallsAgain(usize, usize),
    ListAnswer(usize, usize, Option<Option<u64>>),
    ListLine(usize, usize, usize),
    Knocks(usize),
    FrontAsks(usize),
    EmptyLines,
    Looks,
    Step(usize),
    Speaks,
    StaffLook,
    AgentActs(usize),
    NodeAgentActs(usize),
    /// A datagram reaches a node, from another.
    Datagram(usize, usize, Rc<[u8]>),
}

pub struct Fleet {
    pub scenario: Scenario,
    pub mean_size_s: f64,
    /// The clock shows `START` as the run begins.
    zero: std::time::Instant,
    zero_at: Instant,
    agenda: BTreeMap<(Instant, u64), Task>,
    next_number: u64,
    pub wire: Wire<Owner>,
    pub nodes: Vec<Node>,
    /// Which of them have said that they are ready, in this life.
    pub ready: Vec<bool>,
    /// Which of them sent their clients away, as far as the front has noticed.
    pub sent_away: Vec<bool>,
    /// When a node was gone, for clients who have not noticed.
    pub died: Vec<Option<Instant>>,
    pub executors: Vec<Executor>,
    pub calls: HashMap<(usize, usize), Calls>,
    pub registry: Registry,
    pub discovery_doors: Vec<usize>,
    pub discovery_links: Vec<usize>,
    /// Where each node's datagrams come and go, by its relay and link; none where nodes do not talk.
    pub relays: Vec<(usize, usize)>,
    by_address: HashMap<SocketAddr, usize>,
    /// Zones that are cut off from the others.
    pub zone_cuts: Vec<usize>,
    pub datagrams: u64,
    pub datagram_bytes: u64,
    pub errands: Vec<Errand>,
    pub units: HashMap<u64, crate::clients::Open>,
    pub next_unit: u64,
    /// Connections to each node that no client uses now.
    pub idle: Vec<Vec<usize>>,
    pub open_errands: usize,
    pub shares: Option<WeightedIndex<f64>>,
    pub chance: Pcg32,
    pub book: Book,
    pub figures: Figures,
    pub spread: Spread,
    /// The longest that the loop was at work between two looks at the sockets, and since when it is.
    pub longest_turn: Duration,
    works_since: Instant,
    pub staff: crate::staff::Staff,
    pub steps: Vec<(Instant, Step)>,
    pub silent_until: Instant,
    /// Units whose clients left while their nodes stood still.
    pub left_frozen: Vec<(usize, u64)>,
    /// Units that reached an executor, by tariff: their nodes spent them some time between when they were handed in and when they
    /// were sent. And what reached one beyond that: between the send before and this.
    pub spent: Vec<(usize, Instant, Instant)>,
    pub further: Vec<(usize, Instant, Instant)>,
    /// How many units the first budget has had since when, where that changed.
    pub posted_units: Vec<(Instant, u32)>,
    /// Sent more than 10 ms after their time.
    pub sent_late: u64,
    pub call_backs_lost: u64,
    pub errors: u64,
    pub most_open: usize,
    pub crashed: Vec<String>,
    /// Whether an account is kept, what the rig did so far, and when the run began as Unix seconds.
    pub accounts: bool,
    pub account: Vec<crate::account::Line>,
    pub began_unix_s: f64,
    pub told_to_end: Arc<AtomicBool>,
    pub speaks: bool,
    /// Least and most memory of a node in bytes, as the run began and later.
    pub memory: Vec<(u64, u64)>,
    /// The life of each node and how much its process had worked as the run began, and its part of a core since, of those that
    /// are still in that life.
    worked: Vec<(u32, Option<Duration>)>,
    pub cores: Vec<f64>,
    /// Held as long as the run lasts.
    pub addresses: Option<Addresses>,
}

/// The parts of a fleet that are made before it.
pub struct Made {
    pub scenario: Scenario,
    pub wire: Wire<Owner>,
    pub nodes: Vec<Node>,
    pub executors: Vec<Executor>,
    pub discovery_doors: Vec<usize>,
    pub discovery_links: Vec<usize>,
    pub relays: Vec<(usize, usize)>,
    pub spread: Spread,
    pub chance: Pcg32,
    pub errands: Vec<Errand>,
    pub steps: Vec<(Instant, Step)>,
    pub told_to_end: Arc<AtomicBool>,
    pub speaks: bool,
}

impl Fleet {
    pub fn new(made: Made) -> Fleet {
        let rules = made.scenario.rules;
        let count = made.nodes.len();
        Fleet {
            mean_size_s: made.scenario.mean_size_s(),
            zero: std::time::Instant::now(),
            zero_at: Instant(START / 2),
            agenda: BTreeMap::new(),
            next_number: 0,
            wire: made.wire,
            by_address: made.nodes.iter().map(|node| (node.talks_at(), node.place)).collect(),
            nodes: made.nodes,
            ready: vec![false; count],
            sent_away: vec![false; count],
            died: vec![None; count],
            executors: made.executors,
            calls: HashMap::new(),
            registry: Registry::new(),
            discovery_doors: made.discovery_doors,
            discovery_links: made.discovery_links,
            relays: made.relays,
            zone_cuts: Vec::new(),
            datagrams: 0,
            datagram_bytes: 0,
            open_errands: made.errands.len(),
            errands: made.errands,
            units: HashMap::new(),
            next_unit: 0,
            idle: vec![Vec::new(); count],
            shares: made.scenario.shares(),
            chance: made.chance,
            book: Book::new(Instant(START), ms(rules.slack_ms), ms(rules.drain_grace_ms)),
            longest_turn: Duration::from_nanos(0),
            works_since: Instant(START / 2),
            figures: Figures::new(&made.scenario),
            spread: made.spread,
            staff: crate::staff::Staff::default(),
            steps: made.steps,
            silent_until: Instant(0),
            left_frozen: Vec::new(),
            spent: Vec::new(),
            further: Vec::new(),
            posted_units: Vec::new(),
            sent_late: 0,
            call_backs_lost: 0,
            errors: 0,
            most_open: 0,
            crashed: Vec::new(),
            accounts: false,
            account: Vec::new(),
            began_unix_s: 0.0,
            told_to_end: made.told_to_end,
            speaks: made.speaks,
            memory: Vec::new(),
            worked: Vec::new(),
            cores: Vec::new(),
            addresses: None,
            scenario: made.scenario,
        }
    }

    pub fn now(&self) -> Instant {
        (self.clock())()
    }

    /// The clock by itself, for a side that waits and looks at it afterwards.
    fn clock(&self) -> impl Fn() -> Instant + use<> {
        let (zero, zero_at) = (self.zero, self.zero_at);
        move || zero_at + Duration::from_nanos(zero.elapsed().as_nanos() as u64)
    }

    pub fn unix_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
    }

    pub fn at(&mut self, when: Instant, task: Task) {
        self.agenda.insert((when, self.next_number), task);
        self.next_number += 1;
    }

    pub fn after(&mut self, span: Duration, task: Task) {
        let now = self.now();
        self.at(now + span, task);
    }

    pub fn zone_of(&self, node: usize) -> usize {
        node % self.scenario.nodes.zones.len()
    }

    /// Starts all nodes side by side, and waits until each says that it is ready.
    pub fn start(&mut self) -> Result<(), String> {
        const TIMEOUT: Duration = Duration::from_millis(60_000);
        self.after(EMPTY_INTERVAL, Task::EmptyLines);
        self.after(Duration::from_millis(250), Task::Looks);
        for node in 0..self.nodes.len() {
            self.start_node(node, false).map_err(|e| e.to_string())?;
        }
        let until = self.now() + TIMEOUT;
        while !self.ready.iter().all(|ready| *ready) {
            if let Some(words) = self.crashed.pop() {
                return Err(format!("a node ended at its start: {words}"));
            }
            if self.now() > until {
                let late = self.ready.iter().position(|ready| !ready).unwrap_or(0);
                return Err(format!("node {late} is not ready: {}", self.nodes[late].last_words()));
            }
            self.turn()?;
        }
        if self.speaks {
            let took = self.now().since(Instant(START / 2)).seconds();
            eprintln!("{} nodes ready after {took:.1} s", self.nodes.len());
        }
        Ok(())
    }

    pub fn start_node(&mut self, node: usize, old_list: bool) -> io::Result<()> {
        let known = self.whole_list(node);
        self.nodes[node].start(&self.scenario, &known, old_list)?;
        if !old_list {
            self.was_told_all(node);
        }
        (self.ready[node], self.died[node]) = (false, None);
        self.after(Duration::from_millis(20), Task::Knocks(node));
        Ok(())
    }

    /// Plays all to its end: until all that came has its answer, or nobody waits for one.
    pub fn play(&mut self) -> Result<(), String> {
        (self.zero, self.zero_at, self.works_since) =
            (std::time::Instant::now(), Instant(START), Instant(START));
        self.began_unix_s = self.unix_ms() as f64 / 1e3;
        self.longest_turn = Duration::from_nanos(0);
        // What was due while nodes started is due in a moment.
        let earlier = std::mem::take(&mut self.agenda);
        earlier.into_values().for_each(|task| self.after(Duration::from_millis(100), task));
        self.sees_memory();
        self.worked = self.nodes.iter().map(|node| (node.life, node.worked())).collect();
        for at in 0..self.errands.len() {
            self.at(self.errands[at].came, Task::Comes(at));
        }
        for at in 0..self.steps.len() {
            self.at(self.steps[at].0, Task::Step(at));
        }
        self.staff_begin();
        self.after(Duration::from_millis(5000), Task::Speaks);
        let ends = Instant(START) + ms(self.scenario.length_s * 1e3);
        let longest = self.scenario.tariffs.iter().map(|t| t.patience_ms).fold(0.0, f64::max);
        let last = ends + ms(longest + self.scenario.rules.slack_ms + 1000.0);
        while self.now() < ends || (self.open_errands > 0 && self.now() < last) {
            self.turn()?;
        }
        self.sees_memory();
        let since = self.now().since(Instant(START)).seconds();
        let cores = self.nodes.iter().zip(&self.worked).filter_map(|(node, &(life, before))| {
            let worked = node.worked().filter(|_| node.life == life)?;
            Some(worked.saturating_sub(before?).seconds() / since)
        });
        self.cores = cores.collect();
        Ok(())
    }

    fn turn(&mut self) -> Result<(), String> {
        const LONGEST: Duration = Duration::from_millis(100);
        if self.told_to_end.load(Ordering::Relaxed) {
            return Err("told to end".to_owned());
        }
        let said = |e: io::Error| e.to_string();
        let now = self.now();
        // What was written while a turn lasted, by many processes that it started say, is read in no order of its own.
        let turn = now.since(self.works_since);
        self.book.in_order_beyond(IN_ORDER.max(turn.scaled(2.0)));
        self.longest_turn = self.longest_turn.max(turn);
        let due = self.agenda.first_key_value().map_or(now + LONGEST, |((when, _), _)| *when);
        let clock = self.clock();
        let news = self.wire.turns(clock, due.min(now + LONGEST)).map_err(said)?;
        self.works_since = self.now();
        self.most_open = self.most_open.max(self.wire.open());
        for (key, what) in news {
            self.hears(key, what);
        }
        for (relay, from, datagram) in std::mem::take(&mut self.wire.datagrams) {
            self.relays_datagram(relay, from, datagram.into());
        }
        while self.agenda.first_key_value().is_some_and(|((when, _), _)| *when <= self.now()) {
            let Some((_, task)) = self.agenda.pop_first() else { break };
            self.does(task).map_err(said)?;
        }
        Ok(())
    }

    /// A datagram from one node to another goes through the links of both.
    fn relays_datagram(&mut self, to: usize, from: SocketAddr, datagram: Rc<[u8]>) {
        let Some(&from) = self.by_address.get(&from) else { return };
        self.datagrams += 1;
        self.datagram_bytes += datagram.len() as u64;
        let (one, other) = (self.zone_of(from), self.zone_of(to));
        if self.zone_cuts.iter().any(|zone| (*zone == one) != (*zone == other)) {
            return;
        }
        let now = self.now();
        let (leaves, comes) = (self.relays[from].1, self.relays[to].1);
        for left in self.wire.links[leaves].lets_datagram(now, &mut self.chance) {
            for when in self.wire.links[comes].lets_datagram(left, &mut self.chance) {
                match when > now {
                    true => self.at(when, Task::Datagram(from, to, datagram.clone())),
                    false => self.wire.passes(self.relays[from].0, self.nodes[to].talks_at(), &datagram),
                }
            }
        }
    }

    fn hears(&mut self, key: usize, what: News) {
        let ended = what == News::Ended;
        match self.wire.owner(key) {
            Some(Owner::Executor(at)) => self.executor_hears(at, key),
            Some(Owner::Discovery(node)) => self.discovery_hears(node, key),
            Some(Owner::CallBack(at, node)) => return self.call_back_hears(at, node, key, ended),
            Some(Owner::Client(node, unit)) => return self.client_hears(node, unit, key, ended),
            Some(Owner::Ready(node)) => self.ready[node] = self.says_ready(key).unwrap_or(self.ready[node]),
            Some(Owner::Front(node)) => {
                self.sent_away[node] = self.says_ready(key).map_or(self.sent_away[node], |ready| !ready);
            }
            Some(Owner::Console(_)) => self.console_hears(key),
            Some(Owner::Agent(_)) => self.wire.closes(key),
            None => {}
        }
        if ended {
            self.wire.closes(key);
        }
    }

    fn does(&mut self, task: Task) -> io::Result<()> {
        match task {
            Task::Comes(errand) => self.comes(errand),
            Task::Tries(errand) => self.tries(errand),
            Task::Due(unit) => self.due(unit),
            Task::Judges(unit) => self.judges(unit),
            Task::RunEnds(at, life, unit) => self.run_ends(at, life, unit),
            Task::Progresses(at, life, unit) => self.progresses(at, life, unit),
            Task::Rises(at, life) => {
                if self.executors[at].machine.life == life {
                    self.executor_rises(at)?;
                    self.list_changes(at, grebeusher_dispatch::ExecutorStatus::Ready);
                }
            }
            Task::CallTimesOut(at, node, number) => self.call_times_out(at, node, number),
            Task::CallsAgain(at, node) => self.next_call(at, node),
            Task::ListAnswer(node, key, asked) => self.list_answer(node, key, asked),
            Task::ListLine(node, key, executor) => self.list_line(node, key, executor),
            Task::Knocks(node) => self.knocks(node),
            Task::FrontAsks(node) => self.front_asks(node),
            Task::EmptyLines => {
                self.empty_lines();
                self.sweeps();
                self.after(EMPTY_INTERVAL, Task::EmptyLines);
            }
            Task::Looks => {
                self.looks()?;
                self.after(Duration::from_millis(250), Task::Looks);
            }
            Task::Step(at) => self.step(at)?,
            Task::StaffLook => self.staff_look(),
            Task::AgentActs(at) => self.agent_acts(at)?,
            Task::NodeAgentActs(node) => self.node_agent_acts(node)?,
            Task::Datagram(from, to, datagram) => {
                self.wire.passes(self.relays[from].0, self.nodes[to].talks_at(), &datagram);
            }
            Task::Speaks => {
                self.sees_memory();
                self.says_progress();
                self.after(Duration::from_millis(5000), Task::Speaks);
            }
        }
        Ok(())
    }

    /// Looks which nodes have ended, and whether they were told to.
    fn looks(&mut self) -> io::Result<()> {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].has_ended() {
                continue;
            }
            self.node_is_gone(node);
            if self.nodes[node].stopping {
                self.start_node(node, false)?;
            } else {
                self.crashed.push(format!("node {node}: {}", self.nodes[node].last_words()));
            }
        }
        Ok(())
    }

    /// A node's process is gone, and all that it had in hand with it.
    pub fn node_is_gone(&mut self, node: usize) {
        (self.ready[node], self.died[node]) = (false, Some(self.now()));
        std::mem::take(&mut self.idle[node]).into_iter().for_each(|key| self.wire.closes(key));
        let lost: Vec<u64> =
            self.units.iter().filter(|(_, open)| open.node == node).map(|(unit, _)| *unit).collect();
        lost.into_iter().for_each(|unit| self.node_took(unit));
    }

    fn knocks(&mut self, node: usize) {
        const AGAIN: Duration = Duration::from_millis(100);
        if self.ready[node] || !self.nodes[node].is_up() {
            return;
        }
        self.asks_ready(node, Owner::Ready(node));
        self.after(AGAIN, Task::Knocks(node));
    }

    /// Asks a node whether it is ready; an earlier question that has no answer by now has none.
    fn asks_ready(&mut self, node: usize, owner: Owner) {
        let now = self.now();
        let address = self.nodes[node].address;
        self.wire.find(|of| of == owner).into_iter().for_each(|key| self.wire.closes(key));
        if let Ok(key) = self.wire.dials(address, owner, crate::wire::CLEAR, now) {
            self.wire.says(key, b"GET /ready HTTP/1.1\r\n\r\n".to_vec(), now);
        }
    }

    /// What a node answered, once all of it is there.
    fn says_ready(&mut self, key: usize) -> Option<bool> {
        let (bytes, _) = self.wire.came(key)?;
        let message = crate::http::answer(bytes).ok()??;
        self.wire.closes(key);
        Some(message.status == 200)
    }

    /// Where nodes are to be sent away the front asks them all the time.
    fn front_asks(&mut self, node: usize) {
        const INTERVAL: Duration = Duration::from_millis(250);
        self.after(INTERVAL, Task::FrontAsks(node));
        if self.nodes[node].is_up() && !self.nodes[node].frozen {
            self.asks_ready(node, Owner::Front(node));
        }
    }

    fn sees_memory(&mut self) {
        let held = self.nodes.iter().filter_map(Node::memory);
        let bounds = held.fold((u64::MAX, 0), |(least, most), held| (least.min(held), most.max(held)));
        if bounds.1 > 0 {
            self.memory.push(bounds);
        }
    }

    fn says_progress(&self) {
        if self.speaks {
            let s = self.now().since(Instant(START));
            eprintln!(
                "{:.0} of {} s: {} units, {} open, {} nodes ready, {} connections",
                Duration::from_nanos(s.nanos()).as_secs_f64(),
                self.scenario.length_s,
                self.next_unit,
                self.units.len(),
                self.ready.iter().filter(|ready| **ready).count(),
                self.wire.open()
            );
        }
    }
}

//! Virtual time and what all share in it: the queue of happenings, hosts, and processes as the kernel knows them.

use crate::network::{Connection, Listening};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::poller::Event;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

/// What one turn of a process's loop takes of its processor.
const TURN_TAKES: Duration = Duration::from_nanos(120_000);

/// One side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct End(pub u64);

impl End {
    /// The side of a connection: 0 dialled, 1 was dialled.
    pub fn new(connection: u64, side: usize) -> End {
        End(connection * 2 + side as u64)
    }

    /// Its connection.
    pub fn connection(self) -> u64 {
        self.0 / 2
    }

    /// Its side.
    pub fn side(self) -> usize {
        (self.0 % 2) as usize
    }
}

/// Who has an end or a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A life of a process of the tier.
    Process(usize),
    /// A stand-in executor.
    Executor(usize),
    /// The clients.
    Clients,
    /// The operators and the platform.
    Operators,
}

/// Something that happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happening {
    /// An opening packet arrives.
    Opening { connection: u64, attempt: u32 },
    /// The answer to an opening packet arrives.
    Opened { connection: u64, accepted: bool },
    /// Packets of a side arrive.
    Arrival { connection: u64, side: usize },
    /// A process's loop turns.
    Turn { process: usize, stamp: u64 },
    /// Something can be done at an end that isn't a process's.
    Socket { end: End },
    /// A timer of one that isn't a process.
    Wake { owner: Owner, token: u64 },
    /// A step of a fault.
    Step(usize),
}

/// A machine, or the place of a client, an executor or an operator.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone's number.
    pub zone: usize,
    /// How many times as long as usual its processor takes.
    pub slowed: f64,
    /// Whether it has power.
    pub powered: bool,
    /// What its wires add to each packet's way.
    pub delay: Duration,
    /// How many bytes go through its wires in a second, and when they are free; without a bound if there is none.
    pub link: Option<HostLink>,
}

/// The wires of a host, which all of its connections share; either direction passes packets in their order.
#[derive(Clone, Copy, Debug)]
pub struct HostLink {
    bytes_per_s: f64,
    out_free: Instant,
    in_free: Instant,
}

impl HostLink {
    /// Wires of so many megabits a second.
    pub fn new(mbps: f64) -> HostLink {
        HostLink { bytes_per_s: mbps * 1e6 / 8.0, out_free: Instant(0), in_free: Instant(0) }
    }

    fn pass(&self, free: Instant, at: Instant, bytes: usize) -> Instant {
        free.max(at) + Duration::from_seconds(bytes as f64 / self.bytes_per_s)
    }

    /// When bytes that are sent at a moment have left.
    pub fn leave(&mut self, at: Instant, bytes: usize) -> Instant {
        self.out_free = self.pass(self.out_free, at, bytes);
        self.out_free
    }

    /// When bytes that come at a moment are in.
    pub fn arrive(&mut self, at: Instant, bytes: usize) -> Instant {
        self.in_free = self.pass(self.in_free, at, bytes);
        self.in_free
    }
}

/// A life of a process, as the kernel knows it.
#[derive(Debug)]
pub struct Process {
    /// Its host.
    pub host: usize,
    /// When it started.
    pub started: Instant,
    /// Whether it still runs.
    pub alive: bool,
    /// Whether it stands still.
    pub frozen: bool,
    /// Since when.
    frozen_at: Instant,
    /// What it read from its clock just before it was frozen, between that and its sockets: the turn in which it goes on
    /// begins with this.
    pub(crate) clock_before_freeze: Option<Instant>,
    /// How far its time of day is off, in milliseconds.
    pub wall_offset_ms: i64,
    /// Signals that it has not taken yet.
    pub stop: bool,
    /// The same.
    pub reload: bool,
    ready: BTreeSet<End>,
    ready_listeners: BTreeSet<SocketAddrV4>,
    turns_at: Option<Instant>,
    stamp: u64,
    busy_until: Instant,
}

/// A cut between groups of hosts.
#[derive(Clone, Debug)]
pub struct Cut {
    /// Names it, to be healed.
    pub number: usize,
    /// A set of hosts, a bit each.
    pub from: u128,
    /// The hosts that those can't reach.
    pub to: u128,
    /// Whether connections end at once and dials are refused, instead of silence.
    pub resets: bool,
}

/// Whether packets pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// They pass.
    Open,
    /// They are lost, without a word.
    Silent,
    /// They are answered by a reset.
    Resets,
}

/// All that is shared.
pub struct Hub {
    /// The true time.
    pub now: Instant,
    /// For all that is left to chance.
    pub random: Pcg64,
    /// Machines and other places.
    pub hosts: Vec<Host>,
    /// Lives of processes.
    pub processes: Vec<Process>,
    /// Cuts in force.
    pub cuts: Vec<Cut>,
    /// Between machines of one zone.
    pub in_zone: Duration,
    /// Between zones.
    pub cross_zone: Duration,
    /// Between regions.
    pub cross_region: Duration,
    /// The region's number of each zone.
    pub regions: Vec<usize>,
    /// Milliseconds since 1970 at the start.
    pub wall_start_ms: u64,
    pub(crate) connections: FxHashMap<u64, Connection>,
    pub(crate) next_connection: u64,
    pub(crate) listeners: FxHashMap<SocketAddrV4, Listening>,
    pub(crate) turn_spent: Duration,
    by_ip: FxHashMap<Ipv4Addr, usize>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    serial: u64,
}

/// The hub, as all who use it hold it.
pub type SharedHub = Rc<RefCell<Hub>>;

#[derive(PartialEq, Eq)]
struct Scheduled {
    at: Instant,
    serial: u64,
    happening: Happening,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Hub {
    /// An empty world.
    pub fn new(seed: u64) -> Hub {
        Hub {
            now: Instant(0),
            random: Pcg64::seed_from_u64(seed),
            hosts: Vec::new(),
            processes: Vec::new(),
            cuts: Vec::new(),
            in_zone: Duration::from_millis(1).scaled(0.2),
            cross_zone: Duration::from_millis(1).scaled(0.5),
            cross_region: Duration::from_millis(20),
            regions: Vec::new(),
            wall_start_ms: 1_900_000_000_000,
            connections: FxHashMap::default(),
            next_connection: 0,
            listeners: FxHashMap::default(),
            turn_spent: Duration::from_nanos(0),
            by_ip: FxHashMap::default(),
            queue: BinaryHeap::new(),
            serial: 0,
        }
    }

    /// Adds a host with power.
    pub fn add_host(&mut self, ip: Ipv4Addr, zone: usize, delay: Duration) -> usize {
        self.hosts.push(Host { ip, zone, slowed: 1.0, powered: true, delay, link: None });
        self.by_ip.insert(ip, self.hosts.len() - 1);
        self.hosts.len() - 1
    }

    /// The host of an address.
    pub fn host_of(&self, ip: Ipv4Addr) -> Option<usize> {
        self.by_ip.get(&ip).copied()
    }

    /// The time as the process sees it that is in its turn: its waits for the disk are behind it.
    pub fn local_now(&self) -> Instant {
        self.now + self.turn_spent
    }

    /// Has something happen.
    pub fn schedule(&mut self, at: Instant, happening: Happening) {
        self.serial += 1;
        let at = at.max(self.now);
        self.queue.push(Reverse(Scheduled { at, serial: self.serial, happening }));
    }

    /// The next thing that happens up to `until`; time goes there.
    pub fn next(&mut self, until: Instant) -> Option<Happening> {
        if self.queue.peek().is_none_or(|Reverse(next)| next.at > until) {
            self.now = until;
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = next.at;
        Some(next.happening)
    }

    /// Whether packets pass from one host to another.
    pub fn path(&self, from: usize, to: usize) -> Path {
        if self.cuts.is_empty() {
            // Fleets without cuts may have more hosts than a set of them has bits.
            return Path::Open;
        }
        let (from, to) = (1u128 << from, 1u128 << to);
        match self.cuts.iter().find(|cut| cut.from & from != 0 && cut.to & to != 0) {
            None => Path::Open,
            Some(cut) if cut.resets => Path::Resets,
            Some(_) => Path::Silent,
        }
    }

    /// How long a packet takes from one host to another.
    pub fn way(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        let wires = a.delay + b.delay;
        let base = if a.zone == b.zone {
            self.in_zone
        } else if self.regions.get(a.zone) == self.regions.get(b.zone) {
            self.cross_zone
        } else {
            self.cross_region
        };
        let jitter = self.random.random_range(1.0..1.3);
        (base + wires).scaled(jitter)
    }

    /// A new life of a process on a host.
    pub fn start_process(&mut self, host: usize, wall_offset_ms: i64) -> usize {
        self.processes.push(Process {
            host,
            started: self.now,
            alive: true,
            frozen: false,
            frozen_at: Instant(0),
            clock_before_freeze: None,
            wall_offset_ms,
            stop: false,
            reload: false,
            ready: BTreeSet::new(),
            ready_listeners: BTreeSet::new(),
            turns_at: None,
            stamp: 0,
            busy_until: self.now,
        });
        self.processes.len() - 1
    }

    /// Has a process's loop turn at a moment, or as soon after it as it can.
    pub fn turn_process(&mut self, process: usize, at: Instant) {
        let state = &mut self.processes[process];
        let at = at.max(state.busy_until).max(self.now);
        if !state.alive || state.frozen || state.turns_at.is_some_and(|turns| turns <= at) {
            return;
        }
        state.turns_at = Some(at);
        state.stamp += 1;
        let stamp = state.stamp;
        self.schedule(at, Happening::Turn { process, stamp });
    }

    /// Begins a turn if it is the one that was meant: what is ready, in the order of ends.
    pub fn begin_turn(&mut self, process: usize, stamp: u64) -> Option<Vec<Event>> {
        let state = &mut self.processes[process];
        if !state.alive || state.frozen || state.stamp != stamp {
            return None;
        }
        state.turns_at = None;
        self.turn_spent = Duration::from_nanos(0);
        let mut events = Vec::new();
        if state.stop || state.reload {
            events.push(Event { key: grebeusher_tier::node::keys::SIGNALS, readable: true, writable: false });
        }
        for address in state.ready_listeners.clone() {
            if let Some(listening) = self.listeners.get(&address).filter(|l| !l.backlog.is_empty()) {
                events.push(Event { key: listening.key, readable: true, writable: false });
            }
        }
        let ready: Vec<End> = self.processes[process].ready.iter().copied().collect();
        for end in ready {
            events.extend(self.event_of(end));
        }
        Some(events)
    }

    /// Ends a turn: the process is busy until its waits for the disk are over, and turns again if anything is ready still.
    pub fn end_turn(&mut self, process: usize) {
        let until = self.local_now() + TURN_TAKES.scaled(self.hosts[self.processes[process].host].slowed);
        self.turn_spent = Duration::from_nanos(0);
        let ends: Vec<End> = self.processes[process].ready.iter().copied().collect();
        let still: BTreeSet<End> = ends.into_iter().filter(|end| self.event_of(*end).is_some()).collect();
        let addresses: Vec<SocketAddrV4> = self.processes[process].ready_listeners.iter().copied().collect();
        let waited: BTreeSet<SocketAddrV4> = addresses
            .into_iter()
            .filter(|address| self.listeners.get(address).is_some_and(|l| !l.backlog.is_empty()))
            .collect();
        let state = &mut self.processes[process];
        state.busy_until = until;
        let again = !still.is_empty() || !waited.is_empty() || state.stop || state.reload;
        state.ready = still;
        state.ready_listeners = waited;
        if let Some(at) = state.turns_at.filter(|at| *at < until) {
            // Something came while it was busy.
            let _ = at;
            state.turns_at = None;
            self.turn_process(process, until);
        } else if again {
            self.turn_process(process, until);
        }
    }

    /// An end of a process may be ready.
    pub(crate) fn process_end_ready(&mut self, process: usize, end: End) {
        let state = &mut self.processes[process];
        if state.alive {
            state.ready.insert(end);
            self.turn_process(process, self.now);
        }
    }

    /// Somebody waits at a listener of a process.
    pub(crate) fn process_listener_ready(&mut self, process: usize, address: SocketAddrV4) {
        let state = &mut self.processes[process];
        if state.alive {
            state.ready_listeners.insert(address);
            self.turn_process(process, self.now);
        }
    }

    /// Stops or continues a process.
    pub fn freeze(&mut self, process: usize, frozen: bool) {
        let now = self.now;
        let state = &mut self.processes[process];
        let was_frozen = std::mem::replace(&mut state.frozen, frozen);
        if frozen && !was_frozen {
            state.frozen_at = now;
        }
        if !frozen {
            state.clock_before_freeze = was_frozen.then_some(state.frozen_at);
            state.turns_at = None;
            self.turn_process(process, self.now);
        }
    }

    /// Sends a process the signal to stop.
    pub fn signal_stop(&mut self, process: usize) {
        self.processes[process].stop = true;
        self.turn_process(process, self.now);
    }
}

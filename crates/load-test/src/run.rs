//! One run: says what it needs, makes all, plays it, and ends what it started.

use crate::account::{self, Line, merged};
use crate::addresses::Addresses;
use crate::clients::schedule;
use crate::executors::Executor;
use crate::faults::plan;
use crate::fleet::{Fleet, Made, Owner};
use crate::nodes::Node;
use crate::wire::Wire;
use grebeusher_dispatch::time::{DurationExt, Instant};
use grebeusher_emulator::figures::{Second, Summary, say_rules};
use grebeusher_emulator::machine::{Machine, Make};
use grebeusher_emulator::rules::{Breach, Rule};
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::spread::{self, Spread, Width};
use grebeusher_emulator::stage::{START, ms};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// What one loop of stand-ins bears, and nobody waits for longer.
const MAX_NODES: usize = 400;
const MAX_EXECUTORS: usize = 400;
const MAX_SLOTS: u64 = 4000;
const MAX_UNITS: usize = 600_000;
const MAX_S: f64 = 1200.0;

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    #[serde(flatten)]
    pub summary: Summary,
    pub seed: u64,
    /// Sent more than 10 ms after their time, as this machine was busy: beyond a few the times say little.
    pub sent_late: u64,
    pub call_backs_lost: u64,
    /// The longest that the rig was at work between two looks at its sockets: closer than twice that nobody knows an order.
    pub longest_turn_ms: f64,
    pub sends: u64,
    pub list_calls: u64,
    pub list_calls_failed: u64,
    /// Connections that were taken in from nodes, the most that stood at once of all, and errors of executors that fail.
    pub handshakes: u64,
    pub most_connections: usize,
    pub errors: u64,
    /// Least and most memory of a node in megabytes, as the run began and every five seconds.
    pub node_memory_mb: Vec<(f64, f64)>,
    /// The part of a core that a node took, in the mean and at the most, of those that were never started anew.
    pub node_cores: (f64, f64),
    pub budgets: Vec<Spending>,
    pub plan: Option<crate::staff::PlanSeen>,
    /// Datagrams between nodes, and their bytes, for each node and second of the run.
    pub datagrams_per_s: f64,
    pub datagram_bytes_per_s: f64,
    /// The last words of nodes that ended by themselves.
    pub crashed: Vec<String>,
    pub spread: spread::Figures,
    pub seconds: Vec<Second>,
    pub broken: BTreeMap<Rule, u64>,
    pub breaches: Vec<Breach>,
}

impl Report {
    pub fn is_well(&self) -> bool {
        self.broken.is_empty() && self.crashed.is_empty() && self.summary.is_even()
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.summary)?;
        writeln!(
            f,
            "sent late {}, call-backs lost {}, longest turn of the rig {:.0} ms",
            self.sent_late, self.call_backs_lost, self.longest_turn_ms
        )?;
        writeln!(
            f,
            "sends {}, hand-shakes {}, most connections {}, errors {}, list calls {} ({} failed)",
            self.sends,
            self.handshakes,
            self.most_connections,
            self.errors,
            self.list_calls,
            self.list_calls_failed
        )?;
        if let (Some(first), Some(last)) = (self.node_memory_mb.first(), self.node_memory_mb.last()) {
            writeln!(
                f,
                "a node holds {:.1} to {:.1} MB, at the end {:.1} to {:.1}",
                first.0, first.1, last.0, last.1
            )?;
        }
        let (mean, most) = self.node_cores;
        writeln!(f, "a node takes {:.2}% of a core, {:.2}% at the most", mean * 100.0, most * 100.0)?;
        if self.datagrams_per_s > 0.0 {
            writeln!(
                f,
                "a node sends {:.1} datagrams a second, {:.0} bytes",
                self.datagrams_per_s, self.datagram_bytes_per_s
            )?;
        }
        for b in &self.budgets {
            writeln!(
                f,
                "budget of {}: {} units in {} ms, most {} in a window, {:.3} of it used",
                b.name(),
                b.units,
                b.window_ms,
                b.most,
                b.used
            )?;
        }
        if let Some(plan) = &self.plan {
            write!(f, "{plan}")?;
        }
        write!(f, "{}", self.spread)?;
        self.crashed.iter().try_for_each(|words| writeln!(f, "a node CRASHED: {words}"))?;
        say_rules(f, &self.broken, &self.breaches)
    }
}

/// What was spent of a budget, seen from the clients' side.
#[derive(Clone, Debug, Serialize)]
pub struct Spending {
    pub tariff: String,
    /// Counts further allocations, not units.
    pub further: bool,
    pub units: u32,
    pub window_ms: f64,
    /// The most in any window, and the part of the whole that was spent once the run had settled.
    pub most: usize,
    pub used: f64,
    /// The same second by second.
    pub seconds: Vec<u64>,
}

impl Spending {
    fn name(&self) -> String {
        format!("{}{}", self.tariff, if self.further { ", further allocations" } else { "" })
    }

    /// Its name, what was spent in each second, and what may be in one.
    pub fn by_second(&self) -> (String, Vec<u64>, f64) {
        (self.name(), self.seconds.clone(), f64::from(self.units) * 1e3 / self.window_ms)
    }
}

/// Adds up from outside what was spent, over every window; more than the whole is a broken rule. When a node spent a unit is known
/// between two times: what counts for a window lies in it with both, so that no way and no standstill makes a breach.
fn audit(fleet: &mut Fleet) -> Vec<Spending> {
    let scenario = fleet.scenario.clone();
    let mut told = Vec::new();
    // A smaller whole holds once what was granted by the larger one is over and has left the window: leases of two seconds, and
    // half a second until the keepers have settled it.
    const LESS_TIMEOUT_MS: f64 = 2500.0;
    let mut changes = fleet.posted_units.clone();
    changes.sort_unstable();
    for (place, budget) in scenario.budgets.iter().enumerate() {
        let tariff = scenario.tariffs.iter().position(|t| t.name == budget.tariff);
        let counted = if budget.further { &fleet.further } else { &fleet.spent };
        let own = counted.iter().filter(|(of, ..)| Some(*of) == tariff);
        let mut times: Vec<(Instant, Instant)> = own.map(|(_, from, until)| (*from, *until)).collect();
        times.sort_unstable();
        let whole = |at: Instant| {
            let changes: &[(Instant, u32)] = if place == 0 { &changes } else { &[] };
            let (mut units, mut before) = (budget.units, 0);
            for &(since, new) in changes {
                if at >= since {
                    before = if at < since + ms(LESS_TIMEOUT_MS + budget.window_ms) {
                        units.max(before)
                    } else {
                        0
                    };
                    units = new;
                }
            }
            units.max(before)
        };
        let window = ms(budget.window_ms);
        let mut most = 0;
        for (first, &(at, _)) in times.iter().enumerate() {
            let ends = at + window;
            let within = times[first..].iter().take_while(|(from, _)| *from < ends);
            let count = within.filter(|(_, until)| *until < ends).count();
            let whole = whole(at);
            if count > whole as usize {
                fleet.book.over_budget(at, &budget.tariff, count, whole);
            }
            most = most.max(count);
        }
        let mut seconds = vec![0; scenario.length_s.ceil() as usize];
        for (_, at) in &times {
            let second = at.since(Instant(START)).seconds() as usize;
            if let Some(count) = seconds.get_mut(second) {
                *count += 1;
            }
        }
        let settled: u64 = seconds.iter().skip(scenario.settles_s as usize).sum();
        let windows = (scenario.length_s - scenario.settles_s) * 1e3 / budget.window_ms;
        let used = settled as f64 / (windows * f64::from(budget.units)).max(f64::MIN_POSITIVE);
        let (tariff, units, window_ms) = (budget.tariff.clone(), budget.units, budget.window_ms);
        told.push(Spending { tariff, further: budget.further, units, window_ms, most, used, seconds });
    }
    told
}

/// What a run takes of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Needs {
    /// Of this process; nodes have limits of their own.
    pub descriptors: u64,
    pub memory_mb: u64,
    pub processes: u64,
    pub addresses: u64,
}

impl Needs {
    pub fn of(s: &Scenario) -> Needs {
        // A node uses few executors, and each calls it back on a connection of its own; a storm has it use more.
        const USED: u64 = 16;
        // As measured, with the rest of a process.
        const NODE_MB: u64 = 8;
        let nodes = s.nodes.count as u64;
        let executors: u64 = s.executors.iter().map(|e| e.count as u64).sum();
        let per_s: f64 = s.tariffs.iter().map(|t| t.per_s).sum();
        // Those that wait for an answer, each for its patience at the longest.
        let longest_s = s.tariffs.iter().map(|t| t.patience_ms).fold(0.0, f64::max) / 1e3;
        let clients = (per_s * longest_s).ceil() as u64;
        let relays = if s.nodes.talk { nodes } else { 0 };
        let doors = s.nodes.zones.len() as u64 * executors + nodes + relays;
        Needs {
            descriptors: 64 + doors + 2 * nodes + 2 * nodes * USED.min(executors) + clients,
            memory_mb: 256 + nodes * NODE_MB,
            processes: nodes,
            addresses: doors + nodes,
        }
    }

    /// Whether this machine has all of it; what it has not is named with what it has.
    pub fn fit(self) -> Result<(), String> {
        let lacks =
            |what: &str, needs: u64, has: u64| format!("{what}: this run needs {needs}, here are {has}");
        let descriptors = getrlimit(Resource::Nofile).maximum.unwrap_or(u64::MAX);
        if self.descriptors > descriptors {
            return Err(lacks("descriptors", self.descriptors, descriptors));
        }
        let processes = getrlimit(Resource::Nproc).current.unwrap_or(u64::MAX);
        if self.processes > processes {
            return Err(lacks("processes", self.processes, processes));
        }
        let told = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let available = told.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
        let kb = available.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        match kb.map(|kb| kb / 1024).filter(|mb| self.memory_mb > *mb) {
            Some(mb) => Err(lacks("megabytes of memory", self.memory_mb, mb)),
            None => Ok(()),
        }
    }
}

impl Display for Needs {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Needs { descriptors, memory_mb, processes, addresses } = self;
        write!(
            f,
            "{processes} processes, {memory_mb} MB, {descriptors} descriptors, {addresses} loopback addresses"
        )
    }
}

/// What this tool can't play, by its place.
pub fn check(s: &Scenario) -> Result<(), String> {
    let most = |key: &str, value: f64, most: f64| {
        if value > most { Err(format!("{key}: expected {most} at most, found {value}")) } else { Ok(()) }
    };
    most("nodes.count", s.nodes.count as f64, MAX_NODES as f64)?;
    most("executors.count", s.executors.iter().map(|e| e.count).sum::<usize>() as f64, MAX_EXECUTORS as f64)?;
    let slots: u64 = s.executors.iter().map(|e| e.count as u64 * e.slots).sum();
    most("executors.slots", slots as f64, MAX_SLOTS as f64)?;
    most("length_s", s.length_s, MAX_S)?;
    let units = s.tariffs.iter().map(|t| t.per_s).sum::<f64>() * s.length_s;
    most("tariffs.per_s", units, MAX_UNITS as f64)
}

/// Plays a scenario whose storm has been drawn. `logs`: where the nodes' files and logs stay; `account`: the file in which what all
/// processes logged and what happened is merged.
pub fn run(
    scenario: &Scenario,
    program: &Path,
    (logs, account): (Option<&Path>, Option<&Path>),
    told_to_end: Arc<AtomicBool>,
    speaks: bool,
) -> Result<Report, String> {
    check(scenario)?;
    let needs = Needs::of(scenario);
    if speaks {
        eprintln!("needs {needs}");
    }
    needs.fit()?;
    let said = |e: io::Error| e.to_string();
    let most = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: most, maximum: most }).map_err(|e| e.to_string())?;
    let folder = tempfile::tempdir().map_err(said)?;
    let folder_of_nodes = logs.unwrap_or(folder.path());
    let mut fleet = make(scenario, program, folder_of_nodes, told_to_end, speaks).map_err(said)?;
    fleet.accounts = account.is_some();
    fleet.nodes.iter_mut().for_each(|node| node.as_json = account.is_some());
    let played = fleet.start().and_then(|()| fleet.play());
    // Whatever became of it, all that was started ends here.
    fleet.nodes.iter_mut().for_each(Node::kill);
    played?;
    let budgets = audit(&mut fleet);
    if let Some(file) = account {
        accounts(&mut fleet, file).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let per_node_s = scenario.nodes.count as f64 * scenario.length_s;
    let mb = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    let cores = &fleet.cores;
    let mean_cores = cores.iter().sum::<f64>() / (cores.len() as f64).max(1.0);
    let node_cores = (mean_cores, cores.iter().copied().fold(0.0, f64::max));
    let listed = |(least, most): &(u64, u64)| (mb(*least), mb(*most));
    Ok(Report {
        summary: fleet.figures.summary(scenario),
        seed: scenario.seed,
        sent_late: fleet.sent_late,
        call_backs_lost: fleet.call_backs_lost,
        longest_turn_ms: fleet.longest_turn.seconds() * 1e3,
        sends: fleet.figures.sends,
        list_calls: fleet.figures.list_calls,
        list_calls_failed: fleet.figures.list_calls_failed,
        handshakes: fleet.wire.accepted,
        most_connections: fleet.most_open,
        errors: fleet.errors,
        node_memory_mb: fleet.memory.iter().map(listed).collect(),
        node_cores,
        budgets,
        plan: fleet.plan_seen(),
        datagrams_per_s: fleet.datagrams as f64 / per_node_s,
        datagram_bytes_per_s: fleet.datagram_bytes as f64 / per_node_s,
        crashed: std::mem::take(&mut fleet.crashed),
        spread: fleet.spread.figures(scenario.seed),
        seconds: fleet.figures.seconds().to_vec(),
        broken: fleet.book.counts.clone(),
        breaches: fleet.book.breaches.clone(),
    })
}

/// Writes the account of a run; what is broken stands in it at its time.
fn accounts(fleet: &mut Fleet, file: &Path) -> io::Result<()> {
    let mut own = std::mem::take(&mut fleet.account);
    let broken = |b: &Breach| Line::of_rig(b.at_s, "broken", format!("{:?}: {}", b.rule, b.what));
    own.extend(fleet.book.breaches.iter().map(broken));
    let logs: Vec<(String, String)> =
        fleet.nodes.iter().map(|node| (format!("n{}", node.place), node.log())).collect();
    let logs = logs.iter().map(|(of, log)| (of.clone(), log.as_str()));
    let (lines, unread) = merged(fleet.began_unix_s, logs, own);
    if unread > 0 && fleet.speaks {
        eprintln!("{unread} lines of the logs are no JSON and are left out of the account");
    }
    account::write(file, &lines)
}

fn make(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    told_to_end: Arc<AtomicBool>,
    speaks: bool,
) -> io::Result<Fleet> {
    let mut chance = Pcg32::seed_from_u64(scenario.seed ^ (1 << 32));
    let mut addresses = Addresses::take()?;
    let mut wire = Wire::new(Pcg32::seed_from_u64(rand::Rng::random(&mut chance)))?;
    let zones = scenario.nodes.zones.len();
    let mut executors = Vec::new();
    for (place, (of, zone)) in scenario.places().into_iter().enumerate() {
        let e = &scenario.executors[of];
        let make = Make { kind: of, zone, slots: e.slots as usize, of: e.clone() };
        let started = (!e.warm_at_start).then_some(Instant(START));
        let mut doors = Vec::new();
        for _ in 0..zones {
            let (address, link) = (addresses.give(), wire.link());
            doors.push((wire.opens(address, Owner::Executor(place), link)?, address, link));
        }
        executors.push(Executor::new(format!("s-{place}"), Machine::new(make, started), doors));
    }
    let (mut nodes, mut discovery_doors, mut discovery_links) = (Vec::new(), Vec::new(), Vec::new());
    for place in 0..scenario.nodes.count {
        let (address, discovery, link) = (addresses.give(), addresses.give(), wire.link());
        discovery_doors.push(wire.opens(discovery, Owner::Discovery(place), link)?);
        discovery_links.push(link);
        nodes.push(Node::new(place, (address, discovery), program, folder)?);
    }
    let mut relays = Vec::new();
    if scenario.nodes.talk {
        const CONTACTS: usize = 3;
        let known_as: Vec<SocketAddr> = nodes.iter().map(|_| addresses.give()).collect();
        for (node, &address) in nodes.iter_mut().zip(&known_as) {
            relays.push((wire.relays(address)?, wire.link()));
            node.known_as = Some((address, known_as.iter().copied().take(CONTACTS).collect()));
        }
    }
    let widths: Vec<Width> = executors
        .iter()
        .map(|e| Width { slots: e.machine.make.slots, pace: e.machine.make.of.pace })
        .collect();
    let spans = (Instant(START), ms(scenario.settles_s * 1e3), Instant(START) + ms(scenario.length_s * 1e3));
    let mut fleet = Fleet::new(Made {
        scenario: scenario.clone(),
        wire,
        nodes,
        executors,
        discovery_doors,
        discovery_links,
        relays,
        spread: Spread::new(&widths, scenario.mean_size_s(), spans),
        chance,
        errands: schedule(scenario),
        steps: plan(scenario),
        told_to_end,
        speaks,
    });
    let now = fleet.unix_ms();
    for e in &mut fleet.executors {
        e.started_unix_ms = if e.machine.started.is_some() { now } else { 0 };
    }
    fleet.addresses = Some(addresses);
    Ok(fleet)
}

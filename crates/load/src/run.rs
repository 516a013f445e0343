//! One run: starts all, plays the arrivals and the faults, and ends what it started.

use crate::clients;
use crate::discovery::Discovery;
use crate::executor::Executor;
use crate::floor::Floor;
use crate::nodes::{Node, Nodes};
use crate::talk::Talk;
use grebeusher_dispatch::time::Moment;
use grebeusher_emulator::figures::{Summary, say_rules};
use grebeusher_emulator::rules::{Breach, Rule};
use grebeusher_emulator::scenario::{Fault, Scenario, What};
use grebeusher_emulator::stage::{START, ms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// What one machine bears, and nobody waits for longer.
const MOST_NODES: usize = 16;
const MOST_EXECUTORS: usize = 64;
const MOST_SLOTS: u64 = 256;
const MOST_UNITS: usize = 200_000;
const LONGEST_S: f64 = 600.0;

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    #[serde(flatten)]
    pub summary: Summary,
    /// Sent more than 10 ms after their time, as this machine was busy: beyond a few the times say little.
    pub sent_late: u64,
    pub call_backs_lost: u64,
    /// The last words of nodes that ended by themselves.
    pub crashed: Vec<String>,
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
        writeln!(f, "sent late {}, call-backs lost {}", self.sent_late, self.call_backs_lost)?;
        self.crashed.iter().try_for_each(|words| writeln!(f, "a node CRASHED: {words}"))?;
        say_rules(f, &self.broken, &self.breaches)
    }
}

/// What this tool can't play, by its place.
pub fn check(s: &Scenario) -> Result<(), String> {
    let bounded = |key: &str, value: u64, most: u64| {
        if value <= most {
            Ok(())
        } else {
            Err(format!("{key}: expected {most} at most on sockets, found {value}"))
        }
    };
    let executors: usize = s.executors.iter().map(|e| e.count).sum();
    bounded("nodes.count", s.nodes.count as u64, MOST_NODES as u64)?;
    bounded("executors: count in all", executors as u64, MOST_EXECUTORS as u64)?;
    bounded(
        "executors: slots in all",
        s.executors.iter().map(|e| e.count as u64 * e.slots).sum(),
        MOST_SLOTS,
    )?;
    let units: f64 = s.tariffs.iter().map(|t| t.per_s * s.length_s).sum();
    bounded("tariffs: units in all", units as u64, MOST_UNITS as u64)?;
    bounded("length_s", s.length_s as u64, LONGEST_S as u64)?;
    for (at, fault) in s.faults.iter().enumerate() {
        if matches!(fault.what, What::CutZone | What::Silence) {
            return Err(format!("faults[{at}].what: this fault can't be played on sockets"));
        }
    }
    Ok(())
}

pub fn run(scenario: &Scenario, program: &Path) -> Result<Report, String> {
    check(scenario)?;
    let said = |e: std::io::Error| e.to_string();
    let folder = tempfile::tempdir().map_err(said)?;
    let floor = Arc::new(Floor::new(scenario.clone()));
    let nodes: Nodes = (0..scenario.nodes.count)
        .map(|place| Node::new(place, program, &folder).map(Arc::new))
        .collect::<Result<_, _>>()
        .map_err(said)?;
    let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
    let zones = scenario.nodes.zones.len();
    let makes = scenario.executors.iter().flat_map(|e| (0..e.count).map(move |_| e));
    let executors: Vec<Arc<Executor>> = makes
        .enumerate()
        .map(|(place, make)| Executor::start(&floor, make, (place, place % zones), addresses.clone()))
        .collect::<Result<_, _>>()
        .map_err(said)?;
    let discovery = Discovery::start(&floor, &executors).map_err(said)?;
    let known = discovery.whole();
    for node in &nodes {
        node.start(&floor, discovery.address, &known).map_err(said)?;
    }
    nodes.iter().try_for_each(|node| is_ready(node))?;
    floor.begin();
    let errands = clients::schedule(scenario);
    let faults = {
        let play = Faults { floor: floor.clone(), nodes: nodes.clone(), executors, discovery };
        thread::spawn(move || play.play())
    };
    let sent_late = clients::play(&floor, &nodes, errands);
    let crashed: Vec<String> = nodes.iter().filter_map(|node| node.has_crashed()).collect();
    floor.stop();
    let restarts = faults.join().map_err(|_| "the faults were not played to their end".to_owned())?;
    nodes.iter().filter(|node| node.life().is_some()).for_each(|node| node.kill());
    let book = floor.book();
    Ok(Report {
        summary: floor.figures().summary(scenario),
        sent_late,
        call_backs_lost: floor.call_backs_lost.load(Ordering::Relaxed),
        crashed: crashed.into_iter().chain(restarts).collect(),
        broken: book.counts.clone(),
        breaches: book.breaches.clone(),
    })
}

/// Waits until a node says yes.
fn is_ready(node: &Node) -> Result<(), String> {
    const WITHIN: Duration = Duration::from_secs(10);
    let began = Instant::now();
    while began.elapsed() < WITHIN {
        let asked = Talk::to(node.address, WITHIN).and_then(|mut talk| {
            talk.bear(WITHIN)?;
            talk.raw(b"GET /ready HTTP/1.1\r\n\r\n")?;
            talk.answer()
        });
        if asked.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(format!("node {} is not ready", node.place))
}

struct Faults {
    floor: Arc<Floor>,
    nodes: Nodes,
    executors: Vec<Arc<Executor>>,
    discovery: Arc<Discovery>,
}

impl Faults {
    /// Plays all faults at their times; tells of nodes that could not be started anew.
    fn play(self) -> Vec<String> {
        let scenario = &self.floor.scenario;
        let mut chance = Pcg32::seed_from_u64(scenario.seed ^ u64::MAX);
        let mut steps: Vec<(Moment, usize, bool, Vec<usize>)> = Vec::new();
        for (at, fault) in scenario.faults.iter().enumerate() {
            let whom = self.whom(fault, &mut chance);
            let strikes = Moment(START) + ms(fault.at_s * 1e3);
            steps.push((strikes, at, true, whom.clone()));
            steps.push((strikes + ms(fault.for_s * 1e3), at, false, whom));
        }
        steps.sort_by_key(|(when, ..)| *when);
        let mut wrong = Vec::new();
        for (when, fault, strikes, whom) in steps {
            if !self.floor.wait_until(when) {
                break;
            }
            let fault = &scenario.faults[fault];
            for &at in &whom {
                self.step(fault, at, strikes).unwrap_or_else(|what| wrong.push(what));
            }
            if fault.what == What::DiscoveryDown {
                self.discovery.goes_down(strikes);
            }
        }
        wrong
    }

    fn whom(&self, fault: &Fault, chance: &mut impl Rng) -> Vec<usize> {
        let count = match fault.what {
            What::RestartNodes => self.nodes.len(),
            What::DiscoveryDown => 0,
            _ => self.executors.len(),
        };
        self.floor.scenario.whom(fault, count, chance)
    }

    fn step(&self, fault: &Fault, at: usize, strikes: bool) -> Result<(), String> {
        let factor = fault.slows_by();
        match (fault.what, strikes) {
            (What::KillExecutors, true) => self.executors[at].kill(),
            (What::KillExecutors, false) => {
                self.executors[at].rise();
                self.discovery.says(at, "active");
            }
            (What::DrainExecutors, true) => self.discovery.says(at, "leaving"),
            (What::DrainExecutors, false) => {
                self.executors[at].kill();
                self.executors[at].rise();
                self.discovery.says(at, "active");
            }
            (What::SlowExecutors, true) => self.executors[at].slow(factor),
            (What::SlowExecutors, false) => self.executors[at].slow(1.0 / factor),
            (What::FailExecutors, strikes) => self.executors[at].fail(strikes),
            (What::RestartNodes, true) => self.nodes[at].kill(),
            (What::RestartNodes, false) => {
                let known = self.discovery.whole();
                let node = &self.nodes[at];
                node.start(&self.floor, self.discovery.address, &known).map_err(|e| e.to_string())?;
                is_ready(node)?;
            }
            (What::CutZone | What::DiscoveryDown | What::Silence, _) => {}
        }
        Ok(())
    }
}

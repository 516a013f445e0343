//! Hollow fleets: real nodes and beating executors without traffic, to count what standing by costs each node.

use super::Fleet;
use crate::scenario::{Load, Scenario, Shape, ZoneShape};
use crate::stage::Class;
use grebeusher_tier::runtime::traffic::{FRAME_KINDS, FrameTotals, TIMER_KINDS, Traffic};
use grebeusher_time::{Duration, DurationExt, Instant};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;

/// Zones of a hollow fleet.
const ZONES: usize = 4;
/// Edge machines with a disk in each zone.
const DISKS_A_ZONE: usize = 2;
/// One machine in this many keeps batch jobs.
const STORAGE_ONE_IN: usize = 7;
/// Traffic would begin after this, which no hollow fleet lives to see (seconds).
const NO_TRAFFIC_S: f64 = 1e6;
/// Services whose executors beat.
const SERVICES: usize = 3;

/// What a hollow fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct Hollow {
    /// Machines of the tier.
    pub machines: usize,
    /// Executors, of all services together.
    pub executors: usize,
    /// For all that is left to chance.
    pub seed: u64,
    /// How long the fleet finds its feet.
    pub settle: Duration,
    /// How long is counted.
    pub measure: Duration,
}

/// What one node did in the time that was counted.
#[derive(Clone, Debug, Default)]
pub struct NodeCost {
    /// Its counters, as differences.
    pub traffic: Traffic,
    /// Processor time of its turns, the simulated sockets included.
    pub processor: Duration,
}

/// What a hollow fleet's nodes did.
#[derive(Clone, Debug)]
pub struct Idle {
    /// How long was counted.
    pub measured: Duration,
    /// Each node with what it is.
    pub nodes: Vec<(&'static str, NodeCost)>,
}

/// The processor time of each life's turns.
#[derive(Debug, Default)]
pub(super) struct Meter {
    spent: BTreeMap<usize, Duration>,
}

impl Meter {
    /// The processor time of this thread.
    pub(super) fn read() -> Duration {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        Duration::from_nanos(time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64)
    }

    pub(super) fn add(&mut self, life: usize, since: Duration) {
        let spent = Duration::from_nanos(Meter::read().nanos().saturating_sub(since.nanos()));
        let sum = self.spent.entry(life).or_insert(Duration::from_nanos(0));
        *sum += spent;
    }
}

impl Hollow {
    /// The fleet's scenario: no traffic, no faults.
    pub fn scenario(&self) -> Scenario {
        let storage = (self.machines / STORAGE_ONE_IN).max(ZONES + 1);
        let edges = self.machines - storage;
        let partition = |all: usize, zone: usize| all / ZONES + usize::from(zone < all % ZONES);
        let zones = (0..ZONES).map(|zone| ZoneShape {
            name: format!("zone-{zone}"),
            region: "region".to_owned(),
            edge: partition(edges, zone),
            disks: DISKS_A_ZONE,
            storage: partition(storage, zone),
        });
        Scenario {
            name: "hollow".to_owned(),
            shape: Shape {
                zones: zones.collect(),
                losses: 2,
                in_zone_ms: 0.2,
                cross_zone_ms: 0.5,
                cross_region_ms: 10.0,
                storage_link_mbps: None,
                sync_ms: 0.5,
            },
            load: Load {
                lead_s: NO_TRAFFIC_S,
                executors: self.executors.div_ceil(SERVICES),
                ballast_routes: 0,
                reads_per_s: 0.0,
                ..Load::default()
            },
            faults: Vec::new(),
            closing: None,
            closing_when: crate::scenario::When::default(),
            broken: crate::scenario::Broken::default(),
        }
    }

    /// Runs the fleet and counts.
    pub fn run(&self) -> Idle {
        let mut fleet = Fleet::new(self.scenario(), self.seed);
        fleet.run_until(Instant(0) + self.settle);
        let before = fleet.traffic_by_life();
        fleet.meter = Some(Meter::default());
        fleet.run_until(Instant(0) + self.settle + self.measure);
        let meter = fleet.meter.take().unwrap_or_default();
        let mut nodes = Vec::new();
        for (life, after) in fleet.traffic_by_life() {
            let Some(before) = before.get(&life) else { continue };
            let processor = meter.spent.get(&life).copied().unwrap_or(Duration::from_nanos(0));
            nodes.push((
                fleet.kind_of_life(life),
                NodeCost { traffic: difference(&after, before), processor },
            ));
        }
        Idle { measured: self.measure, nodes }
    }
}

impl Fleet {
    /// Lets time pass up to a moment.
    pub(super) fn run_until(&mut self, end: Instant) {
        while let Some(happening) = self.next(end) {
            self.happens(happening);
        }
    }

    fn traffic_by_life(&self) -> BTreeMap<usize, Traffic> {
        self.nodes.iter().map(|(life, node)| (*life, node.traffic().clone())).collect()
    }

    fn kind_of_life(&self, life: usize) -> &'static str {
        match self.machines.iter().find(|machine| machine.life == Some(life)) {
            Some(machine) if machine.class == Class::Storage => "storage",
            Some(machine) if machine.counted => "edge with a disk",
            _ => "edge",
        }
    }
}

fn difference(after: &Traffic, before: &Traffic) -> Traffic {
    let mut traffic = after.clone();
    traffic.turns -= before.turns;
    traffic.turns_by_events -= before.turns_by_events;
    traffic.registry_ticks -= before.registry_ticks;
    traffic.partition_ticks -= before.partition_ticks;
    for (now, then) in traffic.timers.iter_mut().zip(before.timers) {
        *now -= then;
    }
    let now = traffic.sent.iter_mut().chain(&mut traffic.received);
    for (now, then) in now.zip(before.sent.iter().chain(&before.received)) {
        now.frames -= then.frames;
        now.bytes -= then.bytes;
    }
    traffic
}

/// All frames of some kinds together.
pub fn sum(tallies: &[FrameTotals]) -> FrameTotals {
    tallies.iter().fold(FrameTotals::default(), |sum, tally| FrameTotals {
        frames: sum.frames + tally.frames,
        bytes: sum.bytes + tally.bytes,
    })
}

impl NodeCost {
    /// Frames in and out.
    pub fn frames(&self) -> FrameTotals {
        let (sent, received) = (sum(&self.traffic.sent), sum(&self.traffic.received));
        FrameTotals { frames: sent.frames + received.frames, bytes: sent.bytes + received.bytes }
    }
}

impl Idle {
    /// The nodes of a kind.
    pub fn of(&self, kind: &str) -> Vec<&NodeCost> {
        self.nodes.iter().filter(|(of, _)| *of == kind).map(|(_, cost)| cost).collect()
    }

    /// A table: by kind of node, the mean and the most a second.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for kind in ["edge", "edge with a disk", "storage"] {
            let nodes = self.of(kind);
            if nodes.is_empty() {
                continue;
            }
            text += &format!("{kind}: {} nodes, a second and node (mean, most)\n", nodes.len());
            let mut row = |name: &str, value: &dyn Fn(&NodeCost) -> f64| {
                let (mean, most) = self.spread(&nodes, value);
                if most > 0.0 {
                    text += &format!("  {name:<28} {mean:10.2} {most:10.2}\n");
                }
            };
            row("wake-ups", &|cost| cost.traffic.turns as f64);
            row("wake-ups by sockets", &|cost| cost.traffic.turns_by_events as f64);
            row("registry ticks", &|cost| cost.traffic.registry_ticks as f64);
            row("part ticks", &|cost| cost.traffic.partition_ticks as f64);
            row("messages in and out", &|cost| cost.frames().frames as f64);
            row("bytes in and out", &|cost| cost.frames().bytes as f64);
            row("processor, microseconds", &|cost| cost.processor.nanos() as f64 / 1e3);
            for (kind, name) in TIMER_KINDS.iter().enumerate() {
                row(&format!("timer {name}"), &|cost| cost.traffic.timers[kind] as f64);
            }
            for (kind, name) in FRAME_KINDS.iter().enumerate() {
                row(&format!("{name} out"), &|cost| cost.traffic.sent[kind].frames as f64);
                row(&format!("{name} out, bytes"), &|cost| cost.traffic.sent[kind].bytes as f64);
            }
        }
        text
    }

    /// Mean and most of a figure, a second.
    pub fn spread(&self, nodes: &[&NodeCost], value: &dyn Fn(&NodeCost) -> f64) -> (f64, f64) {
        let seconds = self.measured.seconds();
        let values = nodes.iter().map(|cost| value(cost) / seconds);
        let most = values.clone().fold(0.0, f64::max);
        (values.sum::<f64>() / nodes.len().max(1) as f64, most)
    }
}

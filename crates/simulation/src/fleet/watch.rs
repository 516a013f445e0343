//! The fleet's stop-watch: leaders that are replaced, configurations that reach all nodes. It looks on and changes nothing.

use super::Fleet;
use crate::stage::Class;
use crate::times::{Times, What};
use grebeusher_quorum::ReplicaId;
use grebeusher_tier::node::Node;
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// Partitions of the tier: the configuration and three of batch jobs.
const PARTITIONS: usize = 4;

/// What is under way.
#[derive(Default)]
pub(super) struct Watch {
    pub(super) times: Times,
    /// The life that leads each partition.
    leaders: BTreeMap<u8, usize>,
    /// Partitions whose leader is gone: since when, and which life it was.
    orphans: BTreeMap<u8, (Instant, usize)>,
    /// Configurations on their way: the version, when it was acknowledged, and the lives that don't have it.
    spreading: Vec<(u64, Instant, BTreeSet<usize>)>,
    /// Classes of machines of which one came with an empty disk, and when, until their groups are whole.
    repairing: Vec<(Class, Instant)>,
    /// When the machines were back from a final fault, until each partition has a leader.
    back: Option<Instant>,
}

impl Fleet {
    /// A process has had its turn.
    pub(super) fn watch_turn(&mut self, life: usize) {
        let now = self.now();
        let Some(node) = self.nodes.get(&life) else { return };
        for partition in node.led_partitions() {
            self.watch.led(partition, life, now);
        }
        let version = node.configuration_version();
        let watch = &mut self.watch;
        for (_, _, lives) in watch.spreading.iter_mut().filter(|(number, ..)| *number <= version) {
            lives.remove(&life);
        }
        watch.note_applied(now);
        self.watch_repairs();
    }

    /// A machine that counts starts with an empty disk.
    pub(super) fn watch_empty_disk(&mut self, machine: usize) {
        let class = self.machines[machine].class;
        let now = self.now();
        self.watch.repairing.push((class, now));
    }

    fn watch_repairs(&mut self) {
        if self.watch.repairing.is_empty() {
            return;
        }
        let now = self.now();
        for class in [Class::Edge, Class::Storage] {
            if self.groups_are_whole(class) {
                let whole = self.watch.repairing.extract_if(.., |(of, _)| *of == class);
                let times: Vec<Duration> = whole.map(|(_, since)| now.since(since)).collect();
                self.watch.times.taken.extend(times.into_iter().map(|time| (What::GroupWhole, time)));
            }
        }
    }

    /// Whether each partition of a class has a leader whose group is decided and names only disks of running machines.
    fn groups_are_whole(&self, class: Class) -> bool {
        let partitions = if class == Class::Edge { 0..1 } else { 1..PARTITIONS as u8 };
        let running: BTreeSet<ReplicaId> = self.nodes.values().filter_map(Node::replica_id).collect();
        partitions.into_iter().all(|partition| {
            let leader = self.watch.leaders.get(&partition).and_then(|life| self.nodes.get(life));
            let voters = leader.and_then(|node| node.settled_voters(partition));
            voters.is_some_and(|voters| voters.iter().all(|voter| running.contains(voter)))
        })
    }

    /// A configuration was acknowledged.
    pub(super) fn watch_acknowledged(&mut self, number: u64) {
        let edges = self.machines.iter().filter(|machine| machine.class == Class::Edge);
        let running = edges.filter_map(|machine| machine.life);
        let has =
            |life: &usize| self.nodes.get(life).is_some_and(|node| node.configuration_version() >= number);
        let lives: BTreeSet<usize> = running.filter(|life| !has(life)).collect();
        let now = self.now();
        self.watch.spreading.push((number, now, lives));
        self.watch.note_applied(now);
    }

    /// A life has ended or stands still.
    pub(super) fn watch_gone(&mut self, life: usize) {
        let now = self.now();
        let watch = &mut self.watch;
        let led = watch.leaders.extract_if(.., |_, leader| *leader == life);
        let led: Vec<u8> = led.map(|(partition, _)| partition).collect();
        for partition in led {
            watch.orphans.entry(partition).or_insert((now, life));
        }
        for (_, _, lives) in &mut watch.spreading {
            lives.remove(&life);
        }
    }

    /// A life goes on.
    pub(super) fn watch_thawed(&mut self, life: usize) {
        self.watch.orphans.retain(|_, (_, leader)| *leader != life);
    }

    /// A final fault strikes; the machines will be back then.
    pub(super) fn watch_closing(&mut self, back: Instant) {
        self.watch.back = Some(back);
        self.watch.leaders.clear();
        self.watch.orphans.clear();
        self.watch.spreading.clear();
    }
}

impl Watch {
    fn led(&mut self, partition: u8, life: usize, now: Instant) {
        if self.leaders.get(&partition) == Some(&life) {
            return;
        }
        match self.orphans.get(&partition) {
            // It was frozen, and does not know yet that others went on.
            Some((_, leader)) if *leader == life => return,
            Some((since, _)) => self.times.taken.push((What::LeaderReplaced, now.since(*since))),
            None => {}
        }
        self.orphans.remove(&partition);
        self.leaders.insert(partition, life);
        if let Some(back) = self.back.filter(|back| now > *back && self.leaders.len() == PARTITIONS) {
            self.times.taken.push((What::QuorumBack, now.since(back)));
            self.back = None;
        }
    }

    fn note_applied(&mut self, now: Instant) {
        for (_, since, _) in self.spreading.extract_if(.., |(_, _, lives)| lives.is_empty()) {
            self.times.taken.push((What::Applied, now.since(since)));
        }
    }
}

//! Many machines that restart together: what the others are asked for, in a fleet without traffic.

use super::Fleet;
use super::hollow::{Hollow, sum};
use crate::stage::Class;
use grebeusher_tier::runtime::traffic::FrameTotals;
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;

/// The stretch in which the busiest node is looked for.
const STRETCH: Duration = Duration::from_millis(100);
/// The processes start again within this span after they were killed.
const START_TIMEOUT_MS: u64 = 300;
/// All are to be back by then.
const LONGEST: Duration = Duration::from_millis(20_000);

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wave {
    /// How many restarted.
    pub restarted: usize,
    /// When all of them were ready for clients and had the configuration, from their end; `None`: never.
    pub all_back: Option<Duration>,
    /// The most that a node sent within a tenth of a second.
    pub most_sent: FrameTotals,
    /// The most that a node sent within a tenth of a second while nothing happened.
    pub most_sent_at_rest: FrameTotals,
    /// The most that a node that restarted was sent in all.
    pub most_brought: FrameTotals,
}

/// Has up to `count` edge machines without a disk restart together, in a fleet that has settled.
pub fn restart_together(hollow: &Hollow, count: usize) -> Wave {
    let mut fleet = Fleet::new(hollow.scenario(), hollow.seed);
    fleet.run_until(Instant(0) + hollow.settle);
    let mut wave = Wave::default();
    let calm = fleet.now() + hollow.measure;
    while fleet.now() < calm {
        let most = fleet.stretch();
        wave.most_sent_at_rest = larger(wave.most_sent_at_rest, most);
    }
    let restarted = fleet.kill_edges(count);
    wave.restarted = restarted.len();
    let ended = fleet.now();
    while wave.all_back.is_none() && fleet.now() < ended + LONGEST {
        let most = fleet.stretch();
        wave.most_sent = larger(wave.most_sent, most);
        if fleet.all_serve(&restarted) {
            wave.all_back = Some(fleet.now().since(ended));
        }
    }
    // What still comes when all are back counts as well.
    let after = fleet.now() + hollow.measure;
    while fleet.now() < after {
        let most = fleet.stretch();
        wave.most_sent = larger(wave.most_sent, most);
    }
    wave.most_brought = fleet.most_brought(&restarted);
    wave
}

fn larger(one: FrameTotals, other: FrameTotals) -> FrameTotals {
    FrameTotals { frames: one.frames.max(other.frames), bytes: one.bytes.max(other.bytes) }
}

impl Fleet {
    /// Lets a stretch pass: the most that one node sent in it.
    fn stretch(&mut self) -> FrameTotals {
        let sent = |fleet: &Fleet| -> BTreeMap<usize, FrameTotals> {
            fleet.nodes.iter().map(|(life, node)| (*life, sum(&node.traffic().sent))).collect()
        };
        let before = sent(self);
        let end = self.now() + STRETCH;
        self.run_until(end);
        let more = sent(self).into_iter().map(|(life, now)| {
            let then = before.get(&life).copied().unwrap_or_default();
            FrameTotals { frames: now.frames - then.frames, bytes: now.bytes - then.bytes }
        });
        more.fold(FrameTotals::default(), larger)
    }

    /// Kills the processes of edge machines without a disk; they start again at once. Which.
    fn kill_edges(&mut self, count: usize) -> Vec<usize> {
        let plain = (0..self.machines.len()).filter(|machine| {
            self.machines[*machine].class == Class::Edge && !self.machines[*machine].counted
        });
        let killed: Vec<usize> = plain.take(count).collect();
        for (place, machine) in killed.iter().enumerate() {
            self.end_life(*machine, false);
            let wait = Duration::from_millis(START_TIMEOUT_MS * place as u64 / killed.len() as u64);
            self.later(wait, super::step::Step::StartMachine { machine: *machine });
        }
        killed
    }

    fn all_serve(&self, machines: &[usize]) -> bool {
        machines.iter().all(|machine| {
            let node = self.machines[*machine].life.and_then(|life| self.nodes.get(&life));
            node.is_some_and(|node| node.is_ready() && node.configuration_version() > 0)
        })
    }

    fn most_brought(&self, machines: &[usize]) -> FrameTotals {
        let lives = machines.iter().filter_map(|machine| self.machines[*machine].life);
        let nodes = lives.filter_map(|life| self.nodes.get(&life));
        nodes.map(|node| sum(&node.traffic().received)).fold(FrameTotals::default(), larger)
    }
}

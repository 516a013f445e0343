//! Fair sharing of the executors' capacity among the leaders of the partitions. Each leader finds capacity by itself; one
//! with many runs gets more reports of it, and would keep what it has while the queue of another grows.

use std::collections::BTreeMap;

use grebeusher_time::{Duration, Instant};

/// A leader's report is valid for this long: several times the interval of its reports.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// Runs beyond its share that a leader may have, so that all of them together can grow into new capacity. With some 16
/// reports of each leader a second a few hundred slots are taken within a second.
const HEADROOM: f64 = 24.0;
/// The same as a fraction of its share.
const HEADROOM_SHARE: f64 = 0.1;

/// Items of one partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionLoad {
    /// Items that run.
    pub running: u32,
    /// Items that wait for capacity.
    pub waiting: u32,
}

impl PartitionLoad {
    fn wanted(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: PartitionLoad,
    at: Instant,
}

/// The latest reports of the leaders, by the number of their partition.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    reports: BTreeMap<u8, LoadReport>,
}

impl FairShare {
    /// The leader of a partition reported its load.
    pub fn observe(&mut self, now: Instant, partition: u8, load: PartitionLoad) {
        self.reports.insert(partition, LoadReport { load, at: now });
    }

    /// Whether a partition with this load may start a further item: always while no other partition has waiting items;
    /// else up to its share of all runs, by how many items each partition has, and a little beyond.
    pub fn may_start(&self, now: Instant, partition: u8, own: PartitionLoad) -> bool {
        let others = self.reports.iter().filter(|(other, _)| **other != partition);
        let fresh = others.filter(|(_, report)| now.since(report.at) < REPORT_TTL);
        let others: Vec<PartitionLoad> = fresh.map(|(_, report)| report.load).collect();
        if others.iter().all(|other| other.waiting == 0) {
            return true;
        }
        let running = others.iter().fold(f64::from(own.running), |sum, other| sum + f64::from(other.running));
        let wanted = others.iter().fold(own.wanted(), |sum, other| sum + other.wanted());
        let share = running * own.wanted() / wanted.max(1.0);
        f64::from(own.running) < share * (1.0 + HEADROOM_SHARE) + HEADROOM
    }
}

//! Divides the executors' capacity fairly among the leaders of the partitions. Each leader finds free capacity by
//! itself, and a leader with many runs gets more reports of free capacity. Without a limit it would keep its share
//! while the queues of other leaders grow.

use std::collections::BTreeMap;

use grebeusher_time::{Duration, Instant};

/// How long the load report of a leader stays valid. Leaders send several reports within this time.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// The number of runs beyond its share that a leader may start, so that all leaders together can use new capacity.
/// With about 16 reports a second from each leader, a few hundred new slots are taken within a second.
const HEADROOM_RUNS: f64 = 24.0;
/// The further runs beyond its share that a leader may start, as a fraction of the share.
const HEADROOM_FRACTION: f64 = 0.1;

/// The number of items that run and wait in one partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionLoad {
    /// The number of running items.
    pub running: u32,
    /// The number of items that wait for capacity.
    pub waiting: u32,
}

impl PartitionLoad {
    fn demand(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: PartitionLoad,
    received_at: Instant,
}

/// The latest load report of each partition's leader, by the number of the partition.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    reports: BTreeMap<u8, LoadReport>,
}

impl FairShare {
    /// Records a load report from the leader of a partition.
    pub fn observe(&mut self, now: Instant, partition: u8, load: PartitionLoad) {
        self.reports.insert(partition, LoadReport { load, received_at: now });
    }

    /// Whether a partition whose load is `own` may start another item. If no other partition has waiting items, it
    /// always may. Otherwise it may have its share of all runs, in proportion to its running and waiting items, plus
    /// the headroom.
    pub fn may_start(&self, now: Instant, partition: u8, own: PartitionLoad) -> bool {
        let others = self.reports.iter().filter(|(other, _)| **other != partition);
        let fresh = others.filter(|(_, report)| now.since(report.received_at) < REPORT_TTL);
        let others: Vec<PartitionLoad> = fresh.map(|(_, report)| report.load).collect();
        if others.iter().all(|other| other.waiting == 0) {
            return true;
        }
        let running = others.iter().fold(f64::from(own.running), |sum, other| sum + f64::from(other.running));
        let demand = others.iter().fold(own.demand(), |sum, other| sum + other.demand());
        let share = running * own.demand() / demand.max(1.0);
        f64::from(own.running) < share * (1.0 + HEADROOM_FRACTION) + HEADROOM_RUNS
    }
}

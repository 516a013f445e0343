//! Leaders of batch partitions tell each other how many items run and wait, so that each takes its share of the executors' room.

use crate::batch::api::BATCH_PARTITIONS;
use crate::links::messages::{BatchLoad, Channel};
use crate::node::Node;
use grebeusher_batch::PartitionLoad;
use grebeusher_time::Duration;
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddrV4;

/// How often a leader with items tells: a share of how long an item runs.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(60);

impl Node {
    /// The leader of another partition tells its load.
    pub(crate) fn receive_batch_load(&mut self, payload: &[u8]) {
        let Ok(report) = <BatchLoad as DeBin>::deserialize_bin(payload) else { return };
        if (1..=BATCH_PARTITIONS).contains(&report.partition) {
            let load = PartitionLoad { running: report.running, waiting: report.waiting };
            self.items.shares.observe(self.now, report.partition, load);
        }
    }

    /// Tells the leaders of the other partitions what the items of a led one are at.
    pub(crate) fn tell_batch_load(&mut self, place: usize) {
        let now = self.now;
        let partition = self.partitions[place].partition;
        let load = self.batch_load(place);
        if load == PartitionLoad::default()
            || now < self.items.load_reported.get(&partition).map_or(now, |at| *at + LOAD_REPORT_INTERVAL)
        {
            return;
        }
        self.items.load_reported.insert(partition, now);
        let report = BatchLoad { partition, running: load.running, waiting: load.waiting };
        let others = (1..=BATCH_PARTITIONS).filter(|other| *other != partition);
        let mut leaders: Vec<SocketAddrV4> = others.filter_map(|other| self.known_leader(other)).collect();
        leaders.sort_unstable();
        leaders.dedup();
        for leader in leaders {
            self.send_frame(leader, Channel::BatchLoad, &report.serialize_bin());
        }
    }

    /// Whether a led partition may begin a further item beside those of the other partitions.
    pub(crate) fn has_fair_share(&mut self, place: usize) -> bool {
        let partition = self.partitions[place].partition;
        let load = self.batch_load(place);
        self.items.shares.may_start(self.now, partition, load)
    }

    /// The items of a partition, if this node runs them.
    pub(crate) fn batch_load(&mut self, place: usize) -> PartitionLoad {
        self.batch_mut(place).map_or(PartitionLoad::default(), |partition| partition.runner.load())
    }
}

//! The reports in which leaders of batch partitions tell each other how many of their items are running and
//! waiting, so that each uses only its share of the executors' capacity.
//!
//! `LoadReports` owns the load that other leaders reported and the time at which this node last reported; it
//! sends nothing itself.

use crate::batch::api::BATCH_PARTITIONS;
use crate::links::messages::BatchLoad;
use grebeusher_batch::{FairShare, PartitionLoad};
use grebeusher_time::{Duration, Instant};
use nanoserde::DeBin;
use std::collections::BTreeMap;

/// The interval at which a leader with items reports its load. It is a fraction of the time that an item
/// runs.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(60);

/// The load of the batch partitions as reported by their leaders.
#[derive(Default)]
pub(crate) struct LoadReports {
    fair_share: FairShare,
    /// The time at which this node last reported the load of each partition that it leads.
    last_reported: BTreeMap<u8, Instant>,
}

impl LoadReports {
    /// Receives the load that the leader of another partition reports. Malformed reports and those on unknown
    /// partitions are ignored.
    pub fn receive(&mut self, now: Instant, payload: &[u8]) {
        let Ok(report) = <BatchLoad as DeBin>::deserialize_bin(payload) else { return };
        if (1..=BATCH_PARTITIONS).contains(&report.partition) {
            let load = PartitionLoad { running: report.running, waiting: report.waiting };
            self.fair_share.observe(now, report.partition, load);
        }
    }

    /// The report on a led partition, if the partition has items and a report is due. Notes that it is sent
    /// now.
    pub fn take_due(&mut self, now: Instant, partition: u8, load: PartitionLoad) -> Option<BatchLoad> {
        let is_due =
            self.last_reported.get(&partition).is_none_or(|last| now >= *last + LOAD_REPORT_INTERVAL);
        if load == PartitionLoad::default() || !is_due {
            return None;
        }
        self.last_reported.insert(partition, now);
        Some(BatchLoad { partition, running: load.running, waiting: load.waiting })
    }

    /// Whether a led partition may start another item without exceeding its share of the executors' capacity.
    pub fn may_start(&mut self, now: Instant, partition: u8, load: PartitionLoad) -> bool {
        self.fair_share.may_start(now, partition, load)
    }
}

//! The disk and memory budget of each partition, which determines when its log is compacted into a snapshot.

use crate::batch::api::BATCH_PARTITIONS;

/// The share of a disk that the partitions may use. The disk identity, the hints and the file system need the rest.
const USED_SHARE: f64 = 0.95;
/// A log may always take the budget of its partition divided by this, so that a large state is not written again for every
/// small entry.
const MIN_LOG_DIVISOR: usize = 8;
/// The share of the budget of a partition that its state may take.
const MAX_STATE_SHARE: f64 = 0.8;
/// The log of one partition may take the memory divided by this before it is compacted, even if the disk could hold more.
/// Three logs leave half of the memory free, in which they are compacted one after the other.
const LOG_MEMORY_DIVISOR: usize = 6;
/// The jobs of one partition may take the memory divided by this.
const JOBS_MEMORY_DIVISOR: usize = 4;

/// The disk and memory budget of one partition.
///
/// The jobs refer to the log entries in memory, so that they take almost no memory in addition to the log. The excess of a
/// long log is the bodies of completed items: about a third of the log, as the result texts are longer and are kept for
/// readers. A snapshot is a copy of the whole state. It takes memory in addition to the log while it is made, and once more
/// while it is written to the disk: at that moment the partition takes the memory of the log and two or three times that of
/// the texts, and only after it less. The peak is therefore lowest if the log is compacted as late as the disk and the
/// memory allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskBudget {
    /// The maximum size of state and log on the disk, in bytes.
    partition_bytes: usize,
    /// The maximum size of the log in memory, in bytes.
    max_log_bytes: usize,
}

impl DiskBudget {
    /// Returns the budget of a batch partition on a node with a disk and a memory of these sizes, in bytes. A node may hold
    /// replicas of all batch partitions. A new snapshot is written next to the former one, of one partition at a time, which
    /// takes one more share.
    pub fn for_batch_partition(disk: usize, memory: usize) -> DiskBudget {
        let shares = usize::from(BATCH_PARTITIONS) + 1;
        let used = disk as f64 * USED_SHARE;
        DiskBudget { partition_bytes: used as usize / shares, max_log_bytes: memory / LOG_MEMORY_DIVISOR }
    }

    /// Returns the budget of the configuration partition on a disk of this size, in bytes. The configuration is small: its log
    /// is kept short so that new members catch up quickly.
    pub fn for_configuration(disk: usize) -> DiskBudget {
        const MAX_LOG_BYTES: usize = 2 * 1024 * 1024;
        DiskBudget { partition_bytes: disk / 4, max_log_bytes: MAX_LOG_BYTES }
    }

    /// Returns the size of the log above which it is compacted, in bytes, for a state of `state` bytes.
    pub fn max_log_bytes(self, state: usize) -> usize {
        let min_log = (self.partition_bytes / MIN_LOG_DIVISOR).min(self.max_log_bytes);
        self.partition_bytes.saturating_sub(state).clamp(min_log, self.max_log_bytes)
    }

    /// Returns the maximum size of the jobs of a partition, in bytes, on a node with `memory` bytes of memory: the disk must
    /// hold them too.
    pub fn max_job_bytes(self, memory: usize) -> usize {
        let state = self.partition_bytes as f64 * MAX_STATE_SHARE;
        (memory / JOBS_MEMORY_DIVISOR).min(state as usize)
    }
}

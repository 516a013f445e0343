//! How much of a disk each partition may take, and so when its log is written anew as a snapshot.

use crate::batch::api::BATCH_PARTITIONS;

/// The share of a disk that the partitions use: identities, hints and the file system's own need some.
const USED_SHARE: f64 = 0.95;
/// A log may always take this share of its partition's room, so that a large state is not written anew for every little entry.
const MIN_LOG_SHARE: usize = 8;
/// The share of a partition's room that its state may take.
const MAX_STATE_SHARE: f64 = 0.8;
/// The share of the memory that the log of one partition may take before it is written anew, where the disk would bear more.
/// Three logs leave half of the memory, in which one of them after another can be written anew.
const LOG_MEMORY_SHARE: usize = 6;
/// The share of the memory that the jobs of one partition may take.
const JOBS_MEMORY_SHARE: usize = 4;

/// What one partition may take.
///
/// The jobs refer to the entries in memory, so in addition to the log they cost next to nothing, and what a long log costs in excess
/// are the bodies of items that are done: about a third of it, as texts are the longer ones and are kept for readers. A
/// snapshot is a copy of all that is kept. While it is made it takes memory in addition to the log, and once more on its way to the disk:
/// at that moment the partition takes the log and two or three times the texts, and is smaller only after it. So at its peak
/// a partition takes least if the log is written anew as late as the disk and the memory bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskBudget {
    /// For its state and its log, on the disk (bytes).
    partition_bytes: usize,
    /// For its log, in memory (bytes).
    max_log: usize,
}

impl DiskBudget {
    /// Of a batch partition. A node may hold replicas of all of them, and each is written anew next to its former state, one at a
    /// time: that takes one share more.
    pub fn for_batch_partition(disk: usize, memory: usize) -> DiskBudget {
        let shares = usize::from(BATCH_PARTITIONS) + 1;
        let used = disk as f64 * USED_SHARE;
        DiskBudget { partition_bytes: used as usize / shares, max_log: memory / LOG_MEMORY_SHARE }
    }

    /// Of the configuration, which is small: its log is kept short so that new members catch up quickly.
    pub fn for_configuration(disk: usize) -> DiskBudget {
        const MAX_LOG: usize = 2 * 1024 * 1024;
        DiskBudget { partition_bytes: disk / 4, max_log: MAX_LOG }
    }

    /// The size of the log beyond which it is written anew, for a state of so many bytes.
    pub fn max_log_bytes(self, state: usize) -> usize {
        let least = (self.partition_bytes / MIN_LOG_SHARE).min(self.max_log);
        self.partition_bytes.saturating_sub(state).clamp(least, self.max_log)
    }

    /// What the jobs of a partition may cost: of the memory, and of the disk that is to hold them.
    pub fn max_job_bytes(self, memory: usize) -> usize {
        let state = self.partition_bytes as f64 * MAX_STATE_SHARE;
        (memory / JOBS_MEMORY_SHARE).min(state as usize)
    }
}

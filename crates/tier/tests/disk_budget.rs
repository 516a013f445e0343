//! The disk and memory budget of a partition.

use grebeusher_tier::batch::api::BATCH_PARTITIONS;
use grebeusher_tier::control::disk_budget::DiskBudget;
use rstest::rstest;

const MB: usize = 1024 * 1024;

/// The maximum disk usage of a node in bytes: each partition has a state of `state` bytes and a log of the maximum size, and
/// one of the states is on the disk twice while its new snapshot is written.
fn peak_usage(disk: usize, memory: usize, state: usize) -> usize {
    let budget = DiskBudget::for_batch_partition(disk, memory);
    usize::from(BATCH_PARTITIONS) * (state + budget.max_log_bytes(state)) + state
}

#[rstest]
#[case::small(130, 290)]
#[case::grown(140, 300)]
#[case::typical(500, 300)]
#[case::large(20_000, 4_000)]
fn a_node_with_replicas_of_all_partitions_never_runs_out_of_disk(
    #[case] disk_mb: usize,
    #[case] memory_mb: usize,
) {
    // Given jobs of the maximum size or smaller
    let (disk, memory) = (disk_mb * MB, memory_mb * MB);
    let max_state = DiskBudget::for_batch_partition(disk, memory).max_job_bytes(memory);
    for tenths in 0..=10 {
        let state = max_state / 10 * tenths;
        // Then states and logs fit on the disk, also while a new snapshot is written
        assert!(peak_usage(disk, memory, state) < disk, "{} of {disk}", peak_usage(disk, memory, state));
    }
}

#[test]
fn a_large_state_is_not_compacted_for_every_small_entry() {
    let budget = DiskBudget::for_batch_partition(140 * MB, 300 * MB);
    assert!(budget.max_log_bytes(10_000 * MB) >= 4 * MB);
}

#[test]
fn the_log_is_bounded_by_the_memory_where_the_disk_is_large() {
    let budget = DiskBudget::for_batch_partition(20_000 * MB, 300 * MB);
    assert_eq!(budget.max_log_bytes(0), 50 * MB);
    assert_eq!(budget.max_job_bytes(300 * MB), 75 * MB);
}

#[test]
fn the_log_of_the_configuration_stays_short() {
    let budget = DiskBudget::for_configuration(64 * MB);
    assert_eq!(budget.max_log_bytes(0), 2 * MB);
    assert_eq!(budget.max_log_bytes(MB), 2 * MB);
}

//! What a partition may take of its node's disk.

use grebeusher_tier::batch::api::BATCH_PARTITIONS;
use grebeusher_tier::control::disk_budget::DiskBudget;
use rstest::rstest;

const MB: usize = 1024 * 1024;

/// The most that a node has on its disk: all partitions with a state and a log as large as they may get, one of them twice as it
/// is written anew.
fn peak(disk: usize, memory: usize, state: usize) -> usize {
    let budget = DiskBudget::for_batch_partition(disk, memory);
    usize::from(BATCH_PARTITIONS) * (state + budget.max_log_bytes(state)) + state
}

#[rstest]
#[case::small(130, 290)]
#[case::grown(140, 300)]
#[case::usual(500, 300)]
#[case::large(20_000, 4_000)]
fn a_node_with_replicas_of_all_partitions_never_runs_out_of_disk(
    #[case] disk_mb: usize,
    #[case] memory_mb: usize,
) {
    // Given jobs that cost all that they may, or less
    let (disk, memory) = (disk_mb * MB, memory_mb * MB);
    let most = DiskBudget::for_batch_partition(disk, memory).max_job_bytes(memory);
    for tenths in 0..=10 {
        let state = most / 10 * tenths;
        // Then states and logs fit the disk, also while one is written anew
        assert!(peak(disk, memory, state) < disk, "{} of {disk}", peak(disk, memory, state));
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

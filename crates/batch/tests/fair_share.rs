//! How leaders of partitions share the room for items.

use grebeusher_batch::{FairShare, PartitionLoad};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

const NOW: Instant = Instant(5_000_000_000);

fn load(running: u32, waiting: u32) -> PartitionLoad {
    PartitionLoad { running, waiting }
}

fn with_reports(others: &[(u8, PartitionLoad)]) -> FairShare {
    let mut shares = FairShare::default();
    others.iter().for_each(|(partition, load)| shares.observe(NOW, *partition, *load));
    shares
}

#[test]
fn a_partition_takes_all_capacity_while_no_other_waits() {
    // Given other partitions whose items all run, when a partition has many runs, then it may begin more.
    let shares = with_reports(&[(2, load(100, 0)), (3, load(100, 0))]);
    assert!(shares.may_start(NOW, 1, load(800, 400)));
    assert!(FairShare::default().may_start(NOW, 1, load(800, 400)));
}

#[test]
fn a_partition_with_a_short_queue_yields_to_one_with_a_long_queue() {
    // Given a partition with 61 runs and 700 items that wait, when another one has 415 runs and few items left,
    let shares = with_reports(&[(2, load(61, 700))]);
    // then that one begins none until its share is its own, and the first begins at once.
    assert!(!shares.may_start(NOW, 3, load(415, 60)));
    assert!(with_reports(&[(3, load(415, 60))]).may_start(NOW, 2, load(61, 700)));
}

#[rstest]
#[case::from_nothing(0)]
#[case::when_busy(200)]
fn equal_partitions_grow_into_new_capacity(#[case] running: u32) {
    // Given three partitions alike, when there is capacity, then each may begin more beside the others.
    let alike = load(running, 500);
    assert!(with_reports(&[(2, alike), (3, alike)]).may_start(NOW, 1, alike));
}

#[test]
fn an_expired_report_has_no_effect() {
    // Given a leader that told of a long queue and was heard of no more, when others go on, then they take its room.
    let shares = with_reports(&[(2, load(61, 700))]);
    assert!(shares.may_start(NOW + Duration::from_millis(1000), 3, load(415, 60)));
}

#[test]
fn a_partition_ignores_its_own_report() {
    let shares = with_reports(&[(1, load(10, 900))]);
    assert!(shares.may_start(NOW, 1, load(400, 900)));
}

//! The division of the executors' capacity among the leaders of partitions.

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
    // No other partition has waiting items, so a partition with many runs may start more.
    let shares = with_reports(&[(2, load(100, 0)), (3, load(100, 0))]);
    assert!(shares.may_start(NOW, 1, load(800, 400)));
    assert!(FairShare::default().may_start(NOW, 1, load(800, 400)));
}

#[test]
fn a_partition_with_a_short_queue_yields_to_one_with_a_long_queue() {
    // One partition has 61 running and 700 waiting items. Another one with 415 running and only 60 waiting items exceeds
    // its share and may start none.
    let shares = with_reports(&[(2, load(61, 700))]);
    assert!(!shares.may_start(NOW, 3, load(415, 60)));
    // The first partition may start items at once.
    assert!(with_reports(&[(3, load(415, 60))]).may_start(NOW, 2, load(61, 700)));
}

#[rstest]
#[case::from_nothing(0)]
#[case::when_busy(200)]
fn equal_partitions_grow_into_new_capacity(#[case] running: u32) {
    // Three partitions with the same load may all start more items when there is new capacity.
    let same_load = load(running, 500);
    assert!(with_reports(&[(2, same_load), (3, same_load)]).may_start(NOW, 1, same_load));
}

#[test]
fn an_expired_report_has_no_effect() {
    // A leader reported a long queue and then no more loads. Once its report has expired, the others may use its share.
    let shares = with_reports(&[(2, load(61, 700))]);
    assert!(shares.may_start(NOW + Duration::from_millis(1000), 3, load(415, 60)));
}

#[test]
fn a_partition_ignores_its_own_report() {
    let shares = with_reports(&[(1, load(10, 900))]);
    assert!(shares.may_start(NOW, 1, load(400, 900)));
}

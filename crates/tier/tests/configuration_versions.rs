//! The configuration partition with the versions of services: its entries, and its snapshots, also those written by earlier
//! versions of the program.

use grebeusher_configuration::register::Entry as ConfigurationEntry;
use grebeusher_rollout::{Entry, RolloutOrder};
use grebeusher_tier::control::configuration_partition::ConfigurationPartition;
use rstest::rstest;
use std::sync::Arc;

/// The snapshot of an empty state as versions of the program without roll-outs wrote it.
const WITHOUT_ROLLOUTS: &[u8] = b"\x01\x00\x00\x00\x00";

fn configuration() -> Vec<u8> {
    ConfigurationEntry::new(0, 3, Arc::from(&b"the first"[..])).encode()
}

fn in_force() -> Vec<u8> {
    Entry::VersionInForce { service: "s".to_owned(), version: "v1".to_owned() }.encode()
}

fn begin(target: &str) -> Vec<u8> {
    let order = RolloutOrder { service: "s".to_owned(), target_version: target.to_owned(), ramp_ms: 15_000 };
    Entry::Begin { order, in_force: String::new(), begun_at_wall_ms: 0 }.encode()
}

#[test]
fn a_disk_of_an_earlier_version_is_read_and_written_as_it_was_while_there_are_no_roll_outs() {
    let mut partition = ConfigurationPartition::default();
    partition.restore(WITHOUT_ROLLOUTS).expect("whole");
    assert!(partition.rollouts().is_empty());
    assert_eq!(partition.snapshot(), WITHOUT_ROLLOUTS);
}

#[test]
fn a_snapshot_keeps_the_configuration_and_the_roll_outs() {
    let mut partition = ConfigurationPartition::default();
    for entry in [configuration(), in_force(), begin("v2")] {
        assert_eq!(partition.apply(&entry).expect("readable"), 200);
    }
    let mut restored = ConfigurationPartition::default();
    restored.restore(&partition.snapshot()).expect("whole");
    assert_eq!(restored.rollouts(), partition.rollouts());
    assert_eq!(restored.snapshot(), partition.snapshot());
    // The restored state has the order and the configuration, so that both entries are accepted again.
    assert_eq!(restored.apply(&begin("v2")).expect("readable"), 200);
    assert_eq!(restored.apply(&configuration()).expect("readable"), 200);
}

#[rstest]
#[case::the_same_order(begin("v2"), 200)]
#[case::another_order(begin("v3"), 409)]
fn an_order_while_another_is_in_progress(#[case] second: Vec<u8>, #[case] status: u16) {
    let mut partition = ConfigurationPartition::default();
    partition.apply(&begin("v2")).expect("readable");
    assert_eq!(partition.apply(&second).expect("readable"), status);
}

#[rstest]
#[case::without_a_length(b"\x02\x00")]
#[case::shorter_than_its_length_field(b"\x02\xff\x00\x00\x00\x01")]
fn a_snapshot_that_is_cut_off_is_rejected(#[case] bytes: &[u8]) {
    assert!(ConfigurationPartition::default().restore(bytes).is_err());
}

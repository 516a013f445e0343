//! The detection of a sole complete replica of a partition, and the times of the warnings about it.

use grebeusher_quorum::{Index, ReplicaId};
use grebeusher_tier::control::replica_status::{ReplicaStatus, SoleReplicaWarning, sole_replica};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

/// The status of voters 1, 2 and so on, each with the index of its last entry; `None` for a voter whose node is absent.
fn replica_statuses(synced: &[Option<u64>]) -> Vec<ReplicaStatus> {
    let status = |(voter, synced): (u64, &Option<u64>)| ReplicaStatus {
        voter: ReplicaId(voter),
        synced: Index(synced.unwrap_or(9)),
        is_alive: synced.is_some(),
    };
    (1..).zip(synced).map(status).collect()
}

#[rstest]
#[case::all_have_it(&[Some(9), Some(9), Some(10)], None)]
#[case::two_have_it(&[Some(9), Some(8), Some(10)], None)]
#[case::one_has_it(&[Some(3), Some(9), Some(8)], Some(2))]
#[case::another_is_absent(&[Some(9), None, Some(8)], Some(1))]
#[case::the_group_has_one_voter(&[Some(9)], None)]
#[case::no_live_voter_has_it(&[None, Some(8), Some(8)], None)]
fn the_only_complete_replica_is_named(#[case] synced: &[Option<u64>], #[case] holder: Option<u64>) {
    assert_eq!(sole_replica(&replica_statuses(synced), Index(9)), holder.map(ReplicaId));
}

#[test]
fn a_sole_replica_is_warned_of_once_it_lasts_and_then_every_five_seconds() {
    let at = |ms| Instant(0) + Duration::from_millis(ms);
    let mut warning = SoleReplicaWarning::default();
    // There is no warning at first, as followers acknowledge entries a little later than the leader has synced them.
    assert!(!warning.observe(at(0), true) && !warning.observe(at(1_400), true));
    assert!(warning.observe(at(1_600), true));
    assert!(!warning.observe(at(3_000), true));
    assert!(warning.observe(at(6_600), true));
    // When there are two complete replicas again, the delay starts again.
    assert!(!warning.observe(at(6_700), false) && !warning.observe(at(6_800), true));
}

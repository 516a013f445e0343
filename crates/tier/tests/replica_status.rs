//! Which machine holds the only copy of a partition, and when that is told.

use grebeusher_quorum::{Index, ReplicaId};
use grebeusher_tier::control::replica_status::{ReplicaStatus, SoleReplicaWarning, sole_replica};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

/// Voters 1, 2 and so on, each with the last entry that it has; none for one whose node is away.
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
#[case::another_is_away(&[Some(9), None, Some(8)], Some(1))]
#[case::the_group_is_one(&[Some(9)], None)]
#[case::none_that_lives(&[None, Some(8), Some(8)], None)]
fn the_only_complete_replica_is_named(#[case] synced: &[Option<u64>], #[case] holder: Option<u64>) {
    assert_eq!(sole_replica(&replica_statuses(synced), Index(9)), holder.map(ReplicaId));
}

#[test]
fn a_sole_replica_is_warned_of_once_it_lasts_and_then_every_five_seconds() {
    let at = |ms| Instant(0) + Duration::from_millis(ms);
    let mut lone = SoleReplicaWarning::default();
    // A moment is nothing: followers answer a little later than the leader has synced.
    assert!(!lone.observe(at(0), true) && !lone.observe(at(1_400), true));
    assert!(lone.observe(at(1_600), true));
    assert!(!lone.observe(at(3_000), true));
    assert!(lone.observe(at(6_600), true));
    // When there are two again, all begins anew.
    assert!(!lone.observe(at(6_700), false) && !lone.observe(at(6_800), true));
}

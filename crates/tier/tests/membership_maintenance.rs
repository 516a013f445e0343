//! The choice of the nodes that a leader adds to a group after a node did not catch up during a change.

use grebeusher_quorum::{ChangeError, ReplicaId};
use grebeusher_tier::control::membership_maintenance::MembershipMaintenance;
use grebeusher_tier::control::replica_placement::{Candidate, next_voters};
use grebeusher_time::{Duration, Instant};

fn node(replica: u64, zone: &str) -> Candidate {
    Candidate { replica, zone: zone.to_owned(), name: format!("node-{replica}") }
}

fn ids(replicas: &[u64]) -> Vec<ReplicaId> {
    replicas.iter().copied().map(ReplicaId).collect()
}

const NOW: Instant = Instant(1_000_000_000);

/// The next voters of the group 1, 2 and 3, of which 3 is lost, if these candidates are alive.
fn next(maintenance: &MembershipMaintenance, alive: Vec<Candidate>) -> Option<Vec<ReplicaId>> {
    let voters = ids(&[1, 2, 3]);
    let alive = maintenance.usable_candidates(&voters, alive);
    next_voters(&voters, &ids(&[3]), &alive, 3, Some(ReplicaId(1)))
}

#[test]
fn a_candidate_that_did_not_catch_up_is_excluded_for_another() {
    // Given two candidates, of which the one in the best zone is alive and never catches up,
    let alive = vec![node(1, "a"), node(2, "b"), node(4, "b"), node(5, "c")];
    let mut maintenance = MembershipMaintenance::default();
    assert_eq!(next(&maintenance, alive.clone()), Some(ids(&[1, 2, 5])));
    // when the change that waited for it was aborted,
    maintenance.change_requested(&ids(&[1, 2, 3]), &ids(&[1, 2, 5]), Ok(()));
    maintenance.change_ended(NOW, &ids(&[1, 2, 3]));
    // then the other candidate is chosen,
    assert_eq!(next(&maintenance, alive.clone()), Some(ids(&[1, 2, 4])));
    // and the first is chosen again after the exclusion.
    maintenance.change_ended(NOW + Duration::from_millis(10_000), &ids(&[1, 2, 3]));
    assert_eq!(next(&maintenance, alive), Some(ids(&[1, 2, 5])));
}

#[test]
fn the_only_candidate_is_retried_at_once() {
    let alive = vec![node(1, "a"), node(2, "b"), node(5, "c")];
    let mut maintenance = MembershipMaintenance::default();
    maintenance.change_requested(&ids(&[1, 2, 3]), &ids(&[1, 2, 5]), Ok(()));
    maintenance.change_ended(NOW, &ids(&[1, 2, 3]));
    assert_eq!(next(&maintenance, alive), Some(ids(&[1, 2, 5])));
}

/// A change is refused while the leadership is handed over, so that no candidate had the time to catch up.
#[test]
fn a_candidate_of_a_refused_change_is_not_excluded() {
    let alive = vec![node(1, "a"), node(2, "b"), node(4, "b"), node(5, "c")];
    let mut maintenance = MembershipMaintenance::default();
    let refused = Err(ChangeError::InProgress);
    maintenance.change_requested(&ids(&[1, 2, 3]), &ids(&[1, 2, 5]), refused);
    maintenance.change_ended(NOW, &ids(&[1, 2, 3]));
    assert_eq!(next(&maintenance, alive), Some(ids(&[1, 2, 5])));
}

#[test]
fn a_candidate_that_joined_is_not_excluded() {
    let alive = vec![node(1, "a"), node(2, "b"), node(4, "b"), node(5, "c")];
    let mut maintenance = MembershipMaintenance::default();
    maintenance.change_requested(&ids(&[1, 2, 3]), &ids(&[1, 2, 5]), Ok(()));
    maintenance.change_ended(NOW, &ids(&[1, 2, 5]));
    assert_eq!(next(&maintenance, alive), Some(ids(&[1, 2, 5])));
}

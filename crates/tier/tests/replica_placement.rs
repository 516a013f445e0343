//! The choice of the voters of a group: the initial ones and the next ones.

use grebeusher_quorum::ReplicaId;
use grebeusher_tier::control::replica_placement::{Candidate, next_voters, spread_over_zones};

fn node(replica: u64, zone: &str) -> Candidate {
    Candidate { replica, zone: zone.to_owned(), name: format!("node-{replica}") }
}

fn ids(replicas: &[u64]) -> Vec<ReplicaId> {
    replicas.iter().copied().map(ReplicaId).collect()
}

#[test]
fn an_initial_group_is_in_as_many_zones_as_there_are() {
    // given two nodes in each of three zones
    let nodes: Vec<Candidate> = (0..6).map(|n| node(n, ["a", "b", "c"][n as usize % 3])).collect();
    for offset in 0..6 {
        // when a group of three is chosen
        let chosen = spread_over_zones(&nodes, 3, offset);
        // then each voter is in a different zone
        let mut zones: Vec<u64> = chosen.iter().map(|replica| replica % 3).collect();
        zones.sort_unstable();
        assert_eq!(zones, [0, 1, 2], "offset {offset}");
    }
}

#[test]
fn a_complete_group_does_not_change() {
    let alive = [node(1, "a"), node(2, "b"), node(3, "c"), node(4, "a")];
    assert_eq!(next_voters(&ids(&[1, 2, 3]), &[], &alive, 3, Some(ReplicaId(1))), None);
}

#[test]
fn a_lost_voter_is_replaced_by_a_candidate_of_the_zone_with_fewest_voters() {
    // given a lost voter in zone c, and candidates in a and c
    let alive = [node(1, "a"), node(2, "b"), node(4, "a"), node(5, "c")];
    // then the candidate in zone c replaces the voter
    let next = next_voters(&ids(&[1, 2, 3]), &ids(&[3]), &alive, 3, Some(ReplicaId(1)));
    assert_eq!(next, Some(ids(&[1, 2, 5])));
}

#[test]
fn two_lost_voters_are_replaced_one_after_the_other() {
    let alive = [node(1, "a"), node(2, "b"), node(3, "c"), node(6, "b"), node(7, "c")];
    let voters = ids(&[1, 2, 3, 4, 5]);
    let next = next_voters(&voters, &ids(&[4, 5]), &alive, 5, Some(ReplicaId(1)));
    assert_eq!(next, Some(ids(&[1, 2, 3, 5, 6])));
}

#[test]
fn a_lost_voter_without_a_replacement_stays_if_the_group_would_be_too_small() {
    // given three voters, one of them lost, and no candidate: a group of two could tolerate no further loss
    let alive = [node(1, "a"), node(2, "b")];
    assert_eq!(next_voters(&ids(&[1, 2, 3]), &ids(&[3]), &alive, 3, Some(ReplicaId(1))), None);
    // but a lost voter of four is removed
    let alive = [node(1, "a"), node(2, "b"), node(3, "c")];
    let next = next_voters(&ids(&[1, 2, 3, 4]), &ids(&[4]), &alive, 3, Some(ReplicaId(1)));
    assert_eq!(next, Some(ids(&[1, 2, 3])));
}

#[test]
fn a_group_grows_to_its_size_and_shrinks_to_it_without_its_leader_leaving() {
    let alive = [node(1, "a"), node(2, "b"), node(3, "c"), node(4, "a")];
    let own = Some(ReplicaId(4));
    assert_eq!(next_voters(&ids(&[1, 2]), &[], &alive, 3, own), Some(ids(&[1, 2, 3])));
    assert_eq!(next_voters(&ids(&[1, 2, 3, 4]), &[], &alive, 3, own), Some(ids(&[1, 2, 4])));
}

//! The choice of the voter that takes over a partition from a node that leads several.

use grebeusher_quorum::ReplicaId;
use grebeusher_tier::control::leader_balance::{Successor, successor_to_relieve};
use rstest::rstest;

fn successor(replica: u64, led: usize) -> Successor {
    Successor { replica: ReplicaId(replica), led }
}

#[rstest]
#[case::of_two_partitions_one_goes_to_a_node_without(2, vec![successor(1, 1), successor(2, 0), successor(3, 0)], Some(2))]
#[case::of_three_partitions_one_goes_to_a_node_with_one(3, vec![successor(1, 1)], Some(1))]
#[case::of_equal_nodes_the_first(2, vec![successor(7, 0), successor(8, 0)], Some(7))]
#[case::one_partition_stays(1, vec![successor(1, 0)], None)]
#[case::a_partition_that_would_only_change_places_stays(2, vec![successor(1, 1), successor(2, 1)], None)]
#[case::no_successor(3, vec![], None)]
fn a_partition_goes_to_the_node_that_leads_fewest_if_that_evens_the_load(
    #[case] led: usize,
    #[case] successors: Vec<Successor>,
    #[case] expected: Option<u64>,
) {
    // Given a node that leads `led` partitions and the successors for one of them, then the expected successor gets it, or
    // the partition stays.
    assert_eq!(successor_to_relieve(led, &successors), expected.map(ReplicaId));
}

//! The nodes estimate the same rates, even when the network duplicates, reorders or loses their contributions.

use crate::virtual_fleet::{Fleet, Network, assert_near, key};
use grebeusher_prefix_popularity::{
    Contribution, EstimatorSettings, MAX_CONTRIBUTION_BYTES, MergeOutcome, PopularityEstimator,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use rstest::rstest;

const MINUTE: Duration = Duration::from_millis(60_000);

/// The requests of each node in a step of 100 ms: two of 100 tokens with the same prefix, which are 2,000 tokens per
/// second.
fn same_requests(_: usize) -> Vec<(grebeusher_prefix_popularity::PrefixKey, u32)> {
    vec![(key(1), 100), (key(1), 100)]
}

#[rstest]
#[case::reliable_network(Network::default())]
#[case::duplicated_messages(Network { duplicates: true, reorders: false })]
#[case::reordered_messages(Network { duplicates: true, reorders: true })]
fn each_request_counts_once_at_every_node(#[case] network: Network) {
    // Given twenty nodes that each get requests with the same prefix
    let mut fleet = Fleet::new(20, EstimatorSettings::default(), network);
    // When they have reported to each other for a minute
    fleet.run(MINUTE, same_requests);
    // Then all of them estimate the total rate, and almost the same number of homes
    assert_near(&fleet.rates(key(1)), 40_000.0, 0.05);
    let home_counts = fleet.home_counts(key(1));
    assert!(home_counts.iter().all(|count| (2..=3).contains(count)), "{home_counts:?}");
}

#[test]
fn nothing_counts_twice_after_a_network_partition() {
    // Given a fleet that has estimated the rate
    let mut fleet =
        Fleet::new(20, EstimatorSettings::default(), Network { duplicates: true, reorders: true });
    fleet.run(MINUTE, same_requests);
    // When it is partitioned for two minutes
    fleet.partition(5);
    fleet.run(MINUTE.scaled(2.0), same_requests);
    // Then each side counts only its own nodes
    assert_near(&fleet.rates(key(1))[..5], 10_000.0, 0.1);
    assert_near(&fleet.rates(key(1))[5..], 30_000.0, 0.1);
    // And after the partition ends, all nodes count each node once
    fleet.end_partition();
    fleet.run(Duration::from_millis(20_000), same_requests);
    assert_near(&fleet.rates(key(1)), 40_000.0, 0.05);
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    // Given a fleet that has estimated the rate
    let mut fleet =
        Fleet::new(10, EstimatorSettings::default(), Network { duplicates: true, reorders: true });
    fleet.run(MINUTE, same_requests);
    // When all nodes are restarted one after the other, without snapshots
    for index in 0..10 {
        fleet.restart(index, None);
        fleet.run(Duration::from_millis(3_000), same_requests);
        // Then the requests of no node count twice meanwhile
        let max_rate = fleet.rates(key(1))[..].iter().fold(0.0_f64, |max, rate| max.max(*rate));
        assert!(max_rate < 24_000.0, "{max_rate}");
    }
    // And afterwards the estimate is complete
    fleet.run(Duration::from_millis(10_000), same_requests);
    assert_near(&fleet.rates(key(1)), 20_000.0, 0.1);
}

#[test]
fn the_contribution_of_a_stopped_node_decays() {
    // Given four nodes
    let mut fleet = Fleet::new(4, EstimatorSettings::default(), Network::default());
    fleet.run(MINUTE, same_requests);
    // When one stops, and its clients send no more requests
    fleet.stop(3);
    // Then its requests still count for a short time, because its clients may send them to other nodes
    fleet.run(Duration::from_millis(3_000), same_requests);
    assert_near(&fleet.rates(key(1))[..3], 8_000.0, 0.1);
    // And after some minutes they no longer count, and its contribution is no longer stored
    fleet.run(MINUTE.scaled(3.0), same_requests);
    assert_near(&fleet.rates(key(1))[..3], 6_000.0, 0.05);
    assert_eq!(fleet.nodes[0].table_sizes().contributors, 2);
}

#[test]
fn a_new_node_estimates_the_rates_within_seconds() {
    // Given a fleet as large as those of the large sites
    let mut fleet = Fleet::new(78, EstimatorSettings::default(), Network::default());
    fleet.run(MINUTE, same_requests);
    // When a node is restarted without a snapshot
    fleet.restart(7, None);
    fleet.run(Duration::from_millis(8_000), same_requests);
    // Then it estimates the same rate as the others
    assert_near(&fleet.rates(key(1))[7..8], 156_000.0, 0.05);
}

#[test]
fn old_and_repeated_contributions_are_ignored() {
    // Given a node that stores the second contribution of the second incarnation of another node
    let mut node = PopularityEstimator::new(
        EstimatorSettings::default(),
        crate::virtual_fleet::identity(0, 1),
        Instant(0),
    );
    let contribution =
        |incarnation, sequence| Contribution { origin: 9, incarnation, sequence, rates: Vec::new() };
    assert_eq!(node.merge(Instant(0), contribution(2, 2)), MergeOutcome::Merged);
    // When it receives the same contribution, an earlier one, or one of an earlier incarnation
    for old in [contribution(2, 2), contribution(2, 1), contribution(1, 900)] {
        // Then it ignores it, so that it is not relayed
        assert_eq!(node.merge(Instant(0), old), MergeOutcome::Ignored);
    }
    // And it merges a later one, and one of a later incarnation
    assert_eq!(node.merge(Instant(0), contribution(2, 3)), MergeOutcome::Merged);
    assert_eq!(node.merge(Instant(0), contribution(3, 1)), MergeOutcome::Merged);
}

#[test]
fn a_contribution_of_the_node_itself_is_ignored() {
    // Given a node that receives a contribution with its own origin
    let mut node = PopularityEstimator::new(
        EstimatorSettings::default(),
        crate::virtual_fleet::identity(0, 1),
        Instant(0),
    );
    let own = Contribution { origin: 1_000, incarnation: 7, sequence: 7, rates: Vec::new() };
    // Then it ignores it, even if the incarnation is not its current one
    assert_eq!(node.merge(Instant(0), own), MergeOutcome::Ignored);
    assert_eq!(node.table_sizes().contributors, 0);
}

#[rstest]
#[case(14)]
#[case(78)]
#[case(360)]
fn traffic_stays_within_its_limit(#[case] count: usize) {
    // Given nodes that each count more prefixes than they report
    let settings = EstimatorSettings::default();
    let mut fleet = Fleet::new(count, settings, Network::default());
    let requests = |index: usize| (0..30).map(|number| (key(number), 100 + index as u32)).collect();
    fleet.run(Duration::from_millis(30_000), requests);
    // When they run for four more report intervals
    fleet.sent_bytes = 0;
    let four_intervals = fleet.nodes[0].report_interval().scaled(4.0);
    fleet.run(four_intervals, requests);
    // Then contributions and their frames stay within their limit on each link, in both directions together
    let contributions = fleet.sent_bytes as f64 / (28.0 + settings.reported_prefixes as f64 * 6.0);
    let bytes_per_s =
        (fleet.sent_bytes as f64 + contributions * 16.0) * 2.0 / count as f64 / four_intervals.seconds();
    println!(
        "{count} nodes: {bytes_per_s:.0} bytes per second on each link, a contribution every {:?}",
        fleet.nodes[0].report_interval()
    );
    assert!(bytes_per_s <= settings.max_bytes_per_s * 1.1, "{bytes_per_s}");
    assert!(fleet.nodes[0].report_interval() <= Duration::from_millis(30_000));
}

#[test]
fn a_changed_contribution_is_rejected() {
    // Given a contribution
    let mut node = PopularityEstimator::new(
        EstimatorSettings::default(),
        crate::virtual_fleet::identity(0, 1),
        Instant(0),
    );
    (0..40).for_each(|number| node.record(Instant(0), key(number), 1_000));
    let contribution = node.tick(Instant(0) + Duration::from_millis(4_000)).expect("the contribution is due");
    let bytes = contribution.encode();
    assert_eq!(Contribution::decode(&bytes).as_ref(), Ok(&contribution));
    assert!(bytes.len() <= MAX_CONTRIBUTION_BYTES);
    // Then it is rejected when it is cut off at any length, or has a further byte
    for length in 0..bytes.len() {
        assert!(Contribution::decode(&bytes[..length]).is_err(), "{length}");
    }
    let mut longer = bytes.clone();
    longer.push(0);
    assert!(Contribution::decode(&longer).is_err());
    // A number of rates that would need too much memory is rejected before memory is allocated
    let mut huge = bytes.clone();
    huge[20..28].fill(0xff);
    assert!(Contribution::decode(&huge).is_err());
    // A key that occurs twice is rejected, because it would count twice
    let mut twice = bytes.clone();
    twice.copy_within(28..34, 34);
    assert!(Contribution::decode(&twice).is_err());
}

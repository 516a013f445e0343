//! The nodes agree on what is popular, whatever the network does to their contributions.

use crate::virtual_fleet::{Fleet, Network, assert_near, key};
use grebeusher_prefix_popularity::{
    Contribution, MAX_CONTRIBUTION_BYTES, MergeOutcome, PopularityEstimator, Settings,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use rstest::rstest;

const MINUTE: Duration = Duration::from_millis(60_000);

/// Each node sees 20 requests of 100 tokens in a second: 2,000 tokens a second.
fn even(_: usize) -> Vec<(grebeusher_prefix_popularity::PrefixKey, u32)> {
    vec![(key(1), 100), (key(1), 100)]
}

#[rstest]
#[case::a_perfect_network(Network::default())]
#[case::duplicated_messages(Network { duplicates: true, reorders: false })]
#[case::reordered_messages(Network { duplicates: true, reorders: true })]
fn each_request_counts_once_at_every_node(#[case] network: Network) {
    // Given twenty nodes that each see the same prefix
    let mut fleet = Fleet::new(20, Settings::default(), network);
    // When they have reported to each other for a minute
    fleet.run(MINUTE, even);
    // Then all of them know the whole rate, and so the same number of homes
    assert_near(&fleet.rates(key(1)), 40_000.0, 0.05);
    let homes = fleet.homes(key(1));
    assert!(homes.iter().all(|count| (2..=3).contains(count)), "{homes:?}");
}

#[test]
fn nothing_counts_twice_after_a_network_partition() {
    // Given a fleet that knows the rate
    let mut fleet = Fleet::new(20, Settings::default(), Network { duplicates: true, reorders: true });
    fleet.run(MINUTE, even);
    // When it is partitioned for two minutes
    fleet.partition(5);
    fleet.run(MINUTE.scaled(2.0), even);
    // Then each side soon counts only itself
    assert_near(&fleet.rates(key(1))[..5], 10_000.0, 0.1);
    assert_near(&fleet.rates(key(1))[5..], 30_000.0, 0.1);
    // And when the network partition heals all count each node once
    fleet.heal();
    fleet.run(Duration::from_millis(20_000), even);
    assert_near(&fleet.rates(key(1)), 40_000.0, 0.05);
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    // Given a fleet that knows the rate
    let mut fleet = Fleet::new(10, Settings::default(), Network { duplicates: true, reorders: true });
    fleet.run(MINUTE, even);
    // When all nodes are restarted one after the other, without a disk
    for index in 0..10 {
        fleet.restart(index, None);
        fleet.run(Duration::from_millis(3_000), even);
        // Then no node's requests count twice meanwhile
        let most = fleet.rates(key(1))[..].iter().fold(0.0_f64, |most, rate| most.max(*rate));
        assert!(most < 24_000.0, "{most}");
    }
    // And afterwards the estimate is complete
    fleet.run(Duration::from_millis(10_000), even);
    assert_near(&fleet.rates(key(1)), 20_000.0, 0.1);
}

#[test]
fn the_contribution_of_a_dead_node_decays() {
    // Given four nodes
    let mut fleet = Fleet::new(4, Settings::default(), Network::default());
    fleet.run(MINUTE, even);
    // When one dies and its clients go away
    fleet.kill(3);
    // Then it still counts for a moment, as its clients may come back elsewhere
    fleet.run(Duration::from_millis(3_000), even);
    assert_near(&fleet.rates(key(1))[..3], 8_000.0, 0.1);
    // And no longer after some minutes, nor does its contribution take memory
    fleet.run(MINUTE.scaled(3.0), even);
    assert_near(&fleet.rates(key(1))[..3], 6_000.0, 0.05);
    assert_eq!(fleet.nodes[0].sizes().contributors, 2);
}

#[test]
fn a_new_node_knows_the_rates_within_seconds() {
    // Given a fleet of the large sites' size
    let mut fleet = Fleet::new(78, Settings::default(), Network::default());
    fleet.run(MINUTE, even);
    // When a machine is replaced by one without a disk
    fleet.restart(7, None);
    fleet.run(Duration::from_millis(8_000), even);
    // Then it knows what the others know
    assert_near(&fleet.rates(key(1))[7..8], 156_000.0, 0.05);
}

#[test]
fn old_and_repeated_contributions_are_ignored() {
    // Given a node that holds the second contribution of another one's second incarnation
    let mut node =
        PopularityEstimator::new(Settings::default(), crate::virtual_fleet::identity(0, 1), Instant(0));
    let of = |incarnation, sequence| Contribution { origin: 9, incarnation, sequence, rates: Vec::new() };
    assert_eq!(node.merge(Instant(0), of(2, 2)), MergeOutcome::Merged);
    // When the same, an earlier one, or one of an earlier incarnation comes
    for old in [of(2, 2), of(2, 1), of(1, 900)] {
        // Then it is not new, and so not relayed
        assert_eq!(node.merge(Instant(0), old), MergeOutcome::Ignored);
    }
    // And a later one, or one of a later incarnation, is
    assert_eq!(node.merge(Instant(0), of(2, 3)), MergeOutcome::Merged);
    assert_eq!(node.merge(Instant(0), of(3, 1)), MergeOutcome::Merged);
}

#[test]
fn an_own_contribution_that_returns_is_ignored() {
    // Given a node whose contribution another sent back to it
    let mut node =
        PopularityEstimator::new(Settings::default(), crate::virtual_fleet::identity(0, 1), Instant(0));
    let own = Contribution { origin: 1_000, incarnation: 7, sequence: 7, rates: Vec::new() };
    // Then it counts nothing of it, even if it names an incarnation that is not there
    assert_eq!(node.merge(Instant(0), own), MergeOutcome::Ignored);
    assert_eq!(node.sizes().contributors, 0);
}

#[rstest]
#[case(14)]
#[case(78)]
#[case(360)]
fn traffic_stays_within_its_limit(#[case] count: usize) {
    // Given a tier whose nodes each have more prefixes than they tell
    let settings = Settings::default();
    let mut fleet = Fleet::new(count, settings, Network::default());
    let requests = |index: usize| (0..30).map(|number| (key(number), 100 + index as u32)).collect();
    fleet.run(Duration::from_millis(30_000), requests);
    // When it runs on
    fleet.sent_bytes = 0;
    let four_periods = fleet.nodes[0].report_interval().scaled(4.0);
    fleet.run(four_periods, requests);
    // Then contributions take no more than their share of each link, in and out, frames included
    let registers = fleet.sent_bytes as f64 / (28.0 + settings.reported_prefixes as f64 * 6.0);
    let per_node = (fleet.sent_bytes as f64 + registers * 16.0) * 2.0 / count as f64 / four_periods.seconds();
    println!(
        "{count} nodes: {per_node:.0} bytes a second, a register every {:?}",
        fleet.nodes[0].report_interval()
    );
    assert!(per_node <= settings.max_bytes_per_s * 1.1, "{per_node}");
    assert!(fleet.nodes[0].report_interval() <= Duration::from_millis(30_000));
}

#[test]
fn a_contribution_of_any_length_is_read_or_rejected() {
    // Given a contribution
    let mut node =
        PopularityEstimator::new(Settings::default(), crate::virtual_fleet::identity(0, 1), Instant(0));
    (0..40).for_each(|number| node.record(Instant(0), key(number), 1_000));
    let contribution = node.tick(Instant(0) + Duration::from_millis(4_000)).expect("it is due");
    let bytes = contribution.encode();
    assert_eq!(Contribution::decode(&bytes).as_ref(), Ok(&contribution));
    assert!(bytes.len() <= MAX_CONTRIBUTION_BYTES);
    // Then whatever is cut off, added or changed never panics, and no other length passes
    for length in 0..bytes.len() {
        assert!(Contribution::decode(&bytes[..length]).is_err(), "{length}");
    }
    let mut longer = bytes.clone();
    longer.push(0);
    assert!(Contribution::decode(&longer).is_err());
    // A number of rates beyond all memory is rejected before anything is allocated
    let mut huge = bytes.clone();
    huge[20..28].fill(0xff);
    assert!(Contribution::decode(&huge).is_err());
    // So are keys that come twice: they would count twice
    let mut twice = bytes.clone();
    twice.copy_within(28..34, 34);
    assert!(Contribution::decode(&twice).is_err());
}

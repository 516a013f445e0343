//! The counts of one node with their decay and bounded memory, numbers of homes, snapshots and the ranges of settings.

use crate::virtual_fleet::{Fleet, Network, assert_near, key};
use grebeusher_prefix_popularity::{
    Contribution, EstimatorSettings, MAX_SNAPSHOT_BYTES, MergeOutcome, PopularityEstimator, PrefixKey,
    SettingsError,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_millis(1_000);

/// The estimator of a single node.
fn single_node() -> PopularityEstimator {
    PopularityEstimator::new(EstimatorSettings::default(), crate::virtual_fleet::identity(0, 1), Instant(0))
}

#[test]
fn a_rate_is_a_decaying_mean() {
    // Given a prefix with a constant rate of requests
    let mut fleet = Fleet::new(1, EstimatorSettings::default(), Network::default());
    fleet.run(SECOND.scaled(5.0), |_| vec![(key(1), 1_000)]);
    // Then its rate is estimated before the time constant has passed
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.1);
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 1_000)]);
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.05);
    // When there are no more requests, its rate falls by about two thirds in 20 s, and to almost 0 within minutes
    fleet.run(SECOND.scaled(20.0), |_| Vec::new());
    assert_near(&fleet.rates(key(1)), 3_680.0, 0.1);
    fleet.run(SECOND.scaled(180.0), |_| Vec::new());
    assert!(fleet.rates(key(1))[0] < 10.0);
}

#[test]
fn rates_stay_exact_over_hours() {
    // Given many times the time constant, in which the landmark of the counts was moved
    let mut fleet = Fleet::new(1, EstimatorSettings::default(), Network::default());
    fleet.run(SECOND.scaled(7_200.0), |_| vec![(key(1), 1_000)]);
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.05);
}

#[test]
fn a_flood_of_prefixes_neither_grows_the_table_nor_hides_a_popular_one() {
    // Given one popular prefix among many prefixes with one request each
    let mut node = single_node();
    let mut now = Instant(0);
    for number in 0..200_000 {
        now = now + Duration::from_millis(1);
        node.record(now, key(1_000 + number), 500);
        if number % 10 == 0 {
            node.record(now, key(1), 500);
        }
    }
    node.tick(now);
    // Then the table has its limited size, and the popular prefix has its rate
    assert_eq!(node.table_sizes().tracked_prefixes, EstimatorSettings::default().tracked_prefixes);
    assert_near(&[node.tokens_per_s(key(1))], 50_000.0, 0.1);
    // And the counts that the other prefixes inherited from evicted ones are not part of their rates
    let others = node.most_popular(100).into_iter().filter(|popular| popular.key != key(1));
    assert!(others.map(|popular| popular.tokens_per_s).fold(0.0, f64::max) < 100.0);
}

#[test]
fn the_number_of_contributors_is_bounded() {
    // Given contributions of many origins
    let mut node = single_node();
    let contribution = |origin| Contribution { origin, incarnation: 1, sequence: 1, rates: Vec::new() };
    let merged = (0..5_000)
        .filter(|origin| node.merge(Instant(0), contribution(*origin)) == MergeOutcome::Merged)
        .count();
    // Then a limited number of them is stored
    assert_eq!((merged, node.table_sizes().contributors), (1_024, 1_024));
    // And further ones can be stored after they have decayed
    node.tick(Instant(0) + SECOND.scaled(300.0));
    assert_eq!(node.table_sizes().contributors, 0);
    assert_eq!(node.merge(Instant(0) + SECOND.scaled(300.0), contribution(9_999)), MergeOutcome::Merged);
}

#[test]
fn homes_are_added_at_once_and_removed_slowly() {
    // Given a prefix whose rate needs three homes
    let settings = EstimatorSettings { time_constant: SECOND, ..EstimatorSettings::default() };
    let mut fleet = Fleet::new(1, settings, Network::default());
    fleet.run(SECOND.scaled(10.0), |_| vec![(key(1), 5_000)]);
    assert_eq!(fleet.home_counts(key(1)), [3]);
    // When the rate falls a little, so that two homes would be enough, it keeps all three
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 3_500)]);
    assert_eq!(fleet.home_counts(key(1)), [3]);
    // When the rate falls far, homes are removed one by one
    fleet.run(SECOND.scaled(3.0), |_| vec![(key(1), 100)]);
    assert_eq!(fleet.home_counts(key(1)), [2]);
    fleet.run(SECOND.scaled(5.0), |_| vec![(key(1), 100)]);
    assert_eq!(fleet.home_counts(key(1)), [2]);
    fleet.run(SECOND.scaled(8.0), |_| vec![(key(1), 100)]);
    assert_eq!(fleet.home_counts(key(1)), [1]);
}

#[test]
fn the_number_of_homes_is_bounded() {
    let mut fleet = Fleet::new(1, EstimatorSettings::default(), Network::default());
    fleet.run(SECOND.scaled(10.0), |_| vec![(key(1), 4_000_000)]);
    assert_eq!(fleet.home_counts(key(1)), [EstimatorSettings::default().max_homes]);
}

#[test]
fn an_unknown_prefix_has_one_home() {
    assert_eq!(single_node().home_count(key(7)), 1);
}

#[test]
fn a_restart_of_all_nodes_restores_snapshots() {
    // Given a fleet whose prefix needs several homes
    let requests = |_: usize| vec![(key(1), 1_000)];
    let mut fleet = Fleet::new(6, EstimatorSettings::default(), Network::default());
    fleet.run(SECOND.scaled(60.0), requests);
    let before = fleet.home_counts(key(1));
    let snapshots: Vec<Vec<u8>> = fleet.nodes.iter().map(PopularityEstimator::snapshot).collect();
    assert!(snapshots.iter().all(|snapshot| snapshot.len() <= MAX_SNAPSHOT_BYTES));
    // When all nodes restart, three of them without a snapshot
    (0..6).for_each(|index| fleet.restart(index, (index < 3).then_some(&snapshots[index])));
    // Then those with a snapshot have the same number of homes at once
    assert_eq!(fleet.home_counts(key(1))[..3], before[..3]);
    // And the restored rates and the newly counted ones are never added up
    for _ in 0..60 {
        fleet.run(SECOND, requests);
        assert!(fleet.rates(key(1))[0] < 66_000.0, "{:?}", fleet.rates(key(1)));
    }
    assert_near(&fleet.rates(key(1)), 60_000.0, 0.05);
}

#[test]
fn a_restored_snapshot_decays() {
    // Given a restored snapshot with a prefix for which there are no more requests
    let mut fleet = Fleet::new(1, EstimatorSettings::default(), Network::default());
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 5_000)]);
    let snapshot = fleet.nodes[0].snapshot();
    fleet.restart(0, Some(&snapshot));
    assert!(fleet.home_counts(key(1))[0] > 1);
    // Then it has decayed within minutes
    fleet.run(SECOND.scaled(180.0), |_| Vec::new());
    assert_eq!(fleet.home_counts(key(1)), [1]);
    assert!(fleet.rates(key(1))[0] < 10.0);
}

#[test]
fn a_corrupt_snapshot_is_rejected() {
    // Given a snapshot
    let mut node = single_node();
    (0..40).for_each(|number| node.record(Instant(0), key(number), 1_000));
    node.tick(Instant(0) + SECOND);
    let snapshot = node.snapshot();
    // Then only the complete snapshot is restored
    for length in 0..snapshot.len() {
        assert!(single_node().restore(Instant(0), &snapshot[..length]).is_err(), "{length}");
    }
    assert!(single_node().restore(Instant(0), &vec![0; MAX_SNAPSHOT_BYTES + 1]).is_err());
    assert_eq!(single_node().restore(Instant(0), &snapshot), Ok(12));
}

#[rstest]
#[case("time_constant", EstimatorSettings { time_constant: Duration::from_nanos(0), ..EstimatorSettings::default() })]
#[case("min_report_interval", EstimatorSettings { min_report_interval: Duration::from_nanos(0), ..EstimatorSettings::default() })]
#[case("shrink_delay", EstimatorSettings { shrink_delay: Duration::from_nanos(u64::MAX), ..EstimatorSettings::default() })]
#[case("tracked_prefixes", EstimatorSettings { tracked_prefixes: 0, ..EstimatorSettings::default() })]
#[case("reported_prefixes", EstimatorSettings { reported_prefixes: 17, ..EstimatorSettings::default() })]
#[case("max_bytes_per_s", EstimatorSettings { max_bytes_per_s: f64::NAN, ..EstimatorSettings::default() })]
#[case("home_tokens_per_s", EstimatorSettings { home_tokens_per_s: 0.0, ..EstimatorSettings::default() })]
#[case("shrink_ratio", EstimatorSettings { shrink_ratio: 1.5, ..EstimatorSettings::default() })]
#[case("max_homes", EstimatorSettings { max_homes: 0, ..EstimatorSettings::default() })]
fn a_setting_out_of_range_is_named(#[case] name: &str, #[case] settings: EstimatorSettings) {
    let SettingsError { setting, .. } = settings.validate().expect_err("out of range");
    assert_eq!(setting, name);
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Contribution::decode(&bytes);
        let _ = single_node().restore(Instant(0), &bytes);
    }

    #[test]
    fn contributions_merge_to_the_same_in_any_order(order in Just((0..12_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let mut writer = PopularityEstimator::new(EstimatorSettings::default(), crate::virtual_fleet::identity(1, 1), Instant(0));
        let mut contributions = Vec::new();
        for step in 1..=12_u32 {
            let now = Instant(0) + SECOND.scaled(f64::from(step) * 5.0);
            writer.record(now, PrefixKey(step % 3), step * 1_000);
            contributions.extend(writer.tick(now));
        }
        let (mut in_order, mut shuffled) = (single_node(), single_node());
        let now = Instant(0) + SECOND.scaled(70.0);
        contributions.iter().for_each(|contribution| { in_order.merge(now, contribution.clone()); });
        order.iter().chain(&order).for_each(|index| { shuffled.merge(now, contributions[*index].clone()); });
        in_order.tick(now);
        shuffled.tick(now);
        prop_assert_eq!(in_order.most_popular(9), shuffled.most_popular(9));
    }
}

//! Counting with decay in fixed memory, homes, snapshots and the ranges of settings.

use crate::virtual_fleet::{Fleet, Network, assert_near, key};
use grebeusher_prefix_popularity::{
    Contribution, MAX_SNAPSHOT_BYTES, MergeOutcome, PopularityEstimator, PrefixKey, Settings, SettingsError,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_millis(1_000);

fn alone() -> PopularityEstimator {
    PopularityEstimator::new(Settings::default(), crate::virtual_fleet::identity(0, 1), Instant(0))
}

#[test]
fn a_rate_is_a_decaying_mean() {
    // Given a prefix that is requested at a steady pace
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(5.0), |_| vec![(key(1), 1_000)]);
    // Then its rate is known before the span of the mean has passed
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.1);
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 1_000)]);
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.05);
    // When nobody requests it any more its rate decays by two thirds in twenty seconds, and to nothing within minutes
    fleet.run(SECOND.scaled(20.0), |_| Vec::new());
    assert_near(&fleet.rates(key(1)), 3_680.0, 0.1);
    fleet.run(SECOND.scaled(180.0), |_| Vec::new());
    assert!(fleet.rates(key(1))[0] < 10.0);
}

#[test]
fn rates_stay_exact_over_hours() {
    // Given many times the span of the mean, in which the landmark of the counts has moved on
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(7_200.0), |_| vec![(key(1), 1_000)]);
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.05);
}

#[test]
fn a_flood_of_prefixes_neither_grows_the_table_nor_hides_a_popular_one() {
    // Given one popular prefix among ever new ones
    let mut node = alone();
    let mut now = Instant(0);
    for number in 0..200_000 {
        now = now + Duration::from_millis(1);
        node.record(now, key(1_000 + number), 500);
        if number % 10 == 0 {
            node.record(now, key(1), 500);
        }
    }
    node.tick(now);
    // Then the table has its fixed size, and the popular one its rate
    assert_eq!(node.sizes().tracked_prefixes, Settings::default().tracked_prefixes);
    assert_near(&[node.tokens_per_s(key(1))], 50_000.0, 0.1);
    // And of the others, which took over each other's counts, nothing is told that is not certain
    let others = node.popular(100).into_iter().filter(|popular| popular.key != key(1));
    assert!(others.map(|popular| popular.tokens_per_s).fold(0.0, f64::max) < 100.0);
}

#[test]
fn the_number_of_contributors_is_bounded() {
    // Given contributions of ever new origins
    let mut node = alone();
    let contribution = |origin| Contribution { origin, incarnation: 1, sequence: 1, rates: Vec::new() };
    let merged = (0..5_000)
        .filter(|origin| node.merge(Instant(0), contribution(*origin)) == MergeOutcome::Merged)
        .count();
    // Then a bounded number is kept
    assert_eq!((merged, node.sizes().contributors), (1_024, 1_024));
    // And room comes back when they fade
    node.tick(Instant(0) + SECOND.scaled(300.0));
    assert_eq!(node.sizes().contributors, 0);
    assert_eq!(node.merge(Instant(0) + SECOND.scaled(300.0), contribution(9_999)), MergeOutcome::Merged);
}

#[test]
fn homes_are_added_at_once_and_removed_slowly() {
    // Given a prefix whose rate needs three homes
    let settings = Settings { time_constant: SECOND, ..Settings::default() };
    let mut fleet = Fleet::new(1, settings, Network::default());
    fleet.run(SECOND.scaled(10.0), |_| vec![(key(1), 5_000)]);
    assert_eq!(fleet.homes(key(1)), [3]);
    // When the rate falls a little, so that it would do with two, they stay
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 3_500)]);
    assert_eq!(fleet.homes(key(1)), [3]);
    // When it falls far, they go one by one
    fleet.run(SECOND.scaled(3.0), |_| vec![(key(1), 100)]);
    assert_eq!(fleet.homes(key(1)), [2]);
    fleet.run(SECOND.scaled(5.0), |_| vec![(key(1), 100)]);
    assert_eq!(fleet.homes(key(1)), [2]);
    fleet.run(SECOND.scaled(8.0), |_| vec![(key(1), 100)]);
    assert_eq!(fleet.homes(key(1)), [1]);
}

#[test]
fn the_number_of_homes_is_bounded() {
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(10.0), |_| vec![(key(1), 4_000_000)]);
    assert_eq!(fleet.homes(key(1)), [Settings::default().max_homes]);
}

#[test]
fn an_unknown_prefix_has_one_home() {
    assert_eq!(alone().homes(key(7)), 1);
}

#[test]
fn a_restart_of_all_nodes_restores_snapshots() {
    // Given a fleet whose prefix needs several homes
    let requests = |_: usize| vec![(key(1), 1_000)];
    let mut fleet = Fleet::new(6, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(60.0), requests);
    let before = fleet.homes(key(1));
    let snapshots: Vec<Vec<u8>> = fleet.nodes.iter().map(PopularityEstimator::snapshot).collect();
    assert!(snapshots.iter().all(|snapshot| snapshot.len() <= MAX_SNAPSHOT_BYTES));
    // When all restart, three of them without a disk
    (0..6).for_each(|index| fleet.restart(index, (index < 3).then_some(&snapshots[index])));
    // Then those with a disk know it at once
    assert_eq!(fleet.homes(key(1))[..3], before[..3]);
    // And what they remember and what they count anew are never added up
    for _ in 0..60 {
        fleet.run(SECOND, requests);
        assert!(fleet.rates(key(1))[0] < 66_000.0, "{:?}", fleet.rates(key(1)));
    }
    assert_near(&fleet.rates(key(1)), 60_000.0, 0.05);
}

#[test]
fn a_restored_snapshot_decays() {
    // Given a memory of a prefix that nobody requests for any more
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 5_000)]);
    let snapshot = fleet.nodes[0].snapshot();
    fleet.restart(0, Some(&snapshot));
    assert!(fleet.homes(key(1))[0] > 1);
    // Then it has decayed within minutes
    fleet.run(SECOND.scaled(180.0), |_| Vec::new());
    assert_eq!(fleet.homes(key(1)), [1]);
    assert!(fleet.rates(key(1))[0] < 10.0);
}

#[test]
fn a_corrupt_snapshot_is_rejected() {
    // Given a memory
    let mut node = alone();
    (0..40).for_each(|number| node.record(Instant(0), key(number), 1_000));
    node.tick(Instant(0) + SECOND);
    let snapshot = node.snapshot();
    // Then nothing but the whole of it is read
    for length in 0..snapshot.len() {
        assert!(alone().restore(Instant(0), &snapshot[..length]).is_err(), "{length}");
    }
    assert!(alone().restore(Instant(0), &vec![0; MAX_SNAPSHOT_BYTES + 1]).is_err());
    assert_eq!(alone().restore(Instant(0), &snapshot), Ok(12));
}

#[rstest]
#[case("time_constant", Settings { time_constant: Duration::from_nanos(0), ..Settings::default() })]
#[case("min_report_interval", Settings { min_report_interval: Duration::from_nanos(0), ..Settings::default() })]
#[case("shrink_delay", Settings { shrink_delay: Duration::from_nanos(u64::MAX), ..Settings::default() })]
#[case("tracked_prefixes", Settings { tracked_prefixes: 0, ..Settings::default() })]
#[case("reported_prefixes", Settings { reported_prefixes: 17, ..Settings::default() })]
#[case("max_bytes_per_s", Settings { max_bytes_per_s: f64::NAN, ..Settings::default() })]
#[case("home_tokens_per_s", Settings { home_tokens_per_s: 0.0, ..Settings::default() })]
#[case("shrink_ratio", Settings { shrink_ratio: 1.5, ..Settings::default() })]
#[case("max_homes", Settings { max_homes: 0, ..Settings::default() })]
fn a_setting_out_of_range_is_named(#[case] name: &str, #[case] settings: Settings) {
    let SettingsError { setting, .. } = settings.validate().expect_err("out of range");
    assert_eq!(setting, name);
}

proptest! {
    #[test]
    fn bytes_from_outside_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Contribution::decode(&bytes);
        let _ = alone().restore(Instant(0), &bytes);
    }

    #[test]
    fn contributions_merge_to_the_same_in_any_order(order in Just((0..12_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let mut writer = PopularityEstimator::new(Settings::default(), crate::virtual_fleet::identity(1, 1), Instant(0));
        let mut contributions = Vec::new();
        for step in 1..=12_u32 {
            let now = Instant(0) + SECOND.scaled(f64::from(step) * 5.0);
            writer.record(now, PrefixKey(step % 3), step * 1_000);
            contributions.extend(writer.tick(now));
        }
        let (mut straight, mut shuffled) = (alone(), alone());
        let now = Instant(0) + SECOND.scaled(70.0);
        contributions.iter().for_each(|one| { straight.merge(now, one.clone()); });
        order.iter().chain(&order).for_each(|index| { shuffled.merge(now, contributions[*index].clone()); });
        straight.tick(now);
        shuffled.tick(now);
        prop_assert_eq!(straight.popular(9), shuffled.popular(9));
    }
}

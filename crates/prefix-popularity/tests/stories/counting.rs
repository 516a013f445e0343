//! Counts fade, stay in a fixed room, and settings are checked.

use crate::fleet::{Fleet, Network, assert_near, key};
use grebeusher_prefix_popularity::{
    Contribution, MAX_MEMORY, Merge, Popularity, PrefixKey, Settings, SettingsError,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_millis(1_000);

fn alone() -> Popularity {
    Popularity::new(Settings::default(), crate::fleet::identity(0, 1), Instant(0))
}

#[test]
fn a_rate_is_a_mean_that_fades() {
    // Given a prefix that is asked for at a steady pace
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(5.0), |_| vec![(key(1), 1_000)]);
    // Then its rate is known before the span of the mean has passed
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.1);
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 1_000)]);
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.05);
    // When nobody asks for it any more it fades by two thirds in twenty seconds, and is gone after minutes
    fleet.run(SECOND.scaled(20.0), |_| Vec::new());
    assert_near(&fleet.rates(key(1)), 3_680.0, 0.1);
    fleet.run(SECOND.scaled(180.0), |_| Vec::new());
    assert!(fleet.rates(key(1))[0] < 10.0);
}

#[test]
fn rates_hold_over_hours() {
    // Given many times the span of the mean, in which the landmark of the counts has moved on
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(7_200.0), |_| vec![(key(1), 1_000)]);
    assert_near(&fleet.rates(key(1)), 10_000.0, 0.05);
}

#[test]
fn a_flood_of_prefixes_takes_no_room_and_hides_no_popular_one() {
    // Given one popular prefix among ever new ones
    let mut node = alone();
    let mut now = Instant(0);
    for number in 0..200_000 {
        now = now + Duration::from_millis(1);
        node.saw(now, key(1_000 + number), 500);
        if number % 10 == 0 {
            node.saw(now, key(1), 500);
        }
    }
    node.tick(now);
    // Then the table has its fixed size, and the popular one its rate
    assert_eq!(node.sizes().0, Settings::default().tracked);
    assert_near(&[node.tokens_per_s(key(1))], 50_000.0, 0.1);
    // And of the others, which took over each other's counts, nothing is told that is not certain
    let others = node.popular(100).into_iter().filter(|popular| popular.key != key(1));
    assert!(others.map(|popular| popular.tokens_per_s).fold(0.0, f64::max) < 100.0);
}

#[test]
fn strangers_registers_take_no_more_room_than_the_largest_tier() {
    // Given registers of ever new origins
    let mut node = alone();
    let told = |origin| Contribution { origin, incarnation: 1, sequence: 1, shares: Vec::new() };
    let news = (0..5_000).filter(|origin| node.merge(Instant(0), told(*origin)) == Merge::News).count();
    // Then a bounded number is kept
    assert_eq!((news, node.sizes().1), (1_024, 1_024));
    // And room comes back when they fade
    node.tick(Instant(0) + SECOND.scaled(300.0));
    assert_eq!(node.sizes().1, 0);
    assert_eq!(node.merge(Instant(0) + SECOND.scaled(300.0), told(9_999)), Merge::News);
}

#[test]
fn homes_come_at_once_and_go_slowly() {
    // Given a prefix whose rate needs three homes
    let settings = Settings { mean_over: SECOND, ..Settings::default() };
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
fn no_prefix_has_more_homes_than_its_bound() {
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(10.0), |_| vec![(key(1), 4_000_000)]);
    assert_eq!(fleet.homes(key(1)), [Settings::default().most_homes]);
}

#[test]
fn an_unknown_prefix_has_one_home() {
    assert_eq!(alone().homes(key(7)), 1);
}

#[test]
fn a_restart_of_all_nodes_keeps_the_sense_of_those_with_a_disk() {
    // Given a fleet whose prefix needs several homes
    let asks = |_: usize| vec![(key(1), 1_000)];
    let mut fleet = Fleet::new(6, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(60.0), asks);
    let before = fleet.homes(key(1));
    let memories: Vec<Vec<u8>> = fleet.nodes.iter().map(Popularity::remember).collect();
    assert!(memories.iter().all(|memory| memory.len() <= MAX_MEMORY));
    // When all restart, three of them without a disk
    (0..6).for_each(|index| fleet.restart(index, (index < 3).then_some(&memories[index])));
    // Then those with a disk know it at once
    assert_eq!(fleet.homes(key(1))[..3], before[..3]);
    // And what they remember and what they count anew are never added up
    for _ in 0..60 {
        fleet.run(SECOND, asks);
        assert!(fleet.rates(key(1))[0] < 66_000.0, "{:?}", fleet.rates(key(1)));
    }
    assert_near(&fleet.rates(key(1)), 60_000.0, 0.05);
}

#[test]
fn what_is_remembered_of_yesterday_fades() {
    // Given a memory of a prefix that nobody asks for any more
    let mut fleet = Fleet::new(1, Settings::default(), Network::default());
    fleet.run(SECOND.scaled(60.0), |_| vec![(key(1), 5_000)]);
    let memory = fleet.nodes[0].remember();
    fleet.restart(0, Some(&memory));
    assert!(fleet.homes(key(1))[0] > 1);
    // Then it is gone within minutes
    fleet.run(SECOND.scaled(180.0), |_| Vec::new());
    assert_eq!(fleet.homes(key(1)), [1]);
    assert!(fleet.rates(key(1))[0] < 10.0);
}

#[test]
fn a_spoilt_memory_is_refused_and_costs_only_sense() {
    // Given a memory
    let mut node = alone();
    (0..40).for_each(|number| node.saw(Instant(0), key(number), 1_000));
    node.tick(Instant(0) + SECOND);
    let memory = node.remember();
    // Then nothing but the whole of it is read
    for length in 0..memory.len() {
        assert!(alone().recall(Instant(0), &memory[..length]).is_err(), "{length}");
    }
    assert!(alone().recall(Instant(0), &vec![0; MAX_MEMORY + 1]).is_err());
    assert_eq!(alone().recall(Instant(0), &memory), Ok(12));
}

#[rstest]
#[case("mean_over", Settings { mean_over: Duration::from_nanos(0), ..Settings::default() })]
#[case("least_period", Settings { least_period: Duration::from_nanos(0), ..Settings::default() })]
#[case("shrink_after", Settings { shrink_after: Duration::from_nanos(u64::MAX), ..Settings::default() })]
#[case("tracked", Settings { tracked: 0, ..Settings::default() })]
#[case("told", Settings { told: 17, ..Settings::default() })]
#[case("bytes_per_s", Settings { bytes_per_s: f64::NAN, ..Settings::default() })]
#[case("home_tokens_per_s", Settings { home_tokens_per_s: 0.0, ..Settings::default() })]
#[case("shrink_below", Settings { shrink_below: 1.5, ..Settings::default() })]
#[case("most_homes", Settings { most_homes: 0, ..Settings::default() })]
fn a_setting_out_of_range_is_named(#[case] name: &str, #[case] settings: Settings) {
    let SettingsError { setting, .. } = settings.checked().expect_err("out of range");
    assert_eq!(setting, name);
}

proptest! {
    #[test]
    fn bytes_from_outside_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Contribution::decode(&bytes);
        let _ = alone().recall(Instant(0), &bytes);
    }

    #[test]
    fn registers_merge_to_the_same_in_any_order(order in Just((0..12_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let mut writer = Popularity::new(Settings::default(), crate::fleet::identity(1, 1), Instant(0));
        let mut told = Vec::new();
        for step in 1..=12_u32 {
            let now = Instant(0) + SECOND.scaled(f64::from(step) * 5.0);
            writer.saw(now, PrefixKey(step % 3), step * 1_000);
            told.extend(writer.tick(now));
        }
        let (mut straight, mut shuffled) = (alone(), alone());
        let now = Instant(0) + SECOND.scaled(70.0);
        told.iter().for_each(|one| { straight.merge(now, one.clone()); });
        order.iter().chain(&order).for_each(|index| { shuffled.merge(now, told[*index].clone()); });
        straight.tick(now);
        shuffled.tick(now);
        prop_assert_eq!(straight.popular(9), shuffled.popular(9));
    }
}

//! Short stories of what a node says of itself.

use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_health_reporting::{Fitness, Seen, Stands, Verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::Cell;

const NOW: Instant = Instant(1_000_000_000_000);

fn well() -> Seen {
    let (open, most_open, listed, passed_over) = (0, 100, 10, 0);
    Seen { stands: Stands::Serving, open, most_open, listed, passed_over, fulfilled: 0, failed: 0 }
}

fn says(seen: Seen) -> Verdict {
    Fitness::default().verdict(NOW, || seen, seen.stands)
}

#[test]
fn the_least_of_room_executors_and_success_counts() {
    assert_eq!(says(well()), Verdict::Up(100));
    assert_eq!(says(Seen { open: 5, ..well() }), Verdict::Up(90));
    assert_eq!(says(Seen { open: 95, ..well() }), Verdict::Up(1), "nearly full");
    assert_eq!(says(Seen { open: 200, ..well() }), Verdict::Up(1));
    assert_eq!(says(Seen { passed_over: 4, ..well() }), Verdict::Up(60));
    assert_eq!(says(Seen { fulfilled: 30, failed: 70, ..well() }), Verdict::Up(30), "healthy itself");
    assert_eq!(says(Seen { failed: 100, ..well() }), Verdict::Up(1), "and never out with all others");
    assert_eq!(says(Seen { failed: 3, ..well() }), Verdict::Up(100), "too few to tell");
    assert_eq!(says(Seen { open: 20, passed_over: 3, fulfilled: 9, failed: 1, ..well() }), Verdict::Up(70));
}

#[test]
fn a_drain_a_start_and_an_empty_list_are_said_whatever_else_is_well() {
    assert_eq!(says(Seen { stands: Stands::Leaving, ..well() }), Verdict::Drain);
    assert_eq!(says(Seen { stands: Stands::Starting, ..well() }), Verdict::Down);
    assert_eq!(says(Seen { listed: 0, ..well() }), Verdict::Down);
    assert_eq!((Verdict::Up(70).line(), Verdict::Up(70).status()), ("ready up 70%\n".to_owned(), 200));
    assert_eq!((Verdict::Drain.line(), Verdict::Drain.status()), ("drain\n".to_owned(), 503));
    assert!(Verdict::Down.line().starts_with("down #"));
}

#[test]
fn failures_of_the_past_are_forgiven_in_seconds() {
    let mut fitness = Fitness::default();
    let mut seen = Seen { failed: 50, ..well() };
    let mut said = Vec::new();
    for second in 0..12 {
        seen.fulfilled += 10;
        let now = NOW + Duration::from_millis(second * 1000);
        if let Verdict::Up(percent) = fitness.verdict(now, || seen, Stands::Serving) {
            said.push(percent);
        }
    }
    assert!(said[0] <= 10 && said.last() == Some(&90) || said.last() == Some(&100), "{said:?}");
    assert!(said.is_sorted(), "{said:?}");
}

#[test]
fn a_flood_of_checks_has_it_looked_at_ten_times_a_second_and_a_drain_is_said_at_once() {
    let (mut fitness, looks) = (Fitness::default(), Cell::new(0));
    let mut ask = |ms: u64, stands: Stands| {
        let see = || {
            looks.set(looks.get() + 1);
            Seen { stands, ..well() }
        };
        fitness.verdict(NOW + Duration::from_millis(ms), see, stands)
    };
    for check in 0..10_000 {
        ask(check / 10, Stands::Serving);
    }
    assert_eq!(looks.get(), 10);
    assert_eq!(ask(1000, Stands::Leaving), Verdict::Drain, "no step of time between");
    assert_eq!(ask(1000, Stands::Serving), Verdict::Up(100));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn more_trouble_is_never_a_better_answer(
        open in 0_usize..120, passed_over in 0_usize..12, fulfilled in 0_u64..100, failed in 0_u64..100,
        more in (0_usize..20, 0_usize..4, 0_u64..50),
    ) {
        let seen = Seen { open, passed_over, fulfilled, failed, ..well() };
        let worse = Seen { open: open + more.0, passed_over: passed_over + more.1, failed: failed + more.2, ..seen };
        let percent = |seen: Seen| match says(seen) {
            Verdict::Up(percent) => percent,
            other => panic!("{other:?}"),
        };
        prop_assert!((1..=100).contains(&percent(seen)));
        prop_assert!(percent(worse) <= percent(seen));
    }
}

//! Storms of many faults by fixed seeds, and that what is taken out of the tier's guards is found by them.

mod fleets;

use fleets::{expect_clean, shape};
use grebeusher_simulation::scenario::Broken;
use grebeusher_simulation::storm::{drawn, shrink, storm};
use rstest::rstest;

#[rstest]
fn storms_break_no_rule(
    #[values("four-zones", "three-zones", "five-cores")] name: &str,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14)] seed: u64,
) {
    expect_clean(&storm(&shape(name), seed));
}

#[rstest]
fn storms_of_invented_shapes_break_no_rule(
    #[values("two-zones", "two-regions")] name: &str,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    expect_clean(&storm(&shape(name), seed));
}

#[test]
fn a_storm_is_the_same_each_time() {
    let scenario = shape("four-zones");
    let (one, other) = (storm(&scenario, 77), storm(&scenario, 77));
    assert_eq!((one.digest, one.trace), (other.digest, other.trace));
    assert_ne!(one.digest, storm(&scenario, 78).digest);
}

#[test]
fn a_drawn_scenario_reads_back_as_it_was_written() {
    let scenario = drawn(&shape("five-cores"), 5);
    let again = toml::from_str(&scenario.to_toml()).expect("what was written can be read");
    assert_eq!(scenario, again);
}

#[rstest]
#[case::syncs_that_pretend(Broken { pretended_syncs: true, ..Broken::default() })]
#[case::two_nodes_that_nobody_else_reaches(Broken { hidden_cut: true, ..Broken::default() })]
fn a_guard_that_is_taken_out_is_found(#[case] broken: Broken) {
    // Given a fleet that lacks a guard, when there are storms, then one of them breaks a rule.
    let mut scenario = shape("four-zones");
    scenario.broken = broken;
    let found = (1..40).find(|seed| !storm(&scenario, *seed).breaches.is_empty());
    // And fewer faults than were drawn still show it.
    let seed = found.expect("no storm shows it");
    let (smallest, report) = shrink(&scenario, seed).expect("the same storm breaks the same rule");
    assert!(!report.breaches.is_empty());
    assert!(smallest.faults.len() <= drawn(&scenario, seed).faults.len());
}

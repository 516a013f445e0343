//! Results that the log of a partition does not take, as its leadership is being handed over to a machine that stands still.

mod fleets;

use fleets::{expect_clean, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Fault, Load, On, Scenario, Timed};
use rstest::rstest;

/// Many batch jobs come within a short time. A storage machine stands still just then, so that a machine that leads several
/// partitions hands one over to it, in vain. The seeds are of days on which it does.
fn day(jobs_for_s: f64, event_bytes: usize) -> Scenario {
    let mut scenario = shape("three-zones");
    scenario.load = Load {
        length_s: 12.0,
        live_per_s: 5.0,
        jobs_per_s: 60.0,
        jobs_for_s: Some(jobs_for_s),
        event_bytes,
        quota: 0,
        ..scenario.load
    };
    let freeze = Fault::NodeFreeze { on: On::Storage, leader: false, for_s: 3.0 };
    scenario.faults = vec![Timed { at_s: 0.1, fault: freeze }];
    scenario
}

/// Guards against results that are dropped because the entry before theirs is refused (LOST).
#[rstest]
fn results_behind_a_refused_entry_are_listed(#[values(7, 9, 14, 21, 28)] seed: u64) {
    let report = run(&day(0.8, 4000), seed);
    expect_clean(&report);
    assert!(report.counts.results > 200, "{:?}", report.counts);
}

/// Guards against results that are refused once all items have finished, and that nothing proposes again (LOST).
#[rstest]
fn results_of_a_leader_that_has_nothing_else_to_do_are_listed(#[values(30, 65, 106, 129)] seed: u64) {
    let report = run(&day(0.4, 0), seed);
    expect_clean(&report);
    assert!(report.counts.results > 100, "{:?}", report.counts);
}

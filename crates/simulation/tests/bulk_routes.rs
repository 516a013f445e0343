//! Batch jobs while the operators remove bulk routes and give their names to others.

mod fleets;

use fleets::{expect_clean, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Fault, Grey, Load, On, Scenario, Timed};
use rstest::rstest;

/// Executors that are slow for a time, so that items wait when a bulk route is replaced. It is back four seconds later. Beside
/// that another fault, if any.
fn day(shape_name: &str, beside: Option<Fault>) -> Scenario {
    let mut scenario = shape(shape_name);
    scenario.load = Load { length_s: 14.0, jobs_per_s: 10.0, slots: 2, quota: 0, ..scenario.load };
    let slow = Fault::ExecutorGrey { share: 1.0, x: 1.0, how: Grey::Slow, for_s: 2.5 };
    let replaced = Fault::RouteReplaced { for_s: 4.0 };
    // Only the first configuration has a route less before the bulk routes, whose names follow from their places.
    let named = Fault::ConfigChange;
    let faults =
        [(1.0, named), (2.0, slow), (4.0, replaced)].into_iter().chain(beside.map(|fault| (4.5, fault)));
    scenario.faults = faults.map(|(at_s, fault)| Timed { at_s, fault }).collect();
    scenario
}

/// Guards against items at the executors of a route that has the name of their removed route (ROUTE), and against items that
/// do not run when their route is back (LOST).
#[rstest]
fn items_of_a_removed_route_run_at_no_other_route_of_its_name(
    #[values("three-zones", "four-zones")] shape_name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let report = run(&day(shape_name, None), seed);
    expect_clean(&report);
    assert!(report.counts.jobs > 50, "{:?}", report.counts);
}

#[rstest]
#[case::their_leader_is_killed(Fault::NodeKill { on: On::Storage, leader: true, power: true, wipe: false, for_s: 1.5 })]
#[case::their_leader_stands_still(Fault::NodeFreeze { on: On::Storage, leader: true, for_s: 1.6 })]
#[case::storage_machines_stop_in_turn(Fault::RollTerm { on: On::Storage, count: 2, gap_s: 1.0, remove: false })]
#[case::the_core_is_killed(Fault::HerdKill { for_s: 0.8 })]
#[case::the_configuration_changes_on(Fault::ConfigSeries { count: 6 })]
fn items_of_a_removed_route_run_at_no_other_route_while(#[case] beside: Fault, #[values(1, 2, 3)] seed: u64) {
    expect_clean(&run(&day("four-zones", Some(beside)), seed));
}

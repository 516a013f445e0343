//! Roll-outs of new versions, good and bad, beside faults of the tier.

mod fleets;

use fleets::{expect_clean, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Fault, Load, Scenario, Timed};
use rstest::rstest;

/// A day with the roll-out of a good version two seconds after traffic begins, and these faults beside it.
fn day(shape_name: &str, faults: &[(f64, Fault)]) -> Scenario {
    let mut scenario = shape(shape_name);
    scenario.load = Load { length_s: 16.0, live_per_s: 40.0, jobs_per_s: 3.0, quota: 0, ..scenario.load };
    let rollout = Fault::Rollout { flaw: None, x: 0.0, late_s: 0.0, ramp_s: 12.0 };
    let all = [(2.0, rollout)].into_iter().chain(faults.iter().cloned());
    scenario.faults = all.map(|(at_s, fault)| Timed { at_s, fault }).collect();
    scenario
}

/// Guards against an order that no node acknowledges though the core is calm (SHORT).
#[rstest]
fn an_order_to_roll_a_version_out_is_acknowledged(
    #[values("three-zones", "four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let report = run(&day(shape_name, &[]), seed);
    expect_clean(&report);
    assert_eq!(report.counts.rollouts, 1, "{:?}\n{}", report.counts, report.trace.join("\n"));
}

//! Roll-outs of new versions, good and bad, beside faults of the tier.

mod fleets;

use fleets::{expect_clean, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Closing, CutFrom, Fault, Flaw, Load, On, Scenario, Timed};
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

/// An order that was acknowledged is shown to the end, and its version gets no request.
fn expect_kept(scenario: &Scenario, seed: u64) {
    let report = run(scenario, seed);
    expect_clean(&report);
    assert_eq!(report.counts.rollouts, 1, "{:?}\n{}", report.counts, report.trace.join("\n"));
    assert_eq!(report.counts.new_version_runs, 0, "{:?}\n{}", report.counts, report.trace.join("\n"));
}

/// Guards against an order that is forgotten after it was acknowledged (LOST).
#[rstest]
fn an_acknowledged_order_outlives_the_loss_of(
    #[values(Closing::PowerOffAll, Closing::KillAll, Closing::WipeSome, Closing::WipeSomePowerOffAll)]
    closing: Closing,
    #[values("four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2)] seed: u64,
) {
    let mut scenario = day(shape_name, &[]);
    scenario.closing = Some(closing);
    expect_kept(&scenario, seed);
}

/// Guards against an order that only the machine that acknowledged it has kept (LOST).
#[rstest]
fn an_order_outlives_the_machine_that_acknowledged_it(
    #[values(false, true)] wipe: bool,
    #[values("three-zones", "four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let struck = Fault::AfterRolloutKill { after_ms: 3.0, wipe, for_s: 2.0 };
    expect_kept(&day(shape_name, &[(1.9, struck)]), seed);
}

/// Guards against a repeated order that is refused or begins anew, as its acknowledgement was lost.
#[rstest]
fn an_order_whose_answers_are_lost_is_acknowledged_again(
    #[values("four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let killed = Fault::NodeKill { on: On::Core, leader: true, power: true, wipe: false, for_s: 2.0 };
    expect_kept(&day(shape_name, &[(1.9, Fault::AckLost { x: 0.7, for_s: 4.0 }), (2.1, killed)]), seed);
}

/// Guards against requests and items at executors of the new version by way of nodes that have not heard of the order, or
/// have just started (EXPOSURE, ROUTE).
#[rstest]
#[case::cut_off_from_all(Fault::Isolation { on: On::Edge, count: 2, from: CutFrom::All, lure: false, for_s: 6.0 })]
#[case::cut_off_core(Fault::Isolation { on: On::Core, count: 1, from: CutFrom::All, lure: false, for_s: 6.0 })]
#[case::cut_off_stores(Fault::Isolation { on: On::Storage, count: 1, from: CutFrom::All, lure: false, for_s: 6.0 })]
#[case::halves(Fault::Isolation { on: On::Core, count: 1, from: CutFrom::Halves, lure: false, for_s: 5.0 })]
#[case::core_killed(Fault::HerdKill { for_s: 0.8 })]
#[case::restarted(Fault::RollTerm { on: On::Edge, count: 4, gap_s: 1.0, remove: false })]
#[case::frozen_leader(Fault::NodeFreeze { on: On::Core, leader: true, for_s: 3.0 })]
#[case::added(Fault::AddNode { on: On::Edge })]
#[case::all_executors_crash(Fault::ExecutorCrash { share: 0.9, silent: true })]
#[case::released(Fault::Release { share: 0.5, gap_s: 0.5 })]
fn a_version_gets_no_requests_before_a_stage_permits_it_though(
    #[case] beside: Fault,
    #[values(1.95, 3.2)] at_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut scenario = day("four-zones", &[(at_s, beside)]);
    if let Fault::Rollout { flaw, x, .. } = &mut scenario.faults[0].fault {
        (*flaw, *x) = (Some(Flaw::Errors), 0.5);
    }
    expect_kept(&scenario, seed);
}

/// Guards against a roll-out that stays active for good, so that no other one of its service can begin.
#[rstest]
fn a_roll_out_without_a_verdict_is_reverted_in_its_time(
    #[values("three-zones", "four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let next = Fault::Rollout { flaw: None, x: 0.0, late_s: 0.0, ramp_s: 6.0 };
    let mut scenario = day(shape_name, &[(15.5, next)]);
    scenario.load.length_s = 26.0;
    let report = run(&scenario, seed);
    expect_clean(&report);
    let counts = report.counts;
    assert_eq!((counts.rollouts, counts.reverted), (2, 2), "{counts:?}\n{}", report.trace.join("\n"));
    assert_eq!(counts.new_version_runs, 0, "{counts:?}");
}

/// Guards against a roll-out whose time begins anew when the core has lost its processes.
#[rstest]
fn a_roll_out_is_reverted_in_its_time_though_the_core_was_killed(
    #[values("four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut scenario = day(shape_name, &[(10.0, Fault::HerdKill { for_s: 0.8 })]);
    scenario.load.length_s = 17.0;
    let report = run(&scenario, seed);
    expect_clean(&report);
    assert_eq!(report.counts.reverted, 1, "{:?}\n{}", report.counts, report.trace.join("\n"));
}

/// Guards against an order that is acknowledged before a quorum has it (LOST).
#[rstest]
fn an_order_taken_by_a_leader_that_is_cut_off_is_acknowledged_only_if_it_is_kept(
    #[values("four-zones", "five-cores")] shape_name: &str,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let cut = Fault::Cut { on: On::Core, leader: true, one_way: false, resets: false, for_s: 4.0 };
    expect_kept(&day(shape_name, &[(1.95, cut)]), seed);
}

//! Executors that send an answer twice, the second time in the place of the next answer on the connection.

mod fleets;

use fleets::{expect_clean, scenario_file, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Fault, Grey, Load, Scenario, Timed};
use rstest::rstest;

/// One executor of each service fails a part of its requests, and sends every answer twice. Few batch jobs come, so that an
/// item's next run often goes over the connection of the last one.
fn day(failures: f64, how: Grey) -> Scenario {
    let mut scenario = shape("three-zones");
    scenario.load =
        Load { length_s: 12.0, live_per_s: 5.0, jobs_per_s: 0.5, executors: 1, quota: 0, ..scenario.load };
    let fault = Fault::RepeatedAnswers { x: 1.0, failures, how, for_s: 12.0 };
    scenario.faults = vec![Timed { at_s: 0.0, fault }];
    scenario
}

/// Guards against items that are given up because a copy of a failed run's answer counts as the answer of the next run (MIXED).
#[rstest]
fn repeated_failures_give_no_item_up_too_early(#[values(1, 3, 5, 9, 10, 12, 14, 15)] seed: u64) {
    let report = run(&day(0.5, Grey::Errors), seed);
    expect_clean(&report);
    assert!(report.counts.results > 20, "{:?}", report.counts);
}

/// The same with refusals, which promise that the request never runs (REFUSED, TWICE, ORDER).
#[rstest]
fn repeated_refusals_break_no_promise(
    #[values(Grey::Shed, Grey::Busy, Grey::Reset, Grey::Slow)] how: Grey,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let report = run(&day(0.5, how), seed);
    expect_clean(&report);
}

/// The same while leaders and machines are lost in turn, configurations change and executors are replaced.
#[rstest]
fn repeated_answers_beside_other_faults_break_nothing(
    #[values(780_001, 780_003, 780_005, 780_012)] seed: u64,
) {
    let report = run(&scenario_file("repeated-answers"), seed);
    expect_clean(&report);
    assert!(report.counts.results > 50, "{:?}", report.counts);
}

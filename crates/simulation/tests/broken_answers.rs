//! Executors whose answers are broken: a status out of range, an odd byte in the name of a field, a part of a body and a reset.

mod fleets;

use fleets::{expect_clean, scenario_file, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{BrokenAnswer, Fault, Load, Scenario, Timed};
use rstest::rstest;

/// More than a connection takes while its executor reads nothing.
const UPLOAD_BYTES: usize = 300_000;

/// The executors break half of their answers for most of the day.
fn day(how: BrokenAnswer, upload_bytes: usize) -> Scenario {
    let mut scenario = shape("three-zones");
    scenario.load = Load { length_s: 8.0, live_per_s: 15.0, jobs_per_s: 1.0, upload_bytes, ..scenario.load };
    let fault = Fault::BrokenAnswers { x: 0.5, how, for_s: 6.0 };
    scenario.faults = vec![Timed { at_s: 1.0, fault }];
    scenario
}

/// Guards against broken answers that clients get, and against items that are complete after a part of their events (MIXED,
/// ORDER).
#[rstest]
fn broken_answers_reach_no_client(
    #[values(BrokenAnswer::Status, BrokenAnswer::FieldName, BrokenAnswer::Reset)] how: BrokenAnswer,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let report = run(&day(how, 0), seed);
    expect_clean(&report);
    assert!(report.counts.served > 50 && report.counts.results > 20, "{:?}", report.counts);
}

/// The same while the requests are still being written.
#[rstest]
fn a_reset_amid_an_upload_completes_no_answer(#[values(1, 2, 3, 4)] seed: u64) {
    let report = run(&day(BrokenAnswer::Reset, UPLOAD_BYTES), seed);
    expect_clean(&report);
    assert!(report.counts.served > 30, "{:?}", report.counts);
}

/// The same while leaders and machines are lost in turn, configurations change and executors are replaced.
#[rstest]
fn broken_answers_beside_other_faults_break_nothing(#[values(810_001, 810_002, 810_003)] seed: u64) {
    let report = run(&scenario_file("broken-answers"), seed);
    expect_clean(&report);
    assert!(report.counts.served > 50 && report.counts.results > 50, "{:?}", report.counts);
}

//! The lives that the design note tells, each in a whole fleet: given a fleet, when something happens, then what clients,
//! executors and operators see.

mod fleets;

use fleets::{day_that_ends_with, day_with, expect_clean, expect_served, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Closing, CutFrom, Fault, Grey, Load, On, Timed, When, WrongKind};
use grebeusher_simulation::times::What;
use grebeusher_time::Duration;
use rstest::rstest;

/// A machine that is back counts as lost for this long (`sync_time_s`).
const SYNC_TIME: Duration = Duration::from_millis(5000);

#[test]
fn a_calm_day_serves_everybody() {
    // Given a fleet in which the operator only changes the configuration, when a day passes,
    let report = day_with("four-zones", Fault::ConfigChange, 1);
    // then all is served, and both versions were acknowledged.
    expect_clean(&report);
    expect_served(&report, 0.999);
    assert_eq!(report.counts.acknowledged, 2);
    assert!(report.counts.results > 10, "{:?}", report.counts);
}

#[rstest]
#[case::all_lose_power(Closing::PowerOffAll)]
#[case::all_are_killed(Closing::KillAll)]
#[case::one_loses_its_disk(Closing::WipeSome)]
#[case::one_loses_its_disk_and_all_others_power(Closing::WipeSomePowerOffAll)]
fn configuration_and_jobs_outlive_a_final_fault(
    #[case] closing: Closing,
    #[values("four-zones", "five-cores")] name: &str,
) {
    // Given acknowledged changes and accepted jobs, when the final fault strikes right after one more change,
    let report = day_that_ends_with(name, closing, 7);
    // then all is read back, and service is back.
    expect_clean(&report);
    expect_served(&report, 0.5);
    assert!(report.counts.acknowledged >= 2, "{:?}", report.counts);
}

#[rstest]
#[case::taken(When::Taken)]
#[case::timed(When::Timed)]
fn a_job_outlives_a_loss_of_power_right_after_its_acceptance(#[case] when: When) {
    // Given a fleet that has accepted jobs, when all lose power right after the last acceptance,
    let mut scenario = shape("three-zones");
    scenario.faults = vec![Timed { at_s: 1.0, fault: Fault::ConfigRace }];
    scenario.closing = Some(Closing::PowerOffAll);
    scenario.closing_when = when;
    let report = run(&scenario, 11);
    // then each job and each result that was read is read again.
    expect_clean(&report);
    assert!(report.counts.jobs > 3, "{:?}", report.counts);
}

#[test]
fn executors_are_replaced_without_a_loss() {
    // Given executors that each have an address that others may get later, when half of them are replaced in turn,
    let report = day_with("three-zones", Fault::Release { share: 0.5, gap_s: 0.5 }, 3);
    // then each was told that all know, and nothing reached one afterwards.
    expect_clean(&report);
    expect_served(&report, 0.99);
    assert!(report.counts.drained >= 6, "{:?}", report.counts);
}

#[rstest]
#[case::in_silence(true)]
#[case::with_a_reset(false)]
fn executors_crash(#[case] silent: bool) {
    // Given executors at work, when some are gone from one moment to the next,
    let report = day_with("four-zones", Fault::ExecutorCrash { share: 0.3, silent }, 5);
    // then requests that may not run twice don't, and most are served.
    expect_clean(&report);
    expect_served(&report, 0.85);
}

#[rstest]
#[case::lost(Fault::AnswerLost { x: 0.1, for_s: 4.0 })]
#[case::cut(Fault::Garble { x: 0.1, surplus: false, for_s: 4.0 })]
#[case::surplus(Fault::Garble { x: 0.1, surplus: true, for_s: 4.0 })]
fn executors_lose_and_spoil_answers(#[case] fault: Fault) {
    // Given executors that lie, when clients get answers, then none is another request's or half a one, and streams go on.
    let report = day_with("four-zones", fault, 9);
    expect_clean(&report);
    expect_served(&report, 0.8);
}

#[rstest]
#[case::process_of_the_leader(Fault::NodeKill { on: On::Core, leader: true, power: false, wipe: false, for_s: 0.6 })]
#[case::power_of_the_leader(Fault::NodeKill { on: On::Core, leader: true, power: true, wipe: false, for_s: 3.0 })]
#[case::disk_of_the_leader(Fault::NodeKill { on: On::Core, leader: true, power: true, wipe: true, for_s: 1.0 })]
#[case::edge(Fault::NodeKill { on: On::Edge, leader: false, power: true, wipe: false, for_s: 2.0 })]
#[case::store(Fault::NodeKill { on: On::Storage, leader: true, power: true, wipe: false, for_s: 2.0 })]
#[case::disk_of_a_store(Fault::NodeKill { on: On::Storage, leader: true, power: true, wipe: true, for_s: 1.0 })]
#[case::frozen_leader(Fault::NodeFreeze { on: On::Core, leader: true, for_s: 3.0 })]
#[case::frozen_store(Fault::NodeFreeze { on: On::Storage, leader: true, for_s: 3.0 })]
#[case::frozen_edge(Fault::NodeFreeze { on: On::Edge, leader: false, for_s: 3.0 })]
#[case::terminated_in_turn(Fault::RollTerm { on: On::Edge, count: 4, gap_s: 1.0, remove: false })]
#[case::stores_terminated(Fault::RollTerm { on: On::Storage, count: 2, gap_s: 1.0, remove: false })]
#[case::removed(Fault::RollTerm { on: On::Edge, count: 1, gap_s: 1.0, remove: true })]
#[case::added_edge(Fault::AddNode { on: On::Edge })]
#[case::added_store(Fault::AddNode { on: On::Storage })]
#[case::replaced(Fault::Replace { on: On::Core, after_s: 1.0, planned: false })]
#[case::replaced_as_planned(Fault::Replace { on: On::Core, after_s: 1.0, planned: true })]
#[case::replaced_store(Fault::Replace { on: On::Storage, after_s: 1.0, planned: false })]
#[case::slow_disk(Fault::DiskSlow { on: On::Core, times: 30.0, for_s: 4.0 })]
#[case::slow_disk_of_a_store(Fault::DiskSlow { on: On::Storage, times: 30.0, for_s: 4.0 })]
#[case::leader_cut_off(Fault::Cut { on: On::Core, leader: true, one_way: false, resets: false, for_s: 4.0 })]
#[case::leader_cut_off_one_way(Fault::Cut { on: On::Core, leader: true, one_way: true, resets: false, for_s: 4.0 })]
#[case::leader_cut_off_with_resets(Fault::Cut { on: On::Core, leader: true, one_way: false, resets: true, for_s: 4.0 })]
#[case::store_cut_off(Fault::Cut { on: On::Storage, leader: true, one_way: false, resets: false, for_s: 4.0 })]
#[case::connections_reset(Fault::Reset { on: On::Edge })]
#[case::killed_after_an_acknowledgement(Fault::AfterAckKill { after_ms: 0.5, wipe: false, for_s: 2.0 })]
#[case::wiped_after_an_acknowledgement(Fault::AfterAckKill { after_ms: 0.5, wipe: true, for_s: 2.0 })]
#[case::killed_after_an_acceptance(Fault::AfterTakenKill { after_ms: 0.5, for_s: 2.0 })]
#[case::race(Fault::ConfigRace)]
#[case::emptied(Fault::Retire)]
#[case::emptied_and_another_wiped(Fault::RetireWipe { for_s: 1.0 })]
#[case::changes_in_a_row(Fault::ConfigSeries { count: 6 })]
#[case::slow_machine(Fault::NodeSlow { on: On::Core, times: 10.0, for_s: 3.0 })]
#[case::full_disk(Fault::DiskFull { on: On::Core, for_s: 2.0 })]
#[case::full_disk_of_a_store(Fault::DiskFull { on: On::Storage, for_s: 2.0 })]
#[case::idle_connections_forgotten(Fault::IdleDrop { on: On::Core })]
#[case::terminated_while_busy(Fault::RollTermBusy { on: On::Edge, count: 3, gap_s: 1.0 })]
#[case::executors_falsely_ill(Fault::ExecutorFalselyIll { share: 0.3, for_s: 3.0 })]
#[case::executors_flap(Fault::ExecutorFlap { share: 0.15, times: 3, gap_s: 1.0 })]
#[case::burst(Fault::Burst { times: 8.0, for_s: 3.0 })]
fn one_trouble_breaks_no_rule(#[case] fault: Fault, #[values("four-zones", "three-zones")] name: &str) {
    // Given a fleet at work, when one thing goes wrong or is planned, then no rule is broken and most is served.
    let report = day_with(name, fault, 21);
    expect_clean(&report);
    expect_served(&report, 0.8);
}

#[rstest]
#[case::errors(Grey::Errors)]
#[case::shed(Grey::Shed)]
#[case::busy(Grey::Busy)]
#[case::hang(Grey::Hang)]
#[case::reset(Grey::Reset)]
#[case::slow(Grey::Slow)]
fn executors_fail_some_requests_while_their_health_is_good(#[case] how: Grey, #[values(0.4, 1.0)] x: f64) {
    // Given some executors that say they are well, when they fail requests, then no rule is broken and most are served.
    let report = day_with("three-zones", Fault::ExecutorGrey { share: 0.15, x, how, for_s: 3.0 }, 13);
    expect_clean(&report);
    expect_served(&report, 0.8);
}

#[rstest]
fn links_that_were_forgotten_on_the_way_are_begun_anew(#[values(8, 19, 32, 48, 83)] seed: u64) {
    // Given machines whose idle connections something on the way has forgotten without a word,
    let mut scenario = shape("four-zones");
    let drop = |at_s| Timed { at_s, fault: Fault::IdleDrop { on: On::Edge } };
    // when the configuration changes afterwards,
    let change = Timed { at_s: 4.0, fault: Fault::ConfigChange };
    scenario.faults = vec![drop(2.0), drop(3.0), change];
    // then all serve by it in time, as what is written on such a link and does not arrive breaks it.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn a_node_that_stops_loses_nothing_though_requests_go_on_coming(
    #[values("four-zones", "two-zones")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given executors that need seconds for a stream, when nodes are stopped while the platform goes on sending requests
    // to them, as it does where it has no others,
    let mut scenario = shape(name);
    scenario.load.length_s = 14.0;
    let stopped = Fault::RollTermBusy { on: On::Edge, count: 3, gap_s: 0.5 };
    let slow = Fault::ExecutorGrey { share: 1.0, x: 0.5, how: Grey::Slow, for_s: 12.0 };
    scenario.faults = vec![Timed { at_s: 1.0, fault: slow }, Timed { at_s: 1.5, fault: stopped }];
    // then none of what they take ends without its answer.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn executors_that_leave_by_way_of_a_node_that_is_cut_off_get_no_requests(
    #[values(CutFrom::Counted, CutFrom::All)] from: CutFrom,
    #[values("four-zones", "five-cores")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given a leader that is cut off for twelve seconds and that executors call first, when some leave long after the
    // others are in touch again,
    let mut scenario = shape(name);
    scenario.load = Load { length_s: 18.0, live_per_s: 60.0, ..scenario.load };
    let cut = Fault::Isolation { on: On::Core, count: 1, from, lure: true, for_s: 12.0 };
    let leave = |at_s| Timed { at_s, fault: Fault::Release { share: 0.3, gap_s: 0.1 } };
    scenario.faults = vec![Timed { at_s: 1.0, fault: cut }, leave(4.5), leave(7.5)];
    // then no request reaches one long after its leave was acknowledged, by whichever node.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn an_invalid_configuration_is_refused(
    #[values(
        WrongKind::CutShort,
        WrongKind::UnknownService,
        WrongKind::SamePlace,
        WrongKind::NoTimeout,
        WrongKind::OldVersion
    )]
    how: WrongKind,
) {
    // Given a configuration in force, when an invalid one is sent,
    let report = day_with("three-zones", Fault::BadConfig { how }, 2);
    // then it is not acknowledged, and the one before is read back.
    expect_clean(&report);
    assert_eq!(report.counts.acknowledged, 1);
}

#[test]
fn a_zone_is_lost_with_nothing_that_counts_beyond_one_machine() {
    // Given five zones of which each has two counted machines, two of which may be lost, when a zone is cut off,
    let report = day_with("five-cores", Fault::ZoneCut { zone: 2, for_s: 4.0 }, 4);
    // then the others go on.
    expect_clean(&report);
    expect_served(&report, 0.8);
}

#[rstest]
fn leaders_that_stand_still_lose_nothing_of_a_crowd_of_jobs(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    // Given more items than executors have room for, so that results still come while all is read for the last time, and
    // clients that end jobs, when leaders stand still for so long that others act in their stead,
    let mut scenario = shape("three-zones");
    scenario.load =
        Load { jobs_per_s: 5.0, slots: 2, executors: 2, quota: 0, length_s: 14.0, ..scenario.load };
    let frozen = Fault::NodeFreeze { on: On::Storage, leader: true, for_s: 6.0 };
    scenario.faults =
        (0..3).map(|second| Timed { at_s: 2.0 + f64::from(second), fault: frozen.clone() }).collect();
    // then each item is listed or gives its body, and nothing that was ended long ago runs when they wake.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn a_leader_that_stood_still_after_a_look_at_its_clock_shows_nothing_old(
    #[values("four-zones", "five-cores")] name: &str,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    // Given a leader that stands still between its look at the clock and its sockets, when the configuration changes
    // meanwhile and is read by way of it just as it goes on,
    let mut scenario = shape(name);
    scenario.load = Load { length_s: 10.0, reads_per_s: 20.0, ..scenario.load };
    let frozen = Fault::NodeFreeze { on: On::Core, leader: true, for_s: 3.0 };
    let change = |at_s| Timed { at_s, fault: Fault::ConfigChange };
    scenario.faults =
        vec![Timed { at_s: 1.0, fault: frozen }, change(2.8), change(3.3), change(3.6), change(3.9)];
    // then it knows that its lease is over.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn the_next_loss_may_be_borne_before_a_returned_machine_counts_again(
    #[values("four-zones", "three-zones", "five-cores", "two-regions")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given a tier with jobs, when disks are lost and machines are replaced one after the other, by plan and without,
    let mut scenario = shape(name);
    scenario.load.length_s = 34.0;
    let wiped = |on| Fault::NodeKill { on, leader: true, power: true, wipe: true, for_s: 1.0 };
    let replaced = |on, planned| Fault::Replace { on, after_s: 2.0, planned };
    let faults = [
        (1.0, wiped(On::Core)),
        (2.0, wiped(On::Storage)),
        (11.0, replaced(On::Storage, false)),
        (19.0, replaced(On::Core, true)),
        (26.0, replaced(On::Storage, true)),
    ];
    scenario.faults = faults.map(|(at_s, fault)| Timed { at_s, fault }).to_vec();
    let report = run(&scenario, seed);
    expect_clean(&report);
    // then the groups of all partitions are whole again within the time for which the machine counts as lost.
    let whole = report.times.taken.iter().filter(|(what, _)| *what == What::GroupWhole);
    let times: Vec<Duration> = whole.map(|(_, time)| *time).collect();
    assert!(times.len() >= 4, "{} repairs of {name}", times.len());
    assert!(times.iter().all(|time| *time < SYNC_TIME), "{times:?}");
}

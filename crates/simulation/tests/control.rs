//! The control side on the operators' worst days, one fleet a day: machines that are cut off, orders that race and come again,
//! losses right after repairs, hundreds of changes.

mod fleets;

use fleets::{expect_clean, shape};
use grebeusher_simulation::fleet::run;
use grebeusher_simulation::scenario::{Closing, CutFrom, Fault, Load, On, Scenario, Timed};
use rstest::rstest;

/// A day of so many seconds with these faults, each at its second.
fn day(name: &str, length_s: f64, faults: &[(f64, Fault)]) -> Scenario {
    let mut scenario = shape(name);
    scenario.load.length_s = length_s;
    scenario.faults =
        faults.iter().map(|(at_s, fault)| Timed { at_s: *at_s, fault: fault.clone() }).collect();
    scenario
}

/// The leader of a class's first partition is cut off for a time.
fn leader_cut_off(on: On, from: CutFrom, for_s: f64) -> Fault {
    Fault::Isolation { on, count: 1, from, lure: false, for_s }
}

#[rstest]
fn a_job_that_was_accepted_outlives_a_leader_that_is_cut_off(
    #[values("four-zones", "two-zones")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given many jobs, when their leader is cut off from the other replicas again and again,
    let cut = |at_s| (at_s, leader_cut_off(On::Storage, CutFrom::Counted, 2.0));
    let mut scenario = day(name, 20.0, &[cut(1.0), cut(9.0), cut(17.0)]);
    scenario.load = Load { jobs_per_s: 15.0, quota: 0, ..scenario.load };
    // then each one that was accepted is there.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn a_change_that_was_acknowledged_outlives_a_leader_that_is_cut_off(
    #[values("four-zones", "five-cores")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given changes that follow each other as fast as they are acknowledged, when their leader is cut off,
    let cut = |at_s| (at_s, leader_cut_off(On::Core, CutFrom::Counted, 3.0));
    let changes = |at_s| (at_s, Fault::ConfigSeries { count: 6 });
    let mut faults = vec![cut(1.0), cut(10.0)];
    faults.extend((0..24).map(|step| changes(0.9 + 0.02 * f64::from(step))));
    faults.extend((0..24).map(|step| changes(9.9 + 0.02 * f64::from(step))));
    // then each one that was acknowledged is shown by all reads that are sent afterwards, and at the end.
    expect_clean(&run(&day(name, 18.0, &faults), seed));
}

#[rstest]
fn jobs_under_way_at_a_leader_that_stands_still_are_accepted_only_if_they_are_kept(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    // Given many jobs under way between regions, when their leader stands still just long enough for another one to take the
    // same places of the log, and hears of that all at once,
    let frozen = Fault::NodeFreeze { on: On::Storage, leader: true, for_s: 1.6 };
    let faults: Vec<(f64, Fault)> =
        (0..4).map(|time| (1.0 + 7.0 * f64::from(time), frozen.clone())).collect();
    let mut scenario = day("two-regions", 28.0, &faults);
    scenario.load = Load { jobs_per_s: 30.0, quota: 0, ..scenario.load };
    // then each job that was accepted is there.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn a_machine_that_is_cut_off_for_twenty_seconds_shows_and_confirms_nothing_old(
    #[values(CutFrom::Counted, CutFrom::All)] from: CutFrom,
    #[values("four-zones", "five-cores", "two-regions")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given a leader that is cut off for twenty seconds while clients, executors and operators reach it, when changes,
    // races and wrong orders go on,
    let mut faults = vec![(1.0, leader_cut_off(On::Core, from, 20.0))];
    faults.extend((0..9).map(|step| (1.5 + 2.0 * f64::from(step), Fault::ConfigChange)));
    faults.extend((0..9).map(|step| (2.5 + 2.0 * f64::from(step), Fault::ConfigRace)));
    faults.push((20.5, Fault::ConfigSeries { count: 6 }));
    faults.push((21.2, Fault::ConfigSeries { count: 6 }));
    let mut scenario = day(name, 26.0, &faults);
    scenario.load.reads_per_s = 20.0;
    let report = run(&scenario, seed);
    // then no read shows less than what had been acknowledged before it, no order is confirmed that is not in force, and
    // the others go on.
    expect_clean(&report);
    assert!(report.counts.acknowledged >= 15, "{:?}", report.counts);
}

#[rstest]
fn halves_of_the_core_lose_nothing(
    #[values(On::Core, On::Storage)] on: On,
    #[values("four-zones", "two-zones", "five-cores")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given a core that is cut into halves, whatever may be lost, when orders and jobs go on, and all are killed just
    // after the cut has healed,
    let halves = Fault::Isolation { on, count: 1, from: CutFrom::Halves, lure: false, for_s: 6.0 };
    let mut faults = vec![(1.0, halves)];
    faults.extend((0..6).map(|step| (1.3 + f64::from(step), Fault::ConfigRace)));
    let mut scenario = day(name, 12.0, &faults);
    scenario.closing = Some(Closing::KillAll);
    // then what was acknowledged is there.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn the_whole_core_may_be_killed_at_one_moment_while_changes_and_jobs_are_under_way(
    #[values("four-zones", "five-cores")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given orders and jobs at any moment, when all of the core is killed at once, twice, and is back within a second,
    let killed = Fault::HerdKill { for_s: 0.8 };
    let mut faults = vec![(2.0, killed.clone()), (7.5, killed)];
    faults.extend((0..9).map(|step| (1.0 + f64::from(step) * 0.97, Fault::ConfigRace)));
    let mut scenario = day(name, 13.0, &faults);
    scenario.load = Load { jobs_per_s: 8.0, quota: 0, reads_per_s: 15.0, ..scenario.load };
    let report = run(&scenario, seed);
    // then what was acknowledged is there, nothing older is shown, and jobs are taken again.
    expect_clean(&report);
    assert!(report.counts.jobs > 30, "{:?}", report.counts);
    assert!(report.counts.acknowledged > 5, "{:?}", report.counts);
}

#[rstest]
fn a_leader_that_is_killed_while_it_is_cut_off_starts_with_nothing_old(
    #[values("four-zones", "five-cores")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given a leader that is cut off, when it is restarted on its side, from its own disk and with nobody to ask,
    let restarted = Fault::NodeKill { on: On::Core, leader: true, power: false, wipe: false, for_s: 0.5 };
    let mut faults = vec![(1.0, leader_cut_off(On::Core, CutFrom::All, 9.0)), (1.2, restarted.clone())];
    faults.extend((0..7).map(|step| (2.0 + f64::from(step), Fault::ConfigChange)));
    faults.push((10.4, restarted));
    let mut scenario = day(name, 16.0, &faults);
    scenario.load.reads_per_s = 15.0;
    // then neither it nor the others, killed just after the healing, show what is old.
    expect_clean(&run(&scenario, seed));
}

#[rstest]
fn hundreds_of_changes_are_caught_up_with_by_whoever_comes_back(
    #[values("four-zones", "five-cores")] name: &str,
    #[values(1, 2)] seed: u64,
) {
    // Given long tables of routes, when hundreds of changes are made while core machines are away one after the other,
    // the last with an empty disk, and all lose power at the end,
    let away =
        |at_s, wipe| (at_s, Fault::NodeKill { on: On::Core, leader: true, power: true, wipe, for_s: 4.0 });
    let mut faults = vec![away(1.0, false), away(11.0, false), away(21.0, true)];
    faults.extend((0..300).map(|step| (0.5 + 0.1 * f64::from(step), Fault::ConfigSeries { count: 3 })));
    let mut scenario = day(name, 36.0, &faults);
    scenario.load.ballast_routes = 40;
    scenario.closing = Some(Closing::WipeSomePowerOffAll);
    let report = run(&scenario, seed);
    // then all of them serve by the newest in time, and it is read back.
    expect_clean(&report);
    assert!(report.counts.acknowledged >= 250, "{:?}", report.counts);
}

#[rstest]
fn an_order_whose_answer_was_lost_is_acknowledged_again_or_left_open(
    #[values("four-zones", "five-cores", "two-regions")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given operators whose answers are nearly all lost, and who send the same again by way of other nodes, when the leader is
    // killed, frozen and cut off, and orders race for one number,
    let killed = Fault::NodeKill { on: On::Core, leader: true, power: true, wipe: false, for_s: 2.0 };
    let frozen = Fault::NodeFreeze { on: On::Core, leader: true, for_s: 3.0 };
    let mut faults = vec![(0.8, Fault::AckLost { x: 0.9, for_s: 22.0 }), (1.5, killed), (9.0, frozen)];
    faults.push((16.5, leader_cut_off(On::Core, CutFrom::Counted, 4.0)));
    for step in 0..20 {
        let at_s = 1.0 + f64::from(step);
        faults.push((at_s, if step % 3 == 0 { Fault::ConfigSameNumber } else { Fault::ConfigRace }));
    }
    let mut scenario = day(name, 26.0, &faults);
    scenario.closing = Some(Closing::WipeSomePowerOffAll);
    let report = run(&scenario, seed);
    // then no order that was taken is refused, and of two on one version or number one at most is confirmed.
    expect_clean(&report);
    assert!(report.counts.acknowledged >= 4, "{:?}", report.counts);
}

#[rstest]
fn storage_machines_that_all_stop_in_turn_keep_their_jobs(
    #[values("three-zones", "four-zones", "five-cores")] name: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    // Given many jobs, when the storage machines, and then those of the core, are stopped one after the other,
    let roll = |on| Fault::RollTerm { on, count: 3, gap_s: 1.0, remove: false };
    let mut scenario = day(name, 34.0, &[(1.0, roll(On::Storage)), (18.0, roll(On::Core))]);
    scenario.load = Load { jobs_per_s: 8.0, quota: 0, ..scenario.load };
    let report = run(&scenario, seed);
    // then nothing is lost, and most is served.
    expect_clean(&report);
    assert!(report.counts.jobs > 200, "{:?}", report.counts);
}

//! Executors: their heartbeats and the nodes that receive these, missing heartbeats, late calls, and reused addresses.

mod fleet;

use fleet::{Fleet, control, draining, next, report, zone};
use grebeusher_registry::{Answer, Executor, ExecutorState, HeartbeatReport, Model};
use grebeusher_time::Duration;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The timeout of an executor: three heartbeat intervals and 300 ms.
const EXECUTOR_TIMEOUT: Duration = Duration::from_millis(3 * 1_200 + 300);

fn shown(fleet: &Fleet, index: usize, id: &str) -> Option<Executor> {
    fleet.registry(index).executor(id).cloned()
}

fn all_show(fleet: &Fleet, id: &str, condition: impl Fn(&Executor) -> bool) -> bool {
    fleet
        .running()
        .into_iter()
        .all(|index| shown(fleet, index, id).is_some_and(|executor| condition(&executor)))
}

/// Sends heartbeats of an executor to one node at the usual interval.
fn send_heartbeats(fleet: &mut Fleet, index: usize, last: &mut HeartbeatReport, times: usize) {
    for _ in 0..times {
        fleet.run(Duration::from_millis(1_200));
        *last = next(last);
        fleet.heartbeat(index, last);
    }
}

#[test]
fn changes_are_published_and_unchanged_heartbeats_are_not() {
    let mut fleet = Fleet::converged(14, 1);
    let mut last = report("i-1", 0);
    fleet.heartbeat(4, &last);
    fleet.run(Duration::from_millis(200));
    assert!(all_show(&fleet, "i-1", |executor| executor.report.call_seq == 1
        && executor.reporter == fleet.nodes[4].name));
    let before = fleet.registry(9).generation();
    send_heartbeats(&mut fleet, 4, &mut last, 5);
    fleet.run(Duration::from_millis(200));
    assert_eq!(fleet.registry(9).generation(), before);
    last = next(&last);
    last.models = vec![Model { name: "m".to_owned(), config_version: 2 }];
    fleet.heartbeat(4, &last);
    fleet.run(Duration::from_millis(200));
    assert!(all_show(&fleet, "i-1", |executor| executor.report.models.len() == 1
        && executor.report.call_seq == 7));
    assert_eq!(fleet.registry(9).executors_of("huvo11a").count(), 1);
    assert_eq!(fleet.registry(9).executors_of("another").count(), 0);
}

#[test]
fn a_late_call_changes_nothing() {
    let mut fleet = Fleet::converged(14, 1);
    let mut last = report("i-1", 0);
    fleet.heartbeat(4, &last);
    let late = next(&last);
    send_heartbeats(&mut fleet, 4, &mut last, 4);
    let mut late = HeartbeatReport { service: "another".to_owned(), ..late };
    late.address.set_port(1);
    assert_eq!(fleet.heartbeat(4, &late).answer, Answer::Now);
    fleet.run(Duration::from_millis(500));
    assert!(all_show(&fleet, "i-1", |executor| executor.report.service == "huvo11a"
        && executor.report.address.port() == 8_080));
}

#[test]
fn a_late_call_at_another_node_loses_against_newer_heartbeats_at_the_reporter() {
    let mut fleet = Fleet::converged(14, 1);
    let mut last = report("i-1", 0);
    fleet.heartbeat(4, &last);
    let late = next(&last);
    send_heartbeats(&mut fleet, 4, &mut last, 4);
    // Heartbeats without changes are not published, so the other node accepts the late call as newer.
    fleet.heartbeat(9, &late);
    fleet.run(Duration::from_millis(500));
    let reporter = fleet.nodes[4].name.clone();
    assert!(
        all_show(&fleet, "i-1", |executor| executor.reporter == reporter && executor.report.call_seq == 5)
    );
}

#[rstest]
#[case(14)]
#[case(78)]
fn heartbeats_are_shared_evenly_among_the_edge_nodes_of_a_zone(#[case] count: usize) {
    let mut fleet = Fleet::converged(count, 1);
    let mut load: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    let edge_count = count - count / 8;
    for number in 0..400 {
        let mut first = report(&format!("i-{number}"), 1);
        first.address.set_port(9_000 + number as u16);
        let target = fleet.heartbeat(number % edge_count, &first).heartbeat_target.expect("a target");
        *load.entry(target).or_default() += 1;
    }
    let in_zone: Vec<SocketAddrV4> =
        (0..edge_count).filter(|index| zone(*index) == zone(1)).map(control).collect();
    assert!(load.keys().all(|target| in_zone.contains(target)));
    let mean = 400 / in_zone.len();
    for target in in_zone {
        let share = load.get(&target).copied().unwrap_or(0);
        assert!(share > mean / 3 && share < mean * 2, "{target} has {share} of 400, the mean is {mean}");
    }
}

#[test]
fn a_departing_node_moves_only_its_own_executors() {
    let mut fleet = Fleet::converged(14, 1);
    let reports: Vec<HeartbeatReport> = (0..200)
        .map(|number| {
            let mut first = report(&format!("i-{number}"), 1);
            first.address.set_port(9_000 + number as u16);
            first
        })
        .collect();
    let before: Vec<_> = reports.iter().map(|first| fleet.heartbeat(0, first).heartbeat_target).collect();
    let now = fleet.now;
    fleet.with(5, |registry| registry.leave(now));
    fleet.run(Duration::from_millis(300));
    for (first, before) in reports.iter().zip(before) {
        let after = fleet.heartbeat(0, &next(first)).heartbeat_target;
        assert_ne!(after, Some(control(5)));
        if before != Some(control(5)) {
            assert_eq!(after, before);
        }
    }
}

#[test]
fn an_executor_in_a_zone_without_edge_nodes_uses_those_of_other_zones() {
    let mut fleet = Fleet::converged(14, 1);
    let first = HeartbeatReport { zone: "elsewhere".to_owned(), ..report("i-1", 0) };
    assert!(fleet.heartbeat(0, &first).heartbeat_target.is_some());
}

#[test]
fn an_executor_that_misses_its_heartbeats_is_unresponsive_until_the_next_one() {
    let mut fleet = Fleet::converged(14, 1);
    let mut last = report("i-1", 0);
    fleet.heartbeat(4, &last);
    send_heartbeats(&mut fleet, 4, &mut last, 3);
    fleet.run(EXECUTOR_TIMEOUT.saturating_sub(Duration::from_millis(100)));
    assert!(all_show(&fleet, "i-1", |executor| !executor.unresponsive));
    fleet.run(Duration::from_millis(900));
    assert!(all_show(&fleet, "i-1", |executor| executor.unresponsive));
    fleet.heartbeat(4, &next(&last));
    fleet.run(Duration::from_millis(200));
    assert!(all_show(&fleet, "i-1", |executor| !executor.unresponsive));
}

#[test]
fn an_executor_whose_reporter_died_is_unresponsive_unless_another_node_hears_it() {
    let mut fleet = Fleet::converged(14, 1);
    let lost = report("i-1", 0);
    let mut moving = report("i-2", 0);
    moving.address.set_port(8_081);
    fleet.heartbeat(4, &lost);
    fleet.heartbeat(4, &moving);
    fleet.run(Duration::from_millis(200));
    fleet.kill(4);
    send_heartbeats(&mut fleet, 6, &mut moving, 6);
    assert!(all_show(&fleet, "i-1", |executor| executor.unresponsive));
    assert!(all_show(&fleet, "i-2", |executor| !executor.unresponsive));
}

#[test]
fn a_frozen_reporter_that_wakes_marks_no_executor_unresponsive() {
    let mut fleet = Fleet::converged(14, 1);
    let mut last = report("i-1", 0);
    fleet.heartbeat(4, &last);
    fleet.run(Duration::from_millis(200));
    fleet.freeze(4);
    fleet.run(Duration::from_millis(6_000));
    fleet.thaw(4);
    fleet.run(Duration::from_millis(1_000));
    assert!(shown(&fleet, 4, "i-1").is_some_and(|executor| !executor.unresponsive));
    last = next(&last);
    fleet.heartbeat(4, &last);
    fleet.run(Duration::from_millis(500));
    assert!(all_show(&fleet, "i-1", |executor| !executor.unresponsive));
}

#[test]
fn a_restarted_reporter_watches_its_executors_again() {
    let mut fleet = Fleet::converged(14, 1);
    fleet.heartbeat(4, &report("i-1", 0));
    fleet.run(Duration::from_millis(200));
    fleet.kill(4);
    fleet.run(Duration::from_millis(100));
    fleet.start(4);
    fleet.run(Duration::from_millis(1_000));
    assert!(all_show(&fleet, "i-1", |executor| !executor.unresponsive));
    fleet.run(Duration::from_millis(5_000));
    assert!(all_show(&fleet, "i-1", |executor| executor.unresponsive));
}

#[test]
fn unresponsive_and_gone_executors_expire_and_do_not_come_back() {
    let mut fleet = Fleet::converged(14, 1);
    fleet.heartbeat(4, &report("i-1", 0));
    let mut ended = report("i-2", 0);
    ended.address.set_port(8_081);
    fleet.heartbeat(4, &ended);
    fleet.run(Duration::from_millis(500));
    fleet.deregister(4, "i-2");
    fleet.run(Duration::from_millis(30_000));
    // A node that starts later receives the unresponsive executor, and removes it when the others do.
    fleet.kill(7);
    fleet.start(7);
    fleet.run(Duration::from_millis(40_000));
    for index in 0..14 {
        assert_eq!(fleet.registry(index).executors().count(), 0, "{}", fleet.nodes[index].name);
    }
    fleet.reset_traffic();
    fleet.run(Duration::from_millis(5_000));
    let bytes = fleet.nodes.iter().map(|node| node.sent.bytes + node.received.bytes).max().unwrap_or(0) / 5;
    assert!(bytes < 1_200, "{bytes} bytes per second because of expired executors");
    // A delayed call does not bring back a deregistered executor; a new call does bring back an unresponsive one.
    fleet.heartbeat(6, &next(&ended));
    fleet.heartbeat(6, &next(&report("i-1", 0)));
    fleet.run(Duration::from_millis(500));
    assert!(all_show(&fleet, "i-1", |executor| !executor.unresponsive));
    assert!((0..14).all(|index| shown(&fleet, index, "i-2").is_none()));
}

#[test]
fn a_reused_address_makes_its_former_executor_unresponsive() {
    let mut fleet = Fleet::converged(14, 1);
    let mut crashed = report("i-1", 0);
    fleet.heartbeat(4, &crashed);
    send_heartbeats(&mut fleet, 4, &mut crashed, 1);
    let mut successor = report("i-2", 0);
    successor.service = "wuno96b".to_owned();
    fleet.heartbeat(9, &successor);
    fleet.run(Duration::from_millis(200));
    assert!(
        all_show(&fleet, "i-2", |executor| !executor.unresponsive && executor.report.service == "wuno96b")
    );
    // The reporter of the former executor has received a later call than the published one, so that executor becomes
    // unresponsive only by its missing heartbeats.
    fleet.run(Duration::from_millis(4_500));
    assert!(all_show(&fleet, "i-1", |executor| executor.unresponsive));
    fleet.heartbeat(9, &next(&successor));
    fleet.run(Duration::from_millis(200));
    assert!(all_show(&fleet, "i-2", |executor| !executor.unresponsive));
}

#[test]
fn an_executor_that_called_once_is_unresponsive_when_its_address_is_reused() {
    let mut fleet = Fleet::converged(14, 1);
    fleet.heartbeat(4, &report("i-1", 0));
    fleet.run(Duration::from_millis(200));
    fleet.heartbeat(9, &report("i-2", 0));
    fleet.run(Duration::from_millis(200));
    assert!(all_show(&fleet, "i-1", |executor| executor.unresponsive));
    assert!(all_show(&fleet, "i-2", |executor| !executor.unresponsive));
}

#[test]
fn a_merged_drain_persists_in_any_order() {
    let mut fleet = Fleet::converged(14, 1);
    let first = report("i-1", 0);
    fleet.heartbeat(4, &first);
    fleet.run(Duration::from_millis(200));
    fleet.cut_off(&[9]);
    fleet.heartbeat(4, &draining(&first));
    // On the other side of the partition a later call still has the state `up`.
    let later_call = HeartbeatReport { call_seq: 40, ..first.clone() };
    fleet.heartbeat(9, &later_call);
    fleet.run(Duration::from_millis(1_000));
    fleet.heal();
    fleet.run(Duration::from_millis(1_500));
    assert!(all_show(&fleet, "i-1", |executor| executor.report.state == ExecutorState::Draining
        && executor.report.call_seq == 40));
    assert!(fleet.all_show_same_executors());
}

/// Creates a fleet whose nodes have all restarted, one of them with its stored hint of an executor.
fn restarted_with_a_hint() -> (Fleet, HeartbeatReport) {
    let mut fleet = Fleet::converged(14, 1);
    let first = report("i-1", 0);
    fleet.heartbeat(4, &first);
    fleet.run(Duration::from_millis(200));
    let hint = fleet.registry(4).executors_hint();
    (0..14).for_each(|index| fleet.kill(index));
    (0..14).for_each(|index| fleet.start(index));
    let now = fleet.now;
    fleet.with(4, |registry| registry.restore_executors(now, &hint)).expect("the stored hint is valid");
    (fleet, first)
}

#[test]
fn an_executor_that_is_only_restored_is_not_relied_on_until_nodes_are_in_contact() {
    // Given a fleet after a power failure of all nodes, and an executor in a stored hint that may have announced its
    // drain after the hint was written,
    let (mut fleet, _) = restarted_with_a_hint();
    fleet.run(Duration::from_millis(2_000));
    assert!(shown(&fleet, 4, "i-1").is_some_and(|executor| !executor.unresponsive));
    // when it sends no heartbeat, then it is unresponsive by the time at which nodes count as in contact again.
    fleet.run(Duration::from_millis(1_000));
    assert!(fleet.registry(4).is_only_restored("i-1"));
    assert!(all_show(&fleet, "i-1", |executor| executor.unresponsive));
}

#[test]
fn a_restored_executor_that_calls_again_is_relied_on() {
    let (mut fleet, mut last) = restarted_with_a_hint();
    send_heartbeats(&mut fleet, 4, &mut last, 3);
    assert!(!fleet.registry(4).is_only_restored("i-1"));
    assert!(all_show(&fleet, "i-1", |executor| !executor.unresponsive));
}

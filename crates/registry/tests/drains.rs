//! Drains: a call is acknowledged once all reachable nodes have confirmed it, or at a deadline, and an acknowledged
//! drain is never lost.

mod fleet;

use fleet::{Fleet, draining, next, report};
use grebeusher_registry::{Answer, ExecutorState, HeartbeatReport, Losses};
use grebeusher_time::Duration;
use rstest::rstest;

fn state_at(fleet: &Fleet, index: usize, id: &str) -> Option<ExecutorState> {
    fleet.registry(index).executor(id).map(|executor| executor.report.state)
}

fn all_show(fleet: &Fleet, id: &str, state: ExecutorState) -> bool {
    fleet.running().into_iter().all(|index| state_at(fleet, index, id) == Some(state))
}

/// Creates a fleet with one executor that all nodes know.
fn fleet_with_executor(count: usize, seed: u64) -> (Fleet, HeartbeatReport) {
    let mut fleet = Fleet::converged(count, seed);
    let first = report("i-1", 0);
    assert_eq!(fleet.heartbeat(4, &first).answer, Answer::Now);
    let took = fleet.run_until(Duration::from_millis(500), |fleet| all_show(fleet, "i-1", ExecutorState::Up));
    assert!(took.is_some(), "some node does not know the executor");
    (fleet, first)
}

#[rstest]
fn a_drain_reaches_all_before_its_answer(#[values(14, 78, 360)] count: usize) {
    let (mut fleet, first) = fleet_with_executor(count, 1);
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    assert!(!fleet.is_acknowledged(5, answer));
    let took = fleet.run_until(Duration::from_millis(600), |fleet| fleet.is_acknowledged(5, answer));
    println!("{count} nodes: the drain was answered after {took:?}");
    assert!(took.is_some_and(|took| took <= Duration::from_millis(100)), "took {took:?}");
    assert!(all_show(&fleet, "i-1", ExecutorState::Draining));
}

#[rstest]
fn a_drain_reaches_all_before_its_answer_on_bad_links(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let (mut fleet, first) = fleet_with_executor(14, seed);
    fleet.links.loss = 0.2;
    fleet.links.duplicated = 0.2;
    fleet.links.longest = Duration::from_millis(40);
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    let took = fleet.run_until(Duration::from_millis(690), |fleet| fleet.is_acknowledged(5, answer));
    assert!(took.is_some(), "not answered before the deadline");
    assert!(all_show(&fleet, "i-1", ExecutorState::Draining));
}

#[test]
fn a_deregistration_reaches_all_before_its_answer() {
    let (mut fleet, first) = fleet_with_executor(14, 2);
    let drain = fleet.heartbeat(5, &draining(&first)).answer;
    // The deregistration comes while the drain is still being broadcast, and must not be answered together with it.
    let deregistration = fleet.deregister(5, "i-1");
    assert!(matches!(deregistration, Answer::WhenAcknowledged(_)));
    let took = fleet.run_until(Duration::from_millis(600), |fleet| fleet.is_acknowledged(5, deregistration));
    assert!(took.is_some(), "not answered");
    assert!(fleet.is_acknowledged(5, drain));
    assert!(all_show(&fleet, "i-1", ExecutorState::Gone));
    assert_eq!(fleet.deregister(5, "i-1"), Answer::Now);
}

#[test]
fn a_deregistration_during_a_drain_is_broadcast_separately() {
    let (mut fleet, first) = fleet_with_executor(14, 2);
    fleet.heartbeat(5, &draining(&first));
    fleet.run(Duration::from_millis(5));
    let deregistration = fleet.deregister(5, "i-1");
    let took = fleet.run_until(Duration::from_millis(600), |fleet| fleet.is_acknowledged(5, deregistration));
    assert!(took.is_some(), "not answered");
    assert!(all_show(&fleet, "i-1", ExecutorState::Gone));
}

#[test]
fn a_node_that_does_not_know_the_executor_broadcasts_its_deregistration() {
    let (mut fleet, _) = fleet_with_executor(14, 2);
    fleet.kill(6);
    fleet.run(Duration::from_millis(100));
    fleet.start(6);
    let deregistration = fleet.deregister(6, "i-1");
    assert!(matches!(deregistration, Answer::WhenAcknowledged(_)));
    let took =
        fleet.run_until(Duration::from_millis(2_000), |fleet| all_show(fleet, "i-1", ExecutorState::Gone));
    assert!(took.is_some(), "some node does not know of the deregistration");
}

#[test]
fn a_drain_is_answered_at_the_deadline_and_reaches_an_unresponsive_node_later() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.cut_off(&[9]);
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    let took = fleet.run_until(Duration::from_millis(1_000), |fleet| fleet.is_acknowledged(5, answer));
    assert!(
        took.is_some_and(|took| took >= Duration::from_millis(700) && took <= Duration::from_millis(710)),
        "took {took:?}"
    );
    assert_eq!(state_at(&fleet, 9, "i-1"), Some(ExecutorState::Up));
    fleet.run(Duration::from_millis(4_000));
    fleet.heal();
    let took = fleet
        .run_until(Duration::from_millis(1_000), |fleet| all_show(fleet, "i-1", ExecutorState::Draining));
    println!("the node that was cut off knew of the drain {took:?} after the links were restored");
    assert!(took.is_some(), "the node that was cut off does not learn of the drain");
}

#[test]
fn a_dead_node_is_not_waited_for() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.kill(9);
    fleet.run(Duration::from_millis(2_500));
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    let took = fleet.run_until(Duration::from_millis(1_000), |fleet| fleet.is_acknowledged(5, answer));
    assert!(took.is_some_and(|took| took <= Duration::from_millis(60)), "took {took:?}");
}

#[rstest]
fn a_drain_survives_its_reporter_dying_after_the_answer(
    #[values(14, 78)] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let (mut fleet, first) = fleet_with_executor(count, seed);
    fleet.cut_off(&[9]);
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    fleet
        .run_until(Duration::from_millis(1_000), |fleet| fleet.is_acknowledged(5, answer))
        .expect("an answer");
    fleet.run(Duration::from_millis(4));
    fleet.kill(5);
    fleet.heal();
    let took = fleet
        .run_until(Duration::from_millis(1_000), |fleet| all_show(fleet, "i-1", ExecutorState::Draining));
    assert!(took.is_some(), "the node that was cut off does not learn of the drain");
}

#[test]
fn a_lost_first_message_is_recovered_by_retries() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.cut_off(&[9]);
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    fleet.run(Duration::from_millis(20));
    fleet.heal();
    let took = fleet.run_until(Duration::from_millis(600), |fleet| fleet.is_acknowledged(5, answer));
    assert!(took.is_some_and(|took| took <= Duration::from_millis(200)), "took {took:?}");
    assert!(all_show(&fleet, "i-1", ExecutorState::Draining));
}

#[test]
fn a_drain_is_broadcast_again_after_its_node_died() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    let drain = draining(&first);
    fleet.heartbeat(5, &drain);
    fleet.run(Duration::from_millis(5));
    fleet.kill(5);
    let answer = fleet.heartbeat(6, &next(&drain)).answer;
    assert!(
        matches!(answer, Answer::WhenAcknowledged(_)),
        "answered although this node does not know which nodes have the drain"
    );
    fleet.run_until(Duration::from_millis(710), |fleet| fleet.is_acknowledged(6, answer)).expect("an answer");
    assert!(all_show(&fleet, "i-1", ExecutorState::Draining));
    // Later heartbeats do not wait again, even after the broadcast is over.
    assert_eq!(fleet.heartbeat(6, &next(&next(&drain))).answer, Answer::Now);
    fleet.run(Duration::from_millis(3_000));
    assert_eq!(fleet.heartbeat(6, &next(&next(&next(&drain)))).answer, Answer::Now);
}

#[test]
fn a_repeated_call_waits_for_the_same_broadcast() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.cut_off(&[9]);
    let drain = draining(&first);
    let first_answer = fleet.heartbeat(5, &drain).answer;
    fleet.run(Duration::from_millis(300));
    let second_answer = fleet.heartbeat(5, &next(&drain)).answer;
    fleet.run(Duration::from_millis(390));
    assert!(!fleet.is_acknowledged(5, first_answer) && !fleet.is_acknowledged(5, second_answer));
    fleet.run(Duration::from_millis(20));
    assert!(fleet.is_acknowledged(5, first_answer) && fleet.is_acknowledged(5, second_answer));
}

#[test]
fn a_drain_never_goes_back() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    let drain = draining(&first);
    fleet.heartbeat(5, &drain);
    fleet.run(Duration::from_millis(200));
    // A call with the state `up` must not undo the drain, whether the call is late or not, at a node that knows of the
    // drain and at a node that has just started.
    fleet.kill(7);
    fleet.start(7);
    for index in [4, 7] {
        fleet.heartbeat(index, &first);
        fleet.heartbeat(index, &HeartbeatReport { call_seq: 50 + index as u64, ..first.clone() });
        assert_ne!(state_at(&fleet, 4, "i-1"), Some(ExecutorState::Up));
        fleet.run(Duration::from_millis(1_500));
        assert!(all_show(&fleet, "i-1", ExecutorState::Draining));
    }
    fleet.deregister(3, "i-1");
    fleet.run(Duration::from_millis(200));
    fleet.heartbeat(8, &HeartbeatReport { call_seq: 90, ..drain });
    fleet.run(Duration::from_millis(500));
    assert!(all_show(&fleet, "i-1", ExecutorState::Gone));
}

#[test]
fn a_late_call_that_drains_still_counts() {
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.heartbeat(4, &HeartbeatReport { call_seq: 9, ..first.clone() });
    let late = HeartbeatReport { call_seq: 3, ..draining(&first) };
    let answer = fleet.heartbeat(4, &late).answer;
    fleet.run(Duration::from_millis(100));
    assert!(fleet.is_acknowledged(4, answer));
    assert!(all_show(&fleet, "i-1", ExecutorState::Draining));
}

#[test]
fn many_drains_at_once_share_their_messages() {
    let mut fleet = Fleet::converged(78, 6);
    let reports: Vec<HeartbeatReport> =
        (0..300).map(|number| report(&format!("i-{number}"), number)).collect();
    for (number, report) in reports.iter().enumerate() {
        let mut report = report.clone();
        report.address.set_port(9_000 + number as u16);
        fleet.heartbeat(number % 60, &report);
    }
    fleet.run(Duration::from_millis(1_000));
    fleet.reset_traffic();
    let answers: Vec<Answer> =
        reports.iter().map(|report| fleet.heartbeat(7, &draining(report)).answer).collect();
    let took = fleet.run_until(Duration::from_millis(600), |fleet| {
        answers.iter().all(|answer| fleet.is_acknowledged(7, *answer))
    });
    assert!(took.is_some_and(|took| took <= Duration::from_millis(100)), "took {took:?}");
    let reached = reports.iter().all(|report| all_show(&fleet, &report.id, ExecutorState::Draining));
    assert!(reached);
    let max_messages = fleet.nodes.iter().map(|node| node.received.messages).max().unwrap_or(0);
    assert!(max_messages < 600, "{max_messages} messages were received by one node");
}

#[test]
fn a_single_node_answers_at_once_when_no_loss_is_tolerated() {
    let mut fleet = Fleet::new(1, 1);
    fleet.tolerate(Losses::default());
    fleet.start(0);
    let first = report("i-1", 0);
    fleet.heartbeat(0, &first);
    let answer = fleet.heartbeat(0, &draining(&first)).answer;
    fleet.run(Duration::from_millis(10));
    assert!(fleet.is_acknowledged(0, answer));
}

/// Repeats the call of an executor that drains or deregisters for up to 9 s at one node. Returns whether a call was
/// acknowledged.
fn is_ever_acknowledged(fleet: &mut Fleet, index: usize, first: &HeartbeatReport, deregisters: bool) -> bool {
    let mut call = draining(first);
    for _ in 0..10 {
        let answer = if deregisters {
            fleet.deregister(index, &first.id)
        } else {
            fleet.heartbeat(index, &call).answer
        };
        fleet.run(Duration::from_millis(900));
        if fleet.is_acknowledged(index, answer) {
            return true;
        }
        assert!(fleet.is_rejected(index, answer), "a call was neither acknowledged nor rejected");
        call = next(&call);
    }
    false
}

#[rstest]
#[case::alone(&[5], 1)]
#[case::alone_without_a_disk(&[13], 1)]
#[case::with_others_without_a_disk(&[5, 12, 13], 1)]
#[case::with_another_machine_of_the_core(&[4, 5, 13], 2)]
fn the_minority_side_of_a_network_partition_acknowledges_no_drain(
    #[case] side: &[usize],
    #[case] machines: usize,
    #[values(false, true)] deregisters: bool,
) {
    // Given a fleet that tolerates the loss of `machines` machines of the core, and a network partition whose minority
    // side has at most as many of them,
    let mut fleet = Fleet::new(22, 4);
    fleet.tolerate(Losses { machines, zones: 0 });
    fleet.start_all(Duration::from_millis(300));
    fleet.run(Duration::from_millis(6_000));
    let first = report("i-1", 0);
    fleet.heartbeat(side[0], &first);
    fleet.run(Duration::from_millis(500));
    fleet.cut_off(side);
    // when an executor drains on the minority side, even after this side has declared all other nodes dead, then the
    // call is never acknowledged,
    assert!(!is_ever_acknowledged(&mut fleet, side[0], &first, deregisters));
    // because the majority cannot know of it. Once the partition heals, the call is acknowledged.
    fleet.heal();
    assert!(is_ever_acknowledged(&mut fleet, side[0], &first, deregisters));
}

#[test]
fn an_unacknowledged_drain_is_broadcast_again() {
    // Given a node that was cut off while it broadcast a drain, for longer than it resends the broadcast,
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.cut_off(&[5]);
    let drain = draining(&first);
    fleet.heartbeat(5, &drain);
    fleet.run(Duration::from_millis(4_000));
    // when the call is repeated, then it waits again, because no node has confirmed the drain.
    let answer = fleet.heartbeat(5, &next(&drain)).answer;
    assert!(matches!(answer, Answer::WhenAcknowledged(_)), "{answer:?}");
}

#[test]
fn a_new_node_alone_acknowledges_no_drain() {
    // Given a node that has just started and knows no other node, when an executor drains there,
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.kill(6);
    fleet.run(Duration::from_millis(2_500));
    fleet.cut_off(&[6]);
    fleet.start(6);
    // then the call is not acknowledged.
    assert!(!is_ever_acknowledged(&mut fleet, 6, &first, false));
}

#[test]
fn a_drain_is_acknowledged_under_the_tolerated_losses() {
    // Given a fleet with one machine of the core down and one edge node cut off,
    let (mut fleet, first) = fleet_with_executor(14, 3);
    fleet.kill(2);
    fleet.cut_off(&[13]);
    // when an executor drains, then its call is acknowledged at the deadline.
    let answer = fleet.heartbeat(5, &draining(&first)).answer;
    let took = fleet.run_until(Duration::from_millis(1_000), |fleet| fleet.is_acknowledged(5, answer));
    assert!(took.is_some_and(|took| took <= Duration::from_millis(710)), "took {took:?}");
}

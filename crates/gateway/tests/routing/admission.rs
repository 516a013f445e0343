//! Admission, queues and rejection.

use crate::fixture::{START, at, executor, fill, fill_all, forwarded, node, sized, with_prefix};
use grebeusher_gateway::{
    AttemptOutcome, ExecutorDescriptor, ExecutorFault, ExecutorState, Request, RoutingDecision,
    ServiceSettings,
};
use grebeusher_time::{Duration, DurationExt};
use rstest::rstest;

#[test]
fn nothing_is_rejected_while_a_slot_is_free_or_a_queue_is_short() {
    let (mut gateway, service, ids) = node(3, 7);
    fill_all(&mut gateway, START, &ids, 4, 0);
    fill(&mut gateway, START, ids[1], 3, 0);
    assert_eq!(forwarded(gateway.choose(START, &sized(service, 9, 0))), Some(ids[1]));
    // when all are just full, one waits: a slot comes free within a part of its latency_objective
    fill(&mut gateway, START, ids[1], 4, 0);
    assert!(forwarded(gateway.choose(START, &sized(service, 9, 0))).is_some());
    assert_eq!(gateway.decisions().queued, 1);
}

#[test]
fn long_queues_reject_lower_priorities_first_with_the_expected_wait() {
    // given a service whose requests take 100 ms, and queues that take 100 ms to empty
    let (mut gateway, service, ids) = node(3, 7);
    let urgent = sized(service, 9, 0);
    let late = Request { priority: 2, ..urgent };
    for n in 0..200 {
        let token = gateway.attempt_started(at(n), ids[0], &urgent).unwrap();
        gateway.attempt_finished(at(n + 100), token, AttemptOutcome::Served);
    }
    fill_all(&mut gateway, at(400), &ids, 4, 3);
    // then an urgent one may wait for its part of 300 ms, and a less urgent one is rejected
    assert!(forwarded(gateway.choose(at(400), &urgent)).is_some());
    let RoutingDecision::Reject { retry_after } = gateway.choose(at(400), &late) else {
        panic!("no refusal")
    };
    assert!((0.05..=0.2).contains(&retry_after.seconds()), "{retry_after:?}");
    // and with longer queues the urgent one is rejected as well, for longer
    fill_all(&mut gateway, at(400), &ids, 4, 20);
    let RoutingDecision::Reject { retry_after } = gateway.choose(at(400), &urgent) else {
        panic!("no refusal")
    };
    assert!((0.3..=1.2).contains(&retry_after.seconds()), "{retry_after:?}");
    // while one that may have run already waits rather than fail
    assert!(forwarded(gateway.choose(at(400), &Request { may_have_run: true, ..urgent })).is_some());
    // however long the queues are, and however little time it has
    fill_all(&mut gateway, at(400), &ids, 4, 500);
    let committed = Request { may_have_run: true, until_deadline: Duration::from_millis(100), ..urgent };
    assert!(forwarded(gateway.choose(at(400), &committed)).is_some());
}

#[rstest]
#[case::without_a_stake(170)]
#[case::with_a_stake(13_000)]
fn nothing_is_rejected_while_half_of_all_slots_are_free(#[case] shared: u32) {
    // given executors with one of four slots taken, and a memory that seems to be full by it
    let (mut gateway, service, ids) = node(4, 7);
    for id in &ids {
        gateway.attempt_started(START, *id, &sized(service, 99_000, 0));
    }
    // when one comes that fits nowhere by tokens, then an executor is still the better judge
    assert!(forwarded(gateway.choose(START, &with_prefix(service, 1, shared.max(2_000)))).is_some());
    assert!(forwarded(gateway.choose(START, &with_prefix(service, 1, shared))).is_some());
}

#[test]
fn capacity_is_counted_in_tokens_too() {
    let (mut gateway, service, ids) = node(2, 7);
    gateway.attempt_started(START, ids[0], &sized(service, 95_000, 1_000));
    assert!((0..50).all(|_| forwarded(gateway.choose(START, &sized(service, 9_000, 0))) == Some(ids[1])));
}

#[test]
fn connections_of_the_service_are_divided_among_the_nodes() {
    let (mut gateway, service, ids) = node(2, 7);
    let settings = ServiceSettings { max_connections: 100, kv_capacity_tokens: 0 };
    gateway.set_service("s", settings);
    gateway.upsert(&ExecutorDescriptor { slots: 50, ..executor(0, ExecutorState::Ready) });
    gateway.set_nodes(25);
    for _ in 0..4 {
        gateway.attempt_started(START, ids[0], &sized(service, 9, 0));
    }
    assert!((0..50).all(|_| forwarded(gateway.choose(START, &sized(service, 9, 0))) == Some(ids[1])));
}

#[test]
fn full_executors_reject_although_the_others_are_ejected() {
    // given four of which three are ejected and one is full
    let (mut gateway, service, ids) = node(4, 7);
    for n in 0..100 {
        let token = gateway.attempt_started(at(n), ids[0], &sized(service, 9, 0)).unwrap();
        gateway.attempt_finished(at(n + 100), token, AttemptOutcome::Served);
    }
    ids[1..].iter().for_each(|id| gateway.record_fault(at(300), *id, ExecutorFault::ConnectFailed));
    fill(&mut gateway, at(300), ids[0], 4, 30);
    ids[1..].iter().for_each(|id| fill(&mut gateway, at(300), *id, 4, 0));
    assert!(matches!(gateway.choose(at(301), &sized(service, 9, 0)), RoutingDecision::Reject { .. }));
}

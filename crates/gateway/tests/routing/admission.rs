//! Admission, queues and rejection.

use crate::fixture::{
    START, at_ms, executor_descriptor, forwarded_to, gateway_with_executors, report_load, report_load_of_all,
    request_of_size, request_with_prefix,
};
use grebeusher_gateway::{
    AttemptOutcome, ExecutorDescriptor, ExecutorFault, ExecutorState, Request, RoutingDecision,
    ServiceSettings,
};
use grebeusher_time::{Duration, DurationExt};
use rstest::rstest;

#[test]
fn nothing_is_rejected_while_a_slot_is_free_or_a_queue_is_short() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    report_load_of_all(&mut gateway, START, &executor_ids, 4, 0);
    report_load(&mut gateway, START, executor_ids[1], 3, 0);
    assert_eq!(forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))), Some(executor_ids[1]));
    // when all slots are occupied, a request queues: a slot becomes free within a fraction of its latency objective
    report_load(&mut gateway, START, executor_ids[1], 4, 0);
    assert!(forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))).is_some());
    assert_eq!(gateway.decision_counters().queued, 1);
}

#[test]
fn long_queues_reject_lower_priorities_first_with_the_expected_wait() {
    // given a service whose requests take 100 ms, and queues that take 100 ms to empty
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    let urgent = request_of_size(service, 9, 0);
    let less_urgent = Request { priority: 2, ..urgent };
    for n in 0..200 {
        let token = gateway.attempt_started(at_ms(n), executor_ids[0], &urgent).unwrap();
        gateway.attempt_finished(at_ms(n + 100), token, AttemptOutcome::Served);
    }
    report_load_of_all(&mut gateway, at_ms(400), &executor_ids, 4, 3);
    // then an urgent request may queue for a fraction of its 300 ms, and a less urgent one is rejected
    assert!(forwarded_to(gateway.route(at_ms(400), &urgent)).is_some());
    let RoutingDecision::Reject { retry_after } = gateway.route(at_ms(400), &less_urgent) else {
        panic!("the less urgent request should be rejected")
    };
    assert!((0.05..=0.2).contains(&retry_after.seconds()), "{retry_after:?}");
    // and with longer queues the urgent request is rejected as well, with a longer delay
    report_load_of_all(&mut gateway, at_ms(400), &executor_ids, 4, 20);
    let RoutingDecision::Reject { retry_after } = gateway.route(at_ms(400), &urgent) else {
        panic!("the urgent request should be rejected")
    };
    assert!((0.3..=1.2).contains(&retry_after.seconds()), "{retry_after:?}");
    // while a request that may have run already queues instead
    assert!(forwarded_to(gateway.route(at_ms(400), &Request { may_have_run: true, ..urgent })).is_some());
    // however long the queues are, and however little time is left for it
    report_load_of_all(&mut gateway, at_ms(400), &executor_ids, 4, 500);
    let may_have_run = Request { may_have_run: true, until_deadline: Duration::from_millis(100), ..urgent };
    assert!(forwarded_to(gateway.route(at_ms(400), &may_have_run)).is_some());
}

#[rstest]
#[case::without_affinity(170)]
#[case::with_affinity(13_000)]
fn nothing_is_rejected_while_half_of_all_slots_are_free(#[case] shared_tokens: u32) {
    // given executors with one of four slots occupied by a request that seems to fill their KV memory
    let (mut gateway, service, executor_ids) = gateway_with_executors(4, 7);
    for id in &executor_ids {
        gateway.attempt_started(START, *id, &request_of_size(service, 99_000, 0));
    }
    // when the tokens of a request do not fit anywhere by this estimate, it is sent to an executor all the same
    assert!(
        forwarded_to(gateway.route(START, &request_with_prefix(service, 1, shared_tokens.max(2_000))))
            .is_some()
    );
    assert!(forwarded_to(gateway.route(START, &request_with_prefix(service, 1, shared_tokens))).is_some());
}

#[test]
fn capacity_is_counted_in_tokens_too() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 95_000, 1_000));
    assert!(
        (0..50).all(|_| forwarded_to(gateway.route(START, &request_of_size(service, 9_000, 0)))
            == Some(executor_ids[1]))
    );
}

#[test]
fn connections_of_the_service_are_divided_among_the_nodes() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let settings = ServiceSettings { max_connections: 100, kv_capacity_tokens: 0 };
    gateway.set_service_settings("s", settings);
    gateway
        .upsert_executor(&ExecutorDescriptor { slots: 50, ..executor_descriptor(0, ExecutorState::Ready) });
    gateway.set_node_count(25);
    for _ in 0..4 {
        gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0));
    }
    assert!((0..50).all(
        |_| forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))) == Some(executor_ids[1])
    ));
}

#[test]
fn full_executors_reject_although_the_others_are_ejected() {
    // given four executors, of which three are ejected and one is full
    let (mut gateway, service, executor_ids) = gateway_with_executors(4, 7);
    for n in 0..100 {
        let token =
            gateway.attempt_started(at_ms(n), executor_ids[0], &request_of_size(service, 9, 0)).unwrap();
        gateway.attempt_finished(at_ms(n + 100), token, AttemptOutcome::Served);
    }
    executor_ids[1..]
        .iter()
        .for_each(|id| gateway.record_fault(at_ms(300), *id, ExecutorFault::ConnectFailed));
    report_load(&mut gateway, at_ms(300), executor_ids[0], 4, 30);
    executor_ids[1..].iter().for_each(|id| report_load(&mut gateway, at_ms(300), *id, 4, 0));
    assert!(matches!(
        gateway.route(at_ms(301), &request_of_size(service, 9, 0)),
        RoutingDecision::Reject { .. }
    ));
}

//! The detection of unresponsive executors.

use crate::fixture::{START, at_ms, gateway_with_executors, request_of_size};
use grebeusher_gateway::{AttemptOutcome, ExecutorId, Gateway};

/// A gateway with two executors that run one stream each. The second becomes unresponsive at 100 ms. The gateway checks
/// for unresponsive executors every 100 ms, until `until_ms`.
fn one_becomes_unresponsive(until_ms: u64) -> (Gateway, Vec<ExecutorId>) {
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let tokens: Vec<_> = executor_ids
        .iter()
        .map(|id| gateway.attempt_started(START, *id, &request_of_size(service, 9, 0)).unwrap())
        .collect();
    gateway.detect_unresponsive(START);
    for ms in (20..=until_ms).step_by(20) {
        gateway.event_received(at_ms(ms), tokens[0]);
        if ms <= 100 {
            gateway.event_received(at_ms(ms), tokens[1]);
        }
        if ms % 100 == 0 {
            gateway.detect_unresponsive(at_ms(ms));
        }
    }
    (gateway, executor_ids)
}

#[test]
fn an_unresponsive_executor_is_ejected() {
    let (gateway, executor_ids) = one_becomes_unresponsive(600);
    assert!(executor_ids.iter().all(|id| !gateway.executor_view(at_ms(600), *id).unwrap().is_ejected));
    let (gateway, executor_ids) = one_becomes_unresponsive(1000);
    let ejected: Vec<bool> =
        executor_ids.iter().map(|id| gateway.executor_view(at_ms(1000), *id).unwrap().is_ejected).collect();
    assert_eq!(ejected, [false, true]);
}

#[test]
fn a_node_that_was_suspended_ejects_no_executor() {
    // given a node whose process was suspended for ten seconds while requests were open
    let (mut gateway, executor_ids) = one_becomes_unresponsive(100);
    gateway.detect_unresponsive(at_ms(10_000));
    // then it first has time to read what was received meanwhile
    (1..=5).for_each(|n| gateway.detect_unresponsive(at_ms(10_000 + n * 100)));
    assert!(executor_ids.iter().all(|id| !gateway.executor_view(at_ms(10_500), *id).unwrap().is_ejected));
    // and executors that remain unresponsive are ejected
    (6..=8).for_each(|n| gateway.detect_unresponsive(at_ms(10_000 + n * 100)));
    assert!(executor_ids.iter().all(|id| gateway.executor_view(at_ms(10_800), *id).unwrap().is_ejected));
}

#[test]
fn an_idle_executor_is_not_unresponsive() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let token = gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0)).unwrap();
    gateway.attempt_finished(at_ms(50), token, AttemptOutcome::Served);
    (1..100).for_each(|n| gateway.detect_unresponsive(at_ms(n * 100)));
    assert!(!gateway.executor_view(at_ms(9_900), executor_ids[0]).unwrap().is_ejected);
    // and it is not unresponsive right after it gets a request again
    gateway.attempt_started(at_ms(9_900), executor_ids[0], &request_of_size(service, 9, 0));
    gateway.detect_unresponsive(at_ms(9_950));
    gateway.detect_unresponsive(at_ms(10_000));
    assert!(!gateway.executor_view(at_ms(10_000), executor_ids[0]).unwrap().is_ejected);
}

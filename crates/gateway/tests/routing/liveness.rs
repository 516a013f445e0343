//! Detection of unresponsive executors.

use crate::fixture::{START, at, node, sized};
use grebeusher_gateway::{AttemptOutcome, ExecutorId, Gateway};

/// Two executors with a stream each, one of which becomes unresponsive at 100 ms; looked at every 100 ms until `until`.
fn one_becomes_unresponsive(until: u64) -> (Gateway, Vec<ExecutorId>) {
    let (mut gateway, service, ids) = node(2, 7);
    let tokens: Vec<_> =
        ids.iter().map(|id| gateway.attempt_started(START, *id, &sized(service, 9, 0)).unwrap()).collect();
    gateway.detect_unresponsive(START);
    for ms in (20..=until).step_by(20) {
        gateway.event_received(at(ms), tokens[0]);
        if ms <= 100 {
            gateway.event_received(at(ms), tokens[1]);
        }
        if ms % 100 == 0 {
            gateway.detect_unresponsive(at(ms));
        }
    }
    (gateway, ids)
}

#[test]
fn an_unresponsive_executor_is_ejected() {
    let (gateway, ids) = one_becomes_unresponsive(600);
    assert!(ids.iter().all(|id| !gateway.executor_view(at(600), *id).unwrap().ejected));
    let (gateway, ids) = one_becomes_unresponsive(1000);
    let ejected: Vec<bool> =
        ids.iter().map(|id| gateway.executor_view(at(1000), *id).unwrap().ejected).collect();
    assert_eq!(ejected, [false, true]);
}

#[test]
fn a_node_that_stood_still_ejects_none() {
    // given a node that was frozen for ten seconds with open requests
    let (mut gateway, ids) = one_becomes_unresponsive(100);
    gateway.detect_unresponsive(at(10_000));
    // then what came meanwhile is read first
    (1..=5).for_each(|n| gateway.detect_unresponsive(at(10_000 + n * 100)));
    assert!(ids.iter().all(|id| !gateway.executor_view(at(10_500), *id).unwrap().ejected));
    // and whoever is unresponsive from then on is
    (6..=8).for_each(|n| gateway.detect_unresponsive(at(10_000 + n * 100)));
    assert!(ids.iter().all(|id| gateway.executor_view(at(10_800), *id).unwrap().ejected));
}

#[test]
fn an_idle_executor_is_not_unresponsive() {
    let (mut gateway, service, ids) = node(2, 7);
    let token = gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(at(50), token, AttemptOutcome::Served);
    (1..100).for_each(|n| gateway.detect_unresponsive(at(n * 100)));
    assert!(!gateway.executor_view(at(9_900), ids[0]).unwrap().ejected);
    // nor is it at the moment when it gets a request again
    gateway.attempt_started(at(9_900), ids[0], &sized(service, 9, 0));
    gateway.detect_unresponsive(at(9_950));
    gateway.detect_unresponsive(at(10_000));
    assert!(!gateway.executor_view(at(10_000), ids[0]).unwrap().ejected);
}

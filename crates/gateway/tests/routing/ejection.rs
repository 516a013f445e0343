//! Outlier ejection.

use crate::fixture::{START, at, forwarded, node, sized};
use grebeusher_gateway::{AttemptOutcome, ExecutorFault, Gateway};
use grebeusher_time::Duration;

#[test]
fn faults_eject_for_a_duration_that_doubles() {
    let (mut gateway, service, ids) = node(3, 7);
    let goes_there = |gateway: &mut Gateway, now| {
        (0..100).any(|_| forwarded(gateway.choose(now, &sized(service, 9, 0))) == Some(ids[1]))
    };
    let token = gateway.attempt_started(START, ids[1], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(START, token, AttemptOutcome::NeverSent);
    assert!(!goes_there(&mut gateway, at(300)));
    assert!(goes_there(&mut gateway, at(700)));
    // when it fails again, it stays out longer
    gateway.record_fault(at(700), ids[1], ExecutorFault::ConnectFailed);
    assert!(!goes_there(&mut gateway, at(1400)));
    // and once it has served, its faults are forgotten
    let token = gateway.attempt_started(at(3000), ids[1], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(at(3001), token, AttemptOutcome::Served);
    gateway.record_fault(at(3002), ids[1], ExecutorFault::ConnectFailed);
    assert!(!goes_there(&mut gateway, at(3300)));
    assert!(goes_there(&mut gateway, at(3700)));
}

#[test]
fn repeated_ejections_are_bounded() {
    // given one that failed whenever it was back
    let (mut gateway, _, ids) = node(3, 7);
    let out = |gateway: &Gateway, now| gateway.executor_view(now, ids[1]).unwrap().ejected;
    let mut now = START;
    for _ in 0..5 {
        gateway.record_fault(now, ids[1], ExecutorFault::ConnectFailed);
        now = (1..10_000).map(|ms| now + Duration::from_millis(ms)).find(|at| !out(&gateway, *at)).unwrap();
    }
    // then it stays out for longer than the suspicion of any single fault lasts, yet not for ever
    gateway.record_fault(now, ids[1], ExecutorFault::ConnectFailed);
    assert!(out(&gateway, now + Duration::from_millis(3000)));
    assert!(!out(&gateway, now + Duration::from_millis(5000)));
}

#[test]
fn faults_of_all_executors_eject_none_for_good() {
    let (mut gateway, service, ids) = node(3, 7);
    for id in &ids {
        (0..50).for_each(|_| gateway.record_fault(START, *id, ExecutorFault::ConnectFailed));
    }
    assert!(forwarded(gateway.choose(at(1), &sized(service, 9, 0))).is_some());
    // and however many failures there were, they fade
    assert!(ids.iter().all(|id| !gateway.executor_view(at(4000), *id).unwrap().ejected));
}

#[test]
fn one_broken_connection_does_not_eject_and_an_idle_close_is_no_fault() {
    let (mut gateway, service, ids) = node(3, 7);
    for outcome in
        [AttemptOutcome::BrokenBeforeHead, AttemptOutcome::IdleClosed, AttemptOutcome::AnsweredFailure]
    {
        let token = gateway.attempt_started(START, ids[1], &sized(service, 9, 0)).unwrap();
        gateway.attempt_finished(START, token, outcome);
    }
    assert!(!gateway.executor_view(START, ids[1]).unwrap().ejected);
    gateway.record_fault(START, ids[1], ExecutorFault::ConnectionBroken);
    assert!(gateway.executor_view(START, ids[1]).unwrap().ejected);
}

#[test]
fn an_overloaded_executor_is_paused_but_not_ejected() {
    let (mut gateway, service, ids) = node(2, 7);
    let token = gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(START, token, AttemptOutcome::NotExecuted);
    assert!((0..50).all(|_| forwarded(gateway.choose(at(50), &sized(service, 9, 0))) == Some(ids[1])));
    assert!(!gateway.executor_view(at(50), ids[0]).unwrap().ejected);
    assert!((0..50).any(|_| forwarded(gateway.choose(at(130), &sized(service, 9, 0))) == Some(ids[0])));
}

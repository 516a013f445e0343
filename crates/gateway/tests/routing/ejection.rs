//! Outlier ejection after faults of executors.

use crate::fixture::{START, at_ms, forwarded_to, gateway_with_executors, request_of_size};
use grebeusher_gateway::{AttemptOutcome, ExecutorFault, Gateway};
use grebeusher_time::Duration;

#[test]
fn faults_eject_for_a_duration_that_doubles() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    let gets_requests = |gateway: &mut Gateway, now| {
        (0..100).any(|_| {
            forwarded_to(gateway.route(now, &request_of_size(service, 9, 0))) == Some(executor_ids[1])
        })
    };
    let token = gateway.attempt_started(START, executor_ids[1], &request_of_size(service, 9, 0)).unwrap();
    gateway.attempt_finished(START, token, AttemptOutcome::NeverSent);
    assert!(!gets_requests(&mut gateway, at_ms(300)));
    assert!(gets_requests(&mut gateway, at_ms(700)));
    // when it fails again, it is ejected for longer
    gateway.record_fault(at_ms(700), executor_ids[1], ExecutorFault::ConnectFailed);
    assert!(!gets_requests(&mut gateway, at_ms(1400)));
    // and once it has served a request, its earlier faults no longer count
    let token =
        gateway.attempt_started(at_ms(3000), executor_ids[1], &request_of_size(service, 9, 0)).unwrap();
    gateway.attempt_finished(at_ms(3001), token, AttemptOutcome::Served);
    gateway.record_fault(at_ms(3002), executor_ids[1], ExecutorFault::ConnectFailed);
    assert!(!gets_requests(&mut gateway, at_ms(3300)));
    assert!(gets_requests(&mut gateway, at_ms(3700)));
}

#[test]
fn repeated_ejections_are_bounded() {
    // given an executor that failed after each ejection
    let (mut gateway, _, executor_ids) = gateway_with_executors(3, 7);
    let is_ejected = |gateway: &Gateway, now| gateway.executor_view(now, executor_ids[1]).unwrap().is_ejected;
    let mut now = START;
    for _ in 0..5 {
        gateway.record_fault(now, executor_ids[1], ExecutorFault::ConnectFailed);
        now = (1..10_000)
            .map(|ms| now + Duration::from_millis(ms))
            .find(|at| !is_ejected(&gateway, *at))
            .unwrap();
    }
    // then it is ejected for longer than a single fault causes, but not for ever
    gateway.record_fault(now, executor_ids[1], ExecutorFault::ConnectFailed);
    assert!(is_ejected(&gateway, now + Duration::from_millis(3000)));
    assert!(!is_ejected(&gateway, now + Duration::from_millis(5000)));
}

#[test]
fn faults_of_all_executors_eject_none_for_good() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    for id in &executor_ids {
        (0..50).for_each(|_| gateway.record_fault(START, *id, ExecutorFault::ConnectFailed));
    }
    assert!(forwarded_to(gateway.route(at_ms(1), &request_of_size(service, 9, 0))).is_some());
    // and the ejections end, however many faults there were
    assert!(executor_ids.iter().all(|id| !gateway.executor_view(at_ms(4000), *id).unwrap().is_ejected));
}

#[test]
fn one_broken_connection_does_not_eject_and_an_idle_close_is_no_fault() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    for outcome in
        [AttemptOutcome::BrokenBeforeHead, AttemptOutcome::IdleClosed, AttemptOutcome::AnsweredFailure]
    {
        let token = gateway.attempt_started(START, executor_ids[1], &request_of_size(service, 9, 0)).unwrap();
        gateway.attempt_finished(START, token, outcome);
    }
    assert!(!gateway.executor_view(START, executor_ids[1]).unwrap().is_ejected);
    gateway.record_fault(START, executor_ids[1], ExecutorFault::ConnectionBroken);
    assert!(gateway.executor_view(START, executor_ids[1]).unwrap().is_ejected);
}

#[test]
fn an_overloaded_executor_is_paused_but_not_ejected() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let token = gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0)).unwrap();
    gateway.attempt_finished(START, token, AttemptOutcome::NotExecuted);
    assert!(
        (0..50).all(|_| forwarded_to(gateway.route(at_ms(50), &request_of_size(service, 9, 0)))
            == Some(executor_ids[1]))
    );
    assert!(!gateway.executor_view(at_ms(50), executor_ids[0]).unwrap().is_ejected);
    assert!(
        (0..50).any(|_| forwarded_to(gateway.route(at_ms(130), &request_of_size(service, 9, 0)))
            == Some(executor_ids[0]))
    );
}

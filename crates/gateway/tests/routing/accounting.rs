//! How attempts and load reports are counted.

use crate::fixture::{
    START, at_ms, batch_item, executor_descriptor, forwarded_to, gateway_with_executors, report_load,
    request_of_size, request_with_prefix,
};
use grebeusher_gateway::{AttemptOutcome, BatchItem, ExecutorFault, ExecutorState, ServerLoad};
use grebeusher_time::Duration;
use proptest::prelude::*;

#[test]
fn the_key_of_a_removed_executor_finds_nothing() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let token = gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0)).unwrap();
    gateway.remove_executor(executor_ids[0]);
    gateway.remove_executor(executor_ids[0]);
    // when another executor takes its slot in the table
    let new = gateway.upsert_executor(&executor_descriptor(5, ExecutorState::Ready));
    // then later observations of the removed executor have no effect
    gateway.response_head_received(START, token, Some(ServerLoad { running: 4, waiting: 9, slots: 4 }));
    gateway.event_received(START, token);
    gateway.attempt_finished(START, token, AttemptOutcome::BrokenBeforeHead);
    gateway.attempt_finished(START, token, AttemptOutcome::BrokenBeforeHead);
    gateway.observe_load(START, executor_ids[0], ServerLoad { running: 4, waiting: 9, slots: 4 });
    assert!(
        gateway.executor_view(START, executor_ids[0]).is_none() && gateway.find_executor("i-a1").is_none()
    );
    let view = gateway.executor_view(START, new).unwrap();
    assert_eq!((view.open_attempts, view.estimated_requests, view.is_ejected), (0, 0.0, false));
    assert!(gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0)).is_none());
}

#[test]
fn an_attempt_counts_until_it_ends_and_ends_once() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(1, 7);
    let first = gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 900, 10)).unwrap();
    let second = gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 900, 10)).unwrap();
    assert_eq!(gateway.open_attempts().collect::<Vec<_>>(), [(executor_ids[0], 2)]);
    gateway.attempt_finished(at_ms(5), first, AttemptOutcome::Served);
    gateway.attempt_finished(at_ms(5), first, AttemptOutcome::Served);
    assert_eq!(gateway.executor_view(at_ms(5), executor_ids[0]).unwrap().open_attempts, 1);
    // and its token does not end another attempt that took its slot in the table
    let third =
        gateway.attempt_started(at_ms(5), executor_ids[0], &request_of_size(service, 900, 10)).unwrap();
    gateway.attempt_finished(at_ms(5), first, AttemptOutcome::Served);
    gateway.event_received(at_ms(5), first);
    assert_eq!(gateway.executor_view(at_ms(5), executor_ids[0]).unwrap().open_attempts, 2);
    gateway.attempt_finished(at_ms(6), third, AttemptOutcome::Served);
    gateway.attempt_finished(at_ms(6), second, AttemptOutcome::ClientGone);
    assert_eq!(gateway.open_attempts().count(), 0);
}

#[test]
fn own_attempts_since_a_report_are_added_to_it() {
    // given two executors that both reported to be idle
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    report_load(&mut gateway, START, executor_ids[0], 0, 0);
    report_load(&mut gateway, START, executor_ids[1], 0, 0);
    // when four attempts are sent to one of them
    for _ in 0..4 {
        gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0));
    }
    // then it is full, although its report says otherwise
    assert!(
        (0..100).all(|_| forwarded_to(gateway.route(at_ms(1), &request_of_size(service, 9, 0)))
            == Some(executor_ids[1]))
    );
}

#[test]
fn own_attempts_within_a_report_count_once() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(1, 7);
    for _ in 0..3 {
        gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 9, 0));
    }
    report_load(&mut gateway, START, executor_ids[0], 3, 1);
    assert_eq!(gateway.executor_view(START, executor_ids[0]).unwrap().estimated_requests, 4.0);
}

#[test]
fn an_aging_report_is_replaced_by_the_service_mean() {
    let (mut gateway, _, executor_ids) = gateway_with_executors(2, 7);
    (0..200).for_each(|_| report_load(&mut gateway, START, executor_ids[0], 2, 0));
    report_load(&mut gateway, START, executor_ids[1], 4, 2);
    let outstanding = |ms| gateway.executor_view(at_ms(ms), executor_ids[1]).unwrap().estimated_requests;
    assert_eq!(outstanding(0), 6.0);
    assert!(outstanding(600) < outstanding(300) && outstanding(300) < outstanding(0));
    // and without further reports, the mean decays to 0
    (0..100).for_each(|_| report_load(&mut gateway, at_ms(2000), executor_ids[0], 2, 0));
    let outstanding = |ms| gateway.executor_view(at_ms(ms), executor_ids[1]).unwrap().estimated_requests;
    assert!((1.9..2.1).contains(&outstanding(2000)), "{}", outstanding(2000));
    assert!(outstanding(9000) < 0.1);
}

#[test]
fn a_peer_report_is_valid_until_a_newer_report() {
    let (mut gateway, _, executor_ids) = gateway_with_executors(1, 7);
    gateway.observe_peer_load(START, executor_ids[0], 3.0);
    assert_eq!(gateway.executor_view(START, executor_ids[0]).unwrap().estimated_requests, 3.0);
    report_load(&mut gateway, at_ms(10), executor_ids[0], 1, 0);
    assert_eq!(gateway.executor_view(at_ms(10), executor_ids[0]).unwrap().estimated_requests, 1.0);
    gateway.observe_peer_load(at_ms(20), executor_ids[0], f64::NAN);
    assert_eq!(gateway.executor_view(at_ms(20), executor_ids[0]).unwrap().estimated_requests, 0.0);
}

proptest! {
    /// Guards against panics, requests to draining executors and attempts that are counted after their end, whatever
    /// the order of events.
    #[test]
    fn counts_of_attempts_are_right_after_any_order_of_events(
        events in prop::collection::vec((0_u8..14, 0_usize..8, any::<u32>(), 0_u64..3000), 1..200),
        seed in any::<u64>(),
    ) {
        let (mut gateway, service, _) = gateway_with_executors(4, seed);
        let (mut now, mut open_attempts) = (START, Vec::new());
        let mut is_draining = [false; 8];
        for (event, number, value, ms) in events {
            now = now + Duration::from_millis(ms);
            let id = gateway.find_executor(executor_descriptor(number, ExecutorState::Ready).instance_id);
            match event {
                0 => { gateway.upsert_executor(&executor_descriptor(number, ExecutorState::Ready)); is_draining[number] = false; }
                1 => { gateway.upsert_executor(&executor_descriptor(number, ExecutorState::Draining)); is_draining[number] = true; }
                2 => { gateway.upsert_executor(&executor_descriptor(number, ExecutorState::Unresponsive)); is_draining[number] = false; }
                3 => if let Some(id) = id { gateway.remove_executor(id); is_draining[number] = false; },
                4 => if let Some(id) = id {
                    gateway.observe_load(now, id, ServerLoad { running: value, waiting: value, slots: value });
                },
                5 => if let Some(id) = id { gateway.record_fault(now, id, ExecutorFault::ConnectionBroken) },
                6 => gateway.detect_unresponsive(now),
                10 => if let Some(id) = id { gateway.observe_peer_load(now, id, f64::from(value) * 1e30) },
                7 => if !open_attempts.is_empty() {
                    let token = open_attempts.swap_remove(value as usize % open_attempts.len());
                    let outcome = [AttemptOutcome::Served, AttemptOutcome::NeverSent, AttemptOutcome::NotExecuted][number % 3];
                    gateway.attempt_finished(now, token, outcome);
                },
                8 => open_attempts.iter().for_each(|token| gateway.event_received(now, *token)),
                9 => {
                    let item = BatchItem { token_count: None, ..batch_item(service, 0.5) };
                    if let Some(id) = gateway.choose_executor_for_batch_item(now, &item) {
                        prop_assert!(gateway.executor_view(now, id).unwrap().state == ExecutorState::Ready);
                        open_attempts.extend(gateway.attempt_started(now, id, &item.as_request()));
                    }
                }
                _ => {
                    let request = request_with_prefix(service, number, value % 40_000);
                    if let Some(id) = forwarded_to(gateway.route(now, &request)) {
                        prop_assert!(gateway.accepts_requests(id));
                        let view = gateway.executor_view(now, id).unwrap();
                        let chosen = (0..8).find(|n| executor_descriptor(*n, ExecutorState::Ready).instance_id == &*view.instance_id);
                        prop_assert!(!is_draining[chosen.unwrap()]);
                        open_attempts.extend(gateway.attempt_started(now, id, &request));
                    }
                }
            }
        }
        open_attempts.into_iter().for_each(|token| gateway.attempt_finished(now, token, AttemptOutcome::Served));
        prop_assert_eq!(gateway.open_attempts().count(), 0);
    }
}

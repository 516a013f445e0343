//! Attempts and load reports in the accounts.

use crate::fixture::{START, at, executor, fill, forwarded, item, node, sized, with_prefix};
use grebeusher_gateway::{AttemptOutcome, BatchItem, ExecutorFault, ExecutorState, ServerLoad};
use grebeusher_time::Duration;
use proptest::prelude::*;

#[test]
fn the_key_of_a_removed_executor_finds_nothing() {
    let (mut gateway, service, ids) = node(2, 7);
    let token = gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).unwrap();
    gateway.remove(ids[0]);
    gateway.remove(ids[0]);
    // when another takes its slot
    let new = gateway.upsert(&executor(5, ExecutorState::Ready));
    // then what still comes from the old one has no effect
    gateway.response_head(START, token, Some(ServerLoad { running: 4, waiting: 9, slots: 4 }));
    gateway.event_received(START, token);
    gateway.attempt_finished(START, token, AttemptOutcome::BrokenBeforeHead);
    gateway.attempt_finished(START, token, AttemptOutcome::BrokenBeforeHead);
    gateway.observe_load(START, ids[0], ServerLoad { running: 4, waiting: 9, slots: 4 });
    assert!(gateway.executor_view(START, ids[0]).is_none() && gateway.find("i-a1").is_none());
    let view = gateway.executor_view(START, new).unwrap();
    assert_eq!((view.open_attempts, view.outstanding, view.ejected), (0, 0.0, false));
    assert!(gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).is_none());
}

#[test]
fn an_attempt_counts_until_it_ends_and_ends_once() {
    let (mut gateway, service, ids) = node(1, 7);
    let first = gateway.attempt_started(START, ids[0], &sized(service, 900, 10)).unwrap();
    let second = gateway.attempt_started(START, ids[0], &sized(service, 900, 10)).unwrap();
    assert_eq!(gateway.outstanding().collect::<Vec<_>>(), [(ids[0], 2)]);
    gateway.attempt_finished(at(5), first, AttemptOutcome::Served);
    gateway.attempt_finished(at(5), first, AttemptOutcome::Served);
    assert_eq!(gateway.executor_view(at(5), ids[0]).unwrap().open_attempts, 1);
    // nor does it end another that took its slot
    let third = gateway.attempt_started(at(5), ids[0], &sized(service, 900, 10)).unwrap();
    gateway.attempt_finished(at(5), first, AttemptOutcome::Served);
    gateway.event_received(at(5), first);
    assert_eq!(gateway.executor_view(at(5), ids[0]).unwrap().open_attempts, 2);
    gateway.attempt_finished(at(6), third, AttemptOutcome::Served);
    gateway.attempt_finished(at(6), second, AttemptOutcome::ClientGone);
    assert_eq!(gateway.outstanding().count(), 0);
}

#[test]
fn own_attempts_since_a_report_count() {
    // given two executors that both reported to be idle
    let (mut gateway, service, ids) = node(2, 7);
    fill(&mut gateway, START, ids[0], 0, 0);
    fill(&mut gateway, START, ids[1], 0, 0);
    // when four go out to one of them
    for _ in 0..4 {
        gateway.attempt_started(START, ids[0], &sized(service, 9, 0));
    }
    // then it is full, though its report says otherwise
    assert!((0..100).all(|_| forwarded(gateway.choose(at(1), &sized(service, 9, 0))) == Some(ids[1])));
}

#[test]
fn a_report_counts_own_attempts_once() {
    let (mut gateway, service, ids) = node(1, 7);
    for _ in 0..3 {
        gateway.attempt_started(START, ids[0], &sized(service, 9, 0));
    }
    fill(&mut gateway, START, ids[0], 3, 1);
    assert_eq!(gateway.executor_view(START, ids[0]).unwrap().outstanding, 4.0);
}

#[test]
fn a_report_fades_into_the_service_mean() {
    let (mut gateway, _, ids) = node(2, 7);
    (0..200).for_each(|_| fill(&mut gateway, START, ids[0], 2, 0));
    fill(&mut gateway, START, ids[1], 4, 2);
    let out = |ms| gateway.executor_view(at(ms), ids[1]).unwrap().outstanding;
    assert_eq!(out(0), 6.0);
    assert!(out(600) < out(300) && out(300) < out(0));
    // and without further reports, into nothing
    (0..100).for_each(|_| fill(&mut gateway, at(2000), ids[0], 2, 0));
    let out = |ms| gateway.executor_view(at(ms), ids[1]).unwrap().outstanding;
    assert!((1.9..2.1).contains(&out(2000)), "{}", out(2000));
    assert!(out(9000) < 0.1);
}

#[test]
fn a_peer_report_is_valid_until_a_newer_report() {
    let (mut gateway, _, ids) = node(1, 7);
    gateway.observe_peer_load(START, ids[0], 3.0);
    assert_eq!(gateway.executor_view(START, ids[0]).unwrap().outstanding, 3.0);
    fill(&mut gateway, at(10), ids[0], 1, 0);
    assert_eq!(gateway.executor_view(at(10), ids[0]).unwrap().outstanding, 1.0);
    gateway.observe_peer_load(at(20), ids[0], f64::NAN);
    assert_eq!(gateway.executor_view(at(20), ids[0]).unwrap().outstanding, 0.0);
}

proptest! {
    /// Whatever order things come in: no panic, nothing is ever sent to one that drains, accounts return to 0.
    #[test]
    fn any_order_of_events_keeps_the_accounts(
        events in prop::collection::vec((0_u8..14, 0_usize..8, any::<u32>(), 0_u64..3000), 1..200),
        seed in any::<u64>(),
    ) {
        let (mut gateway, service, _) = node(4, seed);
        let (mut now, mut open) = (START, Vec::new());
        let mut draining = [false; 8];
        for (event, which, value, ms) in events {
            now = now + Duration::from_millis(ms);
            let id = gateway.find(executor(which, ExecutorState::Ready).instance);
            match event {
                0 => { gateway.upsert(&executor(which, ExecutorState::Ready)); draining[which] = false; }
                1 => { gateway.upsert(&executor(which, ExecutorState::Draining)); draining[which] = true; }
                2 => { gateway.upsert(&executor(which, ExecutorState::Unresponsive)); draining[which] = false; }
                3 => if let Some(id) = id { gateway.remove(id); draining[which] = false; },
                4 => if let Some(id) = id {
                    gateway.observe_load(now, id, ServerLoad { running: value, waiting: value, slots: value });
                },
                5 => if let Some(id) = id { gateway.record_fault(now, id, ExecutorFault::ConnectionBroken) },
                6 => gateway.detect_unresponsive(now),
                10 => if let Some(id) = id { gateway.observe_peer_load(now, id, f64::from(value) * 1e30) },
                7 => if !open.is_empty() {
                    let token = open.swap_remove(value as usize % open.len());
                    let outcome = [AttemptOutcome::Served, AttemptOutcome::NeverSent, AttemptOutcome::NotExecuted][which % 3];
                    gateway.attempt_finished(now, token, outcome);
                },
                8 => open.iter().for_each(|token| gateway.event_received(now, *token)),
                9 => {
                    let item = BatchItem { tokens: None, ..item(service, 0.5) };
                    if let Some(id) = gateway.choose_for_batch(now, &item) {
                        prop_assert!(gateway.executor_view(now, id).unwrap().state == ExecutorState::Ready);
                        open.extend(gateway.attempt_started(now, id, &item.as_request()));
                    }
                }
                _ => {
                    let request = with_prefix(service, which, value % 40_000);
                    if let Some(id) = forwarded(gateway.choose(now, &request)) {
                        prop_assert!(gateway.accepts_requests(id));
                        let view = gateway.executor_view(now, id).unwrap();
                        let number = (0..8).find(|n| executor(*n, ExecutorState::Ready).instance == &*view.instance);
                        prop_assert!(!draining[number.unwrap()]);
                        open.extend(gateway.attempt_started(now, id, &request));
                    }
                }
            }
        }
        open.into_iter().for_each(|token| gateway.attempt_finished(now, token, AttemptOutcome::Served));
        prop_assert_eq!(gateway.outstanding().count(), 0);
    }
}

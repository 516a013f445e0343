//! The weighted pick inside a lane.

use crate::fixture::{
    START, at_ms, executor_descriptor, forwarded_to, gateway_with_executors, report_load, request_of_size,
};
use grebeusher_gateway::{AttemptOutcome, ExecutorDescriptor, ExecutorId, ExecutorState, ZoneKey};
use std::collections::BTreeMap;

#[test]
fn the_pick_inside_a_lane_follows_free_capacity_with_a_floor() {
    // given executors with no, two and three of four slots occupied
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    report_load(&mut gateway, START, executor_ids[0], 0, 0);
    report_load(&mut gateway, START, executor_ids[1], 2, 0);
    report_load(&mut gateway, START, executor_ids[2], 3, 0);
    let mut counts: BTreeMap<ExecutorId, f64> = BTreeMap::new();
    for _ in 0..6000 {
        *counts
            .entry(forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))).unwrap())
            .or_default() += 1.0;
    }
    // then they are picked in the proportion of 1 to 0.5 to 0.25
    for (id, weight) in executor_ids.iter().zip([1.0, 0.5, 0.25]) {
        assert!((counts[id] / 6000.0 - weight / 1.75).abs() < 0.03, "{counts:?}");
    }
}

#[test]
fn an_executor_of_the_own_zone_has_double_weight() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(1, 7);
    let own = gateway.upsert_executor(&ExecutorDescriptor {
        zone: ZoneKey(99),
        ..executor_descriptor(1, ExecutorState::Ready)
    });
    let to_own_zone = (0..3000)
        .filter(|_| forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))) == Some(own))
        .count();
    assert!((1900..2100).contains(&to_own_zone), "{to_own_zone}");
    assert_ne!(own, executor_ids[0]);
}

#[test]
fn an_executor_with_slow_events_gets_fewer_requests() {
    // given two executors with one stream each, of which the second is four times as slow
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let tokens: Vec<_> = executor_ids
        .iter()
        .map(|id| gateway.attempt_started(START, *id, &request_of_size(service, 9, 0)).unwrap())
        .collect();
    for n in 1..=40 {
        gateway.event_received(at_ms(n * 20), tokens[0]);
        if n % 4 == 0 {
            gateway.event_received(at_ms(n * 20), tokens[1]);
        }
    }
    let to_slow_executor = (0..1000)
        .filter(|_| {
            forwarded_to(gateway.route(at_ms(800), &request_of_size(service, 9, 0))) == Some(executor_ids[1])
        })
        .count();
    assert!(to_slow_executor < 400, "{to_slow_executor}");
}

#[test]
fn fast_events_long_ago_do_not_count_as_slow_now() {
    // given two executors, of which the first had events four times as fast
    let (mut gateway, service, executor_ids) = gateway_with_executors(2, 7);
    let tokens: Vec<_> = executor_ids
        .iter()
        .map(|id| gateway.attempt_started(START, *id, &request_of_size(service, 9, 0)).unwrap())
        .collect();
    for n in 1..=40 {
        gateway.event_received(at_ms(n * 20), tokens[0]);
        if n % 4 == 0 {
            gateway.event_received(at_ms(n * 20), tokens[1]);
        }
    }
    tokens.iter().for_each(|token| gateway.attempt_finished(at_ms(800), *token, AttemptOutcome::Served));
    // when that was seconds ago, and both report to be idle, then both get equally many requests
    executor_ids.iter().for_each(|id| report_load(&mut gateway, at_ms(9_000), *id, 0, 0));
    let to_fast_executor = (0..1000)
        .filter(|_| {
            forwarded_to(gateway.route(at_ms(9_000), &request_of_size(service, 9, 0)))
                == Some(executor_ids[0])
        })
        .count();
    assert!((450..550).contains(&to_fast_executor), "{to_fast_executor}");
}

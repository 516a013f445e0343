//! The weighted pick inside a lane.

use crate::fixture::{START, at, executor, fill, forwarded, node, sized};
use grebeusher_gateway::{AttemptOutcome, ExecutorDescriptor, ExecutorId, ExecutorState, ZoneKey};
use std::collections::BTreeMap;

#[test]
fn the_pick_inside_a_lane_follows_free_capacity_with_a_floor() {
    // given executors that are idle, half full, and full but for a slot
    let (mut gateway, service, ids) = node(3, 7);
    fill(&mut gateway, START, ids[0], 0, 0);
    fill(&mut gateway, START, ids[1], 2, 0);
    fill(&mut gateway, START, ids[2], 3, 0);
    let mut counts: BTreeMap<ExecutorId, f64> = BTreeMap::new();
    for _ in 0..6000 {
        *counts.entry(forwarded(gateway.choose(START, &sized(service, 9, 0))).unwrap()).or_default() += 1.0;
    }
    // then picks go as 1 to 0.5 to 0.25
    for (id, weight) in ids.iter().zip([1.0, 0.5, 0.25]) {
        assert!((counts[id] / 6000.0 - weight / 1.75).abs() < 0.03, "{counts:?}");
    }
}

#[test]
fn an_executor_of_the_own_zone_has_double_weight() {
    let (mut gateway, service, ids) = node(1, 7);
    let own = gateway.upsert(&ExecutorDescriptor { zone: ZoneKey(99), ..executor(1, ExecutorState::Ready) });
    let near =
        (0..3000).filter(|_| forwarded(gateway.choose(START, &sized(service, 9, 0))) == Some(own)).count();
    assert!((1900..2100).contains(&near), "{near}");
    assert_ne!(own, ids[0]);
}

#[test]
fn an_executor_with_slow_events_gets_fewer_requests() {
    // given two executors with one stream each, one of which is four times as slow
    let (mut gateway, service, ids) = node(2, 7);
    let tokens: Vec<_> =
        ids.iter().map(|id| gateway.attempt_started(START, *id, &sized(service, 9, 0)).unwrap()).collect();
    for n in 1..=40 {
        gateway.event_received(at(n * 20), tokens[0]);
        if n % 4 == 0 {
            gateway.event_received(at(n * 20), tokens[1]);
        }
    }
    let slow = (0..1000)
        .filter(|_| forwarded(gateway.choose(at(800), &sized(service, 9, 0))) == Some(ids[1]))
        .count();
    assert!(slow < 400, "{slow}");
}

#[test]
fn a_fast_pace_long_ago_does_not_count_as_slow_now() {
    // given two executors of which one's events came four times as fast
    let (mut gateway, service, ids) = node(2, 7);
    let tokens: Vec<_> =
        ids.iter().map(|id| gateway.attempt_started(START, *id, &sized(service, 9, 0)).unwrap()).collect();
    for n in 1..=40 {
        gateway.event_received(at(n * 20), tokens[0]);
        if n % 4 == 0 {
            gateway.event_received(at(n * 20), tokens[1]);
        }
    }
    tokens.iter().for_each(|token| gateway.attempt_finished(at(800), *token, AttemptOutcome::Served));
    // when that is seconds ago, and both report to be idle, then both get as much
    ids.iter().for_each(|id| fill(&mut gateway, at(9_000), *id, 0, 0));
    let quick = (0..1000)
        .filter(|_| forwarded(gateway.choose(at(9_000), &sized(service, 9, 0))) == Some(ids[0]))
        .count();
    assert!((450..550).contains(&quick), "{quick}");
}

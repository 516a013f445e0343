//! Prefix affinity by the demand of the node's own requests.

use crate::fixture::{
    START, at_ms, batch_item, forwarded_to, gateway_with_executors, report_load, request_with_prefix,
};
use grebeusher_gateway::{AttemptOutcome, BatchItem, ExecutorId, PromptSegments, Request, TokenCount};
use grebeusher_time::Duration;
use std::collections::BTreeMap;

#[test]
fn all_nodes_choose_the_same_home_for_a_prefix() {
    for prefix in 0..20 {
        let homes: std::collections::BTreeSet<_> = (0..10)
            .map(|seed| {
                let (mut gateway, service, _) = gateway_with_executors(8, seed);
                forwarded_to(gateway.route(START, &request_with_prefix(service, prefix, 13_000))).unwrap()
            })
            .collect();
        assert_eq!(homes.len(), 1);
    }
}

#[test]
fn short_prefixes_have_no_affinity() {
    let (mut gateway, service, _) = gateway_with_executors(8, 3);
    let chosen: std::collections::BTreeSet<_> = (0..100)
        .filter_map(|_| forwarded_to(gateway.route(START, &request_with_prefix(service, 1, 170))))
        .collect();
    assert_eq!(chosen.len(), 8);
    let decisions = gateway.decision_counters();
    assert_eq!((decisions.weighted_pick, decisions.prefix_home, decisions.cached_prefix), (100, 0, 0));
}

#[test]
fn a_prefix_goes_to_the_executor_that_has_it_cached() {
    // given a prefix that was sent to an executor that is not its home
    let (mut gateway, service, executor_ids) = gateway_with_executors(8, 3);
    let request = request_with_prefix(service, 1, 13_000);
    let home = forwarded_to(gateway.route(START, &request)).unwrap();
    let other = *executor_ids.iter().find(|id| **id != home).unwrap();
    let token = gateway.attempt_started(START, other, &request).unwrap();
    gateway.attempt_finished(at_ms(50), token, AttemptOutcome::Served);
    assert_eq!(forwarded_to(gateway.route(at_ms(50), &request)), Some(other));
    // when that executor is removed, the prefix goes to its home
    gateway.remove_executor(other);
    assert_eq!(forwarded_to(gateway.route(at_ms(60), &request)), Some(home));
}

#[test]
fn evicted_prefixes_do_not_count_as_cached() {
    // given an executor with KV memory for 100,000 tokens that got a prefix and then ten others
    let (mut gateway, service, executor_ids) = gateway_with_executors(8, 3);
    let request = request_with_prefix(service, 1, 13_000);
    let home = forwarded_to(gateway.route(START, &request)).unwrap();
    let other = *executor_ids.iter().find(|id| **id != home).unwrap();
    for prefix in 1..=11 {
        let token =
            gateway.attempt_started(START, other, &request_with_prefix(service, prefix, 13_000)).unwrap();
        gateway.attempt_finished(at_ms(1), token, AttemptOutcome::Served);
    }
    assert_eq!(forwarded_to(gateway.route(at_ms(2), &request)), Some(home));
}

#[test]
fn a_prefix_in_demand_spreads_and_is_not_rejected() {
    // given a single prefix, with more requests than one executor can run
    let (mut gateway, service, executor_ids) = gateway_with_executors(8, 3);
    let request =
        Request { latency_objective: Duration::from_millis(300), ..request_with_prefix(service, 1, 13_000) };
    let mut counts: BTreeMap<ExecutorId, u32> = BTreeMap::new();
    for n in 0..20 {
        let chosen = forwarded_to(gateway.route(at_ms(n), &request)).expect("another executor has capacity");
        gateway.attempt_started(at_ms(n), chosen, &request);
        *counts.entry(chosen).or_default() += 1;
    }
    // then its home gets as many as its limit of pending prefill allows: four requests of 13,100 tokens
    assert!(counts.values().all(|count| *count <= 4), "{counts:?}");
    assert!(counts.len() >= 5);
    assert_eq!(executor_ids.len(), 8);
}

#[test]
fn an_early_first_event_long_ago_does_not_count_as_delay_now() {
    // given the home of a prefix, whose first event came sooner than the prefill of its prompt was expected to end
    let (mut gateway, service, _) = gateway_with_executors(8, 3);
    let request = request_with_prefix(service, 1, 13_000);
    let home = forwarded_to(gateway.route(START, &request)).unwrap();
    let token = gateway.attempt_started(START, home, &request).unwrap();
    gateway.event_received(at_ms(5), token);
    gateway.attempt_finished(at_ms(6), token, AttemptOutcome::Served);
    // when nothing was received from it for a long time, then it is still the home
    for seconds in [1, 2, 10, 60] {
        assert_eq!(forwarded_to(gateway.route(at_ms(seconds * 1_000), &request)), Some(home), "{seconds}");
    }
}

#[test]
fn batch_items_go_to_the_home_of_their_prefix_while_it_has_capacity() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(8, 3);
    let prompt = PromptSegments::parse("a:13000,ffff:100").unwrap();
    let item_with_prefix = BatchItem {
        prompt,
        token_count: Some(TokenCount { prompt: 13_100, output: 50 }),
        ..batch_item(service, 0.0)
    };
    let home = gateway.choose_executor_for_batch_item(START, &item_with_prefix).unwrap();
    assert!((0..20).all(|_| gateway.choose_executor_for_batch_item(START, &item_with_prefix) == Some(home)));
    report_load(&mut gateway, START, home, 4, 0);
    assert!(gateway.choose_executor_for_batch_item(START, &item_with_prefix).is_some_and(|id| id != home));
    assert_eq!(executor_ids.len(), 8);
}

//! Prefix affinity by own requests.

use crate::fixture::{START, at, fill, forwarded, item, node, with_prefix};
use grebeusher_gateway::{AttemptOutcome, BatchItem, ExecutorId, PromptSegments, Request, TokenCount};
use grebeusher_time::Duration;
use std::collections::BTreeMap;

#[test]
fn all_nodes_choose_the_same_home_for_a_prefix() {
    for prefix in 0..20 {
        let homes: std::collections::BTreeSet<_> = (0..10)
            .map(|seed| {
                let (mut gateway, service, _) = node(8, seed);
                forwarded(gateway.choose(START, &with_prefix(service, prefix, 13_000))).unwrap()
            })
            .collect();
        assert_eq!(homes.len(), 1);
    }
}

#[test]
fn short_prefixes_have_no_affinity() {
    let (mut gateway, service, _) = node(8, 3);
    let chosen: std::collections::BTreeSet<_> =
        (0..100).filter_map(|_| forwarded(gateway.choose(START, &with_prefix(service, 1, 170)))).collect();
    assert_eq!(chosen.len(), 8);
    let decisions = gateway.decisions();
    assert_eq!((decisions.weighted_pick, decisions.prefix_home, decisions.cached_prefix), (100, 0, 0));
}

#[test]
fn a_prefix_goes_to_the_executor_that_has_it_cached() {
    // given a prefix that was sent to one that is not its home
    let (mut gateway, service, ids) = node(8, 3);
    let request = with_prefix(service, 1, 13_000);
    let home = forwarded(gateway.choose(START, &request)).unwrap();
    let other = *ids.iter().find(|id| **id != home).unwrap();
    let token = gateway.attempt_started(START, other, &request).unwrap();
    gateway.attempt_finished(at(50), token, AttemptOutcome::Served);
    assert_eq!(forwarded(gateway.choose(at(50), &request)), Some(other));
    // when that is gone, the home takes it
    gateway.remove(other);
    assert_eq!(forwarded(gateway.choose(at(60), &request)), Some(home));
}

#[test]
fn evicted_prefixes_do_not_count_as_cached() {
    // given an executor with memory for 100,000 tokens that got a prefix, and then ten others
    let (mut gateway, service, ids) = node(8, 3);
    let request = with_prefix(service, 1, 13_000);
    let home = forwarded(gateway.choose(START, &request)).unwrap();
    let other = *ids.iter().find(|id| **id != home).unwrap();
    for prefix in 1..=11 {
        let token = gateway.attempt_started(START, other, &with_prefix(service, prefix, 13_000)).unwrap();
        gateway.attempt_finished(at(1), token, AttemptOutcome::Served);
    }
    assert_eq!(forwarded(gateway.choose(at(2), &request)), Some(home));
}

#[test]
fn a_prefix_in_demand_spreads_and_is_not_rejected() {
    // given one prefix only, asked for faster than one executor can take
    let (mut gateway, service, ids) = node(8, 3);
    let request =
        Request { latency_objective: Duration::from_millis(300), ..with_prefix(service, 1, 13_000) };
    let mut counts: BTreeMap<ExecutorId, u32> = BTreeMap::new();
    for n in 0..20 {
        let chosen = forwarded(gateway.choose(at(n), &request)).expect("there is room elsewhere");
        gateway.attempt_started(at(n), chosen, &request);
        *counts.entry(chosen).or_default() += 1;
    }
    // then its home takes what fits there: by tokens that wait for prefill four of 13,100 at once
    assert!(counts.values().all(|count| *count <= 4), "{counts:?}");
    assert!(counts.len() >= 5);
    assert_eq!(ids.len(), 8);
}

#[test]
fn an_early_first_event_long_ago_does_not_count_as_delay_now() {
    // given a prefix's home, whose first event came sooner than by the prefill of its prompt
    let (mut gateway, service, _) = node(8, 3);
    let request = with_prefix(service, 1, 13_000);
    let home = forwarded(gateway.choose(START, &request)).unwrap();
    let token = gateway.attempt_started(START, home, &request).unwrap();
    gateway.event_received(at(5), token);
    gateway.attempt_finished(at(6), token, AttemptOutcome::Served);
    // when nothing is received from it for long, then it is the home as before
    for seconds in [1, 2, 10, 60] {
        assert_eq!(forwarded(gateway.choose(at(seconds * 1_000), &request)), Some(home), "{seconds}");
    }
}

#[test]
fn batch_items_go_to_the_home_of_their_prefix_while_it_has_capacity() {
    let (mut gateway, service, ids) = node(8, 3);
    let prompt = PromptSegments::parse("a:13000,ffff:100").unwrap();
    let long =
        BatchItem { prompt, tokens: Some(TokenCount { prompt: 13_100, output: 50 }), ..item(service, 0.0) };
    let home = gateway.choose_for_batch(START, &long).unwrap();
    assert!((0..20).all(|_| gateway.choose_for_batch(START, &long) == Some(home)));
    fill(&mut gateway, START, home, 4, 0);
    assert!(gateway.choose_for_batch(START, &long).is_some_and(|id| id != home));
    assert_eq!(ids.len(), 8);
}

//! Capacity for items of batch jobs.

use crate::fixture::{START, at, fill, fill_all, forwarded, item, node, sized};

#[test]
fn batch_items_leave_slots_for_live_requests() {
    // given executors of four slots with three taken: one is left, for live requests
    let (mut gateway, service, ids) = node(3, 7);
    fill_all(&mut gateway, START, &ids, 3, 0);
    assert_eq!(gateway.choose_for_batch(START, &item(service, 0.0)), None);
    assert!(forwarded(gateway.choose(START, &sized(service, 9, 0))).is_some());
    // when one has two slots free, it takes an item
    fill(&mut gateway, START, ids[1], 2, 0);
    assert_eq!(gateway.choose_for_batch(START, &item(service, 0.0)), Some(ids[1]));
}

#[test]
fn the_reserve_grows_with_uneven_load_and_shrinks_with_urgency() {
    // given loads that swing between nothing and full
    let (mut gateway, service, ids) = node(3, 7);
    for n in 0..200 {
        fill(&mut gateway, at(n), ids[0], 4 * (n as u32 % 2), 0);
    }
    fill_all(&mut gateway, at(200), &ids, 1, 0);
    fill(&mut gateway, at(200), ids[1], 2, 0);
    fill(&mut gateway, at(200), ids[0], 2, 0);
    fill(&mut gateway, at(200), ids[2], 2, 0);
    // then two free slots of four are kept for live requests, unless the item is due
    assert_eq!(gateway.choose_for_batch(at(200), &item(service, 0.0)), None);
    assert!(gateway.choose_for_batch(at(200), &item(service, 1.0)).is_some());
    assert!(gateway.choose_for_batch(at(200), &item(service, f64::NAN)).is_none());
}

#[test]
fn a_node_without_reports_tries_again_after_all_were_full() {
    // given executors that all were full when they were last reported
    let (mut gateway, service, ids) = node(3, 7);
    (0..100).for_each(|n| fill_all(&mut gateway, at(n), &ids, 4, 2));
    assert_eq!(gateway.choose_for_batch(at(200), &item(service, 0.0)), None);
    // when nothing is sent there, so that nothing is reported
    let found = (200..4000).find(|ms| gateway.choose_for_batch(at(*ms), &item(service, 0.0)).is_some());
    // then an item is tried again within seconds
    assert!(found.is_some_and(|ms| ms < 3000), "{found:?}");
}

#[test]
fn pending_batch_prefill_is_bounded() {
    let (mut gateway, service, _) = node(2, 7);
    let request = item(service, 0.0);
    let mut tokens = Vec::new();
    while let Some(id) = gateway.choose_for_batch(START, &request) {
        tokens.push(gateway.attempt_started(START, id, &request.as_request()).unwrap());
    }
    // each holds items of 700 tokens that wait for prefill up to 2,000
    assert_eq!(tokens.len(), 6);
    // when their first events come, the next may start
    tokens.iter().for_each(|token| gateway.event_received(at(20), *token));
    assert!(gateway.choose_for_batch(at(20), &request).is_none(), "three of four places are taken");
}

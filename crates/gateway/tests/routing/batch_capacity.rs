//! The capacity for items of batch jobs.

use crate::fixture::{
    START, at_ms, batch_item, forwarded_to, gateway_with_executors, report_load, report_load_of_all,
    request_of_size,
};

#[test]
fn batch_items_leave_slots_for_live_requests() {
    // given executors with three of four slots occupied, so that the last one is reserved for live requests
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    report_load_of_all(&mut gateway, START, &executor_ids, 3, 0);
    assert_eq!(gateway.choose_executor_for_batch_item(START, &batch_item(service, 0.0)), None);
    assert!(forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))).is_some());
    // when one has two free slots, it gets an item
    report_load(&mut gateway, START, executor_ids[1], 2, 0);
    assert_eq!(
        gateway.choose_executor_for_batch_item(START, &batch_item(service, 0.0)),
        Some(executor_ids[1])
    );
}

#[test]
fn the_reserve_grows_with_uneven_load_and_shrinks_with_urgency() {
    // given load reports that alternate between idle and full
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    for n in 0..200 {
        report_load(&mut gateway, at_ms(n), executor_ids[0], 4 * (n as u32 % 2), 0);
    }
    report_load_of_all(&mut gateway, at_ms(200), &executor_ids, 1, 0);
    report_load(&mut gateway, at_ms(200), executor_ids[1], 2, 0);
    report_load(&mut gateway, at_ms(200), executor_ids[0], 2, 0);
    report_load(&mut gateway, at_ms(200), executor_ids[2], 2, 0);
    // then two free slots of four are reserved for live requests, unless the item is due
    assert_eq!(gateway.choose_executor_for_batch_item(at_ms(200), &batch_item(service, 0.0)), None);
    assert!(gateway.choose_executor_for_batch_item(at_ms(200), &batch_item(service, 1.0)).is_some());
    assert!(gateway.choose_executor_for_batch_item(at_ms(200), &batch_item(service, f64::NAN)).is_none());
}

#[test]
fn a_node_without_reports_tries_again_after_all_were_full() {
    // given executors that were all full by their last reports
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    (0..100).for_each(|n| report_load_of_all(&mut gateway, at_ms(n), &executor_ids, 4, 2));
    assert_eq!(gateway.choose_executor_for_batch_item(at_ms(200), &batch_item(service, 0.0)), None);
    // when nothing is sent to them, so that they send no reports
    let first_sent_ms = (200..4000)
        .find(|ms| gateway.choose_executor_for_batch_item(at_ms(*ms), &batch_item(service, 0.0)).is_some());
    // then an item is sent again within seconds
    assert!(first_sent_ms.is_some_and(|ms| ms < 3000), "{first_sent_ms:?}");
}

#[test]
fn pending_batch_prefill_is_bounded() {
    let (mut gateway, service, _) = gateway_with_executors(2, 7);
    let request = batch_item(service, 0.0);
    let mut tokens = Vec::new();
    while let Some(id) = gateway.choose_executor_for_batch_item(START, &request) {
        tokens.push(gateway.attempt_started(START, id, &request.as_request()).unwrap());
    }
    // each executor gets items of 700 prompt tokens until 2,000 tokens wait for prefill
    assert_eq!(tokens.len(), 6);
    // after their first events no tokens wait for prefill, but the free slots are reserved
    tokens.iter().for_each(|token| gateway.event_received(at_ms(20), *token));
    assert!(
        gateway.choose_executor_for_batch_item(at_ms(20), &request).is_none(),
        "three of four slots are occupied"
    );
}

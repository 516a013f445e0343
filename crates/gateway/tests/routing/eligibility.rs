//! The executors that may get a request at all.

use crate::fixture::{START, executor_descriptor, forwarded_to, gateway_with_executors, request_of_size};
use grebeusher_gateway::{
    BatchItem, ExecutorDescriptor, ExecutorState, ModelKey, PromptSegments, Request, RoutingDecision,
};
use rstest::rstest;

#[rstest]
#[case::draining(ExecutorState::Draining, 0..1)]
#[case::unresponsive(ExecutorState::Unresponsive, 0..1)]
fn draining_and_unresponsive_executors_get_nothing_while_another_is_ready(
    #[case] state: ExecutorState,
    #[case] expected: std::ops::Range<usize>,
) {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    gateway.upsert_executor(&executor_descriptor(1, state));
    let forwarded = (0..500)
        .filter(|_| {
            forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))) == Some(executor_ids[1])
        })
        .count();
    assert!(expected.contains(&forwarded), "{forwarded}");
}

#[test]
fn a_sole_executor_gets_requests_when_unresponsive_but_not_when_draining() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(1, 7);
    gateway.upsert_executor(&executor_descriptor(0, ExecutorState::Unresponsive));
    assert_eq!(forwarded_to(gateway.route(START, &request_of_size(service, 9, 0))), Some(executor_ids[0]));
    assert!(gateway.accepts_requests(executor_ids[0]));
    gateway.upsert_executor(&executor_descriptor(0, ExecutorState::Draining));
    assert!(matches!(
        gateway.route(START, &request_of_size(service, 9, 0)),
        RoutingDecision::NoExecutor { .. }
    ));
    assert!(!gateway.accepts_requests(executor_ids[0]));
    let item = BatchItem {
        service,
        model: None,
        token_count: None,
        prompt: PromptSegments::default(),
        excluded_executors: &[],
        urgency: 1.0,
    };
    assert_eq!(gateway.choose_executor_for_batch_item(START, &item), None);
}

#[test]
fn an_excluded_executor_is_not_chosen() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    let request = Request { excluded_executors: &executor_ids[..2], ..request_of_size(service, 9, 0) };
    assert!((0..100).all(|_| forwarded_to(gateway.route(START, &request)) == Some(executor_ids[2])));
    let request = Request { excluded_executors: &executor_ids, ..request_of_size(service, 9, 0) };
    assert!(matches!(gateway.route(START, &request), RoutingDecision::NoExecutor { .. }));
}

#[test]
fn only_executors_with_the_model_are_candidates() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(3, 7);
    gateway.upsert_executor(&ExecutorDescriptor {
        models: &[ModelKey(2)],
        ..executor_descriptor(1, ExecutorState::Ready)
    });
    let request = Request { model: Some(ModelKey(2)), ..request_of_size(service, 9, 0) };
    assert!((0..100).all(|_| forwarded_to(gateway.route(START, &request)) == Some(executor_ids[1])));
}

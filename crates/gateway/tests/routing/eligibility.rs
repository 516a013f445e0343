//! Which executors may get a request at all.

use crate::fixture::{START, executor, forwarded, node, sized};
use grebeusher_gateway::{
    BatchItem, ExecutorDescriptor, ExecutorState, ModelKey, PromptSegments, Request, RoutingDecision,
};
use rstest::rstest;

#[rstest]
#[case::draining(ExecutorState::Draining, 0..1)]
#[case::silent(ExecutorState::Unresponsive, 0..1)]
fn draining_and_unresponsive_executors_get_nothing_while_another_is_ready(
    #[case] state: ExecutorState,
    #[case] due: std::ops::Range<usize>,
) {
    let (mut gateway, service, ids) = node(3, 7);
    gateway.upsert(&executor(1, state));
    let there =
        (0..500).filter(|_| forwarded(gateway.choose(START, &sized(service, 9, 0))) == Some(ids[1])).count();
    assert!(due.contains(&there), "{there}");
}

#[test]
fn a_sole_executor_gets_requests_when_unresponsive_but_not_when_draining() {
    let (mut gateway, service, ids) = node(1, 7);
    gateway.upsert(&executor(0, ExecutorState::Unresponsive));
    assert_eq!(forwarded(gateway.choose(START, &sized(service, 9, 0))), Some(ids[0]));
    assert!(gateway.accepts_requests(ids[0]));
    gateway.upsert(&executor(0, ExecutorState::Draining));
    assert!(matches!(gateway.choose(START, &sized(service, 9, 0)), RoutingDecision::NoExecutor { .. }));
    assert!(!gateway.accepts_requests(ids[0]));
    let item = BatchItem {
        service,
        model: None,
        tokens: None,
        prompt: PromptSegments::default(),
        excluded: &[],
        urgency: 1.0,
    };
    assert_eq!(gateway.choose_for_batch(START, &item), None);
}

#[test]
fn an_excluded_executor_is_not_chosen() {
    let (mut gateway, service, ids) = node(3, 7);
    let request = Request { excluded: &ids[..2], ..sized(service, 9, 0) };
    assert!((0..100).all(|_| forwarded(gateway.choose(START, &request)) == Some(ids[2])));
    let request = Request { excluded: &ids, ..sized(service, 9, 0) };
    assert!(matches!(gateway.choose(START, &request), RoutingDecision::NoExecutor { .. }));
}

#[test]
fn only_executors_with_the_model_are_candidates() {
    let (mut gateway, service, ids) = node(3, 7);
    gateway.upsert(&ExecutorDescriptor { models: &[ModelKey(2)], ..executor(1, ExecutorState::Ready) });
    let request = Request { model: Some(ModelKey(2)), ..sized(service, 9, 0) };
    assert!((0..100).all(|_| forwarded(gateway.choose(START, &request)) == Some(ids[1])));
}

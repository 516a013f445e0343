//! Lanes by size.

use crate::fixture::{START, at, fill, forwarded, node, sized, train_sample};
use grebeusher_gateway::{AttemptOutcome, Gateway};

#[test]
fn sizes_enter_lanes_by_cut_offs_that_equalise_work() {
    // given four executors in two lanes of one and three, and a sample
    let (mut gateway, service, ids) = node(4, 1);
    train_sample(&mut gateway, service, ids[0]);
    gateway.choose(at(6000), &sized(service, 1, 0));
    // then the cut-off leaves a quarter of the summed work below it: the half of the sizes, as they rise evenly
    let view = gateway.service_view(at(6000), service).unwrap();
    assert_eq!(view.cut_offs.len(), 1);
    assert!((4_900.0..=5_100.0).contains(&view.cut_offs[0]), "{:?}", view.cut_offs);
    // and small and large requests go to lanes of their own
    let lane = |gateway: &Gateway, id| gateway.executor_view(at(6000), id).unwrap().lane;
    for _ in 0..50 {
        let small = forwarded(gateway.choose(at(6000), &sized(service, 300, 0))).unwrap();
        let large = forwarded(gateway.choose(at(6000), &sized(service, 200, 900))).unwrap();
        assert_eq!((lane(&gateway, small), lane(&gateway, large)), (0, 1));
    }
}

#[test]
fn one_lane_holds_all_below_the_minimum_sample() {
    let (mut gateway, service, ids) = node(4, 1);
    for _ in 0..49 {
        let token = gateway.attempt_started(START, ids[0], &sized(service, 500, 0)).unwrap();
        gateway.attempt_finished(at(1), token, AttemptOutcome::Served);
    }
    let seen: std::collections::BTreeSet<_> =
        (0..200).filter_map(|_| forwarded(gateway.choose(at(6000), &sized(service, 9, 0)))).collect();
    assert_eq!(seen.len(), 4);
}

#[test]
fn a_full_lane_overflows_to_the_other_before_anything_queues() {
    let (mut gateway, service, ids) = node(4, 1);
    train_sample(&mut gateway, service, ids[0]);
    let small = sized(service, 300, 0);
    let lane = |gateway: &Gateway, id| gateway.executor_view(at(6000), id).unwrap().lane;
    forwarded(gateway.choose(at(6000), &small)).unwrap();
    let only = *ids.iter().find(|id| lane(&gateway, **id) == 0).unwrap();
    fill(&mut gateway, at(6000), only, 4, 0);
    let other = forwarded(gateway.choose(at(6000), &small)).unwrap();
    assert_eq!(lane(&gateway, other), 1);
    assert_eq!(gateway.decisions().out_of_lane, 1);
}

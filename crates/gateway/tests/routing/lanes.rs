//! The lanes of executors for requests of different sizes.

use crate::fixture::{
    START, at_ms, fill_sample, forwarded_to, gateway_with_executors, report_load, request_of_size,
};
use grebeusher_gateway::{AttemptOutcome, Gateway};

#[test]
fn sizes_enter_lanes_by_cut_offs_that_equalise_work() {
    // given four executors in two lanes with one and three of them, and a sample of requests
    let (mut gateway, service, executor_ids) = gateway_with_executors(4, 1);
    fill_sample(&mut gateway, service, executor_ids[0]);
    gateway.route(at_ms(6000), &request_of_size(service, 1, 0));
    // then requests below the cut-off have a quarter of the work. As the sizes are evenly spread, it is half of the
    // largest size
    let view = gateway.service_view(at_ms(6000), service).unwrap();
    assert_eq!(view.cut_offs.len(), 1);
    assert!((4_900.0..=5_100.0).contains(&view.cut_offs[0]), "{:?}", view.cut_offs);
    // and small and large requests go to different lanes
    let lane = |gateway: &Gateway, id| gateway.executor_view(at_ms(6000), id).unwrap().lane;
    for _ in 0..50 {
        let small = forwarded_to(gateway.route(at_ms(6000), &request_of_size(service, 300, 0))).unwrap();
        let large = forwarded_to(gateway.route(at_ms(6000), &request_of_size(service, 200, 900))).unwrap();
        assert_eq!((lane(&gateway, small), lane(&gateway, large)), (0, 1));
    }
}

#[test]
fn all_executors_are_in_one_lane_below_the_minimum_sample() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(4, 1);
    for _ in 0..49 {
        let token =
            gateway.attempt_started(START, executor_ids[0], &request_of_size(service, 500, 0)).unwrap();
        gateway.attempt_finished(at_ms(1), token, AttemptOutcome::Served);
    }
    let seen: std::collections::BTreeSet<_> = (0..200)
        .filter_map(|_| forwarded_to(gateway.route(at_ms(6000), &request_of_size(service, 9, 0))))
        .collect();
    assert_eq!(seen.len(), 4);
}

#[test]
fn a_full_lane_overflows_to_the_other_before_anything_queues() {
    let (mut gateway, service, executor_ids) = gateway_with_executors(4, 1);
    fill_sample(&mut gateway, service, executor_ids[0]);
    let small = request_of_size(service, 300, 0);
    let lane = |gateway: &Gateway, id| gateway.executor_view(at_ms(6000), id).unwrap().lane;
    forwarded_to(gateway.route(at_ms(6000), &small)).unwrap();
    let small_lane_executor = *executor_ids.iter().find(|id| lane(&gateway, **id) == 0).unwrap();
    report_load(&mut gateway, at_ms(6000), small_lane_executor, 4, 0);
    let other = forwarded_to(gateway.route(at_ms(6000), &small)).unwrap();
    assert_eq!(lane(&gateway, other), 1);
    assert_eq!(gateway.decision_counters().out_of_lane, 1);
}

//! The choice on one node: lanes, weights, homes, room, refusals, batch items.

use grebeusher_gateway::{
    AttemptOutcome, BatchItem, ExecutorDescriptor, ExecutorFault, ExecutorId, ExecutorState, Gateway,
    GatewayConfig, ModelKey, PromptSegments, Request, RetryClass, RoutingDecision, ServerLoad, ServiceId,
    ServiceSettings, TokenCount, ZoneKey,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const START: Instant = Instant(5_000_000_000);
const MODEL: [ModelKey; 1] = [ModelKey(1)];

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn executor(number: usize, state: ExecutorState) -> ExecutorDescriptor<'static> {
    const NAMES: [&str; 8] = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6", "i-a7", "i-b8"];
    ExecutorDescriptor {
        instance: NAMES[number],
        service: "s",
        address: ([10, 0, 0, number as u8], 80).into(),
        zone: ZoneKey(number as u64),
        slots: 4,
        state,
        models: &MODEL,
    }
}

/// A node with `count` executors of 4 slots, in zones of their own.
fn node(count: usize, seed: u64) -> (Gateway, ServiceId, Vec<ExecutorId>) {
    let mut gateway = Gateway::new(GatewayConfig::default(), ZoneKey(99), seed);
    let settings = ServiceSettings { max_connections: 100, kv_capacity_tokens: 100_000 };
    let service = gateway.set_service("s", settings);
    let ids = (0..count).map(|n| gateway.upsert(&executor(n, ExecutorState::Ready))).collect();
    (gateway, service, ids)
}

fn sized(service: ServiceId, prompt: u32, output: u32) -> Request<'static> {
    Request {
        model: Some(MODEL[0]),
        tokens: Some(TokenCount { prompt, output }),
        retry_class: RetryClass::NonIdempotent,
        ..Request::to(service)
    }
}

fn sent(choice: RoutingDecision) -> Option<ExecutorId> {
    if let RoutingDecision::Forward { executor, .. } = choice { Some(executor) } else { None }
}

fn fill(gateway: &mut Gateway, now: Instant, id: ExecutorId, running: u32, waiting: u32) {
    gateway.observe_load(now, id, ServerLoad { running, waiting, slots: 4 });
}

/// Makes the sample: sizes from 100 to 10,000, all alike in work.
fn teach(gateway: &mut Gateway, service: ServiceId, to: ExecutorId) {
    for n in 0..200 {
        let request = sized(service, 100 * (n % 100 + 1), 0);
        let token = gateway.attempt_started(START, to, &request).unwrap();
        gateway.attempt_finished(at(1), token, AttemptOutcome::Served);
    }
}

#[test]
fn sizes_enter_lanes_by_cut_offs_that_equalise_work() {
    // given four executors in two lanes of one and three, and a sample
    let (mut gateway, service, ids) = node(4, 1);
    teach(&mut gateway, service, ids[0]);
    gateway.choose(at(6000), &sized(service, 1, 0));
    // then the cut-off leaves a quarter of the summed work below it: the half of the sizes, as they rise evenly
    let view = gateway.service_view(at(6000), service).unwrap();
    assert_eq!(view.cut_offs.len(), 1);
    assert!((4_900.0..=5_100.0).contains(&view.cut_offs[0]), "{:?}", view.cut_offs);
    // and small and large requests go to lanes of their own
    let lane = |gateway: &Gateway, id| gateway.executor_view(at(6000), id).unwrap().lane;
    for _ in 0..50 {
        let small = sent(gateway.choose(at(6000), &sized(service, 300, 0))).unwrap();
        let large = sent(gateway.choose(at(6000), &sized(service, 200, 900))).unwrap();
        assert_eq!((lane(&gateway, small), lane(&gateway, large)), (0, 1));
    }
}

#[test]
fn below_fifty_sizes_one_lane_holds_all() {
    let (mut gateway, service, ids) = node(4, 1);
    for _ in 0..49 {
        let token = gateway.attempt_started(START, ids[0], &sized(service, 500, 0)).unwrap();
        gateway.attempt_finished(at(1), token, AttemptOutcome::Served);
    }
    let seen: std::collections::BTreeSet<_> =
        (0..200).filter_map(|_| sent(gateway.choose(at(6000), &sized(service, 9, 0)))).collect();
    assert_eq!(seen.len(), 4);
}

#[test]
fn inside_a_lane_the_pick_follows_what_is_left_with_a_floor() {
    // given executors that are idle, half full, and full but for a place
    let (mut gateway, service, ids) = node(3, 7);
    fill(&mut gateway, START, ids[0], 0, 0);
    fill(&mut gateway, START, ids[1], 2, 0);
    fill(&mut gateway, START, ids[2], 3, 0);
    let mut counts: BTreeMap<ExecutorId, f64> = BTreeMap::new();
    for _ in 0..6000 {
        *counts.entry(sent(gateway.choose(START, &sized(service, 9, 0))).unwrap()).or_default() += 1.0;
    }
    // then picks go as 1 to 0.5 to 0.25
    for (id, weight) in ids.iter().zip([1.0, 0.5, 0.25]) {
        assert!((counts[id] / 6000.0 - weight / 1.75).abs() < 0.03, "{counts:?}");
    }
}

#[test]
fn one_in_the_own_zone_counts_twice() {
    let (mut gateway, service, ids) = node(1, 7);
    let own = gateway.upsert(&ExecutorDescriptor { zone: ZoneKey(99), ..executor(1, ExecutorState::Ready) });
    let near = (0..3000).filter(|_| sent(gateway.choose(START, &sized(service, 9, 0))) == Some(own)).count();
    assert!((1900..2100).contains(&near), "{near}");
    assert_ne!(own, ids[0]);
}

#[rstest]
#[case::draining(ExecutorState::Draining, 0..1)]
#[case::silent(ExecutorState::Unresponsive, 0..1)]
fn nothing_goes_to_one_that_drains_or_is_silent_while_another_is_there(
    #[case] state: ExecutorState,
    #[case] due: std::ops::Range<usize>,
) {
    let (mut gateway, service, ids) = node(3, 7);
    gateway.upsert(&executor(1, state));
    let there =
        (0..500).filter(|_| sent(gateway.choose(START, &sized(service, 9, 0))) == Some(ids[1])).count();
    assert!(due.contains(&there), "{there}");
}

#[test]
fn a_draining_one_gets_nothing_even_when_it_is_the_only_one_and_a_silent_one_does() {
    let (mut gateway, service, ids) = node(1, 7);
    gateway.upsert(&executor(0, ExecutorState::Unresponsive));
    assert_eq!(sent(gateway.choose(START, &sized(service, 9, 0))), Some(ids[0]));
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
fn one_that_had_the_request_is_not_chosen_again() {
    let (mut gateway, service, ids) = node(3, 7);
    let request = Request { excluded: &ids[..2], ..sized(service, 9, 0) };
    assert!((0..100).all(|_| sent(gateway.choose(START, &request)) == Some(ids[2])));
    let request = Request { excluded: &ids, ..sized(service, 9, 0) };
    assert!(matches!(gateway.choose(START, &request), RoutingDecision::NoExecutor { .. }));
}

#[test]
fn only_those_with_the_model_are_candidates() {
    let (mut gateway, service, ids) = node(3, 7);
    gateway.upsert(&ExecutorDescriptor { models: &[ModelKey(2)], ..executor(1, ExecutorState::Ready) });
    let request = Request { model: Some(ModelKey(2)), ..sized(service, 9, 0) };
    assert!((0..100).all(|_| sent(gateway.choose(START, &request)) == Some(ids[1])));
}

#[test]
fn a_removed_executor_is_forgotten_and_its_key_finds_nothing() {
    let (mut gateway, service, ids) = node(2, 7);
    let token = gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).unwrap();
    gateway.remove(ids[0]);
    gateway.remove(ids[0]);
    // when another takes its place in the table
    let new = gateway.upsert(&executor(5, ExecutorState::Ready));
    // then what still comes from the old one concerns nobody
    gateway.response_head(START, token, Some(ServerLoad { running: 4, waiting: 9, slots: 4 }));
    gateway.event_received(START, token);
    gateway.attempt_finished(START, token, AttemptOutcome::BrokenBeforeHead);
    gateway.attempt_finished(START, token, AttemptOutcome::BrokenBeforeHead);
    gateway.observe_load(START, ids[0], ServerLoad { running: 4, waiting: 9, slots: 4 });
    assert!(gateway.executor_view(START, ids[0]).is_none() && gateway.find("i-a1").is_none());
    let view = gateway.executor_view(START, new).unwrap();
    assert_eq!((view.open_attempts, view.outstanding, view.ejected), (0, 0.0, false));
    assert!(gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).is_none());
}

#[test]
fn an_attempt_counts_until_it_ends_and_ends_once() {
    let (mut gateway, service, ids) = node(1, 7);
    let first = gateway.attempt_started(START, ids[0], &sized(service, 900, 10)).unwrap();
    let second = gateway.attempt_started(START, ids[0], &sized(service, 900, 10)).unwrap();
    assert_eq!(gateway.outstanding().collect::<Vec<_>>(), [(ids[0], 2)]);
    gateway.attempt_finished(at(5), first, AttemptOutcome::Served);
    gateway.attempt_finished(at(5), first, AttemptOutcome::Served);
    assert_eq!(gateway.executor_view(at(5), ids[0]).unwrap().open_attempts, 1);
    // nor does it end another that took its place in the books
    let third = gateway.attempt_started(at(5), ids[0], &sized(service, 900, 10)).unwrap();
    gateway.attempt_finished(at(5), first, AttemptOutcome::Served);
    gateway.event_received(at(5), first);
    assert_eq!(gateway.executor_view(at(5), ids[0]).unwrap().open_attempts, 2);
    gateway.attempt_finished(at(6), third, AttemptOutcome::Served);
    gateway.attempt_finished(at(6), second, AttemptOutcome::ClientGone);
    assert_eq!(gateway.outstanding().count(), 0);
}

#[test]
fn own_sends_since_a_report_count() {
    // given two executors that both reported to be idle
    let (mut gateway, service, ids) = node(2, 7);
    fill(&mut gateway, START, ids[0], 0, 0);
    fill(&mut gateway, START, ids[1], 0, 0);
    // when four go out to one of them
    for _ in 0..4 {
        gateway.attempt_started(START, ids[0], &sized(service, 9, 0));
    }
    // then it is full, though its report says otherwise
    assert!((0..100).all(|_| sent(gateway.choose(at(1), &sized(service, 9, 0))) == Some(ids[1])));
}

#[test]
fn a_report_counts_own_requests_once() {
    let (mut gateway, service, ids) = node(1, 7);
    for _ in 0..3 {
        gateway.attempt_started(START, ids[0], &sized(service, 9, 0));
    }
    fill(&mut gateway, START, ids[0], 3, 1);
    assert_eq!(gateway.executor_view(START, ids[0]).unwrap().outstanding, 4.0);
}

#[test]
fn a_report_fades_into_what_is_usual() {
    let (mut gateway, _, ids) = node(2, 7);
    (0..200).for_each(|_| fill(&mut gateway, START, ids[0], 2, 0));
    fill(&mut gateway, START, ids[1], 4, 2);
    let out = |ms| gateway.executor_view(at(ms), ids[1]).unwrap().outstanding;
    assert_eq!(out(0), 6.0);
    assert!(out(600) < out(300) && out(300) < out(0));
    // and with no news at all, into nothing
    (0..100).for_each(|_| fill(&mut gateway, at(2000), ids[0], 2, 0));
    let out = |ms| gateway.executor_view(at(ms), ids[1]).unwrap().outstanding;
    assert!((1.9..2.1).contains(&out(2000)), "{}", out(2000));
    assert!(out(9000) < 0.1);
}

#[test]
fn what_neighbours_tell_holds_until_something_newer_is_heard() {
    let (mut gateway, _, ids) = node(1, 7);
    gateway.observe_peer_load(START, ids[0], 3.0);
    assert_eq!(gateway.executor_view(START, ids[0]).unwrap().outstanding, 3.0);
    fill(&mut gateway, at(10), ids[0], 1, 0);
    assert_eq!(gateway.executor_view(at(10), ids[0]).unwrap().outstanding, 1.0);
    gateway.observe_peer_load(at(20), ids[0], f64::NAN);
    assert_eq!(gateway.executor_view(at(20), ids[0]).unwrap().outstanding, 0.0);
}

#[test]
fn a_full_lane_gives_to_the_other_before_anything_waits() {
    let (mut gateway, service, ids) = node(4, 1);
    teach(&mut gateway, service, ids[0]);
    let small = sized(service, 300, 0);
    let lane = |gateway: &Gateway, id| gateway.executor_view(at(6000), id).unwrap().lane;
    sent(gateway.choose(at(6000), &small)).unwrap();
    let only = *ids.iter().find(|id| lane(&gateway, **id) == 0).unwrap();
    fill(&mut gateway, at(6000), only, 4, 0);
    let other = sent(gateway.choose(at(6000), &small)).unwrap();
    assert_eq!(lane(&gateway, other), 1);
    assert_eq!(gateway.decisions().out_of_lane, 1);
}

fn fill_all(gateway: &mut Gateway, now: Instant, ids: &[ExecutorId], running: u32, waiting: u32) {
    ids.iter().for_each(|id| fill(gateway, now, *id, running, waiting));
}

#[test]
fn nothing_is_refused_while_any_has_room_and_a_short_queue_is_used() {
    let (mut gateway, service, ids) = node(3, 7);
    fill_all(&mut gateway, START, &ids, 4, 0);
    fill(&mut gateway, START, ids[1], 3, 0);
    assert_eq!(sent(gateway.choose(START, &sized(service, 9, 0))), Some(ids[1]));
    // when all are just full, one waits: a place comes free within a part of its latency_objective
    fill(&mut gateway, START, ids[1], 4, 0);
    assert!(sent(gateway.choose(START, &sized(service, 9, 0))).is_some());
    assert_eq!(gateway.decisions().queued, 1);
}

#[test]
fn long_queues_refuse_at_once_with_a_true_time_and_the_less_urgent_first() {
    // given a service whose requests take 100 ms, and queues that take 100 ms to empty
    let (mut gateway, service, ids) = node(3, 7);
    let urgent = sized(service, 9, 0);
    let late = Request { priority: 2, ..urgent };
    for n in 0..200 {
        let token = gateway.attempt_started(at(n), ids[0], &urgent).unwrap();
        gateway.attempt_finished(at(n + 100), token, AttemptOutcome::Served);
    }
    fill_all(&mut gateway, at(400), &ids, 4, 3);
    // then an urgent one may wait for its part of 300 ms, and a less urgent one is refused
    assert!(sent(gateway.choose(at(400), &urgent)).is_some());
    let RoutingDecision::Reject { retry_after } = gateway.choose(at(400), &late) else {
        panic!("no refusal")
    };
    assert!((0.05..=0.2).contains(&retry_after.seconds()), "{retry_after:?}");
    // and with longer queues the urgent one is refused as well, for longer
    fill_all(&mut gateway, at(400), &ids, 4, 20);
    let RoutingDecision::Reject { retry_after } = gateway.choose(at(400), &urgent) else {
        panic!("no refusal")
    };
    assert!((0.3..=1.2).contains(&retry_after.seconds()), "{retry_after:?}");
    // while one that may have run already waits rather than fail
    assert!(sent(gateway.choose(at(400), &Request { may_have_run: true, ..urgent })).is_some());
    // however long the queues are, and however little time it has
    fill_all(&mut gateway, at(400), &ids, 4, 500);
    let committed = Request { may_have_run: true, until_deadline: Duration::from_millis(100), ..urgent };
    assert!(sent(gateway.choose(at(400), &committed)).is_some());
}

#[rstest]
#[case::without_a_stake(170)]
#[case::with_a_stake(13_000)]
fn nothing_is_refused_while_half_of_all_places_are_free(#[case] shared: u32) {
    // given executors with one of four places taken, and a memory that seems to be full by it
    let (mut gateway, service, ids) = node(4, 7);
    for id in &ids {
        gateway.attempt_started(START, *id, &sized(service, 99_000, 0));
    }
    // when one comes that fits nowhere by tokens, then an executor is still the better judge
    assert!(sent(gateway.choose(START, &with_prefix(service, 1, shared.max(2_000)))).is_some());
    assert!(sent(gateway.choose(START, &with_prefix(service, 1, shared))).is_some());
}

#[test]
fn room_is_counted_in_tokens_too() {
    let (mut gateway, service, ids) = node(2, 7);
    gateway.attempt_started(START, ids[0], &sized(service, 95_000, 1_000));
    assert!((0..50).all(|_| sent(gateway.choose(START, &sized(service, 9_000, 0))) == Some(ids[1])));
}

#[test]
fn connections_of_the_service_are_divided_among_the_nodes() {
    let (mut gateway, service, ids) = node(2, 7);
    let settings = ServiceSettings { max_connections: 100, kv_capacity_tokens: 0 };
    gateway.set_service("s", settings);
    gateway.upsert(&ExecutorDescriptor { slots: 50, ..executor(0, ExecutorState::Ready) });
    gateway.set_nodes(25);
    for _ in 0..4 {
        gateway.attempt_started(START, ids[0], &sized(service, 9, 0));
    }
    assert!((0..50).all(|_| sent(gateway.choose(START, &sized(service, 9, 0))) == Some(ids[1])));
}

#[test]
fn failures_eject_for_a_while_and_longer_each_time() {
    let (mut gateway, service, ids) = node(3, 7);
    let goes_there = |gateway: &mut Gateway, now| {
        (0..100).any(|_| sent(gateway.choose(now, &sized(service, 9, 0))) == Some(ids[1]))
    };
    let token = gateway.attempt_started(START, ids[1], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(START, token, AttemptOutcome::NeverSent);
    assert!(!goes_there(&mut gateway, at(300)));
    assert!(goes_there(&mut gateway, at(700)));
    // when it fails again, it stays out longer
    gateway.record_fault(at(700), ids[1], ExecutorFault::ConnectFailed);
    assert!(!goes_there(&mut gateway, at(1400)));
    // and once it has served, all is forgotten
    let token = gateway.attempt_started(at(3000), ids[1], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(at(3001), token, AttemptOutcome::Served);
    gateway.record_fault(at(3002), ids[1], ExecutorFault::ConnectFailed);
    assert!(!goes_there(&mut gateway, at(3300)));
    assert!(goes_there(&mut gateway, at(3700)));
}

#[test]
fn one_that_fails_at_each_return_is_tried_every_few_seconds_only() {
    // given one that failed whenever it was back
    let (mut gateway, _, ids) = node(3, 7);
    let out = |gateway: &Gateway, now| gateway.executor_view(now, ids[1]).unwrap().ejected;
    let mut now = START;
    for _ in 0..5 {
        gateway.record_fault(now, ids[1], ExecutorFault::ConnectFailed);
        now = (1..10_000).map(|ms| now + Duration::from_millis(ms)).find(|at| !out(&gateway, *at)).unwrap();
    }
    // then it stays out for longer than the memory of any single failure lasts, yet not for ever
    gateway.record_fault(now, ids[1], ExecutorFault::ConnectFailed);
    assert!(out(&gateway, now + Duration::from_millis(3000)));
    assert!(!out(&gateway, now + Duration::from_millis(5000)));
}

#[test]
fn failures_of_all_leave_none_out() {
    let (mut gateway, service, ids) = node(3, 7);
    for id in &ids {
        (0..50).for_each(|_| gateway.record_fault(START, *id, ExecutorFault::ConnectFailed));
    }
    assert!(sent(gateway.choose(at(1), &sized(service, 9, 0))).is_some());
    // and however many failures there were, they fade
    assert!(ids.iter().all(|id| !gateway.executor_view(at(4000), *id).unwrap().ejected));
}

#[test]
fn one_broken_connection_is_no_crash_and_an_idle_close_is_nothing() {
    let (mut gateway, service, ids) = node(3, 7);
    for outcome in
        [AttemptOutcome::BrokenBeforeHead, AttemptOutcome::IdleClosed, AttemptOutcome::AnsweredFailure]
    {
        let token = gateway.attempt_started(START, ids[1], &sized(service, 9, 0)).unwrap();
        gateway.attempt_finished(START, token, outcome);
    }
    assert!(!gateway.executor_view(START, ids[1]).unwrap().ejected);
    gateway.record_fault(START, ids[1], ExecutorFault::ConnectionBroken);
    assert!(gateway.executor_view(START, ids[1]).unwrap().ejected);
}

#[test]
fn one_that_says_it_is_full_gets_nothing_for_a_moment() {
    let (mut gateway, service, ids) = node(2, 7);
    let token = gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(START, token, AttemptOutcome::NotExecuted);
    assert!((0..50).all(|_| sent(gateway.choose(at(50), &sized(service, 9, 0))) == Some(ids[1])));
    assert!(!gateway.executor_view(at(50), ids[0]).unwrap().ejected);
    assert!((0..50).any(|_| sent(gateway.choose(at(130), &sized(service, 9, 0))) == Some(ids[0])));
}

fn with_prefix(service: ServiceId, subject: usize, tokens: u32) -> Request<'static> {
    let prompt = PromptSegments::parse(&format!("{subject:x}:{tokens},ffff:100")).unwrap();
    Request { prompt, ..sized(service, tokens + 100, 0) }
}

#[test]
fn all_nodes_send_a_subject_to_the_same_home_without_a_word() {
    for subject in 0..20 {
        let homes: std::collections::BTreeSet<_> = (0..10)
            .map(|seed| {
                let (mut gateway, service, _) = node(8, seed);
                sent(gateway.choose(START, &with_prefix(service, subject, 13_000))).unwrap()
            })
            .collect();
        assert_eq!(homes.len(), 1);
    }
}

#[test]
fn small_prefixes_have_no_home() {
    let (mut gateway, service, _) = node(8, 3);
    let chosen: std::collections::BTreeSet<_> =
        (0..100).filter_map(|_| sent(gateway.choose(START, &with_prefix(service, 1, 170)))).collect();
    assert_eq!(chosen.len(), 8);
    let decisions = gateway.decisions();
    assert_eq!((decisions.weighted_pick, decisions.prefix_home, decisions.cached_prefix), (100, 0, 0));
}

#[test]
fn a_subject_goes_where_its_parts_are_kept_also_when_its_home_is_another() {
    // given a subject that was sent to one that is not its home
    let (mut gateway, service, ids) = node(8, 3);
    let request = with_prefix(service, 1, 13_000);
    let home = sent(gateway.choose(START, &request)).unwrap();
    let other = *ids.iter().find(|id| **id != home).unwrap();
    let token = gateway.attempt_started(START, other, &request).unwrap();
    gateway.attempt_finished(at(50), token, AttemptOutcome::Served);
    assert_eq!(sent(gateway.choose(at(50), &request)), Some(other));
    // when that is gone, the home takes it
    gateway.remove(other);
    assert_eq!(sent(gateway.choose(at(60), &request)), Some(home));
}

#[test]
fn parts_that_gave_way_are_not_believed_kept() {
    // given an executor with memory for 100,000 tokens that got a subject, and then ten others
    let (mut gateway, service, ids) = node(8, 3);
    let request = with_prefix(service, 1, 13_000);
    let home = sent(gateway.choose(START, &request)).unwrap();
    let other = *ids.iter().find(|id| **id != home).unwrap();
    for subject in 1..=11 {
        let token = gateway.attempt_started(START, other, &with_prefix(service, subject, 13_000)).unwrap();
        gateway.attempt_finished(at(1), token, AttemptOutcome::Served);
    }
    assert_eq!(sent(gateway.choose(at(2), &request)), Some(home));
}

#[test]
fn a_subject_in_demand_spreads_and_none_of_it_is_refused() {
    // given one subject only, asked for faster than one executor can take
    let (mut gateway, service, ids) = node(8, 3);
    let request =
        Request { latency_objective: Duration::from_millis(300), ..with_prefix(service, 1, 13_000) };
    let mut counts: BTreeMap<ExecutorId, u32> = BTreeMap::new();
    for n in 0..20 {
        let chosen = sent(gateway.choose(at(n), &request)).expect("there is room elsewhere");
        gateway.attempt_started(at(n), chosen, &request);
        *counts.entry(chosen).or_default() += 1;
    }
    // then its home takes what fits there: by unread tokens four of 13,100 at once
    assert!(counts.values().all(|count| *count <= 4), "{counts:?}");
    assert!(counts.len() >= 5);
    assert_eq!(ids.len(), 8);
}

fn item(service: ServiceId, urgency: f64) -> BatchItem<'static> {
    BatchItem {
        service,
        model: Some(MODEL[0]),
        tokens: Some(TokenCount { prompt: 700, output: 300 }),
        prompt: PromptSegments::default(),
        excluded: &[],
        urgency,
    }
}

#[test]
fn batch_items_leave_places_for_live_requests() {
    // given executors of four places with three taken: one is left, for live requests
    let (mut gateway, service, ids) = node(3, 7);
    fill_all(&mut gateway, START, &ids, 3, 0);
    assert_eq!(gateway.choose_for_batch(START, &item(service, 0.0)), None);
    assert!(sent(gateway.choose(START, &sized(service, 9, 0))).is_some());
    // when one has two places free, it takes an item
    fill(&mut gateway, START, ids[1], 2, 0);
    assert_eq!(gateway.choose_for_batch(START, &item(service, 0.0)), Some(ids[1]));
}

#[test]
fn the_reserve_grows_with_bursts_and_shrinks_when_due() {
    // given loads that swing between nothing and full
    let (mut gateway, service, ids) = node(3, 7);
    for n in 0..200 {
        fill(&mut gateway, at(n), ids[0], 4 * (n as u32 % 2), 0);
    }
    fill_all(&mut gateway, at(200), &ids, 1, 0);
    fill(&mut gateway, at(200), ids[1], 2, 0);
    fill(&mut gateway, at(200), ids[0], 2, 0);
    fill(&mut gateway, at(200), ids[2], 2, 0);
    // then two free places of four are kept for live requests, unless the item is due
    assert_eq!(gateway.choose_for_batch(at(200), &item(service, 0.0)), None);
    assert!(gateway.choose_for_batch(at(200), &item(service, 1.0)).is_some());
    assert!(gateway.choose_for_batch(at(200), &item(service, f64::NAN)).is_none());
}

#[test]
fn a_node_that_hears_nothing_any_more_does_not_take_all_for_full_for_ever() {
    // given executors that all were full when they were last heard of
    let (mut gateway, service, ids) = node(3, 7);
    (0..100).for_each(|n| fill_all(&mut gateway, at(n), &ids, 4, 2));
    assert_eq!(gateway.choose_for_batch(at(200), &item(service, 0.0)), None);
    // when nothing is sent there, so that nothing is heard
    let found = (200..4000).find(|ms| gateway.choose_for_batch(at(*ms), &item(service, 0.0)).is_some());
    // then an item is tried again within seconds
    assert!(found.is_some_and(|ms| ms < 3000), "{found:?}");
}

#[test]
fn batch_prompts_are_read_a_few_at_a_time() {
    let (mut gateway, service, _) = node(2, 7);
    let request = item(service, 0.0);
    let mut tokens = Vec::new();
    while let Some(id) = gateway.choose_for_batch(START, &request) {
        tokens.push(gateway.attempt_started(START, id, &request.as_request()).unwrap());
    }
    // each holds items of 700 unread tokens up to 2,000
    assert_eq!(tokens.len(), 6);
    // when their first events come, the next may start
    tokens.iter().for_each(|token| gateway.event_received(at(20), *token));
    assert!(gateway.choose_for_batch(at(20), &request).is_none(), "three of four places are taken");
}

#[test]
fn an_executor_whose_events_come_slowly_gets_less() {
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
    let slow =
        (0..1000).filter(|_| sent(gateway.choose(at(800), &sized(service, 9, 0))) == Some(ids[1])).count();
    assert!(slow < 400, "{slow}");
}

#[test]
fn one_that_was_early_long_ago_is_not_behind_now() {
    // given a subject's home, whose first event came sooner than by the reading of its prompt
    let (mut gateway, service, _) = node(8, 3);
    let request = with_prefix(service, 1, 13_000);
    let home = sent(gateway.choose(START, &request)).unwrap();
    let token = gateway.attempt_started(START, home, &request).unwrap();
    gateway.event_received(at(5), token);
    gateway.attempt_finished(at(6), token, AttemptOutcome::Served);
    // when nothing is heard of it for long, then it is the home as before
    for seconds in [1, 2, 10, 60] {
        assert_eq!(sent(gateway.choose(at(seconds * 1_000), &request)), Some(home), "{seconds}");
    }
}

#[test]
fn one_that_was_quick_long_ago_is_not_slow_now() {
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
    // when that is seconds ago, and both tell that they are idle, then both get as much
    ids.iter().for_each(|id| fill(&mut gateway, at(9_000), *id, 0, 0));
    let quick =
        (0..1000).filter(|_| sent(gateway.choose(at(9_000), &sized(service, 9, 0))) == Some(ids[0])).count();
    assert!((450..550).contains(&quick), "{quick}");
}

/// Two executors with a stream each, one of which falls silent at 100 ms; looked at every 100 ms until `until`.
fn one_goes_dark(until: u64) -> (Gateway, Vec<ExecutorId>) {
    let (mut gateway, service, ids) = node(2, 7);
    let tokens: Vec<_> =
        ids.iter().map(|id| gateway.attempt_started(START, *id, &sized(service, 9, 0)).unwrap()).collect();
    gateway.detect_unresponsive(START);
    for ms in (20..=until).step_by(20) {
        gateway.event_received(at(ms), tokens[0]);
        if ms <= 100 {
            gateway.event_received(at(ms), tokens[1]);
        }
        if ms % 100 == 0 {
            gateway.detect_unresponsive(at(ms));
        }
    }
    (gateway, ids)
}

#[test]
fn one_that_falls_silent_gets_nothing_more() {
    let (gateway, ids) = one_goes_dark(600);
    assert!(ids.iter().all(|id| !gateway.executor_view(at(600), *id).unwrap().ejected));
    let (gateway, ids) = one_goes_dark(1000);
    let ejected: Vec<bool> =
        ids.iter().map(|id| gateway.executor_view(at(1000), *id).unwrap().ejected).collect();
    assert_eq!(ejected, [false, true]);
}

#[test]
fn a_node_that_stood_still_holds_none_for_silent() {
    // given a node that was frozen for ten seconds with requests out
    let (mut gateway, ids) = one_goes_dark(100);
    gateway.detect_unresponsive(at(10_000));
    // then what came meanwhile is read first
    (1..=5).for_each(|n| gateway.detect_unresponsive(at(10_000 + n * 100)));
    assert!(ids.iter().all(|id| !gateway.executor_view(at(10_500), *id).unwrap().ejected));
    // and whoever is silent from then on is
    (6..=8).for_each(|n| gateway.detect_unresponsive(at(10_000 + n * 100)));
    assert!(ids.iter().all(|id| gateway.executor_view(at(10_800), *id).unwrap().ejected));
}

#[test]
fn one_that_only_idles_is_not_silent() {
    let (mut gateway, service, ids) = node(2, 7);
    let token = gateway.attempt_started(START, ids[0], &sized(service, 9, 0)).unwrap();
    gateway.attempt_finished(at(50), token, AttemptOutcome::Served);
    (1..100).for_each(|n| gateway.detect_unresponsive(at(n * 100)));
    assert!(!gateway.executor_view(at(9_900), ids[0]).unwrap().ejected);
    // nor is it at the moment when it gets a request again
    gateway.attempt_started(at(9_900), ids[0], &sized(service, 9, 0));
    gateway.detect_unresponsive(at(9_950));
    gateway.detect_unresponsive(at(10_000));
    assert!(!gateway.executor_view(at(10_000), ids[0]).unwrap().ejected);
}

#[test]
fn batch_items_with_long_shared_parts_have_a_home_while_it_has_room() {
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

#[test]
fn full_executors_are_not_idle_because_others_are_dark() {
    // given four of which three are dark and one is full
    let (mut gateway, service, ids) = node(4, 7);
    for n in 0..100 {
        let token = gateway.attempt_started(at(n), ids[0], &sized(service, 9, 0)).unwrap();
        gateway.attempt_finished(at(n + 100), token, AttemptOutcome::Served);
    }
    ids[1..].iter().for_each(|id| gateway.record_fault(at(300), *id, ExecutorFault::ConnectFailed));
    fill(&mut gateway, at(300), ids[0], 4, 30);
    ids[1..].iter().for_each(|id| fill(&mut gateway, at(300), *id, 4, 0));
    assert!(matches!(gateway.choose(at(301), &sized(service, 9, 0)), RoutingDecision::Reject { .. }));
}

proptest! {
    /// Whatever order things come in: no panic, nothing is ever sent to one that drains, accounts return to 0.
    #[test]
    fn any_order_of_events_keeps_the_accounts(
        events in prop::collection::vec((0_u8..14, 0_usize..8, any::<u32>(), 0_u64..3000), 1..200),
        seed in any::<u64>(),
    ) {
        let (mut gateway, service, _) = node(4, seed);
        let (mut now, mut open) = (START, Vec::new());
        let mut draining = [false; 8];
        for (event, which, value, ms) in events {
            now = now + Duration::from_millis(ms);
            let id = gateway.find(executor(which, ExecutorState::Ready).instance);
            match event {
                0 => { gateway.upsert(&executor(which, ExecutorState::Ready)); draining[which] = false; }
                1 => { gateway.upsert(&executor(which, ExecutorState::Draining)); draining[which] = true; }
                2 => { gateway.upsert(&executor(which, ExecutorState::Unresponsive)); draining[which] = false; }
                3 => if let Some(id) = id { gateway.remove(id); draining[which] = false; },
                4 => if let Some(id) = id {
                    gateway.observe_load(now, id, ServerLoad { running: value, waiting: value, slots: value });
                },
                5 => if let Some(id) = id { gateway.record_fault(now, id, ExecutorFault::ConnectionBroken) },
                6 => gateway.detect_unresponsive(now),
                10 => if let Some(id) = id { gateway.observe_peer_load(now, id, f64::from(value) * 1e30) },
                7 => if !open.is_empty() {
                    let token = open.swap_remove(value as usize % open.len());
                    let outcome = [AttemptOutcome::Served, AttemptOutcome::NeverSent, AttemptOutcome::NotExecuted][which % 3];
                    gateway.attempt_finished(now, token, outcome);
                },
                8 => open.iter().for_each(|token| gateway.event_received(now, *token)),
                9 => {
                    let item = BatchItem { tokens: None, ..item(service, 0.5) };
                    if let Some(id) = gateway.choose_for_batch(now, &item) {
                        prop_assert!(gateway.executor_view(now, id).unwrap().state == ExecutorState::Ready);
                        open.extend(gateway.attempt_started(now, id, &item.as_request()));
                    }
                }
                _ => {
                    let request = with_prefix(service, which, value % 40_000);
                    if let Some(id) = sent(gateway.choose(now, &request)) {
                        prop_assert!(gateway.accepts_requests(id));
                        let view = gateway.executor_view(now, id).unwrap();
                        let at = (0..8).find(|n| executor(*n, ExecutorState::Ready).instance == &*view.instance);
                        prop_assert!(!draining[at.unwrap()]);
                        open.extend(gateway.attempt_started(now, id, &request));
                    }
                }
            }
        }
        open.into_iter().for_each(|token| gateway.attempt_finished(now, token, AttemptOutcome::Served));
        prop_assert_eq!(gateway.outstanding().count(), 0);
    }
}

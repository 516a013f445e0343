//! Scenarios of one dispatcher or a few: one for each rule of the decisions, and one for each failure that was observed.

mod support;

use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId, fixed_hash};
use grebeusher_dispatch::learned::{LearnedKind, LearnedState};
use grebeusher_dispatch::load_message::{LoadMessage, MAX_COUNTS_PER_MESSAGE, MAX_MESSAGE_BYTES, short_hash};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{
    Arrival, AttemptOutcome, AttemptPolicy, ExecutorStatus, ListUpdate, ListedExecutor, LoadReport,
    RetryBudget, SlowStart,
};
use support::*;

const FIRST_REQUEST_TIMER: u64 = 2;

#[test]
fn long_and_short_requests_have_separate_lanes_once_fifty_sizes_are_known() {
    let mut scenario = Scenario::of(8);
    let (mut short, mut long) = ([0; 8], [0; 8]);
    for request in 1000..1008 {
        scenario.arrive(request, NON_IDEMPOTENT, 300); // attempts in flight make the node use all eight executors
        scenario.sent_to();
    }
    for request in 0..400 {
        // Short requests are just over three quarters of the work, and their lane has three quarters of the executors.
        let is_long = request % 10 == 0;
        scenario.arrive(request, NON_IDEMPOTENT, if is_long { 700 } else { 300 });
        let executor = scenario.sent_to();
        scenario.end(request, 0, executor, AttemptOutcome::Served);
        if request == 60 {
            scenario.pass(300);
            scenario.node.timer_fired(scenario.now, 0);
            scenario.actions();
        }
        if request > 60 {
            if is_long { long[executor] += 1 } else { short[executor] += 1 }
        }
    }
    assert_eq!(short.iter().filter(|&&n| n > 0).count(), 6, "{short:?}");
    assert_eq!(long.iter().filter(|&&n| n > 0).count(), 2, "{long:?}");
    assert!((0..8).all(|i| short[i] == 0 || long[i] == 0), "no executor gets both: {short:?} {long:?}");
}

#[test]
fn requests_leave_a_lane_whose_executors_have_just_reported_full() {
    // Guards against two failures. Other nodes filled one lane, where a node's own attempts left room, and the other lane
    // was idle. At nodes with little traffic, old reports sent short requests to the lane of the long ones.
    assert!(uses_the_long_lane(0), "short requests go to the long lane");
    assert!(!uses_the_long_lane(1500), "the reports are too old");
}

/// Whether a short request leaves its lane `ms` milliseconds after the executors of the lane reported full.
fn uses_the_long_lane(ms: u64) -> bool {
    let mut scenario = Scenario::of(8);
    let executors: Vec<usize> = (1000..1008)
        .map(|request| {
            scenario.arrive(request, NON_IDEMPOTENT, 300);
            scenario.sent_to()
        })
        .collect();
    let mut long = [false; 8];
    let report =
        |full| Some(LoadReport { utilisation: Some(if full { 1.0 } else { 0.1 }), free_slots: None });
    for request in 0..400 {
        let is_long = request % 10 == 0;
        scenario.arrive(request, NON_IDEMPOTENT, if is_long { 700 } else { 300 });
        let executor = scenario.sent_to();
        long[executor] |= is_long && request > 60;
        scenario.end(request, 0, executor, AttemptOutcome::Served);
        if request == 60 {
            scenario.pass(300);
            scenario.node.timer_fired(scenario.now, 0);
            scenario.actions();
        }
    }
    for (request, &executor) in (1000..).zip(&executors) {
        scenario.end_with(request, 0, executor, AttemptOutcome::Served, report(!long[executor]));
    }
    scenario.pass(ms);
    scenario.arrive(500, NON_IDEMPOTENT, 300);
    long[scenario.sent_to()]
}

#[test]
fn two_or_three_executors_form_two_lanes() {
    // Guards against rounding three quarters of two or three executors to all of them, which leaves one lane.
    for executors in [2, 3] {
        let mut scenario = Scenario::of(executors);
        let (mut short, mut long) = ([0; 3], [0; 3]);
        for request in 0..300 {
            let size = 100 + request * 37 % 800;
            scenario.arrive(request, NON_IDEMPOTENT, size);
            let executor = scenario.sent_to();
            scenario.end(request, 0, executor, AttemptOutcome::Served);
            if request > 60 {
                short[executor] += u32::from(size < 200);
                long[executor] += u32::from(size > 890);
            }
        }
        assert!((0..3).all(|i| short[i] == 0 || long[i] == 0), "{short:?} {long:?}");
    }
}

#[test]
fn inside_a_lane_the_pick_follows_reported_utilisation() {
    let mut scenario = Scenario::of(2);
    let mut sent = [0; 2];
    for request in 0..2000 {
        scenario.arrive(request, NON_IDEMPOTENT, UNHINTED);
        let executor = scenario.sent_to();
        sent[executor] += 1;
        let report = LoadReport { utilisation: Some([0.8, 0.2][executor]), free_slots: None };
        scenario.end_with(request, 0, executor, AttemptOutcome::Served, Some(report));
    }
    let share = sent[1] as f64 / 2000.0;
    assert!(
        (0.75..0.85).contains(&share),
        "weights 0.2 and 0.8, but the idle executor got a share of {share}"
    );
}

#[test]
fn the_idle_share_of_a_larger_executor_weighs_more() {
    // Guards against equal weights at nodes that have little traffic or have just started, and so know no speeds.
    let mut scenario = Scenario::fleet(1, 0).remove(0);
    let large = ListedExecutor { weight: 4.0, ..listing(1, "large") };
    scenario.node.update_executors(scenario.now, ListUpdate::Complete, &[listing(0, "small"), large]);
    let mut sent = [0; 2];
    for request in 0..2000 {
        scenario.arrive(request, NON_IDEMPOTENT, UNHINTED);
        let executor = scenario.sent_to();
        sent[executor] += 1;
        scenario.end(request, 0, executor, AttemptOutcome::Served);
    }
    let share = sent[1] as f64 / 2000.0;
    assert!((0.75..0.85).contains(&share), "weights 1 and 4, but the large executor got a share of {share}");
}

#[test]
fn an_unusable_request_fails_without_counting_against_the_executor() {
    // Guards against one faulty client whose requests, sent to three executors each, got all executors ejected.
    let mut scenario = Scenario::of(2);
    for request in 0..6 {
        scenario.arrive(request, IDEMPOTENT, 300);
        let executor = scenario.sent_to();
        scenario.end(request, 0, executor, AttemptOutcome::InvalidRequest);
        assert_eq!(scenario.actions(), [Action::Fail(request)]);
    }
    let mut used: Vec<usize> = (6..10)
        .map(|request| {
            scenario.arrive(request, IDEMPOTENT, 300);
            scenario.sent_to()
        })
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, [0, 1], "both executors are still used");
}

#[test]
fn a_connection_that_breaks_before_the_request_is_sent_does_not_count_against_the_executor() {
    // Guards against warm executors that are ejected and taken for restarted when connections to them are reset.
    let mut scenario = Scenario::of(2);
    let mut first = Vec::new();
    for request in 0..8 {
        scenario.arrive(request, NON_IDEMPOTENT, 300);
        first.push(scenario.sent_to());
        scenario.end(request, 0, first[request as usize], AttemptOutcome::SendFailed);
        let second = scenario.sent_to();
        assert_ne!(second, first[request as usize], "the request did not run, so another executor gets it");
        scenario.end(request, 1, second, AttemptOutcome::Served);
        scenario.actions();
    }
    first.sort_unstable();
    first.dedup();
    assert_eq!(first, [0, 1], "both executors are still used");
}

#[test]
fn recent_attempts_correct_a_late_report() {
    // Guards against many requests sent between two reports to one executor that looks idle.
    let mut scenario = Scenario::of(2);
    let mut used = Vec::new();
    while (0..2).any(|executor| used.iter().filter(|&&other| other == executor).count() < 2) {
        scenario.arrive(used.len() as u64, NON_IDEMPOTENT, UNHINTED);
        let executor = scenario.sent_to();
        scenario.report_start(used.len() as u64, 0, executor); // shows a slot for each running request
        used.push(executor);
    }
    for (request, &executor) in used.iter().enumerate() {
        scenario.end(request as u64, 0, executor, AttemptOutcome::Served);
    }
    let half_full = Some(LoadReport { utilisation: Some(0.5), free_slots: None });
    let mut sent = [0; 2];
    for request in 100..1100 {
        scenario.pass(2000);
        scenario.node.load_reported(scenario.now, ExecutorId(0), half_full);
        scenario.node.load_reported(scenario.now, ExecutorId(1), half_full);
        scenario.arrive(2 * request, NON_IDEMPOTENT, UNHINTED);
        let first = scenario.sent_to();
        scenario.arrive(2 * request + 1, NON_IDEMPOTENT, UNHINTED);
        let second = scenario.sent_to();
        sent[usize::from(second != first)] += 1;
        scenario.end(2 * request, 0, first, AttemptOutcome::Served);
        scenario.end(2 * request + 1, 0, second, AttemptOutcome::Served);
    }
    assert!(sent[1] > 700, "the first attempt lowers the weight of its executor: {sent:?}");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_never_retried() {
    for ending in
        [AttemptOutcome::Error, AttemptOutcome::Reset, AttemptOutcome::TimedOut, AttemptOutcome::Cancelled]
    {
        let mut scenario = Scenario::of(4);
        scenario.arrive(1, NON_IDEMPOTENT, 100);
        let executor = scenario.sent_to();
        scenario.end(1, 0, executor, ending);
        assert_eq!(scenario.actions(), [Action::Fail(1)], "after {ending:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_has_not_run_is_sent_to_another_executor() {
    for ending in [AttemptOutcome::Full, AttemptOutcome::Refused] {
        let mut scenario = Scenario::of(4);
        scenario.arrive(1, NON_IDEMPOTENT, 100);
        let first = scenario.sent_to();
        scenario.end(1, 0, first, ending);
        assert_ne!(scenario.sent_to(), first, "after {ending:?}");
    }
}

#[test]
fn the_number_of_attempts_is_limited() {
    let mut scenario = Scenario::with(6, AttemptPolicy { max_attempts: 2, ..POLICY });
    scenario.arrive(1, NON_IDEMPOTENT, 100);
    let first = scenario.sent_to();
    scenario.end(1, 0, first, AttemptOutcome::Full);
    let second = scenario.sent_to();
    scenario.end(1, 1, second, AttemptOutcome::Full);
    assert_eq!(scenario.actions(), [Action::Reject(1)]);
}

/// Guards against a burst of failed attempts that exceeds the retry budget at a node that has just started.
#[test]
fn retries_stay_within_their_budget_in_any_window() {
    let retry_budget = Some(RetryBudget { window: Duration::from_millis(5000), base: 1.0, ratio: 0.5 });
    let mut scenario = Scenario::with(6, AttemptPolicy { retry_budget, ..POLICY });
    let is_retried = |scenario: &mut Scenario, request| {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        let first = scenario.sent_to();
        scenario.end(request, 0, first, AttemptOutcome::SendFailed);
        let actions = scenario.actions();
        assert_eq!(actions.len(), 1, "the request is rejected at once or retried: {actions:?}");
        let Action::Send(_, second, _) = actions[0] else { return false };
        scenario.end(request, 1, second, AttemptOutcome::Served);
        true
    };
    // The budget is one retry and one more for every two arrivals.
    let retried: Vec<bool> = (1..=6).map(|request| is_retried(&mut scenario, request)).collect();
    assert_eq!(retried, [true, true, false, true, false, true]);
    // Arrivals and retries before the window no longer count.
    scenario.pass(5100);
    assert!(is_retried(&mut scenario, 7));
    assert!(is_retried(&mut scenario, 8) && !is_retried(&mut scenario, 9));
}

/// Guards against requests that are given up seconds early because a clock is ahead, and against requests that are kept beyond
/// the client's deadline.
#[test]
fn the_deadline_of_a_first_attempt_is_that_of_its_class_within_the_clock_error() {
    let time_out_s = |error_ms: u64, deadline_ms: u64| {
        let deadline_error = Duration::from_millis(error_ms);
        let mut scenario = Scenario::with(2, AttemptPolicy { deadline_error, ..POLICY });
        let deadline = scenario.now + Duration::from_millis(deadline_ms);
        let arrival = Arrival { deadline, ..scenario.arrival(100) };
        scenario.arrive_as(1, arrival);
        let actions = scenario.actions();
        let Action::Send(_, _, time_out) = actions[0] else { panic!("{actions:?}") };
        time_out.seconds()
    };
    let class_s = classes()[0].deadline.seconds();
    assert!((time_out_s(0, 1000) - 0.98).abs() < 1e-6, "{}", time_out_s(0, 1000));
    assert!((time_out_s(2000, 1000) - 2.98).abs() < 1e-6, "{}", time_out_s(2000, 1000));
    let later_ms = (class_s * 1e3) as u64 + 1000;
    assert!((time_out_s(2000, later_ms) - (class_s - 0.02)).abs() < 1e-6, "{}", time_out_s(2000, later_ms));
}

/// Guards against an unnoticed queue where starts are not reported and requests end before their first progress report.
#[test]
fn without_reported_starts_the_time_of_an_answer_shows_the_wait() {
    for (starts, sent) in [(false, false), (true, true)] {
        let mut scenario = Scenario::with_starts(1, POLICY, starts);
        scenario.arrive(1, NON_IDEMPOTENT, 100);
        scenario.sent_to();
        scenario.pass(3000);
        scenario.end(1, 0, 0, AttemptOutcome::Served);
        scenario.arrive(2, NON_IDEMPOTENT, 100);
        let actions = scenario.actions();
        assert_eq!(actions.iter().any(|action| matches!(action, Action::Send(2, ..))), sent, "{actions:?}");
    }
}

/// Guards against overloading an executor whose listed start is earlier than its real one.
#[test]
fn an_executor_counts_as_cold_for_longer_if_its_listed_start_may_be_wrong() {
    let sent = |error_ms: u64| {
        let mut scenario = Scenario::of(1);
        let slow_start = SlowStart {
            initial_share: 0.2,
            warm_up: Duration::from_millis(20_000),
            overload_factor: 4.0,
            window: Duration::from_millis(1000),
            start_time_error: Duration::from_millis(error_ms),
            not_before: Instant(0),
        };
        scenario.node =
            dispatcher(scenario.host.clone(), (0, 2), POLICY, false, true).with_slow_start(slow_start);
        scenario.node.start(scenario.now);
        let started = scenario.now;
        scenario.pass(15_000);
        scenario.node.update_executors(
            scenario.now,
            ListUpdate::Complete,
            &[ListedExecutor { started: Some(started), ..listing(0, "late") }],
        );
        scenario.pass(6000);
        (0..30).for_each(|request| scenario.arrive(request, NON_IDEMPOTENT, 1000));
        scenario.actions().iter().filter(|action| matches!(action, Action::Send(..))).count()
    };
    assert!(sent(0) > sent(12_000), "{} and {}", sent(0), sent(12_000));
}

#[test]
fn a_keyed_request_repeats_only_within_its_scope_and_deduplication_window() {
    let mut scenario = Scenario::of(6);
    scenario.arrive(1, IN_ZONE, 100);
    let first = scenario.sent_to();
    scenario.end(1, 0, first, AttemptOutcome::Reset);
    let second = scenario.sent_to();
    assert_eq!(second % 2, first % 2, "executors of another zone do not know the key");
    scenario.pass(3100);
    scenario.end(1, 1, second, AttemptOutcome::Reset);
    assert_eq!(
        scenario.actions(),
        [Action::Fail(1)],
        "no executor remembers the key, so the client must not retry"
    );

    scenario.arrive(2, ANYWHERE, 100);
    let first = scenario.sent_to();
    scenario.pass(9990);
    scenario.end(2, 0, first, AttemptOutcome::TimedOut);
    assert_eq!(
        scenario.actions(),
        [Action::Reject(2)],
        "all executors drop repeats, so the client may retry"
    );
}

#[test]
fn the_last_attempt_times_out_before_the_deadline() {
    let mut scenario = Scenario::of(2);
    scenario.arrive(1, NON_IDEMPOTENT, 100);
    let Action::Send(_, executor, time_out) = scenario.actions()[0] else {
        panic!("the request was not sent")
    };
    assert!(time_out < Duration::from_millis(10_000) && time_out > Duration::from_millis(9900));
    scenario.pass(9990);
    scenario.end(1, 0, executor, AttemptOutcome::TimedOut);
    assert_eq!(scenario.actions(), [Action::Fail(1)]);
    scenario.arrive_with(2, IDEMPOTENT, 100, 5);
    assert_eq!(scenario.actions(), [Action::Reject(2)], "there is no time left to send the request");
}

#[test]
fn a_response_that_has_started_outlasts_the_deadline_and_a_hedge() {
    let mut scenario = Scenario::of(2);
    scenario.arrive(1, IDEMPOTENT, 100);
    let first = scenario.sent_to();
    scenario.pass(150);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    scenario.actions();
    scenario.node.response_started(RequestId(1));
    scenario.pass(20_000);
    scenario.end(1, 0, first, AttemptOutcome::Cancelled);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(scenario.actions(), []);
}

#[test]
fn a_queued_request_is_answered_by_its_own_timer() {
    // Guards against a queued request without an answer, as its deadline passed between two rounds of housekeeping.
    let mut scenario = Scenario::of(0);
    scenario.arrive_with(1, NON_IDEMPOTENT, 100, 100);
    let actions = scenario.host.0.take();
    let [Action::SetTimer(after, timer)] = actions[..] else { panic!("{actions:?}") };
    assert!(after < Duration::from_millis(100));
    scenario.now = scenario.now + after;
    scenario.node.timer_fired(scenario.now, timer);
    assert_eq!(scenario.actions(), [Action::Reject(1)]);
}

#[test]
fn a_queued_request_is_sent_when_an_executor_is_listed() {
    let mut scenario = Scenario::of(0);
    scenario.arrive(1, NON_IDEMPOTENT, 100);
    assert_eq!(scenario.actions(), []);
    scenario.node.update_executors(scenario.now, ListUpdate::Changes, &[listing(0, "late")]);
    assert_eq!(scenario.sent_to(), 0);
}

#[test]
fn draining_gone_and_unlisted_executors_get_no_new_requests() {
    let mut scenario = Scenario::of(4);
    let draining = ListedExecutor { status: ExecutorStatus::Draining, ..listing(0, "executor-0") };
    let gone = ListedExecutor { status: ExecutorStatus::Gone, ..listing(1, "executor-1") };
    scenario.node.update_executors(scenario.now, ListUpdate::Changes, &[draining, gone]);
    for request in 0..20 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        let executor = scenario.sent_to();
        assert!(executor >= 2);
        scenario.end(request, 0, executor, AttemptOutcome::Served);
    }
    scenario.node.update_executors(scenario.now, ListUpdate::Complete, &[listing(3, "executor-3")]);
    for request in 20..40 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        assert_eq!(scenario.sent_to(), 3, "an executor absent from a complete list is gone");
        scenario.end(request, 0, 3, AttemptOutcome::Served);
    }
}

#[test]
fn a_lost_list_is_requested_again_after_a_growing_random_delay() {
    // The delays are short enough for a few calls within the 6 s after which a change counts as announced even if they fail.
    let mut scenario = Scenario::of(1);
    for _ in 0..50 {
        let mut delays = Vec::new();
        for _ in 0..4 {
            scenario.node.executor_list_lost();
            let [Action::SetTimer(after, timer)] = scenario.host.0.take()[..] else {
                panic!("expected one timer")
            };
            delays.push(after);
            scenario.node.timer_fired(scenario.now, timer);
            assert_eq!(scenario.actions(), [Action::WatchExecutors]);
        }
        let is_within = |delay: Duration, min_ms, max_ms| {
            delay >= Duration::from_millis(min_ms) && delay <= Duration::from_millis(max_ms)
        };
        assert!(is_within(delays[0], 100, 600) && is_within(delays[1], 200, 1200), "{delays:?}");
        assert!(is_within(delays[2], 400, 2400) && is_within(delays[3], 800, 4800), "{delays:?}");
        // A confirmed list resets the delay.
        scenario.node.executor_list_confirmed(scenario.now, true);
    }
}

#[test]
fn an_unconfirmed_list_is_used_for_exactly_its_time() {
    // Guards against requests to an executor that drains, while the node's calls for the list fail.
    const GRACE: Duration = Duration::from_millis(500);
    let mut scenario = Scenario::with(3, AttemptPolicy { drain_grace: GRACE, ..POLICY });
    let confirmed = scenario.now;
    scenario.node.executor_list_confirmed(confirmed, true);
    for (after_ms, expected) in [(0, true), (6400, true), (6500, false), (9000, false)] {
        scenario.now = confirmed + Duration::from_millis(after_ms);
        scenario.arrive(after_ms, NON_IDEMPOTENT, UNHINTED);
        let sent = scenario
            .actions()
            .iter()
            .any(|action| matches!(action, Action::Send(request, ..) if *request == after_ms));
        assert_eq!(sent, expected, "{after_ms} ms after the last confirmation");
    }
    // An executor that reports its own status is used whatever the age of the list, and its report serves the queued requests.
    scenario.node.update_executors(
        scenario.now,
        ListUpdate::Changes,
        &[ListedExecutor { reports_own_status: true, ..listing(9, "reports") }],
    );
    assert!(scenario.actions().iter().any(|action| matches!(action, Action::Send(9000, 9, _))));
}

#[test]
fn an_attempt_that_waited_for_a_connection_is_sent_only_while_it_is_still_allowed() {
    let (request, mut scenario) = (1, Scenario::of(3));
    scenario.node.executor_list_confirmed(scenario.now, true);
    scenario.arrive(request, ANYWHERE, UNHINTED);
    let first = scenario.sent_to();
    let id = |number| AttemptId { request: RequestId(request), number };
    let may_send = |scenario: &Scenario, number, executor| {
        scenario.node.may_send_now(scenario.now, id(number), ExecutorId(executor))
    };
    assert!(may_send(&scenario, 0, first));
    // The first attempt may have run, and its key is remembered for 3 s; a retry sent after that could be a second execution.
    scenario.end(request, 0, first, AttemptOutcome::Reset);
    let second = scenario.sent_to();
    assert!(may_send(&scenario, 1, second));
    scenario.now = scenario.now + Duration::from_millis(2999);
    assert!(may_send(&scenario, 1, second));
    scenario.now = scenario.now + Duration::from_millis(1);
    assert!(!may_send(&scenario, 1, second), "the executors have forgotten the key");
    scenario.now = scenario.now - Duration::from_millis(1000);
    let draining = ListedExecutor { status: ExecutorStatus::Draining, ..listing(second, "drains") };
    scenario.node.update_executors(scenario.now, ListUpdate::Changes, &[draining]);
    assert!(!may_send(&scenario, 1, second), "the drain was announced first");
    scenario.node.update_executors(scenario.now, ListUpdate::Changes, &[listing(second, "drains")]);
    assert!(may_send(&scenario, 1, second));
    scenario.node.finish(RequestId(request));
    assert!(!may_send(&scenario, 1, second), "no client waits for it");
}

#[test]
fn a_cold_executor_is_not_overloaded_by_all_nodes_together() {
    // Guards against an executor overloaded by many small requests from all nodes, which were counted by size alone.
    let mut scenarios = [Scenario::at(0, 0, POLICY, false), Scenario::at(1, 0, POLICY, false)];
    let started = scenarios[0].now;
    let mut sent: Vec<Instant> = Vec::new();
    let mut sent_early = [false; 2];
    scenarios.iter_mut().for_each(|scenario| scenario.list_cold(0));
    for step in 0..1500 {
        for (node, scenario) in scenarios.iter_mut().enumerate() {
            scenario.arrive(step, NON_IDEMPOTENT, UNHINTED);
            for action in scenario.actions() {
                if let Action::Send(request, 0, _) = action {
                    sent.push(scenario.now);
                    sent_early[node] |= scenario.now.since(started) < Duration::from_millis(8000);
                    scenario.end(request, 0, 0, AttemptOutcome::Served);
                }
            }
            scenario.pass(10);
        }
    }
    assert!(sent.len() >= 3, "it is sent a few requests: {sent:?}");
    assert!(sent_early[0] != sent_early[1], "at first only one of the two nodes sends to it");
    for (i, &from) in sent.iter().enumerate() {
        let in_window =
            sent[i..].iter().take_while(|at| at.since(from) < Duration::from_millis(1000)).count();
        // A request of mean size takes a second of the one known slot, and four times the share overloads the executor.
        let share = 0.2 + 0.8 * (from.since(started).seconds() + 1.0) / 20.0;
        assert!(in_window as f64 <= 4.0 * share, "{in_window} requests in one window at share {share}");
    }
}

#[test]
fn a_fleet_of_nodes_with_little_traffic_uses_the_capacity_of_a_cold_executor() {
    // Guards against an idle cold executor to which only one or two of a hundred nodes may send.
    let mut fleet = Scenario::fleet(20, 4);
    fleet.iter_mut().for_each(learn_sizes);
    let started = fleet[0].now;
    let (mut sent, mut nodes) = (Vec::new(), [false; 20]);
    fleet.iter_mut().for_each(|scenario| scenario.list_cold(4));
    for step in 0..200 {
        // Each node receives a request every two seconds, and the fleet ten a second.
        let now = started + Duration::from_millis(step * 100);
        let node = step as usize % 20;
        let scenario = &mut fleet[node];
        scenario.now = now;
        scenario.arrive(100 + step, NON_IDEMPOTENT, 250);
        let executor = scenario.sent_to();
        scenario.end(100 + step, 0, executor, AttemptOutcome::Served);
        if executor == 4 {
            sent.push(now);
            nodes[node] = true;
        }
    }
    // A warm executor serves four requests a second, a cold one about 2.4 a second on average over these twenty seconds.
    assert!(sent.len() >= 45, "{} requests", sent.len());
    assert!(nodes.iter().filter(|&&used| used).count() >= 10, "{nodes:?}");
    for (i, &from) in sent.iter().enumerate() {
        let in_window =
            sent[i..].iter().take_while(|at| at.since(from) < Duration::from_millis(1000)).count();
        let share = 0.2 + 0.8 * (from.since(started).seconds() + 1.0) / 20.0;
        assert!(
            in_window as f64 <= 4.0 * share / 0.25,
            "{in_window} requests in one window at share {share}"
        );
    }
}

/// Lets a node learn that requests take 250 ms and that executors have one slot.
fn learn_sizes(scenario: &mut Scenario) {
    scenario.run_requests(8, 250, 250);
    scenario.pass(3500);
    scenario.node.timer_fired(scenario.now, 0);
    scenario.actions();
}

#[test]
fn a_cold_executor_is_used_while_the_warm_ones_are_full() {
    // Guards against rejections by the nodes that may use a cold executor, because the warm ones are full and nothing is
    // known of the cold one.
    for nodes in [1, 20] {
        let mut fleet = Scenario::fleet(nodes, 3);
        let mut used = 0;
        for scenario in &mut fleet {
            learn_sizes(scenario);
            for request in 20..23 {
                scenario.arrive(request, NON_IDEMPOTENT, 250);
                scenario.sent_to();
            }
            scenario.pass(3000); // the requests on all three executors wait
            scenario.list_cold(3);
            scenario.arrive(30, IDEMPOTENT, 250);
            used +=
                usize::from(scenario.actions().iter().any(|action| matches!(action, Action::Send(30, 3, _))));
        }
        assert!(used > 0, "none of {nodes} nodes used it");
        assert!(used <= 2, "{used} of {nodes} nodes used it at once");
    }
}

#[test]
fn a_node_that_has_just_started_learns_what_a_cold_executor_can_take_in_one_round_of_housekeeping() {
    // Guards against nodes that are restarted in a release and then send nothing to cold executors for 5 s.
    let mut scenario = Scenario::fleet(1, 4).remove(0);
    scenario.pass(1000); // the node's previous process may have used its part of the budget within this window
    scenario.run_requests(4, 1000, 60);
    scenario.list_cold(4);
    scenario.pass(10);
    scenario.node.timer_fired(scenario.now, 0);
    scenario.actions();
    scenario.arrive(10, NON_IDEMPOTENT, 1000);
    assert_eq!(scenario.sent_to(), 4);
}

#[test]
fn processes_that_restart_within_a_window_do_not_use_its_budget_twice() {
    // Guards against most nodes killed at once, whose new processes each start with an unused part of the budget.
    for nodes in [1, 20, 30] {
        let (mut sent_early, mut sent_later) = (0, 0);
        for mut scenario in Scenario::fleet(nodes, 1) {
            // A cold executor can take several requests of this size at once.
            let sizes = vec![(0.05, 0.05); 60];
            scenario.node.merge_learned(scenario.now, &LearnedState { sizes, ..LearnedState::default() });
            scenario.node.update_executors(scenario.now, ListUpdate::Complete, &[]);
            scenario.list_cold(4);
            let mut send = |requests: std::ops::Range<u64>, after_ms| {
                scenario.pass(after_ms);
                requests.for_each(|request| scenario.arrive(request, IDEMPOTENT, 250));
                scenario.actions().iter().filter(|action| matches!(action, Action::Send(_, 4, _))).count()
            };
            sent_early += send(0..20, 900); // the window is 1 s
            sent_later += send(20..40, 5000);
        }
        assert_eq!(sent_early, 0, "from {nodes} nodes");
        assert!(sent_later > 0, "none of {nodes} nodes used it later");
    }
}

#[test]
fn executors_where_requests_waited_long_are_passed_over() {
    // Guards against a node whose requests queue at the few executors that it uses while others are idle.
    for (wait_ms, passed_over) in [(300, true), (20, false)] {
        let mut scenario = Scenario::with(12, AttemptPolicy { hedging: false, ..POLICY });
        let mut used = Vec::new();
        for request in 0..30 {
            scenario.arrive(request, IDEMPOTENT, UNHINTED);
            let executor = scenario.sent_to();
            used.push(executor);
            scenario.pass(wait_ms);
            scenario.report_start(request, 0, executor);
            scenario.end(request, 0, executor, AttemptOutcome::Served);
        }
        used.sort_unstable();
        used.dedup();
        assert_eq!(used.len() > 3, passed_over, "{used:?} after waits of {wait_ms} ms");
    }
}

#[test]
fn a_new_executor_has_the_values_of_its_kind_at_once() {
    // Guards against new executors that count as one slow slot, too little for a request, until cut-offs are recomputed.
    let mut scenario = Scenario::fleet(1, 4).remove(0);
    scenario.run_requests(40, 1000, 250); // four times as fast as a standard core
    scenario.node.timer_fired(scenario.now, 0);
    scenario.actions();
    scenario.list_cold(4);
    scenario.arrive(100, NON_IDEMPOTENT, 1000);
    assert_eq!(scenario.sent_to(), 4);
}

#[test]
fn an_executor_whose_connections_are_reset_and_then_refused_counts_as_cold() {
    // Guards against overloading a crashed executor that returns cold before the list says so.
    let mut scenario = Scenario::of(1);
    scenario.arrive(1, NON_IDEMPOTENT, 100);
    scenario.end(1, 0, 0, AttemptOutcome::Reset);
    scenario.arrive(2, NON_IDEMPOTENT, 100);
    scenario.end(2, 0, 0, AttemptOutcome::Refused);
    scenario.pass(6000);
    scenario.actions();
    scenario.arrive(3, NON_IDEMPOTENT, 100);
    assert_eq!(scenario.actions(), [], "the cold executor is sent nothing at first");
    scenario.pass(16_000);
    scenario.arrive(4, NON_IDEMPOTENT, 100);
    assert!(scenario.actions().iter().any(|action| matches!(action, Action::Send(4, 0, _))));
}

#[test]
fn a_request_is_not_sent_again_where_it_failed() {
    // Guards against retries at a crashed executor, which soon looks idle.
    let mut scenario = Scenario::of(2);
    for request in 0..10 {
        scenario.arrive(request, IDEMPOTENT, 100);
        let first = scenario.sent_to();
        scenario.end(request, 0, first, AttemptOutcome::Reset);
        assert_eq!(scenario.sent_to(), 1 - first);
        scenario.end(request, 1, 1 - first, AttemptOutcome::Served);
    }
}

#[test]
fn an_executor_that_fails_is_ejected_for_a_while() {
    // Guards against a failing executor that looks idle, as its errors come fast, and so draws requests.
    let mut scenario = Scenario::of(4);
    scenario.arrive(1, IDEMPOTENT, 100);
    let failing = scenario.sent_to();
    scenario.end(1, 0, failing, AttemptOutcome::Error);
    assert_ne!(scenario.sent_to(), failing, "an idempotent request is retried at another executor");
    let mut returned_after_ms = None;
    for request in 10..700 {
        scenario.pass(10);
        scenario.arrive(request, NON_IDEMPOTENT, UNHINTED);
        let executor = scenario.sent_to();
        scenario.end(request, 0, executor, AttemptOutcome::Served);
        if executor == failing && returned_after_ms.is_none() {
            returned_after_ms = Some(request * 10 - 90);
        }
    }
    let after_ms = returned_after_ms.expect("the executor is used again");
    assert!((3000..5500).contains(&after_ms), "after {after_ms} ms");
}

#[test]
fn ejection_never_takes_more_than_half_of_the_executors() {
    let mut scenario = Scenario::of(4);
    for request in 0..20 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        let executor = scenario.sent_to();
        scenario.end(request, 0, executor, AttemptOutcome::Error);
        assert_eq!(
            scenario.actions(),
            [Action::Fail(request)],
            "the request is sent although all executors fail"
        );
    }
}

#[test]
fn a_full_executor_is_left_out_for_a_while() {
    // Guards against a full executor that draws requests because it rejects them at once.
    let mut scenario = Scenario::of(1);
    scenario.arrive(1, NON_IDEMPOTENT, 100);
    let executor = scenario.sent_to();
    scenario.end(1, 0, executor, AttemptOutcome::Full);
    assert_eq!(scenario.actions(), []);
    scenario.arrive(2, NON_IDEMPOTENT, 100);
    assert_eq!(scenario.actions(), [], "the request is queued while the executor is left out");
}

#[test]
fn a_waiting_request_is_hedged_and_keeps_its_place_until_one_attempt_starts() {
    // Guards against a move that gives up a place in a queue, and against a keyed request that waits without a hedge.
    for (hedging, class, is_hedged) in [
        (true, IDEMPOTENT, true),
        (true, IN_ZONE, true),
        (false, IDEMPOTENT, false),
        (false, IN_ZONE, false),
        (true, NON_IDEMPOTENT, false),
    ] {
        let mut scenario = Scenario::with(4, AttemptPolicy { hedging, ..POLICY });
        scenario.arrive(1, class, 100);
        let first = scenario.sent_to();
        scenario.pass(150);
        scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
        let other = match (is_hedged, &scenario.actions()[..]) {
            (true, [Action::Send(1, other, _)]) => *other,
            (false, []) => continue,
            (_, other) => panic!("hedging {hedging}, class {class}: {other:?}"),
        };
        assert_ne!(other, first);
        assert!(class != IN_ZONE || other % 2 == first % 2, "a keyed request stays in its zone");
        scenario.report_start(1, 1, other);
        assert_eq!(scenario.actions(), [Action::Cancel(1, 0)]);
        scenario.end(1, 0, first, AttemptOutcome::Cancelled);
        assert_eq!(scenario.actions(), [], "the other attempt runs");
    }
}

#[test]
fn without_reported_starts_a_waiting_request_is_not_taken_for_running() {
    // Guards against a request that waits for more than 2.5 progress intervals and counts as silent: its executor was
    // ejected and a hedge sent, until all executors were full of hedges.
    let mut scenario = Scenario::with_starts(4, POLICY, false);
    scenario.arrive(1, IDEMPOTENT, 3000);
    let first = scenario.sent_to();
    scenario.pass(2600);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(scenario.actions(), [], "the request may wait or have just started");
    scenario.report_start(1, 0, first);
    scenario.pass(2000);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(scenario.actions(), [], "the first progress report proves a start");
    scenario.pass(600);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert!(
        matches!(scenario.actions()[..], [Action::Cancel(1, 0), Action::Send(1, other, _)] if other != first)
    );
}

#[test]
fn without_cancellation_a_hedge_is_sent_and_nothing_is_cancelled() {
    let mut scenario = Scenario::with(3, AttemptPolicy { cancellation: false, ..POLICY });
    scenario.arrive(1, IDEMPOTENT, 100);
    scenario.sent_to();
    scenario.pass(150);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert!(matches!(scenario.actions()[..], [Action::Send(1, ..)]));
}

#[test]
fn a_waiting_request_that_is_late_is_rejected_when_no_executor_has_room() {
    // Guards against late requests that keep waiting in full queues and make all later ones late as well.
    let mut scenario = Scenario::of(1);
    scenario.arrive(1, IDEMPOTENT, 100);
    assert_eq!(scenario.sent_to(), 0);
    scenario.pass(500);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(
        scenario.actions(),
        [],
        "the slack of 0.5 s plus twice the size less the run time is not used up yet"
    );
    scenario.pass(150);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(scenario.actions(), [Action::Cancel(1, 0), Action::Reject(1)]);
}

#[test]
fn a_lane_without_room_uses_executors_of_the_other() {
    // Guards against short requests that queue in their full lane while the other lane is idle.
    let mut scenario = Scenario::of(4);
    for request in 0..60 {
        scenario.arrive(request, NON_IDEMPOTENT, if request % 10 == 0 { 700 } else { 300 });
        let executor = scenario.sent_to();
        scenario.end(request, 0, executor, AttemptOutcome::Served);
    }
    scenario.pass(300);
    scenario.node.timer_fired(scenario.now, 0);
    scenario.actions();
    let used: Vec<usize> = (100..104)
        .map(|request| {
            scenario.arrive(request, NON_IDEMPOTENT, 300);
            let executor = scenario.sent_to();
            scenario.report_start(request, 0, executor);
            executor
        })
        .collect();
    assert!((0..4).all(|executor| used.contains(&executor)), "each executor has one slot: {used:?}");
}

#[test]
fn a_running_request_is_not_moved_until_its_executor_is_silent() {
    let mut scenario = Scenario::with(3, AttemptPolicy { hedging: false, ..POLICY });
    scenario.arrive(1, IDEMPOTENT, 5000);
    let first = scenario.sent_to();
    scenario.report_start(1, 0, first);
    scenario.pass(1000);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(scenario.actions(), []);
    scenario.pass(2000);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(
        scenario.actions(),
        [Action::Cancel(1, 0)],
        "the first attempt is cancelled before the next is sent"
    );
    scenario.end(1, 0, first, AttemptOutcome::Cancelled);
    assert_ne!(scenario.sent_to(), first);
}

#[test]
fn a_request_that_would_be_late_everywhere_is_rejected_at_once() {
    // Guards against queues that grow under overload until all answers are late.
    let mut scenario = Scenario::of(2);
    for request in 0..2 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
    }
    scenario.pass(3000);
    scenario.actions();
    scenario.arrive(9, NON_IDEMPOTENT, 100);
    assert_eq!(scenario.actions(), [Action::Reject(9)]);
}

#[test]
fn without_room_anywhere_the_wait_at_the_chosen_executor_counts() {
    // Guards against requests sent into long queues because the shortest wait of all counts: half of the answers were late.
    let mut scenario = Scenario::of(2);
    scenario.arrive(0, NON_IDEMPOTENT, 100);
    let long_queue = scenario.sent_to();
    scenario.pass(2900);
    scenario.arrive(1, NON_IDEMPOTENT, 100);
    assert_eq!(scenario.sent_to(), 1 - long_queue, "the other executor has room");
    scenario.pass(100);
    let mut rejected = 0;
    for request in 10..50 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        match scenario.actions()[..] {
            [Action::Reject(_)] => rejected += 1,
            [Action::Send(_, executor, _)] => {
                assert_eq!(executor, 1 - long_queue);
                scenario.end(request, 0, executor, AttemptOutcome::Served);
            }
            ref other => panic!("{other:?}"),
        }
    }
    assert!(rejected > 0, "no request was rejected for the long queue");
}

#[test]
fn the_objective_of_a_repeat_counts_from_the_clients_first_attempt() {
    // Guards against repeats past their latency objective that displace requests which can still be in time.
    let mut scenario = Scenario::of(1);
    scenario.arrive(0, NON_IDEMPOTENT, 100);
    scenario.sent_to();
    scenario.pass(150);
    for (request, repeat) in [(1, true), (2, false)] {
        // Five of the ten seconds of a repeat have passed.
        scenario.arrive_as(request, Arrival { repeat, ..scenario.arrival(5000) });
        assert_eq!(matches!(scenario.actions()[..], [Action::Reject(_)]), repeat);
    }
}

#[test]
fn requests_beyond_a_customers_share_are_rejected_first() {
    let mut scenario = Scenario::of(1);
    // With two nodes the share here is four requests a second, twice the even part, and two seconds' worth may come at once.
    scenario.node = dispatcher(scenario.host.clone(), (0, 2), POLICY, false, true)
        .with_customer_quotas(&[4.0, f64::INFINITY]);
    scenario.node.start(scenario.now);
    scenario.list(1);
    for (request, customer) in (0..9).map(|request| (request, 0)).chain([(9, 1)]) {
        scenario.pass(if request == 8 { 200 } else { 0 });
        let hint = Some(Duration::from_millis(2000));
        scenario.arrive_as(request, Arrival { customer, hint, ..scenario.arrival(10_000) });
    }
    let rejected = scenario.actions().into_iter().filter(|action| matches!(action, Action::Reject(_)));
    assert_eq!(rejected.collect::<Vec<_>>(), [Action::Reject(8)]);
}

#[test]
fn a_share_of_less_than_a_request_at_a_node_still_admits_some() {
    // Guards against a share of under half a request a second with hundreds of nodes, which every request exceeded.
    let mut scenario = Scenario::of(1);
    scenario.node =
        dispatcher(scenario.host.clone(), (0, 2), POLICY, false, true).with_customer_quotas(&[0.1]);
    scenario.node.start(scenario.now);
    scenario.list(1);
    scenario.arrive(0, NON_IDEMPOTENT, 2000);
    assert_eq!(scenario.sent_to(), 0);
    scenario.pass(200);
    scenario.arrive(1, NON_IDEMPOTENT, 2000);
    assert_eq!(scenario.sent_to(), 0, "the request would wait, but well within its objective");
}

#[test]
fn only_executors_in_use_are_probed_every_few_seconds() {
    // Guards against probes from every node to every executor, which with hundreds of both cost more than they are worth.
    let mut scenario = Scenario::at(0, 100, POLICY, true);
    let mut probes = Vec::new();
    for request in 0..100 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        let [ref before @ .., Action::Send(_, executor, _)] = scenario.actions()[..] else {
            panic!("the request was not sent")
        };
        assert!(before.is_empty() || before == [Action::Probe(executor)], "{before:?}");
        if !before.is_empty() {
            probes.push((executor, scenario.now));
            scenario.node.load_reported(scenario.now, ExecutorId(executor), None);
        }
        scenario.end(request, 0, executor, AttemptOutcome::Served);
        scenario.pass(100);
        scenario.node.timer_fired(scenario.now, 0);
    }
    assert!(
        (4..40).contains(&probes.len()),
        "a few executors are probed three or four times each: {probes:?}"
    );
}

#[test]
fn a_node_uses_more_executors_with_more_attempts_in_flight() {
    // Guards against picks of unknown executors one after the other through the whole fleet.
    let mut scenario = Scenario::of(100);
    let mut used = std::collections::BTreeSet::new();
    for request in 0..50 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        used.insert(scenario.sent_to());
    }
    assert!(used.len() > 25, "each slot is filled once before any is filled twice: {used:?}");
}

#[test]
fn unknown_executors_are_assumed_to_have_the_mean_wait() {
    // Guards against a node with one or two attempts in flight that takes every unused executor for free and sends into queues.
    let mut scenario = Scenario::of(100);
    let mut used = Vec::new();
    for request in 0..2 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
        used.push(scenario.sent_to());
        scenario.pass(100);
    }
    scenario.arrive(2, NON_IDEMPOTENT, 100);
    assert!(!used.contains(&scenario.sent_to()), "both requests wait, but not long yet");
    scenario.pass(3000);
    scenario.arrive(3, NON_IDEMPOTENT, 100);
    assert_eq!(scenario.actions(), [Action::Reject(3)], "by all known waits the request would be late");
    scenario.pass(6000);
    scenario.arrive(4, NON_IDEMPOTENT, 100);
    assert!(!used.contains(&scenario.sent_to()), "the executors of such long waits may be lost");
}

#[test]
fn free_slots_in_a_report_make_no_room_where_a_request_waits() {
    // Guards against a second request sent where the first one waits, because of a late report of free slots.
    let mut scenario = Scenario::of(2);
    for executor in 0..2 {
        let free = LoadReport { utilisation: Some(0.1), free_slots: Some(4.0) };
        scenario.node.load_reported(scenario.now, ExecutorId(executor), Some(free));
    }
    for request in (0..40).step_by(2) {
        scenario.arrive(request, NON_IDEMPOTENT, UNHINTED);
        let first = scenario.sent_to();
        scenario.arrive(request + 1, NON_IDEMPOTENT, UNHINTED);
        assert_eq!(scenario.sent_to(), 1 - first);
        scenario.end(request, 0, first, AttemptOutcome::Served);
        scenario.end(request + 1, 0, 1 - first, AttemptOutcome::Served);
    }
}

#[test]
fn a_long_request_does_not_block_a_cold_executor() {
    // Guards against a cold executor that is sent nothing beside one long request, and no request above the mean size.
    let mut sent = 0;
    for node in 0..2 {
        let mut scenario = Scenario::at(node, 0, POLICY, false);
        scenario.list_cold(0);
        scenario.pass(15_000);
        for request in 0..4 {
            scenario.arrive(request, NON_IDEMPOTENT, 2000);
            sent += scenario.actions().iter().filter(|action| matches!(action, Action::Send(..))).count();
            scenario.report_start(request, 0, 0);
            scenario.pass(1100);
        }
    }
    assert!(sent > 2, "{sent}");
}

#[test]
fn late_and_unknown_events_change_nothing() {
    let mut scenario = Scenario::of(2);
    scenario.arrive(1, IDEMPOTENT, 100);
    let executor = scenario.sent_to();
    scenario.node.finish(RequestId(1));
    assert_eq!(scenario.actions(), [Action::Cancel(1, 0)], "an attempt without a client is cancelled");
    scenario.end(1, 0, executor, AttemptOutcome::Cancelled);
    scenario.end(77, 3, 99, AttemptOutcome::Error);
    scenario.report_start(77, 0, 99);
    scenario.node.finish(RequestId(77));
    scenario.node.response_started(RequestId(77));
    scenario.node.load_reported(scenario.now, ExecutorId(99), None);
    scenario.node.timer_fired(scenario.now, 12_345);
    assert_eq!(scenario.actions(), []);
}

#[test]
fn absurd_values_are_bounded() {
    let mut scenario = Scenario::at(u64::MAX, 3, POLICY, false);
    let invalid = ListedExecutor { weight: f64::NAN, ..listing(1, "executor-1") };
    scenario.node.update_executors(
        scenario.now,
        ListUpdate::Changes,
        &[ListedExecutor { weight: 0.0, ..listing(0, "executor-0") }, invalid],
    );
    let report = LoadReport { utilisation: Some(f64::NAN), free_slots: Some(f64::INFINITY) };
    scenario.node.load_reported(scenario.now, ExecutorId(0), Some(report));
    scenario.node.load_reported(
        scenario.now,
        ExecutorId(1),
        Some(LoadReport { utilisation: Some(-7.0), free_slots: None }),
    );
    for (request, (hint, slots)) in [
        (Duration::from_nanos(0), 0.0),
        (Duration::from_nanos(u64::MAX), f64::NAN),
        (Duration::from_nanos(1), f64::INFINITY),
    ]
    .into_iter()
    .enumerate()
    {
        let absurd = Arrival { class: 99, customer: 9, hint: Some(hint), slots, ..scenario.arrival(1000) };
        scenario.arrive_as(request as u64, absurd);
    }
    for _ in 0..30 {
        scenario.pass(250);
        scenario.node.timer_fired(scenario.now, 0);
    }
    assert_eq!(scenario.actions().iter().filter(|action| matches!(action, Action::Send(..))).count(), 3);
}

#[test]
fn the_same_events_cause_the_same_actions() {
    let run = || {
        let mut scenario = Scenario::of(5);
        for request in 0..200 {
            scenario.arrive(request, (request % 4) as usize, 50 + request * 37 % 900);
            scenario.pass(20);
            scenario
                .node
                .timer_fired(scenario.now, if request % 10 == 0 { 0 } else { FIRST_REQUEST_TIMER + request });
        }
        scenario.host.0.take()
    };
    assert_eq!(run(), run());
}

#[test]
fn nodes_that_share_load_know_what_the_others_have_in_flight() {
    // Guards against a node that gets one request in fifty and sends to executors that others have filled.
    let free = Some(LoadReport { utilisation: None, free_slots: Some(4.0) });
    let mut aggregator = Scenario::with_load_sharing(0, 2);
    let mut other = Scenario::with_load_sharing(1, 2);
    for scenario in [&mut aggregator, &mut other] {
        for request in [1, 2] {
            scenario.arrive(request, IDEMPOTENT, UNHINTED);
            let executor = scenario.sent_to();
            scenario.end_with(request, 0, executor, AttemptOutcome::Served, free);
        }
    }
    let arrival = Arrival { slots: 4.0, ..other.arrival(9000) };
    other.arrive_as(3, arrival);
    let full = other.sent_to();
    other.node.timer_fired(other.now, 0);
    for (to, message) in other.sent_messages() {
        assert_eq!(to, Some(0), "the first node is the aggregator");
        aggregator.node.load_message_received(aggregator.now, 1, &message);
    }
    aggregator.node.timer_fired(aggregator.now, 0);
    assert_eq!(aggregator.sent_messages().iter().filter(|(to, _)| to.is_none()).count(), 1);
    aggregator.actions();
    for request in 4..8 {
        aggregator.arrive(request, NON_IDEMPOTENT, UNHINTED);
        assert_ne!(aggregator.sent_to(), full, "the other node fills all slots of the executor");
    }
}

#[test]
fn load_messages_that_are_invalid_or_not_allowed_change_nothing() {
    let mut scenario = Scenario::of(2);
    scenario.node.load_message_received(scenario.now, 1, &[2, 0, 1, 2, 3]);
    scenario.node.timer_fired(scenario.now, 0);
    assert_eq!(scenario.sent_messages(), []);
    let mut scenario = Scenario::with_load_sharing(1, 2);
    for invalid in [&[][..], &[9, 9], &[1, 200, 3], &[2, 0, 1], &[2, 0, 0, 0, 200]] {
        scenario.node.load_message_received(scenario.now, 0, invalid);
    }
    scenario.arrive(1, IDEMPOTENT, 100);
    scenario.sent_to();
}

#[test]
fn the_next_node_aggregates_when_the_first_is_silent() {
    // Guards against nodes without sums while the first one is down, and a first one without sums after its return.
    let mut returned = Scenario::with_load_sharing(0, 2);
    let mut scenario = Scenario::with_load_sharing(1, 2);
    scenario.arrive(1, IDEMPOTENT, 100);
    scenario.sent_to();
    scenario.node.timer_fired(scenario.now, 0);
    assert_eq!(scenario.sent_messages().last().map(|(to, _)| *to), Some(Some(0)));
    scenario.pass(2100);
    scenario.node.load_message_received(scenario.now, 0, &LoadMessage::Own { filled: Vec::new() }.encode());
    scenario.node.timer_fired(scenario.now, 0);
    let sent_messages = scenario.sent_messages();
    let all = sent_messages.iter().find(|(to, _)| to.is_none()).expect("this node sends sums");
    returned.node.load_message_received(returned.now, 1, &all.1);
    returned.node.timer_fired(returned.now, 0);
    assert_eq!(
        returned.sent_messages().last().map(|(to, _)| *to),
        Some(Some(1)),
        "the returned node sends to the new aggregator"
    );
}

#[test]
fn load_messages_round_trip_and_stay_within_their_limit() {
    let own = LoadMessage::Own { filled: (0..20).map(|at| (at * 777, at as u8)).collect() };
    let all = LoadMessage::Sums {
        list_hash: 7,
        first: 2 * MAX_COUNTS_PER_MESSAGE,
        filled: (0..MAX_COUNTS_PER_MESSAGE as u8).collect(),
    };
    for message in [own, all] {
        assert_eq!(LoadMessage::decode(&message.encode()), Some(message));
    }
    let too_long = LoadMessage::Own { filled: vec![(1, 1); 500] };
    assert!(too_long.encode().len() <= MAX_MESSAGE_BYTES);
    assert!(LoadMessage::decode(&too_long.encode()).is_some());
}

#[test]
fn the_run_time_of_a_request_does_not_grow_with_its_slots() {
    // Guards against a slack that subtracts the run time of a request of four slots four times: it was rejected wherever
    // anything waited.
    let mut scenario = Scenario::of(2);
    for request in 0..2 {
        scenario.arrive(request, NON_IDEMPOTENT, 100);
    }
    scenario.pass(400);
    scenario.actions();
    let hint = Some(Duration::from_millis(400));
    scenario.arrive_as(9, Arrival { slots: 4.0, hint, ..scenario.arrival(9000) });
    scenario.sent_to();
}

#[test]
fn not_all_requests_go_to_the_executor_that_all_nodes_know_to_be_free() {
    // Guards against all nodes sending to the shortest of queues known from half a second ago: 30 requests at once.
    let mut aggregator = Scenario::with_load_sharing(0, 8);
    let mut other = Scenario::with_load_sharing(1, 8);
    let full = |at: usize| (short_hash(fixed_hash(&format!("executor-{at}"))), 4);
    let message = LoadMessage::Own { filled: (1..8).map(full).collect() };
    aggregator.node.load_message_received(aggregator.now, 1, &message.encode());
    aggregator.node.timer_fired(aggregator.now, 0);
    let free = Some(LoadReport { utilisation: None, free_slots: Some(4.0) });
    let mut used = [0; 8];
    for request in 0..40 {
        other.arrive(request, IDEMPOTENT, UNHINTED);
        let executor = other.sent_to();
        used[executor] += u32::from(request > 0);
        other.end_with(request, 0, executor, AttemptOutcome::Served, free);
        if request == 0 {
            aggregator
                .sent_messages()
                .iter()
                .for_each(|(_, message)| other.node.load_message_received(other.now, 0, message));
        }
    }
    assert!(used[0] > 20, "the free executor gets most requests: {used:?}");
    assert!(used[1..].iter().sum::<u32>() > 0, "the others get some requests: {used:?}");
}

#[test]
fn a_running_request_is_not_reviewed_before_it_could_count_as_silent() {
    // Guards against four reviews a second of each running request, which took 7% of the CPU time.
    let mut scenario = Scenario::of(2);
    scenario.arrive(1, IDEMPOTENT, 3000);
    let executor = scenario.sent_to();
    scenario.report_start(1, 0, executor);
    scenario.pass(150);
    scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
    assert_eq!(
        scenario.host.0.take(),
        [Action::SetTimer(Duration::from_millis(2350), FIRST_REQUEST_TIMER + 1)]
    );
}

#[test]
fn the_faster_kind_gets_more_requests_once_its_speed_is_known() {
    // Guards against equal parts for executors of equal weight that take three times as long.
    let mut scenario = Scenario::of(2);
    let names = ["executor-0", "executor-1"];
    let entries: Vec<ListedExecutor> =
        (0..2).map(|kind| ListedExecutor { kind, zone: 0, ..listing(kind, names[kind]) }).collect();
    scenario.node.update_executors(scenario.now, ListUpdate::Complete, &entries);
    let mut sent = [0; 2];
    for request in 0..1040 {
        if request == 40 {
            scenario.node.timer_fired(scenario.now, 0);
            scenario.actions();
            sent = [0; 2];
        }
        scenario.arrive(request, IDEMPOTENT, if request < 40 { 100 } else { UNHINTED });
        let executor = scenario.sent_to();
        sent[executor] += 1;
        if request < 40 {
            scenario.report_start(request, 0, executor);
            scenario.pass([130, 390][executor]);
        }
        scenario.end(request, 0, executor, AttemptOutcome::Served);
    }
    let share = f64::from(sent[0]) / 1000.0;
    assert!((0.7..0.8).contains(&share), "three times the speed, but its share is {share}");
}

#[test]
fn a_slow_lane_gets_no_more_work_than_its_speed_allows() {
    // Guards against three quarters of the work for three slow executors of four, although the fourth can do half of it.
    let mut scenario = Scenario::of(4);
    let names: Vec<String> = (0..4).map(|i| format!("executor-{i}")).collect();
    let entries: Vec<ListedExecutor> = (0..4)
        .map(|i| ListedExecutor { kind: usize::from(i == 3), zone: 0, ..listing(i, &names[i]) })
        .collect();
    scenario.node.update_executors(scenario.now, ListUpdate::Complete, &entries);
    let mut fast = 0;
    for request in 0..300 {
        let size = 100 + request % 10 * 100;
        scenario.arrive(request, NON_IDEMPOTENT, size);
        let executor = scenario.sent_to();
        scenario.report_start(request, 0, executor);
        scenario.pass(if executor == 3 { size } else { 3 * size });
        scenario.end(request, 0, executor, AttemptOutcome::Served);
        scenario.node.timer_fired(scenario.now, 0);
        scenario.actions();
        fast += u32::from(request >= 200 && size == 800 && executor == 3);
    }
    // The sizes from 100 to 700 are half of the work.
    assert_eq!(fast, 10, "requests of size 800 go to the fast executor");
}

#[test]
fn one_of_two_processes_of_a_node_sends_to_cold_executors() {
    // Guards against two processes that both use the node's budget for a cold executor during an upgrade.
    let mut sent = 0;
    for node in 0..2 {
        let mut scenario = Scenario::at(node, 0, POLICY, false);
        scenario.list_cold(0);
        scenario.pass(15_000);
        let send = |scenario: &mut Scenario, request: u64| {
            scenario.arrive(request, NON_IDEMPOTENT, 100);
            scenario.actions().iter().filter(|action| matches!(action, Action::Send(..))).count()
        };
        scenario.node.set_slow_start_elsewhere(scenario.now, true);
        assert_eq!(send(&mut scenario, 1), 0, "the other process has the budget");
        scenario.node.set_slow_start_elsewhere(scenario.now, false);
        scenario.pass(990);
        assert_eq!(send(&mut scenario, 2), 0, "what the other process sent within the window still counts");
        scenario.pass(10);
        sent += send(&mut scenario, 3);
    }
    assert!(sent > 0);
}

#[test]
fn a_waiting_request_moves_only_if_a_cancelled_attempt_leaves_its_queue() {
    // Guards against two failures. A node with little traffic did not know of other nodes' requests, and its own waited while
    // other executors were idle. Where cancelled attempts ran on, moved requests ran twice and the fleet did twice the work.
    for cancel_dequeues in [false, true] {
        let mut scenario = Scenario::with(3, AttemptPolicy { hedging: false, cancel_dequeues, ..POLICY });
        for (request, class) in [(1, IDEMPOTENT), (2, NON_IDEMPOTENT)] {
            scenario.arrive(request, class, 100);
            let first = scenario.sent_to();
            scenario.pass(200);
            scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + request);
            if class == NON_IDEMPOTENT || !cancel_dequeues {
                assert_eq!(scenario.actions(), [], "a request that may have run is not moved");
                continue;
            }
            assert_eq!(
                scenario.actions(),
                [Action::Cancel(request, 0)],
                "the first attempt is cancelled before the next is sent"
            );
            scenario.end(request, 0, first, AttemptOutcome::Cancelled);
            assert_ne!(scenario.sent_to(), first);
        }
    }
}

#[test]
fn a_request_over_the_fleets_budget_is_rejected_without_an_attempt() {
    let mut scenario = Scenario::of(3);
    for class in [IDEMPOTENT, NON_IDEMPOTENT] {
        scenario.arrive_as(class as u64, Arrival { class, over_budget: true, ..scenario.arrival(9000) });
        assert_eq!(scenario.actions(), [Action::Reject(class as u64)]);
    }
    scenario.arrive(7, NON_IDEMPOTENT, 100);
    scenario.sent_to();
}

/// Guards against nodes restarted together that take the mean of two to ten short requests for the mean of all, overestimate
/// what a cold executor can take, and together overload it.
#[test]
fn a_node_that_has_just_started_uses_what_others_have_learned() {
    let mut old = Scenario::with_starts(8, POLICY, true);
    old.run_requests(200, 1000, 500);
    let learned = old.node.learned();
    let sent_to_cold = |merge_learned: bool| {
        let mut sent = 0;
        for mut fresh in Scenario::fleet(8, 2) {
            fresh.list_cold(0);
            if merge_learned {
                fresh.node.merge_learned(fresh.now, &learned);
            }
            // Two short requests and a round of housekeeping come before the usual traffic.
            fresh.arrive(100, NON_IDEMPOTENT, 50);
            fresh.arrive(101, NON_IDEMPOTENT, 50);
            fresh.node.timer_fired(fresh.now, 0);
            fresh.actions();
            fresh.pass(2000);
            for request in 0..4 {
                fresh.arrive(request, NON_IDEMPOTENT, 1000);
            }
            sent += fresh.actions().iter().filter(|action| matches!(action, Action::Send(_, 0, _))).count();
        }
        sent
    };
    let (without, with) = (sent_to_cold(false), sent_to_cold(true));
    assert!(with <= 2 && without > 2 * with.max(1), "{without} without merging, {with} with it");
}

#[test]
fn invalid_values_from_another_node_are_ignored() {
    let mut scenario = Scenario::of(4);
    scenario.run_requests(60, 100, 100);
    let invalid = LearnedKind { work_s: f64::INFINITY, slot_s: -1.0, slots: f64::NAN };
    let received = LearnedState {
        sizes: vec![(f64::NAN, 1.0), (-3.0, 1.0), (1.0, 0.0)],
        kinds: [(0, invalid), (9, invalid)].into(),
    };
    assert_eq!(scenario.node.merge_learned(scenario.now, &received), 60);
    // Received observations are not sent on: two nodes would otherwise return them to each other for ever.
    let other = Scenario::of(4).node.learned();
    let valid = LearnedState { sizes: vec![(1.0, 1.0); 50], ..other };
    let before = scenario.node.learned();
    assert_eq!(scenario.node.merge_learned(scenario.now, &valid), 110);
    assert_eq!(scenario.node.learned(), before);
}

/// Guards against a cold executor overloaded by two requests that are sent a window apart but arrive closer together, with a
/// third one between them.
#[test]
fn requests_for_a_cold_executor_are_a_little_more_than_a_window_apart() {
    let mut scenario = Scenario::fleet(1, 0).remove(0);
    scenario.list_cold(0);
    scenario.pass(5000); // it has two fifths of its warm capacity: 1.25 requests
    scenario.arrive(0, NON_IDEMPOTENT, UNHINTED);
    assert_eq!(scenario.sent_to(), 0);
    scenario.end(0, 0, 0, AttemptOutcome::Served);
    for (request, after_ms, expected) in [(1, 1010, false), (2, 50, true)] {
        scenario.pass(after_ms);
        scenario.arrive(request, NON_IDEMPOTENT, UNHINTED);
        let actions = scenario.actions();
        let sent = actions.iter().any(|action| matches!(action, Action::Send(..)));
        assert_eq!(sent, expected, "{after_ms} ms later: {actions:?}");
        scenario.node.finish(RequestId(request));
    }
}

/// Guards against a request that is rejected although a part of the fleet's budget is on its way, and against one that waits
/// for a part almost until its deadline.
#[test]
fn a_retry_waits_briefly_for_a_part_of_the_fleets_budget() {
    for is_granted in [true, false] {
        let mut scenario = Scenario::of(4);
        scenario.host.2.set(true);
        scenario.arrive(1, IDEMPOTENT, 100);
        let first = scenario.sent_to();
        scenario.end(1, 0, first, AttemptOutcome::Error);
        assert_eq!(scenario.actions(), [], "the request waits for the budget");
        scenario.pass(30);
        scenario.host.2.set(!is_granted);
        scenario.node.serve_queued(scenario.now);
        if is_granted {
            assert_ne!(scenario.sent_to(), first);
            continue;
        }
        assert_eq!(scenario.actions(), []);
        scenario.pass(30);
        scenario.node.timer_fired(scenario.now, FIRST_REQUEST_TIMER + 1);
        assert_eq!(scenario.actions(), [Action::Reject(1)], "the request waits no longer");
    }
}

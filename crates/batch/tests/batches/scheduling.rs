//! The choice of the item that runs next, the tokens that wait, and the time of the next wake-up.

use grebeusher_batch::*;
use rstest::rstest;

use crate::fixture::*;
use crate::partition::Partition;

/// Jobs that can complete in time come first, ordered by their due time. Late jobs come after them.
#[test]
fn the_most_urgent_job_that_can_be_in_time_goes_first() {
    let mut partition = Partition::with_leader();
    for (name, completion_target_ms) in [("late", 500), ("distant", 30_000), ("tight", 9_000)] {
        let settings = JobSettings { completion_target_ms, ..settings() };
        partition.commit(Entry::Submit { submission: submission(name, 1), settings });
    }
    let started_jobs: Vec<JobId> =
        std::iter::from_fn(|| partition.try_next()).map(|request| request.job).collect();
    assert_eq!(started_jobs, ["tight", "distant", "late"].map(job));
}

#[test]
fn the_time_before_acceptance_counts() {
    let mut partition = Partition::with_leader();
    let older = JobSettings { age_at_acceptance_ms: 3_000, completion_target_ms: 10_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission("a", 1), settings: settings() });
    partition.commit(Entry::Submit { submission: submission("older", 1), settings: older });
    assert_eq!(partition.next().job, job("older"));
}

/// Guards against starvation: a late job, or one with a distant due time, runs although there are always more urgent jobs.
#[rstest]
#[case::late(1)]
#[case::distant(50_000)]
fn no_job_starves(#[case] completion_target_ms: u64) {
    let mut partition = Partition::with_leader();
    let settings = JobSettings { completion_target_ms, ..settings() };
    partition.commit(Entry::Submit { submission: submission("long-waiting", 2), settings });
    let mut started = 0;
    for number in 0..40 {
        partition.commit(submit(&format!("urgent{number}"), 1));
        partition.commit(submit(&format!("pressing{number}"), 1));
        started += usize::from(partition.next().job == job("long-waiting"));
    }
    assert_eq!(started, 2, "both items ran while 40 items started");
}

#[test]
fn the_largest_item_that_fits_goes_first() {
    let mut partition = Partition::with_leader();
    let submission = submission_on(ROUTE, "j", &[100, 900, 500, 500]);
    partition.commit(Entry::Submit { submission, settings: settings() });
    let capacity = |tokens| move |_: RouteIndex| Some(tokens);
    let mut next = |tokens| {
        let request = partition.runner.next_item(&partition.jobs, partition.now, &capacity(tokens));
        request.map(|request| request.item.0)
    };
    assert_eq!([next(99), next(600), next(100), next(10_000)], [None, Some(2), Some(0), Some(1)]);
    assert_eq!([next(499), next(500), next(500)], [None, Some(3), None]);
}

#[test]
fn items_listed_while_waiting_do_not_run() {
    let mut partition = Partition::with_job("j", 3);
    partition.commit(complete_item("j", 0, "the predecessor's"));
    let request = partition.next();
    assert_eq!(request.item, ItemIndex(1));
    partition.end_run(&request, RunOutcome::NotExecuted);
    assert!(partition.runner.next_wake() < Some(at(2_000)), "the item is in a backoff");
    partition.commit(complete_item("j", 1, "the predecessor's"));
    assert_eq!(partition.runner.next_wake(), Some(at(61_000)));
    assert_eq!(partition.next().item, ItemIndex(2));
}

#[test]
fn the_tokens_of_the_next_item_are_known() {
    let mut partition = Partition::with_leader();
    let distant = JobSettings { completion_target_ms: 50_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission_on(ROUTE, "a", &[9_000]), settings: distant });
    partition
        .commit(Entry::Submit { submission: submission_on(ROUTE, "b", &[100, 700]), settings: settings() });
    let mut tokens_by_route = Vec::new();
    loop {
        tokens_by_route.push((
            partition.runner.next_item_tokens(INDEX, partition.now),
            partition.runner.next_item_tokens(OTHER_INDEX, partition.now),
        ));
        if partition.try_next().is_none() {
            break;
        }
    }
    assert_eq!(tokens_by_route, [(Some(700), None), (Some(100), None), (Some(9_000), None), (None, None)]);
}

#[test]
fn a_route_without_capacity_blocks_no_other() {
    let mut partition = Partition::with_job("j", 1);
    let settings = JobSettings { completion_target_ms: 50_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission_on(OTHER_ROUTE, "k", &[100]), settings });
    let capacity = |route: RouteIndex| (route == OTHER_INDEX).then_some(1_000);
    let request = partition.runner.next_item(&partition.jobs, partition.now, &capacity);
    assert_eq!(request.map(|request| request.job), Some(job("k")));
    assert_eq!(partition.runner.next_item(&partition.jobs, partition.now, &capacity), None);
}

#[test]
fn idle_tokens_are_counted() {
    let mut partition = Partition::with_job("j", 3);
    assert_eq!(
        (partition.runner.queued_tokens(INDEX), partition.runner.queued_tokens(OTHER_INDEX)),
        (300, 0)
    );
    let request = partition.next();
    assert_eq!(partition.runner.queued_tokens(INDEX), 200);
    partition.end_run(&request, RunOutcome::NotExecuted);
    assert_eq!(partition.runner.queued_tokens(INDEX), 300);
    partition.commit(complete_item("j", request.item.0, "the predecessor's"));
    assert_eq!(partition.runner.queued_tokens(INDEX), 200, "the item was listed during its backoff");
    let request = partition.next();
    partition.event(&request, 0, "text");
    partition.end_run(&request, RunOutcome::Complete);
    assert_eq!(partition.runner.queued_tokens(INDEX), 100);
    partition.set_prefixes(&[OTHER_PREFIX]);
    partition.runner.give_up_unrouted();
    assert_eq!((partition.runner.queued_tokens(INDEX), partition.runner.next_wake()), (0, None));
}

/// There is a time of the next wake-up until all items are finished.
#[test]
fn there_is_a_next_wake_while_anything_is_unfinished() {
    let mut partition = Partition::with_job("j", 2);
    let (first, second) = (partition.next(), partition.next());
    let retention_end = Some(at(61_000));
    assert_eq!(partition.runner.next_wake(), retention_end);
    partition.event(&first, 0, "text");
    partition.end_run(&first, RunOutcome::Complete);
    assert_eq!(partition.runner.next_wake(), retention_end);
    partition.commit_proposals();
    assert_eq!(partition.runner.next_wake(), retention_end);
    partition.end_run(&second, RunOutcome::Rejected422);
    assert_eq!(partition.runner.next_wake(), None);
}

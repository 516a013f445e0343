//! Failed runs: retries after a backoff, and items that are given up after too many failed attempts.

use grebeusher_batch::*;
use grebeusher_time::DurationExt;
use rstest::rstest;

use crate::fixture::*;
use crate::partition::Partition;

/// Guards against a complete result after a run that did not end with a complete stream.
#[rstest]
#[case(RunOutcome::Broken)]
#[case(RunOutcome::NotExecuted)]
#[case(RunOutcome::Misdirected)]
#[case(RunOutcome::Failed500)]
fn a_run_that_did_not_end_properly_is_not_complete(#[case] outcome: RunOutcome) {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "a");
    partition.end_run(&request, outcome);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j"), []);
    assert_eq!(partition.try_next(), None, "the item is in a backoff");
    partition.advance_ms(5_000);
    assert_eq!(partition.next().last_event_id, Some(0));
}

/// If executors repeatedly fail to continue after the last event, the item runs from the start and its text is discarded.
#[test]
fn an_item_that_cannot_be_resumed_runs_from_the_start() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "a");
    partition.end_run(&request, RunOutcome::Broken);
    for _ in 0..2 {
        partition.advance_ms(5_000);
        let request = partition.next();
        assert_eq!(request.last_event_id, Some(0));
        assert_eq!(partition.event(&request, 0, "other"), EventDisposition::OutOfOrder);
    }
    partition.advance_ms(5_000);
    let request = partition.next();
    assert_eq!(request.last_event_id, None);
    partition.event(&request, 0, "x");
    partition.event(&request, 1, "y");
    assert_eq!(partition.runner.checkpoint(), None, "the committed text stems from another run");
    partition.end_run(&request, RunOutcome::Complete);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j")[0].2, "x\ny", "the text of the first run is discarded");
}

/// Guards against giving up an item before its maximum number of 500 responses.
#[test]
fn an_item_is_given_up_after_its_last_attempt() {
    let mut partition = Partition::with_job("j", 1);
    for attempt in 1..=3 {
        partition.advance_ms(5_000);
        let request = partition.next();
        partition.end_run(&request, RunOutcome::Failed500);
        partition.commit_proposals();
        assert_eq!(
            listed_results(&partition.jobs, "j").len(),
            usize::from(attempt == 3),
            "attempt {attempt}"
        );
    }
    assert_eq!(listed_results(&partition.jobs, "j")[0].1, ResultState::DeadLetter);
    let cause = GiveUpCause::FailedAttempts { failed: 3, max: 3 };
    let given_up = GivenUp { job: job("j"), first_item: ItemIndex(0), item_count: 1, cause };
    assert_eq!(partition.runner.take_given_up(), [given_up]);
}

#[test]
fn a_rejected_item_is_given_up_with_its_cause() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::Rejected422);
    let given_up =
        GivenUp { job: job("j"), first_item: ItemIndex(0), item_count: 1, cause: GiveUpCause::Rejected };
    assert_eq!(partition.runner.take_given_up(), [given_up]);
}

/// Guards against counting broken streams, rejections and misdirected requests as failed attempts.
#[rstest]
#[case(RunOutcome::Broken)]
#[case(RunOutcome::NotExecuted)]
#[case(RunOutcome::Misdirected)]
#[case(RunOutcome::Complete)]
fn only_a_500_counts_as_a_failed_attempt(#[case] outcome: RunOutcome) {
    let mut partition = Partition::with_job("j", 1);
    for _ in 0..10 {
        partition.advance_ms(2_500);
        let request = partition.next();
        partition.end_run(&request, outcome);
        partition.commit_proposals();
    }
    assert_eq!(listed_results(&partition.jobs, "j"), []);
}

#[test]
fn zero_allowed_attempts_count_as_one() {
    let mut partition = Partition::with_leader();
    let settings = JobSettings { max_attempts: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("j", 1), settings });
    assert_eq!(listed_results(&partition.jobs, "j"), []);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::Failed500);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j").len(), 1);
}

#[test]
fn a_rejected_item_is_given_up_at_once_and_alone() {
    let mut partition = Partition::with_job("j", 2);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::Rejected422);
    partition.commit_proposals();
    let listed = listed_results(&partition.jobs, "j");
    assert_eq!(listed, [(request.attempt_id.clone(), ResultState::DeadLetter, String::new())]);
    assert_ne!(partition.next().attempt_id, request.attempt_id);
}

/// Backoffs grow up to a bound, and vary at random.
#[test]
fn the_backoff_of_retries_grows() {
    let mut partition = Partition::with_leader();
    let settings = JobSettings { max_attempts: u32::MAX, retention_ms: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("j", 1), settings });
    let mut delays_s = Vec::new();
    for _ in 0..12 {
        let request = partition.next();
        partition.end_run(&request, RunOutcome::Failed500);
        let until = partition.runner.next_wake().expect("the item is in a backoff");
        delays_s.push(until.since(partition.now).seconds());
        partition.now = until;
    }
    assert!((0.05..=0.1).contains(&delays_s[0]), "{delays_s:?}");
    assert!(delays_s[6..].iter().all(|delay_s| (1.0..=2.0).contains(delay_s)), "{delays_s:?}");
    assert!(delays_s[6..].windows(2).all(|pair| pair[0] != pair[1]), "{delays_s:?}");
}

#[test]
fn an_event_resets_the_backoff() {
    let mut partition = Partition::with_job("j", 1);
    let mut delay_after_s = |data: Option<u64>| {
        let request = partition.next();
        if let Some(id) = data {
            partition.event(&request, id, "x");
        }
        partition.end_run(&request, RunOutcome::Broken);
        let until = partition.runner.next_wake().expect("the item is in a backoff");
        let delay_s = until.since(partition.now).seconds();
        partition.now = until;
        delay_s
    };
    for _ in 0..6 {
        delay_after_s(None);
    }
    assert!(delay_after_s(None) > 0.4);
    assert!(delay_after_s(Some(0)) <= 0.025);
}

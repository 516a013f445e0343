//! Failed runs: retries with backoff, and items that are given up after them.

use grebeusher_batch::*;
use grebeusher_time::DurationExt;
use rstest::rstest;

use crate::fixture::*;
use crate::partition::Partition;

/// MIXED: nothing but a proper end makes a result complete.
#[rstest]
#[case(RunOutcome::Broken)]
#[case(RunOutcome::NotExecuted)]
#[case(RunOutcome::Misdirected)]
#[case(RunOutcome::Failed500)]
fn a_run_that_did_not_end_properly_is_not_complete(#[case] outcome: RunOutcome) {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "a");
    partition.end_run(&order, outcome);
    partition.settle();
    assert_eq!(texts(&partition.jobs, "j"), []);
    assert_eq!(partition.try_next(), None, "it pauses");
    partition.pass(5_000);
    assert_eq!(partition.next().last_event_id, Some(0));
}

/// Executors that never go on where they should: the item starts again from nothing.
#[test]
fn an_item_that_cannot_be_resumed_runs_from_the_start() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "a");
    partition.end_run(&order, RunOutcome::Broken);
    for _ in 0..2 {
        partition.pass(5_000);
        let order = partition.next();
        assert_eq!(order.last_event_id, Some(0));
        assert_eq!(partition.event(&order, 0, "other"), EventDisposition::OutOfOrder);
    }
    partition.pass(5_000);
    let order = partition.next();
    assert_eq!(order.last_event_id, None);
    partition.event(&order, 0, "x");
    partition.event(&order, 1, "y");
    assert_eq!(partition.runner.checkpoint(), None, "two runs are not joined in what is committed");
    partition.end_run(&order, RunOutcome::Complete);
    partition.settle();
    assert_eq!(texts(&partition.jobs, "j")[0].2, "x\ny", "nothing of the first run is left");
}

/// MIXED: given up only after all of its answers of 500.
#[test]
fn an_item_is_given_up_after_its_last_attempt() {
    let mut partition = Partition::with_job("j", 1);
    for attempt in 1..=3 {
        partition.pass(5_000);
        let order = partition.next();
        partition.end_run(&order, RunOutcome::Failed500);
        partition.settle();
        assert_eq!(texts(&partition.jobs, "j").len(), usize::from(attempt == 3), "attempt {attempt}");
    }
    assert_eq!(texts(&partition.jobs, "j")[0].1, ResultState::DeadLetter);
}

/// MIXED: breaks, full executors and wrong ones are no answers of 500, however many.
#[rstest]
#[case(RunOutcome::Broken)]
#[case(RunOutcome::NotExecuted)]
#[case(RunOutcome::Misdirected)]
#[case(RunOutcome::Complete)]
fn only_a_500_counts_as_a_failed_attempt(#[case] outcome: RunOutcome) {
    let mut partition = Partition::with_job("j", 1);
    for _ in 0..10 {
        partition.pass(2_500);
        let order = partition.next();
        partition.end_run(&order, outcome);
        partition.settle();
    }
    assert_eq!(texts(&partition.jobs, "j"), []);
}

#[test]
fn zero_allowed_attempts_count_as_one() {
    let mut partition = Partition::led();
    let settings = JobSettings { max_attempts: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("j", 1), settings });
    assert_eq!(texts(&partition.jobs, "j"), []);
    let order = partition.next();
    partition.end_run(&order, RunOutcome::Failed500);
    partition.settle();
    assert_eq!(texts(&partition.jobs, "j").len(), 1);
}

#[test]
fn a_rejected_item_is_given_up_at_once_and_alone() {
    let mut partition = Partition::with_job("j", 2);
    let order = partition.next();
    partition.end_run(&order, RunOutcome::Rejected422);
    partition.settle();
    let listed = texts(&partition.jobs, "j");
    assert_eq!(listed, [(order.attempt_id.clone(), ResultState::DeadLetter, String::new())]);
    assert_ne!(partition.next().attempt_id, order.attempt_id);
}

/// Pauses grow, differ and stay bounded.
#[test]
fn the_backoff_of_retries_grows() {
    let mut partition = Partition::led();
    let settings = JobSettings { max_attempts: u32::MAX, retention_ms: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("j", 1), settings });
    let mut pauses = Vec::new();
    for _ in 0..12 {
        let order = partition.next();
        partition.end_run(&order, RunOutcome::Failed500);
        let until = partition.runner.next_wake().expect("it pauses");
        pauses.push(until.since(partition.now).seconds());
        partition.now = until;
    }
    assert!((0.05..=0.1).contains(&pauses[0]), "{pauses:?}");
    assert!(pauses[6..].iter().all(|pause| (1.0..=2.0).contains(pause)), "{pauses:?}");
    assert!(pauses[6..].windows(2).all(|pair| pair[0] != pair[1]), "{pauses:?}");
}

#[test]
fn an_event_resets_the_backoff() {
    let mut partition = Partition::with_job("j", 1);
    let mut pause_after = |data: Option<u64>| {
        let order = partition.next();
        if let Some(id) = data {
            partition.event(&order, id, "x");
        }
        partition.end_run(&order, RunOutcome::Broken);
        let until = partition.runner.next_wake().expect("it pauses");
        let pause = until.since(partition.now).seconds();
        partition.now = until;
        pause
    };
    for _ in 0..6 {
        pause_after(None);
    }
    assert!(pause_after(None) > 0.4);
    assert!(pause_after(Some(0)) <= 0.025);
}

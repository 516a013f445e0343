//! The log entries that the leader proposes.

use grebeusher_batch::*;

use crate::fixture::*;
use crate::partition::Partition;

/// Results that come out together are one entry.
#[test]
fn results_of_one_turn_are_one_entry() {
    let mut partition = Partition::with_job("j", 20);
    partition.commit(submit("k", 20));
    while let Some(order) = partition.try_next() {
        partition.event(&order, 0, "text");
        partition.end_run(&order, RunOutcome::Complete);
    }
    assert_eq!(partition.settle(), 1);
    assert_eq!((texts(&partition.jobs, "j").len(), texts(&partition.jobs, "k").len()), (20, 20));
}

#[test]
fn large_results_are_several_entries() {
    let mut partition = Partition::with_job("j", 4);
    while let Some(order) = partition.try_next() {
        partition.event(&order, 0, &"x".repeat(300_000));
        partition.end_run(&order, RunOutcome::Complete);
    }
    assert_eq!(partition.settle(), 4);
    assert_eq!(partition.jobs.status(&job("j")).map(|status| status.listed), Some(4));
}

#[test]
fn results_that_were_not_proposed_are_proposed_again() {
    let mut partition = Partition::with_job("j", 2);
    let (done, failed) = (partition.next(), partition.next());
    partition.event(&done, 0, "text");
    partition.end_run(&done, RunOutcome::Complete);
    partition.end_run(&failed, RunOutcome::Failed500);
    let entries = partition.runner.take_proposals();
    for entry in entries.clone() {
        partition.runner.not_proposed(entry);
    }
    assert_eq!(partition.runner.take_proposals(), entries);
    for entry in entries.clone() {
        partition.commit(entry);
    }
    for entry in entries {
        partition.runner.not_proposed(entry);
    }
    let again = partition.runner.take_proposals();
    assert!(!again.iter().any(|entry| matches!(entry, Entry::Results(_))), "it is listed: {again:?}");
}

/// Entries of an earlier term that come back are none of this one's.
#[test]
fn proposals_of_an_earlier_term_are_not_repeated() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "text");
    partition.end_run(&order, RunOutcome::Complete);
    let entries = partition.runner.take_proposals();
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    let again = partition.next();
    for entry in entries {
        partition.runner.not_proposed(entry);
    }
    assert_eq!(partition.runner.take_proposals(), []);
    partition.event(&again, 0, "text");
    partition.end_run(&again, RunOutcome::Complete);
    assert_eq!(partition.settle(), 1);
}

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
    let entries = proposals(&mut partition.runner);
    for entry in entries.clone() {
        partition.runner.not_proposed(entry);
    }
    assert_eq!(proposals(&mut partition.runner), entries);
    for entry in entries.clone() {
        partition.commit(entry);
    }
    for entry in entries {
        partition.runner.not_proposed(entry);
    }
    let again = proposals(&mut partition.runner);
    assert!(!again.iter().any(|entry| matches!(entry, Entry::Results(_))), "it is listed: {again:?}");
}

/// Finishes all items of a job, each with a text of so many bytes.
fn finish_all(partition: &mut Partition, text_bytes: usize) -> usize {
    let mut finished = 0;
    while let Some(order) = partition.try_next() {
        partition.event(&order, 0, &"x".repeat(text_bytes));
        partition.end_run(&order, RunOutcome::Complete);
        finished += 1;
    }
    finished
}

/// LOST: the log takes nothing for a while, and what is behind the entry that it refuses must not be dropped.
#[test]
fn results_behind_a_refused_entry_are_proposed_later() {
    let mut partition = Partition::with_job("j", 4);
    partition.commit(submit("k", 1));
    finish_all(&mut partition, 300_000);
    for _ in 0..3 {
        let refused = partition.runner.next_proposal().expect("results wait");
        partition.runner.not_proposed(refused);
    }
    assert_eq!(partition.runner.unproposed_count(), 5);
    partition.settle();
    let listed = |name| partition.jobs.status(&job(name)).map(|status| status.listed);
    assert_eq!((listed("j"), listed("k")), (Some(4), Some(1)));
    assert!(!partition.runner.has_proposals());
}

/// MIXED: an item would get more attempts than it may if counts of failures behind a refused entry were dropped.
#[test]
fn failures_behind_a_refused_entry_are_proposed_later() {
    let mut partition = Partition::with_job("j", 2);
    let (done, failed) = (partition.next(), partition.next());
    partition.event(&done, 0, "text");
    partition.end_run(&done, RunOutcome::Complete);
    partition.end_run(&failed, RunOutcome::Failed500);
    let refused = partition.runner.next_proposal().expect("a result waits");
    partition.runner.not_proposed(refused);
    let entries = proposals(&mut partition.runner);
    assert!(matches!(&entries[..], [Entry::Results(_), Entry::Progress(_)]), "{entries:?}");
}

/// Results that come out while others wait keep the order in which the items finished.
#[test]
fn a_refused_entry_is_proposed_before_later_results() {
    let mut partition = Partition::with_job("j", 2);
    let (first, second) = (partition.next(), partition.next());
    partition.event(&first, 0, "first");
    partition.end_run(&first, RunOutcome::Complete);
    let refused = partition.runner.next_proposal().expect("a result waits");
    partition.event(&second, 0, "second");
    partition.end_run(&second, RunOutcome::Complete);
    partition.runner.not_proposed(refused);
    partition.settle();
    let listed: Vec<String> = texts(&partition.jobs, "j").into_iter().map(|(_, _, text)| text).collect();
    assert_eq!(listed, ["first", "second"]);
}

/// A log that takes no results for long must not fill the leader's memory with them.
#[test]
fn no_item_starts_while_many_results_wait_to_be_proposed() {
    let mut partition = Partition::with_job("j", 40);
    let finished = finish_all(&mut partition, 400_000);
    assert!((10..20).contains(&finished), "{finished} items of 0.4 MB have run");
    partition.settle();
    assert!(partition.try_next().is_some(), "the log takes results again");
}

/// Entries of an earlier term that come back are none of this one's.
#[test]
fn proposals_of_an_earlier_term_are_not_repeated() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "text");
    partition.end_run(&order, RunOutcome::Complete);
    let entries = proposals(&mut partition.runner);
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    let again = partition.next();
    for entry in entries {
        partition.runner.not_proposed(entry);
    }
    assert_eq!(proposals(&mut partition.runner), []);
    partition.event(&again, 0, "text");
    partition.end_run(&again, RunOutcome::Complete);
    assert_eq!(partition.settle(), 1);
}

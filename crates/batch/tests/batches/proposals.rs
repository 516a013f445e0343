//! The log entries that the leader proposes.

use grebeusher_batch::*;

use crate::fixture::*;
use crate::partition::Partition;

/// Results of items that finish before the next proposal share one entry.
#[test]
fn results_that_finish_together_are_one_entry() {
    let mut partition = Partition::with_job("j", 20);
    partition.commit(submit("k", 20));
    while let Some(request) = partition.try_next() {
        partition.event(&request, 0, "text");
        partition.end_run(&request, RunOutcome::Complete);
    }
    assert_eq!(partition.commit_proposals(), 1);
    assert_eq!(
        (listed_results(&partition.jobs, "j").len(), listed_results(&partition.jobs, "k").len()),
        (20, 20)
    );
}

#[test]
fn large_results_are_several_entries() {
    let mut partition = Partition::with_job("j", 4);
    while let Some(request) = partition.try_next() {
        partition.event(&request, 0, &"x".repeat(300_000));
        partition.end_run(&request, RunOutcome::Complete);
    }
    assert_eq!(partition.commit_proposals(), 4);
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
    assert!(
        !again.iter().any(|entry| matches!(entry, Entry::Results(_))),
        "the result is committed: {again:?}"
    );
}

/// Runs items until none may start, each with a text of `text_bytes` bytes. Returns the number of finished items.
fn finish_all(partition: &mut Partition, text_bytes: usize) -> usize {
    let mut finished = 0;
    while let Some(request) = partition.try_next() {
        partition.event(&request, 0, &"x".repeat(text_bytes));
        partition.end_run(&request, RunOutcome::Complete);
        finished += 1;
    }
    finished
}

/// Guards against lost results when the log refuses entries for a while: the results that wait behind a refused entry
/// must stay in the queue.
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
    partition.commit_proposals();
    let listed = |name| partition.jobs.status(&job(name)).map(|status| status.listed);
    assert_eq!((listed("j"), listed("k")), (Some(4), Some(1)));
    assert!(!partition.runner.has_proposals());
}

/// Guards against lost counts of failed attempts behind a refused entry, with which an item would get too many attempts.
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

/// Results keep the order in which their items finished, also when an entry is refused.
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
    partition.commit_proposals();
    let listed: Vec<String> =
        listed_results(&partition.jobs, "j").into_iter().map(|(_, _, text)| text).collect();
    assert_eq!(listed, ["first", "second"]);
}

/// Guards against unbounded memory use of the leader while the log accepts no results.
#[test]
fn no_item_starts_while_many_results_wait_to_be_proposed() {
    let mut partition = Partition::with_job("j", 40);
    let finished = finish_all(&mut partition, 400_000);
    assert!((10..20).contains(&finished), "{finished} items of 0.4 MB have run");
    partition.commit_proposals();
    assert!(partition.try_next().is_some(), "items start again once results are committed");
}

/// Entries of an earlier term that the log refuses later have no effect on the current term.
#[test]
fn proposals_of_an_earlier_term_are_not_repeated() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "text");
    partition.end_run(&request, RunOutcome::Complete);
    let entries = proposals(&mut partition.runner);
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    let again = partition.next();
    for entry in entries {
        partition.runner.not_proposed(entry);
    }
    assert_eq!(proposals(&mut partition.runner), []);
    partition.event(&again, 0, "text");
    partition.end_run(&again, RunOutcome::Complete);
    assert_eq!(partition.commit_proposals(), 1);
}

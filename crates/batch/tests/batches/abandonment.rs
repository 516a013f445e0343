//! Items that are given up without a failed run.

use grebeusher_batch::*;

use crate::fixture::*;
use crate::partition::Partition;

/// MIXED: not before the retention, by the steady clock.
#[test]
fn items_past_their_retention_are_given_up() {
    let mut partition = Partition::with_job("j", 2);
    let order = partition.next();
    partition.pass(59_999);
    partition.runner.tick(partition.now);
    assert_eq!((partition.settle(), partition.runner.take_cancelled()), (0, vec![]));
    assert!(partition.runner.next_wake() <= Some(at(61_000)));
    partition.pass(1);
    assert_eq!(partition.try_next(), None, "before the tick too");
    partition.runner.tick(partition.now);
    assert_eq!(partition.try_next(), None);
    assert_eq!(partition.settle(), 1);
    assert_eq!(partition.runner.take_cancelled(), [order.run]);
    assert!(texts(&partition.jobs, "j").iter().all(|one| one.1 == ResultState::DeadLetter));
    assert_eq!(texts(&partition.jobs, "j").len(), 2);
    partition.runner.tick(partition.now);
    assert_eq!(partition.settle(), 0);
}

#[test]
fn without_a_retention_nothing_is_given_up() {
    let mut partition = Partition::led();
    let settings = JobSettings { retention_ms: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("j", 1), settings });
    partition.pass(10_000_000);
    partition.runner.tick(partition.now);
    assert_eq!(partition.settle(), 0);
    partition.next();
}

#[test]
fn the_items_of_a_removed_route_are_given_up() {
    let mut partition = Partition::with_job("j", 2);
    partition
        .commit(Entry::Submit { submission: submission_on(OTHER_ROUTE, "k", &[100]), settings: settings() });
    let order = partition.next();
    assert_eq!(order.job, job("j"));
    partition.set_prefixes(&[OTHER_PREFIX]);
    partition.runner.give_up_unrouted();
    partition.settle();
    assert_eq!(partition.runner.take_cancelled(), [order.run]);
    assert_eq!(texts(&partition.jobs, "j").len(), 2);
    assert_eq!(partition.next().job, job("k"), "others run on");
    partition.runner.give_up_unrouted();
    assert_eq!(partition.settle(), 0);
}

/// UNASKED: nothing of a job runs once its end is applied.
#[test]
fn ending_a_job_cancels_its_runs() {
    let mut partition = Partition::with_job("j", 3);
    let (first, second) = (partition.next(), partition.next());
    partition.event(&first, 0, "a");
    partition.end_run(&first, RunOutcome::Complete);
    partition.commit(Entry::Ended { job: job("j") });
    assert_eq!(partition.runner.take_cancelled(), [second.run]);
    assert_eq!(partition.try_next(), None);
    assert_eq!(partition.event(&second, 0, "a"), EventDisposition::UnknownRun);
    partition.end_run(&second, RunOutcome::Broken);
    partition.pass(10_000);
    assert_eq!((partition.try_next(), partition.settle(), partition.runner.running_count()), (None, 0, 0));
}

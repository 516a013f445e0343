//! Items that are given up without a failed run: after their retention, without a route, and at the end of their job.

use grebeusher_batch::*;

use crate::fixture::*;
use crate::partition::Partition;

/// Guards against giving up an item before the end of its retention on the monotonic clock.
#[test]
fn items_past_their_retention_are_given_up() {
    let mut partition = Partition::with_job("j", 2);
    let request = partition.next();
    partition.advance_ms(59_999);
    partition.runner.give_up_expired_items(partition.now);
    assert_eq!((partition.commit_proposals(), partition.runner.take_cancelled()), (0, vec![]));
    assert!(partition.runner.next_wake() <= Some(at(61_000)));
    partition.advance_ms(1);
    assert_eq!(partition.try_next(), None, "no item starts past the retention, even before the tick");
    partition.runner.give_up_expired_items(partition.now);
    assert_eq!(partition.try_next(), None);
    assert_eq!(partition.commit_proposals(), 1);
    assert_eq!(partition.runner.take_cancelled(), [request.run]);
    assert!(listed_results(&partition.jobs, "j").iter().all(|result| result.1 == ResultState::DeadLetter));
    assert_eq!(listed_results(&partition.jobs, "j").len(), 2);
    let cause = GiveUpCause::RetentionOver { age_ms: 60_000 };
    let given_up = GivenUp { job: job("j"), first_item: ItemIndex(0), item_count: 2, cause };
    assert_eq!(partition.runner.take_given_up(), [given_up]);
    partition.runner.give_up_expired_items(partition.now);
    assert_eq!(partition.commit_proposals(), 0);
    assert_eq!(partition.runner.take_given_up(), []);
}

#[test]
fn without_a_retention_nothing_is_given_up() {
    let mut partition = Partition::with_leader();
    let settings = JobSettings { retention_ms: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("j", 1), settings });
    partition.advance_ms(10_000_000);
    partition.runner.give_up_expired_items(partition.now);
    assert_eq!(partition.commit_proposals(), 0);
    partition.next();
}

#[test]
fn the_items_of_a_removed_route_are_given_up() {
    let mut partition = Partition::with_job("j", 2);
    partition
        .commit(Entry::Submit { submission: submission_on(OTHER_ROUTE, "k", &[100]), settings: settings() });
    let request = partition.next();
    assert_eq!(request.job, job("j"));
    partition.set_prefixes(&[OTHER_PREFIX]);
    partition.runner.give_up_unrouted();
    let given_up =
        GivenUp { job: job("j"), first_item: ItemIndex(0), item_count: 2, cause: GiveUpCause::NoRoute };
    assert_eq!(partition.runner.take_given_up(), [given_up]);
    partition.commit_proposals();
    assert_eq!(partition.runner.take_cancelled(), [request.run]);
    assert_eq!(listed_results(&partition.jobs, "j").len(), 2);
    assert_eq!(partition.next().job, job("k"), "items on other routes still run");
    partition.runner.give_up_unrouted();
    assert_eq!(partition.commit_proposals(), 0);
}

/// Guards against running items of a job whose end is applied.
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
    partition.advance_ms(10_000);
    assert_eq!(
        (partition.try_next(), partition.commit_proposals(), partition.runner.running_count()),
        (None, 0, 0)
    );
}

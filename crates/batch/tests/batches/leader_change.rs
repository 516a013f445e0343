//! Changes of the leader while jobs are running.

use grebeusher_batch::*;
use grebeusher_time::Duration;

use crate::fixture::*;
use crate::partition::Partition;

/// Another replica that applies the same log and then becomes the leader.
fn successor(old_leader: &Partition, log: &[Entry], wall_ms: u64) -> Partition {
    let mut partition = Partition { jobs: Jobs::new(), runner: runner(8), now: old_leader.now };
    for entry in log {
        partition.commit(entry.clone());
    }
    assert_eq!(partition.try_next(), None, "a replica that isn't the leader runs nothing");
    assert_eq!(partition.jobs, old_leader.jobs);
    partition.runner.start_leading(&partition.jobs, partition.now, wall_ms);
    partition
}

#[test]
fn open_items_run_again() {
    let mut old_leader = Partition::with_job("j", 2);
    let request = old_leader.next();
    old_leader.event(&request, 0, "a");
    let mut new_leader = successor(&old_leader, &[submit("j", 2)], 1_000_000);
    let runs = [new_leader.next(), new_leader.next()];
    assert!(runs.iter().all(|request| request.last_event_id.is_none()));
    for run in &runs {
        assert_eq!(new_leader.event(run, 0, "a"), EventDisposition::Accepted);
        new_leader.end_run(run, RunOutcome::Complete);
    }
    new_leader.commit_proposals();
    assert_eq!(listed_results(&new_leader.jobs, "j").len(), 2);
}

#[test]
fn uncommitted_results_are_left_to_the_successor() {
    let mut old_leader = Partition::with_job("j", 1);
    let request = old_leader.next();
    old_leader.event(&request, 0, "a");
    old_leader.end_run(&request, RunOutcome::Complete);
    let running = Partition::with_job("k", 1).next();
    old_leader.runner.stop_leading();
    assert_eq!(proposals(&mut old_leader.runner), []);
    assert_eq!(
        (old_leader.try_next(), old_leader.runner.take_cancelled(), old_leader.runner.is_leader()),
        (None, vec![], false)
    );
    old_leader.end_run(&running, RunOutcome::Complete);
    let mut new_leader = successor(&old_leader, &[submit("j", 1)], 1_000_000);
    assert_eq!(new_leader.next().attempt_id, "j-0");
}

#[test]
fn a_leader_that_steps_down_cancels_its_runs() {
    let mut partition = Partition::with_job("j", 2);
    let (first, second) = (partition.next(), partition.next());
    partition.runner.stop_leading();
    let mut cancelled = partition.runner.take_cancelled();
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first.run, second.run]);
    assert_eq!(partition.event(&first, 0, "a"), EventDisposition::UnknownRun);
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    let again = [partition.next(), partition.next()];
    assert!(
        again.iter().all(|request| ![first.run, second.run].contains(&request.run)),
        "the new runs have other ids"
    );
    assert_eq!(partition.event(&first, 0, "a"), EventDisposition::UnknownRun);
}

/// Guards against a second result of an item when the results of both leaders reach the log.
#[test]
fn a_result_committed_by_the_predecessor_is_final() {
    let old_leader = Partition::with_job("j", 1);
    let mut new_leader = successor(&old_leader, &[submit("j", 1)], 1_000_000);
    let request = new_leader.next();
    new_leader.event(&request, 0, "a");
    new_leader.commit(complete_item("j", 0, "the predecessor's"));
    assert_eq!(new_leader.runner.take_cancelled(), [request.run]);
    new_leader.end_run(&request, RunOutcome::Complete);
    assert_eq!((new_leader.commit_proposals(), new_leader.try_next()), (0, None));
    assert_eq!(listed_results(&new_leader.jobs, "j")[0].2, "the predecessor's");
}

/// Guards against a wrong number of attempts after a change of leader: committed 500 responses count, others don't, and
/// their items run again.
#[test]
fn committed_failures_count_for_the_successor() {
    let mut old_leader = Partition::with_job("j", 1);
    let mut log = vec![submit("j", 1)];
    let request = old_leader.next();
    old_leader.end_run(&request, RunOutcome::Failed500);
    for entry in proposals(&mut old_leader.runner) {
        log.push(entry.clone());
        old_leader.commit(entry);
    }
    old_leader.advance_ms(5_000);
    let request = old_leader.next();
    old_leader.end_run(&request, RunOutcome::Failed500);
    let mut new_leader = successor(&old_leader, &log, 1_000_000);
    for attempt in 2..=3 {
        new_leader.advance_ms(5_000);
        let request = new_leader.next();
        new_leader.end_run(&request, RunOutcome::Failed500);
        new_leader.commit_proposals();
        assert_eq!(
            listed_results(&new_leader.jobs, "j").len(),
            usize::from(attempt == 3),
            "attempt {attempt}"
        );
    }
}

/// Guards against a gap after a checkpoint that the log refuses. The next checkpoint must include the refused events, or
/// the successor resumes before both and repeats work that executors have done.
#[test]
fn the_checkpoint_after_a_refused_one_has_its_texts_too() {
    let mut old_leader = Partition::with_job("j", 1);
    let request = old_leader.next();
    let mut log = vec![submit("j", 1)];
    old_leader.event(&request, 0, "a");
    let accepted = old_leader.runner.checkpoint().expect("text is unfinished");
    log.push(accepted.clone());
    old_leader.commit(accepted);
    for (id, data) in [(1, "b"), (2, "c")] {
        old_leader.event(&request, id, data);
        let refused = old_leader.runner.checkpoint().expect("an event more");
        old_leader.runner.not_proposed(refused);
    }
    let again = old_leader.runner.checkpoint().expect("the refused events");
    assert_eq!(old_leader.runner.checkpoint(), None, "nothing new");
    assert!(!old_leader.runner.has_proposals(), "no failed attempt to propose");
    log.push(again.clone());
    old_leader.commit(again);
    let mut new_leader = successor(&old_leader, &log, 1_000_000);
    let resumed = new_leader.next();
    assert_eq!(resumed.last_event_id, Some(2));
    new_leader.end_run(&resumed, RunOutcome::Complete);
    new_leader.commit_proposals();
    assert_eq!(listed_results(&new_leader.jobs, "j")[0].2, "a\nb\nc");
}

/// Guards against texts with missing or repeated events: the successor resumes after the last committed event.
#[test]
fn the_successor_resumes_from_a_checkpoint() {
    let mut old_leader = Partition::with_job("j", 2);
    let request = old_leader.next();
    old_leader.event(&request, 0, "a");
    old_leader.event(&request, 1, "b");
    let mut log = vec![submit("j", 2)];
    let first = old_leader.runner.checkpoint().expect("text is unfinished");
    log.push(first.clone());
    old_leader.commit(first);
    assert_eq!(old_leader.runner.checkpoint(), None, "nothing new");
    old_leader.event(&request, 2, "c");
    let second = old_leader.runner.checkpoint().expect("an event more");
    log.push(second.clone());
    old_leader.commit(second);
    old_leader.event(&request, 3, "not committed");
    let mut new_leader = successor(&old_leader, &log, 1_000_000);
    let requests = [new_leader.next(), new_leader.next()];
    let resumed = requests.iter().find(|candidate| candidate.item == request.item).expect("both run");
    assert_eq!(resumed.last_event_id, Some(2));
    assert_eq!(new_leader.event(resumed, 3, "d"), EventDisposition::Accepted);
    let third = new_leader.runner.checkpoint().expect("an event more");
    new_leader.commit(third);
    new_leader.end_run(resumed, RunOutcome::Complete);
    new_leader.commit_proposals();
    assert_eq!(listed_results(&new_leader.jobs, "j")[0].2, "a\nb\nc\nd");
}

/// Checkpoints of many long texts are split into several entries of bounded size.
#[test]
fn checkpoints_are_bounded() {
    let mut partition = Partition::with_job("j", 10);
    while let Some(request) = partition.try_next() {
        partition.event(&request, 0, &"x".repeat(200_000));
    }
    let entries: Vec<Entry> = std::iter::from_fn(|| partition.runner.checkpoint()).collect();
    assert_eq!(entries.len(), 4);
    for entry in entries {
        partition.commit(entry);
    }
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    let resumed: Vec<_> =
        std::iter::from_fn(|| partition.try_next()).map(|request| request.last_event_id).collect();
    assert_eq!(resumed, vec![Some(0); 10]);
}

/// Guards against giving up items because the wall clock jumps ahead by a day.
#[test]
fn a_wall_clock_jump_gives_nothing_up() {
    let mut old_leader = Partition::with_job("j", 1);
    old_leader.advance_ms(1_000);
    let mut new_leader = successor(&old_leader, &[submit("j", 1)], 1_000_000 + 86_400_000);
    new_leader.runner.give_up_expired_items(new_leader.now);
    assert_eq!((new_leader.commit_proposals(), new_leader.runner.take_cancelled()), (0, vec![]));
    new_leader.advance_ms(59_999);
    new_leader.runner.give_up_expired_items(new_leader.now);
    assert_eq!(
        new_leader.commit_proposals(),
        0,
        "the successor first saw the job less than its retention ago"
    );
    new_leader.advance_ms(1);
    new_leader.runner.give_up_expired_items(new_leader.now);
    assert_eq!(new_leader.commit_proposals(), 1);
}

/// Guards against giving up items early because the wall clock is ahead by less than the retention.
#[test]
fn a_fast_wall_clock_gives_nothing_up_early() {
    let old_leader = Partition::with_job("j", 1);
    let mut new_leader = successor(&old_leader, &[submit("j", 1)], 1_000_000 + 30_000);
    new_leader.advance_ms(59_999);
    new_leader.runner.give_up_expired_items(new_leader.now);
    assert_eq!((new_leader.commit_proposals(), new_leader.runner.next_wake()), (0, Some(at(61_000))));
}

/// A successor knows the ages of jobs only from the wall clock, and uses them for the order of jobs.
#[test]
fn a_successor_orders_jobs_by_the_wall_clock() {
    let old_leader = Partition::with_leader();
    let mut newer = settings();
    newer.accepted_at_wall_ms += 3_000;
    let mut jobs = Jobs::new();
    jobs.apply(Entry::Submit { submission: submission("a-newer", 1), settings: newer });
    jobs.apply(submit("b-older", 1));
    let jobs = Jobs::from_snapshot(&jobs.to_snapshot()).expect("valid bytes");
    let mut new_leader = Partition { jobs, runner: runner(1), now: old_leader.now };
    new_leader.runner.start_leading(&new_leader.jobs, new_leader.now, 1_004_000);
    assert_eq!([new_leader.next().job, new_leader.next().job], ["b-older", "a-newer"].map(job));
}

/// A job that is accepted in this term is new, whatever its age according to the wall clock.
#[test]
fn an_incredible_age_by_the_wall_clock_is_ignored() {
    let mut partition = Partition::with_leader();
    partition.advance_ms(30_000);
    let jumped = JobSettings { accepted_at_wall_ms: 0, ..settings() };
    partition.commit(Entry::Submit { submission: submission("b-jumped", 1), settings: jumped });
    let loose = JobSettings { completion_target_ms: 20_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission("a-loose", 1), settings: loose });
    assert_eq!(partition.next().job, job("b-jumped"), "it is not late");
}

/// Guards against removing a job too early: it must be closed, and this replica must have first seen it long enough ago.
#[test]
fn jobs_expire_by_the_monotonic_clock() {
    let status_ttl = Duration::from_millis(120_000);
    let mut partition = Partition::with_job("open", 1);
    partition.commit(submit("done", 1));
    partition.commit(complete_item("done", 0, "text"));
    partition.advance_ms(119_999);
    assert_eq!(partition.runner.expired_jobs(&partition.jobs, partition.now, status_ttl), []);
    let mut new_replica = Partition { jobs: partition.jobs.clone(), runner: runner(1), now: partition.now };
    new_replica.runner.track_jobs(&new_replica.jobs, new_replica.now);
    partition.advance_ms(1);
    new_replica.advance_ms(1);
    let expired_jobs = partition.runner.expired_jobs(&partition.jobs, partition.now, status_ttl);
    assert_eq!(expired_jobs, [job("done")]);
    assert_eq!(
        new_replica.runner.expired_jobs(&new_replica.jobs, new_replica.now, status_ttl),
        [],
        "it first saw the job 1 ms ago"
    );
    partition.commit(Entry::Remove { jobs: expired_jobs });
    assert_eq!(partition.runner.expired_jobs(&partition.jobs, partition.now, status_ttl), []);
    assert!(!partition.jobs.contains(&job("done")) && partition.jobs.contains(&job("open")));
}

/// Guards against an outdated progress entry that lowers the count of failed attempts.
#[test]
fn a_lower_failure_count_is_ignored() {
    let mut partition = Partition::with_job("j", 1);
    let count = |failed_attempts| {
        let progress = ItemProgress { job: job("j"), item: ItemIndex(0), failed_attempts, events: None };
        Entry::Progress(vec![progress])
    };
    assert_eq!(partition.commit(count(2)), Applied::Progressed(1));
    assert_eq!(partition.commit(count(1)), Applied::Progressed(0));
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::Failed500);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j").len(), 1, "the third failed attempt");
}

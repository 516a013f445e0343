//! What the leader runs, in which order, and what comes of it.

use grebeusher_batch::*;
use grebeusher_time::DurationExt;
use rstest::rstest;

use crate::fixture::*;
use crate::partition::Partition;

#[test]
fn an_item_is_sent_as_it_was_submitted() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    let spec = item("j", 0, 100);
    assert_eq!((order.attempt_id.as_str(), order.path.as_str()), ("j-0", "/lots/3/j-0"));
    assert_eq!((order.host.as_str(), order.route.as_str()), ("lots.example", ROUTE));
    assert_eq!((order.headers, order.body, order.last_event_id), (spec.headers, spec.body, None));
    assert_eq!((order.token_count, order.tokens), (100, Tokens { prompt: 60, output: 40 }));
    assert_eq!(partition.try_next(), None, "it runs once at a time");
}

#[test]
fn the_text_is_the_data_of_all_events() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    for (id, data) in [(1, "a"), (2, ""), (3, "b\nc")] {
        assert_eq!(partition.event(&order, id, data), EventDisposition::Accepted);
    }
    partition.end_run(&order, RunOutcome::Complete);
    assert_eq!(partition.settle(), 1);
    assert_eq!(texts(&partition.jobs, "j"), [("j-0".into(), ResultState::Complete, "a\n\nb\nc".into())]);
    assert_eq!(
        (partition.try_next(), partition.runner.running_count(), partition.runner.next_wake()),
        (None, 0, None)
    );
}

#[test]
fn an_empty_first_event_is_an_event() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "");
    partition.event(&order, 1, "a");
    partition.end_run(&order, RunOutcome::Complete);
    partition.settle();
    assert_eq!(texts(&partition.jobs, "j")[0].2, "\na");
}

/// ORDER: a run that broke goes on after the last whole event.
#[test]
fn a_broken_run_resumes_after_its_last_event() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "a");
    partition.event(&order, 1, "b");
    partition.end_run(&order, RunOutcome::Broken);
    assert_eq!(partition.event(&order, 2, "late"), EventDisposition::UnknownRun, "the old run is over");
    partition.end_run(&order, RunOutcome::Complete);
    assert_eq!(partition.settle(), 0, "nor can it end a second time");
    partition.pass(2_000);
    let order = partition.next();
    assert_eq!(order.last_event_id, Some(1));
    assert_eq!(partition.event(&order, 2, "c"), EventDisposition::Accepted);
    partition.end_run(&order, RunOutcome::Complete);
    partition.settle();
    assert_eq!(texts(&partition.jobs, "j")[0].2, "a\nb\nc");
}

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

#[test]
fn a_run_without_an_event_is_not_complete() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.end_run(&order, RunOutcome::Complete);
    assert_eq!(partition.settle(), 0);
    partition.pass(5_000);
    assert_eq!(partition.next().last_event_id, None);
}

/// All events had come when the stream broke: the next run only has to say that there are no more.
#[test]
fn a_resumed_run_without_events_completes_the_text() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "a");
    partition.end_run(&order, RunOutcome::Broken);
    partition.pass(5_000);
    let order = partition.next();
    partition.end_run(&order, RunOutcome::Complete);
    partition.settle();
    assert_eq!(texts(&partition.jobs, "j")[0].2, "a");
}

/// ORDER: an event that doesn't follow is never taken, and cuts its run off.
#[rstest]
#[case::doubled(1)]
#[case::before(0)]
#[case::gap(3)]
#[case::far(u64::MAX)]
fn an_event_out_of_order_ends_the_run(#[case] id: u64) {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    partition.event(&order, 0, "a");
    partition.event(&order, 1, "b");
    assert_eq!(partition.event(&order, id, "x"), EventDisposition::OutOfOrder);
    assert_eq!(partition.event(&order, 2, "x"), EventDisposition::UnknownRun);
    partition.end_run(&order, RunOutcome::Complete);
    assert_eq!(partition.settle(), 0);
    partition.pass(5_000);
    assert_eq!(partition.next().last_event_id, Some(1));
}

/// Executors that never go on where they should: the item begins anew from nothing.
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

#[test]
fn a_text_beyond_the_limit_is_not_accepted() {
    let mut partition = Partition::with_job("j", 1);
    let order = partition.next();
    let data = "x".repeat(1_000);
    let taken =
        (0..).take_while(|id| partition.event(&order, *id, &data) == EventDisposition::Accepted).count();
    assert!((400..=MAX_TEXT_BYTES / 1_000).contains(&taken));
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
        .commit(Entry::Submit { submission: submission_on("r-other", "k", &[100]), settings: settings() });
    let order = partition.next();
    assert_eq!(order.job, job("j"));
    partition.runner.route_removed(ROUTE);
    partition.settle();
    assert_eq!(partition.runner.take_cancelled(), [order.run]);
    assert_eq!(texts(&partition.jobs, "j").len(), 2);
    assert_eq!(partition.next().job, job("k"), "others run on");
    partition.runner.retain_routes(|_| true);
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

/// Of jobs that can be in time, the one due first; of jobs that are late, those after them.
#[test]
fn the_most_urgent_job_that_can_be_in_time_goes_first() {
    let mut partition = Partition::led();
    for (name, completion_target_ms) in [("late", 500), ("loose", 30_000), ("tight", 9_000)] {
        let settings = JobSettings { completion_target_ms, ..settings() };
        partition.commit(Entry::Submit { submission: submission(name, 1), settings });
    }
    let order: Vec<JobId> = std::iter::from_fn(|| partition.try_next()).map(|order| order.job).collect();
    assert_eq!(order, ["tight", "loose", "late"].map(job));
}

#[test]
fn the_time_before_acceptance_counts() {
    let mut partition = Partition::led();
    let older = JobSettings { age_at_acceptance_ms: 3_000, completion_target_ms: 10_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission("a", 1), settings: settings() });
    partition.commit(Entry::Submit { submission: submission("older", 1), settings: older });
    assert_eq!(partition.next().job, job("older"));
}

/// A late job, and a loose one, behind an endless supply of urgent ones.
#[rstest]
#[case::late(1)]
#[case::loose(50_000)]
fn no_job_starves(#[case] completion_target_ms: u64) {
    let mut partition = Partition::led();
    let settings = JobSettings { completion_target_ms, ..settings() };
    partition.commit(Entry::Submit { submission: submission("patient", 2), settings });
    let mut patient = 0;
    for number in 0..40 {
        partition.commit(submit(&format!("urgent{number}"), 1));
        partition.commit(submit(&format!("pressing{number}"), 1));
        patient += usize::from(partition.next().job == job("patient"));
    }
    assert_eq!(patient, 2, "both items ran within 40 turns");
}

#[test]
fn the_largest_item_that_fits_goes_first() {
    let mut partition = Partition::led();
    let submission = submission_on(ROUTE, "j", &[100, 900, 500, 500]);
    partition.commit(Entry::Submit { submission, settings: settings() });
    let room = |tokens| move |_: &str| Some(tokens);
    let mut next = |tokens| {
        let order = partition.runner.next_item(&partition.jobs, partition.now, &room(tokens));
        order.map(|order| order.item.0)
    };
    assert_eq!([next(99), next(600), next(100), next(10_000)], [None, Some(2), Some(0), Some(1)]);
    assert_eq!([next(499), next(500), next(500)], [None, Some(3), None]);
}

#[test]
fn items_listed_while_waiting_do_not_run() {
    let mut partition = Partition::with_job("j", 3);
    partition.commit(complete("j", 0, "the predecessor's"));
    let order = partition.next();
    assert_eq!(order.item, ItemIndex(1));
    partition.end_run(&order, RunOutcome::NotExecuted);
    assert!(partition.runner.next_wake() < Some(at(2_000)), "it pauses");
    partition.commit(complete("j", 1, "the predecessor's"));
    assert_eq!(partition.runner.next_wake(), Some(at(61_000)));
    assert_eq!(partition.next().item, ItemIndex(2));
}

#[test]
fn the_tokens_of_the_next_item_are_reported() {
    let mut partition = Partition::led();
    let loose = JobSettings { completion_target_ms: 50_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission_on(ROUTE, "a", &[9_000]), settings: loose });
    partition
        .commit(Entry::Submit { submission: submission_on(ROUTE, "b", &[100, 700]), settings: settings() });
    let mut lines = Vec::new();
    loop {
        lines.push((
            partition.runner.next_item_tokens(ROUTE, partition.now),
            partition.runner.next_item_tokens("r-other", partition.now),
        ));
        if partition.try_next().is_none() {
            break;
        }
    }
    assert_eq!(lines, [(Some(700), None), (Some(100), None), (Some(9_000), None), (None, None)]);
}

#[test]
fn a_route_without_capacity_blocks_no_other() {
    let mut partition = Partition::with_job("j", 1);
    let settings = JobSettings { completion_target_ms: 50_000, ..settings() };
    partition.commit(Entry::Submit { submission: submission_on("r-other", "k", &[100]), settings });
    let room = |route: &str| (route == "r-other").then_some(1_000);
    let order = partition.runner.next_item(&partition.jobs, partition.now, &room);
    assert_eq!(order.map(|order| order.job), Some(job("k")));
    assert_eq!(partition.runner.next_item(&partition.jobs, partition.now, &room), None);
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

#[test]
fn idle_tokens_are_counted() {
    let mut partition = Partition::with_job("j", 3);
    assert_eq!((partition.runner.idle_tokens(ROUTE), partition.runner.idle_tokens("r-other")), (300, 0));
    let order = partition.next();
    assert_eq!(partition.runner.idle_tokens(ROUTE), 200);
    partition.end_run(&order, RunOutcome::NotExecuted);
    assert_eq!(partition.runner.idle_tokens(ROUTE), 300);
    partition.commit(complete("j", order.item.0, "the predecessor's"));
    assert_eq!(partition.runner.idle_tokens(ROUTE), 200, "listed while it paused");
    let order = partition.next();
    partition.event(&order, 0, "text");
    partition.end_run(&order, RunOutcome::Complete);
    assert_eq!(partition.runner.idle_tokens(ROUTE), 100);
    partition.runner.route_removed(ROUTE);
    assert_eq!((partition.runner.idle_tokens(ROUTE), partition.runner.next_wake()), (0, None));
}

/// While anything is undecided there is a moment to look again, and none once all is decided.
#[test]
fn there_is_a_next_wake_while_anything_is_unfinished() {
    let mut partition = Partition::with_job("j", 2);
    let (first, second) = (partition.next(), partition.next());
    let given_up = Some(at(61_000));
    assert_eq!(partition.runner.next_wake(), given_up);
    partition.event(&first, 0, "text");
    partition.end_run(&first, RunOutcome::Complete);
    assert_eq!(partition.runner.next_wake(), given_up);
    partition.settle();
    assert_eq!(partition.runner.next_wake(), given_up);
    partition.end_run(&second, RunOutcome::Rejected422);
    assert_eq!(partition.runner.next_wake(), None);
}

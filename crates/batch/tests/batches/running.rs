//! Runs of items: the request, the text from the events, and the completion.

use grebeusher_batch::*;
use rstest::rstest;

use crate::fixture::*;
use crate::partition::Partition;

#[test]
fn an_item_is_sent_as_it_was_submitted() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    let spec = item("j", 0, 100);
    assert_eq!((request.attempt_id.as_str(), request.path.as_str()), ("j-0", "/lots/3/j-0"));
    assert_eq!(request.host.as_str(), "lots.example");
    assert_eq!((request.headers, request.body, request.last_event_id), (spec.headers, spec.body, None));
    assert_eq!((request.token_count, request.tokens), (100, Tokens { prompt: 60, output: 40 }));
    assert_eq!(partition.try_next(), None, "an item has one run at a time");
}

#[test]
fn the_text_is_the_data_of_all_events() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    for (id, data) in [(1, "a"), (2, ""), (3, "b\nc")] {
        assert_eq!(partition.event(&request, id, data), EventDisposition::Accepted);
    }
    partition.end_run(&request, RunOutcome::Complete);
    assert_eq!(partition.commit_proposals(), 1);
    assert_eq!(
        listed_results(&partition.jobs, "j"),
        [("j-0".into(), ResultState::Complete, "a\n\nb\nc".into())]
    );
    assert_eq!(
        (partition.try_next(), partition.runner.running_count(), partition.runner.next_wake()),
        (None, 0, None)
    );
}

#[test]
fn an_empty_first_event_is_an_event() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "");
    partition.event(&request, 1, "a");
    partition.end_run(&request, RunOutcome::Complete);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j")[0].2, "\na");
}

/// Guards against missing or repeated events: after a broken run, the next run resumes after the last complete event.
#[test]
fn a_broken_run_resumes_after_its_last_event() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "a");
    partition.event(&request, 1, "b");
    partition.end_run(&request, RunOutcome::Broken);
    assert_eq!(partition.event(&request, 2, "late"), EventDisposition::UnknownRun, "the run has ended");
    partition.end_run(&request, RunOutcome::Complete);
    assert_eq!(partition.commit_proposals(), 0, "a run can't end a second time");
    partition.advance_ms(2_000);
    let request = partition.next();
    assert_eq!(request.last_event_id, Some(1));
    assert_eq!(partition.event(&request, 2, "c"), EventDisposition::Accepted);
    partition.end_run(&request, RunOutcome::Complete);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j")[0].2, "a\nb\nc");
}

#[test]
fn a_run_without_an_event_is_not_complete() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::Complete);
    assert_eq!(partition.commit_proposals(), 0);
    partition.advance_ms(5_000);
    assert_eq!(partition.next().last_event_id, None);
}

/// If the stream breaks after the last event, the next run completes the text without further events.
#[test]
fn a_resumed_run_without_events_completes_the_text() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "a");
    partition.end_run(&request, RunOutcome::Broken);
    partition.advance_ms(5_000);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::Complete);
    partition.commit_proposals();
    assert_eq!(listed_results(&partition.jobs, "j")[0].2, "a");
}

/// Guards against accepting an event that doesn't follow the last one. Such an event ends its run.
#[rstest]
#[case::repeated(1)]
#[case::before(0)]
#[case::gap(3)]
#[case::far(u64::MAX)]
fn an_event_out_of_order_ends_the_run(#[case] id: u64) {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.event(&request, 0, "a");
    partition.event(&request, 1, "b");
    assert_eq!(partition.event(&request, id, "x"), EventDisposition::OutOfOrder);
    assert_eq!(partition.event(&request, 2, "x"), EventDisposition::UnknownRun);
    partition.end_run(&request, RunOutcome::Complete);
    assert_eq!(partition.commit_proposals(), 0);
    partition.advance_ms(5_000);
    assert_eq!(partition.next().last_event_id, Some(1));
}

#[test]
fn a_text_beyond_the_limit_is_not_accepted() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    let data = "x".repeat(1_000);
    let accepted =
        (0..).take_while(|id| partition.event(&request, *id, &data) == EventDisposition::Accepted).count();
    assert!((400..=MAX_TEXT_BYTES / 1_000).contains(&accepted));
}

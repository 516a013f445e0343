//! A process that is suspended within a turn of its event loop. Guards against ages of jobs that count from the start of a turn
//! in which their entries are only read later.

mod single_node;
mod single_storage;

use grebeusher_batch::{ItemSpec, JobId, Submission};
use grebeusher_quorum::{Entry, Group, HardState, Index, Payload, RestoredState, Term};
use grebeusher_tier::links::messages::{Call, Reply, SubmitJob};
use grebeusher_time::{Duration, DurationExt, Instant};
use nanoserde::SerBin;
use single_storage::{DISK, Storage};

const RETENTION: Duration = Duration::from_millis(5_000);
const SUSPENSION: Duration = Duration::from_millis(3_000);
/// Covers the node's intervals: after it, what is due has happened.
const SLACK: Duration = Duration::from_millis(500);

/// The state of a partition without jobs, of which this node has the only replica.
fn empty_partition() -> RestoredState {
    let group = Entry { index: Index(1), term: Term(1), payload: Payload::Group(Group::of([DISK])) };
    RestoredState {
        hard_state: HardState { term: Term(1), vote: None, cluster_id: None, commit: Index(1) },
        snapshot: None,
        entries: vec![group],
    }
}

fn submission() -> SubmitJob {
    let item = ItemSpec {
        id: "a".to_owned(),
        path: "/lots/a".into(),
        headers: Vec::new(),
        body: Vec::new().into(),
        token_count: 30,
    };
    let submission = Submission {
        job: JobId::new("job").expect("a valid id"),
        route: "lots".to_owned(),
        service: "models".to_owned(),
        host: "lots.example".to_owned(),
        items: vec![item],
    };
    SubmitJob {
        partition: 1,
        submission: submission.serialize_bin(),
        completion_target_ms: 300,
        retention_ms: RETENTION.nanos() / 1_000_000,
        max_attempts: 3,
        queue_token_limit: 0,
    }
}

fn advance_to(storage: &mut Storage, at: Instant) {
    let now = storage.network.borrow().now();
    storage.advance(at.since(now));
}

#[test]
fn an_item_that_comes_while_the_process_is_suspended_is_kept_for_its_retention() {
    let mut storage = Storage::start(empty_partition());
    let turn_started_at = storage.network.borrow().now();
    storage.network.borrow_mut().suspend_after_next_clock_read(SUSPENSION);
    // The client sends the job during the suspension.
    let sent_at = turn_started_at + SUSPENSION;
    let reply = storage.call(Call::SubmitJob(submission()));
    assert!(matches!(reply, Reply::Answer { status: 202, .. }), "{reply:?}");

    advance_to(&mut storage, sent_at + RETENTION - Duration::from_millis(10));
    assert_eq!(storage.commands.borrow().len(), 1, "the item is not given up");
    advance_to(&mut storage, sent_at + RETENTION + SLACK);
    assert_eq!(storage.commands.borrow().len(), 2, "the item is given up");
}

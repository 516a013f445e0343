//! Compatibility of the log entries of a batch partition: this version must read and write the bytes of earlier versions.

mod single_node;
mod single_storage;

use grebeusher_quorum::{
    Blob, Entry, Group, HardState, Index, Payload, Position, RestoredState, Snapshot, Term,
};
use grebeusher_tier::links::messages::{Call, Reply, SubmitJob};
use single_storage::{DISK, Storage};

/// The snapshot of a partition without jobs, in which `node-0` is to be retired.
const SNAPSHOT: &[u8] = b"\x02\x00\x00\x00\x00\x00\x00\x00\x01\x00\x01\x00\x00\x00\x00\x00\x00\x00\x06\x00\x00\x00\x00\x00\x00\x00node-0";
/// The entry that `node-1` is to be retired.
const RETIRE: &[u8] = b"\x02node-1";
/// The entry of a submitted job with one item.
const SUBMIT: &[u8] = b"\x01\x01\x05job-1\x04lots\x06models\x0clots.example\x01\x01a\x07/lots/a\x00\x02\x00\xff\x1e\x00\x00\x00\xe0\xd4\x03\x03\x00\x00";
/// The encoded submission of another job, which the node puts into an entry.
const SUBMISSION: &[u8] =
    b"\x05job-2\x04lots\x06models\x0clots.example\x01\x01a\x07/lots/a\x00\x02\x00\xff\x1e";
/// The entry that the node writes for the end of the first job.
const ENDED: &[u8] = b"\x01\x04\x05job-1";

/// The stored state of partition 1, of which this node has the only replica.
fn stored_state() -> RestoredState {
    let command = |index, bytes: &[u8]| Entry {
        index: Index(index),
        term: Term(1),
        payload: Payload::Command(Blob::from(bytes)),
    };
    let last = Position { term: Term(1), index: Index(1) };
    RestoredState {
        hard_state: HardState { term: Term(1), vote: None, cluster_id: None, commit: Index(1) },
        snapshot: Some(Snapshot { last, group: Group::of([DISK]), bytes: Blob::from(SNAPSHOT) }),
        entries: vec![command(2, RETIRE), command(3, SUBMIT)],
    }
}

/// Returns the number after some words in a status. It is a size that may differ between versions.
fn number_after(text: &str, words: &str) -> u64 {
    let rest = text.split_once(words).expect("the words are there").1;
    rest.split(' ').next().and_then(|number| number.parse().ok()).expect("a number")
}

#[test]
fn a_log_and_a_snapshot_of_an_earlier_version_are_taken_over() {
    let mut storage = Storage::start(stored_state());
    let status = storage.status();
    let (log, jobs) = (number_after(&status, "log of "), number_after(&status, "in about "));
    let expected = format!(
        "part 1 owned by storage-1 at term 2: commit 4, log of {log} bytes\n\
         part 1 voter storage-1 Alive a disk 0000000000000005 has 4\n\
         part 1 is to leave node-0\n\
         part 1 is to leave node-1\n\
         part 1 holds 1 jobs in about {jobs} bytes\n\
         part 1 job job-1: 0 of 1 items listed, open\n"
    );
    assert_eq!(status, expected);
    let body = storage.call(Call::ReadItem { partition: 1, job: "job-1".to_owned(), item: "a".to_owned() });
    assert!(matches!(body, Reply::Answer { status: 200, body } if body == [0x00, 0xff]));
}

#[test]
fn what_is_put_into_the_log_keeps_its_bytes() {
    let mut storage = Storage::start(stored_state());
    let submit = SubmitJob {
        partition: 1,
        submission: SUBMISSION.to_vec(),
        completion_target_ms: 300,
        retention_ms: 60_000,
        max_attempts: 3,
        queue_token_limit: 0,
    };
    let reply = storage.call(Call::SubmitJob(submit));
    assert!(matches!(&reply, Reply::Answer { status: 202, body } if body == b"{}"), "{reply:?}");
    let reply = storage.call(Call::EndJob { partition: 1, job: "job-1".to_owned() });
    assert!(matches!(&reply, Reply::Answer { status: 200, body } if body == b"{}"), "{reply:?}");
    let commands = storage.commands.borrow();
    let [submitted, ended] = &commands[..] else { panic!("two commands, not {commands:?}") };
    // After the submission the entry has the settings of the job, which begin with the time of day.
    assert_eq!(submitted[..2 + SUBMISSION.len()], [b"\x01\x01", SUBMISSION].concat());
    assert_eq!(
        submitted[2 + SUBMISSION.len()..].escape_ascii().to_string(),
        r"\xc5\x8e\x96\xff\xbc1\x00\xac\x02\xe0\xd4\x03\x03\x00\x00"
    );
    assert_eq!(ended, ENDED);
}

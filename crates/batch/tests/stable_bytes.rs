//! Samples of bytes that earlier versions wrote, and that this version must read and write unchanged.
//!
//! The log and the snapshots of a partition and the messages between processes contain these bytes. No sample may be
//! edited to make a test pass: a changed format needs a new kind of entry or a new version beside the old one.

use grebeusher_batch::{
    Entry, EventChunk, Header, ItemIndex, ItemProgress, ItemResult, ItemSpec, JobId, JobResults, JobSettings,
    Jobs, ResultState, SharedBytes, Submission,
};
use nanoserde::{DeBin, SerBin};
use rstest::rstest;

const SUBMISSION: &[u8] = b"\x05job-1\x04lots\x06models\x0clots.example\x03\x01a\x07/lots/a\x02\x06Accept\x11text/event-stream\x18X-Grebeusher-Token-Count\x06940,60\x03\x00\xab\xff\xe8\x07\x01b\x07/lots/b\x00\x00\x00\x01c\x07/lots/c\x00\x05third\x7f";
const SETTINGS: &[u8] = b"\xfb\xd0\x95\xff\xbc1\x7f\x80\x01\x80\x80\x01\xff\xff\xff\xff\x0f\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00";
const SUBMIT: &[u8] = b"\x01\x05job-1\x04lots\x06models\x0clots.example\x03\x01a\x07/lots/a\x02\x06Accept\x11text/event-stream\x18X-Grebeusher-Token-Count\x06940,60\x03\x00\xab\xff\xe8\x07\x01b\x07/lots/b\x00\x00\x00\x01c\x07/lots/c\x00\x05third\x7f\xfb\xd0\x95\xff\xbc1\x7f\x80\x01\x80\x80\x01\xff\xff\xff\xff\x0f\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00";
const RESULTS: &[u8] = b"\x02\x02\x05job-1\x02\x00\x00\none\ntwo \xc3\xa9\xc7\x01\x01\x00\x05job-2\x00";
const PROGRESS: &[u8] = b"\x03\x03\x05job-1\x00\x00\x01\x00\x00\x03one\x05job-1\x01\x02\x00\x05job-1\x02\xac\x02\x01\x01\x07\xc8\x01\neight\nnine";
const ENDED: &[u8] = b"\x04\x05job-1";
const REMOVE: &[u8] = b"\x05\x02\x05job-1\x05job-2";
const NO_JOBS: &[u8] = b"\x01\x00";
const JOBS: &[u8] = b"\x01\x02\x05job-1\x04lots\x06models\x0clots.example\xfb\xd0\x95\xff\xbc1\x7f\x80\x01\x80\x80\x01\xff\xff\xff\xff\x0f\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00\x00\x03\x01\x01a\x07/lots/a\x02\x06Accept\x11text/event-stream\x18X-Grebeusher-Token-Count\x06940,60\x03\x00\xab\xff\xe8\x07\x00\x00\x00\x00\x01\x01c\x07/lots/c\x00\x05third\x7f\x01\xc8\x01\x06so far\x03\x01\x01b\x01\x04half\x05job-2\x04lots\x06models\x0clots.example\x00\x00\x00\x00\x00\x00\x00\x01\x03\x00\x00\x00\x02\x01c\x00\x05whole\x01a\x01\x00";

/// The sample of each kind of entry. A new kind needs a new sample here.
fn stable_bytes(entry: &Entry) -> &'static [u8] {
    match entry {
        Entry::Submit { .. } => SUBMIT,
        Entry::Results(_) => RESULTS,
        Entry::Progress(_) => PROGRESS,
        Entry::Ended { .. } => ENDED,
        Entry::Remove { .. } => REMOVE,
    }
}

/// The byte of each state. A new state needs a new byte here.
fn stable_state(state: ResultState) -> u8 {
    match state {
        ResultState::Complete => 0,
        ResultState::DeadLetter => 1,
    }
}

fn job(name: &str) -> JobId {
    JobId::new(name).expect("a valid id")
}

fn item(id: &str, headers: &[(&str, &str)], body: &[u8], token_count: u64) -> ItemSpec {
    let header = |&(name, value): &(&str, &str)| Header { name: name.into(), value: value.into() };
    ItemSpec {
        id: id.to_owned(),
        path: format!("/lots/{id}").as_str().into(),
        headers: headers.iter().map(header).collect(),
        body: SharedBytes::from(body),
        token_count,
    }
}

fn submission() -> Submission {
    let headers = [("Accept", "text/event-stream"), ("X-Grebeusher-Token-Count", "940,60")];
    Submission {
        job: job("job-1"),
        route: "lots".to_owned(),
        service: "models".to_owned(),
        host: "lots.example".to_owned(),
        items: vec![
            item("a", &headers, &[0x00, 0xab, 0xff], 1_000),
            item("b", &[], b"", 0),
            item("c", &[], b"third", 127),
        ],
    }
}

/// Settings whose numbers are encoded in one byte, in several bytes, and in the maximum number of bytes.
fn settings() -> JobSettings {
    JobSettings {
        accepted_at_wall_ms: 1_700_000_000_123,
        age_at_acceptance_ms: 127,
        completion_target_ms: 128,
        retention_ms: 16_384,
        max_attempts: u32::MAX,
        queue_token_limit: u64::MAX,
        target_latency_ms: 0,
    }
}

fn results() -> Entry {
    let result = |item, state, text: &str| ItemResult { item: ItemIndex(item), state, text: text.into() };
    Entry::Results(vec![
        JobResults {
            job: job("job-1"),
            results: vec![
                result(0, ResultState::Complete, "one\ntwo \u{e9}"),
                result(199, ResultState::DeadLetter, ""),
            ],
        },
        JobResults { job: job("job-2"), results: vec![] },
    ])
}

fn progress() -> Entry {
    let item_progress = |item, failed_attempts, events| ItemProgress {
        job: job("job-1"),
        item: ItemIndex(item),
        failed_attempts,
        events,
    };
    let chunk = |after, last, text: &str| Some(EventChunk { after, last, text: text.to_owned() });
    Entry::Progress(vec![
        item_progress(0, 0, chunk(None, 0, "one")),
        item_progress(1, 2, None),
        item_progress(2, 300, chunk(Some(7), 200, "eight\nnine")),
    ])
}

#[rstest]
#[case::submit(Entry::Submit { submission: submission(), settings: settings() })]
#[case::results(results())]
#[case::progress(progress())]
#[case::ended(Entry::Ended { job: job("job-1") })]
#[case::remove(Entry::Remove { jobs: vec![job("job-1"), job("job-2")] })]
fn an_entry_of_each_kind_keeps_its_bytes(#[case] entry: Entry) {
    let bytes = stable_bytes(&entry);
    // The entry is written as the sample.
    let written = SerBin::serialize_bin(&entry);
    assert_eq!(written.escape_ascii().to_string(), bytes.escape_ascii().to_string());
    // The sample is read as the entry, from the log and from a message.
    assert_eq!(Entry::from_shared(&SharedBytes::from(bytes)).expect("an entry"), entry);
    assert_eq!(<Entry as DeBin>::deserialize_bin(bytes).expect("an entry"), entry);
}

#[rstest]
fn a_kind_that_was_never_written_is_refused(#[values(0, 6, 255)] kind: u8) {
    let bytes = [&[kind], &ENDED[1..]].concat();
    assert!(Entry::from_shared(&SharedBytes::from(bytes)).is_err());
}

#[rstest]
fn the_state_of_a_result_keeps_its_byte(
    #[values(ResultState::Complete, ResultState::DeadLetter)] state: ResultState,
) {
    let byte = [stable_state(state)];
    assert_eq!(SerBin::serialize_bin(&state), byte);
    assert_eq!(<ResultState as DeBin>::deserialize_bin(&byte).expect("a state"), state);
}

#[test]
fn a_submission_keeps_its_bytes() {
    let written = SerBin::serialize_bin(&submission());
    assert_eq!(written.escape_ascii().to_string(), SUBMISSION.escape_ascii().to_string());
    assert_eq!(<Submission as DeBin>::deserialize_bin(SUBMISSION).expect("a submission"), submission());
}

#[test]
fn the_settings_of_a_job_keep_their_bytes() {
    let written = SerBin::serialize_bin(&settings());
    assert_eq!(written.escape_ascii().to_string(), SETTINGS.escape_ascii().to_string());
    assert_eq!(<JobSettings as DeBin>::deserialize_bin(SETTINGS).expect("settings"), settings());
}

/// An open job with items in all possible states, and a job that has ended.
fn jobs() -> Jobs {
    let mut jobs = Jobs::new();
    let mut second = submission();
    second.job = job("job-2");
    jobs.apply(Entry::Submit { submission: submission(), settings: settings() });
    jobs.apply(Entry::Submit { submission: second, settings: JobSettings::default() });
    let result = |item, state, text: &str| ItemResult { item: ItemIndex(item), state, text: text.into() };
    let first_results = vec![result(1, ResultState::DeadLetter, "half")];
    let second_results =
        vec![result(2, ResultState::Complete, "whole"), result(0, ResultState::DeadLetter, "")];
    jobs.apply(Entry::Results(vec![
        JobResults { job: job("job-1"), results: first_results },
        JobResults { job: job("job-2"), results: second_results },
    ]));
    jobs.apply(Entry::Progress(vec![ItemProgress {
        job: job("job-1"),
        item: ItemIndex(2),
        failed_attempts: 3,
        events: Some(EventChunk { after: None, last: 200, text: "so far".to_owned() }),
    }]));
    jobs.apply(Entry::Ended { job: job("job-2") });
    jobs
}

#[rstest]
#[case::nothing(Jobs::new(), NO_JOBS)]
#[case::two_jobs(jobs(), JOBS)]
fn a_snapshot_keeps_its_bytes(#[case] jobs: Jobs, #[case] bytes: &[u8]) {
    // The state is written as the sample, also behind other bytes.
    assert_eq!(jobs.to_snapshot().escape_ascii().to_string(), bytes.escape_ascii().to_string());
    let mut appended = b"head".to_vec();
    jobs.write_snapshot(&mut appended);
    assert_eq!(appended, [b"head", bytes].concat());
    // The sample is read as the state.
    let read = Jobs::from_snapshot(bytes).expect("a snapshot");
    assert_eq!(read, jobs);
    assert_eq!(read.to_snapshot(), bytes);
    assert_eq!(Jobs::from_shared_snapshot(&SharedBytes::from(bytes)).expect("a snapshot"), jobs);
}

#[test]
fn a_snapshot_of_another_version_is_rejected_by_its_number() {
    let bytes = [&[2], &JOBS[1..]].concat();
    let error = Jobs::from_snapshot(&bytes).expect_err("is refused");
    assert_eq!(error.to_string(), "the snapshot has form 2, not 1");
}

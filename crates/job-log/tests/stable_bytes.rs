//! Bytes written by earlier versions that this one must read and write unchanged: the file of the job log, record by record
//! and as a whole.

use grebeusher_job_log::book::{Answer, Job, Page, Record, Sending};
use grebeusher_job_log::log::Log;
use std::fs;

const HEADERS: &str = "Idempotency-Key: 7\r\n";

fn job(id: &str) -> Job {
    Job {
        id: id.to_owned(),
        tariff: "search".to_owned(),
        binding: true,
        target: "/search?q=1".to_owned(),
        headers: String::new(),
        body: b"work".to_vec(),
        hint_us: Some(300),
        taken_ms: 1_700_000_000_000,
        ends_ms: 1_700_000_009_000,
    }
}

fn answer() -> Answer {
    Answer { status: 207, result: b"so be it".to_vec(), at_ms: 1_700_000_002_000 }
}

/// The bytes of each kind of record, with the length and the sum in front, as they stand in the file.
fn pinned(record: &Record) -> &'static str {
    match record {
        Record::Taken(_) => {
            "2b000000e88e70b800016106736561726368010b2f7365617263683f713d3104776f726b01ac0280d095ffbc31a89696ffbc31"
        }
        Record::Sent { .. } => "09000000e5e6f131010161ac0203732d31",
        Record::Ended { .. } => "060000006e4fa3d7020161ac0201",
        Record::Answered { .. } => "14000000e8b725c6030161cf0108736f206265206974d0df95ffbc31",
        Record::Forgotten { .. } => "030000004111e6db040161",
        Record::TakenWith(..) => {
            "40000000ee775cb805016206736561726368010b2f7365617263683f713d3104776f726b01ac0280d095ffbc31a89696ffbc31144964656d706f74656e63792d4b65793a20370d0a"
        }
    }
}

fn records() -> [Record; 6] {
    let id = || "a".to_owned();
    [
        Record::Taken(job("a")),
        Record::Sent { id: id(), number: 300, executor: "s-1".to_owned() },
        Record::Ended { id: id(), number: 300, never_ran: true },
        Record::Answered { id: id(), answer: answer() },
        Record::Forgotten { id: id() },
        Record::TakenWith(job("b"), HEADERS.to_owned()),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("it is hex")).collect()
}

#[test]
fn each_kind_of_record_is_written_as_it_was() {
    for record in records() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut log = Log::open(folder.path()).expect("it opens");
        log.add(&record, true).expect("it is written");
        let written = fs::read(folder.path().join("jobs.log")).expect("the log is there");
        assert_eq!(hex(&written), pinned(&record), "{record:?}");
    }
}

#[test]
fn each_kind_of_record_is_read_as_it_was() {
    for record in records() {
        let frame = bytes(pinned(&record));
        assert_eq!(postcard::from_bytes::<Record>(&frame[8..]), Ok(record));
    }
}

/// A log with two jobs: one with lines of headers that was sent twice, one that is answered, and a third that is forgotten.
const LOG: &[u8] = include_bytes!("data/jobs.log");
/// The same once it was opened and written anew.
const LOG_ANEW: &[u8] = include_bytes!("data/jobs-anew.log");

#[test]
fn the_file_of_an_earlier_version_is_read_whole_and_written_anew_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("jobs.log");
    fs::write(&file, LOG).expect("it is written");
    let log = Log::open(folder.path()).expect("it opens");
    assert_eq!((log.torn, log.book().len(), log.book().open()), (0, 2, 1));
    let executor = || "s-1".to_owned();
    let sendings = vec![
        Sending { number: 300, executor: executor(), open: false, may_have_run: false },
        Sending { number: 301, executor: executor(), open: true, may_have_run: true },
    ];
    let with_headers = Job { headers: HEADERS.to_owned(), ..job("b") };
    assert_eq!(log.book().page("b"), Some(&Page { job: with_headers, sendings, answer: None }));
    assert_eq!(
        log.book().page("a"),
        Some(&Page { job: job("a"), sendings: Vec::new(), answer: Some(answer()) })
    );
    assert_eq!(hex(&fs::read(&file).expect("it is there")), hex(LOG_ANEW));
}

#[test]
fn the_whole_file_is_written_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut log = Log::open(folder.path()).expect("it opens");
    let id = |id: &str| id.to_owned();
    let happened = [
        Record::TakenWith(job("b"), HEADERS.to_owned()),
        Record::Sent { id: id("b"), number: 300, executor: id("s-1") },
        Record::Taken(job("a")),
        Record::Ended { id: id("b"), number: 300, never_ran: true },
        Record::Taken(job("c")),
        Record::Answered { id: id("c"), answer: answer() },
        Record::Sent { id: id("b"), number: 301, executor: id("s-1") },
        Record::Forgotten { id: id("c") },
        Record::Answered { id: id("a"), answer: answer() },
    ];
    happened.iter().for_each(|record| log.add(record, false).expect("it is written"));
    let written = fs::read(folder.path().join("jobs.log")).expect("the log is there");
    assert_eq!(hex(&written), hex(LOG));
}

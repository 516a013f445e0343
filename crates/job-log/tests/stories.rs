//! Short stories of the ledger: what is left after a crash at any byte, and what follows from it.

use grebeusher_job_log::book::{Answer, Book, Due, Job, Record};
use grebeusher_job_log::log::Log;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::fs;
use std::path::Path;

fn job(id: &str, binding: bool) -> Record {
    let (tariff, target) = ("search".to_owned(), "/search".to_owned());
    let (taken_ms, ends_ms, hint_us) = (1000, 9000, Some(5));
    Record::taken(Job {
        id: id.to_owned(),
        tariff,
        binding,
        target,
        headers: "Idempotency-Key: 7\r\n".to_owned(),
        body: b"work".to_vec(),
        hint_us,
        taken_ms,
        ends_ms,
    })
}

fn sent(id: &str, number: u32) -> Record {
    Record::Sent { id: id.to_owned(), number, executor: "s-1".to_owned() }
}

fn ended(id: &str, number: u32, never_ran: bool) -> Record {
    Record::Ended { id: id.to_owned(), number, never_ran }
}

fn answered(id: &str, status: u16) -> Record {
    Record::Answered {
        id: id.to_owned(),
        answer: Answer { status, result: b"so be it".to_vec(), at_ms: 2000 },
    }
}

fn book(records: &[Record]) -> Book {
    let mut book = Book::default();
    records.iter().for_each(|record| book.apply(record));
    book
}

#[test]
fn what_is_due_after_a_crash() {
    let due = |records: &[Record], now_ms: u64| book(records).due(now_ms).first().map(|(_, due)| *due);
    for binding in [false, true] {
        let taken = job("a", binding);
        assert_eq!(due(std::slice::from_ref(&taken), 2000), Some(Due::Anew));
        assert_eq!(due(std::slice::from_ref(&taken), 9000), Some(Due::TurnBack));
        assert_eq!(due(&[taken.clone(), sent("a", 0)], 2000), Some(Due::Settle));
        assert_eq!(due(&[taken.clone(), sent("a", 0), ended("a", 0, true)], 2000), Some(Due::Anew));
        assert_eq!(due(&[taken.clone(), answered("a", 200)], 2000), None);
        let later = [taken, sent("a", 0), ended("a", 0, true), sent("a", 1)];
        assert_eq!(due(&later, 2000), Some(Due::Settle));
    }
    // One that has run, or may have, and whose end got lost.
    assert_eq!(due(&[job("a", true), sent("a", 0), ended("a", 0, false)], 2000), Some(Due::Forfeit));
    assert_eq!(due(&[job("a", true), sent("a", 0)], 9000), Some(Due::Forfeit));
    assert_eq!(due(&[job("a", false), sent("a", 0), ended("a", 0, false)], 2000), Some(Due::Anew));
    // A number that an earlier life has used too.
    let again = [job("a", true), sent("a", 0), ended("a", 0, true), sent("a", 0)];
    assert_eq!(due(&again, 2000), Some(Due::Settle));
}

#[test]
fn the_first_answer_is_the_one_and_the_same_job_is_taken_once() {
    let book = book(&[job("a", true), answered("a", 200), answered("a", 500), sent("a", 0), job("a", false)]);
    let page = book.page("a").expect("it is there");
    assert_eq!(page.answer.as_ref().map(|answer| answer.status), Some(200));
    assert!(page.job.binding && page.sendings.is_empty());
}

fn written(folder: &Path, records: &[Record]) {
    let mut log = Log::open(folder).expect("it opens");
    records.iter().for_each(|record| log.add(record, false).expect("it is written"));
    log.sync().expect("it is on disk");
}

#[test]
fn what_was_written_is_there_again_and_what_is_over_goes() {
    let folder = tempfile::tempdir().expect("a folder");
    let records = [job("a", true), sent("a", 0), job("b", false), answered("b", 200), job("c", false)];
    written(folder.path(), &records);
    let mut log = Log::open(folder.path()).expect("it opens again");
    assert_eq!((log.torn, log.book().len(), log.book().open()), (0, 3, 2));
    assert_eq!(log.book().page("a"), book(&records).page("a"));
    log.tidy(2000 + 500, 1000).expect("it is written");
    assert!(log.book().page("b").is_some(), "its answer is kept");
    log.tidy(2000 + 1000, 1000).expect("it is written");
    assert!(log.book().page("b").is_none());
    drop(log);
    assert_eq!(Log::open(folder.path()).expect("it opens").book().len(), 2);
}

#[test]
fn one_folder_has_one_writer() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = Log::open(folder.path()).expect("it opens");
    let second = Log::open(folder.path()).map(|_| ()).expect_err("it is taken");
    assert!(second.to_string().contains("another process has it"), "{second}");
    drop(first);
    assert!(Log::open(folder.path()).is_ok());
}

#[test]
fn a_crash_at_any_byte_leaves_what_was_whole_before_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let records = [job("a", true), sent("a", 0), ended("a", 0, true), answered("a", 503), job("b", false)];
    written(folder.path(), &records);
    let path = folder.path().join("jobs.log");
    let whole = fs::read(&path).expect("the log");
    let mut seen = Vec::new();
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).expect("a torn log");
        let log = Log::open(folder.path()).expect("it opens all the same");
        let known = (0..=records.len()).find(|&n| book(&records[..n]) == *log.book());
        seen.push(known.expect("what was told before some record"));
    }
    assert!(seen.is_sorted() && seen.first() == Some(&0) && seen.last() == Some(&records.len()), "{seen:?}");
}

#[test]
fn a_byte_that_was_changed_is_noticed() {
    let folder = tempfile::tempdir().expect("a folder");
    let records = [job("a", true), sent("a", 0), answered("a", 200)];
    written(folder.path(), &records);
    let path = folder.path().join("jobs.log");
    let whole = fs::read(&path).expect("the log");
    for at in 0..whole.len() {
        let mut wrong = whole.clone();
        wrong[at] ^= 0x10;
        fs::write(&path, &wrong).expect("a log with a wrong byte");
        let log = Log::open(folder.path()).expect("it opens all the same");
        assert!(log.torn > 0, "byte {at} passed for good");
        assert!((0..records.len()).any(|n| book(&records[..n]) == *log.book()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever has happened: written anew it tells the same is due.
    #[test]
    fn written_anew_it_tells_the_same(steps in proptest::collection::vec((0_u8..5, 0_u32..4, 0_u32..3, any::<bool>()), 0..80)) {
        let mut before = Book::default();
        for (what, which, number, flag) in steps {
            let id = format!("job-{which}");
            before.apply(&match what {
                0 => job(&id, flag),
                1 => sent(&id, number),
                2 => ended(&id, number, flag),
                3 => answered(&id, if flag { 200 } else { 500 }),
                _ => Record::Forgotten { id },
            });
        }
        let after = book(&before.records());
        let dues = |book: &Book| -> Vec<(String, Due)> {
            book.due(2000).iter().map(|(page, due)| (page.job.id.clone(), *due)).collect()
        };
        prop_assert_eq!(dues(&before), dues(&after));
        prop_assert_eq!(before.len(), after.len());
        for id in (0..4).map(|which| format!("job-{which}")) {
            let answer = |book: &Book| book.page(&id).and_then(|page| page.answer.clone());
            prop_assert_eq!(answer(&before), answer(&after));
        }
    }

    #[test]
    fn any_bytes_open_as_a_log(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("jobs.log"), &bytes).expect("any bytes");
        let log = Log::open(folder.path()).expect("it opens");
        prop_assert!(log.torn <= bytes.len() as u64);
    }
}

#[test]
fn the_headers_of_a_job_outlive_the_process_and_a_log_of_before_they_were_kept_is_read() {
    let Record::TakenWith(kept, _) = job("a", true) else { panic!("a job with headers") };
    let before = Record::Taken(Job { id: "b".to_owned(), ..kept.clone() });
    let folder = tempfile::tempdir().expect("a folder");
    {
        let mut log = Log::open(folder.path()).expect("a log");
        log.add(&job("a", true), true).expect("written");
        log.add(&before, true).expect("written");
    }
    let log = Log::open(folder.path()).expect("the same log");
    let headers = |id: &str| log.book().page(id).map(|page| page.job.headers.clone());
    assert_eq!(headers("a").as_deref(), Some("Idempotency-Key: 7\r\n"));
    assert_eq!(headers("b").as_deref(), Some(""));
}

//! Short stories of the protocol and of reservations, and generated input for both.

use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_faktory::command::{Command, WorkerState, read};
use grebeusher_faktory::handshake::{Greeting, password_hash};
use grebeusher_faktory::reservations::{End, Handed, Reservations, Standing};
use grebeusher_faktory::words::{Answer, MAX_LINE, TooLong, line};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const NOW: Instant = Instant(1_000_000_000_000);

fn after(ms: u64) -> Instant {
    NOW + Duration::from_millis(ms)
}

#[test]
fn a_command_is_a_whole_line_in_any_pieces() {
    assert_eq!(line(b"INFO\r\nEND\r\n"), Ok(Some((&b"INFO"[..], 6))));
    assert_eq!(line(b"END\nx"), Ok(Some((&b"END"[..], 4))));
    assert_eq!((line(b""), line(b"INFO\r")), (Ok(None), Ok(None)));
    assert_eq!(line(&vec![b'x'; MAX_LINE + 1]), Err(TooLong));
    assert_eq!(line(&[vec![b'x'; MAX_LINE + 5], b"\n".to_vec()].concat()), Err(TooLong));
}

#[test]
fn commands_as_the_specification_has_them() {
    let said = |text: &str| read(text.as_bytes());
    let push = r#"PUSH {"jid":"123456789","jobtype":"import","args":[1,"x"],"queue":"search","priority":9}"#;
    let Ok(Command::Push(job)) = said(push) else { panic!("a job") };
    assert_eq!((job.queue.as_str(), job.priority, job.args.len()), ("search", 9, 2));
    assert_eq!(said("FETCH a b"), Ok(Command::Fetch(vec!["a".to_owned(), "b".to_owned()])));
    assert_eq!(said("FETCH"), Ok(Command::Fetch(vec!["default".to_owned()])));
    assert_eq!(said(r#"ACK {"jid":"123456789"}"#), Ok(Command::Ack("123456789".to_owned())));
    let Ok(Command::Beat(beat)) = said(r#"BEAT {"wid":"w1","current_state":"quiet"}"#) else {
        panic!("a beat")
    };
    assert_eq!(beat.current_state, Some(WorkerState::Quiet));
    for (text, says) in [
        ("", "unknown command"),
        ("GET / HTTP/1.1", "unknown command"),
        ("INFO all", "unknown command"),
        ("PUSHB []", "can't be had here"),
        ("PUSH {", "PUSH: EOF"),
        (r#"PUSH {"jid":"123456789","args":[]}"#, "missing field `jobtype`"),
        (r#"PUSH {"jid":"short","jobtype":"x","args":[]}"#, "a jid has 8 to 128"),
        (r#"PUSH {"jid":"123456789","jobtype":"x","args":[],"priority":10}"#, "a priority is from 1 to 9"),
        (r#"PUSH {"jid":"123456789","jobtype":"x","args":[],"queue":"a b"}"#, "a queue has a name"),
        (r#"PUSH {"jid":"123456789","jobtype":"x","args":[],"at":"2030-01-01"}"#, "jobs for later"),
        (r#"ACK "123456789""#, "ACK: invalid type"),
    ] {
        let what = said(text).expect_err(text);
        assert!(what.contains(says), "{text}: {what}");
    }
    assert!(read(b"\xff\xfe").is_err());
}

#[test]
fn answers_are_one_line_or_carry_their_length() {
    assert_eq!(Answer::Error("two\r\n+OK".to_owned()).bytes(), b"-ERR two  +OK\r\n");
    assert_eq!(Answer::Bulk("\u{e9}".to_owned()).bytes(), "$2\r\n\u{e9}\r\n".as_bytes());
    assert_eq!(Answer::Nothing.bytes(), b"$-1\r\n");
}

#[test]
fn only_the_right_password_is_let_in() {
    // By another program: sha256 of "passsalt", and of that.
    let once = "c8b2505b76926abdc733523caa9f439142f66aa7293a7baaac0aed41a191eef6";
    let twice = "f06d1f610df1d963cead6690d773236c607bb0f16194c589d35d6723ef17aee3";
    assert_eq!(
        (password_hash("pass", "salt", 1), password_hash("pass", "salt", 2)),
        (once.into(), twice.into())
    );
    let greeting = Greeting::with("pass", "salt", 1545);
    assert_eq!(greeting.says(), Answer::Hi(r#"{"i":1545,"s":"salt","v":2}"#.to_owned()));
    let hello = |hash: &str, version: u64| {
        let text = format!(r#"HELLO {{"wid":"w","v":{version},"pwdhash":"{hash}"}}"#);
        match read(text.as_bytes()) {
            Ok(Command::Hello(hello)) => greeting.admits(&hello),
            other => panic!("{other:?}"),
        }
    };
    let good = password_hash("pass", "salt", 1545);
    assert_eq!(hello(&good, 2), Ok(()));
    assert!(hello(&good, 1).is_err());
    for bad in ["", &good[1..], &password_hash("Pass", "salt", 1545), &format!("{good}0")] {
        assert_eq!(hello(bad, 2), Err("invalid password".to_owned()));
    }
}

fn job(token: u32, queue: &str, priority: u8) -> Handed<u32> {
    let jid = format!("job-{token:05}");
    let body = format!("{{\"jid\":\"{jid}\"}}");
    let reserve_for = Duration::from_millis(60_000);
    Handed { token, jid, queue: queue.to_owned(), priority, body, reserve_for }
}

fn table() -> (Reservations<u32>, usize) {
    let mut table = Reservations::new(Duration::from_millis(500), Duration::from_millis(15_000));
    let worker = table.hello(NOW, "w1");
    (table, worker)
}

fn queues(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_worker_gets_the_first_queue_that_has_a_job_and_the_highest_priority_in_it() {
    let (mut table, w) = table();
    for (token, queue, priority) in [(1, "b", 9), (2, "a", 5), (3, "a", 7), (4, "a", 7)] {
        assert!(table.hand(NOW, w, job(token, queue, priority)));
    }
    let mut fetched = Vec::new();
    while let Some((token, _)) = table.fetch(NOW, w, &queues(&["a", "b"])) {
        fetched.push(token);
    }
    assert_eq!(fetched, [3, 4, 2, 1]);
    assert_eq!(table.counts(), (0, 4));
}

#[test]
fn a_job_that_nobody_fetches_is_handed_back_unstarted() {
    let (mut table, w) = table();
    assert!(table.hand(NOW, w, job(1, "a", 5)));
    assert_eq!(table.due(after(499)).0, []);
    assert_eq!(table.due(after(500)).0, [(1, End::Unfetched)]);
    assert_eq!(table.fetch(after(501), w, &queues(&["a"])), None, "it is another's by now");
}

#[test]
fn a_worker_that_breaks_off_may_have_run_what_it_fetched() {
    let (mut table, w) = table();
    table.hello(NOW, "w1");
    for token in [1, 2] {
        assert!(table.hand(NOW, w, job(token, "a", 5)));
    }
    table.fetch(NOW, w, &queues(&["a"]));
    assert_eq!(table.broke(w), [], "it has another connection");
    assert_eq!(table.broke(w), [(1, End::Broken), (2, End::Unfetched)]);
    assert_eq!(table.standing(w), Standing::Gone);
    assert!(!table.hand(NOW, w, job(3, "a", 5)));
    assert_eq!(table.hello(NOW, "w1"), w, "it comes back under its name");
    assert!(table.settle(w, "job-00001", End::Done).is_err(), "and what it says late is known to be late");
}

#[test]
fn a_pause_of_heartbeats_costs_the_worker_what_it_has_and_a_late_word_is_told_so() {
    let (mut table, w) = table();
    table.hand(NOW, w, job(1, "a", 5));
    table.fetch(NOW, w, &queues(&["a"]));
    assert_eq!(table.beat(after(10_000), w, None), []);
    assert_eq!(table.due(after(24_999)), (vec![], vec![]));
    assert_eq!(table.due(after(25_000)), (vec![(1, End::Broken)], vec![w]));
    assert!(table.settle(w, "job-00001", End::Done).expect_err("late").contains("not reserved"));
    table.beat(after(26_000), w, None);
    assert_eq!(table.standing(w), Standing::Works);
}

#[test]
fn only_the_worker_that_fetched_a_job_settles_it_and_only_once() {
    let (mut table, w) = table();
    let other = table.hello(NOW, "w2");
    table.hand(NOW, w, job(1, "a", 5));
    assert!(table.settle(w, "job-00001", End::Done).expect_err("early").contains("not fetched"));
    table.fetch(NOW, w, &queues(&["a"]));
    assert!(table.settle(other, "job-00001", End::Done).expect_err("foreign").contains("another worker"));
    assert_eq!(table.settle(w, "job-00001", End::Done), Ok((1, End::Done)));
    assert!(table.settle(w, "job-00001", End::Failed).is_err());
    assert!(table.hand(NOW, w, job(2, "a", 5)));
    assert!(!table.hand(NOW, other, job(2, "a", 5)), "one job is at one worker");
}

#[test]
fn a_quiet_worker_finishes_what_it_has_and_a_reservation_ends() {
    let (mut table, w) = table();
    for token in [1, 2] {
        table.hand(NOW, w, job(token, "a", 5));
    }
    table.fetch(NOW, w, &queues(&["a"]));
    assert_eq!(table.beat(NOW, w, Some(WorkerState::Quiet)), [(2, End::Unfetched)]);
    assert_eq!(table.fetch(NOW, w, &queues(&["a"])), None);
    for beat in 1..=6 {
        table.beat(after(beat * 10_000), w, Some(WorkerState::Quiet));
    }
    assert_eq!(table.due(after(60_000)).0, [(1, End::Expired)]);
    table.hello(NOW, "w1");
    assert_eq!(table.withdraw(1), None);
}

proptest! {
    // The same cases each time.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused_and_never_stop_the_reader(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut rest = &bytes[..];
        while let Ok(Some((text, length))) = line(rest) {
            prop_assert!(length > 0 && text.len() < length);
            let _ = read(text);
            rest = &rest[length..];
        }
    }

    #[test]
    fn pieces_make_no_difference(cuts in proptest::collection::vec(1_usize..9, 1..40)) {
        let whole = b"FETCH a b\r\nINFO\r\nACK {\"jid\":\"123456789\"}\r\nEND\r\n";
        let (mut held, mut fed, mut found) = (Vec::new(), 0, Vec::new());
        for cut in cuts.iter().cycle() {
            let end = (fed + cut).min(whole.len());
            held.extend_from_slice(&whole[fed..end]);
            fed = end;
            while let Some((text, length)) = line(&held).expect("short lines") {
                found.push(read(text).expect("good commands"));
                held.drain(..length);
            }
            if fed == whole.len() {
                break;
            }
        }
        prop_assert_eq!(found.len(), 4);
        prop_assert_eq!(&found[3], &Command::End);
    }

    /// Whatever happens in whatever order: of each job that was taken one end is told, or it is still held, or it was
    /// withdrawn, and none is told twice.
    #[test]
    fn of_each_job_one_end_is_told(steps in proptest::collection::vec((0_u8..8, 0_usize..3, 0_u32..12), 1..300)) {
        let mut table: Reservations<u32> = Reservations::new(Duration::from_millis(500), Duration::from_millis(3000));
        let (mut now, mut taken, mut told) = (NOW, BTreeMap::<u32, bool>::new(), Vec::new());
        for wid in ["w0", "w1", "w2"] {
            table.hello(now, wid);
        }
        for (what, worker, number) in steps {
            now = now + Duration::from_millis(100);
            match what {
                0 | 1 => {
                    let token = taken.len() as u32 + 100;
                    if table.hand(now, worker, job(token, "a", (number % 9 + 1) as u8)) {
                        taken.insert(token, false);
                    }
                }
                2 | 3 => drop(table.fetch(now, worker, &queues(&["a"]))),
                4 => {
                    let jid = format!("job-{:05}", number + 100);
                    told.extend(table.settle(worker, &jid, if number % 2 == 0 { End::Done } else { End::Failed }));
                }
                5 => {
                    told.extend(table.broke(worker));
                    table.hello(now, ["w0", "w1", "w2"][worker]);
                }
                6 => {
                    if table.withdraw(number + 100).is_some() {
                        taken.insert(number + 100, true);
                    }
                }
                _ => {
                    told.extend(table.beat(now, worker, None));
                    told.extend(table.due(now).0);
                }
            }
        }
        let (waits, fetched) = table.counts();
        let withdrawn = taken.values().filter(|gone| **gone).count();
        let mut tokens: Vec<u32> = told.iter().map(|(token, _)| *token).collect();
        tokens.sort_unstable();
        let count = tokens.len();
        tokens.dedup();
        prop_assert_eq!(tokens.len(), count, "one told twice");
        prop_assert_eq!(count + waits + fetched + withdrawn, taken.len());
    }
}

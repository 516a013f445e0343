//! Stories of jobs that outlive the process: real nodes that are killed and started anew.

use crate::done;
use crate::fake::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[test]
fn a_job_is_taken_once_and_its_end_can_be_asked_for_also_after_a_kill() {
    let (listens, ledger) = (listener(), Folder::new());
    let world = World::lasting(&[&listens], &ledger, None);
    assert_eq!(world.bring_to_last("u1", "search", 9000), 202);
    let mut executor = accept(&listens);
    let sent = executor.hear();
    assert_eq!((sent.start.as_str(), sent.body.as_str()), ("POST /search HTTP/1.1", "work"));
    executor.answer(202, "");
    assert_eq!(world.bring_to_last("u1", "search", 9000), 202, "a client that did not hear the answer");
    assert_eq!(world.lasting_end("u1").status(), 202);
    assert_eq!(world.lasting_end("u2").status(), 404);
    assert_eq!(world.call_back("u1", done("so be it")), 204);
    let end = world.lasting_ends("u1");
    assert_eq!((end.status(), end.body.as_str()), (200, "so be it"));
    assert_eq!((world.counter("units"), world.counter("fulfilled"), world.counter("allocations")), (1, 1, 1));
    world.kill();
    let world = World::lasting(&[&listens], &ledger, None);
    let end = world.lasting_end("u1");
    assert_eq!((end.status(), end.body.as_str()), (200, "so be it"));
    assert_eq!(world.bring_to_last("u1", "search", 9000), 202, "and it runs no second time");
    assert_eq!(world.counter("allocations"), 0);
}

#[test]
fn a_binding_job_that_may_be_running_is_settled_and_never_sent_again() {
    let (listens, ledger) = (listener(), Folder::new());
    let world = World::lasting(&[&listens], &ledger, None);
    for id in ["done", "failed", "silent", "returned"] {
        assert_eq!(world.bring_to_last(id, "reserve", 2500), 202);
        let mut executor = accept(&listens);
        assert_eq!(executor.hear().header("X-Call-Id"), Some(id));
        executor.answer(202, "Connection: close\r\n");
    }
    world.kill();
    let world = World::lasting(&[&listens], &ledger, None);
    assert_eq!(world.call_back("done", done("so be it")), 204);
    assert_eq!(world.lasting_ends("done").body, "so be it");
    assert_eq!(world.call_back("failed", json!({"state": "failed"})), 204);
    assert_eq!(world.lasting_ends("failed").status(), 500);
    assert_eq!(world.call_back("returned", json!({"state": "returned"})), 204);
    let mut executor = accept(&listens);
    assert_eq!(
        executor.hear().header("X-Call-Id"),
        Some("returned"),
        "handed back unstarted: it may be sent"
    );
    executor.answer(202, "Connection: close\r\n");
    assert_eq!(world.call_back("returned", done("the second time")), 204);
    assert_eq!(world.lasting_ends("returned").body, "the second time");
    assert_eq!(world.lasting_ends("silent").status(), 500, "when its patience ends");
    assert_eq!(world.call_back("silent", done("too late")), 204);
    assert_eq!((world.lasting_end("silent").status(), world.counter("allocations")), (500, 1));
}

#[test]
fn a_retriable_job_goes_on_at_an_executor_that_has_it_and_is_placed_anew_when_that_is_silent() {
    let (listens, ledger) = (listener(), Folder::new());
    let world = World::lasting(&[&listens], &ledger, None);
    for id in ["runs", "lost"] {
        assert_eq!(world.bring_to_last(id, "search", 9000), 202);
        let mut executor = accept(&listens);
        assert_eq!(executor.hear().header("X-Call-Id"), Some(id));
        executor.answer(202, "Connection: close\r\n");
    }
    world.kill();
    let world = World::lasting(&[&listens], &ledger, None);
    // Of one the executor tells at its pace; of the other it says nothing, as it has lost it.
    let mut executor = {
        listens.set_nonblocking(true).expect("a mode");
        loop {
            assert_eq!(world.call_back("runs", json!({"state": "running"})), 204);
            if let Ok((stream, _)) = listens.accept() {
                stream.set_nonblocking(false).expect("a mode");
                break Talk::over(stream);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    assert_eq!(executor.hear().header("X-Call-Id"), Some("lost"));
    executor.answer(202, "");
    assert_eq!(world.call_back("lost", done("anew")), 204);
    assert_eq!(world.call_back("runs", done("as it was")), 204);
    assert_eq!(
        (world.lasting_ends("lost").body, world.lasting_ends("runs").body),
        ("anew".into(), "as it was".into())
    );
    assert_eq!(world.counter("allocations"), 1);
}

#[test]
fn what_was_never_sent_is_placed_in_the_next_life_and_what_came_too_late_is_turned_back() {
    let (refuses, ledger) = (refusing(), Folder::new());
    let world = World::lasting(&[], &ledger, None);
    assert_eq!(world.bring_to_last("later", "reserve", 5000), 202);
    assert_eq!(world.bring_to_last("over", "reserve", 30), 202);
    world.kill();
    std::thread::sleep(Duration::from_millis(40)); // at least as long, which is what counts
    drop(refuses);
    let listens = listener();
    let world = World::lasting(&[&listens], &ledger, None);
    assert_eq!(world.lasting_ends("over").status(), 503);
    let mut executor = accept(&listens);
    assert_eq!(executor.hear().header("X-Call-Id"), Some("later"));
    executor.answer(202, "");
    assert_eq!(world.call_back("later", done("")), 204);
    assert_eq!(world.lasting_ends("later").status(), 200);
}

#[test]
fn a_ledger_has_one_process_and_without_one_there_is_no_such_path() {
    let (listens, ledger) = (listener(), Folder::new());
    let world = World::lasting(&[&listens], &ledger, None);
    let (ended, log) = world.start_another_with(&world.posting_file().with_file_name("fronts.toml"));
    assert!(!ended.success() && log.contains("ledger.folder") && log.contains("another process"), "{log}");
    assert_eq!(world.bring_to_last("u1", "search", 9000), 202);
    let plain = World::around(&listens);
    assert_eq!(plain.bring_to_last("u1", "search", 9000), 400, "no tariff has that name");
    assert_eq!(plain.lasting_end("u1").status(), 404);
}

/// One call-back; whether the node has taken it. A node that is killed meanwhile has not.
fn takes(node: SocketAddr, id: &str) -> bool {
    let body = json!({"id": id, "from": "s-0", "state": "done", "result": id}).to_string();
    let call = format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let said = TcpStream::connect(node).and_then(|mut stream| {
        stream.write_all(call.as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line)
    });
    said.is_ok_and(|line| line.contains(" 204 "))
}

/// The id of the next request on a connection; nothing if the node is gone.
fn next_id(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut id, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|read| *read > 0)?;
        match line.trim_end().split_once(": ") {
            Some(("X-Call-Id", value)) => id = Some(value.to_owned()),
            Some(("Content-Length", value)) => length = value.parse().ok()?,
            None if line.trim_end().is_empty() => break,
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).ok()?;
    id
}

/// An executor that runs what it gets after a moment, and calls back until it is heard, or the story ends. Counts how
/// often each job ran.
fn runs_all(
    listens: TcpListener,
    node: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    ends: Arc<AtomicBool>,
) {
    for stream in listens.incoming() {
        let Ok(stream) = stream else { return };
        let (runs, ends, mut stream) = (runs.clone(), ends.clone(), BufReader::new(stream));
        std::thread::spawn(move || {
            while let Some(id) = next_id(&mut stream) {
                let (runs, ends) = (runs.clone(), ends.clone());
                std::thread::spawn(move || {
                    *runs.lock().expect("nobody panics").entry(id.clone()).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(15));
                    while !ends.load(Ordering::Relaxed) && !takes(node, &id) {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                });
                // A node that is gone does not hear that the job was taken.
                let _ = stream.get_mut().write_all(b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n");
            }
        });
    }
}

#[test]
fn killed_again_and_again_each_job_has_one_end_and_no_binding_one_runs_twice() {
    // Another seed and number are for long measurements.
    let asked =
        |name: &str, usual: u64| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(usual);
    let (seed, lives) = (asked("STORY_SEED", 3), asked("STORY_LIVES", 12));
    let mut chance = Pcg32::seed_from_u64(seed);
    let (listens, ledger) = (listener(), Folder::new());
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let over = Arc::new(AtomicBool::new(false));
    let own = listens.try_clone().expect("one more of it");
    let mut world = World::lasting(&[&listens], &ledger, None);
    let node = world.node;
    {
        let (runs, ends) = (runs.clone(), over.clone());
        std::thread::spawn(move || runs_all(own, node, runs, ends));
    }
    let mut jobs: Vec<(String, bool)> = Vec::new();
    for life in 0..lives {
        for number in 0..4 {
            let (id, binding) = (format!("job-{life:04}-{number}"), chance.random::<bool>());
            assert_eq!(world.bring_to_last(&id, if binding { "reserve" } else { "search" }, 4500), 202);
            jobs.push((id, binding));
        }
        std::thread::sleep(Duration::from_millis(chance.random_range(0..25)));
        world.kill();
        world = World::lasting(&[&listens], &ledger, Some(node));
    }
    let mut ends: BTreeMap<u16, u32> = BTreeMap::new();
    for (id, binding) in &jobs {
        let end = world.lasting_ends(id);
        let status = end.status();
        *ends.entry(status).or_default() += 1;
        let ran = runs.lock().expect("nobody panics").get(id).copied().unwrap_or(0);
        assert!(!binding || ran <= 1, "{id} ran {ran} times");
        assert!(status != 200 || (ran > 0 && end.body == *id), "{id}");
        assert!(status != 503 || !binding || ran == 0, "{id} was turned back and had run");
        assert_eq!(world.lasting_end(id).status(), status, "the same whenever it is asked for");
    }
    over.store(true, Ordering::Relaxed);
    println!("lives {lives}, jobs {}, ends {ends:?}", jobs.len());
    assert!(ends[&200] as usize * 2 > jobs.len(), "{ends:?}");
}

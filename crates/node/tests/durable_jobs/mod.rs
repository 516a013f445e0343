//! Durable jobs, which survive a restart of the node: each test kills nodes and starts new ones on the same job log.

use crate::done_callback;
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
fn a_job_is_accepted_once_and_its_result_survives_a_kill() {
    let (listener, job_log) = (listener(), Folder::new());
    let world = World::with_job_log(&[&listener], &job_log, None);
    assert_eq!(world.submit_durable("u1", "search", 9000), 202);
    let mut executor = accept(&listener);
    let attempt = executor.receive();
    assert_eq!((attempt.start.as_str(), attempt.body.as_str()), ("POST /search HTTP/1.1", "work"));
    executor.answer(202, "");
    assert_eq!(world.submit_durable("u1", "search", 9000), 202, "a client that did not get the response");
    assert_eq!(world.durable_result("u1").status(), 202);
    assert_eq!(world.durable_result("u2").status(), 404);
    assert_eq!(world.send_callback("u1", done_callback("result 1")), 204);
    let result = world.wait_for_durable_result("u1");
    assert_eq!((result.status(), result.body.as_str()), (200, "result 1"));
    assert_eq!((world.counter("units"), world.counter("fulfilled"), world.counter("allocations")), (1, 1, 1));
    world.kill();
    let world = World::with_job_log(&[&listener], &job_log, None);
    let result = world.durable_result("u1");
    assert_eq!((result.status(), result.body.as_str()), (200, "result 1"));
    assert_eq!(world.submit_durable("u1", "search", 9000), 202, "submitted again, it does not run again");
    assert_eq!(world.counter("allocations"), 0);
}

#[test]
fn a_non_idempotent_job_that_may_be_running_is_resolved_and_never_sent_again() {
    let (listener, job_log) = (listener(), Folder::new());
    let world = World::with_job_log(&[&listener], &job_log, None);
    for id in ["done", "failed", "silent", "returned"] {
        assert_eq!(world.submit_durable(id, "reserve", 2500), 202);
        let mut executor = accept(&listener);
        assert_eq!(executor.receive().header("X-Call-Id"), Some(id));
        executor.answer(202, "Connection: close\r\n");
    }
    world.kill();
    let world = World::with_job_log(&[&listener], &job_log, None);
    assert_eq!(world.send_callback("done", done_callback("result 1")), 204);
    assert_eq!(world.wait_for_durable_result("done").body, "result 1");
    assert_eq!(world.send_callback("failed", json!({"state": "failed"})), 204);
    assert_eq!(world.wait_for_durable_result("failed").status(), 500);
    assert_eq!(world.send_callback("returned", json!({"state": "returned"})), 204);
    let mut executor = accept(&listener);
    assert_eq!(
        executor.receive().header("X-Call-Id"),
        Some("returned"),
        "a job that was returned without being started may be sent again"
    );
    executor.answer(202, "Connection: close\r\n");
    assert_eq!(world.send_callback("returned", done_callback("result 2")), 204);
    assert_eq!(world.wait_for_durable_result("returned").body, "result 2");
    assert_eq!(world.wait_for_durable_result("silent").status(), 500, "at its deadline");
    assert_eq!(world.send_callback("silent", done_callback("result after the deadline")), 204);
    assert_eq!((world.durable_result("silent").status(), world.counter("allocations")), (500, 1));
}

#[test]
fn an_idempotent_job_stays_with_an_executor_that_reports_progress_and_is_sent_again_if_there_is_none() {
    let (listener, job_log) = (listener(), Folder::new());
    let world = World::with_job_log(&[&listener], &job_log, None);
    for id in ["runs", "lost"] {
        assert_eq!(world.submit_durable(id, "search", 9000), 202);
        let mut executor = accept(&listener);
        assert_eq!(executor.receive().header("X-Call-Id"), Some(id));
        executor.answer(202, "Connection: close\r\n");
    }
    world.kill();
    let world = World::with_job_log(&[&listener], &job_log, None);
    // The executor reports progress of one job only, until the node sends the other one again.
    let mut executor = {
        listener.set_nonblocking(true).expect("set to non-blocking");
        loop {
            assert_eq!(world.send_callback("runs", json!({"state": "running"})), 204);
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).expect("set to blocking");
                break TestConnection::from_stream(stream);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    assert_eq!(executor.receive().header("X-Call-Id"), Some("lost"));
    executor.answer(202, "");
    assert_eq!(world.send_callback("lost", done_callback("second attempt")), 204);
    assert_eq!(world.send_callback("runs", done_callback("first attempt")), 204);
    assert_eq!(
        (world.wait_for_durable_result("lost").body, world.wait_for_durable_result("runs").body),
        ("second attempt".into(), "first attempt".into())
    );
    assert_eq!(world.counter("allocations"), 1);
}

#[test]
fn after_a_restart_an_unsent_job_is_dispatched_or_rejected_if_its_deadline_has_passed() {
    let (refusing_listener, job_log) = (refusing_listener(), Folder::new());
    let world = World::with_job_log(&[], &job_log, None);
    assert_eq!(world.submit_durable("later", "reserve", 5000), 202);
    assert_eq!(world.submit_durable("over", "reserve", 30), 202);
    world.kill();
    // Longer than the 30 ms of the second job. A longer sleep does no harm.
    std::thread::sleep(Duration::from_millis(40));
    drop(refusing_listener);
    let listener = listener();
    let world = World::with_job_log(&[&listener], &job_log, None);
    assert_eq!(world.wait_for_durable_result("over").status(), 503);
    let mut executor = accept(&listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("later"));
    executor.answer(202, "");
    assert_eq!(world.send_callback("later", done_callback("")), 204);
    assert_eq!(world.wait_for_durable_result("later").status(), 200);
}

#[test]
fn a_job_log_belongs_to_one_process_and_without_one_there_are_no_durable_jobs() {
    let (listener, job_log) = (listener(), Folder::new());
    let world = World::with_job_log(&[&listener], &job_log, None);
    let (status, log) = world.start_another_with(&world.config_path().with_file_name("fronts.toml"));
    assert!(!status.success() && log.contains("ledger.folder") && log.contains("another process"), "{log}");
    assert_eq!(world.submit_durable("u1", "search", 9000), 202);
    let without_log = World::with_executor(&listener);
    assert_eq!(without_log.submit_durable("u1", "search", 9000), 400, "the path must begin with its class");
    assert_eq!(without_log.durable_result("u1").status(), 404);
}

/// Sends one callback with a result. Returns whether the node accepted it: not if it is killed meanwhile.
fn send_callback(node: SocketAddr, id: &str) -> bool {
    let body = json!({"id": id, "from": "s-0", "state": "done", "result": id}).to_string();
    let request = format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let status_line = TcpStream::connect(node).and_then(|mut stream| {
        stream.write_all(request.as_bytes())?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line)
    });
    status_line.is_ok_and(|line| line.contains(" 204 "))
}

/// Reads the next request on a connection and returns its ID; `None` if the node has closed the connection.
fn read_request_id(stream: &mut BufReader<TcpStream>) -> Option<String> {
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

/// An executor that completes each request after a short time, and repeats its callback until the node accepts it or
/// the test ends. Counts in `run_counts` how often each job ran.
fn run_executor(
    listener: TcpListener,
    node: SocketAddr,
    run_counts: Arc<Mutex<BTreeMap<String, u32>>>,
    test_ended: Arc<AtomicBool>,
) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let (run_counts, test_ended, mut stream) =
            (run_counts.clone(), test_ended.clone(), BufReader::new(stream));
        std::thread::spawn(move || {
            while let Some(id) = read_request_id(&mut stream) {
                let (run_counts, test_ended) = (run_counts.clone(), test_ended.clone());
                std::thread::spawn(move || {
                    *run_counts.lock().expect("not poisoned").entry(id.clone()).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(15));
                    while !test_ended.load(Ordering::Relaxed) && !send_callback(node, &id) {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                });
                // Writing fails if the node was killed, which then does not learn that the request was accepted.
                let _ = stream.get_mut().write_all(b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n");
            }
        });
    }
}

/// Kills the node at random times. Guards against jobs without a result or with a result that changes, and against
/// non-idempotent jobs that run twice.
#[test]
fn across_repeated_kills_each_job_has_one_result_and_no_non_idempotent_job_runs_twice() {
    // Long measurements set other values.
    let parameter = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
    };
    let (seed, processes) = (parameter("STORY_SEED", 3), parameter("STORY_LIVES", 12));
    let mut rng = Pcg32::seed_from_u64(seed);
    let (listener, job_log) = (listener(), Folder::new());
    let run_counts = Arc::new(Mutex::new(BTreeMap::new()));
    let test_ended = Arc::new(AtomicBool::new(false));
    let executor_listener = listener.try_clone().expect("the listener is cloned");
    let mut world = World::with_job_log(&[&listener], &job_log, None);
    let node = world.node;
    {
        let (run_counts, test_ended) = (run_counts.clone(), test_ended.clone());
        std::thread::spawn(move || run_executor(executor_listener, node, run_counts, test_ended));
    }
    let mut jobs: Vec<(String, bool)> = Vec::new();
    for process in 0..processes {
        for number in 0..4 {
            let (id, non_idempotent) = (format!("job-{process:04}-{number}"), rng.random::<bool>());
            assert_eq!(
                world.submit_durable(&id, if non_idempotent { "reserve" } else { "search" }, 4500),
                202
            );
            jobs.push((id, non_idempotent));
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(0..25)));
        world.kill();
        world = World::with_job_log(&[&listener], &job_log, Some(node));
    }
    let mut status_counts: BTreeMap<u16, u32> = BTreeMap::new();
    for (id, non_idempotent) in &jobs {
        let result = world.wait_for_durable_result(id);
        let status = result.status();
        *status_counts.entry(status).or_default() += 1;
        let ran = run_counts.lock().expect("not poisoned").get(id).copied().unwrap_or(0);
        assert!(!non_idempotent || ran <= 1, "{id} ran {ran} times");
        assert!(status != 200 || (ran > 0 && result.body == *id), "{id}");
        assert!(status != 503 || !non_idempotent || ran == 0, "{id} was answered 503 and had run");
        assert_eq!(world.durable_result(id).status(), status, "the result stays the same");
    }
    test_ended.store(true, Ordering::Relaxed);
    println!("processes {processes}, jobs {}, statuses {status_counts:?}", jobs.len());
    assert!(status_counts[&200] as usize * 2 > jobs.len(), "{status_counts:?}");
}

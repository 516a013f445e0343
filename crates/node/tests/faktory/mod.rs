//! Tests of the Faktory frontend: jobs that come or are fetched by it, beside HTTP, and workers that misbehave.

use crate::fake::*;
use crate::{done_callback, open_watch};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

fn ack(jid: &str) -> String {
    format!("ACK {{\"jid\":\"{jid}\"}}")
}

#[test]
fn a_pushed_job_is_fetched_and_its_client_is_answered_when_it_is_done() {
    let world = World::with_faktory(&[], "");
    let mut worker = world.worker("w1");
    worker.send("FETCH reserve search\r\n");
    let mut client = world.push("job-00001", "search", "");
    let job = worker.receive_bulk().expect("the job");
    assert_eq!((job["jid"].as_str(), job["args"][0].as_u64()), (Some("job-00001"), Some(1)));
    assert_eq!(worker.exchange_line(&ack("job-00001")), "+OK");
    assert_eq!(client.read_line(), "+OK");
    assert!(worker.exchange_line(&ack("job-00001")).contains("not reserved"));
    assert_eq!(
        (world.counter("fulfilled"), world.counter("allocations"), world.counter("relayed")),
        (1, 1, 1)
    );
    let metrics = world.ask_console("GET /stats").body;
    assert!(
        metrics.contains("node.fulfilled.search:1|c") && metrics.contains("node.registry_entries:1|g"),
        "{metrics}"
    );
    // The connection stays open for further commands.
    client.send("PUSH {\"jid\":\"job-00002\",\"jobtype\":\"import\",\"queue\":\"search\",\"args\":[]}\r\n");
    worker.send("FETCH search\r\n");
    assert_eq!(worker.receive_bulk().expect("the next")["jid"], "job-00002");
    worker.send("FAIL {\"jid\":\"job-00002\",\"errtype\":\"X\",\"message\":\"no\"}\r\nFETCH search\r\n");
    assert_eq!(worker.read_line(), "+OK");
    assert_eq!(worker.receive_bulk().expect("tried again, as its effect allows")["jid"], "job-00002");
    assert_eq!(worker.exchange_line(&ack("job-00002")), "+OK");
    assert_eq!(client.read_line(), "+OK");
}

#[test]
fn pushed_jobs_run_at_http_executors_and_http_requests_at_workers() {
    let executor_listener = listener();
    let world = World::with_faktory(&[&executor_listener], "");
    let mut client = world.push("job-00001", "search", ",\"custom\":{\"cost_us\":500000}");
    let mut executor = accept(&executor_listener);
    let sent = executor.receive();
    assert_eq!((sent.start.as_str(), sent.header("X-Call-Id")), ("POST /search HTTP/1.1", Some("job-00001")));
    assert!(sent.body.contains("\"jobtype\":\"import\""), "{}", sent.body);
    executor.answer(202, "");
    assert_eq!(world.send_callback("job-00001", done_callback("whatever")), 204);
    assert_eq!(client.read_line(), "+OK");
    drop((executor, executor_listener));
    let (mut discovery, _) = open_watch(&world);
    discovery.send(&crate::chunk("{\"generation\":42,\"reset\":true,\"instances\":[]}\n"));
    world.wait_for_counter("list_lines", 1);
    let mut worker = world.worker("w1");
    worker.send("FETCH search\r\n");
    let mut over_http = world.submit("u2", "search", 5000);
    let job = worker.receive_bulk().expect("the request as a job");
    assert_eq!((job["jid"].as_str(), job["args"][0].as_str()), (Some("u2"), Some("work")));
    assert_eq!(worker.exchange_line(&ack("u2")), "+OK");
    assert_eq!(over_http.receive().status(), 200);
    // A complete list of discovery does not remove workers.
    discovery.send(&crate::chunk("{\"generation\":43,\"reset\":true,\"instances\":[]}\n"));
    world.wait_for_counter("list_lines", 2);
    assert!(world.ask_console("GET /stats").body.contains("node.registry_entries:1|g"));
}

#[test]
fn a_non_idempotent_job_of_a_disconnected_worker_fails_and_does_not_run_again() {
    let world = World::with_faktory(&[], "");
    let mut worker = world.worker("w1");
    worker.send("FETCH reserve\r\n");
    let mut client = world.push("job-00001", "reserve", "");
    assert!(worker.receive_bulk().is_some());
    drop(worker);
    assert!(client.read_line().starts_with("-ERR forfeited"), "at once, long before its deadline");
    let mut next = world.worker("w2");
    next.send("FETCH reserve search\r\n");
    assert_eq!(next.receive_bulk(), None, "no other worker gets it");
    // A retriable job goes on to the next worker.
    next.send("FETCH search\r\n");
    let mut client = world.push("job-00002", "search", "");
    assert!(next.receive_bulk().is_some());
    drop(next);
    let mut last = world.worker("w3");
    last.send("FETCH search\r\n");
    assert_eq!(last.receive_bulk().expect("the job was sent again")["jid"], "job-00002");
    assert_eq!(last.exchange_line(&ack("job-00002")), "+OK");
    assert_eq!(client.read_line(), "+OK");
}

#[test]
fn a_worker_without_heartbeats_loses_its_job_and_gets_an_error_later() {
    let world = World::with_faktory(&[], "silent_after_s = 1\n");
    let mut worker = world.worker("w1");
    worker.send("FETCH reserve\r\n");
    let mut client = world.push("job-00001", "reserve", "");
    assert!(worker.receive_bulk().is_some());
    assert!(client.read_line().starts_with("-ERR forfeited"));
    assert!(worker.exchange_line(&ack("job-00001")).contains("not reserved"));
    assert_eq!(worker.exchange_line("BEAT {\"wid\":\"w1\"}"), "+OK");
    assert!(
        world.ask_console("GET /stats").body.contains("node.registry_entries:1|g"),
        "the worker is listed again"
    );
}

#[test]
fn rejected_commands_get_errors_of_the_protocol() {
    let world = World::with_faktory(&[], "");
    let mut worker = world.worker("w1");
    worker.send("FETCH search\r\n");
    let _waiting = world.push("job-00001", "search", "");
    assert!(worker.receive_bulk().is_some());
    let other = "ACK {\"jid\":\"job-00001\"}";
    let mut second = world.worker("w2");
    assert!(second.exchange_line(other).contains("another worker"));
    let expected = [
        ("job-00001", "search", "", "in hand"),
        ("job-00002", "no-such", "", "no tariff"),
        ("short", "search", "", "a jid has"),
        ("job-00003", "search", ",\"at\":\"2030-01-01T00:00:00Z\"", "jobs for later"),
        ("job-00004", "search", ",\"custom\":{\"patience_ms\":\"soon\"}", "custom.patience_ms"),
    ];
    for (jid, queue, extra_fields, expected_text) in expected {
        let answer = world.push(jid, queue, extra_fields).read_line();
        assert!(answer.starts_with("-ERR") && answer.contains(expected_text), "{answer}");
    }
    let mut client_without_hello = world.connect_faktory();
    assert!(client_without_hello.exchange_line("INFO").contains("say HELLO first"));
    assert!(client_without_hello.exchange_line("HELLO {\"v\":1}").contains("version"));
    assert!(client_without_hello.is_closed());
    let mut client = world.connect_faktory();
    assert_eq!(client.exchange_line("HELLO {\"v\":2}"), "+OK");
    assert!(client.exchange_line("FETCH search").contains("only workers"));
    assert!(client.exchange_line("FLUSH").contains("can't be had"));
    client.send("INFO\r\n");
    assert_eq!(client.receive_bulk().expect("the metrics")["faktory"]["workers"], 2);
    assert_eq!(client.exchange_line("END"), "+OK");
    assert!(client.is_closed());
    let mut overlong_client = world.connect_faktory();
    assert!(overlong_client.exchange_line(&"x".repeat(100_000)).contains("a command is a line"));
    assert!(overlong_client.is_closed());
}

#[test]
fn a_command_in_single_bytes_and_an_incomplete_command() {
    let world = World::with_faktory(&[], "");
    let mut slow = world.connect_faktory();
    for byte in "HELLO {\"wid\":\"w1\",\"v\":2}\r\nBEAT {\"wid\":\"w1\"}\r\n".bytes() {
        slow.send(std::str::from_utf8(&[byte]).expect("one letter"));
    }
    assert_eq!((slow.read_line(), slow.read_line()), ("+OK".to_owned(), "+OK".to_owned()));
    let mut half = world.connect_faktory();
    half.send("HELLO {\"v\"");
    assert!(half.is_closed(), "a connection without HELLO is closed in time");
    assert_eq!(slow.exchange_line("BEAT {\"wid\":\"w1\"}"), "+OK", "other connections stay open");
}

#[test]
fn the_job_of_a_disconnected_client_is_withdrawn() {
    let world = World::with_faktory(&[], "");
    let mut worker = world.worker("w1");
    worker.send("FETCH search\r\n");
    let client = world.push("job-00001", "search", "");
    assert!(worker.receive_bulk().is_some());
    drop(client);
    world.wait_for_counter("withdrawn", 1);
    assert!(worker.exchange_line(&ack("job-00001")).contains("not reserved"));
    assert!(world.ask_console("GET /stats").body.contains("node.open_requests:0|g"));
}

#[test]
fn a_password_is_required_and_many_idle_workers_take_no_descriptors_of_others() {
    let world = World::with_faktory(&[], "password = \"p\"\nmost_connections = 8\n");
    let mut first = world.connect_faktory();
    assert!(
        first.exchange_line("HELLO {\"wid\":\"w1\",\"v\":2,\"pwdhash\":\"00\"}").contains("invalid password")
    );
    assert!(first.is_closed());
    // Of four hundred connections eight are kept, and the console answers as before.
    let mut crowd: Vec<TestConnection> = (0..400)
        .map(|_| {
            TestConnection::from_stream(
                std::net::TcpStream::connect(world.faktory.expect("the node has a Faktory frontend"))
                    .expect("the frontend listens"),
            )
        })
        .collect();
    let full_listener = crowd
        .iter_mut()
        .filter_map(|peer| peer.read_line().starts_with("-ERR no connection").then_some(()))
        .count();
    assert!(full_listener >= 392, "{full_listener}");
    assert_eq!(
        world.ask_console("GET /healthcheck").status(),
        503,
        "there is no executor, and the console answers"
    );
}

#[test]
fn a_drained_node_hands_out_no_jobs_and_completes_open_ones() {
    let world = World::with_faktory(&[], "");
    let mut worker = world.worker("w1");
    worker.send("FETCH search\r\n");
    let mut client = world.push("job-00001", "search", "");
    assert!(worker.receive_bulk().is_some());
    assert_eq!(world.ask_console("POST /healthcheck/fail").status(), 200);
    assert!(world.push("job-00002", "search", "").read_line().contains("turned back"));
    worker.send("FETCH search\r\nBEAT {\"wid\":\"w1\"}\r\n");
    assert_eq!(worker.receive_bulk(), None);
    assert_eq!(worker.receive_bulk().expect("a state")["state"], "quiet");
    world.signal("TERM");
    assert_eq!(worker.exchange_line(&ack("job-00001")), "+OK");
    assert_eq!(client.read_line(), "+OK");
    assert!(world.wait_for_exit().success());
}

#[test]
fn after_a_kill_the_next_process_does_not_know_the_job_and_sends_it_to_no_worker() {
    let world = World::with_faktory(&[], "");
    let mut worker = world.worker("w1");
    worker.send("FETCH reserve\r\n");
    let mut client = world.push("job-00001", "reserve", "");
    assert!(worker.receive_bulk().is_some());
    world.kill();
    assert_eq!(client.read_line(), "", "the connection of the client is closed without an answer");
    let next = World::with_faktory(&[], "");
    let mut worker = next.worker("w1");
    assert!(worker.exchange_line(&ack("job-00001")).contains("not reserved"));
    worker.send("FETCH reserve\r\n");
    assert_eq!(worker.receive_bulk(), None);
}

#[test]
fn an_invalid_frontend_file_ends_the_node_at_its_start() {
    let folder = Folder::new();
    let path = folder.0.join("fronts.toml");
    for (text, expected) in [
        ("[faktory]\nlisten = \"here\"\n", "faktory.listen: invalid socket address"),
        ("[faktory]\nlisten = \"127.0.0.1:0\"\nmost = 1\n", "faktory.most: unknown field"),
        (
            "[faktory]\nlisten = \"127.0.0.1:0\"\nsilent_after_s = 0\n",
            "faktory.silent_after_s: expected a whole number from 1",
        ),
        ("[resque]\n", "resque: unknown field"),
    ] {
        std::fs::write(&path, text).expect("the frontend file is written");
        let world = World::with_console(&[]);
        let (ended, log) = world.start_another_with(&path);
        assert!(!ended.success() && log.contains(expected), "{expected}: {log}");
    }
}

/// Uses the published client library with this frontend.
#[test]
fn the_published_client_library_pushes_a_job_and_its_worker_runs_it() {
    let world = World::with_faktory(&[], "password = \"secret\"\n");
    let url = format!("tcp://:secret@{}", world.faktory.expect("the node has a Faktory frontend"));
    let worker_url = url.clone();
    let worker = std::thread::spawn(move || {
        let mut consumer = faktory::ConsumerBuilder::<std::io::Error>::default();
        consumer.register("import", |job: faktory::Job| {
            assert_eq!(job.args().len(), 2);
            Ok(())
        });
        let mut consumer = consumer.connect(Some(&worker_url)).expect("the connection is admitted");
        while !consumer.run_one(0, &["search"]).expect("the worker fetches") {}
    });
    let mut producer = faktory::Producer::connect(Some(&url)).expect("the connection is admitted");
    let mut job = faktory::Job::new("import", vec!["a", "b"]);
    job.queue = "search".to_owned();
    producer.enqueue(job).expect("the job is done");
    worker.join().expect("the worker ran one job");
    assert_eq!(world.counter("fulfilled"), 1);
}

/// A worker that fetches jobs and drops its connection at random, and comes back with another ID, as a restarted
/// process does. Counts how often each job ran.
fn run_disconnecting_worker(
    frontend: SocketAddr,
    number: u64,
    run_counts: &Mutex<BTreeMap<String, u32>>,
    test_ended: &AtomicBool,
) {
    let mut rng = Pcg32::seed_from_u64(number);
    for restart in 0.. {
        let mut worker = connect_worker(frontend, &format!("w{number}-{restart}"));
        loop {
            if test_ended.load(Ordering::Relaxed) {
                return;
            }
            worker.send("FETCH search reserve\r\n");
            let Some(job) = worker.receive_bulk() else { continue };
            let jid = job["jid"].as_str().expect("an id").to_owned();
            *run_counts.lock().expect("no worker panics").entry(jid.clone()).or_default() += 1;
            if rng.random::<f64>() < 0.3 {
                break;
            }
            worker.exchange_line(&ack(&jid));
        }
    }
}

/// Submits jobs by push and by HTTP, with workers that drop their connections at random: each job has one answer, no
/// non-idempotent one runs twice, and the node and the clients count the same.
#[test]
fn mixed_traffic_with_workers_that_disconnect_at_random_is_counted_alike_on_both_sides() {
    const JOBS: u64 = 300;
    // Long measurements set another seed.
    let seed = std::env::var("STORY_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(20);
    let mut rng = Pcg32::seed_from_u64(seed);
    let world = World::with_faktory(&[], "");
    let frontend = world.faktory.expect("the node has a Faktory frontend");
    let (run_counts, test_ended) = (Mutex::default(), AtomicBool::new(false));
    let (mut fulfilled, mut forfeited, mut turned_back) = (0, 0, 0);
    std::thread::scope(|scope| {
        for number in 1..=3 {
            let (run_counts, test_ended) = (&run_counts, &test_ended);
            scope.spawn(move || {
                run_disconnecting_worker(frontend, seed * 10 + number, run_counts, test_ended);
            });
        }
        for number in 0..JOBS {
            let jid = format!("job-{number:05}");
            let (non_idempotent, over_http) = (rng.random::<bool>(), rng.random::<bool>());
            let class = if non_idempotent { "reserve" } else { "search" };
            let status = if over_http {
                world.submit(&jid, class, 4000).receive().status()
            } else {
                match world.push(&jid, class, "").read_line() {
                    line if line == "+OK" => 200,
                    line if line.contains("turned back") => 503,
                    line if line.contains("forfeited") => 500,
                    line => panic!("{line}"),
                }
            };
            *match status {
                200 => &mut fulfilled,
                503 => &mut turned_back,
                _ => &mut forfeited,
            } += 1;
            let ran = run_counts.lock().expect("no worker panics").get(&jid).copied().unwrap_or(0);
            assert!(!non_idempotent || ran <= 1, "{jid} ran {ran} times");
            assert!(status != 503 || !non_idempotent || ran == 0, "{jid} was turned back and had run");
            assert!(status != 200 || ran > 0, "{jid} was answered and nobody had it");
        }
        test_ended.store(true, Ordering::Relaxed);
    });
    println!("fulfilled {fulfilled}, forfeited {forfeited}, turned back {turned_back}");
    let counted = ["fulfilled", "forfeited", "turned_back", "units"].map(|name| world.counter(name));
    assert_eq!(counted, [fulfilled, forfeited, turned_back, JOBS]);
    assert!(forfeited > 0 && fulfilled > forfeited, "{counted:?}");
}

//! Stories of the Faktory front: jobs that come and go by it, beside HTTP, and workers that misbehave.

use crate::fake::*;
use crate::{done, watched};
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
fn a_pushed_job_is_fetched_and_its_client_hears_when_it_is_done() {
    let world = World::fronted(&[], "");
    let mut worker = world.worker("w1");
    worker.say("FETCH reserve search\r\n");
    let mut client = world.push("job-00001", "search", "");
    let job = worker.hear_bulk().expect("the job");
    assert_eq!((job["jid"].as_str(), job["args"][0].as_u64()), (Some("job-00001"), Some(1)));
    assert_eq!(worker.ask_line(&ack("job-00001")), "+OK");
    assert_eq!(client.line(), "+OK");
    assert!(worker.ask_line(&ack("job-00001")).contains("not reserved"));
    assert_eq!(
        (world.counter("fulfilled"), world.counter("allocations"), world.counter("relayed")),
        (1, 1, 1)
    );
    let figures = world.ask("GET /stats").body;
    assert!(
        figures.contains("node.fulfilled.search:1|c") && figures.contains("node.registry_entries:1|g"),
        "{figures}"
    );
    // The connection is used on.
    client.say("PUSH {\"jid\":\"job-00002\",\"jobtype\":\"import\",\"queue\":\"search\",\"args\":[]}\r\n");
    worker.say("FETCH search\r\n");
    assert_eq!(worker.hear_bulk().expect("the next")["jid"], "job-00002");
    worker.say("FAIL {\"jid\":\"job-00002\",\"errtype\":\"X\",\"message\":\"no\"}\r\nFETCH search\r\n");
    assert_eq!(worker.line(), "+OK");
    assert_eq!(worker.hear_bulk().expect("tried again, as its effect allows")["jid"], "job-00002");
    assert_eq!(worker.ask_line(&ack("job-00002")), "+OK");
    assert_eq!(client.line(), "+OK");
}

#[test]
fn pushed_jobs_run_at_http_executors_and_http_units_at_workers() {
    let listens = listener();
    let world = World::fronted(&[&listens], "");
    let mut client = world.push("job-00001", "search", ",\"custom\":{\"cost_us\":500000}");
    let mut executor = accept(&listens);
    let sent = executor.hear();
    assert_eq!((sent.start.as_str(), sent.header("X-Call-Id")), ("POST /search HTTP/1.1", Some("job-00001")));
    assert!(sent.body.contains("\"jobtype\":\"import\""), "{}", sent.body);
    executor.answer(202, "");
    assert_eq!(world.call_back("job-00001", done("whatever")), 204);
    assert_eq!(client.line(), "+OK");
    drop((executor, listens));
    let (mut discovery, _) = watched(&world);
    discovery.say(&crate::chunk("{\"generation\":42,\"reset\":true,\"instances\":[]}\n"));
    world.counts("list_lines", 1);
    let mut worker = world.worker("w1");
    worker.say("FETCH search\r\n");
    let mut by_http = world.bring("u2", "search", 5000);
    let job = worker.hear_bulk().expect("the unit as a job");
    assert_eq!((job["jid"].as_str(), job["args"][0].as_str()), (Some("u2"), Some("work")));
    assert_eq!(worker.ask_line(&ack("u2")), "+OK");
    assert_eq!(by_http.hear().status(), 200);
    // A whole list of discovery says nothing of workers.
    discovery.say(&crate::chunk("{\"generation\":43,\"reset\":true,\"instances\":[]}\n"));
    world.counts("list_lines", 2);
    assert!(world.ask("GET /stats").body.contains("node.registry_entries:1|g"));
}

#[test]
fn a_worker_that_drops_its_connection_with_a_binding_job_costs_one_answer_and_no_second_run() {
    let world = World::fronted(&[], "");
    let mut worker = world.worker("w1");
    worker.say("FETCH reserve\r\n");
    let mut client = world.push("job-00001", "reserve", "");
    assert!(worker.hear_bulk().is_some());
    drop(worker);
    assert!(client.line().starts_with("-ERR forfeited"), "at once, long before its patience");
    let mut next = world.worker("w2");
    next.say("FETCH reserve search\r\n");
    assert_eq!(next.hear_bulk(), None, "nobody else gets it");
    // A retriable one goes on to the next worker.
    next.say("FETCH search\r\n");
    let mut client = world.push("job-00002", "search", "");
    assert!(next.hear_bulk().is_some());
    drop(next);
    let mut last = world.worker("w3");
    last.say("FETCH search\r\n");
    assert_eq!(last.hear_bulk().expect("it was sent again")["jid"], "job-00002");
    assert_eq!(last.ask_line(&ack("job-00002")), "+OK");
    assert_eq!(client.line(), "+OK");
}

#[test]
fn a_worker_that_pauses_its_heartbeats_loses_what_it_has_and_hears_so_later() {
    let world = World::fronted(&[], "silent_after_s = 1\n");
    let mut worker = world.worker("w1");
    worker.say("FETCH reserve\r\n");
    let mut client = world.push("job-00001", "reserve", "");
    assert!(worker.hear_bulk().is_some());
    assert!(client.line().starts_with("-ERR forfeited"));
    assert!(worker.ask_line(&ack("job-00001")).contains("not reserved"));
    assert_eq!(worker.ask_line("BEAT {\"wid\":\"w1\"}"), "+OK");
    assert!(world.ask("GET /stats").body.contains("node.registry_entries:1|g"), "it is back");
}

#[test]
fn what_is_refused_is_refused_in_the_protocols_own_words() {
    let world = World::fronted(&[], "");
    let mut worker = world.worker("w1");
    worker.say("FETCH search\r\n");
    let _waiting = world.push("job-00001", "search", "");
    assert!(worker.hear_bulk().is_some());
    let other = "ACK {\"jid\":\"job-00001\"}";
    let mut second = world.worker("w2");
    assert!(second.ask_line(other).contains("another worker"));
    let says = [
        ("job-00001", "search", "", "in hand"),
        ("job-00002", "no-such", "", "no tariff"),
        ("short", "search", "", "a jid has"),
        ("job-00003", "search", ",\"at\":\"2030-01-01T00:00:00Z\"", "jobs for later"),
        ("job-00004", "search", ",\"custom\":{\"patience_ms\":\"soon\"}", "custom.patience_ms"),
    ];
    for (jid, queue, further, what) in says {
        let answer = world.push(jid, queue, further).line();
        assert!(answer.starts_with("-ERR") && answer.contains(what), "{answer}");
    }
    let mut anyone = world.call_faktory();
    assert!(anyone.ask_line("INFO").contains("say HELLO first"));
    assert!(anyone.ask_line("HELLO {\"v\":1}").contains("version"));
    assert!(anyone.is_closed());
    let mut client = world.call_faktory();
    assert_eq!(client.ask_line("HELLO {\"v\":2}"), "+OK");
    assert!(client.ask_line("FETCH search").contains("only workers"));
    assert!(client.ask_line("FLUSH").contains("can't be had"));
    client.say("INFO\r\n");
    assert_eq!(client.hear_bulk().expect("figures")["faktory"]["workers"], 2);
    assert_eq!(client.ask_line("END"), "+OK");
    assert!(client.is_closed());
    let mut endless = world.call_faktory();
    assert!(endless.ask_line(&"x".repeat(100_000)).contains("a command is a line"));
    assert!(endless.is_closed());
}

#[test]
fn a_command_one_byte_at_a_time_and_half_a_command() {
    let world = World::fronted(&[], "");
    let mut slow = world.call_faktory();
    for byte in "HELLO {\"wid\":\"w1\",\"v\":2}\r\nBEAT {\"wid\":\"w1\"}\r\n".bytes() {
        slow.say(std::str::from_utf8(&[byte]).expect("one letter"));
    }
    assert_eq!((slow.line(), slow.line()), ("+OK".to_owned(), "+OK".to_owned()));
    let mut half = world.call_faktory();
    half.say("HELLO {\"v\"");
    assert!(half.is_closed(), "who does not say hello in time is let go");
    assert_eq!(slow.ask_line("BEAT {\"wid\":\"w1\"}"), "+OK", "and nobody else with it");
}

#[test]
fn a_client_that_leaves_before_its_answer_takes_its_job_along() {
    let world = World::fronted(&[], "");
    let mut worker = world.worker("w1");
    worker.say("FETCH search\r\n");
    let client = world.push("job-00001", "search", "");
    assert!(worker.hear_bulk().is_some());
    drop(client);
    world.counts("withdrawn", 1);
    assert!(worker.ask_line(&ack("job-00001")).contains("not reserved"));
    assert!(world.ask("GET /stats").body.contains("node.open_requests:0|g"));
}

#[test]
fn a_password_is_asked_for_and_many_idle_workers_take_no_others_descriptors() {
    let world = World::fronted(&[], "password = \"p\"\nmost_connections = 8\n");
    let mut first = world.call_faktory();
    assert!(first.ask_line("HELLO {\"wid\":\"w1\",\"v\":2,\"pwdhash\":\"00\"}").contains("invalid password"));
    assert!(first.is_closed());
    // Of four hundred that connect eight find a place, and the staff are answered as before.
    let mut crowd: Vec<Talk> = (0..400)
        .map(|_| {
            Talk::over(std::net::TcpStream::connect(world.faktory.expect("a front")).expect("it listens"))
        })
        .collect();
    let full = crowd
        .iter_mut()
        .filter_map(|peer| peer.line().starts_with("-ERR no connection").then_some(()))
        .count();
    assert!(full >= 392, "{full}");
    assert_eq!(world.ask("GET /healthcheck").status(), 503, "no executor, and it answers");
}

#[test]
fn a_drained_node_hands_out_nothing_new_and_settles_what_it_has() {
    let world = World::fronted(&[], "");
    let mut worker = world.worker("w1");
    worker.say("FETCH search\r\n");
    let mut client = world.push("job-00001", "search", "");
    assert!(worker.hear_bulk().is_some());
    assert_eq!(world.ask("POST /healthcheck/fail").status(), 200);
    assert!(world.push("job-00002", "search", "").line().contains("turned back"));
    worker.say("FETCH search\r\nBEAT {\"wid\":\"w1\"}\r\n");
    assert_eq!(worker.hear_bulk(), None);
    assert_eq!(worker.hear_bulk().expect("a state")["state"], "quiet");
    world.tell("TERM");
    assert_eq!(worker.ask_line(&ack("job-00001")), "+OK");
    assert_eq!(client.line(), "+OK");
    assert!(world.end().success());
}

#[test]
fn after_a_kill_the_next_life_knows_nothing_of_a_job_and_sends_it_to_nobody() {
    let world = World::fronted(&[], "");
    let mut worker = world.worker("w1");
    worker.say("FETCH reserve\r\n");
    let mut client = world.push("job-00001", "reserve", "");
    assert!(worker.hear_bulk().is_some());
    world.kill();
    assert_eq!(client.line(), "", "its client hears that the connection broke, and nothing else");
    let next = World::fronted(&[], "");
    let mut worker = next.worker("w1");
    assert!(worker.ask_line(&ack("job-00001")).contains("not reserved"));
    worker.say("FETCH reserve\r\n");
    assert_eq!(worker.hear_bulk(), None);
}

#[test]
fn a_wrong_file_of_fronts_ends_the_node_at_its_start() {
    let folder = Folder::new();
    let path = folder.0.join("fronts.toml");
    for (text, says) in [
        ("[faktory]\nlisten = \"here\"\n", "faktory.listen: invalid socket address"),
        ("[faktory]\nlisten = \"127.0.0.1:0\"\nmost = 1\n", "faktory.most: unknown field"),
        (
            "[faktory]\nlisten = \"127.0.0.1:0\"\nsilent_after_s = 0\n",
            "faktory.silent_after_s: expected a whole number from 1",
        ),
        ("[resque]\n", "resque: unknown field"),
    ] {
        std::fs::write(&path, text).expect("it is written");
        let world = World::staffed(&[]);
        let (ended, log) = world.start_another_with(&path);
        assert!(!ended.success() && log.contains(says), "{says}: {log}");
    }
}

/// The published client library against this front.
#[test]
fn the_published_client_library_pushes_and_a_worker_of_it_runs() {
    let world = World::fronted(&[], "password = \"secret\"\n");
    let url = format!("tcp://:secret@{}", world.faktory.expect("a front"));
    let worker_url = url.clone();
    let worker = std::thread::spawn(move || {
        let mut consumer = faktory::ConsumerBuilder::<std::io::Error>::default();
        consumer.register("import", |job: faktory::Job| {
            assert_eq!(job.args().len(), 2);
            Ok(())
        });
        let mut consumer = consumer.connect(Some(&worker_url)).expect("it is let in");
        while !consumer.run_one(0, &["search"]).expect("it fetches") {}
    });
    let mut producer = faktory::Producer::connect(Some(&url)).expect("it is let in");
    let mut job = faktory::Job::new("import", vec!["a", "b"]);
    job.queue = "search".to_owned();
    producer.enqueue(job).expect("it was done");
    worker.join().expect("it ran one job");
    assert_eq!(world.counter("fulfilled"), 1);
}

/// A worker that fetches and drops its connection at random, to come back under another name as a process that starts
/// anew does. Counts how often each job was run.
fn drops_at_random(front: SocketAddr, place: u64, runs: &Mutex<BTreeMap<String, u32>>, ends: &AtomicBool) {
    let mut chance = Pcg32::seed_from_u64(place);
    for life in 0.. {
        let mut worker = worker_at(front, &format!("w{place}-{life}"));
        loop {
            if ends.load(Ordering::Relaxed) {
                return;
            }
            worker.say("FETCH search reserve\r\n");
            let Some(job) = worker.hear_bulk() else { continue };
            let jid = job["jid"].as_str().expect("an id").to_owned();
            *runs.lock().expect("no worker panics").entry(jid.clone()).or_default() += 1;
            if chance.random::<f64>() < 0.3 {
                break;
            }
            worker.ask_line(&ack(&jid));
        }
    }
}

/// Jobs by both ways in, with workers that drop their connections at random: each has one answer, no binding one runs
/// twice, and both sides count the same.
#[test]
fn mixed_traffic_with_workers_that_drop_at_random_is_accounted_for_on_both_sides() {
    const JOBS: u64 = 300;
    // Another seed is for long measurements.
    let seed = std::env::var("STORY_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(20);
    let mut chance = Pcg32::seed_from_u64(seed);
    let world = World::fronted(&[], "");
    let front = world.faktory.expect("a front");
    let (runs, ends) = (Mutex::default(), AtomicBool::new(false));
    let (mut fulfilled, mut forfeited, mut turned_back) = (0, 0, 0);
    std::thread::scope(|scope| {
        for place in 1..=3 {
            let (runs, ends) = (&runs, &ends);
            scope.spawn(move || drops_at_random(front, seed * 10 + place, runs, ends));
        }
        for number in 0..JOBS {
            let jid = format!("job-{number:05}");
            let (binding, by_http) = (chance.random::<bool>(), chance.random::<bool>());
            let tariff = if binding { "reserve" } else { "search" };
            let status = if by_http {
                world.bring(&jid, tariff, 4000).hear().status()
            } else {
                match world.push(&jid, tariff, "").line() {
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
            let ran = runs.lock().expect("no worker panics").get(&jid).copied().unwrap_or(0);
            assert!(!binding || ran <= 1, "{jid} ran {ran} times");
            assert!(status != 503 || !binding || ran == 0, "{jid} was turned back and had run");
            assert!(status != 200 || ran > 0, "{jid} was answered and nobody had it");
        }
        ends.store(true, Ordering::Relaxed);
    });
    println!("fulfilled {fulfilled}, forfeited {forfeited}, turned back {turned_back}");
    let counted = ["fulfilled", "forfeited", "turned_back", "units"].map(|name| world.counter(name));
    assert_eq!(counted, [fulfilled, forfeited, turned_back, JOBS]);
    assert!(forfeited > 0 && fulfilled > forfeited, "{counted:?}");
}

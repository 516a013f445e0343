//! Tests of a node over sockets, for its guarantees and for faults that were found.

mod checks;
mod durable_jobs;
mod fake;
mod faktory;

use fake::*;
use grebeusher_migrate::{Deployment, convert};
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn a_request_goes_to_an_executor_and_its_result_to_the_client() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    let sent = executor.receive();
    assert_eq!((sent.start.as_str(), sent.body.as_str()), ("POST /search HTTP/1.1", "work"));
    assert_eq!(sent.header("X-Call-Id"), Some("u1"));
    executor.answer(202, "");
    assert_eq!(world.send_callback("u1", json!({"state": "started"})), 204);
    let callback = json!({"state": "done", "result": "so be it", "load": {"load_share": 0.5, "x0": 1.0}});
    assert_eq!(world.send_callback("u1", callback), 204);
    let answer = client.receive();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "so be it"));
    // Both connections are kept for the next request.
    client.send(&request_text("u2", "search", 9000));
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"));
}

#[test]
fn end_to_end_headers_reach_the_executor_and_hop_by_hop_headers_do_not() {
    // Guards against dropping the header by which an executor recognizes a repeated request.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.connect();
    let extra_headers = "Idempotency-Key: k-7\r\nX-Caller: birch\r\nX-Route-Hash: 7f3a\r\nConnection: keep-alive, X-Hop\r\n\
                X-Hop: 1\r\nTE: trailers\r\nHost: origin.svc\r\n";
    client.send(&request_text("u1", "search", 9000).replacen(
        "X-Call-Id",
        &format!("{extra_headers}X-Call-Id"),
        1,
    ));
    let sent = accept(&executor_listener).receive();
    let all = |name: &str| sent.headers.iter().filter(|h| h.split(':').next() == Some(name)).count();
    for (name, value) in [("Idempotency-Key", "k-7"), ("X-Caller", "birch"), ("X-Route-Hash", "7f3a")] {
        assert_eq!(sent.header(name), Some(value));
    }
    let once = ["Host", "X-Call-Id", "X-Call-Class", "X-Budget-Ms", "Content-Length", "X-Call-Cost"];
    assert_eq!(once.map(all), [1; 6]);
    assert_eq!(["Connection", "X-Hop", "TE"].map(all), [0; 3]);
    assert_eq!(sent.header("Host"), Some(address(&executor_listener).as_str()));
}

#[test]
fn early_repeated_and_unknown_callbacks_are_answered_and_take_effect_once() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.submit("u1", "reserve", 4000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    for _ in 0..2 {
        assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "once"})), 204);
    }
    executor.answer(202, "");
    assert_eq!(client.receive().body, "once");
    assert_eq!(world.send_callback("of another life", json!({"state": "lost"})), 204);
    assert_eq!(world.send_callback("of another life", json!({"state": "a new word"})), 204);
    client.send(&request_text("u2", "search", 4000));
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"), "the first request is not sent again");
    assert_eq!((world.counter("fulfilled"), world.counter("call_backs_unknown")), (1, 3));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_never_sent_again() {
    // Guards against an HTTP library that sends again by itself when a connection ends.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.submit("u1", "reserve", 4000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    drop(executor);
    assert_eq!(client.receive().status(), 500);
    assert_eq!((world.counter("allocations"), world.counter("ended_reset")), (1, 1));
}

#[test]
fn a_request_that_is_returned_unstarted_is_sent_again() {
    let executor_listener = listener();
    let world = World::with_settings(&[&executor_listener, &executor_listener], settings(), 1024, 1024);
    let mut client = world.submit("u1", "reserve", 4000);
    for status in [503, 202] {
        let mut executor = accept(&executor_listener);
        assert_eq!(executor.receive().header("X-Call-Id"), Some("u1"));
        executor.answer(status, "X-Rejected: 1\r\n");
    }
    for executor in ["s-0", "s-1"] {
        let callback = json!({"from": executor, "state": "done", "result": "the second time"});
        assert_eq!(world.send_callback("u1", callback), 204);
    }
    assert_eq!(client.receive().body, "the second time");
    assert_eq!((world.counter("ended_full"), world.counter("allocations")), (1, 2));
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let refusing = refusing_listener();
    let world = World::with_executor(&refusing);
    assert_eq!(world.submit("u1", "reserve", 1500).receive().status(), 503);
    assert_eq!(world.counter("accepted"), 0);
}

#[test]
fn after_other_errors_of_an_executor_a_request_may_have_run() {
    for answer in [500, 503] {
        let executor_listener = listener();
        let world = World::with_executor(&executor_listener);
        let mut client = world.submit("u1", "reserve", 4000);
        let mut executor = accept(&executor_listener);
        executor.receive();
        executor.answer(answer, "");
        assert_eq!(client.receive().status(), 500);
    }
}

#[test]
fn a_request_that_an_executor_rejects_as_invalid_goes_to_no_other() {
    let executor_listener = listener();
    let world = World::with_settings(&[&executor_listener, &executor_listener], settings(), 1024, 1024);
    let mut client = world.submit("another's", "search", 4000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(400, "");
    assert_eq!(client.receive().status(), 500);
    assert_eq!((world.counter("allocations"), world.counter("ended_unusable")), (1, 1));
}

#[test]
fn a_request_without_a_result_fails_at_its_deadline_and_is_cancelled() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.submit("u1", "reserve", 2000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    assert_eq!(client.receive().status(), 500);
    assert_eq!(executor.receive().start, "DELETE /jobs/u1 HTTP/1.1");
    executor.answer(200, "");
    assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "late"})), 204);
    client.send(&request_text("u2", "search", 4000));
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"), "the late result goes nowhere");
}

#[test]
fn without_support_for_cancellation_nothing_is_cancelled_and_an_automatic_list_is_watched() {
    let executor_listener = listener();
    let mut settings = settings();
    settings["caps"]["cancelling"] = json!(false);
    settings["registry_mode"] = json!("automatic");
    let world = World::with_settings(&[&executor_listener], settings, 1024, 1024);
    open_watch(&world);
    let mut client = world.submit("u1", "reserve", 2000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    assert_eq!(client.receive().status(), 500);
    client.send(&request_text("u2", "search", 4000));
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"));
}

#[test]
fn an_unresponsive_connection_delays_a_request_only_by_the_accept_timeout() {
    // Guards against requests that wait 10 s on unresponsive connections, and executors that are taken to be full
    // meanwhile.
    let executor_listener = listener();
    let world = World::with_settings(&[&executor_listener, &executor_listener], settings(), 1024, 1024);
    let mut client = world.submit("u1", "search", 9000);
    let mut unresponsive = accept(&executor_listener);
    unresponsive.receive();
    // The attempt is cancelled; the cancellation is not answered either.
    assert_eq!(accept(&executor_listener).receive().start, "DELETE /jobs/u1 HTTP/1.1");
    let mut executor = accept(&executor_listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u1"));
    for state in ["started", "done"] {
        for executor in ["s-0", "s-1"] {
            world.send_callback("u1", json!({"from": executor, "state": state, "result": "yes"}));
        }
    }
    assert!(unresponsive.is_closed(), "the first attempt is cancelled");
    assert_eq!(client.receive().status(), 200);
    // If a callback has reported the start, only the acknowledgement got lost.
    client.send(&request_text("u2", "search", 3000));
    let mut unresponsive = accept(&executor_listener);
    unresponsive.receive();
    for executor in ["s-0", "s-1"] {
        world.send_callback("u2", json!({"from": executor, "state": "started"}));
    }
    assert!(unresponsive.is_closed());
    for executor in ["s-0", "s-1"] {
        world.send_callback("u2", json!({"from": executor, "state": "done", "result": "u2's"}));
    }
    assert_eq!(client.receive().body, "u2's");
    assert_eq!((world.counter("allocations"), world.counter("ended_timed_out")), (3, 1));
}

#[test]
fn an_attempt_that_may_have_been_accepted_is_cancelled_before_the_next_one() {
    // Guards against two copies at once: the acknowledgement got lost, or the connection was reset before the executor
    // read the request.
    for is_reset in [true, false] {
        let listeners = [listener(), listener()];
        let world = World::with_settings(&[&listeners[0], &listeners[1]], settings(), 1024, 1024);
        let mut client = world.submit("u1", "search", 9000);
        let (first, mut executor) = accept_any(&[&listeners[0], &listeners[1]]);
        executor.receive();
        let silent = (!is_reset).then_some(executor);
        let (cancelled_at, mut canceller) = accept_any(&[&listeners[0], &listeners[1]]);
        assert_eq!((cancelled_at, canceller.receive().start.as_str()), (first, "DELETE /jobs/u1 HTTP/1.1"));
        assert_eq!(world.counter("allocations"), 1, "no other attempt has been sent");
        canceller.answer(204, "");
        let (second, mut executor) = accept_any(&[&listeners[1 - first]]);
        assert_eq!((second, executor.receive().header("X-Call-Id")), (0, Some("u1")));
        executor.answer(202, "");
        let callback = json!({"from": format!("s-{}", 1 - first), "state": "done", "result": "once"});
        assert_eq!(world.send_callback("u1", callback), 204);
        assert_eq!(client.receive().body, "once");
        drop(silent);
    }
}

#[test]
fn a_request_that_is_accepted_at_the_moment_of_the_timeout_goes_to_no_other() {
    // Guards against a second copy: the 202 arrived while other events were handled, and its connection was closed
    // unread.
    const CROWD: usize = 1100; // more than the poller reports at once
    let (first, second) = (listener(), listener());
    let world = World::with_settings(&[&first, &second], settings(), 4096, 4096);
    let mut crowd: Vec<TestConnection> = (0..CROWD).map(|_| world.connect()).collect();
    // All connections are accepted once the last request is answered.
    crowd.iter_mut().for_each(|client| client.send("GET /ready HTTP/1.1\r\n\r\n"));
    crowd.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
    let mut client = world.submit("u1", "search", 9000);
    let (index, mut executor) = accept_any(&[&first, &second]);
    executor.receive();
    let sent = Instant::now();
    world.signal("STOP");
    crowd.iter_mut().for_each(|client| client.send("GET /ready HTTP/1.1\r\n\r\n"));
    executor.answer(202, "");
    while sent.elapsed() < Duration::from_millis(700) {
        std::thread::yield_now();
    }
    world.signal("CONT");
    crowd.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
    let callback = json!({"from": format!("s-{index}"), "state": "done", "result": "once"});
    assert_eq!(world.send_callback("u1", callback), 204);
    assert_eq!(client.receive().body, "once");
    assert_eq!((world.counter("allocations"), world.counter("accepted")), (1, 1));
}

#[test]
fn idle_clients_that_hold_all_descriptors_block_neither_the_watch_nor_executors() {
    let executor_listener = listener();
    let world = World::with_settings(&[&executor_listener], settings(), 1024, 64);
    let (watch, _) = open_watch(&world);
    let mut crowd: Vec<TestConnection> = (0..80).map(|_| world.connect()).collect();
    crowd.iter_mut().for_each(|client| client.send("GET /ready HTTP/1.1\r\n\r\n"));
    while world.counter("accepts_failed") + world.counter("callers_shed") == 0 {}
    let ended = Instant::now();
    drop(watch);
    let (mut watch, _) = open_watch(&world);
    assert!(ended.elapsed() < Duration::from_secs(4), "the watch is opened again in time");
    watch.send(&chunk("\n"));
    let (mut client, _executor) = accepted_request(&world, &executor_listener, "u1");
    assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "yes"})), 204);
    assert_eq!(client.receive().status(), 200);
}

#[test]
fn a_non_idempotent_request_never_goes_on_an_idle_connection() {
    // Guards against resets by executors that close idle connections early: the non-idempotent request might have run.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.connect();
    let mut before: Option<TestConnection> = None;
    for id in ["u1", "u2"] {
        client.send(&request_text(id, "reserve", 4000));
        let mut executor = accept(&executor_listener);
        assert_eq!(executor.receive().header("X-Call-Id"), Some(id));
        executor.answer(202, "");
        assert_eq!(world.send_callback(id, json!({"state": "done", "result": id})), 204);
        assert_eq!(client.receive().body, id);
        assert!(
            before.is_none_or(|mut before| before.is_closed()),
            "the new connection replaces the idle one"
        );
        before = Some(executor);
        std::thread::sleep(std::time::Duration::from_millis(100)); // a longer sleep does no harm
    }
}

#[test]
fn the_request_of_a_disconnected_client_is_cancelled() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    // The node has read the 202 once it has answered a later callback.
    world.send_callback("u1", json!({"state": "started"}));
    drop(client);
    assert_eq!(executor.receive().start, "DELETE /jobs/u1 HTTP/1.1");
    executor.answer(404, "");
    let mut client = world.submit("u2", "search", 9000);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"));
    world.send_callback("u2", json!({"state": "done", "result": "yes"}));
    assert_eq!(client.receive().status(), 200);
    assert_eq!(world.counter("withdrawn"), 1);
}

#[test]
fn a_stopping_node_serves_until_all_requests_are_answered() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    world.signal("TERM");
    let mut balancer = world.connect();
    loop {
        balancer.send("GET /ready HTTP/1.1\r\n\r\n");
        if balancer.receive().status() == 503 {
            break;
        }
    }
    let mut late_client = world.submit("u2", "search", 9000);
    executor.receive();
    executor.answer(202, "");
    assert!(balancer.is_closed(), "idle connections are closed after the detection time");
    for (id, client) in [("u1", &mut client), ("u2", &mut late_client)] {
        assert_eq!(world.send_callback(id, json!({"state": "done", "result": id})), 204);
        let answer = client.receive();
        assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    }
    assert!(world.wait_for_exit().success());
}

#[test]
fn a_request_that_comes_late_in_a_stop_is_answered_before_the_end() {
    // Guards against requests that are still unanswered when the process ends.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut first_client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    world.signal("TERM");
    std::thread::sleep(std::time::Duration::from_millis(1000)); // a longer sleep does no harm
    let mut late_client = world.submit("u2", "search", 9000);
    executor.receive();
    executor.answer(202, "");
    assert_eq!(late_client.receive().status(), 503, "long before its deadline");
    world.send_callback("u1", json!({"state": "done", "result": "u1"}));
    assert_eq!(first_client.receive().status(), 200);
    assert!(world.wait_for_exit().success());
}

#[test]
fn invalid_requests_get_4xx_and_the_node_goes_on_serving() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let header =
        |h: &str| format!("POST /search HTTP/1.1\r\nX-Call-Id: u\r\nX-Budget-Ms: 900\r\n{h}\r\n\r\n");
    let bad = [
        ("\0\0\0\0\r\n\r\n".to_owned(), 400),
        (header("Content-Length: 4\r\nContent-Length: 5"), 400),
        (header("Content-Length: 4\r\nTransfer-Encoding: chunked"), 400),
        (header("Content-Length: -1"), 400),
        (header("Content-Length: +4"), 400),
        (header("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity"), 400),
        (header("X-Call-Id: v"), 400),
        (header("X-Budget-Ms: 90"), 400),
        (header("X-Call-Class: reserve"), 400),
        (header("").replace("/search", "search"), 400),
        (header("").replace("/search", "/search?q=\u{e9}"), 400),
        (header("").replace("/search", &format!("/search?{}", "q".repeat(5000))), 400),
        (header("").replace(" u\r", &format!(" {}\r", "u".repeat(200))), 400),
        (header("").replace("900", "-5"), 400),
        (header("").replace("900", "+5"), 400),
        (header("").replace("900", ""), 400),
        (header("Content-Length: 70000"), 413),
        (header("Content-Length: 99999999999999999999999"), 413),
        (header(&format!("X-Long: {}", "x".repeat(20_000))), 431),
        (header("Transfer-Encoding: chunked") + "zz\r\n", 400),
        (header("").replace("900", "soon"), 400),
        ("POST /search HTTP/1.1\r\nX-Call-Id: u HTTP/1.1\r\nX-Budget-Ms: 900\r\n\r\n".to_owned(), 400),
        ("POST /no-such-tariff HTTP/1.1\r\nX-Call-Id: u\r\nX-Budget-Ms: 900\r\n\r\n".to_owned(), 404),
        ("POST /v1/job-events HTTP/1.1\r\nContent-Length: 9\r\n\r\n{\"id\":\"u\"".to_owned(), 400),
        ("DELETE / HTTP/1.1\r\n\r\n".to_owned(), 404),
    ];
    for (text, status) in &bad {
        let mut client = world.connect();
        client.send(text);
        assert_eq!(client.receive().status(), *status, "{text}");
        assert!(client.is_closed(), "{text}");
    }
    assert_eq!((world.counter("bad_requests"), world.counter("units")), (bad.len() as u64, 0));
}

#[test]
fn a_slow_sender_gets_408_and_pipelined_requests_are_served_in_order() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut slow = world.connect();
    slow.send("POST /search HTTP/1.1\r\nX-Call-Id: u");
    let mut fast = world.connect();
    fast.send(&("GET /ready HTTP/1.1\r\n\r\n".repeat(3) + &request_text("u1", "search", 9000)));
    for _ in 0..3 {
        assert_eq!(fast.receive().status(), 200);
    }
    assert_eq!(accept(&executor_listener).receive().header("X-Call-Id"), Some("u1"));
    assert_eq!(slow.receive().status(), 408);
}

#[test]
fn silent_connections_are_closed_and_used_ones_stay_open() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut idle = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    let mut callback_connection = world.connect();
    callback_connection.post(
        "/v1/job-events",
        &json!({"id": "u1", "from": "s-0", "state": "done", "result": ""}).to_string(),
    );
    assert_eq!((callback_connection.receive().status(), idle.receive().status()), (204, 200));
    let mut silent: Vec<TestConnection> = (0..100).map(|_| world.connect()).collect();
    assert!(silent.iter_mut().all(TestConnection::is_closed));
    idle.send(&request_text("u2", "search", 9000));
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"));
    callback_connection
        .post("/v1/job-events", &json!({"id": "u2", "from": "s-0", "state": "failed"}).to_string());
    assert_eq!(callback_connection.receive().status(), 204);
}

#[test]
fn a_huge_body_is_rejected_at_its_head_and_further_input_is_discarded() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.connect();
    client.send(
        "POST /search HTTP/1.1\r\nX-Call-Id: u\r\nX-Budget-Ms: 900\r\nContent-Length: 60000000\r\n\r\n",
    );
    let piece = "x".repeat(1_000_000);
    for _ in 0..60 {
        client.send(&piece);
    }
    assert_eq!(client.receive().status(), 413);
    assert!(client.is_closed());
    assert_eq!(world.counter("bad_requests"), 1);
}

#[test]
fn large_incomplete_bodies_do_not_exhaust_the_memory() {
    // Guards against hundreds of incomplete requests that exceed the memory of the node. The limit is a quarter of one
    // megabyte here.
    let executor_listener = listener();
    let world =
        World::with_limits(&[&executor_listener], settings(), json!({"sockets": 1024, "memory_mb": 1}), 1024);
    let head = "POST /search HTTP/1.1\r\nX-Call-Id: u\r\nX-Budget-Ms: 900\r\nContent-Length: 60000\r\n\r\n";
    let mut clients: Vec<TestConnection> = (0..10).map(|_| world.connect()).collect();
    for client in &mut clients {
        client.send(&(head.to_owned() + &"x".repeat(50_000)));
    }
    while world.counter("bad_requests") < 5 {}
    let _usual_client = world.submit("u1", "search", 9000);
    assert_eq!(
        accept(&executor_listener).receive().header("X-Call-Id"),
        Some("u1"),
        "a usual request is served"
    );
}

#[test]
fn at_the_connection_limit_silent_connections_are_closed_before_idle_clients_and_executors() {
    // Guards against closing the connection that is idle longest: a flood of silent connections displaced usual
    // clients.
    let refusing = refusing_listener();
    let world = World::with_settings(&[&refusing], settings(), 36, 1024);
    let mut usual = world.submit("u1", "reserve", 500);
    assert_eq!(usual.receive().status(), 503);
    let mut executor = world.connect();
    let call_back = json!({"id": "u1", "from": "s-0", "state": "started"}).to_string();
    executor.post("/v1/job-events", &call_back);
    assert_eq!(executor.receive().status(), 204);
    let mut cancelled_at: Vec<TestConnection> = (0..40).map(|_| world.connect()).collect();
    assert!(cancelled_at[0].is_closed(), "the first of the silent connections");
    usual.send(&request_text("u2", "reserve", 500));
    assert_eq!(usual.receive().status(), 503);
    executor.post("/v1/job-events", &call_back);
    assert_eq!(executor.receive().status(), 204);
}

#[test]
fn absurd_numbers_in_a_request_are_tolerated() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.connect();
    client.send(
        "POST /search HTTP/1.1\r\nX-Call-Id: u1\r\nX-Budget-Ms: 18446744073709551615\r\nX-Call-Cost: -1e308\r\n\
         X-Call-Info: slots=1e300,=,memory\r\nX-Route-Hash: no hex\r\nTransfer-Encoding: chunked\r\n\r\n\
         2\r\nwo\r\n2;x=y\r\nrk\r\n0\r\nTrailer: t\r\n\r\n",
    );
    let mut executor = accept(&executor_listener);
    assert_eq!(executor.receive().body, "work");
    executor.answer(202, "");
    world.send_callback(
        "u1",
        json!({"state": "done", "result": "yes", "load": {"load_share": 1e300, "x0": "?"}}),
    );
    assert_eq!(client.receive().status(), 200);
}

/// Accepts a watch of the node, and returns it with the generation that the node knows.
fn open_watch(world: &World) -> (TestConnection, String) {
    open_watch_at(&world.discovery)
}

fn open_watch_at(discovery: &TcpListener) -> (TestConnection, String) {
    let mut watch = accept(discovery);
    let cancelled_at = watch.receive().start;
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let version = cancelled_at.split(['=', ' ']).nth(3).unwrap_or_default().to_owned();
    (watch, version)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[test]
fn the_list_is_followed_despite_a_silent_watch_and_an_invalid_line() {
    let (executor_listener, new_listener) = (listener(), listener());
    let world = World::with_executor(&executor_listener);
    let (silent_watch, version) = open_watch(&world);
    assert_eq!(version, "41", "the watch starts from the list of the settings file");
    let (mut watch, version) = open_watch(&world);
    assert_eq!(version, "41", "the first watch has sent no line");
    drop(silent_watch);
    // The line is split over two chunks, and one of its entries is invalid.
    let line = json!({"generation": 42, "reset": false, "instances": [{"instanceId": 7}, list_entry(0, &new_listener, "active")]});
    let line = format!("{line}\n");
    let (first, second) = line.split_at(30);
    watch.send(&(chunk(first) + &chunk(second)));
    watch.send(&chunk("{broken\n"));
    let (_third_watch, version) = open_watch(&world);
    assert_eq!(version, "0", "the whole list is requested after the invalid line");
    assert_eq!((world.counter("list_lines"), world.counter("list_bad")), (2, 2));
    let _client = world.submit("u1", "search", 9000);
    assert_eq!(
        accept(&new_listener).receive().header("X-Call-Id"),
        Some("u1"),
        "the request goes to the new address"
    );
}

#[test]
fn a_reload_moves_the_watch_and_does_not_lose_a_drain() {
    // Guards against a node that ends on SIGHUP, and loses its open requests.
    let (executor_listener, new_discovery) = (listener(), listener());
    let world = World::with_executor(&executor_listener);
    let (mut watch, _) = open_watch(&world);
    let mut client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    world.replace_config("{\"name\": \"half a fi");
    let line = json!({"generation": 42, "reset": false, "instances": [list_entry(0, &executor_listener, "leaving")]});
    watch.send(&chunk(&format!("{line}\n")));
    world.move_discovery(&new_discovery);
    let (mut new_watch, version) = open_watch_at(&new_discovery);
    assert_eq!(version, "42", "the last line of the old watch is known");
    assert!(watch.is_closed());
    assert_eq!(world.submit("u2", "search", 1500).receive().status(), 503, "nothing is sent to the executor");
    world.send_callback("u1", json!({"state": "done", "result": "yes"}));
    assert_eq!(client.receive().status(), 200, "the open request is answered");
    // The node also reloads after it was told to stop.
    world.signal("TERM");
    world.move_discovery(&world.discovery);
    assert_eq!(open_watch(&world).1, "42");
    assert!(new_watch.is_closed());
    drop(client);
    assert!(world.wait_for_exit().success());
}

#[test]
fn a_second_watch_is_opened_beside_an_unanswered_one() {
    // Guards against a single watch: after a reset the next one was never answered, and the time passed after which an
    // executor must be known to drain.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let reset = Instant::now();
    drop(accept(&world.discovery));
    let mut unanswered = accept(&world.discovery);
    assert!(unanswered.receive().start.contains("index=41"));
    let (mut watch, version) = open_watch(&world);
    assert_eq!(version, "41");
    let line = json!({"generation": 42, "reset": false, "instances": [list_entry(0, &executor_listener, "leaving")]});
    watch.send(&chunk(&format!("{line}\n")));
    assert!(unanswered.is_closed(), "one watch is enough");
    assert!(
        reset.elapsed() < Duration::from_secs(4),
        "there is time for another watch before the executor must be known to drain"
    );
    assert_eq!(world.submit("u1", "search", 1500).receive().status(), 503);
    assert_eq!((world.counter("allocations"), world.counter("watches")), (0, 3));
}

#[test]
fn a_discovery_that_rejects_watches_gets_no_second_ones() {
    // Guards against twice the number of watches at discovery after an outage, most of which nobody waits for any more.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut busy = accept(&world.discovery);
    busy.receive();
    busy.answer(503, "");
    drop(busy);
    let mut unanswered = accept(&world.discovery);
    unanswered.receive();
    assert!(unanswered.is_closed(), "the watch is closed after its timeout");
    assert_eq!(world.counter("watches"), 2, "no other watch was opened meanwhile");
}

#[test]
fn an_unconfirmed_list_is_used_for_six_seconds_and_again_after_the_next_line() {
    // Guards against taking chunks that never complete a line for a confirmation of the list.
    let refusing = refusing_listener();
    let world = World::with_executor(&refusing);
    let (mut watch, _) = open_watch(&world);
    watch.send(&chunk("\n"));
    while world.counter("list_lines") + world.counter("watches") == 0 {}
    let heard = Instant::now();
    let sent = |number: usize| {
        let before = world.counter("allocations");
        assert_eq!(world.submit(&format!("u{number}"), "reserve", 1000).receive().status(), 503);
        world.counter("allocations") > before
    };
    assert!(sent(0));
    world.discovery.set_nonblocking(true).expect("the listener is non-blocking");
    let mut number = 1;
    while sent(number) {
        // Sends half a line over and over; other watches are never answered.
        let _ = watch.try_send(&chunk("{"));
        number += 1;
        assert!(heard.elapsed() < Duration::from_secs(8), "the list never expires");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(heard.elapsed() > Duration::from_secs(5), "the list expires too early");
    let answered = Instant::now();
    while !sent(number) {
        // Any watch that is open now gets a line which says that nothing has changed.
        if let Ok((stream, _)) = world.discovery.accept() {
            let mut watch = TestConnection::from_stream(stream);
            let _ = watch.try_send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            std::mem::forget(watch);
        }
        number += 1;
        assert!(answered.elapsed() < Duration::from_secs(8), "the confirmed list is not used again");
    }
}

#[test]
fn the_list_of_the_settings_file_expires_like_any_list() {
    // Guards against a node that uses the list of its settings file for ever, as no watch is answered.
    let refusing = refusing_listener();
    let world = World::with_executor(&refusing);
    let started = Instant::now();
    let mut number = 0;
    loop {
        let before = world.counter("allocations");
        assert_eq!(world.submit(&format!("u{number}"), "reserve", 1000).receive().status(), 503);
        if world.counter("allocations") == before {
            break;
        }
        number += 1;
        assert!(started.elapsed() < Duration::from_secs(8), "the list of the file never expires");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(started.elapsed() > Duration::from_secs(5), "the list of the file expires too early");
}

#[test]
fn while_discovery_refuses_connections_the_last_list_stays_in_use() {
    let (executor_listener, discovery) = (refusing_listener(), refusing_listener());
    let world = World::with_executor(&executor_listener);
    world.move_discovery(&discovery);
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(7500) {
        std::thread::sleep(Duration::from_millis(250));
    }
    let before = world.counter("allocations");
    assert_eq!(world.submit("u1", "reserve", 1000).receive().status(), 503);
    assert!(world.counter("allocations") > before, "the last list is used");
}

#[test]
fn changes_to_an_older_list_are_ignored() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let (mut watch, _) = open_watch(&world);
    let line = |generation: u64, lifecycle: &str| {
        let entries = [list_entry(0, &executor_listener, lifecycle)];
        chunk(&format!("{}\n", json!({"generation": generation, "reset": false, "instances": entries})))
    };
    watch.send(&line(43, "leaving"));
    watch.send(&line(42, "active"));
    assert_eq!(open_watch(&world).1, "0", "the whole list is requested");
    assert_eq!(world.submit("u1", "search", 1500).receive().status(), 503);
    assert_eq!((world.counter("allocations"), world.counter("list_bad")), (0, 1));
}

#[test]
fn an_attempt_whose_connection_is_established_after_a_drain_is_not_sent() {
    // The executor's queue of connections is full: a connection is established when the test allows it.
    let (executor_listener, fill) = full_listener();
    let mut settings = settings();
    settings["caps"]["dial_timeout_ns"] = json!(10e9);
    let world = World::with_settings(&[&executor_listener], settings, 1024, 1024);
    let (mut watch, _) = open_watch(&world);
    let mut client = world.submit("u1", "search", 9000);
    world.wait_for_counter("allocations", 1);
    let line = json!({"generation": 42, "reset": false, "instances": [list_entry(0, &executor_listener, "leaving")]});
    watch.send(&chunk(&format!("{line}\n")));
    world.wait_for_counter("list_lines", 1);
    drop(fill);
    let mut executor = accept_after_filler(&executor_listener);
    assert!(executor.is_closed(), "nothing is written to it");
    assert_eq!(client.receive().status(), 503, "nothing has run");
    assert_eq!(world.counter("relayed"), 0);
}

#[test]
fn an_attempt_whose_client_has_left_during_the_connect_is_not_sent() {
    let (executor_listener, fill) = full_listener();
    let mut settings = settings();
    settings["caps"]["dial_timeout_ns"] = json!(10e9);
    let world = World::with_settings(&[&executor_listener], settings, 1024, 1024);
    let client = world.submit("u1", "search", 9000);
    world.wait_for_counter("allocations", 1);
    // The node is stopped, so it sees the end of the client and the established connection in the same turn of the
    // loop.
    world.signal("STOP");
    let mut executor = accept_after_filler(&executor_listener);
    drop((client, fill));
    world.signal("CONT");
    assert!(executor.is_closed(), "nothing is written to it");
    world.wait_for_counter("withdrawn", 1);
    assert_eq!(world.counter("relayed"), 0);
}

#[test]
fn a_client_that_sends_connection_close_gets_its_response_first() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.connect();
    client.send(&request_text("u1", "search", 9000).replacen(
        "X-Call-Id",
        "Connection: close\r\nX-Call-Id",
        1,
    ));
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "yes"})), 204);
    assert_eq!(client.receive().body, "yes");
    assert!(client.is_closed());
}

#[test]
fn a_last_response_is_not_lost_by_input_that_its_client_sends_meanwhile() {
    // Guards against closing a connection with unread input: that resets it, and the response is lost.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let (mut client, _executor) = accepted_request(&world, &executor_listener, "u1");
    // Sends far more than is read ahead of the next request, before the response.
    client.send(&format!(
        "POST /search HTTP/1.1\r\nX-Call-Id: u2\r\nContent-Length: 60000\r\n\r\n{}",
        "x".repeat(50_000)
    ));
    assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "yes"})), 204);
    let answer = client.receive();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "yes"));
    assert_eq!(answer.header("Connection"), Some("close"), "the client has to send the next request again");
    client.send(&"x".repeat(10_000));
    assert!(client.is_ended(), "the connection is closed without a reset");
}

#[test]
fn the_end_of_a_connection_is_noticed_behind_further_input() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let (mut client, mut executor) = accepted_request(&world, &executor_listener, "u1");
    client.send(&"x".repeat(50_000));
    drop(client);
    assert!(executor.receive().start.starts_with("DELETE /jobs/u1"), "the attempt is cancelled");
    world.wait_for_counter("withdrawn", 1);
}

#[test]
fn nothing_new_goes_to_a_draining_executor() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let (mut watch, _) = open_watch(&world);
    let line = json!({"generation": 42, "reset": false, "instances": [list_entry(0, &executor_listener, "leaving")]});
    watch.send(&chunk(&format!("{line}\n")));
    while world.counter("list_lines") == 0 {}
    // The same ID is used twice: a request that was rejected before any attempt is forgotten.
    for _ in 0..2 {
        assert_eq!(world.submit("u1", "search", 1500).receive().status(), 503);
    }
    assert_eq!(world.counter("allocations"), 0);
}

#[test]
fn a_result_that_comes_after_its_connection_broke_is_used() {
    let (executor_listener, other) = (listener(), listener());
    let world = World::with_executor(&executor_listener);
    let (mut watch, _) = open_watch(&world);
    let mut client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    let changes = [list_entry(0, &executor_listener, "leaving"), list_entry(1, &other, "active")];
    let line = json!({"generation": 42, "reset": false, "instances": changes});
    watch.send(&chunk(&format!("\n{line}\n")));
    while world.counter("list_lines") == 0 {}
    drop(executor);
    let mut second = accept(&other);
    assert_eq!(second.receive().header("X-Call-Id"), Some("u1"), "the request may run again");
    assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "the first one's"})), 204);
    assert_eq!(client.receive().body, "the first one's");
    assert!(second.is_closed(), "the second attempt is cancelled");
    assert_eq!((world.counter("late_results"), world.counter("fulfilled")), (1, 1));
}

#[test]
fn idle_connections_to_executors_are_closed_before_the_idle_timeout() {
    let executor_listener = listener();
    let mut settings = settings();
    settings["caps"]["conn_idle_ns"] = json!(200e6);
    let world = World::with_settings(&[&executor_listener], settings, 1024, 1024);
    let _client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    assert!(executor.is_closed());
    assert_eq!(world.counter("idle_retired"), 1);
}

#[test]
fn more_clients_than_descriptors_are_all_answered() {
    // Guards against closing an accepted connection for lack of descriptors, which loses the request on it. Tests the
    // node's own limit, and a lower one of the system.
    for (sockets, descriptors) in [(36, 36), (1024, 24)] {
        let refusing = refusing_listener();
        let world = World::with_settings(&[&refusing], settings(), sockets, descriptors);
        let mut idle: Vec<TestConnection> = (0..30).map(|_| world.connect()).collect();
        let bring = |i| world.submit(&format!("u{i}"), "reserve", 9000);
        let mut clients: Vec<TestConnection> = (0..16).map(bring).collect();
        for client in &mut clients {
            assert_eq!(client.receive().status(), 503);
        }
        assert!(idle.iter_mut().any(TestConnection::is_closed));
    }
}

#[test]
fn idle_connections_of_executors_are_closed_for_clients_and_attempts() {
    // Guards against a node with few descriptors that are all held by connections on which executors send callbacks:
    // none was left for clients, or for connections to executors. Tests the node's own limit, and a lower one of the
    // system.
    for (sockets, descriptors) in [(36, 1024), (1024, 24)] {
        let executor_listener = listener();
        let world = World::with_settings(&[&executor_listener], settings(), sockets, descriptors);
        let mut callers: Vec<TestConnection> = (0..20).map(|_| world.connect()).collect();
        let extra_headers = |caller: &mut TestConnection| {
            caller.send_callback("none", json!({"state": "running", "share": 0.5}))
        };
        callers.iter_mut().for_each(|caller| assert_eq!(extra_headers(caller), 204));
        let mut client = world.submit("u1", "reserve", 9000);
        let mut executor = accept(&executor_listener);
        assert_eq!(executor.receive().header("X-Call-Id"), Some("u1"));
        executor.answer(202, "");
        assert_eq!(world.send_callback("u1", json!({"state": "done", "result": "yes"})), 204);
        assert_eq!(client.receive().body, "yes");
    }
}

#[test]
fn an_invalid_clock_offset_is_rejected_by_name() {
    let refusing = refusing_listener();
    let world = World::with_executor(&refusing);
    for off in ["soon", "0 9", "1e3", "99999999999 1", "5 1 1"] {
        let (status, log) = world.start_another_with_clock(off);
        assert!(!status.success() && log.contains("GREBEUSHER_CLOCK: expected milliseconds"), "{off}: {log}");
    }
}

#[test]
fn an_executor_without_an_established_connection_has_run_nothing() {
    // The queue of connections holds one and is full: a new connection gets no answer, as from a machine that is cut
    // off.
    let executor_listener = refusing_listener();
    socket2::SockRef::from(&executor_listener).listen(0).expect("the listener is open");
    let _first = TcpStream::connect(address(&executor_listener)).expect("the queue holds one");
    let world = World::with_executor(&executor_listener);
    assert_eq!(world.submit("u1", "reserve", 8000).receive().status(), 503);
    assert_eq!(world.counter("ended_refused"), world.counter("allocations"));
}

#[test]
fn a_node_starts_and_serves_with_its_migrated_settings() {
    // The new deployment sends the list unasked, allows no probes, has one zone, load messages between nodes and no
    // reports of starts, and names its load fields otherwise.
    let executor_listener = listener();
    let mut settings = settings();
    settings["zones"] = json!(["a", "b", "c"]);
    settings["caps"]["may_probe"] = json!(true);
    settings["report"]["via"] = json!("pull");
    let deployment = Deployment {
        list_unasked: true,
        peers: true,
        zones: vec!["a".to_owned()],
        report_fields: vec!["depth".to_owned(), "load_share".to_owned()],
        starts: Some(false),
        ..Deployment::default()
    };
    let world = World::with_changed_config(
        &[&executor_listener],
        settings,
        json!({"sockets": 1024}),
        1024,
        |config| {
            let (config, remarks) = convert(&config, &deployment).expect("the settings can be migrated");
            assert!(remarks.iter().any(|remark| remark.key == "settings.caps.may_probe"));
            config
        },
    );
    let (mut watch, version) = open_watch(&world);
    assert_eq!(version, "41", "over sockets the list is watched");
    let mut client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u1"));
    executor.answer(202, "");
    assert_eq!(world.send_callback("u1", json!({"state": "running", "share": 0.5})), 204);
    let callback = json!({"state": "done", "result": "yes", "load": {"depth": 2, "load_share": 0.5}});
    assert_eq!(world.send_callback("u1", callback), 204);
    assert_eq!(client.receive().body, "yes");
    let line =
        json!({"generation": 42, "reset": false, "instances": [list_entry(0, &executor_listener, "left")]});
    watch.send(&chunk(&format!("{line}\n")));
    world.wait_for_counter("list_lines", 1);
    assert_eq!(world.submit("u2", "search", 1500).receive().status(), 503, "nothing is sent to the executor");
    assert_eq!((world.counter("probes"), world.counter("allocations")), (0, 1));
}

#[test]
fn an_invalid_setting_ends_the_node_at_its_start_and_changes_nothing_on_reload() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let (mut watch, _) = open_watch(&world);
    let nowhere = listener();
    for (bad, (index, value)) in [
        ("/settings/caps/may_probe", json!("no")),
        ("/settings/tariffs/0/patience_ns", json!(-1)),
        ("/limits/sockets", json!("many")),
        ("/listen", json!(address(&nowhere) + "x")),
    ]
    .into_iter()
    .enumerate()
    {
        world.change_config(index, value);
        world.wait_for_counter("postings_bad", bad as u64 + 1);
        let (ended, extra_headers) = world.start_another();
        assert!(!ended.success());
        let key = index.trim_start_matches('/').replace("/0", "[0]").replace('/', ".");
        assert!(extra_headers.contains(&format!("{key}: expected")), "{key}: {extra_headers}");
    }
    let line = json!({"generation": 42, "reset": false, "instances": []});
    watch.send(&chunk(&format!("{line}\n")));
    world.wait_for_counter("list_lines", 1);
    assert_eq!((world.counter("watches"), world.counter("postings_read")), (1, 0));
}

#[test]
fn a_waiting_request_gets_a_second_copy_and_the_first_start_cancels_the_other() {
    // Guards against requests that wait behind long ones while other executors are idle, where second copies are
    // allowed.
    let (a, b) = (listener(), listener());
    let mut settings = settings();
    settings["caps"]["second_copies"] = json!(true);
    let world = World::with_settings(&[&a, &b], settings, 1024, 1024);
    let mut client = world.submit("u1", "search", 9000);
    let (first, mut waiting_executor) = accept_any(&[&a, &b]);
    assert_eq!(waiting_executor.receive().header("X-Call-Id"), Some("u1"));
    waiting_executor.answer(202, "");
    let (second, mut running_executor) = accept_any(&[&a, &b]);
    assert_ne!(first, second);
    assert_eq!(running_executor.receive().header("X-Call-Id"), Some("u1"));
    running_executor.answer(202, "");
    let from = format!("s-{second}");
    assert_eq!(world.send_callback("u1", json!({"from": &from, "state": "started"})), 204);
    assert_eq!(
        waiting_executor.receive().start,
        "DELETE /jobs/u1 HTTP/1.1",
        "the first attempt is cancelled only now"
    );
    waiting_executor.answer(200, "");
    assert_eq!(world.send_callback("u1", json!({"from": &from, "state": "done", "result": "yes"})), 204);
    assert_eq!(client.receive().body, "yes");
    world.wait_for_counter("ended_recalled", 1);
    assert_eq!(world.counter("allocations"), 2);
}

#[test]
fn the_console_answers_while_silent_callers_hold_all_its_connections() {
    let executor_listener = listener();
    let world = World::with_console(&[&executor_listener]);
    let silent: Vec<TestConnection> = (0..40).map(|_| world.connect_console()).collect();
    let incomplete: Vec<TestConnection> = (0..40)
        .map(|_| {
            let mut incomplete = world.connect_console();
            incomplete.send("GET /healthch");
            incomplete
        })
        .collect();
    assert_eq!(world.ask_console("GET /healthcheck").status(), 200);
    assert_eq!(world.ask_console("GET /healthcheck?from=us").status(), 200);
    let wrong = world.ask_console("POST /healthcheck");
    assert_eq!((wrong.status(), wrong.header("Allow")), (405, Some("GET")));
    let wrong = world.ask_console("GET /healthcheck/fail");
    assert_eq!((wrong.status(), wrong.header("Allow")), (405, Some("POST")));
    assert_eq!(world.ask_console("GET /elsewhere").status(), 404);
    assert_eq!(world.ask_console("POST /healthcheck/ok").status(), 200, "the node still serves");
    let too_long = "POST /fleet/submit HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
    for (call, status) in [("no call at all\r\n\r\n", 400), (&"x".repeat(17_000), 431), (too_long, 413)] {
        let mut operator = world.connect_console();
        operator.send(call);
        assert_eq!(operator.receive().status(), status);
    }
    assert!(world.is_ready(), "none of these requests has changed anything");
    drop((silent, incomplete));
}

#[test]
fn a_drained_node_sends_its_clients_elsewhere_and_serves_again() {
    let executor_listener = listener();
    let world = World::with_console(&[&executor_listener]);
    let mut first_client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(202, "");
    let mut balancer = world.connect();
    balancer.send("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(balancer.receive().status(), 200);
    for _ in 0..2 {
        assert_eq!(world.ask_console("POST /healthcheck/fail").status(), 200);
        assert!(!world.is_ready());
        assert_eq!(world.ask_console("GET /healthcheck").status(), 503);
    }
    let mut late_client = world.submit("u2", "search", 9000);
    executor.receive();
    executor.answer(202, "");
    assert!(balancer.is_closed(), "idle connections are closed after the detection time");
    world.signal("HUP");
    world.wait_for_counter("postings_read", 1);
    for (id, client) in [("u1", &mut first_client), ("u2", &mut late_client)] {
        assert_eq!(world.send_callback(id, json!({"state": "done", "result": id})), 204);
        let answer = client.receive();
        assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    }
    assert!(!world.is_ready(), "a reload does not end the drain");
    assert_eq!(world.ask_console("POST /healthcheck/ok").status(), 200);
    assert!(world.is_ready());
    let mut new_client = world.submit("u3", "search", 9000);
    executor.receive();
    executor.answer(202, "");
    assert_eq!(world.send_callback("u3", json!({"state": "done", "result": "u3"})), 204);
    assert_eq!(new_client.receive().header("Connection"), None, "the connection stays open");
}

#[test]
fn a_drain_before_any_executor_is_known_lasts_until_the_stop() {
    let world = World::with_console(&[]);
    assert_eq!(world.ask_console("POST /healthcheck/fail").status(), 200);
    assert_eq!(world.ask_console("POST /healthcheck/ok").status(), 200);
    assert_eq!(world.ask_console("GET /healthcheck").status(), 503, "no executor is known yet");
    assert_eq!(world.ask_console("POST /healthcheck/fail").status(), 200);
    let executor_listener = listener();
    let (mut discovery, _) = open_watch(&world);
    discovery.send(&chunk(
        &(json!({"generation": 42, "instances": [list_entry(0, &executor_listener, "active")]}).to_string()
            + "\n"),
    ));
    world.wait_for_counter("list_lines", 1);
    assert_eq!(world.ask_console("GET /healthcheck").status(), 503, "the node stays drained");
    world.signal("TERM");
    assert!(world.wait_for_exit().success());
}

/// Submits a request that the executor accepts; returns the connections of client and executor.
fn accepted_request(
    world: &World,
    executor_listener: &TcpListener,
    id: &str,
) -> (TestConnection, TestConnection) {
    let client = world.submit(id, "search", 9000);
    let mut executor = accept(executor_listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some(id));
    executor.answer(202, "");
    (client, executor)
}

/// Accepts a watch of the node, and confirms the list.
fn confirmed_watch(world: &World) -> TestConnection {
    let (mut discovery, _) = open_watch(world);
    discovery.send(&chunk("\n"));
    discovery
}

fn done_callback(result: &str) -> serde_json::Value {
    json!({"state": "done", "result": result})
}

#[test]
fn a_new_version_takes_over_and_callbacks_reach_the_owner_in_both_directions() {
    let executor_listener = listener();
    let old = World::with_inherited_listener(&[&executor_listener], Folder::new());
    let _watch = confirmed_watch(&old);
    let (mut first, _executor) = accepted_request(&old, &executor_listener, "u1");
    let mut callback_connection = old.connect();
    assert_eq!(callback_connection.send_callback("u1", json!({"state": "started"})), 204);
    let new = old.start_sibling();
    assert_eq!(new.ask_console("GET /healthcheck").status(), 503, "the list of the settings file may be old");
    assert_eq!(old.ask_console("GET /healthcheck").status(), 200);
    let _watch = confirmed_watch(&new);
    new.wait_until_ready();
    old.signal("TERM");
    while old.ask_console("GET /healthcheck").status() == 200 {}
    let (mut second, _executor) = accepted_request(&new, &executor_listener, "u2");
    assert_eq!(
        callback_connection.send_callback("u2", done_callback("by the new one")),
        204,
        "the old process forwards it"
    );
    assert_eq!(second.receive().body, "by the new one");
    assert_eq!(new.send_callback("u1", done_callback("by the old one")), 204, "the new process forwards it");
    let answer = first.receive();
    assert_eq!((answer.body.as_str(), answer.header("Connection")), ("by the old one", Some("close")));
    assert!(old.wait_for_exit().success(), "all its requests are answered");
    assert_eq!((new.counter("call_backs_passed_on"), new.counter("call_backs_unknown")), (1, 0));
    assert_eq!(new.send_callback("u1", done_callback("again")), 204, "no sibling is left");
}

#[test]
fn a_killed_old_version_leaves_the_new_one_serving_and_its_socket_file_to_the_next() {
    let executor_listener = listener();
    let old = World::with_inherited_listener(&[&executor_listener], Folder::new());
    let new = old.start_sibling();
    let _watches = (confirmed_watch(&old), confirmed_watch(&new));
    new.wait_until_ready();
    old.kill();
    let (mut client, _executor) = accepted_request(&new, &executor_listener, "u1");
    let next = new.start_sibling();
    let _watch = confirmed_watch(&next);
    next.wait_until_ready();
    new.signal("TERM");
    while new.ask_console("GET /healthcheck").status() == 200 {}
    assert_eq!(next.send_callback("u1", done_callback("so be it")), 204);
    assert_eq!(client.receive().body, "so be it");
    assert!(new.wait_for_exit().success());
}

#[test]
fn a_new_version_that_dies_before_it_is_ready_changes_nothing() {
    let executor_listener = listener();
    let old = World::with_inherited_listener(&[&executor_listener], Folder::new());
    let new = old.start_sibling();
    new.kill();
    let (mut client, _executor) = accepted_request(&old, &executor_listener, "u1");
    assert_eq!(old.send_callback("of another life", done_callback("")), 204);
    assert_eq!(old.send_callback("u1", done_callback("so be it")), 204);
    assert_eq!(client.receive().header("Connection"), None);
}

#[test]
fn a_second_upgrade_while_the_first_version_is_still_closing() {
    let executor_listener = listener();
    let first = World::with_inherited_listener(&[&executor_listener], Folder::new());
    let (mut client, _executor) = accepted_request(&first, &executor_listener, "u1");
    let second = first.start_sibling();
    let _watches = (confirmed_watch(&first), confirmed_watch(&second));
    second.wait_until_ready();
    first.signal("TERM");
    while first.ask_console("GET /healthcheck").status() == 200 {}
    let third = second.start_sibling();
    let _watch = confirmed_watch(&third);
    third.wait_until_ready();
    second.signal("TERM");
    assert!(second.wait_for_exit().success(), "the process had accepted no request");
    assert_eq!(third.send_callback("u1", done_callback("by the first")), 204);
    assert_eq!(client.receive().body, "by the first");
    assert!(first.wait_for_exit().success());
}

#[test]
fn the_new_version_of_a_drained_node_serves() {
    let executor_listener = listener();
    let old = World::with_inherited_listener(&[&executor_listener], Folder::new());
    old.wait_until_ready();
    assert_eq!(old.ask_console("POST /healthcheck/fail").status(), 200);
    let new = old.start_sibling();
    let _watches = (confirmed_watch(&old), confirmed_watch(&new));
    new.wait_until_ready();
    old.signal("TERM");
    assert!(old.wait_for_exit().success());
    assert!(new.is_ready());
}

#[test]
fn an_invalid_incomplete_or_silent_sibling_costs_a_bounded_wait() {
    for text in ["nonsense\n", "{\"node\":\"another\"}\n", "{\"node\":\"n0", ""] {
        let (executor_listener, folder) = (listener(), Folder::new());
        let sibling_listener =
            UnixListener::bind(folder.0.join("grebeusher-n0-0.sock")).expect("a socket file");
        let node = World::with_inherited_listener(&[&executor_listener], folder);
        let (mut sibling, _) = sibling_listener.accept().expect("the node connects");
        sibling.write_all(text.as_bytes()).expect("the node reads it");
        let _watch = confirmed_watch(&node);
        node.wait_until_ready();
        let (mut client, _executor) = accepted_request(&node, &executor_listener, "u1");
        // Until the sibling is closed, a callback may be its own and has to be sent again: ten times at most.
        let statuses = (0..10).map(|_| node.send_callback("of another life", done_callback("")));
        assert!(statuses.into_iter().any(|status| status == 204), "{text}");
        assert_eq!(node.send_callback("u1", done_callback("so be it")), 204);
        assert_eq!(client.receive().body, "so be it");
    }
}

#[test]
fn without_a_socket_file_a_node_serves_alone() {
    let (executor_listener, folder) = (listener(), Folder::new());
    let long_path = folder.0.join("a-long-name".repeat(12));
    std::fs::create_dir(&long_path).expect("a folder whose path is too long for a socket file");
    let node = World::with_inherited_listener(&[&executor_listener], Folder(long_path));
    let (mut client, _executor) = accepted_request(&node, &executor_listener, "u1");
    assert_eq!(node.send_callback("u1", done_callback("so be it")), 204);
    assert_eq!(client.receive().body, "so be it");
}

#[test]
fn an_inherited_descriptor_that_is_no_listening_socket_is_rejected_by_name() {
    for (number, expected) in [
        ("4", "Bad file descriptor"),
        ("5", "expected a listening"),
        ("x", "expected a descriptor"),
        ("1", "from 3 on"),
    ] {
        let script = format!("exec 5</dev/null; GW_INHERITED_FD={number} exec \"$0\"");
        let output = Command::new("sh")
            .args(["-c", &script, env!("CARGO_BIN_EXE_grebeusher")])
            .output()
            .expect("the node starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success());
        assert!(log.contains("GW_INHERITED_FD: ") && log.contains(expected), "{number}: {log}");
    }
}

#[test]
fn the_metrics_are_counted_by_class() {
    let (executor_listener, drains, refusing) = (listener(), listener(), refusing_listener());
    let known = [list_entry(0, &executor_listener, "active"), list_entry(1, &drains, "leaving")];
    let world = World::with_console(&[]);
    let at_first = world.ask_console("GET /stats").body;
    for line in ["node.fulfilled.search:0|c", "node.faulted.reserve:0|c", "node.registry_entries:0|g"] {
        assert!(at_first.lines().any(|l| l == line), "{line} in {at_first}");
    }
    let (mut discovery, _) = open_watch(&world);
    discovery.send(&chunk(&format!("{}\n", json!({"generation": 42, "instances": known}))));
    world.wait_for_counter("list_lines", 1);
    let sent = |id: &str, tariff: &str| {
        let client = world.submit(id, tariff, 4000);
        let mut executor = accept(&executor_listener);
        assert_eq!(executor.receive().header("X-Call-Id"), Some(id));
        executor.answer(202, "Connection: close\r\n");
        client
    };
    let mut served = sent("u1", "search");
    assert_eq!(world.send_callback("u1", done_callback("")), 204);
    assert_eq!(served.receive().status(), 200);
    let mut failed = sent("u2", "reserve");
    assert_eq!(world.send_callback("u2", json!({"state": "failed"})), 204);
    assert_eq!(failed.receive().status(), 500);
    let open = sent("u3", "search");
    let assert_metrics = |expected: &[&str]| {
        let text = world.ask_console("GET /stats").body;
        for line in expected {
            assert!(text.lines().any(|l| l == *line), "{line} in {text}");
        }
    };
    assert_metrics(&[
        "node.fulfilled.search:1|c",
        "node.fulfilled.reserve:0|c",
        "node.faulted.reserve:1|c",
        "node.throttled.search:0|c",
        "node.relayed:3|c",
        "node.open_requests:1|g",
        "node.registry_entries:2|g",
        "node.out_of_rotation:1|g",
    ]);
    assert_eq!(
        (world.counter("fulfilled"), world.counter("forfeited")),
        (1, 1),
        "the counters are the sums over the classes"
    );
    drop(open);
    world.wait_for_counter("withdrawn", 1);
    assert_metrics(&["node.open_requests:0|g"]);
    discovery.send(&chunk(&format!(
        "{}\n",
        json!({"generation": 43, "instances": [list_entry(0, &refusing, "active"), list_entry(1, &drains, "left")]})
    )));
    world.wait_for_counter("list_lines", 2);
    let mut turned_back = world.submit("u4", "search", 1000);
    assert_eq!(turned_back.receive().status(), 503);
    assert_metrics(&["node.throttled.search:1|c", "node.registry_entries:1|g"]);
}

#[test]
fn a_slow_sender_is_kept_when_a_crowd_of_incomplete_requests_is_closed() {
    // Guards against closing the client whose request began first when descriptors run out: it may be a well-behaved
    // one on a slow line.
    let executor_listener = listener();
    let world = World::with_settings(&[&executor_listener], settings(), 64, 1024);
    let text = request_text("u1", "search", 9000);
    let mut slow_client = world.connect();
    let (first, rest) = text.split_at(20);
    slow_client.send(first);
    let mut crowd = Vec::new();
    for piece in rest.as_bytes().chunks(20) {
        // A connection is not closed in its first 50 ms, and the others wait in the listen backlog.
        std::thread::sleep(std::time::Duration::from_millis(60));
        slow_client.send(std::str::from_utf8(piece).expect("text"));
        for _ in 0..20 {
            let mut stalled_client = world.connect();
            stalled_client.send("POST /search HTTP/1.1\r\nX-Call");
            crowd.push(stalled_client);
        }
    }
    let mut executor = accept(&executor_listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u1"));
    assert!(world.counter("callers_shed") > 0, "some connections were closed");
}

#[test]
fn a_crowd_of_incomplete_requests_does_not_delay_the_end_of_the_node() {
    // Guards against a stopping node that waits for a crowd of incomplete requests until it is killed, and whose
    // successor starts seconds late.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    world.signal("TERM");
    let node = world.node;
    let crowd = std::thread::spawn(move || {
        let mut stopped = Vec::new();
        while let Ok(mut stream) = TcpStream::connect(node) {
            if stopped.len() % 2 == 0 && stream.write_all(b"POST /search HTTP/1.1\r\nX-Call").is_err() {
                break;
            }
            stopped.push(stream);
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    });
    // The crowd goes on until the node has ended.
    assert!(world.wait_for_exit().success());
    crowd.join().expect("the crowd ends when the node refuses connections");
}

#[test]
fn a_request_whose_client_left_while_the_node_was_stopped_is_sent_to_no_executor() {
    // Guards against a node that was stopped for seconds and then sends requests whose clients have left meanwhile.
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    world.signal("STOP");
    let mut client = world.connect();
    client.send(&request_text("u1", "search", 9000));
    drop(client);
    world.signal("CONT");
    let _client = world.submit("u2", "search", 9000);
    let mut executor = accept(&executor_listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u2"));
    executor.answer(202, "");
    assert_eq!((world.counter("withdrawn_unread"), world.counter("allocations")), (1, 1));
}

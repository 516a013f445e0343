//! Tests of health checks by load balancers.

use crate::fake::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const BOTH_CHECKS: &str = "[checks]\nagent = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n";

#[test]
fn health_checks_show_readiness_and_a_drain_at_once() {
    let executor_listener = listener();
    let world = World::with_frontends(&[&executor_listener], BOTH_CHECKS);
    assert_eq!(world.agent_check(), "ready up 100%");
    for method in ["GET", "HEAD", "OPTIONS"] {
        assert_eq!(world.health_check(method).status(), 200);
    }
    let rejected = world.health_check("POST");
    assert_eq!((rejected.status(), rejected.header("Allow")), (405, Some("GET, HEAD, OPTIONS")));
    assert_eq!(world.ask_console("POST /healthcheck/fail").status(), 200);
    assert_eq!((world.agent_check().as_str(), world.health_check("GET").status()), ("drain", 503));
    assert_eq!(world.ask_console("POST /healthcheck/ok").status(), 200);
    assert_eq!(world.agent_check(), "ready up 100%");
    let empty = World::with_frontends(&[], BOTH_CHECKS);
    assert!(empty.agent_check().starts_with("down #"));
}

#[test]
fn a_ready_node_whose_executors_fail_reports_a_low_weight() {
    let executor_listener = listener();
    let world = World::with_frontends(&[&executor_listener, &executor_listener], BOTH_CHECKS);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..60 {
                let mut executor = accept(&executor_listener);
                executor.receive();
                executor.answer(500, "Connection: close\r\n");
            }
        });
        for number in 0..60 {
            assert_eq!(world.submit(&format!("u{number}"), "reserve", 4000).receive().status(), 500);
        }
    });
    // The verdict is computed ten times a second, so the previous one may still be returned.
    let started = Instant::now();
    while world.agent_check() != "ready up 1%" {
        assert!(started.elapsed() < Duration::from_secs(20), "{}", world.agent_check());
    }
    assert_eq!(
        world.health_check("GET").body,
        "ready up 1%\n",
        "the node is not down for a failure that all nodes share"
    );
}

#[test]
fn a_load_balancer_stops_connecting_after_a_drain() {
    let executor_listener = listener();
    let world = World::with_frontends(&[&executor_listener], BOTH_CHECKS);
    // The load balancer checks and connects if the node is ready, as fast as it can.
    let connects_if_ready = || {
        let is_ready = world.agent_check().starts_with("ready");
        is_ready.then(|| TcpStream::connect(world.node).expect("the node listens")).is_some()
    };
    assert!((0..20).all(|_| connects_if_ready()));
    assert_eq!(world.ask_console("POST /healthcheck/fail").status(), 200);
    assert!((0..20).all(|_| !connects_if_ready()), "no connection after the drain was answered");
    world.signal("TERM");
    assert!(world.wait_for_exit().success());
}

#[test]
fn a_flood_of_checks_is_accepted_slowly_and_delays_no_request() {
    let executor_listener = listener();
    let world = World::with_frontends(&[&executor_listener], &format!("{BOTH_CHECKS}per_s = 1\n"));
    let agent = world.agent.expect("the node has an agent check");
    let mut flood: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(agent).expect("the node listens")).collect();
    let mut client = world.submit("u1", "search", 9000);
    let mut executor = accept(&executor_listener);
    assert_eq!(executor.receive().header("X-Call-Id"), Some("u1"));
    executor.answer(202, "");
    assert_eq!(world.send_callback("u1", crate::done_callback("served")), 204);
    assert_eq!(client.receive().body, "served");
    assert_eq!(world.ask_console("GET /healthcheck").status(), 200);
    // The node accepts one check a second, so most of these have no answer yet.
    let mut answered = 0;
    for stream in &mut flood {
        stream.set_nonblocking(true).expect("the stream is non-blocking");
        answered += usize::from(matches!(stream.peek(&mut [0; 4]), Ok(1..)));
    }
    assert!((1..100).contains(&answered), "{answered}");
}

#[test]
fn an_invalid_section_of_checks_ends_the_node_at_its_start() {
    let world = World::with_console(&[]);
    let path = world.config_path().with_file_name("checks.toml");
    for (text, expected) in [
        ("[checks]\n", "checks: expected an agent or a health address"),
        ("[checks]\nagent = \"127.0.0.1:0\"\nper_s = 0\n", "checks.per_s: expected a whole number from 1"),
        ("[checks]\nhealth = \"127.0.0.1\"\n", "checks.health: invalid socket address"),
    ] {
        std::fs::write(&path, text).expect("the frontend file is written");
        let (ended, log) = world.start_another_with(&path);
        assert!(!ended.success() && log.contains(expected), "{expected}: {log}");
    }
}

//! Stories of the answers to other balancers' checks.

use crate::fake::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const BOTH: &str = "[checks]\nagent = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n";

#[test]
fn a_balancer_hears_how_the_node_is_and_of_a_drain_at_once() {
    let listens = listener();
    let world = World::with_fronts(&[&listens], BOTH);
    assert_eq!(world.agent_says(), "ready up 100%");
    for method in ["GET", "HEAD", "OPTIONS"] {
        assert_eq!(world.health_says(method).status(), 200);
    }
    let wrong = world.health_says("POST");
    assert_eq!((wrong.status(), wrong.header("Allow")), (405, Some("GET, HEAD, OPTIONS")));
    assert_eq!(world.ask("POST /healthcheck/fail").status(), 200);
    assert_eq!((world.agent_says().as_str(), world.health_says("GET").status()), ("drain", 503));
    assert_eq!(world.ask("POST /healthcheck/ok").status(), 200);
    assert_eq!(world.agent_says(), "ready up 100%");
    let empty = World::with_fronts(&[], BOTH);
    assert!(empty.agent_says().starts_with("down #"));
}

#[test]
fn a_node_that_is_well_while_its_workers_fail_says_so_by_its_weight() {
    let listens = listener();
    let world = World::with_fronts(&[&listens, &listens], BOTH);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..60 {
                let mut executor = accept(&listens);
                executor.hear();
                executor.answer(500, "Connection: close\r\n");
            }
        });
        for number in 0..60 {
            assert_eq!(world.bring(&format!("u{number}"), "reserve", 4000).hear().status(), 500);
        }
    });
    // Looked at ten times a second: the one before may still be remembered.
    let started = Instant::now();
    while world.agent_says() != "ready up 1%" {
        assert!(started.elapsed() < Duration::from_secs(20), "{}", world.agent_says());
    }
    assert_eq!(
        world.health_says("GET").body,
        "ready up 1%\n",
        "never down for what all nodes have in common"
    );
}

#[test]
fn a_stand_in_balancer_stops_sending_connections_when_it_is_told() {
    let listens = listener();
    let world = World::with_fronts(&[&listens], BOTH);
    // It asks, and sends a connection if it may; as fast as it can.
    let sends = || {
        let may = world.agent_says().starts_with("ready");
        may.then(|| TcpStream::connect(world.node).expect("the node listens")).is_some()
    };
    assert!((0..20).all(|_| sends()));
    assert_eq!(world.ask("POST /healthcheck/fail").status(), 200);
    assert!((0..20).all(|_| !sends()), "none after the drain was answered");
    world.tell("TERM");
    assert!(world.end().success());
}

#[test]
fn a_flood_of_checks_waits_outside_and_costs_nobody_his_turn() {
    let listens = listener();
    let world = World::with_fronts(&[&listens], &format!("{BOTH}per_s = 1\n"));
    let agent = world.agent.expect("an address");
    let mut flood: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(agent).expect("it listens")).collect();
    let mut client = world.bring("u1", "search", 9000);
    let mut executor = accept(&listens);
    assert_eq!(executor.hear().header("X-Call-Id"), Some("u1"));
    executor.answer(202, "");
    assert_eq!(world.call_back("u1", crate::done("in its turn")), 204);
    assert_eq!(client.hear().body, "in its turn");
    assert_eq!(world.ask("GET /healthcheck").status(), 200);
    // Minutes' worth of them: those that wait were not answered by now.
    let mut answered = 0;
    for stream in &mut flood {
        stream.set_nonblocking(true).expect("a mode");
        answered += usize::from(matches!(stream.peek(&mut [0; 4]), Ok(1..)));
    }
    assert!((1..100).contains(&answered), "{answered}");
}

#[test]
fn a_wrong_section_of_checks_ends_the_node_at_its_start() {
    let world = World::staffed(&[]);
    let path = world.posting_file().with_file_name("checks.toml");
    for (text, says) in [
        ("[checks]\n", "checks: expected an agent or a health address"),
        ("[checks]\nagent = \"127.0.0.1:0\"\nper_s = 0\n", "checks.per_s: expected a whole number from 1"),
        ("[checks]\nhealth = \"127.0.0.1\"\n", "checks.health: invalid socket address"),
    ] {
        std::fs::write(&path, text).expect("it is written");
        let (ended, log) = world.start_another_with(&path);
        assert!(!ended.success() && log.contains(says), "{says}: {log}");
    }
}

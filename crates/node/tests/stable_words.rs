//! The names and texts on the node's wire to clients, executors, discovery and operators, and the names of its
//! environment variables. Others read and write them, so they must stay as they are.

#[allow(dead_code, reason = "tests/node.rs uses the rest of it")]
mod fake;

use fake::*;
use serde_json::json;
use std::process::Command;

#[test]
fn the_headers_of_an_attempt_and_of_a_response_stay_as_they_are() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut client = world.connect();
    client.send(
        "POST /search?q=1 HTTP/1.1\r\nX-Call-Id: u1\r\nX-Call-Class: search\r\nX-Call-Cost: 500000\r\n\
         X-Budget-Ms: 9000\r\nX-Caller: lime\r\nX-Call-Info: slots=1\r\nX-Again: 1\r\nX-Own: 7\r\n\
         Content-Length: 4\r\n\r\nwork",
    );
    let mut executor = accept(&executor_listener);
    let sent = executor.receive();
    let lines = sent.headers.iter().map(|line| {
        let line = line.replace(&address(&executor_listener), "HERE");
        line.split_once("Budget-Ms: ").map_or(line.clone(), |(name, _)| format!("{name}Budget-Ms: N"))
    });
    let lines = lines.collect::<Vec<_>>().join("|");
    assert_eq!((sent.start.as_str(), sent.body.as_str()), ("POST /search?q=1 HTTP/1.1", "work"));
    assert_eq!(
        lines,
        "Host: HERE|X-Call-Id: u1|X-Call-Class: search|X-Budget-Ms: N|X-Call-Cost: 500000|X-Caller: lime|X-Call-Info: slots=1|X-Again: 1|X-Own: 7|Content-Length: 4"
    );
    executor.answer(202, "X-Load-Report: TEXT load_share=0.5, x0=1\r\n");
    let load = r#""load":{"load_share":0.5,"x0":1}"#;
    let mut executor_connection = world.connect();
    for state in
        [r#""state":"started""#, r#""state":"running","share":0.5"#, r#""state":"done","result":"yes""#]
    {
        executor_connection.post("/v1/job-events", &format!(r#"{{"id":"u1","from":"s-0",{state},{load}}}"#));
        assert_eq!(executor_connection.receive().status(), 204, "{state}");
    }
    let answer = client.receive();
    let answer = format!("{}|{}|{}", answer.start, answer.headers.join("|"), answer.body);
    assert_eq!(answer, "HTTP/1.1 200 OK|Content-Length: 3|yes");
}

#[test]
fn each_state_by_which_an_executor_ends_an_attempt_keeps_its_effect() {
    for (state, counter) in [("failed", "ended_error"), ("returned", "ended_full"), ("lost", "ended_reset")] {
        let executor_listener = listener();
        let world = World::with_executor(&executor_listener);
        let _client = world.submit("u1", "reserve", 4000);
        let mut executor = accept(&executor_listener);
        executor.receive();
        executor.answer(202, "");
        assert_eq!(world.send_callback("u1", json!({"state": state})), 204);
        world.wait_for_counter(counter, 1);
    }
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let _client = world.submit("u1", "reserve", 4000);
    let mut executor = accept(&executor_listener);
    executor.receive();
    executor.answer(503, "X-Rejected: 1\r\n");
    world.wait_for_counter("ended_full", 1);
}

#[test]
fn the_request_for_the_executor_list_and_its_fields_stay_as_they_are() {
    let executor_listener = listener();
    let world = World::with_executor(&executor_listener);
    let mut watch = accept(&world.discovery);
    assert_eq!(watch.receive().start, "GET /v1/endpoints?stream=1&index=41 HTTP/1.1");
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (number, lifecycle) in ["active", "leaving", "left"].into_iter().enumerate() {
        let line = format!(
            "{{\"generation\":{},\"reset\":false,\"instances\":[{{\"instanceId\":\"s-0\",\"hostPort\":\"{}\",\
             \"lifecycle\":\"{lifecycle}\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,\"weight\":1.5,\
             \"startedAtMs\":1}}]}}\n",
            42 + number,
            address(&executor_listener)
        );
        watch.send(&format!("{:x}\r\n{line}\r\n", line.len()));
        world.wait_for_counter("list_lines", number as u64 + 1);
        assert_eq!(world.counter("list_bad"), 0, "{lifecycle}");
    }
    let rejected = world.submit("u1", "search", 1500).receive();
    let rejected = format!("{}|{}|{}", rejected.start, rejected.headers.join("|"), rejected.body);
    assert_eq!(rejected, "HTTP/1.1 503 Service Unavailable|Content-Length: 0|");
}

/// The names at the start of the lines of a page.
fn line_names(page: &str) -> String {
    let line_names = page.lines().filter_map(|line| line.split([' ', ':']).next());
    line_names.collect::<Vec<_>>().join(" ")
}

#[test]
fn counters_and_console_pages_keep_their_names() {
    let executor_listener = listener();
    let world = World::with_console(&[&executor_listener]);
    let mut client = world.connect();
    client.send("GET /counters HTTP/1.1\r\n\r\n");
    let counters = line_names(&client.receive().body);
    assert_eq!(
        counters,
        "callers_accepted callers_shed accepts_failed bad_requests units fulfilled turned_back forfeited withdrawn withdrawn_unread allocations relayed accepted ended_error ended_full ended_refused ended_reset ended_timed_out ended_recalled ended_cut_off ended_unusable late_results call_backs call_backs_unknown call_backs_passed_on call_backs_put_off call_backs_bad dials dials_failed idle_retired give_ups_failed probes probes_failed watches watches_broken list_lines list_bad faktory_errors datagrams_sent datagrams_failed datagrams_came datagrams_bad fellows_came fellows_went leaders words_heard lessons postings_read postings_bad"
    );
    client.send("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(client.receive().body, "ready\n");
    world.wait_until_ready();
    for (call, status, body) in [
        ("GET /healthcheck", 200, "ready\n"),
        ("POST /healthcheck/fail", 200, "clients are sent away\n"),
        ("GET /healthcheck", 503, "not ready\n"),
        ("POST /healthcheck/ok", 200, "back to work\n"),
        ("GET /fleet", 404, "no machines are taken out here\n"),
        ("GET /fleet/members", 404, "this node knows no others\n"),
    ] {
        let answer = world.ask_console(call);
        assert_eq!((answer.status(), answer.body.as_str()), (status, body), "{call}");
    }
    let stats = world.ask_console("GET /stats");
    assert_eq!(stats.status(), 200);
    let metrics = [
        "node.fulfilled.search:0|c",
        "node.fulfilled.reserve:0|c",
        "node.throttled.search:0|c",
        "node.throttled.reserve:0|c",
        "node.faulted.search:0|c",
        "node.faulted.reserve:0|c",
        "node.relayed:0|c",
        "node.open_requests:0|g",
        "node.registry_entries:1|g",
        "node.out_of_rotation:0|g",
    ];
    assert_eq!(stats.body.lines().filter(|line| !line.is_empty()).collect::<Vec<_>>(), metrics);
}

/// The last log line of a node that ends at once, without the time, with only these environment variables.
fn last_log_line_with(variables: &[(&str, &str)]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_grebeusher"))
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("the node starts");
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    let last = log.lines().last().unwrap_or_default();
    last.split_once(' ').map_or(last, |(_, rest)| rest).to_owned()
}

#[test]
fn each_environment_variable_keeps_its_name() {
    let folder = Folder::new();
    let config = folder.0.join("posting.json");
    let settings = settings();
    let text = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings}).to_string();
    std::fs::write(&config, text).expect("the settings file is written");
    let config = config.to_str().expect("the path is text");
    let cases = [
        (vec![], "ERROR grebeusher: GW_CONFIG is not set"),
        (
            vec![("GW_CONFIG", "no-such-file")],
            "ERROR grebeusher: no-such-file: No such file or directory (os error 2)",
        ),
        (
            vec![("GW_CONFIG", config), ("GW_INHERITED_FD", "1")],
            "ERROR grebeusher: GW_INHERITED_FD: expected a descriptor from 3 on, found \"1\"",
        ),
        (
            vec![("GW_CONFIG", config), ("GW_CONSOLE", "here")],
            "ERROR grebeusher: GW_CONSOLE: expected an address and a port, found \"here\"",
        ),
        (
            vec![("GW_CONFIG", config), ("GREBEUSHER_FRONTS", "no-such-file")],
            "ERROR grebeusher: no-such-file: No such file or directory (os error 2)",
        ),
        (
            vec![("GW_CONFIG", config), ("GREBEUSHER_FLEET", "no-such-file")],
            "ERROR grebeusher: no-such-file: No such file or directory (os error 2)",
        ),
        (
            vec![("GW_CONFIG", config), ("GREBEUSHER_CLOCK", "here")],
            "ERROR grebeusher: GREBEUSHER_CLOCK: expected milliseconds within a day and a pace of 0.5 to 2, found \"here\"",
        ),
        (vec![("GREBEUSHER_LOG", "off")], ""),
    ];
    for (variables, expected) in cases {
        let log = last_log_line_with(&variables);
        assert_eq!(log, expected, "{variables:?}");
    }
}

#[test]
fn a_log_line_in_json_keeps_its_keys() {
    let output = Command::new(env!("CARGO_BIN_EXE_grebeusher"))
        .env_clear()
        .env("GREBEUSHER_LOG_FORM", "json")
        .output()
        .expect("the node starts");
    let line: serde_json::Value =
        serde_json::from_slice(&output.stderr).expect("the log is one line of JSON");
    let line = line.as_object().expect("the line is an object");
    let keys = line.keys().map(String::as_str).collect::<Vec<_>>().join(" ");
    assert_eq!(keys, "level message target timestamp");
}

//! Words on the node's wire to clients, executors, discovery and staff, and the names of its variables, that others write and
//! read and that must stay as they are.

#[allow(dead_code, reason = "the stories use the rest of it")]
mod fake;

use fake::*;
use serde_json::json;
use std::process::Command;

#[test]
fn a_unit_goes_on_to_an_executor_in_these_lines_and_its_answer_in_these() {
    let listens = listener();
    let world = World::around(&listens);
    let mut client = world.call();
    client.say(
        "POST /search?q=1 HTTP/1.1\r\nX-Call-Id: u1\r\nX-Call-Class: search\r\nX-Call-Cost: 500000\r\n\
         X-Budget-Ms: 9000\r\nX-Caller: lime\r\nX-Call-Info: slots=1\r\nX-Again: 1\r\nX-Own: 7\r\n\
         Content-Length: 4\r\n\r\nwork",
    );
    let mut executor = accept(&listens);
    let sent = executor.hear();
    let lines = sent.headers.iter().map(|line| {
        let line = line.replace(&address(&listens), "HERE");
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
    let mut calls = world.call();
    for state in
        [r#""state":"started""#, r#""state":"running","share":0.5"#, r#""state":"done","result":"yes""#]
    {
        calls.post("/v1/job-events", &format!(r#"{{"id":"u1","from":"s-0",{state},{load}}}"#));
        assert_eq!(calls.hear().status(), 204, "{state}");
    }
    let answer = client.hear();
    let answer = format!("{}|{}|{}", answer.start, answer.headers.join("|"), answer.body);
    assert_eq!(answer, "HTTP/1.1 200 OK|Content-Length: 3|yes");
}

#[test]
fn each_word_by_which_an_executor_ends_a_job_does_what_it_did() {
    for (state, counter) in [("failed", "ended_error"), ("returned", "ended_full"), ("lost", "ended_reset")] {
        let listens = listener();
        let world = World::around(&listens);
        let _client = world.bring("u1", "reserve", 4000);
        let mut executor = accept(&listens);
        executor.hear();
        executor.answer(202, "");
        assert_eq!(world.call_back("u1", json!({"state": state})), 204);
        world.counts(counter, 1);
    }
    let listens = listener();
    let world = World::around(&listens);
    let _client = world.bring("u1", "reserve", 4000);
    let mut executor = accept(&listens);
    executor.hear();
    executor.answer(503, "X-Rejected: 1\r\n");
    world.counts("ended_full", 1);
}

#[test]
fn the_list_is_asked_for_and_read_in_these_words() {
    let listens = listener();
    let world = World::around(&listens);
    let mut watch = accept(&world.discovery);
    assert_eq!(watch.hear().start, "GET /v1/endpoints?stream=1&index=41 HTTP/1.1");
    watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (number, lifecycle) in ["active", "leaving", "left"].into_iter().enumerate() {
        let line = format!(
            "{{\"generation\":{},\"reset\":false,\"instances\":[{{\"instanceId\":\"s-0\",\"hostPort\":\"{}\",\
             \"lifecycle\":\"{lifecycle}\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":1,\"weight\":1.5,\
             \"startedAtMs\":1}}]}}\n",
            42 + number,
            address(&listens)
        );
        watch.say(&format!("{:x}\r\n{line}\r\n", line.len()));
        world.counts("list_lines", number as u64 + 1);
        assert_eq!(world.counter("list_bad"), 0, "{lifecycle}");
    }
    let refused = world.bring("u1", "search", 1500).hear();
    let refused = format!("{}|{}|{}", refused.start, refused.headers.join("|"), refused.body);
    assert_eq!(refused, "HTTP/1.1 503 Service Unavailable|Content-Length: 0|");
}

/// The names in front of the lines of a page.
fn names(page: &str) -> String {
    let names = page.lines().filter_map(|line| line.split([' ', ':']).next());
    names.collect::<Vec<_>>().join(" ")
}

#[test]
fn counters_and_the_pages_of_the_staff_have_these_names() {
    let listens = listener();
    let world = World::staffed(&[&listens]);
    let mut anyone = world.call();
    anyone.say("GET /counters HTTP/1.1\r\n\r\n");
    let counters = names(&anyone.hear().body);
    assert_eq!(
        counters,
        "callers_accepted callers_shed accepts_failed bad_requests units fulfilled turned_back forfeited withdrawn withdrawn_unread allocations relayed accepted ended_error ended_full ended_refused ended_reset ended_timed_out ended_recalled ended_cut_off ended_unusable late_results call_backs call_backs_unknown call_backs_passed_on call_backs_put_off call_backs_bad dials dials_failed idle_retired give_ups_failed probes probes_failed watches watches_broken list_lines list_bad faktory_errors datagrams_sent datagrams_failed datagrams_came datagrams_bad fellows_came fellows_went leaders words_heard lessons postings_read postings_bad"
    );
    anyone.say("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(anyone.hear().body, "ready\n");
    world.becomes_ready();
    for (call, status, body) in [
        ("GET /healthcheck", 200, "ready\n"),
        ("POST /healthcheck/fail", 200, "clients are sent away\n"),
        ("GET /healthcheck", 503, "not ready\n"),
        ("POST /healthcheck/ok", 200, "back to work\n"),
        ("GET /fleet", 404, "no machines are taken out here\n"),
        ("GET /fleet/members", 404, "this node knows no others\n"),
    ] {
        let answer = world.ask(call);
        assert_eq!((answer.status(), answer.body.as_str()), (status, body), "{call}");
    }
    let stats = world.ask("GET /stats");
    assert_eq!(stats.status(), 200);
    let figures = [
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
    assert_eq!(stats.body.lines().filter(|line| !line.is_empty()).collect::<Vec<_>>(), figures);
}

/// What a node says as it ends at once, without the time, with these variables alone.
fn said_with(variables: &[(&str, &str)]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_grebeusher"))
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("it starts");
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let last = said.lines().last().unwrap_or_default();
    last.split_once(' ').map_or(last, |(_, rest)| rest).to_owned()
}

#[test]
fn each_variable_is_read_by_its_name() {
    let folder = Folder::new();
    let posting = folder.0.join("posting.json");
    let settings = settings();
    let text = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings}).to_string();
    std::fs::write(&posting, text).expect("it is written");
    let posting = posting.to_str().expect("it is text");
    let cases = [
        (vec![], "ERROR grebeusher: GW_CONFIG is not set"),
        (
            vec![("GW_CONFIG", "no-such-file")],
            "ERROR grebeusher: no-such-file: No such file or directory (os error 2)",
        ),
        (
            vec![("GW_CONFIG", posting), ("GW_INHERITED_FD", "1")],
            "ERROR grebeusher: GW_INHERITED_FD: expected a descriptor from 3 on, found \"1\"",
        ),
        (
            vec![("GW_CONFIG", posting), ("GW_CONSOLE", "here")],
            "ERROR grebeusher: GW_CONSOLE: expected an address and a port, found \"here\"",
        ),
        (
            vec![("GW_CONFIG", posting), ("GREBEUSHER_FRONTS", "no-such-file")],
            "ERROR grebeusher: no-such-file: No such file or directory (os error 2)",
        ),
        (
            vec![("GW_CONFIG", posting), ("GREBEUSHER_FLEET", "no-such-file")],
            "ERROR grebeusher: no-such-file: No such file or directory (os error 2)",
        ),
        (
            vec![("GW_CONFIG", posting), ("GREBEUSHER_CLOCK", "here")],
            "ERROR grebeusher: GREBEUSHER_CLOCK: expected milliseconds within a day and a pace of 0.5 to 2, found \"here\"",
        ),
        (vec![("GREBEUSHER_LOG", "off")], ""),
    ];
    for (variables, says) in cases {
        let said = said_with(&variables);
        assert_eq!(said, says, "{variables:?}");
    }
}

#[test]
fn a_log_of_json_has_these_keys() {
    let output = Command::new(env!("CARGO_BIN_EXE_grebeusher"))
        .env_clear()
        .env("GREBEUSHER_LOG_FORM", "json")
        .output()
        .expect("it starts");
    let line: serde_json::Value = serde_json::from_slice(&output.stderr).expect("it is one line of JSON");
    let line = line.as_object().expect("it is an object");
    let keys = line.keys().map(String::as_str).collect::<Vec<_>>().join(" ");
    assert_eq!(keys, "level message target timestamp");
}

//! Tests of the command line tool: what it prints, and its exit code.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::thread;

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_grebeusher-fleet")).args(arguments).output().expect("the tool runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A console of a node for tests. It answers the POST requests with the items of `post_answers` in order, and each GET request with `shown`.
/// It stops when all items are used, or, if there are none, after `reads` GET requests. Returns the request lines of the POST
/// requests.
fn console(
    post_answers: Vec<(u16, &'static str)>,
    shown: String,
    reads: usize,
) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("the listener has an address");
    let server = thread::spawn(move || {
        let (mut posts, mut reads_served) = (Vec::new(), 0);
        while posts.len() < post_answers.len() || (post_answers.is_empty() && reads_served < reads) {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut bytes = [0; 4096];
            let length = stream.read(&mut bytes).expect("a request");
            let request_line =
                String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap_or_default().to_owned();
            let (status, body) = match request_line.starts_with("POST") {
                true => post_answers[posts.len()],
                false => (200, shown.as_str()),
            };
            match request_line.starts_with("POST") {
                true => posts.push(request_line),
                false => reads_served += 1,
            }
            let head =
                format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
            stream.write_all((head + body).as_bytes()).expect("the answer is written");
        }
        posts
    });
    (at, server)
}

#[test]
fn plan_check_reports_place_and_reason_without_a_node() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/plan.toml");
    let (code, out, _) = run(&["plan", "check", shipped]);
    assert_eq!(code, Some(0));
    assert!(out.contains("can be gone by"), "{out}");
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let text = std::fs::read_to_string(shipped).expect("the example plan is readable");
    for (from, to, printed) in [
        (
            "most_out = 2",
            "most_out = 0",
            "most_out, most_out_a_zone, most_cold: expected 1 at least, found 0",
        ),
        ("most_out = 2", "most_outs = 2", "most_outs: unknown field"),
        ("[\"s-3\"]", "[\"s-9\"]", "first[0]: expected one of machines, found s-9"),
        ("\"stop\"", "\"halt\"", "when_lost: unknown variant"),
    ] {
        let path = folder.path().join("plan.toml");
        std::fs::write(&path, text.replacen(from, to, 1)).expect("the plan is written");
        let (code, _, message) = run(&["plan", "check", path.to_str().expect("the path is UTF-8")]);
        assert_eq!(code, Some(1), "{message}");
        assert!(message.contains(printed), "{message}");
    }
}

#[test]
fn a_refusal_by_the_voters_is_printed_and_changes_the_exit_code() {
    // The name is chosen by the tool, which looks for the answer under it and repeats the command with it until it finds one.
    let shown = r#"{"age_ms":3,"shown":{"number":7,"plan":"kernel","standing":"runs","why":"","for_s":4,"machines":[],"answers":[[1,"taken"]]}}"#;
    let message = "machines[0]: expected a listed executor";
    let (at, server) = console(vec![(202, "7"), (400, message)], shown.to_owned(), 0);
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/plan.toml");
    let (code, _, printed) = run(&["--at", &at.to_string(), "plan", "submit", shipped]);
    let posts = server.join().expect("the console ran to its end");
    assert_eq!((code, printed.trim()), (Some(1), message));
    assert!(posts[0].starts_with("POST /fleet/submit?name="), "{posts:?}");
    assert_eq!(posts[0], posts[1], "the command is repeated under the same name");
}

#[test]
fn a_plan_is_shown_as_text_and_as_json() {
    let seen = r#"{"age_ms":3,"shown":{"number":7,"plan":"kernel","standing":"stopped","why":"no executor is ready in zone north","for_s":4,"machines":[{"name":"s-0","phase":"draining","for_s":2,"number":6,"why":"waits for node 12"}],"answers":[]}}"#;
    let (at, server) = console(Vec::new(), seen.to_owned(), 2);
    let at = at.to_string();
    let (code, words, _) = run(&["--at", &at, "plan", "show"]);
    assert_eq!(code, Some(0));
    assert!(
        words.contains("kernel: stopped for 4 s") && words.contains("draining for 2 s, waits for node 12"),
        "{words}"
    );
    let (code, json, _) = run(&["--json", "--at", &at, "plan", "show"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!((code, json["machines"][0]["phase"].as_str()), (Some(0), Some("draining")));
    server.join().expect("the console ran to its end");
}

#[test]
fn a_node_that_does_not_answer_is_reported() {
    let free = TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    let (code, _, message) = run(&["--at", &free, "plan", "show"]);
    assert_eq!(code, Some(3));
    assert!(message.contains(&format!("no answer of the node at {free}")), "{message}");
}

//! Short stories of the command line: what it says and by which code it ends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::thread;

fn said(line: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_grebeusher-fleet")).args(line).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A console that answers what is said to it with these, one after the other, and what it is asked with this; until that was
/// said, or where nothing is, asked `looks` times. Tells what was said.
fn console(
    said: Vec<(u16, &'static str)>,
    shown: String,
    looks: usize,
) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("it has one");
    let serves = thread::spawn(move || {
        let (mut told, mut looked) = (Vec::new(), 0);
        while told.len() < said.len() || (said.is_empty() && looked < looks) {
            let (mut caller, _) = listener.accept().expect("a caller");
            let mut bytes = [0; 4096];
            let length = caller.read(&mut bytes).expect("a call");
            let call =
                String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap_or_default().to_owned();
            let (status, body) = match call.starts_with("POST") {
                true => said[told.len()],
                false => (200, shown.as_str()),
            };
            match call.starts_with("POST") {
                true => told.push(call),
                false => looked += 1,
            }
            let head =
                format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
            caller.write_all((head + body).as_bytes()).expect("it is written");
        }
        told
    });
    (at, serves)
}

#[test]
fn a_plan_is_checked_with_place_and_reason_and_nobody_is_asked() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/plan.toml");
    let (code, out, _) = said(&["plan", "check", shipped]);
    assert_eq!(code, Some(0));
    assert!(out.contains("can be gone by"), "{out}");
    let folder = tempfile::tempdir().expect("there is room");
    let text = std::fs::read_to_string(shipped).expect("it is shipped");
    for (from, to, says) in [
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
        std::fs::write(&path, text.replacen(from, to, 1)).expect("written");
        let (code, _, wrong) = said(&["plan", "check", path.to_str().expect("plain letters")]);
        assert_eq!(code, Some(1), "{wrong}");
        assert!(wrong.contains(says), "{wrong}");
    }
}

#[test]
fn what_the_keepers_answer_is_told_and_a_refusal_ends_by_another_code() {
    // The name is the caller's: it goes by the answer under its own, and says it again until there is one.
    let shown = r#"{"age_ms":3,"shown":{"number":7,"plan":"kernel","standing":"runs","why":"","for_s":4,"machines":[],"answers":[[1,"taken"]]}}"#;
    let wrong = "machines[0]: expected a listed executor";
    let (at, serves) = console(vec![(202, "7"), (400, wrong)], shown.to_owned(), 0);
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/plan.toml");
    let (code, _, says) = said(&["--at", &at.to_string(), "plan", "submit", shipped]);
    let told = serves.join().expect("it served");
    assert_eq!((code, says.trim()), (Some(1), wrong));
    assert!(told[0].starts_with("POST /fleet/submit?name="), "{told:?}");
    assert_eq!(told[0], told[1], "said again under the same name");
}

#[test]
fn a_plan_is_shown_in_words_and_as_json() {
    let seen = r#"{"age_ms":3,"shown":{"number":7,"plan":"kernel","standing":"stopped","why":"no executor is ready in zone north","for_s":4,"machines":[{"name":"s-0","phase":"draining","for_s":2,"number":6,"why":"waits for node 12"}],"answers":[]}}"#;
    let (at, serves) = console(Vec::new(), seen.to_owned(), 2);
    let at = at.to_string();
    let (code, words, _) = said(&["--at", &at, "plan", "show"]);
    assert_eq!(code, Some(0));
    assert!(
        words.contains("kernel: stopped for 4 s") && words.contains("draining for 2 s, waits for node 12"),
        "{words}"
    );
    let (code, json, _) = said(&["--json", "--at", &at, "plan", "show"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("it is JSON");
    assert_eq!((code, json["machines"][0]["phase"].as_str()), (Some(0), Some("draining")));
    serves.join().expect("it served");
}

#[test]
fn where_nobody_answers_it_says_so() {
    let free =
        TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("it has one").to_string();
    let (code, _, wrong) = said(&["--at", &free, "plan", "show"]);
    assert_eq!(code, Some(3));
    assert!(wrong.contains(&format!("no answer of the node at {free}")), "{wrong}");
}

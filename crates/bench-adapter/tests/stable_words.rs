//! Words of the bench's wire that other versions write and read: each kind of line in, and each kind of line out with its keys
//! in their order.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::process::{Command, Stdio};

const IN: &str = include_str!("data/lines-in.jsonl");

/// Each kind of line out by its keys, with `0` for each number.
const OUT: &[(&str, &str)] = &[
    ("ack", "{\"type\":\"ack\"}"),
    ("decline", "{\"type\":\"decline\",\"who\":0,\"msg_id\":\"unit-3\",\"wait_ns\":0}"),
    ("drop_request", "{\"type\":\"drop_request\",\"who\":0,\"msg_id\":\"unit-2\"}"),
    (
        "issue",
        "{\"type\":\"issue\",\"who\":0,\"msg_id\":\"unit-1\",\"executor\":\"executor_b\",\"give_up_after_ns\":0}",
    ),
    ("ping", "{\"type\":\"ping\",\"who\":0,\"executor\":\"executor_b\"}"),
    ("recall", "{\"type\":\"recall\",\"who\":0,\"msg_id\":\"unit-3\",\"go\":0}"),
    ("set_alarm", "{\"type\":\"set_alarm\",\"who\":0,\"span_ns\":0,\"name\":0}"),
    ("signal", "{\"type\":\"signal\",\"who\":0,\"recipient\":0,\"payload\":\"\"}"),
    ("watch", "{\"type\":\"watch\",\"who\":0,\"enable\":true}"),
];

/// What the adapter says to these lines, and whether it ended well.
fn told(lines: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_grebeusher-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("its input is a pipe");
    // An adapter that has stopped on an earlier line no longer reads.
    let _ = input.write_all(lines.as_bytes());
    drop(input);
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes| String::from_utf8(bytes).expect("it is UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

/// A line with `0` for each number, and `""` for the payload, which is of the decisions.
fn shape(line: &str) -> String {
    let mut shape = String::new();
    let mut quoted = false;
    for c in line.chars() {
        quoted ^= c == '"';
        match c {
            '0'..='9' if !quoted && shape.ends_with('0') => {}
            '0'..='9' if !quoted => shape.push('0'),
            _ => shape.push(c),
        }
    }
    let payload = shape.find("\"payload\":\"").map(|at| at + "\"payload\":\"".len());
    if let Some(at) = payload {
        let end = shape[at..].find('"').map_or(shape.len(), |end| at + end);
        shape.replace_range(at..end, "");
    }
    shape
}

fn kind(line: &str) -> String {
    let line: Value = serde_json::from_str(line).expect("it is JSON");
    line["type"].as_str().expect("it has a type").to_owned()
}

#[test]
fn each_kind_of_line_out_has_its_keys_in_their_order() {
    let (well, out, said) = told(IN);
    assert!(well, "{said}");
    let mut shapes = BTreeMap::new();
    for line in out.lines() {
        shapes.entry(kind(line)).or_insert_with(|| shape(line));
    }
    let expected = OUT.iter().map(|(kind, shape)| ((*kind).to_owned(), (*shape).to_owned()));
    assert_eq!(shapes, expected.collect());
}

#[test]
fn each_kind_of_line_in_is_known() {
    let known = [
        "bell",
        "born",
        "detach",
        "flush",
        "from_peer",
        "head_received",
        "hint_update",
        "mark",
        "membership",
        "pong",
        "returned",
        "withdrawn",
        "work_item",
    ];
    let mut kinds: Vec<String> = IN.lines().map(kind).collect();
    kinds.sort();
    kinds.dedup();
    assert_eq!(kinds, known);
}

/// The lines in up to where the first unit is out.
fn begun() -> String {
    IN.lines().take(4).map(|line| format!("{line}\n")).collect()
}

#[test]
fn each_word_that_stands_for_a_choice_is_known() {
    let returned = |word: &str| {
        format!(
            r#"{{"type":"returned","who":3,"msg_id":"unit-1","executor":"executor_a","disposition":"{word}"}}"#
        )
    };
    let list = |mode: &str, state: &str| {
        format!(
            r#"{{"type":"membership","who":3,"mode":"{mode}","elements":[{{"executor":"a","stage_state":"{state}"}}]}}"#
        )
    };
    let dispositions =
        ["done", "err", "busy", "etimedout", "econnrefused", "econnreset", "ecanceled", "skipped"];
    let modes = ["broken", "patch", "whole", "stale_copy"];
    let states = ["IN", "LAME", "OUT"];
    let lines = dispositions.map(returned).into_iter();
    let lines =
        lines.chain(modes.map(|mode| list(mode, "IN"))).chain(states.map(|state| list("whole", state)));
    for line in lines {
        let (well, _, said) = told(&format!("{}{line}\n", begun()));
        assert!(well, "{line}: {said}");
    }
}

#[test]
fn what_is_wrong_in_a_line_is_refused_in_one_line() {
    let cases = [
        ("{}", "grebeusher-bench-adapter: line 5: unknown message type \"\""),
        (r#"{"type":"other"}"#, "grebeusher-bench-adapter: line 5: unknown message type \"other\""),
        (r#"{"type":"born","who":4}"#, "grebeusher-bench-adapter: line 5: no facts"),
        (r#"{"type":"born","facts":{}}"#, "grebeusher-bench-adapter: line 5: no instance named"),
        (
            r#"{"type":"born","who":4,"facts":{}}"#,
            "grebeusher-bench-adapter: line 5: tariffs: expected a list of at least one tariff, found nothing",
        ),
        (r#"{"type":"detach","who":9}"#, "grebeusher-bench-adapter: line 5: no instance 9"),
        (r#"{"type":"bell","who":9}"#, "grebeusher-bench-adapter: line 5: no instance 9"),
        (r#"{"type":"bell"}"#, "grebeusher-bench-adapter: line 5: no instance named"),
        (
            r#"{"type":"membership","who":3,"mode":"all"}"#,
            "grebeusher-bench-adapter: line 5: unknown membership mode \"all\"",
        ),
        (
            r#"{"type":"membership","who":3,"mode":"whole","elements":[{"executor":"a","stage_state":"UP"}]}"#,
            "grebeusher-bench-adapter: line 5: unknown stage_state \"UP\"",
        ),
        (r#"{"type":"work_item","who":3}"#, "grebeusher-bench-adapter: line 5: no msg_id"),
        (
            r#"{"type":"returned","who":3,"msg_id":"unit-1","executor":"a","disposition":"well"}"#,
            "grebeusher-bench-adapter: line 5: unknown disposition \"well\"",
        ),
        (
            r#"{"type":"returned","who":3,"msg_id":"unit-1","disposition":"done"}"#,
            "grebeusher-bench-adapter: line 5: no executor",
        ),
        (r#"{"type":"from_peer","who":3,"from":4}"#, "grebeusher-bench-adapter: line 5: no payload"),
        (r#"{"type":"from_peer","who":3,"payload":"00"}"#, "grebeusher-bench-adapter: line 5: no sender"),
        (
            r#"{"type":"from_peer","who":3,"from":4,"payload":"x"}"#,
            "grebeusher-bench-adapter: line 5: payload \"x\": Odd number of digits",
        ),
    ];
    for (line, refused) in cases {
        let (well, _, said) = told(&format!("{}{line}\n", begun()));
        assert!(!well, "{line}");
        assert_eq!(said.trim_end(), refused, "{line}");
    }
}

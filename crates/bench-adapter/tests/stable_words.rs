//! Names on the bench's wire that other versions read and write: each type of input line, and each type of output line with
//! its keys in order.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::process::{Command, Stdio};

const INPUT: &str = include_str!("data/lines-in.jsonl");

/// Each type of output line with its keys, with `0` in place of each number.
const OUTPUT: &[(&str, &str)] = &[
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

/// Runs the adapter on these lines. Returns whether it succeeded, its standard output and its standard error.
fn run_adapter(lines: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_grebeusher-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is a pipe");
    // The adapter may have exited on an earlier line and closed its input.
    let _ = input.write_all(lines.as_bytes());
    drop(input);
    let output = child.wait_with_output().expect("the adapter exits");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

/// A line with `0` in place of each number and an empty payload, which depends on the decisions.
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
    let payload = shape.find("\"payload\":\"").map(|key| key + "\"payload\":\"".len());
    if let Some(start) = payload {
        let end = shape[start..].find('"').map_or(shape.len(), |length| start + length);
        shape.replace_range(start..end, "");
    }
    shape
}

fn type_of(line: &str) -> String {
    let line: Value = serde_json::from_str(line).expect("the line is JSON");
    line["type"].as_str().expect("the line has a type").to_owned()
}

#[test]
fn each_type_of_output_line_has_its_keys_in_order() {
    let (success, output, errors) = run_adapter(INPUT);
    assert!(success, "{errors}");
    let mut shapes = BTreeMap::new();
    for line in output.lines() {
        shapes.entry(type_of(line)).or_insert_with(|| shape(line));
    }
    let expected = OUTPUT.iter().map(|(line_type, shape)| ((*line_type).to_owned(), (*shape).to_owned()));
    assert_eq!(shapes, expected.collect());
}

#[test]
fn each_type_of_input_line_is_known() {
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
    let mut types: Vec<String> = INPUT.lines().map(type_of).collect();
    types.sort();
    types.dedup();
    assert_eq!(types, known);
}

/// The input lines up to the arrival of the first request.
fn first_lines() -> String {
    INPUT.lines().take(4).map(|line| format!("{line}\n")).collect()
}

#[test]
fn each_value_of_an_enumeration_is_known() {
    let returned = |disposition: &str| {
        format!(
            r#"{{"type":"returned","who":3,"msg_id":"unit-1","executor":"executor_a","disposition":"{disposition}"}}"#
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
        let (success, _, errors) = run_adapter(&format!("{}{line}\n", first_lines()));
        assert!(success, "{line}: {errors}");
    }
}

#[test]
fn an_invalid_line_causes_one_line_on_standard_error() {
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
    for (line, expected) in cases {
        let (success, _, errors) = run_adapter(&format!("{}{line}\n", first_lines()));
        assert!(!success, "{line}");
        assert_eq!(errors.trim_end(), expected, "{line}");
    }
}

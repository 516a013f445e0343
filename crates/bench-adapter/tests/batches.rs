//! Runs the adapter on small hand-written batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BORN: &str = r#"{"type":"born","who":3,"nonce64":11,"facts":{"fleet_size":1,"registry_mode":"subscribe","unheard_of":[1],
 "caps":{"most_allocations":3,"second_copies":false,"cancelling":true,"may_probe":false,"retry_after":true,"max_retry_after_ns":2000000000},
 "contract":{"cold_share":0.15,"warm_within_ns":24000000000,"overload_factor":2.5,"fall_ns":1000000000},
 "family_info":{"tells_start":true,"progress_ns":1000000000},"report":{"via":"piggyback","fields":["tps","load_share"]},
 "tariffs":[{"effect":"non_idempotent","quoted_time_ns":400000000,"patience_ns":9000000000,"earnings":5}]}}"#;
const LIST: &str = r#"{"type":"membership","who":3,"mode":"stale_copy","epoch":1,"elements":[{"pod":0,"dc":0,"executor":"executor_a","model":0,"weight":1,"stage_state":"IN"}]}"#;
const ARRIVAL: &str = r#"{"type":"work_item","who":3,"msg_id":"unit-1","class":0,"not_after_ns":9000000000,"effort_ns":12000000,"slots":1,"bits":1}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_grebeusher-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("standard input is a pipe");
    for line in lines {
        // The adapter may have exited on an earlier line and closed its input.
        if writeln!(input, "{}", line.replace('\n', " ")).is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}

fn batch<'a>(lines: &[&'a str]) -> Vec<&'a str> {
    [&[r#"{"type":"mark","sim_time_ns":1000000000}"#], lines, &[r#"{"type":"flush"}"#]].concat()
}

fn answers(lines: &[&str]) -> Vec<serde_json::Value> {
    let output = run(lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("each line is JSON")).collect()
}

fn lines_of_type<'a>(answers: &'a [serde_json::Value], kind: &str) -> Vec<&'a serde_json::Value> {
    answers.iter().filter(|a| a["type"] == kind).collect()
}

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(answers(&batch(&[])), [serde_json::json!({"type": "ack"})]);
}

#[test]
fn a_request_is_issued_with_the_ids_of_the_wire() {
    let answers = answers(&batch(&[BORN, LIST, ARRIVAL]));
    assert_eq!(lines_of_type(&answers, "watch").len(), 1);
    let issued = lines_of_type(&answers, "issue");
    assert_eq!((&issued[0]["msg_id"], &issued[0]["executor"]), (&"unit-1".into(), &"executor_a".into()));
    assert_eq!(issued[0]["who"], 3);
    assert!(issued[0]["give_up_after_ns"].as_u64().is_some_and(|t| t < 8_000_000_000));
}

#[test]
fn a_non_idempotent_request_is_dropped_only_if_it_may_have_run() {
    for (disposition, dropped) in [("econnreset", 1), ("busy", 0)] {
        let returned = format!(
            r#"{{"type":"returned","who":3,"msg_id":"unit-1","disposition":"{disposition}","elapsed_ns":5,"executor":"executor_a","go":0,"usage":[1,0.5]}}"#
        );
        let answers = answers(&batch(&[BORN, LIST, ARRIVAL, &returned, &returned]));
        assert_eq!(lines_of_type(&answers, "drop_request").len(), dropped, "{disposition}");
    }
}

#[test]
fn instances_do_not_affect_each_other() {
    let other = BORN.replace(r#""who":3"#, r#""who":4"#);
    let (list, arrival) = (LIST.replace("\"who\":3", "\"who\":4"), ARRIVAL.replace("\"who\":3", "\"who\":4"));
    let answers =
        answers(&batch(&[BORN, &other, LIST, &list, ARRIVAL, &arrival, r#"{"type":"detach","who":3}"#]));
    let issued = lines_of_type(&answers, "issue");
    assert_eq!(issued.iter().map(|i| i["who"].as_u64()).collect::<Vec<_>>(), [Some(4)]);
}

#[test]
fn a_malformed_line_causes_one_message_and_a_failure_status() {
    let cases = [
        ("{\"type\":", "line 2"),
        (r#"{"type":"unheard_of","who":3}"#, "unheard_of"),
        (r#"{"type":"bell","who":8,"name":1}"#, "no instance 8"),
        (r#"{"type":"bell","name":1}"#, "no instance named"),
    ];
    for (line, expected) in cases {
        let output = run(&[r#"{"type":"mark","sim_time_ns":1}"#, line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && message.contains(expected), "{line}: {message}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}

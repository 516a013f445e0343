//! Compatibility of the external interfaces for clients, executors, operators and the platform, which every version must
//! keep: paths, headers, statuses and bodies of answers, the commands of the program, and the roles of the deploy file.

mod single_node;

use std::path::Path;
use std::process::{Command, Output};

use grebeusher_gateway::{PromptSegments, ServerLoad, TokenCount};
use grebeusher_tier::links::messages::{Call, Reply};
use grebeusher_tier::requests::header_names as names;
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::{SingleNode, answer, plain_answer};

const CLIENTS: u16 = 8144;
const READINESS: u16 = 8140;
const CONTROL: u16 = 8146;

#[test]
fn the_names_of_headers_stay() {
    assert_eq!(names::ATTEMPT_ID, "X-Grebeusher-Attempt-Id");
    assert_eq!(names::DEADLINE_MS, "X-Grebeusher-Deadline-Ms");
    assert_eq!(names::TARGET_INSTANCE, "X-Grebeusher-Target-Instance");
    assert_eq!(names::SERVER_SEAL, "X-Grebeusher-Server-Seal");
    assert_eq!(names::NOT_EXECUTED, "X-Grebeusher-Not-Executed");
    assert_eq!(names::SERVER_LOAD, "X-Grebeusher-Server-Load");
    assert_eq!(names::LAST_EVENT_ID, "Last-Event-Id");
    assert_eq!(names::TOKEN_COUNT, "X-Grebeusher-Token-Count");
    assert_eq!(names::PROMPT_PREFIX, "X-Grebeusher-Prompt-Prefix");
    assert_eq!(names::HOLD_MS, "X-Grebeusher-Hold-Ms");
    assert_eq!(names::BASE_VERSION, "X-Grebeusher-Base-Version");
    assert_eq!(names::MODEL_NAME, "X-Grebeusher-Model-Name");
}

#[test]
fn the_forms_of_hints_stay() {
    assert_eq!(TokenCount::parse("1460,80"), Ok(TokenCount { prompt: 1460, output: 80 }));
    assert_eq!(ServerLoad::parse("3,2,8"), Ok(ServerLoad { running: 3, waiting: 2, slots: 8 }));
    let segments = PromptSegments::parse("5c1e07a2:800,91bd3f06:410").expect("two parts");
    let tokens: Vec<u32> = segments.all().iter().map(|segment| segment.tokens).collect();
    assert_eq!((tokens, segments.shared_tokens()), (vec![800, 410], 800));
}

/// Builds a request with a `Host` header, these header lines and a body.
fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nHost: h.example\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("text")
}

/// Sends a request and returns the answer that the node gives without a call to another node.
fn direct_answer(harness: &mut SingleNode, port: u16, request: &str) -> String {
    let connection = harness.connect(port);
    harness.send(connection, request.as_bytes());
    text(harness.take(connection))
}

/// Sends a request and replies to the resulting call as the leader. Returns the call and the answer of the node.
fn answer_after_reply(harness: &mut SingleNode, port: u16, request: &str, reply: Reply) -> (Call, String) {
    harness.take_calls();
    let connection = harness.connect(port);
    harness.send(connection, request.as_bytes());
    harness.advance(Duration::from_millis(20));
    let (number, call) = harness.take_calls().pop().expect("the leader is called");
    harness.reply(number, reply);
    (call, text(harness.take(connection)))
}

fn answer_reply(status: u16, body: &str) -> Reply {
    Reply::Answer { status, body: body.as_bytes().to_vec() }
}

const EMPTY_404: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const EMPTY_400: &str = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
const EMPTY_502: &str = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
const EMPTY_504: &str = "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n";
const EMPTY_503: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const JSON_200: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}";

/// Starts a node that has just received messages of its peer and a heartbeat of an executor.
fn connected_node() -> SingleNode {
    let mut harness = SingleNode::with_configuration(1);
    harness.send_heartbeat(1, 1, "up");
    harness.add_storage_node();
    harness
}

#[test]
fn the_platform_is_told_whether_the_node_is_ready() {
    let check = request("GET /api/readiness", "", "");
    let ready = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let mut harness = connected_node();
    harness.advance(Duration::from_millis(800));
    harness.add_storage_node();
    assert_eq!(direct_answer(&mut harness, READINESS, &check), ready);
    assert_eq!(direct_answer(&mut harness, CONTROL, &check), ready);
    let other = request("GET /api/ready", "", "");
    assert_eq!(direct_answer(&mut harness, READINESS, &other), EMPTY_404);
    assert_eq!(direct_answer(&mut SingleNode::without_configuration(1), READINESS, &check), EMPTY_503);
}

const HEARTBEAT: &str = r#"{"service":"s","address":"10.9.0.1:8080","zone":"a","config_version":"v1","slot_count":8,"state":"up","cold_left_ms":0,"call_seq":9,"pipeline_stage":"p","models":[{"name":"m","config_version":3}]}"#;

#[test]
fn a_heartbeat_is_answered() {
    let heartbeat = |body: &str| request("POST /api/Instances.Heartbeat/i-1", "", body);
    let mut harness = connected_node();
    assert_eq!(
        direct_answer(&mut harness, CONTROL, &heartbeat(HEARTBEAT)),
        "HTTP/1.1 200 OK\r\nContent-Length: 36\r\nContent-Type: application/json\r\n\r\n{\"heartbeat_target\":\"10.0.0.1:8146\"}"
    );
    // A node without contact to other nodes does not name another one for later heartbeats,
    let mut harness = SingleNode::with_executor();
    assert_eq!(direct_answer(&mut harness, CONTROL, &heartbeat(HEARTBEAT)), JSON_200);
    // and does not acknowledge a change that it can't pass on to other nodes.
    let draining = HEARTBEAT.replace(r#""up""#, r#""draining""#).replace(":9,", ":10,");
    let connection = harness.connect(CONTROL);
    harness.send(connection, heartbeat(&draining).as_bytes());
    harness.advance(Duration::from_millis(2_000));
    assert_eq!(text(harness.take(connection)), EMPTY_503);
}

#[rstest]
#[case::service("service")]
#[case::address("address")]
#[case::zone("zone")]
#[case::slot_count("slot_count")]
#[case::state("state")]
#[case::call_seq("call_seq")]
fn a_heartbeat_without_a_needed_key_is_refused(#[case] key: &str) {
    let body = HEARTBEAT.replacen(&format!("\"{key}\""), &format!("\"{key}x\""), 1);
    assert_ne!(body, HEARTBEAT);
    let heartbeat = request("POST /api/Instances.Heartbeat/i-1", "", &body);
    assert_eq!(direct_answer(&mut SingleNode::with_executor(), CONTROL, &heartbeat), EMPTY_400);
}

#[test]
fn a_deregistration_is_answered() {
    let mut harness = SingleNode::with_executor();
    let deregister = request("POST /api/Instances.Deregister/i-1", "", "");
    let connection = harness.connect(CONTROL);
    harness.send(connection, deregister.as_bytes());
    harness.advance(Duration::from_millis(2_000));
    // The node could not pass the change on to another node.
    assert_eq!(text(harness.take(connection)), EMPTY_503);
}

/// Sends a call about a retirement, replies `verdict` as the leader of each batch partition, and returns the answer.
fn retirement_answer(line: &str, verdict: Reply) -> String {
    let mut harness = connected_node();
    harness.take_calls();
    let client = harness.connect(CONTROL);
    harness.send(client, request(line, "", r#"{"ramp_s":1}"#).as_bytes());
    harness.advance(Duration::from_millis(20));
    for (number, call) in harness.take_calls() {
        match call {
            Call::BeginRetire { node, .. } | Call::ShowRetire { node, .. } => assert_eq!(node, "storage-9"),
            _ => continue,
        }
        harness.reply(number, verdict.clone());
    }
    text(harness.take(client))
}

#[rstest]
#[case::taken(
    "POST /api/Retire.Begin/storage-9",
    Reply::Done,
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}"
)]
#[case::active(
    "GET /api/Retire.Show/storage-9",
    answer_reply(202, ""),
    "HTTP/1.1 200 OK\r\nContent-Length: 18\r\nContent-Type: application/json\r\n\r\n{\"state\":\"active\"}"
)]
#[case::complete(
    "GET /api/Retire.Show/storage-9",
    Reply::Done,
    "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nContent-Type: application/json\r\n\r\n{\"state\":\"complete\"}"
)]
#[case::unknown(
    "POST /api/Retire.Begin/storage-9",
    answer_reply(404, ""),
    "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}"
)]
#[case::too_few(
    "POST /api/Retire.Begin/storage-9",
    answer_reply(409, ""),
    "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}"
)]
#[case::unsure(
    "GET /api/Retire.Show/storage-9",
    Reply::Unclear,
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}"
)]
fn the_emptying_of_a_machine_is_answered(#[case] line: &str, #[case] verdict: Reply, #[case] expected: &str) {
    assert_eq!(retirement_answer(line, verdict), expected);
}

const CONFIGURATION: &str = r#"{"config_version":2,"route_table":[],"service_list":[]}"#;

#[rstest]
#[case::taken(answer_reply(200, "{}"), JSON_200)]
#[case::another_version(
    answer_reply(412, "{}"),
    "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}"
)]
#[case::invalid(
    answer_reply(400, ""),
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nContent-Type: application/json\r\n\r\n"
)]
#[case::unclear(Reply::Unclear, EMPTY_504)]
#[case::no_leader(
    Reply::Done,
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.1\r\n\r\n"
)]
fn a_configuration_that_is_sent_is_answered(#[case] reply: Reply, #[case] expected: &str) {
    let sent = request("POST /api/Configuration.Replace", "X-Grebeusher-Base-Version: 1\r\n", CONFIGURATION);
    let mut harness = SingleNode::with_executor();
    let (call, answer) = answer_after_reply(&mut harness, CONTROL, &sent, reply);
    assert_eq!(answer, expected);
    let Call::ReplaceConfiguration { base, body } = call else { panic!("another call") };
    assert_eq!((base, body.as_slice()), (1, CONFIGURATION.as_bytes()));
}

#[test]
fn a_wrong_configuration_is_refused_by_its_reason() {
    let mut harness = SingleNode::with_executor();
    let line = "POST /api/Configuration.Replace";
    let reason = "config_version: expected a whole number above 0, at most 2^53";
    assert_eq!(
        direct_answer(&mut harness, CONTROL, &request(line, "", "{}")),
        format!("HTTP/1.1 400 Bad Request\r\nContent-Length: {}\r\n\r\n{reason}", reason.len())
    );
    let base = "X-Grebeusher-Base-Version: one\r\n";
    assert_eq!(direct_answer(&mut harness, CONTROL, &request(line, base, CONFIGURATION)), EMPTY_400);
}

#[rstest]
#[case::in_force(Reply::Configuration { version: 2, body: CONFIGURATION.as_bytes().to_vec() }, "HTTP/1.1 200 OK\r\nContent-Length: 55\r\nContent-Type: application/json\r\n\r\n{\"config_version\":2,\"route_table\":[],\"service_list\":[]}")]
#[case::none_yet(Reply::Configuration { version: 0, body: vec![] }, EMPTY_404)]
#[case::unclear(Reply::Unclear, EMPTY_504)]
fn the_configuration_in_force_is_shown(#[case] reply: Reply, #[case] expected: &str) {
    let show = request("GET /api/Configuration.Show", "", "");
    let (call, answer) = answer_after_reply(&mut SingleNode::with_executor(), CONTROL, &show, reply);
    assert_eq!(answer, expected);
    assert!(matches!(call, Call::ShowConfiguration));
}

#[rstest]
#[case::shown(
    "GET /api/status/0",
    answer_reply(200, "part 0 is well\n"),
    "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nContent-Type: text/plain\r\n\r\npart 0 is well\n"
)]
#[case::no_leader(
    "GET /api/status/0",
    Reply::Done,
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.1\r\n\r\n"
)]
fn the_status_of_a_partition_is_shown(#[case] line: &str, #[case] reply: Reply, #[case] expected: &str) {
    let mut harness = SingleNode::with_executor();
    let (call, answer) = answer_after_reply(&mut harness, CONTROL, &request(line, "", ""), reply);
    assert_eq!(answer, expected);
    assert!(matches!(call, Call::ShowPartition { partition: 0 }));
}

#[rstest]
#[case("GET /api/status/4")]
#[case("GET /api/status/one")]
#[case("POST /api/status")]
#[case("GET /api/Configuration.Replace")]
#[case("POST /api/Configuration.Show")]
#[case("GET /api/Instances.Heartbeat/i-1")]
#[case("GET /")]
fn what_is_no_call_of_the_control_plane_is_not_found(#[case] line: &str) {
    let mut harness = SingleNode::with_executor();
    assert_eq!(direct_answer(&mut harness, CONTROL, &request(line, "", "")), EMPTY_404);
}

#[test]
fn the_status_of_a_node_keeps_its_lines() {
    let mut harness = connected_node();
    let answer = direct_answer(&mut harness, CONTROL, &request("GET /api/status", "", ""));
    let (head, lines) = answer.split_once("\r\n\r\n").expect("a head");
    assert_eq!(head, format!("HTTP/1.1 200 OK\r\nContent-Length: {}", lines.len()));
    assert_eq!(
        lines,
        "node edge-1 10.0.0.1:7660\nready true stopping false\nconfiguration 1\nmember edge-1 10.0.0.1:7660 Alive Edge a\nmember edge-2 10.0.0.2:7660 Alive Edge a\nmember storage-1 10.0.0.2:7660 Alive Storage a\npart 0 without an owner\npart 1 without an owner\npart 2 without an owner\npart 3 without an owner\nexecutor i-1 s 10.9.0.1:8080 Up silent false\nrequests 0 refused 0 failed 0 malformed 0 under way 0 items 0\nchosen by pick 0 home 0 next home 0 kept 0 out of lane 0 queued 0 in doubt 0 refused 0 nobody 0\npopular prefixes: each node judges alone\n"
    );
}

const BULK: &str = r#"{"batch_items":[{"instance_id":"a","path":"/bulk/a","header_map":{},"payload":"q80=","token_count":9}]}"#;

#[rstest]
#[case::taken(
    answer_reply(202, "{}"),
    "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}"
)]
#[case::full(
    answer_reply(429, "{}"),
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 2\r\nRetry-After: 0.3\r\n\r\n{}"
)]
#[case::unclear(Reply::Unclear, EMPTY_504)]
fn a_batch_job_that_is_submitted_is_answered(#[case] reply: Reply, #[case] expected: &str) {
    let mut harness = SingleNode::with_executor();
    harness.add_storage_node();
    let submit = request("POST /bulk/x", "X-Grebeusher-Attempt-Id: job-1\r\n", BULK);
    harness.take_calls();
    let client = harness.connect(CLIENTS);
    harness.send(client, submit.as_bytes());
    harness.advance(Duration::from_millis(20));
    let (number, call) = harness.take_calls().pop().expect("the leader is called");
    assert!(matches!(call, Call::SubmitJob(_)), "{call:?}");
    harness.reply(number, reply);
    harness.advance(Duration::from_millis(3_000));
    assert_eq!(text(harness.take(client)), expected);
}

#[test]
fn a_wrong_batch_job_is_refused() {
    let mut harness = SingleNode::with_executor();
    let id = "X-Grebeusher-Attempt-Id: job-1\r\n";
    assert_eq!(direct_answer(&mut harness, CLIENTS, &request("POST /bulk/x", "", BULK)), EMPTY_400);
    assert_eq!(
        direct_answer(&mut harness, CLIENTS, &request("POST /bulk/x", id, "{}")),
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 43\r\n\r\n`batch_items` is missing or of another kind"
    );
    assert_eq!(
        direct_answer(&mut harness, CLIENTS, &request("GET /bulk/x", id, "")),
        "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n"
    );
}

#[test]
fn the_calls_about_a_batch_job_stay() {
    let mut harness = SingleNode::with_executor();
    harness.add_storage_node();
    let page = r#"{"total":1,"next_token":1,"result_list":[]}"#;
    let read = request("GET /api/lots/job-1?resume_after=1", "X-Grebeusher-Hold-Ms: 700\r\n", "");
    let (call, answer) = answer_after_reply(&mut harness, CLIENTS, &read, answer_reply(200, page));
    let Call::ReadJob { job, resume_after, hold_ms, .. } = call else { panic!("another call") };
    assert_eq!((job.as_str(), resume_after, hold_ms), ("job-1", 1, 700));
    assert_eq!(
        answer,
        "HTTP/1.1 200 OK\r\nContent-Length: 43\r\nContent-Type: application/json\r\n\r\n{\"total\":1,\"next_token\":1,\"result_list\":[]}"
    );

    let item = request("GET /api/items/job-1?instance_id=a", "", "");
    let (call, answer) = answer_after_reply(&mut harness, CLIENTS, &item, answer_reply(200, "body"));
    let Call::ReadItem { job, item, .. } = call else { panic!("another call") };
    assert_eq!((job.as_str(), item.as_str()), ("job-1", "a"));
    assert_eq!(answer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: application/json\r\n\r\nbody");
    let unnamed = request("GET /api/items/job-1", "", "");
    assert_eq!(direct_answer(&mut harness, CLIENTS, &unnamed), EMPTY_400);

    let end = request("DELETE /api/lots/job-1", "", "");
    let (call, answer) = answer_after_reply(&mut harness, CLIENTS, &end, answer_reply(200, "{}"));
    let Call::EndJob { job, .. } = call else { panic!("another call") };
    assert_eq!((job.as_str(), answer.as_str()), ("job-1", JSON_200));
    let (_, answer) = answer_after_reply(&mut harness, CLIENTS, &read, answer_reply(404, ""));
    assert_eq!(
        answer,
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nContent-Type: application/json\r\n\r\n"
    );
    let (_, answer) = answer_after_reply(&mut harness, CLIENTS, &read, Reply::Unclear);
    assert_eq!(answer, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.3\r\n\r\n");
}

#[test]
fn a_request_and_its_answer_pass_the_node_as_ever() {
    let mut harness = SingleNode::with_executor();
    let headers = "X-Grebeusher-Attempt-Id: one\r\nX-Grebeusher-Deadline-Ms: 5000\r\nX-Grebeusher-Model-Name: m\r\nX-Grebeusher-Token-Count: 9,1\r\nX-Grebeusher-Prompt-Prefix: 5c:9\r\nLast-Event-Id: 3\r\nX-Other: kept\r\n";
    let client = harness.connect(CLIENTS);
    harness.send(client, request("POST /resumable/x?y=z", headers, "ask").as_bytes());
    let connection = harness.executor_connection().expect("the request is sent");
    assert_eq!(
        text(harness.take(connection)),
        "POST /resumable/x?y=z HTTP/1.1\r\nHost: h.example\r\nX-Grebeusher-Attempt-Id: one\r\nX-Grebeusher-Model-Name: m\r\nX-Grebeusher-Token-Count: 9,1\r\nX-Grebeusher-Prompt-Prefix: 5c:9\r\nX-Other: kept\r\nX-Grebeusher-Deadline-Ms: 5000\r\nX-Grebeusher-Target-Instance: i-1\r\nLast-Event-Id: 3\r\nContent-Length: 3\r\n\r\nask"
    );

    let client = harness.client("idempotent", "two", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    assert_eq!(
        text(harness.take(connection)),
        "POST /idempotent/x HTTP/1.1\r\nHost: h.example\r\nX-Grebeusher-Attempt-Id: two\r\nX-Grebeusher-Deadline-Ms: 5000\r\nX-Grebeusher-Target-Instance: i-1\r\nContent-Length: 3\r\n\r\nask"
    );
    harness.send(connection, &answer("two", "done"));
    assert_eq!(
        text(harness.take(client)),
        "HTTP/1.1 200 OK\r\nX-Grebeusher-Attempt-Id: two\r\nX-Grebeusher-Server-Seal: seal-two\r\nContent-Length: 4\r\n\r\ndone"
    );
}

#[test]
fn a_stream_passes_the_node_event_by_event() {
    let mut harness = SingleNode::with_executor();
    let client = harness.client("streaming", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Grebeusher-Attempt-Id: one\r\nX-Grebeusher-Server-Seal: seal-one\r\nTransfer-Encoding: chunked\r\n\r\n";
    let events = "19\r\nid: 0\ndata: one\n\nid: 1\nda\r\n9\r\nta: two\n\n\r\n0\r\n\r\n";
    harness.send(connection, format!("{head}{events}").as_bytes());
    assert_eq!(
        text(harness.take(client)),
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Grebeusher-Attempt-Id: one\r\nX-Grebeusher-Server-Seal: seal-one\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 0\ndata: one\n\n\r\n11\r\nid: 1\ndata: two\n\n\r\n0\r\n\r\n"
    );
}

#[test]
fn the_answers_of_the_node_itself_stay() {
    let mut harness = SingleNode::with_executor();
    let id = "X-Grebeusher-Attempt-Id: one\r\n";
    assert_eq!(direct_answer(&mut harness, CLIENTS, &request("GET /nowhere/", id, "")), EMPTY_404);
    assert_eq!(direct_answer(&mut harness, CLIENTS, &request("POST /idempotent/x", "", "ask")), EMPTY_400);
    // An executor closes the connection before its answer,
    let client = harness.client("non_idempotent", "two", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    harness.reset(connection);
    assert_eq!(text(harness.take(client)), EMPTY_502);
    // another answers that it has not executed the request,
    let client = harness.client("non_idempotent", "three", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    let refused = "X-Grebeusher-Attempt-Id: three\r\nX-Grebeusher-Not-Executed: 1\r\n";
    harness.send(connection, &plain_answer(503, refused));
    harness.advance(Duration::from_millis(6_100));
    assert_eq!(
        text(harness.take(client)),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.300\r\n\r\n"
    );
    // and another does not answer.
    let client = harness.client("non_idempotent", "four", b"ask");
    harness.advance(Duration::from_millis(6_100));
    assert_eq!(text(harness.take(client)), EMPTY_504);
    // A node that has just started has no configuration.
    let mut harness = SingleNode::without_configuration(1);
    assert_eq!(
        direct_answer(&mut harness, CLIENTS, &request("POST /idempotent/x", id, "ask")),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.7\r\n\r\n"
    );
}

#[rstest]
#[case::no_request(
    "GARBAGE\r\n\r\n",
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)]
#[case::long_head(&format!("GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "a".repeat(20_000)), "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")]
#[case::large_body(
    "POST /idempotent/x HTTP/1.1\r\nHost: h.example\r\nX-Grebeusher-Attempt-Id: one\r\nContent-Length: 5000000\r\n\r\n",
    "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)]
#[case::slow_head(
    "GET / HTTP/1.1\r\nHost: h",
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)]
fn a_request_that_the_limits_do_not_allow_is_answered(#[case] sent: &str, #[case] expected: &str) {
    let mut harness = SingleNode::with_executor();
    let client = harness.connect(CLIENTS);
    harness.send(client, sent.as_bytes());
    harness.advance(Duration::from_millis(3_500));
    assert_eq!(text(harness.take(client)), expected);
}

/// The command that runs the program, without the environment variable for the settings file.
fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebeusher-tier"));
    command.args(arguments).env_remove("GREBEUSHER_NODE_FILE");
    command
}

/// Runs a command and returns its exit code, standard output and standard error.
fn run_program(command: &mut Command) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = command.output().expect("the program runs");
    (status.code(), text(stdout), text(stderr))
}

#[rstest]
fn a_node_without_settings_says_which_variable_names_them(#[values("edge", "storage")] command: &str) {
    let line = "GREBEUSHER_NODE_FILE names no settings file\n";
    assert_eq!(run_program(&mut program(&[command])), (Some(1), String::new(), line.to_owned()));
    let mut named = program(&[command]);
    named.env("GREBEUSHER_NODE_FILE", "no/such/file");
    let line = "no/such/file: No such file or directory (os error 2)\n";
    assert_eq!(run_program(&mut named), (Some(1), String::new(), line.to_owned()));
}

#[test]
fn a_settings_file_is_checked() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let right = folder.join("stable-words-right.json");
    let settings = r#"{"node_name":"n","role":"edge","machine_class":"edge","ip_address":"10.0.0.1","zone":"z","region":"c","internal_ports":[1,2],"limits":{"cpu_share":1,"memory_mb":1,"file_descriptors":1,"link_mbps":1}}"#;
    std::fs::write(&right, settings).expect("a file");
    let path = right.to_str().expect("text");
    assert_eq!(run_program(&mut program(&["check", path])), (Some(0), String::new(), String::new()));

    let wrong = folder.join("stable-words-wrong.json");
    std::fs::write(&wrong, settings.replace("node_name", "node")).expect("a file");
    let path = wrong.to_str().expect("text");
    let line = format!("{path}: settings: node_name: expected a text that is not empty\n");
    assert_eq!(run_program(&mut program(&["check", path])), (Some(1), String::new(), line));
}

#[test]
fn an_address_without_a_node_is_not_shown() {
    let (status, out, error) = run_program(&mut program(&["show", "127.0.0.1:1"]));
    assert_eq!((status, out.as_str()), (Some(1), ""));
    assert!(error.starts_with("127.0.0.1:1: "), "{error}");
}

#[test]
fn the_program_names_its_commands() {
    let (status, out, _) = run_program(&mut program(&["--help"]));
    assert_eq!(status, Some(0));
    let listed = out.split_once("Available commands:").expect("a list of commands").1;
    let commands: Vec<&str> = listed
        .lines()
        .filter(|line| line.starts_with("    ") && !line.starts_with("     "))
        .filter_map(|line| line.split_whitespace().next())
        .filter(|word| !word.starts_with('-'))
        .collect();
    assert_eq!(commands, ["edge", "storage", "check", "show"]);
    assert!(out.contains("GREBEUSHER_NODE_FILE"), "{out}");
}

#[test]
fn the_roles_of_the_deploy_file_stay() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let file = std::fs::read_to_string(path).expect("the file is there");
    let lines: Vec<&str> = file.lines().filter(|line| !line.is_empty() && !line.starts_with('#')).collect();
    // Each role runs the program that `build` builds, with the role as the command.
    let program = Path::new(env!("CARGO_BIN_EXE_grebeusher-tier"));
    let program = program.file_name().and_then(|name| name.to_str()).expect("a name");
    let build = format!("build = \"cargo build --release --locked -p {program}\"");
    let run = |role: &str| format!("run = \"target/release/{program} {role}\"");
    let (edge, storage) = (run("edge"), run("storage"));
    let expected = [
        build.as_str(),
        r#"packages = ["gcc", "libc6-dev", "ca-certificates"]"#,
        "[roles.edge]",
        &edge,
        r#"on = "edge""#,
        "share = 1.0",
        r#"serves = ["edge", "controller"]"#,
        "[roles.storage]",
        &storage,
        r#"on = "storage""#,
        "share = 1.0",
        r#"serves = ["storage"]"#,
    ];
    assert_eq!(lines, expected);
}

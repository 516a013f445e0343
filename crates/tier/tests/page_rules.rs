//! Statements of the operators' documentation that concern a single edge node.

mod single_node;

use grebeusher_time::Duration;
use rstest::rstest;
use single_node::{SingleNode, answer, request, status_of};

/// The value of a header in the bytes of a request.
fn header<'a>(bytes: &'a str, name: &str) -> Option<&'a str> {
    bytes.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

#[test]
fn hints_reach_the_executor_as_the_client_sent_them() {
    // Given a request with all hint headers and with `Connection: close`,
    let mut harness = SingleNode::with_executor();
    let hints = "X-Grebeusher-Model-Name: m-7\r\nX-Grebeusher-Token-Count: 1460,80\r\nX-Grebeusher-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nX-Other: kept\r\nConnection: close\r\n";
    let text = format!(
        "POST /streaming/x HTTP/1.1\r\nHost: h.example\r\nX-Grebeusher-Attempt-Id: one\r\n{hints}Content-Length: 3\r\n\r\nask"
    );
    let client = harness.connect(8144);
    harness.send(client, text.as_bytes());
    // when it is sent to an executor, then the hints are unchanged, and the headers that concern one connection are left out.
    let connection = harness.executor_connection().expect("the request is sent");
    let sent = String::from_utf8(harness.take(connection)).expect("text");
    assert_eq!(header(&sent, "X-Grebeusher-Model-Name"), Some("m-7"));
    assert_eq!(header(&sent, "X-Grebeusher-Token-Count"), Some("1460,80"));
    assert_eq!(header(&sent, "X-Grebeusher-Prompt-Prefix"), Some("5c1e07a2:800,91bd3f06:410"));
    assert_eq!(header(&sent, "X-Other"), Some("kept"));
    assert_eq!(header(&sent, "Connection"), None);
    assert!(sent.ends_with("\r\n\r\nask"), "{sent}");
}

#[test]
fn a_second_attempt_has_the_time_left_as_its_deadline() {
    // Given a request with a deadline of five seconds whose first executor sends nothing,
    let mut harness = SingleNode::with_executors(2);
    let client = harness.client("idempotent", "one", b"ask");
    let first = harness.executor_connection().expect("the request is sent");
    let deadline_ms = |bytes: Vec<u8>| -> u64 {
        let text = String::from_utf8(bytes).expect("text");
        let value = header(&text, "X-Grebeusher-Deadline-Ms").expect("a deadline");
        value.parse().expect("a number")
    };
    let first_ms = deadline_ms(harness.take(first));
    assert!((4_900..=5_000).contains(&first_ms), "{first_ms}");
    // when it is sent to another executor a second later, then with a deadline that is a second shorter.
    harness.advance(Duration::from_millis(1_000));
    let second = harness.executor_connection().expect("the request is sent again");
    let second_ms = deadline_ms(harness.take(second));
    assert!(second_ms <= 4_150, "{second_ms}");
    harness.send(second, &answer("one", "done"));
    assert_eq!(status_of(&harness.take(client)), Some(200));
}

#[rstest]
fn the_client_gets_a_response_at_the_timeout_of_the_route(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
) {
    // Given a client with a longer deadline than the timeout of its route, and an executor that sends nothing,
    let mut harness = SingleNode::with_executor();
    let bytes = String::from_utf8(request(route, "one", b"ask")).expect("text");
    let client = harness.connect(8144);
    harness.send(client, bytes.replace("Deadline-Ms: 5000", "Deadline-Ms: 60000").as_bytes());
    // when the route's timeout of six seconds is over, then the client has its response.
    harness.advance(Duration::from_millis(6_100));
    assert!(matches!(status_of(&harness.take(client)), Some(502 | 504)));
}

#[test]
fn a_node_without_a_configuration_asks_the_client_to_retry() {
    // Given a node that has just started, when a request is received, then the response says when to retry.
    let mut harness = SingleNode::without_configuration(3);
    let client = harness.client("idempotent", "one", b"ask");
    let received = harness.take(client);
    assert_eq!(status_of(&received), Some(503));
    assert!(String::from_utf8_lossy(&received).contains("Retry-After: "));
}

#[test]
fn an_idle_connection_stays_open_until_the_idle_timeout() {
    // Given a connection that has carried a request, and an idle timeout of ten seconds,
    let mut harness = SingleNode::with_executor();
    let client = harness.client("idempotent", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    harness.send(connection, &answer("one", "done"));
    assert_eq!(status_of(&harness.take(client)), Some(200));
    // when it is idle for nine tenths of that time, then it carries another request.
    harness.advance(Duration::from_millis(9_000));
    assert!(!harness.is_closed(client));
    harness.send(client, &request("idempotent", "two", b"ask"));
    let next_connection = harness.executor_connection().unwrap_or(connection);
    harness.send(next_connection, &answer("two", "again"));
    assert_eq!(status_of(&harness.take(client)), Some(200));
    // When it is idle for longer, then it is closed without a response.
    harness.advance(Duration::from_millis(11_000));
    assert!(harness.is_closed(client));
    assert_eq!(harness.take(client), b"");
}

#[test]
fn a_stopping_node_is_not_ready_and_closes_its_connections_after_each_response() {
    // Given a node that serves requests,
    let mut harness = SingleNode::with_executor();
    let readiness_check = b"GET /api/readiness HTTP/1.1\r\nHost: n\r\n\r\n";
    // when it is told to stop, then the next readiness check fails,
    harness.network.borrow_mut().stop();
    harness.turn();
    let platform = harness.connect(8140);
    harness.send(platform, readiness_check);
    assert_eq!(status_of(&harness.take(platform)), Some(503));
    // and requests are still served, on connections that are closed after the response.
    let client = harness.client("idempotent", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    harness.send(connection, &answer("one", "done"));
    let received = harness.take(client);
    assert_eq!(status_of(&received), Some(200));
    assert!(String::from_utf8_lossy(&received).contains("Connection: close"));
    assert!(harness.is_closed(client));
}

#[test]
fn a_stream_that_could_outlast_a_stopping_node_is_refused() {
    // Given a node that was told to stop 3.5 seconds ago and still has a request in flight,
    let mut harness = SingleNode::with_executors(2);
    let early = harness.client("streaming", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    harness.network.borrow_mut().stop();
    harness.turn();
    harness.advance(Duration::from_millis(3_500));
    // when a stream is requested that may take five seconds, then it is refused at once, with the time after which to retry,
    // and no executor gets it.
    let late = harness.client("streaming", "two", b"ask");
    let received = harness.take(late);
    assert_eq!(status_of(&received), Some(503));
    assert!(String::from_utf8_lossy(&received).contains("Retry-After: "));
    assert!(harness.executor_connection().is_none());
    // The earlier request is served.
    harness.send(connection, &answer("one", "done"));
    assert_eq!(status_of(&harness.take(early)), Some(200));
}

#[test]
fn a_client_that_still_waits_when_a_node_ends_gets_a_response() {
    // Given a request on a stopping node that takes longer than the node has left,
    let mut harness = SingleNode::with_executor();
    harness.network.borrow_mut().stop();
    harness.turn();
    harness.advance(Duration::from_millis(2_300));
    let bytes = String::from_utf8(request("non_idempotent", "one", b"ask")).expect("text");
    let client = harness.connect(8144);
    harness.send(client, bytes.replace("Deadline-Ms: 5000", "Deadline-Ms: 60000").as_bytes());
    assert!(harness.executor_connection().is_some());
    // when the node ends, then the client gets 504, which does not promise that the request has not run.
    harness.advance(Duration::from_millis(5_300));
    assert!(harness.node.must_exit());
    assert_eq!(status_of(&harness.take(client)), Some(504));
}

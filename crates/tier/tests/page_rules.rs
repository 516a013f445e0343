//! Sentences of the operators' pages that one edge node keeps by itself.

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
    // Given a request with all hints and a connection that the client wants closed,
    let mut single = SingleNode::with_executor();
    let hints = "X-Grebeusher-Model-Name: m-7\r\nX-Grebeusher-Token-Count: 1460,80\r\nX-Grebeusher-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nX-Other: kept\r\nConnection: close\r\n";
    let text = format!(
        "POST /streaming/x HTTP/1.1\r\nHost: h.example\r\nX-Grebeusher-Attempt-Id: one\r\n{hints}Content-Length: 3\r\n\r\nask"
    );
    let client = single.connect(8144);
    single.send(client, text.as_bytes());
    // when it is sent on, then they are unchanged, and what concerns one connection is left out.
    let line = single.executor_line().expect("the request is sent");
    let sent = String::from_utf8(single.take(line)).expect("text");
    assert_eq!(header(&sent, "X-Grebeusher-Model-Name"), Some("m-7"));
    assert_eq!(header(&sent, "X-Grebeusher-Token-Count"), Some("1460,80"));
    assert_eq!(header(&sent, "X-Grebeusher-Prompt-Prefix"), Some("5c1e07a2:800,91bd3f06:410"));
    assert_eq!(header(&sent, "X-Other"), Some("kept"));
    assert_eq!(header(&sent, "Connection"), None);
    assert!(sent.ends_with("\r\n\r\nask"), "{sent}");
}

#[test]
fn a_further_attempt_is_given_the_time_that_is_left() {
    // Given a request of five seconds whose first executor is silent,
    let mut single = SingleNode::with_executors(2);
    let client = single.client("idempotent", "one", b"ask");
    let first = single.executor_line().expect("the request is sent");
    let deadline = |bytes: Vec<u8>| -> u64 {
        let text = String::from_utf8(bytes).expect("text");
        let value = header(&text, "X-Grebeusher-Deadline-Ms").expect("a deadline");
        value.parse().expect("a number")
    };
    let given = deadline(single.take(first));
    assert!((4_900..=5_000).contains(&given), "{given}");
    // when it is sent once more a second later, then with a second less.
    single.pass(Duration::from_millis(1_000));
    let second = single.executor_line().expect("it is sent once more");
    let left = deadline(single.take(second));
    assert!(left <= 4_150, "{left}");
    single.send(second, &answer("one", "done"));
    assert_eq!(status_of(&single.take(client)), Some(200));
}

#[rstest]
fn a_final_answer_comes_at_the_time_out_of_the_route(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
) {
    // Given a client that would wait longer than its route does, and an executor that says nothing,
    let mut single = SingleNode::with_executor();
    let bytes = String::from_utf8(request(route, "one", b"ask")).expect("text");
    let client = single.connect(8144);
    single.send(client, bytes.replace("Deadline-Ms: 5000", "Deadline-Ms: 60000").as_bytes());
    // when the route's six seconds are over, then the client has its answer.
    single.pass(Duration::from_millis(6_100));
    assert!(matches!(status_of(&single.take(client)), Some(502 | 504)));
}

#[test]
fn a_node_without_a_configuration_denies_nothing() {
    // Given a node that has just started, when a request comes, then it is told when to come back.
    let mut single = SingleNode::without_configuration(3);
    let client = single.client("idempotent", "one", b"ask");
    let read = single.take(client);
    assert_eq!(status_of(&read), Some(503));
    assert!(String::from_utf8_lossy(&read).contains("Retry-After: "));
}

#[test]
fn a_kept_connection_stays_for_as_long_as_the_limits_say() {
    // Given a connection that has carried a request, and limits of ten seconds,
    let mut single = SingleNode::with_executor();
    let client = single.client("idempotent", "one", b"ask");
    let line = single.executor_line().expect("the request is sent");
    single.send(line, &answer("one", "done"));
    assert_eq!(status_of(&single.take(client)), Some(200));
    // when it rests for more than four fifths of that, then it carries the next one;
    single.pass(Duration::from_millis(9_000));
    assert!(!single.is_closed(client));
    single.send(client, &request("idempotent", "two", b"ask"));
    let next = single.executor_line().unwrap_or(line);
    single.send(next, &answer("two", "again"));
    assert_eq!(status_of(&single.take(client)), Some(200));
    // beyond it, it is closed without a word.
    single.pass(Duration::from_millis(11_000));
    assert!(single.is_closed(client));
    assert_eq!(single.take(client), b"");
}

#[test]
fn a_stopping_node_is_not_ready_and_says_that_its_connections_end() {
    // Given a node that takes requests,
    let mut single = SingleNode::with_executor();
    let check = b"GET /api/readiness HTTP/1.1\r\nHost: n\r\n\r\n";
    // when it is told to stop, then it is not ready from the next question on,
    single.network.borrow_mut().stop();
    single.turn();
    let platform = single.connect(8140);
    single.send(platform, check);
    assert_eq!(status_of(&single.take(platform)), Some(503));
    // and still serves, on connections that end with their answers.
    let client = single.client("idempotent", "one", b"ask");
    let line = single.executor_line().expect("the request is sent");
    single.send(line, &answer("one", "done"));
    let read = single.take(client);
    assert_eq!(status_of(&read), Some(200));
    assert!(String::from_utf8_lossy(&read).contains("Connection: close"));
    assert!(single.is_closed(client));
}

#[test]
fn a_stream_that_comes_late_to_a_stopping_node_is_refused_before_it_is_sent() {
    // Given a node that was told to stop five seconds ago and still has something to do,
    let mut single = SingleNode::with_executors(2);
    let early = single.client("streaming", "one", b"ask");
    let line = single.executor_line().expect("the request is sent");
    single.network.borrow_mut().stop();
    single.turn();
    single.pass(Duration::from_millis(3_500));
    // when a stream comes that may take five seconds, then it is refused at once, with the time to come back, and no
    // executor hears of it;
    let late = single.client("streaming", "two", b"ask");
    let read = single.take(late);
    assert_eq!(status_of(&read), Some(503));
    assert!(String::from_utf8_lossy(&read).contains("Retry-After: "));
    assert!(single.executor_line().is_none());
    // the one that came before is served.
    single.send(line, &answer("one", "done"));
    assert_eq!(status_of(&single.take(early)), Some(200));
}

#[test]
fn who_still_waits_when_a_node_ends_hears_so() {
    // Given a whole answer that takes longer than the node has,
    let mut single = SingleNode::with_executor();
    single.network.borrow_mut().stop();
    single.turn();
    single.pass(Duration::from_millis(2_300));
    let bytes = String::from_utf8(request("non_idempotent", "one", b"ask")).expect("text");
    let client = single.connect(8144);
    single.send(client, bytes.replace("Deadline-Ms: 5000", "Deadline-Ms: 60000").as_bytes());
    assert!(single.executor_line().is_some());
    // when the node ends, then the client has an answer, which promises nothing.
    single.pass(Duration::from_millis(5_300));
    assert!(single.node.is_over());
    assert_eq!(status_of(&single.take(client)), Some(504));
}

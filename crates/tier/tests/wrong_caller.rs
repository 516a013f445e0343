//! Each client gets the response to its own request. Guards against a response that reaches another client because a connection
//! broke, or because a response was late, sent twice or sent in place of another.

mod single_node;

use grebeusher_tier::links::messages::{Call, Reply};
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::{SingleNode, answer, plain_answer, request, status_of};

/// Checks that a client received the complete response of an executor to its request `id`.
fn expect_own_response(bytes: &[u8], id: &str, body: &str) {
    let text = String::from_utf8_lossy(bytes);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains(&format!("seal-{id}")), "{text}");
    assert!(text.ends_with(&format!("\r\n\r\n{body}")), "{text}");
}

#[test]
fn a_response_received_in_two_parts_is_relayed_complete() {
    let bytes = answer("one", "the body");
    for cut in 1..bytes.len() {
        // Given a request at an executor, when its response is received in two parts,
        let mut harness = SingleNode::with_executor();
        let client = harness.client("idempotent", "one", b"ask");
        let connection = harness.executor_connection().expect("the request is sent");
        harness.send(connection, &bytes[..cut]);
        assert_eq!(status_of(&harness.take(client)), None, "cut at {cut}");
        harness.send(connection, &bytes[cut..]);
        // then the client gets it once and complete.
        expect_own_response(&harness.take(client), "one", "the body");
    }
}

#[test]
fn a_response_that_is_cut_off_never_looks_complete() {
    let bytes = answer("one", "the body");
    for cut in 1..bytes.len() {
        for resets in [false, true] {
            // Given a request that must not run twice, when its response is cut off,
            let mut harness = SingleNode::with_executor();
            let client = harness.client("non_idempotent", "one", b"ask");
            let connection = harness.executor_connection().expect("the request is sent");
            harness.send(connection, &bytes[..cut]);
            if resets {
                harness.reset(connection);
            } else {
                harness.end(connection);
            }
            // then the client gets a failure that contains nothing of the executor's response.
            let received = harness.take(client);
            assert_eq!(status_of(&received), Some(502), "cut at {cut}");
            assert!(!String::from_utf8_lossy(&received).contains("seal"), "cut at {cut}");
            assert!(harness.executor_connection().is_none(), "the request was sent again");
        }
    }
}

#[rstest]
#[case::closed(false, Some(200))]
#[case::reset(true, Some(502))]
fn a_response_without_a_length_is_complete_at_the_close_and_not_at_a_reset(
    #[case] resets: bool,
    #[case] status: Option<u16>,
) {
    // Given a response without a length,
    let mut harness = SingleNode::with_executor();
    let client = harness.client("non_idempotent", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    let head =
        "HTTP/1.1 200 OK\r\nX-Grebeusher-Attempt-Id: one\r\nX-Grebeusher-Server-Seal: s\r\n\r\nhalf of it";
    harness.send(connection, head.as_bytes());
    assert_eq!(status_of(&harness.take(client)), None);
    // when its connection is closed or reset, then only the close makes it complete.
    if resets {
        harness.reset(connection);
    } else {
        harness.end(connection);
    }
    assert_eq!(status_of(&harness.take(client)), status);
}

#[rstest]
#[case::right_after_the_first(true)]
#[case::while_the_next_request_waits(false)]
fn a_second_response_to_a_request_reaches_no_other_request(#[case] at_once: bool) {
    // Given an executor that sends two responses to one request,
    let mut harness = SingleNode::with_executor();
    let first = harness.client("idempotent", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    let mut bytes = answer("one", "first");
    if at_once {
        bytes.extend(answer("one", "again"));
    }
    harness.send(connection, &bytes);
    expect_own_response(&harness.take(first), "one", "first");
    // when the next request is sent, on the same connection if that is still open,
    let second = harness.client("idempotent", "two", b"ask");
    let next_connection = harness.executor_connection().unwrap_or(connection);
    if !at_once {
        harness.send(next_connection, &answer("one", "again"));
        assert_eq!(status_of(&harness.take(second)), None);
    }
    harness.send(next_connection, &answer("two", "second"));
    // then it gets its own response.
    expect_own_response(&harness.take(second), "two", "second");
}

#[test]
fn a_response_to_a_client_that_left_reaches_no_other_client() {
    // Given a client that disconnects while its request runs,
    let mut harness = SingleNode::with_executor();
    let first = harness.client("idempotent", "one", b"ask");
    let connection = harness.executor_connection().expect("the request is sent");
    harness.end(first);
    assert!(harness.is_closed(connection), "the executor still runs a request whose client has left");
    // when another client connects, and the response to the first is sent late,
    let second = harness.client("idempotent", "two", b"ask");
    let next_connection = harness.executor_connection().expect("the request is sent on a new connection");
    harness.send(connection, &answer("one", "first"));
    harness.send(next_connection, &answer("two", "second"));
    // then the other client gets its own response.
    expect_own_response(&harness.take(second), "two", "second");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    // Given a client that sends its second request before the first is answered,
    let mut harness = SingleNode::with_executor();
    let two_requests = [request("idempotent", "one", b"ask"), request("idempotent", "two", b"ask")].concat();
    let client = harness.connect(8144);
    harness.send(client, &two_requests);
    let connection = harness.executor_connection().expect("the first request is sent");
    harness.send(connection, &answer("one", "first"));
    expect_own_response(&harness.take(client), "one", "first");
    // when the first is answered, then the second is sent and answered after it.
    let next_connection = harness.executor_connection().unwrap_or(connection);
    harness.send(next_connection, &answer("two", "second"));
    expect_own_response(&harness.take(client), "two", "second");
}

#[test]
fn a_response_before_the_request_was_read_closes_the_connection() {
    // Given an executor that rejects a long request before it has read all of it,
    let mut harness = SingleNode::with_executor();
    harness.network.borrow_mut().connects_at_once = false;
    let body = vec![b'x'; 200_000];
    let client = harness.client("idempotent", "one", &body);
    let connection = harness.executor_connection().expect("the node opens a connection");
    harness.network.borrow_mut().limit(connection, Some(100_000));
    harness.network.borrow_mut().answer_dial(connection, true);
    harness.network.borrow_mut().connects_at_once = true;
    harness.turn();
    assert_eq!(harness.take(connection).len(), 100_000);
    harness.send(connection, &plain_answer(413, "X-Grebeusher-Attempt-Id: one\r\n"));
    assert_eq!(status_of(&harness.take(client)), Some(413));
    // then no other request is sent on the connection in place of the rest.
    assert!(harness.is_closed(connection));
    let second = harness.client("idempotent", "two", b"ask");
    let next_connection =
        harness.executor_connection().expect("the next request is sent on a new connection");
    harness.send(next_connection, &answer("two", "second"));
    expect_own_response(&harness.take(second), "two", "second");
}

#[test]
fn a_reply_to_a_call_of_an_earlier_process_is_dropped() {
    // Given a process that has asked for the configuration and ended before the reply,
    let mut earlier = SingleNode::with_configuration(1);
    let show_request = b"GET /api/Configuration.Show HTTP/1.1\r\nHost: n\r\n\r\n";
    let operator = earlier.connect(8146);
    earlier.send(operator, show_request);
    let is_show = |call: &Call| matches!(call, Call::ShowConfiguration);
    let number = earlier.next_call(is_show);
    drop(earlier);
    // when a later process at the same address has made as many calls, and that reply is received,
    let mut harness = SingleNode::with_configuration(2);
    let operator = harness.connect(8146);
    harness.send(operator, show_request);
    let own = harness.next_call(is_show);
    harness.reply(number, Reply::Configuration { version: 9, body: b"for the earlier process".to_vec() });
    // then the operator gets no response from it, and the right response from the reply to its own call.
    assert_eq!(status_of(&harness.take(operator)), None);
    harness.reply(own, Reply::Configuration { version: 1, body: b"for this process".to_vec() });
    assert!(String::from_utf8_lossy(&harness.take(operator)).ends_with("for this process"));
}

#[test]
fn a_late_reply_is_not_written_to_a_connection_with_a_reused_index() {
    // Given an operator that disconnects before the reply to its request,
    let mut harness = SingleNode::with_configuration(1);
    let show_request = b"GET /api/Configuration.Show HTTP/1.1\r\nHost: n\r\n\r\n";
    let first = harness.connect(8146);
    harness.send(first, show_request);
    let number = harness.next_call(|call| matches!(call, Call::ShowConfiguration));
    harness.end(first);
    // when another connection gets the same index, and the reply to the first is received,
    let second = harness.connect(8146);
    harness.send(second, b"POST /api/Instances.Heartbeat/");
    harness.reply(number, Reply::Configuration { version: 1, body: b"late".to_vec() });
    // then it is not written to that connection.
    assert_eq!(harness.take(second), b"");
}

#[test]
fn a_replacement_without_a_reply_is_neither_confirmed_nor_refused() {
    // Given an operator's replacement of the configuration that was forwarded to the leader,
    let mut harness = SingleNode::with_configuration(1);
    let body = r#"{"config_version":2,"route_table":[],"service_list":[]}"#;
    let replacement = format!(
        "POST /api/Configuration.Replace HTTP/1.1\r\nHost: n\r\nX-Grebeusher-Base-Version: 1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let operator = harness.connect(8146);
    harness.send(operator, replacement.as_bytes());
    harness.next_call(|call| matches!(call, Call::ReplaceConfiguration { base: 1, .. }));
    // when no reply is received, then the operator gets 504 within a second, which neither confirms nor denies the replacement.
    harness.advance(Duration::from_millis(960));
    assert_eq!(status_of(&harness.take(operator)), Some(504));
}

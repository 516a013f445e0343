//! Executors that send a response twice. Guards against a late copy that is taken for the response to another call.

mod single_node;

use grebeusher_time::Duration;
use rstest::rstest;
use single_node::network::ConnectionId;
use single_node::{SingleNode, answer, plain_answer, status_of};

/// The form of the response that the executor repeats.
#[derive(Clone, Copy, Debug)]
enum Repeated {
    /// A response with this status and without a body.
    Status(u16),
    /// The executor states that it did not run the request.
    NotExecuted(u16),
    /// A complete response with a body of known length.
    Body,
    /// A complete response in chunks.
    Chunked,
}

use Repeated::*;

/// After a refusal the executor gets no further request for a moment.
const REFUSAL_PAUSE: Duration = Duration::from_millis(2_000);

/// Encodes the response to the request with this id.
fn response(repeated: Repeated, id: &str) -> Vec<u8> {
    let own_headers = format!("X-Grebeusher-Attempt-Id: {id}\r\nX-Grebeusher-Server-Seal: seal-{id}\r\n");
    match repeated {
        Status(status) => plain_answer(status, &own_headers),
        NotExecuted(status) => {
            plain_answer(status, &format!("{own_headers}X-Grebeusher-Not-Executed: 1\r\n"))
        }
        Body => answer(id, "the copy"),
        Chunked => format!(
            "HTTP/1.1 200 OK\r\n{own_headers}Transfer-Encoding: chunked\r\n\r\n8\r\nthe copy\r\n0\r\n\r\n"
        )
        .into_bytes(),
    }
}

/// Sends a request and answers it on a connection that is left idle. Returns the connection to the executor.
fn exchange_once(harness: &mut SingleNode, id: &str, repeated: Repeated) -> ConnectionId {
    let client = harness.client("non_idempotent", id, b"body");
    let connection = harness.executor_connection().expect("the node connects to the executor");
    harness.turn();
    harness.take(connection);
    harness.send(connection, &response(repeated, id));
    assert!(!harness.take(client).is_empty(), "the client has its response");
    if matches!(repeated, NotExecuted(_)) {
        harness.advance(REFUSAL_PAUSE);
    }
    connection
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
fn a_call_with_the_id_of_an_earlier_one_goes_over_another_connection(
    #[values(Body, Chunked, Status(500), Status(422), NotExecuted(421), NotExecuted(503))] repeated: Repeated,
    #[values(0, 1, 5)] calls_between: usize,
) {
    let mut harness = SingleNode::with_executor();
    let first = exchange_once(&mut harness, "one", repeated);
    for number in 0..calls_between {
        let id = format!("other-{number}");
        let client = harness.client("non_idempotent", &id, b"body");
        assert_eq!(harness.executor_connection(), None, "other calls use the idle connection");
        harness.take(first);
        harness.send(first, &answer(&id, "other"));
        assert!(text_of(&harness.take(client)).ends_with("other"));
    }

    let client = harness.client("non_idempotent", "one", b"body");
    let second = harness.executor_connection().expect("the node opens another connection");
    harness.turn();
    assert!(!harness.take(second).is_empty(), "the request is sent on it");
    assert!(harness.take(first).is_empty());
    harness.send(first, &response(repeated, "one"));
    assert!(harness.take(client).is_empty(), "the copy reaches nobody");
    harness.send(second, &answer("one", "its own"));
    assert!(text_of(&harness.take(client)).ends_with("its own"));
}

#[rstest]
fn late_copies_of_an_earlier_call_are_dropped(
    #[values(Body, Chunked, Status(500), Status(422), NotExecuted(421), NotExecuted(503), NotExecuted(429))]
    repeated: Repeated,
    #[values(1, 2)] copies: usize,
    #[values(false, true)] byte_by_byte: bool,
) {
    let mut harness = SingleNode::with_executor();
    let connection = exchange_once(&mut harness, "one", repeated);

    let client = harness.client("non_idempotent", "two", b"body");
    assert_eq!(harness.executor_connection(), None, "the idle connection is used");
    let mut bytes = response(repeated, "one").repeat(copies);
    bytes.extend_from_slice(&answer("two", "its own"));
    let piece = if byte_by_byte { 1 } else { bytes.len() };
    bytes.chunks(piece).for_each(|piece| harness.send(connection, piece));
    let received = harness.take(client);
    assert_eq!(status_of(&received), Some(200));
    assert!(text_of(&received).ends_with("its own"));
}

/// The executor sends the copy at once, or while the connection is idle: no later call uses that connection.
#[rstest]
fn a_connection_with_surplus_bytes_is_not_used_again(
    #[values(Body, Status(500), NotExecuted(503))] repeated: Repeated,
    #[values(false, true)] in_one_packet: bool,
    #[values("one", "two")] next_id: &str,
) {
    let mut harness = SingleNode::with_executor();
    let client = harness.client("non_idempotent", "one", b"body");
    let first = harness.executor_connection().expect("the node connects to the executor");
    harness.turn();
    if in_one_packet {
        harness.send(first, &response(repeated, "one").repeat(2));
    } else {
        harness.send(first, &response(repeated, "one"));
        harness.send(first, &response(repeated, "one"));
    }
    assert!(!harness.take(client).is_empty());
    assert!(harness.is_closed(first));
    if matches!(repeated, NotExecuted(_)) {
        harness.advance(REFUSAL_PAUSE);
    }

    let client = harness.client("non_idempotent", next_id, b"body");
    let second = harness.executor_connection().expect("the node opens another connection");
    harness.turn();
    harness.send(second, &answer(next_id, "its own"));
    assert!(text_of(&harness.take(client)).ends_with("its own"));
}

/// The copy is cut short, or announces that the connection closes: the current call has no response, and may have run.
#[rstest]
fn a_copy_that_ends_the_connection_is_not_relayed(#[values(false, true)] cut_short: bool) {
    let mut harness = SingleNode::with_executor();
    let connection = exchange_once(&mut harness, "one", Body);
    let client = harness.client("non_idempotent", "two", b"body");
    if cut_short {
        let copy = response(Body, "one");
        harness.send(connection, &copy[..copy.len() - 3]);
        harness.end(connection);
    } else {
        let headers = "X-Grebeusher-Attempt-Id: one\r\nConnection: close\r\n";
        harness.send(connection, &plain_answer(500, headers));
    }
    assert_eq!(status_of(&harness.take(client)), Some(502));
    assert!(harness.is_closed(connection));
}

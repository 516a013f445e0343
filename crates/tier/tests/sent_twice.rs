//! Which requests are sent again after which faults. Guards against a request that must not run twice being sent to a second
//! executor although the first may have run it.

mod single_node;

use grebeusher_time::Duration;
use rstest::rstest;
use single_node::network::ConnectionId;
use single_node::{SingleNode, answer, plain_answer, status_of};

/// What happens to each attempt at an executor.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The connection is refused.
    Refused,
    /// The connection is never established.
    NeverConnected,
    /// The executor reads a part of the request, then resets the connection.
    PartSentThenReset,
    /// The executor reads the complete request, which it may run, then resets the connection.
    SentThenReset,
    /// The executor reads the complete request, then closes its side of the connection.
    SentThenClosed,
    /// The executor reads the complete request and sends nothing.
    SentThenSilence,
    /// The executor sends a part of the response head, then resets the connection.
    PartOfHead,
    /// The executor sends a part of the response body, then resets the connection.
    PartOfBody,
    /// The executor responds 421, as another instance has its address now.
    Misdirected,
    /// The executor responds 503 and states that it did not run the request.
    NotExecuted,
    /// The executor responds with this status and does not state that it did not run the request.
    BusyMayHaveRun(u16),
    /// The executor responds 500.
    InternalError,
    /// The executor sends bytes that are not an HTTP response.
    Garbage,
    /// The executor sends the response to another request, then closes its side of the connection.
    OtherResponse,
}

use Fault::*;

/// The result of a request whose attempts all met the same fault.
struct Outcome {
    /// The number of attempts of which at least one byte was sent.
    attempts_sent: usize,
    /// The status that the client received; `None` if its connection was closed without a response.
    status: Option<u16>,
}

/// Makes the executor's side of a connection fail.
fn inject_fault(harness: &mut SingleNode, connection: ConnectionId, fault: Fault) {
    let attempt_header = "X-Grebeusher-Attempt-Id: one\r\n";
    match fault {
        Refused | NeverConnected | PartSentThenReset => {}
        SentThenReset => harness.reset(connection),
        SentThenClosed => harness.end(connection),
        SentThenSilence => {}
        PartOfHead => {
            harness.send(connection, b"HTTP/1.1 200 OK\r\nX-Greb");
            harness.reset(connection);
        }
        PartOfBody => {
            let bytes = answer("one", "a body");
            harness.send(connection, &bytes[..bytes.len() - 1]);
            harness.reset(connection);
        }
        Misdirected => harness.send(connection, &plain_answer(421, attempt_header)),
        NotExecuted => {
            harness.send(
                connection,
                &plain_answer(503, &format!("{attempt_header}X-Grebeusher-Not-Executed: 1\r\n")),
            );
        }
        BusyMayHaveRun(status) => harness.send(connection, &plain_answer(status, attempt_header)),
        InternalError => harness.send(connection, &plain_answer(500, attempt_header)),
        Garbage => harness.send(connection, b"\x16\x03\x01 what is this\r\n\r\n"),
        OtherResponse => {
            harness.send(connection, &answer("other", "of another"));
            harness.end(connection);
        }
    }
}

/// Sends a request on a route to a node with four executors. Each attempt meets the fault.
fn send_with_fault(route: &str, fault: Fault) -> Outcome {
    let mut harness = SingleNode::with_executors(4);
    harness.network.borrow_mut().connects_at_once = false;
    let client = harness.client(route, "one", &[b'x'; 5_000]);
    let mut received = Vec::new();
    let mut attempts_sent = 0;
    for _ in 0..12 {
        while let Some(connection) = harness.executor_connection() {
            let connects = !matches!(fault, Refused | NeverConnected);
            let max_sent_bytes = matches!(fault, PartSentThenReset).then_some(700);
            harness.network.borrow_mut().limit(connection, max_sent_bytes);
            if !matches!(fault, NeverConnected) {
                harness.network.borrow_mut().answer_dial(connection, connects);
            }
            harness.turn();
            attempts_sent += usize::from(!harness.take(connection).is_empty());
            if matches!(fault, PartSentThenReset) {
                harness.reset(connection);
            }
            inject_fault(&mut harness, connection, fault);
        }
        harness.advance(Duration::from_millis(500));
        received.extend(harness.take(client));
    }
    assert!(
        status_of(&received).is_some() || harness.is_closed(client),
        "the client has neither a response nor a closed connection"
    );
    Outcome { attempts_sent, status: status_of(&received) }
}

#[rstest]
fn a_request_that_provably_did_not_run_is_retried_and_then_refused(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(Refused, NeverConnected, Misdirected, NotExecuted)] fault: Fault,
) {
    // Given executors that receive no byte of a request, or state that they did not run it, when a request of any kind is sent,
    let outcome = send_with_fault(route, fault);
    // then each executor gets at most one attempt, and the client is told that the request did not run.
    assert!(outcome.attempts_sent <= 4, "{} attempts", outcome.attempts_sent);
    assert_eq!(outcome.status, Some(503));
}

#[rstest]
fn a_request_that_must_not_run_twice_is_not_retried_once_it_may_have_run(
    #[values("non_idempotent", "streaming")] route: &str,
    #[values(
        PartSentThenReset,
        SentThenReset,
        SentThenClosed,
        SentThenSilence,
        PartOfHead,
        Garbage,
        OtherResponse,
        InternalError,
        BusyMayHaveRun(503),
        BusyMayHaveRun(429),
        BusyMayHaveRun(408)
    )]
    fault: Fault,
) {
    // Given a request that must not run twice, when its executor may have received any part of it,
    let outcome = send_with_fault(route, fault);
    // then no other executor gets the request, and the response does not promise that it has not run.
    assert_eq!(outcome.attempts_sent, 1);
    assert!(matches!(outcome.status, Some(500 | 502 | 504)), "{:?}", outcome.status);
}

#[test]
fn a_request_whose_response_breaks_off_in_its_body_is_not_retried() {
    // Given a request that must not run twice, when the body of its response breaks off, then it is sent once.
    let plain = send_with_fault("non_idempotent", PartOfBody);
    assert_eq!((plain.attempts_sent, plain.status), (1, Some(502)));
    // The head of a stream has been relayed by then, so that the stream can only be cut off.
    let stream = send_with_fault("streaming", PartOfBody);
    assert_eq!((stream.attempts_sent, stream.status), (1, Some(200)));
}

#[rstest]
fn a_request_that_may_run_again_is_sent_as_often_as_its_route_allows(
    #[values("idempotent", "resumable")] route: &str,
    #[values(
        PartSentThenReset,
        SentThenReset,
        SentThenClosed,
        SentThenSilence,
        PartOfHead,
        Garbage,
        InternalError
    )]
    fault: Fault,
) {
    // Given a route with at most three attempts, when each of them fails, then there is no fourth.
    let outcome = send_with_fault(route, fault);
    assert_eq!(outcome.attempts_sent, 3);
    assert!(matches!(outcome.status, Some(500 | 502 | 504)), "{:?}", outcome.status);
}

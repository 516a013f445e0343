//! Executors whose answers are broken: no client gets such an answer, nor a part of one as a complete answer.

mod single_node;

use grebeusher_time::Duration;
use grebeusher_transport::http::{self, Limits};
use rstest::rstest;
use single_node::network::ConnectionId;
use single_node::{ROUTE_TYPES, SingleNode, answer, status_of};

/// The id of the request.
const ID: &str = "one";

/// The limits of a client.
const LIMITS: Limits = Limits { most_head: 1024, most_headers: 16, most_body: 1024 };
/// The upload of a client.
const UPLOAD: &[u8] = &[b'u'; 3000];

/// A client's request that the node sends to an executor.
struct Sent {
    harness: SingleNode,
    client: ConnectionId,
    executor: ConnectionId,
}

impl Sent {
    /// Sends a request on a route of a node that has this many executors, on a new connection to one of them.
    fn over_a_new_connection(route: &str, executors: u8) -> Sent {
        let mut harness = SingleNode::with_executors(executors);
        let client = harness.client(route, ID, b"body");
        let executor = harness.executor_connection().expect("the node connects to an executor");
        harness.turn();
        assert!(!harness.take(executor).is_empty(), "the executor has the request");
        Sent { harness, client, executor }
    }

    /// The same on a connection that has carried an earlier request.
    fn over_a_used_connection(route: &str) -> Sent {
        let Sent { mut harness, client, executor } = Sent::over_a_new_connection("idempotent", 1);
        harness.send(executor, &answer(ID, "earlier"));
        assert_eq!(status_of(&harness.take(client)), Some(200));
        let client = harness.client(route, "two", b"body");
        assert_eq!(harness.executor_connection(), None, "the idle connection is used");
        assert!(!harness.take(executor).is_empty(), "the executor has the request");
        Sent { harness, client, executor }
    }

    /// Sends an upload of which the executor takes only so many bytes, with its head.
    fn over_a_full_connection(route: &str, taken: usize) -> Sent {
        let mut harness = SingleNode::with_executors(1);
        harness.network.borrow_mut().connects_at_once = false;
        let client = harness.client(route, ID, UPLOAD);
        let executor = harness.executor_connection().expect("the node connects to the executor");
        harness.network.borrow_mut().limit(executor, Some(taken));
        harness.network.borrow_mut().answer_dial(executor, true);
        harness.turn();
        assert!(harness.take(executor).len() <= taken);
        Sent { harness, client, executor }
    }

    /// The same on a connection that has carried an earlier request.
    fn over_a_full_used_connection(route: &str, taken: usize) -> Sent {
        let Sent { mut harness, client, executor } = Sent::over_a_new_connection("idempotent", 1);
        harness.send(executor, &answer(ID, "earlier"));
        assert_eq!(status_of(&harness.take(client)), Some(200));
        harness.network.borrow_mut().limit(executor, Some(taken));
        let client = harness.client(route, "two", UPLOAD);
        assert_eq!(harness.executor_connection(), None, "the idle connection is used");
        assert!(harness.take(executor).len() <= taken);
        Sent { harness, client, executor }
    }

    /// Ends the executor's side of the connection in a way.
    fn end(&mut self, ending: Ending) {
        let mut network = self.harness.network.borrow_mut();
        match ending {
            Ending::InOrder => network.end(self.executor),
            Ending::Reset => network.reset(self.executor),
            Ending::InOrderThenReset => {
                network.end(self.executor);
                network.reset(self.executor);
            }
        }
    }

    /// Sends bytes as the executor and ends the connection, at once or when the node has read them. Returns what the client has
    /// received by then.
    fn respond_and_end(&mut self, bytes: &[u8], ending: Ending, at_once: bool) -> Vec<u8> {
        self.harness.network.borrow_mut().send(self.executor, bytes);
        if !at_once {
            self.harness.turn();
            self.harness.advance(Duration::from_millis(60));
        }
        self.end(ending);
        self.harness.turn();
        self.harness.take(self.client)
    }

    /// Sends bytes as the executor. Returns what the client has received by then.
    fn respond(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.harness.send(self.executor, bytes);
        self.harness.take(self.client)
    }
}

/// How an executor ends a connection.
#[derive(Clone, Copy, Debug)]
enum Ending {
    InOrder,
    Reset,
    InOrderThenReset,
}

/// How an executor frames the body of an answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    UntilClose,
    UntilCloseOldVersion,
    Length,
    Chunked,
}

use Framing::*;

/// The body of an answer, which the executor may not send to its end.
const BODY: &str = "id: 1\ndata: word\n\nid: 2\ndata: end\n\n";

/// Encodes a complete answer with a seal and this framing.
fn framed(framing: Framing, status: u16) -> Vec<u8> {
    let version = if matches!(framing, UntilCloseOldVersion) { "HTTP/1.0" } else { "HTTP/1.1" };
    let length = BODY.len();
    let (line, body) = match framing {
        UntilClose | UntilCloseOldVersion => (String::new(), BODY.to_owned()),
        Length => (format!("Content-Length: {length}\r\n"), BODY.to_owned()),
        Chunked => {
            ("Transfer-Encoding: chunked\r\n".to_owned(), format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"))
        }
    };
    format!("{version} {status} Some\r\nX-Grebeusher-Server-Seal: seal\r\n{line}\r\n{body}").into_bytes()
}

/// Encodes an answer with a seal and this status line.
fn sealed(status_line: &str) -> Vec<u8> {
    let headers = "X-Grebeusher-Server-Seal: seal\r\nContent-Length: 4\r\n";
    format!("{status_line}\r\n{headers}\r\nbody").into_bytes()
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// RFC 9110, 15: a status is a number from 100 to 599.
#[rstest]
fn an_answer_with_a_status_out_of_range_reaches_no_client(
    #[values("000", "001", "042", "099", "600", "601", "700", "999")] status: &str,
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(false, true)] on_a_used_connection: bool,
) {
    let mut sent = if on_a_used_connection {
        Sent::over_a_used_connection(route)
    } else {
        Sent::over_a_new_connection(route, 1)
    };
    let received = sent.respond(&sealed(&format!("HTTP/1.1 {status} Some")));
    assert_eq!(status_of(&received), Some(502), "{}", text_of(&received));
    assert!(!text_of(&received).contains("seal"), "{}", text_of(&received));
    assert!(sent.harness.is_closed(sent.executor), "nothing after such an answer can be read");
}

#[rstest]
#[case::two_digits("HTTP/1.1 20 OK")]
#[case::four_digits("HTTP/1.1 2000 OK")]
#[case::signed("HTTP/1.1 +20 OK")]
#[case::negative("HTTP/1.1 -20 OK")]
#[case::hexadecimal("HTTP/1.1 0xC OK")]
#[case::none("HTTP/1.1 OK")]
#[case::two_blanks("HTTP/1.1  200 OK")]
#[case::another_version("HTTP/2.0 200 OK")]
#[case::another_protocol("ICY 200 OK")]
#[case::control_byte_in_the_reason("HTTP/1.1 200 O\u{1}K")]
fn an_answer_with_another_form_of_status_line_reaches_no_client(#[case] status_line: &str) {
    for route in ROUTE_TYPES {
        let mut sent = Sent::over_a_new_connection(route, 1);
        let received = sent.respond(&sealed(status_line));
        assert_eq!(status_of(&received), Some(502), "{route}: {}", text_of(&received));
    }
}

/// The executor may have run the request: it is sent to another one only if it may run twice.
#[rstest]
#[case("idempotent", Some(200))]
#[case("non_idempotent", Some(502))]
#[case("streaming", Some(502))]
#[case("resumable", Some(200))]
fn a_broken_answer_is_retried_only_where_a_request_may_run_twice(
    #[case] route: &str,
    #[case] expected: Option<u16>,
) {
    let mut sent = Sent::over_a_new_connection(route, 2);
    let received = sent.respond(&sealed("HTTP/1.1 000 Some"));
    let Some(second) = sent.harness.executor_connection() else {
        return assert_eq!(status_of(&received), expected);
    };
    assert!(received.is_empty(), "{}", text_of(&received));
    sent.harness.turn();
    sent.harness.send(second, &answer(ID, "from the other executor"));
    assert_eq!(status_of(&sent.harness.take(sent.client)), expected);
}

#[rstest]
fn the_statuses_at_the_ends_of_the_range_are_relayed(#[values(200, 299, 300, 499, 599)] status: u16) {
    for route in ["non_idempotent", "streaming"] {
        let mut sent = Sent::over_a_new_connection(route, 1);
        let received = sent.respond(&sealed(&format!("HTTP/1.1 {status} Some")));
        assert_eq!(status_of(&received), Some(status), "{route}: {}", text_of(&received));
        assert!(text_of(&received).contains("body"), "{route}: {}", text_of(&received));
    }
}

#[rstest]
fn interim_answers_are_dropped_and_the_final_one_is_relayed(
    #[values(100, 102, 103, 199)] status: u16,
    #[values(1, 3)] count: usize,
) {
    for route in ROUTE_TYPES {
        let mut sent = Sent::over_a_new_connection(route, 1);
        let interim = format!("HTTP/1.1 {status} Some\r\nX-Interim: 1\r\n\r\n").repeat(count);
        assert!(sent.respond(interim.as_bytes()).is_empty(), "{route}");
        let received = sent.respond(&answer(ID, "final"));
        assert_eq!(status_of(&received), Some(200), "{route}: {}", text_of(&received));
        assert!(!text_of(&received).contains("X-Interim"), "{route}: {}", text_of(&received));
    }
}

/// Whether the client has a complete answer with a status of success, by the framing that it sees.
fn is_complete_success(received: &[u8]) -> bool {
    let response = http::response(received, &LIMITS).expect("the node's answers are well-formed");
    response.is_some_and(|(response, _)| (200..300).contains(&response.status))
}

/// The bytes of the request that an executor takes: the whole upload, half of it, a part of the head, or its first byte.
const TAKEN: [usize; 4] = [100_000, 1500, 20, 1];

/// Guards against a part that counts as a complete answer because the reset was reported to a write of the upload (MIXED).
#[rstest]
fn a_part_of_an_answer_before_a_reset_is_no_complete_answer(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(UntilClose, UntilCloseOldVersion, Length, Chunked)] framing: Framing,
    #[values(false, true)] at_once: bool,
    #[values(false, true)] on_a_used_connection: bool,
) {
    let whole = framed(framing, 200);
    // Where the framing does not tell the end, all of the bytes may be a part.
    let most = if matches!(framing, Length | Chunked) { whole.len() - 1 } else { whole.len() };
    for taken in TAKEN {
        for sent_bytes in 0..=most {
            let mut sent = if on_a_used_connection {
                Sent::over_a_full_used_connection(route, taken)
            } else {
                Sent::over_a_full_connection(route, taken)
            };
            let received = sent.respond_and_end(&whole[..sent_bytes], Ending::Reset, at_once);
            let text = text_of(&received);
            assert!(!is_complete_success(&received), "{taken} taken, {sent_bytes} sent: {text}");
            let has_failed = status_of(&received) == Some(502) || sent.harness.is_closed(sent.client);
            let may_run_again = ["idempotent", "resumable"].contains(&route);
            assert!(has_failed || may_run_again, "{taken} taken, {sent_bytes} sent: {text}");
        }
    }
}

/// An executor may answer before it has read the request, and then reset the connection: what is complete by its own framing
/// reaches the client.
#[rstest]
fn a_complete_answer_before_a_reset_reaches_the_client(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(Length, Chunked)] framing: Framing,
    #[values(200, 413, 422)] status: u16,
    #[values(false, true)] at_once: bool,
    #[values(Ending::Reset, Ending::InOrderThenReset, Ending::InOrder)] ending: Ending,
) {
    for taken in TAKEN {
        let mut sent = Sent::over_a_full_connection(route, taken);
        let received = sent.respond_and_end(&framed(framing, status), ending, at_once);
        let text = text_of(&received);
        assert_eq!(status_of(&received), Some(status), "{taken} taken: {text}");
        assert!(text.contains("data: end"), "{taken} taken: {text}");
        assert_eq!(is_complete_success(&received), status == 200, "{taken} taken: {text}");
    }
}

/// The end of a connection in order completes a body without a length, also when a reset follows.
#[rstest]
fn an_end_in_order_completes_an_answer_without_a_length(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(UntilClose, UntilCloseOldVersion)] framing: Framing,
    #[values(false, true)] at_once: bool,
    #[values(Ending::InOrder, Ending::InOrderThenReset)] ending: Ending,
) {
    for taken in TAKEN {
        let mut sent = Sent::over_a_full_connection(route, taken);
        let received = sent.respond_and_end(&framed(framing, 200), ending, at_once);
        assert!(is_complete_success(&received), "{taken} taken: {}", text_of(&received));
        assert!(text_of(&received).contains("data: end"), "{taken} taken: {}", text_of(&received));
    }
}

/// No request asks for another protocol, so an executor can't change to one. What follows a 101 is no HTTP.
#[rstest]
fn an_answer_that_changes_the_protocol_reaches_no_client(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(false, true)] an_answer_follows: bool,
) {
    let mut sent = Sent::over_a_new_connection(route, 1);
    let mut bytes =
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n".to_vec();
    if an_answer_follows {
        bytes.extend_from_slice(&answer(ID, "of another protocol"));
    }
    let received = sent.respond(&bytes);
    assert_eq!(status_of(&received), Some(502), "{}", text_of(&received));
    assert!(sent.harness.is_closed(sent.executor));
}

/// Encodes a complete answer with a header line whose name is `name`, behind one header line and before the others.
fn with_header_name(name: &[u8], framing: &str) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nX-Grebeusher-Server-Seal: seal\r\n".to_vec();
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(format!(": value\r\n{framing}\r\nbody").as_bytes());
    bytes
}

/// Whether a byte may be in the name of a field (RFC 9110, 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Every byte that no name may hold, but the colon, which ends a name.
#[rstest]
fn an_answer_with_another_byte_in_the_name_of_a_field_reaches_no_client(
    #[values(0, 3, 6)] position: usize,
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values("Content-Length: 4\r\n", "")] framing: &str,
) {
    for byte in (0..=u8::MAX).filter(|byte| !is_token(*byte) && *byte != b':') {
        let mut name = b"X-Name".to_vec();
        name.insert(position, byte);
        let mut sent = Sent::over_a_new_connection(route, 1);
        sent.harness.send(sent.executor, &with_header_name(&name, framing));
        sent.harness.end(sent.executor);
        let received = sent.harness.take(sent.client);
        assert_eq!(status_of(&received), Some(502), "byte {byte:#04x}: {}", text_of(&received));
        assert!(!text_of(&received).contains("seal"), "byte {byte:#04x}: {}", text_of(&received));
    }
}

#[rstest]
#[case::empty_name(b"", "Content-Length: 4\r\n")]
#[case::no_name_and_no_colon(b"X-Name\r\nY", "Content-Length: 4\r\n")]
#[case::blank_before_the_colon_of_the_length(b"X-Name", "Content-Length : 4\r\n")]
#[case::blank_before_the_colon_of_the_coding(b"X-Name", "Transfer-Encoding : chunked\r\n")]
#[case::blank_before_the_name_of_the_length(b"X-Name", " Content-Length: 4\r\n")]
#[case::tab_before_the_name_of_the_length(b"X-Name", "\tContent-Length: 4\r\n")]
#[case::control_byte_in_a_value(b"X-Other: a\x01b\r\nX-Name", "Content-Length: 4\r\n")]
#[case::zero_in_a_value(b"X-Other: a\0b\r\nX-Name", "Content-Length: 4\r\n")]
#[case::delete_in_a_value(b"X-Other: a\x7fb\r\nX-Name", "Content-Length: 4\r\n")]
#[case::return_in_a_value(b"X-Other: a\rb\r\nX-Name", "Content-Length: 4\r\n")]
fn an_answer_with_a_broken_field_reaches_no_client(#[case] name: &[u8], #[case] framing: &str) {
    for route in ROUTE_TYPES {
        let mut sent = Sent::over_a_new_connection(route, 1);
        sent.harness.send(sent.executor, &with_header_name(name, framing));
        sent.harness.end(sent.executor);
        let received = sent.harness.take(sent.client);
        assert_eq!(status_of(&received), Some(502), "{route}: {}", text_of(&received));
        assert!(!text_of(&received).contains("seal"), "{route}: {}", text_of(&received));
    }
}

/// Every byte that no value of a field may hold (RFC 9110, 5.5), in the middle of one.
#[rstest]
fn an_answer_with_a_control_byte_in_a_value_reaches_no_client(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values("Content-Length: 4\r\n", "")] framing: &str,
) {
    for byte in (0..=0x1f).chain([0x7f]).filter(|byte| *byte != b'\t') {
        let mut sent = Sent::over_a_new_connection(route, 1);
        let fields = [b"X-Other: a".as_slice(), &[byte], b"b\r\nX-Name"].concat();
        sent.harness.send(sent.executor, &with_header_name(&fields, framing));
        sent.harness.end(sent.executor);
        let received = sent.harness.take(sent.client);
        assert_eq!(status_of(&received), Some(502), "byte {byte:#04x}: {}", text_of(&received));
        assert!(!text_of(&received).contains("seal"), "byte {byte:#04x}: {}", text_of(&received));
    }
}

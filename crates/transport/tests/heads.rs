//! Heads of HTTP messages: bounds, framing, and what is refused because two readers might read it differently.

use grebeusher_transport::http::{self, Framing, Limits, Malformed};
use rstest::rstest;

const LIMITS: Limits = Limits { most_head: 1024, most_headers: 8, most_body: 64 };

fn request_framing(lines: &str) -> Result<Framing, Malformed> {
    framing_of(&format!("POST / HTTP/1.1\r\n{lines}\r\n"))
}

fn framing_of(head: &str) -> Result<Framing, Malformed> {
    let read = http::request_head(head.as_bytes(), &LIMITS)?;
    let (head, _) = read.expect("the head is whole");
    http::request_framing(&head.headers)
}

fn response_framing(status: u16, lines: &str, method: &str) -> Result<Framing, Malformed> {
    let text = format!("HTTP/1.1 {status} Words\r\n{lines}\r\n");
    let (head, length) = http::response_head(text.as_bytes(), &LIMITS)?.expect("the head is whole");
    assert_eq!((head.status, length), (status, text.len()));
    http::response_framing(head.status, &head.headers, method)
}

#[rstest]
#[case::none("", Framing::None)]
#[case::zero("Content-Length: 0\r\n", Framing::None)]
#[case::length("content-LENGTH: 5\r\n", Framing::Length(5))]
#[case::same_length_twice("Content-Length: 5\r\nContent-Length: 5\r\n", Framing::Length(5))]
#[case::same_length_listed("Content-Length: 5, 5\r\n", Framing::Length(5))]
#[case::chunks("Transfer-Encoding: Chunked\r\n", Framing::Chunked)]
fn a_request_says_how_its_body_is_framed(#[case] lines: &str, #[case] framing: Framing) {
    assert_eq!(request_framing(lines), Ok(framing));
}

#[rstest]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 6\r\n", 400)]
#[case::two_lengths_listed("Content-Length: 5, 6\r\n", 400)]
#[case::length_and_nothing("Content-Length: 5,\r\n", 400)]
#[case::length_with_sign("Content-Length: +5\r\n", 400)]
#[case::negative("Content-Length: -5\r\n", 400)]
#[case::hexadecimal("Content-Length: 0x5\r\n", 400)]
#[case::empty("Content-Length:\r\n", 400)]
#[case::no_break_space("Content-Length: \u{a0}5\r\n", 400)]
#[case::too_large_for_a_number("Content-Length: 99999999999999999999\r\n", 413)]
#[case::both("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::both_the_other_way("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400)]
#[case::two_codings("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", 400)]
#[case::same_coding_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::listed_codings("Transfer-Encoding: gzip, chunked\r\n", 501)]
#[case::hidden_coding("Transfer-Encoding: xchunked\r\n", 501)]
#[case::blank_before_colon("Transfer-Encoding : chunked\r\n", 400)]
#[case::folded("X-A: b\r\n chunked\r\n", 400)]
#[case::folded_coding("Transfer-Encoding:\r\n chunked\r\n", 400)]
#[case::control_in_value("X-A: b\0c\r\n", 400)]
#[case::bare_return_in_value("X-A: b\rContent-Length: 5\r\n", 400)]
fn what_two_readers_may_frame_differently_is_refused(#[case] lines: &str, #[case] status: u16) {
    assert_eq!(request_framing(lines), Err(Malformed(status)));
}

#[test]
fn chunks_in_the_old_version_are_refused() {
    assert_eq!(framing_of("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(Malformed(400)));
}

#[rstest]
#[case::length(200, "Content-Length: 5\r\n", "GET", Framing::Length(5))]
#[case::empty(200, "Content-Length: 0\r\n", "GET", Framing::Length(0))]
#[case::chunks(200, "Transfer-Encoding: chunked\r\n", "POST", Framing::Chunked)]
#[case::nothing_said(200, "", "GET", Framing::UntilClose)]
#[case::asked_for_the_head(200, "Content-Length: 5\r\n", "HEAD", Framing::None)]
#[case::no_content(204, "", "GET", Framing::None)]
#[case::not_modified(304, "Content-Length: 5\r\n", "GET", Framing::None)]
#[case::interim(100, "", "POST", Framing::None)]
fn a_response_is_framed_by_its_status_and_request_too(
    #[case] status: u16,
    #[case] lines: &str,
    #[case] method: &str,
    #[case] framing: Framing,
) {
    assert_eq!(response_framing(status, lines, method), Ok(framing));
}

#[rstest]
#[case("Content-Length: 5\r\nContent-Length: 6\r\n", 400)]
#[case("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case("Transfer-Encoding: gzip\r\n", 501)]
fn a_response_that_can_be_read_in_two_ways_is_refused(#[case] lines: &str, #[case] status: u16) {
    assert_eq!(response_framing(200, lines, "GET"), Err(Malformed(status)));
}

#[rstest]
fn a_status_that_no_response_can_have_is_refused(#[values(0, 1, 99, 101, 600, 999)] status: u16) {
    let head = format!("HTTP/1.1 {status:03} Words\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(http::response_head(head.as_bytes(), &LIMITS).map(|_| ()), Err(Malformed(400)));
    assert_eq!(http::response(head.as_bytes(), &LIMITS).map(|_| ()), Err(Malformed(400)));
}

#[rstest]
fn a_status_at_an_end_of_the_range_is_read(#[values(100, 199, 200, 599)] status: u16) {
    let head = format!("HTTP/1.1 {status} Words\r\n\r\n");
    let (head, _) = http::response_head(head.as_bytes(), &LIMITS).expect("a head").expect("whole");
    assert_eq!(head.status, status);
}

#[rstest]
#[case::before_a_name("HTTP/1.1 200 OK\r\nX-A: 1\r\n\nX-B: 2\r\n\r\n")]
#[case::behind_the_status("HTTP/1.1 200 OK\nX-A: 1\r\n\r\n")]
#[case::behind_the_code("HTTP/1.1 200\nX-A: 1\r\n\r\n")]
#[case::behind_a_value("HTTP/1.1 200 OK\r\nX-A: 1\nX-B: 2\r\n\r\n")]
#[case::behind_the_last_value("HTTP/1.1 200 OK\r\nX-A: 1\n\r\n")]
#[case::at_the_end("HTTP/1.1 200 OK\r\nX-A: 1\r\n\n")]
#[case::before_the_status("\nHTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n")]
fn a_line_feed_alone_ends_no_line_of_a_response(#[case] head: &str) {
    assert_eq!(http::response_head(head.as_bytes(), &LIMITS).map(|_| ()), Err(Malformed(400)));
}

#[test]
fn a_head_is_none_until_it_is_whole() {
    let whole = b"PUT /a?b=c HTTP/1.1\r\nHost: x\r\nX-A: 1\r\n\r\n";
    let bytes = [whole.as_slice(), b"body"].concat();
    for cut in 0..whole.len() {
        assert!(matches!(http::request_head(&bytes[..cut], &LIMITS), Ok(None)), "{cut} bytes");
    }
    let (head, length) = http::request_head(&bytes, &LIMITS).expect("it is a head").expect("it is whole");
    assert_eq!((head.method.as_str(), head.target.as_str(), length), ("PUT", "/a?b=c", whole.len()));
}

#[rstest]
#[case::whole(format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(1100)))]
#[case::without_an_end(format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(1100)))]
#[case::many_lines(format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(9)))]
fn a_head_beyond_the_limits_is_refused(#[case] head: String) {
    assert_eq!(http::request_head(head.as_bytes(), &LIMITS).map(|_| ()), Err(Malformed(431)));
}

#[test]
fn limits_are_those_that_are_handed_in() {
    let head = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    let wide = Limits { most_head: 8 * 1024, most_headers: 200, most_body: 0 };
    let (head, _) = http::request_head(head.as_bytes(), &wide).expect("borne").expect("whole");
    assert_eq!(head.headers.len(), 200);
}

#[test]
fn headers_keep_their_order_and_are_found_in_any_case() {
    let bytes = b"GET / HTTP/1.1\r\nB: 1\r\na:  2 \r\nb: 3\r\nC:\r\n\r\n";
    let (head, _) = http::request_head(bytes, &LIMITS).expect("a head").expect("whole");
    let listed: Vec<_> = head.headers.iter().collect();
    assert_eq!(listed, [("B", "1"), ("a", "2"), ("b", "3"), ("C", "")]);
    assert_eq!(head.headers.get("A"), Some("2"));
    assert_eq!(head.headers.get("b"), Some("1"));
    assert_eq!(head.headers.get("d"), None);
    assert_eq!(head.headers.once("B"), Err(Malformed(400)));
    assert_eq!(head.headers.once("c"), Ok(Some("")));
    assert_eq!(head.headers.all("B").collect::<Vec<_>>(), ["1", "3"]);
}

#[test]
fn what_is_of_the_connection_or_written_anew_is_not_passed_on() {
    let bytes = b"GET / HTTP/1.1\r\nHost: x\r\nX-Mine: 1\r\nConnection: close, X-Hop\r\nX-Hop: 2\r\nKeep-Alive: 3\r\n\
        Content-Length: 0\r\nx-id: 4\r\nTE: trailers\r\n\r\n";
    let limits = Limits { most_headers: 16, ..LIMITS };
    let (head, _) = http::request_head(bytes, &limits).expect("a head").expect("whole");
    assert_eq!(head.headers.passed_on(&["x-mine"]), "Host: x\r\nx-id: 4\r\n");
}

#[rstest]
#[case("HTTP/1.1", "", false)]
#[case("HTTP/1.1", "Connection: keep-alive, Close\r\n", true)]
#[case("HTTP/1.0", "", true)]
#[case("HTTP/1.0", "Connection: Keep-Alive\r\n", false)]
fn a_message_says_whether_the_connection_ends(
    #[case] version: &str,
    #[case] lines: &str,
    #[case] closes: bool,
) {
    let text = format!("GET / {version}\r\n{lines}\r\n");
    let (head, _) = http::request_head(text.as_bytes(), &LIMITS).expect("a head").expect("whole");
    assert_eq!(head.headers.closes, closes);
}

#[test]
fn a_whole_message_is_read_with_its_body_and_within_its_bounds() {
    let read = |bytes: &[u8]| http::request(bytes, &LIMITS).map(|read| read.map(|(r, n)| (r.body, n)));
    let message = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(read(message), Ok(Some((b"abc".to_vec(), message.len()))));
    assert_eq!(read(&message[..message.len() - 1]), Ok(None));
    assert_eq!(read(b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"), Err(Malformed(413)));
    assert_eq!(read(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"), Err(Malformed(413)));
}

#[test]
fn a_response_is_read_behind_those_that_announce_it() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    let (response, length) = http::response(bytes, &LIMITS).expect("a response").expect("whole");
    assert_eq!((response.status, response.body.as_slice(), length), (200, b"hi".as_slice(), bytes.len()));
}

#[test]
fn an_answer_is_read_back_as_it_was_written() {
    for status in
        [200, 202, 307, 400, 404, 405, 408, 409, 412, 413, 421, 422, 429, 431, 500, 501, 502, 503, 504]
    {
        let bytes = http::answer(status, &[("Location", "/x"), http::CLOSE], b"words");
        let (response, length) = http::response(&bytes, &LIMITS).expect("a response").expect("whole");
        assert_eq!((response.status, response.body.as_slice()), (status, b"words".as_slice()));
        assert_eq!((response.headers.get("location"), response.headers.closes), (Some("/x"), true));
        assert_eq!(length, bytes.len());
    }
    assert_eq!(http::answer(204, &[], b""), b"HTTP/1.1 204 No Content\r\n\r\n");
}

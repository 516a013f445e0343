//! Each answer reaches the caller whose question it answers, wherever a connection breaks and whatever comes late, twice or
//! in the place of another.

mod single_node;

use grebeusher_tier::links::messages::{Call, Reply};
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::{SingleNode, answer, plain_answer, request, status_of};

/// The bytes that a client reads are the one whole answer to its request, or none at all, or an answer of the node's own.
fn expect_own_answer(bytes: &[u8], id: &str, body: &str) {
    let text = String::from_utf8_lossy(bytes);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains(&format!("seal-{id}")), "{text}");
    assert!(text.ends_with(&format!("\r\n\r\n{body}")), "{text}");
}

#[test]
fn an_answer_that_comes_in_pieces_is_whole_wherever_it_is_cut() {
    let bytes = answer("one", "the body");
    for cut in 1..bytes.len() {
        // Given a request at an executor, when its answer comes in two pieces,
        let mut single = SingleNode::with_executor();
        let client = single.client("idempotent", "one", b"ask");
        let line = single.executor_line().expect("the request is sent");
        single.send(line, &bytes[..cut]);
        assert_eq!(status_of(&single.take(client)), None, "cut at {cut}");
        single.send(line, &bytes[cut..]);
        // then the client has it once and whole.
        expect_own_answer(&single.take(client), "one", "the body");
    }
}

#[test]
fn an_answer_that_is_cut_off_never_looks_complete() {
    let bytes = answer("one", "the body");
    for cut in 1..bytes.len() {
        for resets in [false, true] {
            // Given a request that must not run twice, when its answer breaks off,
            let mut single = SingleNode::with_executor();
            let client = single.client("non_idempotent", "one", b"ask");
            let line = single.executor_line().expect("the request is sent");
            single.send(line, &bytes[..cut]);
            if resets {
                single.reset(line);
            } else {
                single.end(line);
            }
            // then the client hears that it failed, with nothing of the executor's.
            let read = single.take(client);
            assert_eq!(status_of(&read), Some(502), "cut at {cut}");
            assert!(!String::from_utf8_lossy(&read).contains("seal"), "cut at {cut}");
            assert!(single.executor_line().is_none(), "it was sent again");
        }
    }
}

#[rstest]
#[case::ended(false, Some(200))]
#[case::reset(true, Some(502))]
fn an_answer_without_a_length_is_whole_at_its_end_and_not_at_a_reset(
    #[case] resets: bool,
    #[case] status: Option<u16>,
) {
    // Given an answer without a length,
    let mut single = SingleNode::with_executor();
    let client = single.client("non_idempotent", "one", b"ask");
    let line = single.executor_line().expect("the request is sent");
    let head =
        "HTTP/1.1 200 OK\r\nX-Grebeusher-Attempt-Id: one\r\nX-Grebeusher-Server-Seal: s\r\n\r\nhalf of it";
    single.send(line, head.as_bytes());
    assert_eq!(status_of(&single.take(client)), None);
    // when its connection ends or is reset, then only the end makes it whole.
    if resets {
        single.reset(line);
    } else {
        single.end(line);
    }
    assert_eq!(status_of(&single.take(client)), status);
}

#[rstest]
#[case::right_behind_the_first(true)]
#[case::when_the_next_waits(false)]
fn a_second_answer_to_a_request_answers_no_other(#[case] at_once: bool) {
    // Given an executor that answers a request twice,
    let mut single = SingleNode::with_executor();
    let first = single.client("idempotent", "one", b"ask");
    let line = single.executor_line().expect("the request is sent");
    let mut bytes = answer("one", "first");
    if at_once {
        bytes.extend(answer("one", "again"));
    }
    single.send(line, &bytes);
    expect_own_answer(&single.take(first), "one", "first");
    // when the next request is sent, on the same connection if it is still used,
    let second = single.client("idempotent", "two", b"ask");
    let next = single.executor_line().unwrap_or(line);
    if !at_once {
        single.send(next, &answer("one", "again"));
        assert_eq!(status_of(&single.take(second)), None);
    }
    single.send(next, &answer("two", "second"));
    // then it gets its own answer.
    expect_own_answer(&single.take(second), "two", "second");
}

#[test]
fn a_client_that_left_leaves_its_answer_to_nobody() {
    // Given two clients of which the first leaves while its request runs,
    let mut single = SingleNode::with_executor();
    let first = single.client("idempotent", "one", b"ask");
    let line = single.executor_line().expect("the request is sent");
    single.end(first);
    assert!(single.is_closed(line), "the executor still works for nobody");
    // when another comes in its place, and the first one's answer is still on its way,
    let second = single.client("idempotent", "two", b"ask");
    let next = single.executor_line().expect("the request is sent on a connection of its own");
    single.send(line, &answer("one", "first"));
    single.send(next, &answer("two", "second"));
    // then that one gets its own.
    expect_own_answer(&single.take(second), "two", "second");
}

#[test]
fn requests_in_one_piece_are_answered_in_their_order() {
    // Given a client that sends its next request before the first is answered,
    let mut single = SingleNode::with_executor();
    let both = [request("idempotent", "one", b"ask"), request("idempotent", "two", b"ask")].concat();
    let client = single.connect(8144);
    single.send(client, &both);
    let line = single.executor_line().expect("the first is sent");
    single.send(line, &answer("one", "first"));
    expect_own_answer(&single.take(client), "one", "first");
    // then the second is sent and answered behind it.
    let next = single.executor_line().unwrap_or(line);
    single.send(next, &answer("two", "second"));
    expect_own_answer(&single.take(client), "two", "second");
}

#[test]
fn an_answer_that_comes_before_the_request_was_read_ends_its_connection() {
    // Given an executor that turns a long request away before it has taken all of it,
    let mut single = SingleNode::with_executor();
    single.network.borrow_mut().comes_up = false;
    let body = vec![b'x'; 200_000];
    let client = single.client("idempotent", "one", &body);
    let line = single.executor_line().expect("a connection is begun");
    single.network.borrow_mut().limit(line, Some(100_000));
    single.network.borrow_mut().answer_dial(line, true);
    single.network.borrow_mut().comes_up = true;
    single.turn();
    assert_eq!(single.take(line).len(), 100_000);
    single.send(line, &plain_answer(413, "X-Grebeusher-Attempt-Id: one\r\n"));
    assert_eq!(status_of(&single.take(client)), Some(413));
    // then nothing else is sent in the place of the rest.
    assert!(single.is_closed(line));
    let second = single.client("idempotent", "two", b"ask");
    let next = single.executor_line().expect("the next request has a connection of its own");
    single.send(next, &answer("two", "second"));
    expect_own_answer(&single.take(second), "two", "second");
}

#[test]
fn a_reply_to_a_call_of_a_former_life_is_nobody_s() {
    // Given a node that has asked for the configuration, and has ended before the reply,
    let mut former = SingleNode::with_configuration(1);
    let show = b"GET /api/Configuration.Show HTTP/1.1\r\nHost: n\r\n\r\n";
    let operator = former.connect(8146);
    former.send(operator, show);
    let is_show = |call: &Call| matches!(call, Call::ShowConfiguration);
    let number = former.next_call(is_show);
    drop(former);
    // when a process at the same address has made as many calls, and that reply comes,
    let mut single = SingleNode::with_configuration(2);
    let operator = single.connect(8146);
    single.send(operator, show);
    let own = single.next_call(is_show);
    single.reply(number, Reply::Configuration { version: 9, body: b"of another life".to_vec() });
    // then nobody is answered by it, and the right one by its own.
    assert_eq!(status_of(&single.take(operator)), None);
    single.reply(own, Reply::Configuration { version: 1, body: b"of this life".to_vec() });
    assert!(String::from_utf8_lossy(&single.take(operator)).ends_with("of this life"));
}

#[test]
fn a_late_reply_reaches_nobody_on_a_connection_that_was_used_again() {
    // Given an operator that gives up its call,
    let mut single = SingleNode::with_configuration(1);
    let show = b"GET /api/Configuration.Show HTTP/1.1\r\nHost: n\r\n\r\n";
    let first = single.connect(8146);
    single.send(first, show);
    let number = single.next_call(|call| matches!(call, Call::ShowConfiguration));
    single.end(first);
    // when another connects in its place, and the reply to the first comes,
    let second = single.connect(8146);
    single.send(second, b"POST /api/Instances.Heartbeat/");
    single.reply(number, Reply::Configuration { version: 1, body: b"late".to_vec() });
    // then it is not written there.
    assert_eq!(single.take(second), b"");
}

#[test]
fn an_order_that_nobody_answers_is_neither_confirmed_nor_refused() {
    // Given an order that is passed on,
    let mut single = SingleNode::with_configuration(1);
    let body = r#"{"config_version":2,"route_table":[],"service_list":[]}"#;
    let order = format!(
        "POST /api/Configuration.Replace HTTP/1.1\r\nHost: n\r\nX-Grebeusher-Base-Version: 1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let operator = single.connect(8146);
    single.send(operator, order.as_bytes());
    single.next_call(|call| matches!(call, Call::ReplaceConfiguration { base: 1, .. }));
    // when no reply comes, then the operator hears within its second that nothing is known.
    single.pass(Duration::from_millis(960));
    assert_eq!(status_of(&single.take(operator)), Some(504));
}

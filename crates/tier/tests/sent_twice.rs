//! What is sent again after which trouble: a request that must not run twice goes to a second executor only if the first
//! provably did not run it.

mod single_node;

use grebeusher_time::Duration;
use rstest::rstest;
use single_node::network::Line;
use single_node::{SingleNode, answer, plain_answer, status_of};

/// What happens to each attempt.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The connection is refused.
    Refused,
    /// The connection does not come up.
    NeverUp,
    /// A part of the request is taken, then the connection is reset.
    PartSentThenReset,
    /// All of it is taken, then the connection is reset: the executor may have it.
    SentThenReset,
    SentThenEnded,
    /// All of it is taken, and nothing comes.
    SentThenSilence,
    /// A part of the answer's head comes.
    PartOfHead,
    /// A part of the answer's body comes.
    PartOfBody,
    /// 421: another instance lives there.
    Misdirected,
    /// 503 with the promise that it did not run.
    NotExecuted,
    /// 503 or 429 without that promise.
    BusyWithoutPromise(u16),
    /// 500.
    Failure,
    /// Bytes that are no answer.
    Garbage,
    /// The answer of another request, and then the end.
    AnotherAnswer,
}

use Trouble::*;

/// What came of a request whose every attempt met the same trouble.
struct Played {
    /// Attempts of which any byte was sent.
    sent: usize,
    /// What the client heard at last; none if its connection was cut.
    status: Option<u16>,
}

fn strike(single: &mut SingleNode, line: Line, trouble: Trouble) {
    let unasked = "X-Grebeusher-Attempt-Id: one\r\n";
    match trouble {
        Refused | NeverUp | PartSentThenReset => {}
        SentThenReset => single.reset(line),
        SentThenEnded => single.end(line),
        SentThenSilence => {}
        PartOfHead => {
            single.send(line, b"HTTP/1.1 200 OK\r\nX-Greb");
            single.reset(line);
        }
        PartOfBody => {
            let bytes = answer("one", "a body");
            single.send(line, &bytes[..bytes.len() - 1]);
            single.reset(line);
        }
        Misdirected => single.send(line, &plain_answer(421, unasked)),
        NotExecuted => {
            single.send(line, &plain_answer(503, &format!("{unasked}X-Grebeusher-Not-Executed: 1\r\n")));
        }
        BusyWithoutPromise(status) => single.send(line, &plain_answer(status, unasked)),
        Failure => single.send(line, &plain_answer(500, unasked)),
        Garbage => single.send(line, b"\x16\x03\x01 what is this\r\n\r\n"),
        AnotherAnswer => {
            single.send(line, &answer("other", "of another"));
            single.end(line);
        }
    }
}

/// A request on a route, each of whose attempts at four executors meets a trouble.
fn play(route: &str, trouble: Trouble) -> Played {
    let mut single = SingleNode::with_executors(4);
    single.network.borrow_mut().comes_up = false;
    let client = single.client(route, "one", &[b'x'; 5_000]);
    let mut read = Vec::new();
    let mut sent = 0;
    for _ in 0..12 {
        while let Some(line) = single.executor_line() {
            let up = !matches!(trouble, Refused | NeverUp);
            let room = matches!(trouble, PartSentThenReset).then_some(700);
            single.network.borrow_mut().limit(line, room);
            if !matches!(trouble, NeverUp) {
                single.network.borrow_mut().answer_dial(line, up);
            }
            single.turn();
            sent += usize::from(!single.take(line).is_empty());
            if matches!(trouble, PartSentThenReset) {
                single.reset(line);
            }
            strike(&mut single, line, trouble);
        }
        single.pass(Duration::from_millis(500));
        read.extend(single.take(client));
    }
    assert!(status_of(&read).is_some() || single.is_closed(client), "the client is left waiting");
    Played { sent, status: status_of(&read) }
}

#[rstest]
fn what_provably_did_not_run_is_offered_elsewhere_and_then_refused(
    #[values("idempotent", "non_idempotent", "streaming", "resumable")] route: &str,
    #[values(Refused, NeverUp, Misdirected, NotExecuted)] trouble: Trouble,
) {
    // Given executors that take no byte of it, or say that they have not run it, when a request of any kind comes,
    let played = play(route, trouble);
    // then each executor is asked at most once, and the client hears that it has not run.
    assert!(played.sent <= 4, "{} attempts", played.sent);
    assert_eq!(played.status, Some(503));
}

#[rstest]
fn what_may_have_run_is_sent_no_second_time(
    #[values("non_idempotent", "streaming")] route: &str,
    #[values(
        PartSentThenReset,
        SentThenReset,
        SentThenEnded,
        SentThenSilence,
        PartOfHead,
        Garbage,
        AnotherAnswer,
        Failure,
        BusyWithoutPromise(503),
        BusyWithoutPromise(429),
        BusyWithoutPromise(408)
    )]
    trouble: Trouble,
) {
    // Given a request that must not run twice, when its executor may have had any of it,
    let played = play(route, trouble);
    // then no other gets it, and the client is given no promise that it has not run.
    assert_eq!(played.sent, 1);
    assert!(matches!(played.status, Some(500 | 502 | 504)), "{:?}", played.status);
}

#[test]
fn an_answer_that_broke_within_its_body_is_sent_no_second_time() {
    // Given a request that must not run twice, when the body of its answer breaks off, then it is sent once.
    let plain = play("non_idempotent", PartOfBody);
    assert_eq!((plain.sent, plain.status), (1, Some(502)));
    // A stream's head is out by then, so that it can only be cut.
    let stream = play("streaming", PartOfBody);
    assert_eq!((stream.sent, stream.status), (1, Some(200)));
}

#[rstest]
fn what_may_run_again_is_sent_as_often_as_its_route_says(
    #[values("idempotent", "resumable")] route: &str,
    #[values(PartSentThenReset, SentThenReset, SentThenEnded, SentThenSilence, PartOfHead, Garbage, Failure)]
    trouble: Trouble,
) {
    // Given a route of three attempts, when each of them fails, then there is no fourth.
    let played = play(route, trouble);
    assert_eq!(played.sent, 3);
    assert!(matches!(played.status, Some(500 | 502 | 504)), "{:?}", played.status);
}

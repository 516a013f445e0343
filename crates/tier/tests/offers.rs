//! The offer of batch jobs by name and size before their bodies are sent. Without it, copies of bodies that
//! the leader rejects or already has would keep an overloaded link overloaded.

mod single_node;

use grebeusher_tier::links::messages::{Call, CallNumber, Reply};
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::network::ConnectionId;
use single_node::{SingleNode, status_of};

/// A job of one item whose body is `base64_bytes` long in base64.
fn submission(base64_bytes: usize) -> Vec<u8> {
    let payload = "A".repeat(base64_bytes);
    format!(
        r#"{{"batch_items":[{{"instance_id":"i1","path":"/bulk/x","header_map":{{}},"payload":"{payload}","token_count":940}}]}}"#
    )
    .into_bytes()
}

/// Starts a node that knows two other nodes, and submits a job of one item whose body is `base64_bytes` long
/// in base64. Returns the node and the client's connection.
fn submit_job(base64_bytes: usize) -> (SingleNode, ConnectionId) {
    let mut single = SingleNode::with_executor();
    single.add_storage_node();
    single.add_third_node();
    single.advance(Duration::from_millis(100));
    drop(single.take_calls());
    let client = single.client("bulk", "job-1", &submission(base64_bytes));
    (single, client)
}

/// The numbers of the calls that offer a job.
fn offers(calls: &[(CallNumber, Call)]) -> Vec<CallNumber> {
    let offer = |(number, call): &(CallNumber, Call)| matches!(call, Call::OfferJob(_)).then_some(*number);
    calls.iter().filter_map(offer).collect()
}

/// The numbers of the calls that submit a job with its bodies.
fn submissions(calls: &[(CallNumber, Call)]) -> Vec<CallNumber> {
    let submission =
        |(number, call): &(CallNumber, Call)| matches!(call, Call::SubmitJob(_)).then_some(*number);
    calls.iter().filter_map(submission).collect()
}

fn answer(status: u16) -> Reply {
    Reply::Answer { status, body: b"{}".to_vec() }
}

#[test]
fn a_job_is_offered_first_and_sent_once_it_is_wanted() {
    // When a job of 20,000 bytes is submitted, then it is offered with its size and without its body.
    let (mut single, client) = submit_job(20_000);
    let calls = single.take_calls();
    let [(number, Call::OfferJob(offer))] = calls.as_slice() else { panic!("{calls:?}") };
    assert_eq!((offer.job.as_str(), offer.route.as_str(), offer.tokens), ("job-1", "bulk", 940));
    // When the leader asks for it, then it is sent complete and only once, and the client is told that it was
    // accepted.
    single.reply(*number, Reply::Wanted);
    let sent = submissions(&single.take_calls());
    assert_eq!(sent.len(), 1);
    single.reply(sent[0], answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

#[test]
fn a_small_job_is_sent_without_an_offer() {
    let (mut single, _) = submit_job(1_000);
    let calls = single.take_calls();
    assert_eq!((offers(&calls).len(), submissions(&calls).len()), (0, 1), "{calls:?}");
}

#[rstest]
fn a_job_that_does_not_fit_is_rejected_without_its_body(#[values(429, 503)] status: u16) {
    let (mut single, client) = submit_job(20_000);
    let calls = single.take_calls();
    single.reply(offers(&calls)[0], answer(status));
    assert!(submissions(&single.take_calls()).is_empty());
    assert_eq!(status_of(&single.take(client)), Some(status));
}

#[test]
fn the_body_is_not_sent_again_while_the_leader_does_not_ask_for_it() {
    // Given a job that was sent complete, when its leader does not reply for over a second,
    let (mut single, client) = submit_job(20_000);
    let calls = single.take_calls();
    single.reply(offers(&calls)[0], Reply::Wanted);
    assert_eq!(submissions(&single.take_calls()).len(), 1);
    let mut later = Vec::new();
    for _ in 0..13 {
        single.advance(Duration::from_millis(100));
        later.extend(single.take_calls());
    }
    // then the job is offered again, and its body is not sent again.
    assert!(!offers(&later).is_empty(), "{later:?}");
    assert!(submissions(&later).is_empty(), "{later:?}");
    // When the leader replies that it has accepted the job, then the client is told so.
    let last = *offers(&later).last().expect("an offer");
    single.reply(last, answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

#[rstest]
fn the_late_rejection_of_an_offer_does_not_answer_the_job(#[values(429, 503)] status: u16) {
    // Given a job that was offered twice, as the first offer was not answered, and was sent complete after
    // the second offer,
    let (mut single, client) = submit_job(20_000);
    let first = offers(&single.take_calls())[0];
    single.advance(Duration::from_millis(600));
    let second = *offers(&single.take_calls()).last().expect("it was offered again");
    single.reply(second, Reply::Wanted);
    let sent = submissions(&single.take_calls());
    assert_eq!(sent.len(), 1);
    // when the reply to the first offer arrives late and rejects it,
    single.reply(first, answer(status));
    // then the client is not answered, as the job may still be accepted; it is answered once the job is
    // accepted.
    assert_eq!(status_of(&single.take(client)), None);
    single.reply(sent[0], answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

#[rstest]
#[case::the_leader_lost_its_leadership(Reply::Unclear)]
#[case::rejected(Reply::Answer { status: 429, body: Vec::new() })]
fn a_job_with_an_unanswered_attempt_is_offered_until_its_time_is_over(#[case] reply: Reply) {
    // Given a job that was sent complete but was not answered,
    let (mut single, client) = submit_job(20_000);
    let calls = single.take_calls();
    single.reply(offers(&calls)[0], Reply::Wanted);
    single.advance(Duration::from_millis(700));
    let repeated_offers = offers(&single.take_calls());
    // when the leader can't tell the outcome, or rejects it, then the client is not answered, as an attempt
    // may be accepted yet,
    single.reply(*repeated_offers.last().expect("a repeated offer"), reply);
    assert_eq!(status_of(&single.take(client)), None);
    single.advance(Duration::from_millis(400));
    let repeated_offers = offers(&single.take_calls());
    // and when the next leader has accepted the job, the client is told so.
    single.reply(*repeated_offers.last().expect("another repeated offer"), answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

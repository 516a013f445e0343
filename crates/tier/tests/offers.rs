//! Batch jobs are offered by name and size before their bodies go: a link that is full must not be kept full by copies of
//! what is refused, or is there already.

mod single_node;

use grebeusher_tier::links::messages::{Call, CallNumber, Reply};
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::network::ConnectionId;
use single_node::{SingleNode, status_of};

/// A job of one item with a body of this many bytes of base64.
fn submission(bytes: usize) -> Vec<u8> {
    let payload = "A".repeat(bytes);
    format!(
        r#"{{"batch_items":[{{"instance_id":"i1","path":"/bulk/x","header_map":{{}},"payload":"{payload}","token_count":940}}]}}"#
    )
    .into_bytes()
}

/// A node that knows a storage node, and a client that hands in a job.
fn handed_in(bytes: usize) -> (SingleNode, ConnectionId) {
    let mut single = SingleNode::with_executor();
    single.add_storage_node();
    single.add_third_node();
    single.advance(Duration::from_millis(100));
    drop(single.take_calls());
    let client = single.client("bulk", "job-1", &submission(bytes));
    (single, client)
}

fn offers(calls: &[(CallNumber, Call)]) -> Vec<CallNumber> {
    let offer = |(number, call): &(CallNumber, Call)| matches!(call, Call::OfferJob(_)).then_some(*number);
    calls.iter().filter_map(offer).collect()
}

fn bodies(calls: &[(CallNumber, Call)]) -> Vec<CallNumber> {
    let body = |(number, call): &(CallNumber, Call)| matches!(call, Call::SubmitJob(_)).then_some(*number);
    calls.iter().filter_map(body).collect()
}

fn answer(status: u16) -> Reply {
    Reply::Answer { status, body: b"{}".to_vec() }
}

#[test]
fn a_job_is_offered_and_its_body_goes_once_it_is_wanted() {
    // Given a job of 20,000 bytes, when it is handed in, then it is offered, with its size and without its body.
    let (mut single, client) = handed_in(20_000);
    let calls = single.take_calls();
    let [(number, Call::OfferJob(offer))] = calls.as_slice() else { panic!("{calls:?}") };
    assert_eq!((offer.job.as_str(), offer.route.as_str(), offer.tokens), ("job-1", "bulk", 940));
    // When the leader wants it, then it goes whole, once; and the client hears that it was taken.
    single.reply(*number, Reply::Wanted);
    let sent = bodies(&single.take_calls());
    assert_eq!(sent.len(), 1);
    single.reply(sent[0], answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

#[test]
fn a_small_job_goes_whole_at_once() {
    let (mut single, _) = handed_in(1_000);
    let calls = single.take_calls();
    assert_eq!((offers(&calls).len(), bodies(&calls).len()), (0, 1), "{calls:?}");
}

#[rstest]
fn a_job_that_does_not_fit_is_refused_without_its_body(#[values(429, 503)] status: u16) {
    let (mut single, client) = handed_in(20_000);
    let calls = single.take_calls();
    single.reply(offers(&calls)[0], answer(status));
    assert!(bodies(&single.take_calls()).is_empty());
    assert_eq!(status_of(&single.take(client)), Some(status));
}

#[test]
fn the_body_is_not_sent_again_while_the_leader_does_not_ask_for_it() {
    // Given a job that was sent whole, when its leader says nothing for over a second,
    let (mut single, client) = handed_in(20_000);
    let calls = single.take_calls();
    single.reply(offers(&calls)[0], Reply::Wanted);
    assert_eq!(bodies(&single.take_calls()).len(), 1);
    let mut later = Vec::new();
    for _ in 0..13 {
        single.advance(Duration::from_millis(100));
        later.extend(single.take_calls());
    }
    // then it is asked after by its name, and the body stays here.
    assert!(!offers(&later).is_empty(), "{later:?}");
    assert!(bodies(&later).is_empty(), "{later:?}");
    // When the leader says that it has the job, then the client hears so.
    let last = *offers(&later).last().expect("there is one");
    single.reply(last, answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

#[rstest]
fn the_late_refusal_of_an_offer_is_no_answer_to_the_job(#[values(429, 503)] status: u16) {
    // Given a job that was offered twice, as the first offer was left unanswered, and sent whole as it was wanted then,
    let (mut single, client) = handed_in(20_000);
    let first = offers(&single.take_calls())[0];
    single.advance(Duration::from_millis(600));
    let second = *offers(&single.take_calls()).last().expect("it was offered again");
    single.reply(second, Reply::Wanted);
    let sent = bodies(&single.take_calls());
    assert_eq!(sent.len(), 1);
    // when the answer to an offer comes late and refuses it,
    single.reply(first, answer(status));
    // then the client hears nothing of it, as the job may be taken; and hears that it was.
    assert_eq!(status_of(&single.take(client)), None);
    single.reply(sent[0], answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

#[rstest]
#[case::lost_by_its_leader(Reply::Unclear)]
#[case::refused(Reply::Answer { status: 429, body: Vec::new() })]
fn a_job_that_may_be_under_way_is_asked_after_until_the_time_is_over(#[case] reply: Reply) {
    // Given a job that was sent whole and was left unanswered,
    let (mut single, client) = handed_in(20_000);
    let calls = single.take_calls();
    single.reply(offers(&calls)[0], Reply::Wanted);
    single.advance(Duration::from_millis(700));
    let asked = offers(&single.take_calls());
    // when the leader can't say what became of it, or refuses it, then no refusal is passed on, as a copy may be taken yet,
    single.reply(*asked.last().expect("it was asked after"), reply);
    assert_eq!(status_of(&single.take(client)), None);
    single.advance(Duration::from_millis(400));
    let asked = offers(&single.take_calls());
    // and when the next one has it, the client hears that it was taken.
    single.reply(*asked.last().expect("it was asked after again"), answer(202));
    assert_eq!(status_of(&single.take(client)), Some(202));
}

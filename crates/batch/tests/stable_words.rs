//! Field names, values and messages that clients write and read, and that every version must keep.

use grebeusher_batch::{
    Entry, Event, EventReader, ItemIndex, ItemResult, JobId, JobResults, JobSettings, Jobs, MAX_PAGE_BYTES,
    ResultState, Submission, SubmissionHead, TOKEN_HEADER, Tokens, read_submission,
};
use rstest::rstest;

const BODY: &str = r#"{"batch_items":[{"instance_id":"a","path":"/lots/a","header_map":{"Accept":"text/plain","X-Grebeusher-Token-Count":"940,60","X-Grebeusher-Attempt-Id":"t","X-Grebeusher-Deadline-Ms":"5","X-Grebeusher-Target-Instance":"i","Last-Event-Id":"3"},"payload":"q80=","token_count":1000}]}"#;

fn job() -> JobId {
    JobId::new("job-1").expect("a valid id")
}

fn head() -> SubmissionHead {
    SubmissionHead {
        job: job(),
        route: "lots".to_owned(),
        service: "models".to_owned(),
        host: "lots.example".to_owned(),
    }
}

fn submission() -> Submission {
    read_submission(head(), BODY.as_bytes()).expect("a submission")
}

#[test]
fn the_field_names_of_a_submission_are_stable() {
    let submission = submission();
    let [item] = &submission.items[..] else { panic!("one item") };
    assert_eq!((item.id.as_str(), &*item.path, item.token_count), ("a", "/lots/a", 1_000));
    assert_eq!(&*item.body, [0xab, 0xcd]);
    // The headers that the tier sets itself when it sends an item are removed.
    let headers: Vec<_> = item.headers.iter().map(|header| (&*header.name, &*header.value)).collect();
    assert_eq!(headers, [("Accept", "text/plain"), ("X-Grebeusher-Token-Count", "940,60")]);
    assert_eq!(item.tokens(), Tokens { prompt: 940, output: 60 });
    assert_eq!(TOKEN_HEADER, "X-Grebeusher-Token-Count");
}

#[rstest]
#[case::items("batch_items", "`batch_items` is missing or of another kind")]
#[case::id("instance_id", "`instance_id` of item 0 is missing or of another kind")]
#[case::path("path", "`path` of item 0 is missing or of another kind")]
#[case::headers("header_map", "`header_map` of item 0 is missing or of another kind")]
#[case::payload("payload", "`payload` of item 0 is missing or of another kind")]
#[case::tokens("token_count", "`token_count` of item 0 is missing or of another kind")]
fn a_missing_field_of_a_submission_is_named(#[case] key: &str, #[case] message: &str) {
    let body = BODY.replacen(&format!("\"{key}\""), &format!("\"{key}s\""), 1);
    assert_ne!(body, BODY);
    let error = read_submission(head(), body.as_bytes()).expect_err("is refused");
    assert_eq!(error.to_string(), message);
}

#[rstest]
#[case::cut(r#"{"batch_items":["#, "the body is no JSON")]
#[case::list("[]", "the body is no object")]
#[case::item(r#"{"batch_items":[7]}"#, "item 0 is no object")]
#[case::name(&BODY.replacen(r#""a""#, r#""""#, 1), "the name of item 0 can't be one")]
#[case::path(&BODY.replacen("/lots/a", "lots/a", 1), "the path of item 0 can't be one")]
#[case::header(&BODY.replacen("Accept", "Acc ept", 1), "the headers of item 0 can't be sent")]
#[case::payload(&BODY.replacen("q80=", "q", 1), "the payload of item 0 is no base64")]
fn an_invalid_submission_is_rejected_with_a_message(#[case] body: &str, #[case] message: &str) {
    let error = read_submission(head(), body.as_bytes()).expect_err("is refused");
    assert_eq!(error.to_string(), message);
}

#[test]
fn a_submission_beyond_the_limits_is_rejected_with_a_message() {
    let message = |body: &[u8]| read_submission(head(), body).expect_err("is refused").to_string();
    assert_eq!(message(b"\xff"), "the body is no UTF-8");
    assert_eq!(message("[".repeat(1_000).as_bytes()), "values stand in each other too deeply");
    let item = BODY.trim_start_matches("{\"batch_items\":[").trim_end_matches("]}");
    let twice = format!("{{\"batch_items\":[{item},{item}]}}");
    assert_eq!(message(twice.as_bytes()), "the name of item 1 is an earlier one's");
    let many = format!("{{\"batch_items\":[{}]}}", vec!["0"; 201].join(","));
    assert_eq!(message(many.as_bytes()), "201 items, more than 200");
}

#[test]
fn the_page_of_results_keeps_its_bytes() {
    let mut jobs = Jobs::new();
    let mut submission = submission();
    let mut second = submission.items[0].clone();
    second.id = "b\"".to_owned();
    submission.items.push(second);
    jobs.apply(Entry::Submit { submission, settings: JobSettings::default() });
    let page = |jobs: &Jobs, after| jobs.read(&job(), after, MAX_PAGE_BYTES).expect("a job").to_json();
    assert_eq!(page(&jobs, 0), r#"{"total":2,"next_token":0,"result_list":[]}"#);
    let result = |item, state, text: &str| ItemResult { item: ItemIndex(item), state, text: text.into() };
    let results = vec![
        result(1, ResultState::DeadLetter, ""),
        result(0, ResultState::Complete, "one\ntwo\t\r\\\"\u{1}\u{e9}"),
    ];
    jobs.apply(Entry::Results(vec![JobResults { job: job(), results }]));
    assert_eq!(
        page(&jobs, 0),
        r#"{"total":2,"next_token":2,"result_list":[{"instance_id":"b\"","state":"dead_letter","text":""},{"instance_id":"a","state":"complete","text":"one\ntwo\t\r\\\"\u0001é"}]}"#
    );
    assert_eq!(
        page(&jobs, 1),
        r#"{"total":2,"next_token":2,"result_list":[{"instance_id":"a","state":"complete","text":"one\ntwo\t\r\\\"\u0001é"}]}"#
    );
}

/// The name of each state in result pages. A new state needs a new name here.
fn stable_word(state: ResultState) -> &'static str {
    match state {
        ResultState::Complete => "complete",
        ResultState::DeadLetter => "dead_letter",
    }
}

#[rstest]
fn the_state_of_a_result_keeps_its_word(
    #[values(ResultState::Complete, ResultState::DeadLetter)] state: ResultState,
) {
    assert_eq!(state.as_str(), stable_word(state));
}

#[test]
fn the_field_names_of_an_event_are_stable() {
    let stream =
        b": a comment\nevent: other\nid: 0\ndata: one\ndata: more\n\nid:1\r\ndata:two\r\n\r\nid: 2\n\n";
    let mut events = Vec::new();
    EventReader::new().push(stream, |event| events.push(event)).expect("events");
    let event = |id, data: &str| Event { id, data: data.to_owned() };
    assert_eq!(events, [event(0, "one\nmore"), event(1, "two"), event(2, "")]);
}

#[rstest]
#[case::no_id("data: one\n\n", "an event has no id that is a number")]
#[case::another_id("id: first\ndata: one\n\n", "an event has no id that is a number")]
fn an_invalid_event_is_rejected_with_a_message(#[case] stream: &str, #[case] message: &str) {
    let error = EventReader::new().push(stream.as_bytes(), |_| ()).expect_err("is refused");
    assert_eq!(error.to_string(), message);
}

#[test]
fn an_invalid_stream_is_rejected_with_a_message() {
    let message =
        |stream: &[u8]| EventReader::new().push(stream, |_| ()).expect_err("is refused").to_string();
    assert_eq!(message(b"id: 0\ndata: \xff\n\n"), "an event is no UTF-8");
    assert_eq!(message(&vec![b'a'; (256 << 10) + 1]), "an event is larger than 262144 bytes");
    let mut reader = EventReader::new();
    reader.push(b"id: 0\n", |_| ()).expect("half an event");
    assert_eq!(reader.finish().expect_err("half an event").to_string(), "the stream ends inside an event");
    reader.push(b"id: none\n\n", |_| ()).expect_err("no number");
    assert_eq!(reader.finish().expect_err("broken").to_string(), "the stream was unreadable before");
}

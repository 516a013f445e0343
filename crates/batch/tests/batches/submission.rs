//! The parser of submissions, and their encoding in the log.

use grebeusher_batch::*;
use nanoserde::{DeBin, SerBin};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::*;

fn head() -> SubmissionHead {
    SubmissionHead {
        job: job("7c41e09b52d6a3f8"),
        route: ROUTE.into(),
        service: "models".into(),
        host: "lots.example".into(),
    }
}

fn read(body: &str) -> Result<Submission, SubmissionError> {
    read_submission(head(), body.as_bytes())
}

/// The body of a submission with one valid item, in which the field `key` has another value.
fn one_item(key: &str, value: &str) -> String {
    let fields = [
        ("instance_id", r#""e5b2""#),
        ("path", r#""/lots/3/91c4""#),
        ("header_map", r#"{"X-A":"b"}"#),
        ("payload", r#""q83vEjRWeJA=""#),
        ("token_count", "940"),
    ];
    let fields = fields.map(|(name, default_value)| {
        format!(r#""{name}":{}"#, if name == key { value } else { default_value })
    });
    format!(r#"{{"batch_items":[{{{}}}]}}"#, fields.join(","))
}

#[test]
fn a_valid_submission_is_read() {
    let body = r#"{"batch_items":[{"instance_id":"e5b2","path":"/lots/3/91c4?x=1","header_map":
        {"X-B":"2 3","Host":"other.example","X-A":"é","Content-Length":"0","Last-Event-Id":"4"},
        "payload":"q83vEjRWeJA=","token_count":940}, {"instance_id":"0","path":"/","header_map":{},
        "payload":"","token_count":0}]}"#;
    let submission = read(body).expect("a valid submission");
    assert_eq!((submission.route.as_str(), submission.host.as_str()), (ROUTE, "lots.example"));
    let first = &submission.items[0];
    assert_eq!(
        (first.id.as_str(), first.path.as_str(), first.token_count),
        ("e5b2", "/lots/3/91c4?x=1", 940)
    );
    assert_eq!(first.body.as_slice(), [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]);
    let header = |name: &str, value: &str| Header { name: name.into(), value: value.into() };
    assert_eq!(
        first.headers,
        [header("X-A", "é"), header("X-B", "2 3")],
        "headers that concern the connection are removed"
    );
    assert_eq!(submission.items[1].body.as_slice(), b"");
    assert_eq!(submission.tokens(), 940);
}

#[rstest]
#[case::split("540,400", Tokens { prompt: 540, output: 400 })]
#[case::with_space("540, 400", Tokens { prompt: 540, output: 400 })]
#[case::not_split("940", Tokens { prompt: 940, output: 0 })]
#[case::unreadable("a,b", Tokens { prompt: 940, output: 0 })]
fn tokens_are_split_by_the_header(#[case] value: &str, #[case] tokens: Tokens) {
    let body = one_item("header_map", &format!(r#"{{"x-grebeusher-token-count":"{value}"}}"#));
    assert_eq!(read(&body).expect("a valid submission").items[0].tokens(), tokens);
}

#[rstest]
#[case::blank_in_path("path", r#""/a b""#)]
#[case::line_end_in_path("path", r#""/a\r\nX-B: c""#)]
#[case::path_without_root("path", r#""a""#)]
#[case::whole_url("path", r#""http://other.example/""#)]
#[case::fragment("path", r##""/a#b""##)]
#[case::line_end_in_value("header_map", r#"{"X-A":"b\r\nX-C: d"}"#)]
#[case::null_in_value("header_map", r#"{"X-A":"b\u0000"}"#)]
#[case::blank_at_end_of_value("header_map", r#"{"X-A":"b "}"#)]
#[case::colon_in_name("header_map", r#"{"X-A: b\r\nX-C":"d"}"#)]
#[case::empty_name("header_map", r#"{"":"d"}"#)]
#[case::number_as_value("header_map", r#"{"X-A":1}"#)]
#[case::list_of_headers("header_map", r#"[]"#)]
#[case::line_end_in_id("instance_id", r#""a\nb""#)]
#[case::empty_id("instance_id", r#""""#)]
#[case::id_is_a_number("instance_id", "1")]
#[case::no_base64("payload", r#""q83v*""#)]
#[case::payload_is_null("payload", "null")]
#[case::negative_tokens("token_count", "-1")]
#[case::fractional_tokens("token_count", "1.5")]
#[case::too_many_tokens("token_count", "1e300")]
#[case::tokens_as_text("token_count", r#""940""#)]
fn invalid_items_are_rejected(#[case] key: &str, #[case] value: &str) {
    assert!(read(&one_item("none", "")).is_ok(), "the other fields are valid");
    assert!(read(&one_item(key, value)).is_err());
}

#[rstest]
#[case::nothing("")]
#[case::no_object("[]")]
#[case::no_items("{}")]
#[case::items_are_an_object(r#"{"batch_items":{}}"#)]
#[case::item_is_a_list(r#"{"batch_items":[[]]}"#)]
#[case::truncated(r#"{"batch_items":["#)]
#[case::trailing_bytes(r#"{"batch_items":[]} {}"#)]
fn invalid_submissions_are_rejected(#[case] body: &str) {
    assert!(read(body).is_err());
}

#[test]
fn deeply_nested_values_are_rejected() {
    let body = "[".repeat(1 << 20);
    assert!(matches!(read(&body), Err(SubmissionError::TooDeep)));
    let in_a_string = one_item("payload", &format!(r#""{}""#, "[".repeat(100)));
    assert!(matches!(read(&in_a_string), Err(SubmissionError::ItemPayload { item: 0, .. })));
}

fn items(count: usize, id: impl Fn(usize) -> usize) -> String {
    let item = |index| {
        format!(
            r#"{{"instance_id":"i{}","path":"/","header_map":{{}},"payload":"","token_count":1}}"#,
            id(index)
        )
    };
    let items: Vec<String> = (0..count).map(item).collect();
    format!(r#"{{"batch_items":[{}]}}"#, items.join(","))
}

#[rstest]
#[case::the_most_headers(64, 10, true)]
#[case::too_many(65, 10, false)]
#[case::the_largest_headers(4, 4_000, true)]
#[case::too_large(4, 4_100, false)]
fn headers_are_bounded(#[case] count: usize, #[case] value_bytes: usize, #[case] is_valid: bool) {
    let value = "x".repeat(value_bytes);
    let headers: Vec<String> = (0..count).map(|number| format!(r#""X-{number}":"{value}""#)).collect();
    let body = one_item("header_map", &format!("{{{}}}", headers.join(",")));
    assert_eq!(read(&body).is_ok(), is_valid);
}

#[test]
fn the_number_of_items_is_bounded() {
    assert_eq!(read(&items(200, |index| index)).expect("a valid submission").items.len(), 200);
    assert!(matches!(read(&items(201, |index| index)), Err(SubmissionError::TooManyItems { count: 201 })));
    assert!(read(&items(0, |index| index)).expect("a valid submission without items").items.is_empty());
}

#[test]
fn duplicate_items_are_rejected() {
    assert!(matches!(read(&items(3, |index| index % 2)), Err(SubmissionError::DuplicateItem { item: 2 })));
}

#[test]
fn bodies_that_are_not_text_or_too_large_are_rejected() {
    assert!(matches!(read_submission(head(), b"\xff"), Err(SubmissionError::NotText { .. })));
    assert!(matches!(read_submission(head(), &vec![b' '; 5 << 20]), Err(SubmissionError::TooLarge { .. })));
}

#[rstest]
#[case("")]
#[case("a b")]
#[case("a\n")]
#[case("é")]
#[case(&"a".repeat(129))]
fn names_are_valid_in_paths_and_headers(#[case] name: &str) {
    assert_eq!(JobId::new(name), None);
}

#[test]
fn duplicate_items_in_the_log_are_rejected() {
    let mut submission = submission("j", 2);
    submission.items[1] = submission.items[0].clone();
    assert!(Submission::deserialize_bin(&submission.serialize_bin()).is_err());
}

#[test]
fn too_many_items_in_the_log_are_rejected() {
    assert!(Submission::deserialize_bin(&submission("j", 200).serialize_bin()).is_ok());
    assert!(Submission::deserialize_bin(&submission("j", 201).serialize_bin()).is_err());
}

#[test]
fn a_number_that_overflows_is_rejected() {
    let mut submission = submission("j", 1);
    submission.items[0].token_count = u64::MAX;
    let mut bytes = submission.serialize_bin();
    assert_eq!(Submission::deserialize_bin(&bytes).expect("valid bytes"), submission);
    assert_eq!(bytes.pop(), Some(1), "the byte with the 64th bit");
    assert!(Submission::deserialize_bin(&[&bytes[..], &[2]].concat()).is_err(), "a 65th bit");
    assert!(Submission::deserialize_bin(&[&bytes[..], &[0x81, 0]].concat()).is_err(), "an eleventh byte");
}

#[test]
fn the_encoding_adds_little_to_its_contents() {
    let submission = submission("j", 40);
    let contents: usize = submission
        .items
        .iter()
        .map(|item| item.id.len() + item.path.len() + item.body.len() + item.headers[0].name.len() + 6)
        .sum();
    assert!(submission.serialize_bin().len() < contents + 40 * 10 + 40);
}

proptest! {
    /// Any body is either rejected or read, without a panic.
    #[test]
    fn any_body_is_rejected_or_read(body in r#"[\[\]{}":,a-z0-9\\ ]{0,60}"#) {
        let _ = read(&body);
    }

    #[test]
    fn a_submission_round_trips_through_bytes(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        tokens in any::<u64>(),
    ) {
        let mut submission = submission("j", bodies.len());
        for (item, body) in submission.items.iter_mut().zip(bodies) {
            item.body = body.into();
            item.token_count = tokens;
        }
        let bytes = submission.serialize_bin();
        prop_assert_eq!(&Submission::deserialize_bin(&bytes).expect("valid bytes"), &submission);
        for end in 0..bytes.len() {
            prop_assert!(Submission::deserialize_bin(&bytes[..end]).is_err(), "cut at {}", end);
        }
    }

    /// Corrupt bytes, such as wrong lengths, never cause a panic.
    #[test]
    fn corrupt_bytes_do_not_panic(index in 0usize..400, byte in any::<u8>()) {
        let mut bytes = submit("j", 3).serialize_bin();
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = Entry::deserialize_bin(&bytes);
    }

    #[test]
    fn random_bytes_are_no_entry_or_a_valid_one(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Entry::deserialize_bin(&bytes);
        let _ = Jobs::from_snapshot(&bytes);
    }
}

//! Bodies of heartbeats: which are accepted, and which are rejected with status 400.

use grebeusher_registry::{ExecutorState, HeartbeatReport, MAX_REPORT, ReportError};
use proptest::prelude::*;
use rstest::rstest;

const BODY: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"hall","config_version":"v1",
    "slot_count":48,"state":"up","cold_left_ms":120,"pipeline_stage":"both",
    "models":[{"name":"m","config_version":3,"adapters":[]}],"call_seq":4,"later":{"deep":[1,2,{"x":null}]}}"#;

#[test]
fn a_complete_body_is_read_and_unknown_fields_are_ignored() {
    let report = HeartbeatReport::parse("i-1", BODY.as_bytes()).expect("a heartbeat");
    assert_eq!(
        (report.id.as_str(), report.service.as_str(), report.zone.as_str()),
        ("i-1", "huvo11a", "hall")
    );
    assert_eq!(report.address.to_string(), "10.128.0.9:8080");
    assert_eq!((report.slot_count, report.cold_left_ms, report.call_seq), (48, 120, 4));
    assert_eq!(report.state, ExecutorState::Up);
    assert_eq!((report.models[0].name.as_str(), report.models[0].config_version), ("m", 3));
}

#[test]
fn a_body_without_optional_fields_is_read() {
    let body = r#"{"service":"s","address":"10.0.0.1:80","zone":"z","slot_count":1,"state":"draining","call_seq":1}"#;
    let report = HeartbeatReport::parse("i-1", body.as_bytes()).expect("a heartbeat");
    assert_eq!(report.state, ExecutorState::Draining);
    assert!(report.models.is_empty() && report.config_version.is_empty() && report.pipeline_stage.is_empty());
}

#[rstest]
#[case::no_service("\"service\":\"huvo11a\",", "", "service")]
#[case::empty_service("huvo11a", "", "service")]
#[case::no_port("10.128.0.9:8080", "10.128.0.9", "address")]
#[case::port_zero("10.128.0.9:8080", "10.128.0.9:0", "address")]
#[case::a_name("10.128.0.9:8080", "localhost:8080", "address")]
#[case::unknown_state("\"up\"", "\"gone\"", "state")]
#[case::negative_slots("48", "-1", "slot_count")]
#[case::many_slots("48", "4294967296", "slot_count")]
#[case::text_for_number("\"call_seq\":4", "\"call_seq\":\"4\"", "call_seq")]
#[case::no_sequence("\"call_seq\":4,", "", "call_seq")]
#[case::endless_sequence("\"call_seq\":4", "\"call_seq\":1e300", "call_seq")]
#[case::models_as_text("[{\"name\":\"m\",\"config_version\":3,\"adapters\":[]}]", "\"m\"", "models")]
#[case::nameless_model("{\"name\":\"m\",", "{", "name")]
fn a_body_with_an_invalid_field_is_rejected(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &'static str,
) {
    let body = BODY.replacen(from, to, 1);
    assert_ne!(body, BODY);
    assert_eq!(HeartbeatReport::parse("i-1", body.as_bytes()), Err(ReportError::Field { field }));
}

#[rstest]
#[case::nothing(b"")]
#[case::a_list(b"[]")]
#[case::cut(&BODY.as_bytes()[..40])]
#[case::not_text(b"{\"service\":\"\xff\"}")]
#[case::more_behind(b"{} {}")]
fn a_body_that_is_not_an_object_is_rejected(#[case] body: &[u8]) {
    assert_eq!(HeartbeatReport::parse("i-1", body), Err(ReportError::NotJson));
}

#[test]
fn deep_nesting_and_size_are_rejected_before_parsing() {
    let deep = "[".repeat(MAX_REPORT);
    assert_eq!(HeartbeatReport::parse("i-1", deep.as_bytes()), Err(ReportError::NotJson));
    let large = vec![b' '; MAX_REPORT + 1];
    assert_eq!(HeartbeatReport::parse("i-1", &large), Err(ReportError::TooLarge { length: large.len() }));
    // Brackets inside strings do not count as nesting.
    let quoted = BODY.replacen("\"both\"", "\"[[[[[[[[[[[[[[[[[[[[[[[[\\\"[[[\"", 1);
    assert!(HeartbeatReport::parse("i-1", quoted.as_bytes()).is_ok());
}

#[rstest]
#[case("")]
#[case(&"i".repeat(256))]
fn an_id_of_invalid_length_is_rejected(#[case] id: &str) {
    assert!(HeartbeatReport::parse(id, BODY.as_bytes()).is_err());
}

proptest! {
    #[test]
    fn no_body_makes_the_parser_panic(body in "[\\[\\]{}\":,a-e0-9.\\\\-]{0,200}") {
        let _ = HeartbeatReport::parse("i-1", body.as_bytes());
    }

    #[test]
    fn no_changed_body_makes_the_parser_panic(place in 0..BODY.len(), byte in any::<u8>()) {
        let mut body = BODY.as_bytes().to_vec();
        body[place] = byte;
        let _ = HeartbeatReport::parse("i-1", &body);
    }
}

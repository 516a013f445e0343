//! Parsing of the orders that operators send.

use grebeusher_rollout::RolloutOrder;
use rstest::rstest;

#[rstest]
#[case::whole_seconds(r#"{"service":"s","target_version":"v2","ramp_s":12}"#, 12_000)]
#[case::fractions_and_unknown_fields(
    r#"{"ramp_s":0.5,"service":"s","target_version":"v2","later":[1]}"#,
    500
)]
fn an_order_is_parsed(#[case] body: &str, #[case] ramp_ms: u64) {
    let order = RolloutOrder::read(body.as_bytes()).expect("an order");
    assert_eq!((order.service.as_str(), order.target_version.as_str(), order.ramp_ms), ("s", "v2", ramp_ms));
}

#[rstest]
#[case::nothing("", "not an object in JSON of at most 65536 bytes")]
#[case::a_list("[]", "not an object in JSON of at most 65536 bytes")]
#[case::too_deep(&"[".repeat(1000), "not an object in JSON of at most 65536 bytes")]
#[case::no_service(r#"{"target_version":"v2","ramp_s":1}"#, "service: expected a text of 1 to 256 bytes")]
#[case::empty_version(
    r#"{"service":"s","target_version":"","ramp_s":1}"#,
    "target_version: expected a text of 1 to 256 bytes"
)]
#[case::no_time(
    r#"{"service":"s","target_version":"v2","ramp_s":0}"#,
    "ramp_s: expected seconds above 0, at most a week"
)]
#[case::time_as_text(
    r#"{"service":"s","target_version":"v2","ramp_s":"1"}"#,
    "ramp_s: expected seconds above 0, at most a week"
)]
fn an_invalid_order_is_rejected_with_a_reason(#[case] body: &str, #[case] reason: &str) {
    assert_eq!(RolloutOrder::read(body.as_bytes()).expect_err("no order").to_string(), reason);
}

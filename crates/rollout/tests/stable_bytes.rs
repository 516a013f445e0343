//! Samples of bytes in the log and in the snapshots of the configuration's partition. No sample may be edited to make a
//! test pass: a changed format needs a number of its own beside the old one.

use grebeusher_rollout::{Entry, RolloutOrder, Rollouts};
use rstest::rstest;

fn order() -> RolloutOrder {
    RolloutOrder { service: "s".to_owned(), target_version: "v2".to_owned(), ramp_ms: 15_000 }
}

fn revert() -> Entry {
    Entry::Revert { service: "s".to_owned(), target_version: "v2".to_owned() }
}

#[rstest]
#[case::version_in_force(Entry::VersionInForce { service: "s".to_owned(), version: "v1".to_owned() }, "02000001000000000000007302000000000000007631")]
#[case::begin(Entry::Begin { order: order(), in_force: "v1".to_owned(), begun_at_wall_ms: 772 }, "02010001000000000000007302000000000000007632983a000000000000020000000000000076310403000000000000")]
#[case::revert(revert(), "02020001000000000000007302000000000000007632")]
fn an_entry_keeps_its_bytes(#[case] entry: Entry, #[case] pinned: &str) {
    assert_eq!(hex(&entry.encode()), pinned);
    assert_eq!(Entry::decode(&entry.encode()).expect("whole"), entry);
}

#[test]
fn a_state_keeps_its_bytes() {
    let mut rollouts = Rollouts::default();
    assert_eq!(hex(&rollouts.encode()), "00000000000000000000000000000000");
    rollouts.apply(Entry::Begin { order: order(), in_force: "v1".to_owned(), begun_at_wall_ms: 772 });
    let pinned = "01000000000000000100000000000000010000000000000073020000000000000076310102000000000000007632983a000000000000040300000000000000000000000000000000";
    assert_eq!(hex(&rollouts.encode()), pinned);
}

#[test]
fn a_damaged_entry_is_rejected_with_a_message() {
    let error = |bytes: &[u8]| Entry::decode(bytes).expect_err("is refused").to_string();
    let bytes = revert().encode();
    assert_eq!(error(&bytes[..bytes.len() - 1]), "a damaged roll-out entry");
    assert_eq!(error(&[&bytes[..], &[0]].concat()), "a damaged roll-out entry");
    assert_eq!(error(&[&[9], &bytes[1..]].concat()), "a roll-out entry of format 9 instead of 2");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

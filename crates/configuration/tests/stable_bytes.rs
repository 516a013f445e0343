//! Tests that this version reads and writes the bytes that earlier versions wrote.
//!
//! The log of the configuration partition contains entries. Snapshots are stored on disk, and sent to replicas whose
//! logs are behind. None of the bytes may be edited to make a test pass: a changed form needs a new format number, and
//! the old format must still be read.

use std::sync::Arc;

use grebeusher_configuration::register::{BodyHash, Change, ConfigurationRegister, Entry};
use nanoserde::{DeBin, SerBin};
use rstest::rstest;

const BODY: &[u8] = br#"{"config_version":7,"route_table":[],"service_list":[]}"#;
const CHANGE: &[u8] = b"\x08\x07\x06\x05\x04\x03\x02\x01\xff\xff\xff\xff\xff\xff\xff\xff\r\xd8\xcd7\xd9\x88\x14\xdc\x8d\xf7q\xe6\xfb\xdb\xd9\xc5";
const ENTRY: &[u8] = b"\x01\x03\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\r\xd8\xcd7\xd9\x88\x14\xdc\x8d\xf7q\xe6\xfb\xdb\xd9\xc5{\"config_version\":7,\"route_table\":[],\"service_list\":[]}";
const ENTRY_WITHOUT_BODY: &[u8] = b"\x01\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x7fI\x8dF$\xc3\x01`\xd8\x98G\x01\xd3\x06\xaa\x99";
const EMPTY_REGISTER: &[u8] = b"\x01\x00\x00\x00\x00";
const TWO_CHANGES: &[u8] = b"\x01\x02\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x03\x00\x00\x00\x00\x00\x00\x00[v\x1a\xb9.\x86x\xafl\xf3\x88\xa9\xb2\"a\x89\x03\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\r\xd8\xcd7\xd9\x88\x14\xdc\x8d\xf7q\xe6\xfb\xdb\xd9\xc5{\"config_version\":7,\"route_table\":[],\"service_list\":[]}";

fn entry() -> Entry {
    Entry::new(3, 7, Arc::from(BODY))
}

fn register() -> ConfigurationRegister {
    let mut register = ConfigurationRegister::new();
    register.apply(&Entry::new(0, 3, Arc::from(&b"the first"[..])));
    register.apply(&entry());
    register
}

#[test]
fn a_change_keeps_its_bytes() {
    let change = Change { base: 0x0102_0304_0506_0708, version: u64::MAX, hash: BodyHash::of(BODY) };
    let written = SerBin::serialize_bin(&change);
    assert_eq!(written.escape_ascii().to_string(), CHANGE.escape_ascii().to_string());
    assert_eq!(<Change as DeBin>::deserialize_bin(CHANGE).expect("a change"), change);
}

#[rstest]
#[case::with_a_body(entry(), ENTRY)]
#[case::without_a_body(Entry::new(0, 1, Arc::default()), ENTRY_WITHOUT_BODY)]
fn an_entry_keeps_its_bytes(#[case] entry: Entry, #[case] bytes: &[u8]) {
    assert_eq!(entry.encode().escape_ascii().to_string(), bytes.escape_ascii().to_string());
    assert_eq!(Entry::decode(bytes).expect("an entry"), entry);
}

#[rstest]
#[case::empty(ConfigurationRegister::new(), EMPTY_REGISTER)]
#[case::two_changes(register(), TWO_CHANGES)]
fn a_snapshot_keeps_its_bytes(#[case] register: ConfigurationRegister, #[case] bytes: &[u8]) {
    assert_eq!(register.encode().escape_ascii().to_string(), bytes.escape_ascii().to_string());
    assert_eq!(ConfigurationRegister::decode(bytes).expect("a snapshot"), register);
}

#[test]
fn a_decoded_snapshot_has_the_version_body_and_history_of_the_register() {
    let read = ConfigurationRegister::decode(TWO_CHANGES).expect("a snapshot");
    assert_eq!((read.version(), &**read.body()), (7, BODY));
    let history: Vec<_> = read.history().map(|change| (change.base, change.version)).collect();
    assert_eq!(history, [(0, 3), (3, 7)]);
}

#[test]
fn an_invalid_entry_is_rejected_by_one_line() {
    let error = |bytes: &[u8]| Entry::decode(bytes).expect_err("invalid bytes").to_string();
    assert_eq!(error(&[&[2], &ENTRY[1..]].concat()), "an entry of format 2 instead of 1");
    assert_eq!(error(&ENTRY[..32]), "an entry can't have 32 bytes");
    assert_eq!(error(&ENTRY[..ENTRY.len() - 1]), "the body of version 7 is damaged");
}

#[test]
fn an_invalid_snapshot_is_rejected_by_one_line() {
    let error = |bytes: &[u8]| ConfigurationRegister::decode(bytes).expect_err("invalid bytes").to_string();
    assert_eq!(error(&[&[2], &TWO_CHANGES[1..]].concat()), "a snapshot of format 2 instead of 1");
    assert_eq!(error(&TWO_CHANGES[..40]), "a snapshot can't have 40 bytes");
    assert_eq!(
        error(&TWO_CHANGES[..TWO_CHANGES.len() - 1]),
        "the body of the snapshot at version 7 is damaged"
    );
    let mut broken = TWO_CHANGES.to_vec();
    broken[37] = 4;
    assert_eq!(error(&broken), "the history of the snapshot is broken at version 7");
}

//! Compatibility of the messages between nodes, except those of the registry and the replicas: this version must read and
//! write the bytes of earlier versions.

use grebeusher_rollout::RolloutOrder;
use grebeusher_tier::control::leader_index::{LedPartition, LedPartitions};
use grebeusher_tier::links::messages::{
    BatchLoad, Call, CallEnvelope, CallNumber, Channel, OfferJob, QuorumEnvelope, Reply, ReplyEnvelope,
    SubmitJob,
};
use nanoserde::{DeBin, SerBin};
use rstest::rstest;
use std::fmt::{Debug, Write};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect()
}

/// Asserts that a value is encoded as these bytes, and that these are decoded and encoded again without a change.
fn assert_pinned<T: SerBin + DeBin + Debug>(value: &T, pinned: &str) {
    assert_eq!(hex(&value.serialize_bin()), pinned);
    let read = T::deserialize_bin(&bytes(pinned)).expect("what earlier versions wrote");
    assert_eq!(format!("{read:?}"), format!("{value:?}"));
    assert_eq!(hex(&read.serialize_bin()), pinned);
}

/// Returns the number in the first bytes of each kind of call. A new kind needs its number here and its bytes below.
fn number_of_call(call: &Call) -> u16 {
    match call {
        Call::Bootstrap { .. } => 0,
        Call::ReplaceConfiguration { .. } => 1,
        Call::ShowConfiguration => 2,
        Call::ShowPartition { .. } => 3,
        Call::FetchConfiguration { .. } => 4,
        Call::SubmitJob(_) => 5,
        Call::ReadJob { .. } => 6,
        Call::ReadItem { .. } => 7,
        Call::EndJob { .. } => 8,
        Call::Forward { .. } => 9,
        Call::BeginRetire { .. } => 10,
        Call::ShowRetire { .. } => 11,
        Call::OfferJob(_) => 12,
        Call::BeginRollout(_) => 13,
        Call::ShowRollout { .. } => 14,
        Call::SyncRollouts { .. } => 15,
    }
}

/// Returns the number in the first bytes of each kind of reply.
fn number_of_reply(reply: &Reply) -> u16 {
    match reply {
        Reply::NotLeader { .. } => 0,
        Reply::Unavailable => 1,
        Reply::Unclear => 2,
        Reply::Done => 3,
        Reply::Answer { .. } => 4,
        Reply::Configuration { .. } => 5,
        Reply::Wanted => 6,
        Reply::Rollouts(_) => 7,
    }
}

#[rstest]
#[case::found(Call::Bootstrap { partition: 3, voters: vec![0x0102_0304_0506_0708, 9] }, "000003020000000000000008070605040302010900000000000000")]
#[case::replace_configuration(
    Call::ReplaceConfiguration { base: 0x0102_0304_0506_0708, body: b"{\"a\":1}".to_vec() },
    "0100080706050403020107000000000000007b2261223a317d"
)]
#[case::show_configuration(Call::ShowConfiguration, "0200")]
#[case::show_partition(Call::ShowPartition { partition: 200 }, "0300c8")]
#[case::fetch_configuration(Call::FetchConfiguration { newer_than: 0x0102_0304_0506_0708 }, "04000807060504030201")]
#[case::submit_job(
    Call::SubmitJob(SubmitJob {
        partition: 1,
        submission: vec![0xab, 0x00, 0xcd],
        completion_target_ms: 0x0102_0304_0506_0708,
        retention_ms: 40_000,
        max_attempts: 0x0a0b_0c0d,
        queue_token_limit: 1_000,
    }),
    "0500010300000000000000ab00cd0807060504030201409c0000000000000d0c0b0ae803000000000000"
)]
#[case::read_job(
    Call::ReadJob {
        partition: 2,
        job: "job-größer".to_owned(),
        resume_after: 0x0102_0304_0506_0708,
        hold_ms: 0x0a0b_0c0d,
    },
    "0600020c000000000000006a6f622d6772c3b6c39f657208070605040302010d0c0b0a"
)]
#[case::read_item(Call::ReadItem { partition: 2, job: "job".to_owned(), item: "item-1".to_owned() }, "07000203000000000000006a6f6206000000000000006974656d2d31")]
#[case::end_job(Call::EndJob { partition: 2, job: "job".to_owned() }, "08000203000000000000006a6f62")]
#[case::forward(
    Call::Forward {
        partition: 4,
        timeout_ms: 0x0a0b_0c0d,
        call: Call::EndJob { partition: 4, job: "job".to_owned() }.serialize_bin(),
    },
    "0900040d0c0b0a0e0000000000000008000403000000000000006a6f62"
)]
#[case::begin_retire(Call::BeginRetire { partition: 5, node: "storage-2".to_owned() }, "0a0005090000000000000073746f726167652d32")]
#[case::show_retire(Call::ShowRetire { partition: 5, node: "storage-2".to_owned() }, "0b0005090000000000000073746f726167652d32")]
#[case::offer_job(
    Call::OfferJob(OfferJob {
        partition: 6,
        job: "job".to_owned(),
        route: "bulk".to_owned(),
        tokens: 0x0102_0304_0506_0708,
        queue_token_limit: 0,
    }),
    "0c000603000000000000006a6f62040000000000000062756c6b08070605040302010000000000000000"
)]
#[case::begin_rollout(
    Call::BeginRollout(RolloutOrder { service: "s".to_owned(), target_version: "v2".to_owned(), ramp_ms: 15_000 }),
    "0d0001000000000000007302000000000000007632983a000000000000"
)]
#[case::show_rollout(Call::ShowRollout { service: "s".to_owned() }, "0e00010000000000000073")]
#[case::sync_rollouts(Call::SyncRollouts { newer_than: 0x0102_0304_0506_0708 }, "0f000807060504030201")]
fn a_call_keeps_its_bytes(#[case] call: Call, #[case] pinned: &str) {
    assert_pinned(&call, pinned);
    assert_eq!(call.serialize_bin()[..2], number_of_call(&call).to_le_bytes());
}

#[rstest]
#[case::not_leader(Reply::NotLeader { leader: Some("storage-2".to_owned()) }, "000001090000000000000073746f726167652d32")]
#[case::not_leader_nor_who_is(Reply::NotLeader { leader: None }, "000000")]
#[case::unavailable(Reply::Unavailable, "0100")]
#[case::unclear(Reply::Unclear, "0200")]
#[case::done(Reply::Done, "0300")]
#[case::answer(Reply::Answer { status: 0x0102, body: b"text".to_vec() }, "04000201040000000000000074657874")]
#[case::configuration(
    Reply::Configuration { version: 0x0102_0304_0506_0708, body: b"{\"a\":1}".to_vec() },
    "0500080706050403020107000000000000007b2261223a317d"
)]
#[case::no_configuration(Reply::Configuration { version: 0, body: Vec::new() }, "050000000000000000000000000000000000")]
#[case::wanted(Reply::Wanted, "0600")]
#[case::rollouts(Reply::Rollouts(vec![0xab, 0x00]), "07000200000000000000ab00")]
fn a_reply_keeps_its_bytes(#[case] reply: Reply, #[case] pinned: &str) {
    assert_pinned(&reply, pinned);
    assert_eq!(reply.serialize_bin()[..2], number_of_reply(&reply).to_le_bytes());
}

#[test]
fn calls_and_replies_keep_their_numbers_before_them() {
    let number = CallNumber(0x0102_0304_0506_0708);
    assert_pinned(&number, "0807060504030201");
    assert_pinned(
        &CallEnvelope { number, call: Call::ShowPartition { partition: 7 } },
        "0807060504030201030007",
    );
    assert_pinned(&ReplyEnvelope { number, reply: Reply::Done }, "08070605040302010300");
}

#[test]
fn a_message_of_a_replica_keeps_its_bytes() {
    let envelope = QuorumEnvelope {
        partition: 3,
        from: 0x0102_0304_0506_0708,
        to: 0x1112_1314_1516_1718,
        message: vec![0xab, 0x00, 0xcd],
    };
    assert_pinned(&envelope, "03080706050403020118171615141312110300000000000000ab00cd");
    assert_pinned(
        &QuorumEnvelope { message: Vec::new(), ..envelope },
        "03080706050403020118171615141312110000000000000000",
    );
}

#[test]
fn the_items_of_a_partition_keep_their_bytes() {
    assert_pinned(
        &BatchLoad { partition: 3, running: 0x0102_0304, waiting: 0x0a0b_0c0d },
        "03040302010d0c0b0a",
    );
}

#[test]
fn the_partitions_that_a_node_leads_keep_their_bytes() {
    let led = LedPartitions {
        partitions: vec![
            LedPartition { partition: 0, term: 1 },
            LedPartition { partition: 12, term: 0x0102_0304_0506_0708 },
        ],
    };
    assert_pinned(&led, "02000000000000000001000000000000000c0807060504030201");
    assert_pinned(&LedPartitions::default(), "0000000000000000");
}

/// Returns the byte of each channel. A new channel needs its byte here and below.
fn byte_of_channel(channel: Channel) -> u8 {
    match channel {
        Channel::Registry => 1,
        Channel::Quorum => 2,
        Channel::Call => 3,
        Channel::Reply => 4,
        Channel::Popularity => 5,
        Channel::BatchLoad => 6,
    }
}

#[test]
fn the_channels_of_frames_keep_their_bytes() {
    let known = [
        Channel::Registry,
        Channel::Quorum,
        Channel::Call,
        Channel::Reply,
        Channel::Popularity,
        Channel::BatchLoad,
    ];
    for (byte, channel) in (1..).zip(known) {
        assert_eq!(channel as u8, byte);
        assert_eq!(byte_of_channel(channel), byte);
        assert_eq!(Channel::from_byte(byte), Some(channel));
    }
    // The other bytes are that of a `Hello` frame and those that no version has used.
    let unknown: Vec<u8> = (0..=255).filter(|byte| Channel::from_byte(*byte).is_none()).collect();
    assert_eq!(unknown, [0].into_iter().chain(7..=255).collect::<Vec<u8>>());
}

//! Bytes written by earlier versions that this one must read and write unchanged: the contributions that nodes send each other,
//! the snapshot on the disk, and the keys in both.

use grebeusher_prefix_popularity::{
    Contribution, Contributor, MAX_CONTRIBUTION_BYTES, MAX_SNAPSHOT_BYTES, PopularityEstimator, PrefixKey,
    PrefixRate, Settings,
};
use grebeusher_time::Instant;
use rstest::rstest;
use std::fmt::Write;

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

fn node(origin: u64) -> PopularityEstimator {
    let identity = Contributor { origin, incarnation: 0x0000_0190_1122_3344 };
    PopularityEstimator::new(Settings::default(), identity, Instant(0))
}

#[rstest]
#[case::of_nothing(
    Contribution { origin: 1, incarnation: 2, sequence: 3, rates: Vec::new() },
    "01000000000000000200000000000000030000000000000000000000"
)]
#[case::of_some_prefixes(
    Contribution {
        origin: 0x0102_0304_0506_0708,
        incarnation: 0x0000_0190_1122_3344,
        sequence: 0x0a0b_0c0d,
        rates: vec![
            PrefixRate::of(PrefixKey(0x0000_0011), 8.0),
            PrefixRate::of(PrefixKey(0x1122_3344), 20_000.0),
            PrefixRate::of(PrefixKey(0xffee_ddcc), 1e9),
        ],
    },
    "080706050403020144332211900100000d0c0b0a030000000000000011000000010044332211c409ccddeeffffff"
)]
fn a_register_keeps_its_bytes(#[case] contribution: Contribution, #[case] pinned: &str) {
    assert_eq!(hex(&contribution.encode()), pinned);
    assert_eq!(Contribution::decode(&bytes(pinned)), Ok(contribution));
}

#[test]
fn a_rate_is_read_as_it_was_meant() {
    let pinned =
        "080706050403020144332211900100000d0c0b0a030000000000000011000000010044332211c409ccddeeffffff";
    let read = Contribution::decode(&bytes(pinned)).expect("a register");
    let rates: Vec<_> = read.rates.iter().map(|rate| (rate.key, rate.tokens_per_s())).collect();
    assert_eq!(
        rates,
        [
            (PrefixKey(0x0000_0011), 8.0),
            (PrefixKey(0x1122_3344), 20_000.0),
            (PrefixKey(0xffee_ddcc), 524_280.0)
        ]
    );
}

#[test]
fn a_snapshot_keeps_its_bytes() {
    let pinned = "0300000000000000110000000a0044332211c409ccddeefff401";
    // Given a node that was told of some prefixes by another,
    let mut writer = node(1);
    writer.merge(
        Instant(0),
        Contribution {
            origin: 2,
            incarnation: 1,
            sequence: 1,
            rates: vec![
                PrefixRate::of(PrefixKey(0x0000_0011), 80.0),
                PrefixRate::of(PrefixKey(0x1122_3344), 20_000.0),
                PrefixRate::of(PrefixKey(0xffee_ddcc), 4_000.0),
            ],
        },
    );
    writer.tick(Instant(0));
    // then what it remembers is what earlier versions wrote,
    assert_eq!(hex(&writer.snapshot()), pinned);
    // and a later process reads it as the same rates and writes it as it was.
    let mut later = node(1);
    assert_eq!(later.restore(Instant(0), &bytes(pinned)), Ok(3));
    let rate = |key| later.tokens_per_s(PrefixKey(key));
    assert_eq!([rate(0x0000_0011), rate(0x1122_3344), rate(0xffee_ddcc)], [80.0, 20_000.0, 4_000.0]);
    assert_eq!(hex(&later.snapshot()), pinned);
}

#[test]
fn a_snapshot_of_nothing_keeps_its_bytes() {
    let pinned = "0000000000000000";
    assert_eq!(hex(&node(1).snapshot()), pinned);
    assert_eq!(node(1).restore(Instant(0), &bytes(pinned)), Ok(0));
}

#[rstest]
#[case::of_small_numbers(7, 42, 0x7023_5d01)]
#[case::of_full_numbers(0x0123_4567_89ab_cdef, 0xfedc_ba98_7654_3210, 0x60d5_0b76)]
#[case::of_nothing(0, 0, 0x0000_0000)]
fn all_versions_find_a_prefix_by_the_same_key(#[case] service: u64, #[case] prefix: u64, #[case] key: u32) {
    assert_eq!(PrefixKey::of(service, prefix), PrefixKey(key));
}

#[test]
fn the_largest_registers_and_snapshots_keep_their_sizes() {
    assert_eq!(MAX_CONTRIBUTION_BYTES, 124);
    assert_eq!(MAX_SNAPSHOT_BYTES, 1_544);
}

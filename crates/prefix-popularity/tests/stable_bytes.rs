//! Guards against changes of the encoding of contributions, snapshots and keys: bytes that earlier versions wrote have
//! to be decoded, and have to be written again unchanged.

use grebeusher_prefix_popularity::{
    Contribution, Contributor, EstimatorSettings, MAX_CONTRIBUTION_BYTES, MAX_SNAPSHOT_BYTES,
    PopularityEstimator, PrefixKey, PrefixRate,
};
use grebeusher_time::Instant;
use rstest::rstest;
use std::fmt::Write;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect()
}

fn estimator(origin: u64) -> PopularityEstimator {
    let own = Contributor { origin, incarnation: 0x0000_0190_1122_3344 };
    PopularityEstimator::new(EstimatorSettings::default(), own, Instant(0))
}

#[rstest]
#[case::without_prefixes(
    Contribution { origin: 1, incarnation: 2, sequence: 3, rates: Vec::new() },
    "01000000000000000200000000000000030000000000000000000000"
)]
#[case::with_prefixes(
    Contribution {
        origin: 0x0102_0304_0506_0708,
        incarnation: 0x0000_0190_1122_3344,
        sequence: 0x0a0b_0c0d,
        rates: vec![
            PrefixRate::new(PrefixKey(0x0000_0011), 8.0),
            PrefixRate::new(PrefixKey(0x1122_3344), 20_000.0),
            PrefixRate::new(PrefixKey(0xffee_ddcc), 1e9),
        ],
    },
    "080706050403020144332211900100000d0c0b0a030000000000000011000000010044332211c409ccddeeffffff"
)]
fn the_encoding_of_a_contribution_is_unchanged(#[case] contribution: Contribution, #[case] pinned: &str) {
    assert_eq!(hex(&contribution.encode()), pinned);
    assert_eq!(Contribution::decode(&bytes(pinned)), Ok(contribution));
}

#[test]
fn decoded_rates_have_their_values() {
    let pinned =
        "080706050403020144332211900100000d0c0b0a030000000000000011000000010044332211c409ccddeeffffff";
    let contribution = Contribution::decode(&bytes(pinned)).expect("the bytes are a contribution");
    let rates: Vec<_> = contribution.rates.iter().map(|rate| (rate.key, rate.tokens_per_s())).collect();
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
fn the_encoding_of_a_snapshot_is_unchanged() {
    let pinned = "0300000000000000110000000a0044332211c409ccddeefff401";
    // Given a node with a contribution of another node,
    let mut writer = estimator(1);
    writer.merge(
        Instant(0),
        Contribution {
            origin: 2,
            incarnation: 1,
            sequence: 1,
            rates: vec![
                PrefixRate::new(PrefixKey(0x0000_0011), 80.0),
                PrefixRate::new(PrefixKey(0x1122_3344), 20_000.0),
                PrefixRate::new(PrefixKey(0xffee_ddcc), 4_000.0),
            ],
        },
    );
    writer.tick(Instant(0));
    // then its snapshot has the bytes that earlier versions wrote,
    assert_eq!(hex(&writer.snapshot()), pinned);
    // and a later process restores the same rates and writes the same bytes.
    let mut later_process = estimator(1);
    assert_eq!(later_process.restore(Instant(0), &bytes(pinned)), Ok(3));
    let rate = |key| later_process.tokens_per_s(PrefixKey(key));
    assert_eq!([rate(0x0000_0011), rate(0x1122_3344), rate(0xffee_ddcc)], [80.0, 20_000.0, 4_000.0]);
    assert_eq!(hex(&later_process.snapshot()), pinned);
}

#[test]
fn the_encoding_of_an_empty_snapshot_is_unchanged() {
    let pinned = "0000000000000000";
    assert_eq!(hex(&estimator(1).snapshot()), pinned);
    assert_eq!(estimator(1).restore(Instant(0), &bytes(pinned)), Ok(0));
}

#[rstest]
#[case::small_hashes(7, 42, 0x7023_5d01)]
#[case::large_hashes(0x0123_4567_89ab_cdef, 0xfedc_ba98_7654_3210, 0x60d5_0b76)]
#[case::zero_hashes(0, 0, 0x0000_0000)]
fn the_key_of_a_prefix_is_unchanged(#[case] service_hash: u64, #[case] prefix_hash: u64, #[case] key: u32) {
    assert_eq!(PrefixKey::from_hashes(service_hash, prefix_hash), PrefixKey(key));
}

#[test]
fn the_greatest_lengths_of_encodings_are_unchanged() {
    assert_eq!(MAX_CONTRIBUTION_BYTES, 124);
    assert_eq!(MAX_SNAPSHOT_BYTES, 1_544);
}

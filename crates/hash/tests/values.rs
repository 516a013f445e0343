//! The hash values are on disks, on the wire and in the order of executors, so they must never change.

use grebeusher_hash::{fixed_hash, fixed_hash_bytes, mix64};

#[test]
fn names_have_the_published_values_of_fnv_1a() {
    assert_eq!(fixed_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fixed_hash("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(fixed_hash("foobar"), 0x8594_4171_f739_67e8);
    assert_eq!(fixed_hash_bytes(b"foobar"), fixed_hash("foobar"));
}

#[test]
fn mixing_is_the_finalizer_of_splitmix64() {
    // The first number of SplitMix64 with seed 0 is its mixed increment.
    assert_eq!(mix64(0x9e37_79b9_7f4a_7c15), 0xe220_a839_7b1d_cdaf);
    assert_eq!(mix64(0), 0);
}

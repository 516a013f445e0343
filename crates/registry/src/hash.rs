//! The one hash of registers, keys and places; the same on every machine and in every build.

use grebeusher_hash::{fixed_hash_bytes, mix64};

/// FNV-1a over the bytes, with its bits mixed at the end so that near keys land far apart.
pub(crate) fn of_bytes(bytes: &[u8]) -> u64 {
    mix(fixed_hash_bytes(bytes))
}

/// One hash of two.
pub(crate) fn of_pair(left: u64, right: u64) -> u64 {
    mix(left ^ mix(right))
}

/// A step of `SplitMix64`.
fn mix(value: u64) -> u64 {
    mix64(value.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

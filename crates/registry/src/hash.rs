//! The hash function of registers, keys and placement; its results are the same on every machine and in every build.

use grebeusher_hash::{fixed_hash_bytes, mix64};

/// Returns the FNV-1a hash of the bytes, with its bits mixed at the end so that similar keys get dissimilar hashes.
pub(crate) fn of_bytes(bytes: &[u8]) -> u64 {
    mix(fixed_hash_bytes(bytes))
}

/// Combines two hashes into one.
pub(crate) fn of_pair(left: u64, right: u64) -> u64 {
    mix(left ^ mix(right))
}

/// Applies one step of `SplitMix64`.
fn mix(value: u64) -> u64 {
    mix64(value.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

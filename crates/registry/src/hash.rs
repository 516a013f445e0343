//! The one hash of registers, keys and places; the same on every machine and in every build.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over the bytes, with its bits mixed at the end so that near keys land far apart.
pub(crate) fn of_bytes(bytes: &[u8]) -> u64 {
    mix(bytes.iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME)))
}

/// One hash of two.
pub(crate) fn of_pair(left: u64, right: u64) -> u64 {
    mix(left ^ mix(right))
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

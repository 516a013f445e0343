//! Hashes that give the same value in every process and on every start.

/// FNV-1a of a name. Not for keys that a stranger chooses to collide.
pub fn fixed_hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Spreads the bits of a value (the finisher of SplitMix64), so that values that differ little order at random.
pub fn mixed(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The rank of `member` for `key`: whoever sorts the same members by it, highest first, gets the same order, and
/// a member that comes or goes moves no other.
pub fn rendezvous(key: u64, member: u64) -> u64 {
    mixed(mixed(key) ^ member)
}

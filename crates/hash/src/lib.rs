//! Hashes that give the same value in every process, on every machine and in every build.

use fnv::FnvHasher;
use std::hash::Hasher;

/// FNV-1a of a name. Not for keys that a stranger chooses to collide.
pub fn fixed_hash(name: &str) -> u64 {
    fixed_hash_of(name.as_bytes())
}

/// FNV-1a of bytes. Not for keys that a stranger chooses to collide.
pub fn fixed_hash_of(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// Spreads the bits of a value (the finisher of `SplitMix64`), so that values that differ little order at random.
pub fn mixed(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

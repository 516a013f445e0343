//! Hashes that give the same value in every process, on every machine and in every build.

use fnv::FnvHasher;
use std::hash::Hasher;

/// The FNV-1a hash of a name. Unsuitable for keys of untrusted origin, which could be chosen to collide.
pub fn fixed_hash(name: &str) -> u64 {
    fixed_hash_bytes(name.as_bytes())
}

/// The FNV-1a hash of bytes. Unsuitable for keys of untrusted origin, which could be chosen to collide.
pub fn fixed_hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// Mixes the bits of a value by the finalizer of `SplitMix64`, so that the results for similar values are in random order.
pub fn mix64(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

//! The keys of prefixes, which are sent and stored.

use nanoserde::{DeBin, SerBin};

/// An odd multiplier that mixes the bits of both hashes: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A prefix of prompts of one service and model, the same on every node. Two that share a key by chance share their homes,
/// which costs repeated prefill and no more. So 32 bits are enough for some thousand prefixes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct PrefixKey(pub u32);

impl PrefixKey {
    /// The key of a prefix: of the hash of its service, and its own hash, which covers its model.
    pub fn of(service_hash: u64, prefix_hash: u64) -> PrefixKey {
        let mixed = (service_hash.rotate_left(32) ^ prefix_hash).wrapping_mul(MULTIPLIER);
        PrefixKey((mixed >> 32) as u32)
    }
}

//! The keys of prefixes, which are sent to other nodes and stored in snapshots.

use nanoserde::{DeBin, SerBin};

/// The odd multiplier that mixes the bits of both hashes: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The key of a prompt prefix of one service and model, which is the same on every node. Two prefixes with the same key
/// by chance have the same homes; the only cost is repeated prefill. 32 bits are therefore enough for some thousand
/// prefixes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct PrefixKey(pub u32);

impl PrefixKey {
    /// The key of a prefix, from the hash of its service's name and from its own hash, which includes the model.
    pub fn from_hashes(service_hash: u64, prefix_hash: u64) -> PrefixKey {
        let mixed = (service_hash.rotate_left(32) ^ prefix_hash).wrapping_mul(MULTIPLIER);
        PrefixKey((mixed >> 32) as u32)
    }
}

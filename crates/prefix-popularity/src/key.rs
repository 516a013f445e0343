//! What a prefix is found by.

use nanoserde::{DeBin, SerBin};

/// A prefix of prompts of one service and model, the same on every node. Two that share a key by chance share their homes,
/// which costs rereads and no more; so 32 bits are enough for some thousand prefixes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct PrefixKey(pub u32);

impl PrefixKey {
    /// The key of the prefix with this hash (which covers its model) at the service with that hash.
    pub fn of(service: u64, prefix: u64) -> PrefixKey {
        const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
        let mixed = (service.rotate_left(32) ^ prefix).wrapping_mul(ODD);
        PrefixKey((mixed >> 32) as u32)
    }
}

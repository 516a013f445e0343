//! Small indices that stand for the ids of the outside; the adapter maps them at the door.

/// A work unit. Indices are given out in order of arrival and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId(pub u64);

/// An executor. An id keeps its index when its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub usize);

/// One allocation of a work unit; they are numbered from 0 in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocationId {
    pub unit: UnitId,
    pub number: usize,
}

/// FNV-1a over the id: fixed, so that every node and every version forms the same lanes.
pub fn fixed_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Spreads the bits of a node's number and an id taken together, so that each node ranks the executors in its own
/// order.
pub fn mixed(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

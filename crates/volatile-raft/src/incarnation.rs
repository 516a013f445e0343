//! The identity of one start of a voter.

use serde::{Deserialize, Serialize};

/// One start of a voter, and its id in `raft`. The last byte holds the voter's index plus one, so that it is never zero,
/// which `raft` takes for "none"; the rest is random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Incarnation(pub(crate) u64);

impl Incarnation {
    pub(crate) fn new(voter: usize, random: u64) -> Incarnation {
        const VOTER_BITS: u32 = 8;
        Incarnation((random << VOTER_BITS) | (voter as u64 + 1))
    }

    /// The index of the voter; beyond all indexes if no voter has such an incarnation.
    pub(crate) fn voter(self) -> usize {
        usize::from(self.0 as u8).wrapping_sub(1)
    }
}

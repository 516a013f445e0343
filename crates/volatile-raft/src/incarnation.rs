//! Ids that tell the starts of a voter apart.

use serde::{Deserialize, Serialize};

/// The id of one start of a voter, which is also its node id in raft-rs. The lowest byte is the voter's index plus one,
/// so that the id is never zero, which raft-rs takes for "none"; the upper seven bytes are random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Incarnation(pub(crate) u64);

impl Incarnation {
    pub(crate) fn new(voter_index: usize, random: u64) -> Incarnation {
        const VOTER_BITS: u32 = 8;
        Incarnation((random << VOTER_BITS) | (voter_index as u64 + 1))
    }

    /// Returns the index of the voter that started as this incarnation. An id from a datagram may hold an index that no
    /// voter has; a lowest byte of zero gives `usize::MAX`.
    pub(crate) fn voter(self) -> usize {
        usize::from(self.0 as u8).wrapping_sub(1)
    }
}

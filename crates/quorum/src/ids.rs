//! Identifiers and numbers: replicas, terms, indexes, and the cluster.

use nanoserde::{DeBin, DeBinErr, SerBin};

/// The identity of a disk: random, made at its first start and synced before any message carries it. A wiped disk comes back under another one, so
/// that it can never vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ReplicaId(pub u64);

/// A period with at most one leader, by its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub fn next(self) -> Term {
        Term(self.0.saturating_add(1))
    }
}

/// A position in the log; the first entry has 1, and 0 stands for "before all entries".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Index(pub u64);

impl Index {
    /// The position after this one.
    pub fn next(self) -> Index {
        Index(self.0.saturating_add(1))
    }

    /// The position before this one; 0 stays 0.
    pub fn previous(self) -> Index {
        Index(self.0.saturating_sub(1))
    }

    /// This position and `count` further.
    pub fn plus(self, count: u64) -> Index {
        Index(self.0.saturating_add(count))
    }
}

/// A position together with the term of the entry there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Position {
    /// The term of the entry. First, so that positions compare as Raft compares logs.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// A fingerprint of the group that a partition was bootstrapped with. Replicas ignore messages of another cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ClusterId(pub u64);

/// Numbers above this are refused when they come from outside, so that arithmetic on them can't overflow.
const MAX_NUMBER: u64 = u64::MAX / 4;

impl Term {
    pub(crate) fn is_plausible(self) -> bool {
        self.0 <= MAX_NUMBER
    }
}

impl Index {
    pub(crate) fn is_plausible(self) -> bool {
        self.0 <= MAX_NUMBER
    }
}

/// The failure of a read beyond what a length allows.
pub(crate) fn truncated_input(offset: usize, wanted: usize, bytes: &[u8]) -> DeBinErr {
    DeBinErr::new(offset, wanted, bytes.len())
}

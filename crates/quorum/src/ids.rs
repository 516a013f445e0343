//! The identifiers of replicas and clusters, and the numbers of terms and log entries.

use nanoserde::{DeBin, DeBinErr, SerBin};

/// Identifies a replica by its disk. The number is random, created when the disk is first used, and synced before any
/// message carries it. A wiped disk gets another id, so that no id can vote twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ReplicaId(pub u64);

/// The number of a term: a period with at most one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub fn next(self) -> Term {
        Term(self.0.saturating_add(1))
    }
}

/// The index of an entry in the log; the first entry has index 1, and 0 means "before all entries".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    pub fn next(self) -> Index {
        Index(self.0.saturating_add(1))
    }

    /// The index before this one; 0 stays 0.
    pub fn previous(self) -> Index {
        Index(self.0.saturating_sub(1))
    }

    /// The index `count` places after this one.
    pub fn plus(self, count: u64) -> Index {
        Index(self.0.saturating_add(count))
    }
}

/// The position of an entry: its index and its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Position {
    /// The term of the entry. This field is the first one so that positions compare as Raft compares logs: by term,
    /// then by index.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// A hash of the group that a partition was bootstrapped with. Replicas ignore messages of another cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ClusterId(pub u64);

/// The largest term or index that is accepted in a message, so that arithmetic on it can't overflow.
const MAX_PLAUSIBLE: u64 = u64::MAX / 4;

impl Term {
    pub(crate) fn is_plausible(self) -> bool {
        self.0 <= MAX_PLAUSIBLE
    }
}

impl Index {
    pub(crate) fn is_plausible(self) -> bool {
        self.0 <= MAX_PLAUSIBLE
    }
}

/// Returns the error for `wanted` bytes at `offset` where `bytes` has fewer.
pub(crate) fn truncated_input(offset: usize, wanted: usize, bytes: &[u8]) -> DeBinErr {
    DeBinErr::new(offset, wanted, bytes.len())
}

//! Small indices that stand for the ids of the outside; the adapter maps them at the door.

pub use grebeusher_hash::{fixed_hash, mixed};

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

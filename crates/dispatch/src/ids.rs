//! Small indices that stand for the ids of the outside; the owner of a dispatcher maps them.

pub use grebeusher_hash::{fixed_hash, mixed};

/// A request. Indices are given out in order of arrival and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An executor. It keeps its index when its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub usize);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Attempts are numbered from 0 in the order in which they were sent.
    pub number: usize,
}

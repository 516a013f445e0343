//! Small indices that stand for external ids; the owner of a dispatcher maps one to the other.

pub use grebeusher_hash::{fixed_hash, mix64};

/// The index of a request. Indices are assigned in order of arrival and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The index of an executor, which stays the same when its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub usize);

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// The number of the attempt: from 0, in the order in which the request's attempts are sent.
    pub number: usize,
}

//! Statuses that promise that what was asked has not run and never will.

/// Whether an answer with this status is such a promise.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

//! Statuses that promise that a request has not been executed and never will be.

/// Whether an answer with this status promises that.
pub fn promises_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

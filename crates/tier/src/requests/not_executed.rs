//! The HTTP statuses that tell a client that its request was not executed and never will be.

/// Whether a response with this status promises that the request was not executed and never will be.
pub fn promises_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

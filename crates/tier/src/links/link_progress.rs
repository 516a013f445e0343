//! Detects outgoing links that make no progress.

use grebeusher_time::{Duration, Instant};

/// Tracks whether the bytes that are queued on a link are being sent.
#[derive(Clone, Copy, Debug)]
pub struct LinkProgress {
    /// The last time at which bytes were sent or none were queued.
    progress_at: Instant,
    /// The number of bytes sent on the link at the last flush.
    sent_bytes: u64,
}

impl LinkProgress {
    /// Begins to track a link that is dialled now.
    pub fn new(now: Instant) -> LinkProgress {
        LinkProgress { progress_at: now, sent_bytes: 0 }
    }

    /// Notes that bytes are queued on the link, on which `queued_bytes` were queued before.
    pub fn record_queued(&mut self, now: Instant, queued_bytes: usize) {
        if queued_bytes == 0 {
            self.progress_at = now;
        }
    }

    /// Notes that the link was flushed: `sent_bytes` have been sent since it was dialled, and `queued_bytes`
    /// are still queued. Progress is measured by the sent bytes and not by the queued ones: under load more
    /// bytes are queued in a turn of the event loop than are sent, although the link is not stalled.
    pub fn record_flushed(&mut self, now: Instant, sent_bytes: u64, queued_bytes: usize) {
        if sent_bytes > self.sent_bytes || queued_bytes == 0 {
            self.progress_at = now;
        }
        self.sent_bytes = sent_bytes;
    }

    /// Whether `queued_bytes` are queued on the link and none have been sent for longer than `timeout`.
    pub fn is_stalled(&self, now: Instant, queued_bytes: usize, timeout: Duration) -> bool {
        queued_bytes > 0 && now.since(self.progress_at) > timeout
    }
}

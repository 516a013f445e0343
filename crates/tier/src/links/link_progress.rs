//! Whether an outgoing link makes progress or is stuck.

use grebeusher_time::{Duration, Instant};

/// Whether bytes move on a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkProgress {
    /// When bytes last moved, or nothing waited.
    moved: Instant,
    /// Bytes that had been written then.
    sent: u64,
}

impl LinkProgress {
    /// Of a link that begins now.
    pub fn new(now: Instant) -> LinkProgress {
        LinkProgress { moved: now, sent: 0 }
    }

    /// Something is put on the link while `waiting` bytes wait.
    pub fn put(&mut self, now: Instant, waiting: usize) {
        if waiting == 0 {
            self.moved = now;
        }
    }

    /// The link was flushed: `sent` bytes since it was dialled, and `waiting` bytes wait still. Goes by what was written,
    /// not by what waits: under load more is put on a link than goes out in a turn, and it is not stuck for that.
    pub fn flushed(&mut self, now: Instant, sent: u64, waiting: usize) {
        if sent > self.sent || waiting == 0 {
            self.moved = now;
        }
        self.sent = sent;
    }

    /// Whether bytes wait that nobody has taken any of for longer than `within`.
    pub fn is_stuck(&self, now: Instant, waiting: usize, within: Duration) -> bool {
        waiting > 0 && now.since(self.moved) > within
    }
}

//! The transfer of a snapshot to a follower in chunks.
//!
//! Invariant: `received <= sent <= total`. The follower does not acknowledge each chunk by itself. It reports how many
//! bytes it has from the start up to the first gap, and when that stops growing, chunks are sent again from there.

use std::ops::Range;

use crate::entry::Snapshot;
use crate::ids::Index;

/// The most bytes of a snapshot in flight to one follower.
const MAX_INFLIGHT_BYTES: u64 = 2 * crate::MAX_CHUNK as u64;

/// The number of heartbeat intervals without a new chunk at the follower after which the chunks in flight are sent
/// again.
const STALLED_HEARTBEATS: u32 = 10;

/// A snapshot that is being sent.
#[derive(Clone, Debug, Hash)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// The bytes sent, counted from the start of the snapshot.
    sent: u64,
    /// The bytes that the follower has reported, counted from the start of the snapshot up to the first gap.
    received: u64,
    heartbeats_without_progress: u32,
    /// Whether the last chunk was sent.
    finished: bool,
}

impl SnapshotTransfer {
    pub(super) fn new(snapshot: Snapshot) -> SnapshotTransfer {
        SnapshotTransfer { snapshot, sent: 0, received: 0, heartbeats_without_progress: 0, finished: false }
    }

    /// The index of the last entry that the snapshot contains.
    pub(super) fn last_index(&self) -> Index {
        self.snapshot.last.index
    }

    /// Whether a chunk may be sent now.
    pub(super) fn can_send(&self) -> bool {
        !self.finished && self.sent - self.received < MAX_INFLIGHT_BYTES
    }

    pub(super) fn tick_heartbeat(&mut self) {
        self.heartbeats_without_progress += 1;
    }

    /// Continues after the bytes that the follower has reported, if chunks seem to be lost.
    pub(super) fn resume_if_stalled(&mut self) {
        if self.heartbeats_without_progress >= STALLED_HEARTBEATS {
            self.sent = self.received;
            self.finished = false;
            self.heartbeats_without_progress = 0;
        }
    }

    /// Records that the follower has reported the first `received` bytes of the snapshot.
    pub(super) fn record_received(&mut self, received: u64) {
        if received > self.total() {
            return;
        }
        if received > self.received {
            self.heartbeats_without_progress = 0;
        }
        // If this is less than before, the follower restarted and lost its chunks, or this is a delayed response. In
        // both cases the chunks from there on are sent again if no other response arrives.
        self.received = received;
        self.sent = self.sent.max(received);
    }

    /// Returns the byte range of the next chunk and records it as sent.
    pub(crate) fn next_chunk(&mut self) -> Range<usize> {
        let start = self.sent;
        let end = (start + crate::MAX_CHUNK as u64).min(self.total());
        self.sent = end;
        self.finished = end == self.total();
        start as usize..end as usize
    }

    /// The size of the snapshot, in bytes.
    fn total(&self) -> u64 {
        self.snapshot.bytes.len() as u64
    }
}

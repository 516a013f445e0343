//! A snapshot on its way to a follower, in chunks.
//!
//! Invariant: `received <= sent <= total`. Chunks are not acknowledged one by one: the follower reports how much it has
//! without gaps, and when that stalls, sending continues from there.

use std::ops::Range;

use crate::entry::Snapshot;
use crate::ids::Index;

/// The bytes of a snapshot in flight to one follower, at most.
const MAX_INFLIGHT_BYTES: u64 = 2 * crate::MAX_CHUNK as u64;

/// After so many heartbeats without a chunk arriving, the chunks in flight are taken for lost.
const STALLED_HEARTBEATS: u32 = 10;

/// A snapshot that is being sent.
#[derive(Clone, Debug, Hash)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    sent: u64,
    received: u64,
    heartbeats_without_progress: u32,
    /// The last chunk was sent.
    finished: bool,
}

impl SnapshotTransfer {
    pub(super) fn new(snapshot: Snapshot) -> SnapshotTransfer {
        SnapshotTransfer { snapshot, sent: 0, received: 0, heartbeats_without_progress: 0, finished: false }
    }

    /// The last entry that the snapshot contains.
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

    /// Continues from what is known to have arrived, if chunks were lost.
    pub(super) fn resume_if_stalled(&mut self) {
        if self.heartbeats_without_progress >= STALLED_HEARTBEATS {
            self.sent = self.received;
            self.finished = false;
            self.heartbeats_without_progress = 0;
        }
    }

    /// Records that the follower has so much of the snapshot.
    pub(super) fn record_received(&mut self, received: u64) {
        if received > self.total() {
            return;
        }
        if received > self.received {
            self.heartbeats_without_progress = 0;
        }
        // Less than before: the follower restarted and lost its chunks, or this is a delayed response. Either way the
        // chunks from there on are sent again if no other response comes.
        self.received = received;
        self.sent = self.sent.max(received);
    }

    /// The byte range of the next chunk, which counts as sent from now on.
    pub(crate) fn next_chunk(&mut self) -> Range<usize> {
        let start = self.sent;
        let end = (start + crate::MAX_CHUNK as u64).min(self.total());
        self.sent = end;
        self.finished = end == self.total();
        start as usize..end as usize
    }

    fn total(&self) -> u64 {
        self.snapshot.bytes.len() as u64
    }
}

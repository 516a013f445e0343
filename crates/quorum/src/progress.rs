//! What a leader knows of one follower or learner, and how much it may send it: the `Progress` of raft-rs.
//!
//! Invariant: `matched < next`. A follower starts in `Probe`, goes to `Replicate` when its log is known to agree, and to
//! `Snapshot` when it needs entries that the log no longer has.

use std::collections::VecDeque;

use grebeusher_time::Instant;

use crate::entry::Snapshot;
use crate::ids::Index;

/// Entries under way to one follower, in bytes, at most (one message beyond it may start).
const WINDOW_BYTES: usize = 192 * 1024;

/// Messages with entries under way to one follower, at most.
const WINDOW_MESSAGES: usize = 64;

/// A snapshot's bytes under way to one follower, at most.
const SNAPSHOT_WINDOW: u64 = 2 * crate::MAX_CHUNK as u64;

/// After so many heartbeats without a chunk arriving, the chunks in flight are taken for lost.
const STALLED_HEARTBEATS: u32 = 10;

/// How entries are sent to a follower.
#[derive(Clone, Debug, Hash)]
pub(crate) enum ProgressState {
    /// It is not known up to where its log agrees: one message at a time, and without entries while it does not respond.
    Probe { waiting: bool, silent: bool },
    /// Its log is known to agree: several messages at a time.
    Replicate { inflights: VecDeque<Inflight>, bytes: usize },
    /// It needs entries that only the snapshot still has.
    Snapshot(SnapshotTransfer),
}

/// A message with entries that has not been answered.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Inflight {
    last: Index,
    bytes: usize,
}

/// A snapshot that is being sent.
#[derive(Clone, Debug, Hash)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) sent: u64,
    received: u64,
    heartbeats_without_progress: u32,
    finished: bool,
}

impl SnapshotTransfer {
    /// Continues from what is known to have arrived.
    fn resume(&mut self) {
        self.sent = self.received;
        self.finished = false;
        self.heartbeats_without_progress = 0;
    }

    fn total(&self) -> u64 {
        self.snapshot.bytes.len() as u64
    }
}

/// One follower or learner.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Its log agrees with the leader's up to here, synced.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    pub(crate) state: ProgressState,
    /// When the newest message that it answered in this term was sent.
    pub(crate) last_response: Option<Instant>,
    /// A heartbeat is due, if nothing else is sent.
    pub(crate) heartbeat_due: bool,
}

impl Progress {
    /// A follower of which nothing is known, probed from the end of the log.
    pub(crate) fn unknown(last: Index) -> Progress {
        Progress {
            matched: Index(0),
            next: last.next(),
            state: ProgressState::Probe { waiting: false, silent: false },
            last_response: None,
            heartbeat_due: true,
        }
    }

    /// Records that a message sent at `sent` was answered. Chunks of a snapshot that were lost are sent anew now that the
    /// follower is reachable.
    pub(crate) fn record_response(&mut self, sent: Instant) {
        self.last_response = self.last_response.max(Some(sent));
        match &mut self.state {
            ProgressState::Snapshot(transfer)
                if transfer.heartbeats_without_progress >= STALLED_HEARTBEATS =>
            {
                transfer.resume()
            }
            _ => {}
        }
    }

    /// A heartbeat is due.
    pub(crate) fn tick_heartbeat(&mut self) {
        self.heartbeat_due = true;
        match &mut self.state {
            ProgressState::Probe { waiting, silent } => *silent |= *waiting,
            ProgressState::Replicate { .. } => {}
            ProgressState::Snapshot(transfer) => transfer.heartbeats_without_progress += 1,
        }
    }

    /// Whether entries, or a probe, may be sent now.
    pub(crate) fn can_send(&self) -> bool {
        match &self.state {
            ProgressState::Probe { waiting, silent } => !waiting && !silent,
            ProgressState::Replicate { inflights, bytes } => {
                *bytes < WINDOW_BYTES && inflights.len() < WINDOW_MESSAGES
            }
            ProgressState::Snapshot(transfer) => {
                !transfer.finished && transfer.sent - transfer.received < SNAPSHOT_WINDOW
            }
        }
    }

    /// Records that entries up to `last`, or an empty probe, were sent.
    pub(crate) fn record_sent(&mut self, last: Index, bytes: usize) {
        match &mut self.state {
            ProgressState::Probe { waiting, .. } => *waiting = true,
            ProgressState::Replicate { inflights, bytes: in_flight } => {
                inflights.push_back(Inflight { last, bytes });
                *in_flight += bytes;
                self.next = last.next();
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Its log agrees up to `index`. Returns whether that was not known before.
    pub(crate) fn record_match(&mut self, index: Index) -> bool {
        let advanced = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        let matched = self.matched;
        match &mut self.state {
            ProgressState::Probe { .. } => self.become_replicate(),
            ProgressState::Replicate { inflights, bytes } => {
                while inflights.front().is_some_and(|inflight| inflight.last <= matched) {
                    let Some(inflight) = inflights.pop_front() else { break };
                    *bytes -= inflight.bytes;
                }
            }
            ProgressState::Snapshot(transfer) if matched >= transfer.snapshot.last.index => {
                self.become_replicate()
            }
            ProgressState::Snapshot(_) => {}
        }
        advanced
    }

    fn become_replicate(&mut self) {
        self.next = self.matched.next();
        self.state = ProgressState::Replicate { inflights: VecDeque::new(), bytes: 0 };
    }

    /// An append after `rejected` did not fit; the logs may agree at `hint` at best. Responses to messages before the newest
    /// probe change nothing.
    pub(crate) fn record_rejection(&mut self, rejected: Index, hint: Index) {
        let concerns_probe = match &self.state {
            ProgressState::Probe { .. } => rejected == self.next.previous(),
            ProgressState::Replicate { .. } => rejected > self.matched && rejected < self.next,
            ProgressState::Snapshot(_) => false,
        };
        if concerns_probe {
            self.next = hint.min(rejected.previous()).next().max(self.matched.next());
            self.state = ProgressState::Probe { waiting: false, silent: false };
        }
    }

    /// Starts sending a snapshot.
    pub(crate) fn become_snapshot(&mut self, snapshot: Snapshot) {
        self.state = ProgressState::Snapshot(SnapshotTransfer {
            snapshot,
            sent: 0,
            received: 0,
            heartbeats_without_progress: 0,
            finished: false,
        });
    }

    /// The follower has this much of the snapshot that ends at `last`.
    pub(crate) fn record_snapshot_received(&mut self, last: Index, received: u64) {
        let ProgressState::Snapshot(transfer) = &mut self.state else { return };
        if transfer.snapshot.last.index != last || received > transfer.total() {
            return;
        }
        if received > transfer.received {
            transfer.heartbeats_without_progress = 0;
        }
        // Less than before: the follower restarted and lost its chunks, or this is a delayed response. Either way the chunks
        // from there on are sent again if no other response comes.
        transfer.received = received;
        transfer.sent = transfer.sent.max(received);
    }

    /// The last index of the snapshot that is being sent, if one is.
    pub(crate) fn pending_snapshot(&self) -> Option<Index> {
        match &self.state {
            ProgressState::Snapshot(transfer) => Some(transfer.snapshot.last.index),
            _ => None,
        }
    }

    /// Whether its log is known to agree, and no entries are in flight.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(&self.state, ProgressState::Replicate { inflights, .. } if inflights.is_empty())
    }

    /// Whether entries are sent to it as they are appended.
    pub(crate) fn is_replicating(&self) -> bool {
        matches!(self.state, ProgressState::Replicate { .. })
    }
}

impl SnapshotTransfer {
    /// The byte range of the next chunk, which counts as sent from now on.
    pub(crate) fn next_chunk(&mut self) -> std::ops::Range<usize> {
        let start = self.sent;
        let end = (start + crate::MAX_CHUNK as u64).min(self.total());
        self.sent = end;
        self.finished = end == self.total();
        start as usize..end as usize
    }
}

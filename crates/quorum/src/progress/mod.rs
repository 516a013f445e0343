//! A leader's record of one follower or learner: how much of the log it has and what may be sent to it. It corresponds
//! to `Progress` in raft-rs.
//!
//! Invariant: `matched < next`. A follower starts in `Probe`, enters `Replicate` when it is known up to where its log
//! agrees with the leader's, and enters `Snapshot` when it needs entries that the leader's log no longer has.

mod inflights;
mod snapshot_transfer;

use grebeusher_time::Instant;

use crate::entry::Snapshot;
use crate::ids::Index;
use inflights::Inflights;
pub(crate) use snapshot_transfer::SnapshotTransfer;

/// How entries are sent to a follower.
#[derive(Clone, Debug, Hash)]
pub(crate) enum ProgressState {
    /// It is not known up to where the follower's log agrees. One message is sent at a time, and only heartbeats, which
    /// have no entries, while the follower does not respond.
    Probe {
        /// A probe was sent and is not answered yet.
        probe_in_flight: bool,
        /// A probe was not answered within a heartbeat interval.
        unresponsive: bool,
    },
    /// It is known up to where the follower's log agrees. Several messages may be in flight.
    Replicate(Inflights),
    /// The follower is sent a snapshot in place of entries.
    Snapshot(SnapshotTransfer),
}

/// The progress of one follower or learner.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The highest index up to which the follower's log is known to agree with the leader's and to be synced.
    pub(crate) matched: Index,
    /// The index of the next entry to send.
    pub(crate) next: Index,
    pub(crate) state: ProgressState,
    /// When the leader sent the newest of the messages that the follower has answered in this term.
    pub(crate) last_response: Option<Instant>,
    /// Whether a heartbeat has to be sent, unless another message is.
    pub(crate) heartbeat_due: bool,
}

impl Progress {
    /// A follower of whose log nothing is known. It is probed from the end of the leader's log, whose last index is
    /// `last`.
    pub(crate) fn unknown(last: Index) -> Progress {
        Progress {
            matched: Index(0),
            next: last.next(),
            state: ProgressState::Probe { probe_in_flight: false, unresponsive: false },
            last_response: None,
            heartbeat_due: true,
        }
    }

    /// Records that a message sent at `sent` was answered. Chunks of a snapshot that were lost are sent again now,
    /// because the follower is reachable.
    pub(crate) fn record_response(&mut self, sent: Instant) {
        self.last_response = self.last_response.max(Some(sent));
        if let ProgressState::Snapshot(transfer) = &mut self.state {
            transfer.resume_if_stalled();
        }
    }

    /// Records that a heartbeat interval has passed.
    pub(crate) fn tick_heartbeat(&mut self) {
        self.heartbeat_due = true;
        match &mut self.state {
            ProgressState::Probe { probe_in_flight, unresponsive } => *unresponsive |= *probe_in_flight,
            ProgressState::Replicate(_) => {}
            ProgressState::Snapshot(transfer) => transfer.tick_heartbeat(),
        }
    }

    /// Whether entries, a probe or a chunk of a snapshot may be sent now.
    pub(crate) fn can_send(&self) -> bool {
        match &self.state {
            ProgressState::Probe { probe_in_flight, unresponsive } => !probe_in_flight && !unresponsive,
            ProgressState::Replicate(inflights) => !inflights.is_full(),
            ProgressState::Snapshot(transfer) => transfer.can_send(),
        }
    }

    /// Records that a message was sent with entries up to `last`, of `bytes` bytes, or with none.
    pub(crate) fn record_sent(&mut self, last: Index, bytes: usize) {
        match &mut self.state {
            ProgressState::Probe { probe_in_flight, .. } => *probe_in_flight = true,
            ProgressState::Replicate(inflights) => {
                inflights.push(last, bytes);
                self.next = last.next();
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Records that the follower's log agrees up to `index`. Returns whether that was not known before.
    pub(crate) fn record_match(&mut self, index: Index) -> bool {
        let advanced = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.state {
            ProgressState::Probe { .. } => self.become_replicate(),
            ProgressState::Replicate(inflights) => inflights.free_to(self.matched),
            ProgressState::Snapshot(transfer) if self.matched >= transfer.last_index() => {
                self.become_replicate();
            }
            ProgressState::Snapshot(_) => {}
        }
        advanced
    }

    fn become_replicate(&mut self) {
        self.next = self.matched.next();
        self.state = ProgressState::Replicate(Inflights::default());
    }

    /// Records that the follower rejected an append after index `rejected`, and that the logs agree at most up to
    /// `hint`. A response to a message before the newest probe has no effect.
    pub(crate) fn record_rejection(&mut self, rejected: Index, hint: Index) {
        let is_current = match &self.state {
            ProgressState::Probe { .. } => rejected == self.next.previous(),
            ProgressState::Replicate(_) => rejected > self.matched && rejected < self.next,
            ProgressState::Snapshot(_) => false,
        };
        if is_current {
            self.next = hint.min(rejected.previous()).next().max(self.matched.next());
            self.state = ProgressState::Probe { probe_in_flight: false, unresponsive: false };
        }
    }

    /// Starts sending a snapshot.
    pub(crate) fn become_snapshot(&mut self, snapshot: Snapshot) {
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(snapshot));
    }

    /// Records that the follower has received the first `received` bytes of the snapshot whose last index is `last`.
    pub(crate) fn record_snapshot_received(&mut self, last: Index, received: u64) {
        match &mut self.state {
            ProgressState::Snapshot(transfer) if transfer.last_index() == last => {
                transfer.record_received(received);
            }
            _ => {}
        }
    }

    /// The last index of the snapshot that is being sent, if any.
    pub(crate) fn pending_snapshot(&self) -> Option<Index> {
        match &self.state {
            ProgressState::Snapshot(transfer) => Some(transfer.last_index()),
            _ => None,
        }
    }

    /// Whether the follower is in `Replicate` and has no entries in flight.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(&self.state, ProgressState::Replicate(inflights) if inflights.is_empty())
    }

    /// Whether entries are sent to the follower as soon as they are appended.
    pub(crate) fn is_replicating(&self) -> bool {
        matches!(self.state, ProgressState::Replicate(_))
    }
}

//! What a leader knows of one follower or learner, and how much it may send it: the `Progress` of raft-rs.
//!
//! Invariant: `matched < next`. A follower starts in `Probe`, goes to `Replicate` when its log is known to agree, and to
//! `Snapshot` when it needs entries that the log no longer has.

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
    /// It is not known up to where its log agrees: one message at a time, and without entries while it does not respond.
    Probe { waiting: bool, silent: bool },
    /// Its log is known to agree: several messages at a time.
    Replicate(Inflights),
    /// It needs entries that only the snapshot still has.
    Snapshot(SnapshotTransfer),
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
        if let ProgressState::Snapshot(transfer) = &mut self.state {
            transfer.resume_if_stalled();
        }
    }

    /// A heartbeat is due.
    pub(crate) fn tick_heartbeat(&mut self) {
        self.heartbeat_due = true;
        match &mut self.state {
            ProgressState::Probe { waiting, silent } => *silent |= *waiting,
            ProgressState::Replicate(_) => {}
            ProgressState::Snapshot(transfer) => transfer.tick_heartbeat(),
        }
    }

    /// Whether entries, or a probe, may be sent now.
    pub(crate) fn can_send(&self) -> bool {
        match &self.state {
            ProgressState::Probe { waiting, silent } => !waiting && !silent,
            ProgressState::Replicate(inflights) => !inflights.is_full(),
            ProgressState::Snapshot(transfer) => transfer.can_send(),
        }
    }

    /// Records that entries up to `last`, or an empty probe, were sent.
    pub(crate) fn record_sent(&mut self, last: Index, bytes: usize) {
        match &mut self.state {
            ProgressState::Probe { waiting, .. } => *waiting = true,
            ProgressState::Replicate(inflights) => {
                inflights.push(last, bytes);
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

    /// An append after `rejected` did not fit; the logs may agree at `hint` at best. Responses to messages before the newest
    /// probe change nothing.
    pub(crate) fn record_rejection(&mut self, rejected: Index, hint: Index) {
        let concerns_probe = match &self.state {
            ProgressState::Probe { .. } => rejected == self.next.previous(),
            ProgressState::Replicate(_) => rejected > self.matched && rejected < self.next,
            ProgressState::Snapshot(_) => false,
        };
        if concerns_probe {
            self.next = hint.min(rejected.previous()).next().max(self.matched.next());
            self.state = ProgressState::Probe { waiting: false, silent: false };
        }
    }

    /// Starts sending a snapshot.
    pub(crate) fn become_snapshot(&mut self, snapshot: Snapshot) {
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(snapshot));
    }

    /// The follower has this much of the snapshot that ends at `last`.
    pub(crate) fn record_snapshot_received(&mut self, last: Index, received: u64) {
        match &mut self.state {
            ProgressState::Snapshot(transfer) if transfer.last_index() == last => {
                transfer.record_received(received);
            }
            _ => {}
        }
    }

    /// The last index of the snapshot that is being sent, if one is.
    pub(crate) fn pending_snapshot(&self) -> Option<Index> {
        match &self.state {
            ProgressState::Snapshot(transfer) => Some(transfer.last_index()),
            _ => None,
        }
    }

    /// Whether its log is known to agree, and no entries are in flight.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(&self.state, ProgressState::Replicate(inflights) if inflights.is_empty())
    }

    /// Whether entries are sent to it as they are appended.
    pub(crate) fn is_replicating(&self) -> bool {
        matches!(self.state, ProgressState::Replicate(_))
    }
}

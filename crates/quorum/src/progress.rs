//! What a leader knows of one follower or learner, and how much it may send it.

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

/// After so many heartbeats without a piece of the snapshot arriving, pieces are taken for lost.
const STALLED_BEATS: u32 = 10;

/// How entries go to a follower.
#[derive(Clone, Debug, Hash)]
pub(crate) enum Flow {
    /// Where its log ends is not known: one message at a time, and without entries while it is silent.
    Probe { waiting: bool, silent: bool },
    /// Its log is known to agree: several messages at a time.
    Pipeline { flights: VecDeque<Flight>, bytes: usize },
    /// It needs entries that only the snapshot still has.
    Snapshot(Transfer),
}

/// A message with entries that has not been answered.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Flight {
    last: Index,
    bytes: usize,
}

/// A snapshot under way.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) sent: u64,
    received: u64,
    beats_without_news: u32,
    finished: bool,
}

impl Transfer {
    /// Goes on from what is known to have arrived.
    fn resume(&mut self) {
        self.sent = self.received;
        self.finished = false;
        self.beats_without_news = 0;
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
    pub(crate) flow: Flow,
    /// When the newest message that it answered in this term was sent.
    pub(crate) answered: Option<Instant>,
    /// A heartbeat is due, if nothing else is sent.
    pub(crate) beat_due: bool,
}

impl Progress {
    /// A follower of which nothing is known, probed from the end of the log.
    pub(crate) fn unknown(last: Index) -> Progress {
        Progress {
            matched: Index(0),
            next: last.next(),
            flow: Flow::Probe { waiting: false, silent: false },
            answered: None,
            beat_due: true,
        }
    }

    /// Notes that a message sent at `sent` was answered. If pieces of a snapshot were lost, they are sent anew now that
    /// somebody is there to take them.
    pub(crate) fn note_answer(&mut self, sent: Instant) {
        self.answered = self.answered.max(Some(sent));
        match &mut self.flow {
            Flow::Snapshot(transfer) if transfer.beats_without_news >= STALLED_BEATS => transfer.resume(),
            _ => {}
        }
    }

    /// A heartbeat is due.
    pub(crate) fn beat(&mut self) {
        self.beat_due = true;
        match &mut self.flow {
            Flow::Probe { waiting, silent } => *silent |= *waiting,
            Flow::Pipeline { .. } => {}
            Flow::Snapshot(transfer) => transfer.beats_without_news += 1,
        }
    }

    /// Whether entries, or a probe, may be sent now.
    pub(crate) fn has_room(&self) -> bool {
        match &self.flow {
            Flow::Probe { waiting, silent } => !waiting && !silent,
            Flow::Pipeline { flights, bytes } => *bytes < WINDOW_BYTES && flights.len() < WINDOW_MESSAGES,
            Flow::Snapshot(transfer) => {
                !transfer.finished && transfer.sent - transfer.received < SNAPSHOT_WINDOW
            }
        }
    }

    /// Notes that entries up to `last` were sent, or an empty probe.
    pub(crate) fn note_sent(&mut self, last: Index, bytes: usize) {
        match &mut self.flow {
            Flow::Probe { waiting, .. } => *waiting = true,
            Flow::Pipeline { flights, bytes: under_way } => {
                flights.push_back(Flight { last, bytes });
                *under_way += bytes;
                self.next = last.next();
            }
            Flow::Snapshot(_) => {}
        }
    }

    /// Its log agrees up to `index`. Tells whether that is news.
    pub(crate) fn note_matched(&mut self, index: Index) -> bool {
        let news = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        let matched = self.matched;
        match &mut self.flow {
            Flow::Probe { .. } => self.start_pipeline(),
            Flow::Pipeline { flights, bytes } => {
                while flights.front().is_some_and(|flight| flight.last <= matched) {
                    let Some(flight) = flights.pop_front() else { break };
                    *bytes -= flight.bytes;
                }
            }
            Flow::Snapshot(transfer) if matched >= transfer.snapshot.last.index => self.start_pipeline(),
            Flow::Snapshot(_) => {}
        }
        news
    }

    fn start_pipeline(&mut self) {
        self.next = self.matched.next();
        self.flow = Flow::Pipeline { flights: VecDeque::new(), bytes: 0 };
    }

    /// An append after `refused` did not fit; the logs may agree at `hint` at best. Replies to older messages than the
    /// newest probe change nothing.
    pub(crate) fn note_conflict(&mut self, refused: Index, hint: Index) {
        let concerns_probe = match &self.flow {
            Flow::Probe { .. } => refused == self.next.previous(),
            Flow::Pipeline { .. } => refused > self.matched && refused < self.next,
            Flow::Snapshot(_) => false,
        };
        if concerns_probe {
            self.next = hint.min(refused.previous()).next().max(self.matched.next());
            self.flow = Flow::Probe { waiting: false, silent: false };
        }
    }

    /// Starts sending a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.flow = Flow::Snapshot(Transfer {
            snapshot,
            sent: 0,
            received: 0,
            beats_without_news: 0,
            finished: false,
        });
    }

    /// The follower has this much of the snapshot that ends at `last`.
    pub(crate) fn note_received(&mut self, last: Index, received: u64) {
        let Flow::Snapshot(transfer) = &mut self.flow else { return };
        if transfer.snapshot.last.index != last || received > transfer.total() {
            return;
        }
        if received > transfer.received {
            transfer.beats_without_news = 0;
        }
        // Less than before: it started anew and has lost what it had, or this is an old reply. Either way the pieces
        // from there on go again once nothing else is heard.
        transfer.received = received;
        transfer.sent = transfer.sent.max(received);
    }

    /// The log up to which a snapshot is under way, if one is.
    pub(crate) fn snapshot_under_way(&self) -> Option<Index> {
        match &self.flow {
            Flow::Snapshot(transfer) => Some(transfer.snapshot.last.index),
            _ => None,
        }
    }

    /// Whether its log is known to agree, and nothing is under way to it.
    pub(crate) fn is_at_rest(&self) -> bool {
        matches!(&self.flow, Flow::Pipeline { flights, .. } if flights.is_empty())
    }

    /// Whether entries go to it as they come.
    pub(crate) fn is_pipelined(&self) -> bool {
        matches!(self.flow, Flow::Pipeline { .. })
    }
}

impl Transfer {
    /// The bounds of the next piece; notes it as sent.
    pub(crate) fn next_piece(&mut self) -> std::ops::Range<usize> {
        let start = self.sent;
        let end = (start + crate::MAX_CHUNK as u64).min(self.total());
        self.sent = end;
        self.finished = end == self.total();
        start as usize..end as usize
    }
}

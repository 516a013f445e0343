//! The scheduling state of one open item.

use grebeusher_time::Instant;

use super::RunId;
use super::routes::RouteIndex;
use super::waiting_items::WaitingItem;
use crate::jobs::{EventChunk, OpenItem};
use crate::names::ItemIndex;

/// The maximum size of the text of an item, in bytes. A result of this size still fits a result page when every byte is
/// escaped as two bytes.
pub const MAX_TEXT_BYTES: usize = 480_000;
/// The number of consecutive runs that don't continue after the last event, from which the item runs again from its
/// first event.
const MAX_CONSECUTIVE_OUT_OF_ORDER: u32 = 2;
/// When the buffer of a text is full, its capacity grows by the length of the text divided by this number, or by the
/// length of the event if that is more. Doubling the capacity would leave up to half of each buffer unused, and there is
/// one buffer for each running item.
const TEXT_GROWTH_DIVISOR: usize = 8;

/// The phase of an open item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The item may run now.
    Ready,
    /// The item may run again from this time on.
    BackingOff(Instant),
    /// The item is running.
    Running(RunId),
    /// The item has a result, whose entry is not applied yet.
    Finished,
}

/// The part of the text that is committed, or was returned in a checkpoint that is to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Committed {
    /// The text is committed up to and including the event `last_event`, which ends at the offset `bytes`.
    UpTo { last_event: Option<u64>, bytes: usize },
    /// The committed text stems from an earlier run, whose text was discarded here. Nothing may be appended to it.
    OtherRun,
}

/// The progress of an item since its last checkpoint.
pub(super) struct ItemCheckpoint {
    pub failed_attempts: u32,
    pub events: EventChunk,
}

#[derive(Debug)]
pub(super) struct ItemRun {
    pub phase: Phase,
    /// The route that the request of the item matches. Without a route the item must not run.
    pub route: Option<RouteIndex>,
    /// The number of prompt and output tokens of the item.
    pub tokens: u64,
    /// The start time of the latest run.
    pub started_at: Instant,
    /// The number of 500 responses to the item.
    failed_attempts: u32,
    /// The number of runs that ended since the last event.
    attempts_since_event: u32,
    /// The number of consecutive runs that didn't continue after the last event.
    consecutive_out_of_order: u32,
    /// The id of the last event in `text`.
    last_event: Option<u64>,
    /// The data of the events so far, joined by line feeds.
    text: String,
    /// The part of `text` that is committed.
    committed: Committed,
}

impl ItemRun {
    pub fn new(open: &OpenItem) -> ItemRun {
        let progress = &open.progress;
        ItemRun {
            phase: Phase::Ready,
            route: None,
            tokens: open.spec.token_count,
            started_at: Instant::default(),
            failed_attempts: progress.failed_attempts,
            attempts_since_event: 0,
            consecutive_out_of_order: 0,
            last_event: progress.last_event,
            text: progress.text.clone(),
            committed: Committed::UpTo { last_event: progress.last_event, bytes: progress.text.len() },
        }
    }

    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether the item may run, now or after a backoff.
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::BackingOff(_))
    }

    /// The item's entry in the queues of waiting items. `None` if it is not waiting or matches no route.
    pub fn waiting_item(&self, index: ItemIndex) -> Option<WaitingItem> {
        let route = self.route?;
        self.is_waiting().then_some(WaitingItem { route, tokens: self.tokens, index })
    }

    /// Appends an event if it is the next one and the text stays within [`MAX_TEXT_BYTES`]. Returns whether it was
    /// appended. The first event of a run from the start may have any id.
    pub fn append_event(&mut self, id: u64, data: &str) -> bool {
        let is_next = self.last_event.is_none_or(|last| last.checked_add(1) == Some(id));
        if !is_next || self.text.len() + data.len() >= MAX_TEXT_BYTES {
            return false;
        }
        let added_bytes = data.len() + usize::from(self.last_event.is_some());
        if self.text.capacity() - self.text.len() < added_bytes {
            self.text.reserve_exact(added_bytes.max(self.text.len() / TEXT_GROWTH_DIVISOR));
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = Some(id);
        self.attempts_since_event = 0;
        self.consecutive_out_of_order = 0;
        true
    }

    /// Counts a run that didn't continue after the last event, and discards the text after too many of them.
    pub fn count_out_of_order(&mut self) {
        self.consecutive_out_of_order += 1;
        if self.consecutive_out_of_order >= MAX_CONSECUTIVE_OUT_OF_ORDER {
            self.consecutive_out_of_order = 0;
            self.last_event = None;
            self.text = String::new();
            self.committed = Committed::OtherRun;
        }
    }

    /// Counts a run that ended. Returns the number of earlier runs that ended since the last event.
    pub fn count_attempt(&mut self) -> u32 {
        let earlier_attempts = self.attempts_since_event;
        self.attempts_since_event = earlier_attempts.saturating_add(1);
        earlier_attempts
    }

    /// Counts a 500 response. Returns the number of all 500 responses to the item.
    pub fn count_failure(&mut self) -> u32 {
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.failed_attempts
    }

    /// The number of 500 responses to the item. `None` if the item is finished.
    pub fn unfinished_failures(&self) -> Option<u32> {
        (self.phase != Phase::Finished).then_some(self.failed_attempts)
    }

    /// Finishes the item and returns its complete text.
    pub fn finish(&mut self) -> String {
        self.phase = Phase::Finished;
        std::mem::take(&mut self.text)
    }

    /// Returns the progress since the last checkpoint. `None` if there is no new event, if the item is finished, or if
    /// the committed text stems from an earlier run.
    pub fn checkpoint(&mut self) -> Option<ItemCheckpoint> {
        let Committed::UpTo { last_event: after, bytes } = self.committed else { return None };
        let is_unfinished = self.phase != Phase::Finished;
        let last = self.last_event.filter(|_| is_unfinished && self.last_event != after)?;
        let start = if after.is_some() { bytes + 1 } else { 0 };
        let text = self.text.get(start..)?.to_owned();
        self.committed = Committed::UpTo { last_event: Some(last), bytes: self.text.len() };
        Some(ItemCheckpoint {
            failed_attempts: self.failed_attempts,
            events: EventChunk { after, last, text },
        })
    }

    /// Reports that the log refused the events of the last checkpoint, so that the next checkpoint includes them again.
    /// Otherwise the events of the next checkpoint would follow ones that are not committed, and the next leader would
    /// resume from before both.
    pub fn checkpoint_refused(&mut self, events: &EventChunk) {
        let Committed::UpTo { last_event, bytes } = self.committed else { return };
        if last_event == Some(events.last) {
            let separator = usize::from(events.after.is_some());
            let bytes = bytes.saturating_sub(events.text.len() + separator);
            self.committed = Committed::UpTo { last_event: events.after, bytes };
        }
    }
}

//! One item that is not listed, as its leader runs it.

use grebeusher_time::Instant;

use super::RunId;
use super::routes::RouteIndex;
use super::waiting_items::WaitingItem;
use crate::jobs::{EventChunk, OpenItem};
use crate::names::ItemIndex;

/// The largest text of an item, so that a result fits a reader's response with every byte escaped as a pair.
pub const MAX_TEXT_BYTES: usize = 480_000;
/// Consecutive runs that don't follow the last event, after which the item runs again from its first event.
const MAX_OUT_OF_ORDER: u32 = 2;
/// A text that is full grows by one part in so many, or by the event if that is more. Doubling would leave half of many
/// texts empty, and there are as many as items that run.
const TEXT_GROWTH_DIVISOR: usize = 8;

/// What an item waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// May run now.
    Ready,
    /// May run again from then on.
    BackingOff(Instant),
    Running(RunId),
    /// Its result is known and waits for its entry to be applied.
    Finished,
}

/// How much of the text is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Committed {
    /// Up to this event, which ends at this byte.
    UpTo { last_event: Option<u64>, bytes: usize },
    /// The committed text is of another run than the text here, and nothing may be appended to it.
    OtherRun,
}

/// What has come of an item since its last checkpoint.
pub(super) struct ItemCheckpoint {
    pub failed_attempts: u32,
    pub events: EventChunk,
}

#[derive(Debug)]
pub(super) struct ItemRun {
    pub phase: Phase,
    /// The route that its request matches. Without one it may not run.
    pub route: Option<RouteIndex>,
    pub tokens: u64,
    /// When its last run started.
    pub started_at: Instant,
    failed_attempts: u32,
    /// Runs that ended since the last event.
    attempts: u32,
    /// Consecutive runs that didn't follow the last event.
    out_of_order: u32,
    last_event: Option<u64>,
    text: String,
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
            attempts: 0,
            out_of_order: 0,
            last_event: progress.last_event,
            text: progress.text.clone(),
            committed: Committed::UpTo { last_event: progress.last_event, bytes: progress.text.len() },
        }
    }

    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether the item may run, now or after a backoff.
    pub fn waits(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::BackingOff(_))
    }

    /// The item as it waits for capacity, if it does and matches a route.
    pub fn waiting(&self, index: ItemIndex) -> Option<WaitingItem> {
        let route = self.route?;
        self.waits().then_some(WaitingItem { route, tokens: self.tokens, index })
    }

    /// Appends the event if it is the next one. The first event of a run from the start may have any id.
    pub fn append_event(&mut self, id: u64, data: &str) -> bool {
        let is_next = self.last_event.is_none_or(|last| last.checked_add(1) == Some(id));
        if !is_next || self.text.len() + data.len() >= MAX_TEXT_BYTES {
            return false;
        }
        let needed = data.len() + usize::from(self.last_event.is_some());
        if self.text.capacity() - self.text.len() < needed {
            self.text.reserve_exact(needed.max(self.text.len() / TEXT_GROWTH_DIVISOR));
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = Some(id);
        self.attempts = 0;
        self.out_of_order = 0;
        true
    }

    /// A run didn't follow the last event.
    pub fn count_out_of_order(&mut self) {
        self.out_of_order += 1;
        if self.out_of_order >= MAX_OUT_OF_ORDER {
            self.out_of_order = 0;
            self.last_event = None;
            self.text = String::new();
            self.committed = Committed::OtherRun;
        }
    }

    /// Counts a run that ended. Returns how many had before, since the last event.
    pub fn count_attempt(&mut self) -> u32 {
        let before = self.attempts;
        self.attempts = before.saturating_add(1);
        before
    }

    /// Counts a response of 500. Returns all of them.
    pub fn count_failure(&mut self) -> u32 {
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.failed_attempts
    }

    /// The responses of 500, unless the item is finished.
    pub fn unfinished_failures(&self) -> Option<u32> {
        (self.phase != Phase::Finished).then_some(self.failed_attempts)
    }

    /// Finishes the item. Returns its complete text.
    pub fn finish(&mut self) -> String {
        self.phase = Phase::Finished;
        std::mem::take(&mut self.text)
    }

    /// What has come since the last checkpoint.
    pub fn checkpoint(&mut self) -> Option<ItemCheckpoint> {
        let Committed::UpTo { last_event: after, bytes } = self.committed else { return None };
        let is_unfinished = self.phase != Phase::Finished;
        let last = self.last_event.filter(|_| is_unfinished && self.last_event != after)?;
        let from = if after.is_some() { bytes + 1 } else { 0 };
        let text = self.text.get(from..)?.to_owned();
        self.committed = Committed::UpTo { last_event: Some(last), bytes: self.text.len() };
        Some(ItemCheckpoint {
            failed_attempts: self.failed_attempts,
            events: EventChunk { after, last, text },
        })
    }

    /// The events of the last checkpoint were not proposed: the next one has them again. Otherwise its events would follow
    /// some that are not committed, and the next leader would resume from before both.
    pub fn checkpoint_refused(&mut self, events: &EventChunk) {
        let Committed::UpTo { last_event, bytes } = self.committed else { return };
        if last_event == Some(events.last) {
            let separator = usize::from(events.after.is_some());
            let bytes = bytes.saturating_sub(events.text.len() + separator);
            self.committed = Committed::UpTo { last_event: events.after, bytes };
        }
    }
}

//! One item that is not listed, as its leader runs it.

use grebeusher_time::Instant;

use super::RunId;
use crate::jobs::{EventsPiece, OpenItem};

/// The largest text of an item, so that a result fits an answer to a reader with every byte escaped as a pair.
pub const MAX_TEXT_BYTES: usize = 480_000;
/// Runs in a row that don't follow on the last event, after which the item begins anew from the first.
const MAX_MISFITS: u32 = 2;
/// A text that is full grows by one Part in so many, or by the event if that is more. Doubling would leave a half of many
/// texts empty, and there are as many as items that run.
const GROWTH_SHARE: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// May run now.
    Ready,
    /// May run again from then on.
    Pausing(Instant),
    Running(RunId),
    /// Its result is known and waits for its entry to be applied.
    Decided,
}

/// How much of the text is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Committed {
    /// Up to this event, which ends at this byte.
    UpTo { last_event: Option<u64>, bytes: usize },
    /// The committed text is of another run than the text here, and nothing may be added to it.
    OtherRun,
}

#[derive(Debug)]
pub(super) struct ItemRun {
    pub phase: Phase,
    pub tokens: u64,
    pub started: Instant,
    failed_attempts: u32,
    /// Runs that ended since the last event.
    tries: u32,
    misfits: u32,
    last_event: Option<u64>,
    text: String,
    committed: Committed,
}

impl ItemRun {
    pub fn new(open: &OpenItem) -> ItemRun {
        let progress = &open.progress;
        ItemRun {
            phase: Phase::Ready,
            tokens: open.spec.token_count,
            started: Instant::default(),
            failed_attempts: progress.failed_attempts,
            tries: 0,
            misfits: 0,
            last_event: progress.last_event,
            text: progress.text.clone(),
            committed: Committed::UpTo { last_event: progress.last_event, bytes: progress.text.len() },
        }
    }

    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Adds the event if it is the next one. The first event of a run from the start may have any id.
    pub fn take_event(&mut self, id: u64, data: &str) -> bool {
        let is_next = self.last_event.is_none_or(|last| last.checked_add(1) == Some(id));
        if !is_next || self.text.len() + data.len() >= MAX_TEXT_BYTES {
            return false;
        }
        let needed = data.len() + usize::from(self.last_event.is_some());
        if self.text.capacity() - self.text.len() < needed {
            self.text.reserve_exact(needed.max(self.text.len() / GROWTH_SHARE));
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = Some(id);
        self.tries = 0;
        self.misfits = 0;
        true
    }

    /// A run didn't follow on the last event.
    pub fn misfit(&mut self) {
        self.misfits += 1;
        if self.misfits >= MAX_MISFITS {
            self.misfits = 0;
            self.last_event = None;
            self.text = String::new();
            self.committed = Committed::OtherRun;
        }
    }

    /// Counts a run that ended; how many had before, since the last event.
    pub fn count_try(&mut self) -> u32 {
        let before = self.tries;
        self.tries = before.saturating_add(1);
        before
    }

    /// Counts an answer of 500; all of them.
    pub fn count_failure(&mut self) -> u32 {
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.failed_attempts
    }

    /// The answers of 500, unless the result is known.
    pub fn undecided_failures(&self) -> Option<u32> {
        (self.phase != Phase::Decided).then_some(self.failed_attempts)
    }

    /// The whole text; the item is decided.
    pub fn take_text(&mut self) -> String {
        self.phase = Phase::Decided;
        std::mem::take(&mut self.text)
    }

    /// What has come since the last checkpoint, with the count of failures.
    pub fn checkpoint(&mut self) -> Option<(u32, EventsPiece)> {
        let Committed::UpTo { last_event: after, bytes } = self.committed else { return None };
        let last = self.last_event.filter(|_| self.phase != Phase::Decided && self.last_event != after)?;
        let from = if after.is_some() { bytes + 1 } else { 0 };
        let text = self.text.get(from..)?.to_owned();
        self.committed = Committed::UpTo { last_event: Some(last), bytes: self.text.len() };
        Some((self.failed_attempts, EventsPiece { after, last, text }))
    }
}

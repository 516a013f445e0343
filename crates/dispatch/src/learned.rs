//! What a node knows of work and of the kinds of executors: what it has seen itself, and what other nodes send
//! to one that has seen little.

use grebeusher_sizing::{Sample, SampleEntry};
use std::collections::BTreeMap;

/// The sizes that are kept (design page).
const MAX_SAMPLES: usize = 1000;

/// What is known of one kind of executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedKind {
    /// Summed size of the requests that were answered, in seconds of a standard core.
    pub done: f64,
    /// The seconds that they occupied slots.
    pub ran: f64,
    /// The most slots that one of it was seen to have.
    pub slots: f64,
}

impl LearnedKind {
    /// The sum of two observations of a kind.
    pub fn and(self, more: LearnedKind) -> LearnedKind {
        let LearnedKind { done, ran, slots } = more;
        LearnedKind { done: self.done + done, ran: self.ran + ran, slots: self.slots.max(slots) }
    }
}

/// What one node has seen itself, as it sends it to another. What it received it does not pass on, or it would count twice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Sizes of recent work, and how long each runs on standard cores, in seconds; the newest first.
    pub sizes: Vec<(f64, f64)>,
    /// By the index of the kind.
    pub kinds: BTreeMap<usize, LearnedKind>,
}

/// What is kept of recent work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeSample {
    pub size: f64,
    /// How long it runs on standard cores, in seconds.
    run: f64,
}

impl SampleEntry for SizeSample {
    fn size(&self) -> f64 {
        self.size
    }

    fn work(&self) -> f64 {
        self.size
    }
}

pub(crate) struct Knowledge {
    /// Recent sized work. What was received from other nodes comes before what was seen here.
    recent: Sample<SizeSample>,
    received: usize,
    received_kinds: BTreeMap<usize, LearnedKind>,
    pub median: f64,
    pub mean: f64,
    pub mean_run: f64,
}

impl Default for Knowledge {
    fn default() -> Knowledge {
        let (recent, received_kinds) = (Sample::with_limit(MAX_SAMPLES), BTreeMap::new());
        Knowledge { recent, received: 0, received_kinds, median: 1.0, mean: 1.0, mean_run: 1.0 }
    }
}

impl Knowledge {
    /// How many sizes are known.
    pub fn count(&self) -> usize {
        self.recent.len()
    }

    pub fn record(&mut self, size: f64, run: f64) {
        let full = self.recent.is_full();
        if self.recent.add(SizeSample { size, run }) {
            self.received = self.received.saturating_sub(usize::from(full));
        }
    }

    /// Works out median and means anew; the sizes, smallest first.
    pub fn recompute(&mut self) -> Vec<SizeSample> {
        let sorted = self.recent.sorted();
        if let Some(median) = self.recent.median() {
            let count = sorted.len() as f64;
            (self.median, self.mean) = (median, sorted.iter().map(|entry| entry.size).sum::<f64>() / count);
            self.mean_run = self.recent.entries().map(|entry| entry.run).sum::<f64>() / count;
        }
        sorted
    }

    /// What other nodes sent of a kind.
    pub fn received_of(&self, kind: usize) -> LearnedKind {
        self.received_kinds.get(&kind).copied().unwrap_or_default()
    }

    /// The newest of the sizes that were seen here.
    pub fn own(&self) -> Vec<(f64, f64)> {
        const MAX_SENT_SIZES: usize = 120; // with the rest they fit a datagram of 1,200 bytes
        let own = self.recent.entries().skip(self.received).rev();
        own.take(MAX_SENT_SIZES).map(|entry| (entry.size, entry.run)).collect()
    }

    /// Adds what another node has seen; values that make no sense are passed over.
    pub fn merge(&mut self, learned: &LearnedState) {
        const MAX_RECEIVED_SECONDS: f64 = 30.0; // counts for no more than what a node sees run in its first minute or so
        let sound = |value: f64| value > 0.0 && value.is_finite();
        for &(size, run) in learned.sizes.iter().filter(|(size, run)| sound(*size) && sound(*run)) {
            self.received += usize::from(self.recent.add_older(SizeSample { size, run }));
        }
        let sound_kind =
            |received: &LearnedKind| sound(received.done) && sound(received.ran) && sound(received.slots);
        for (kind, received) in learned.kinds.iter().filter(|(_, received)| sound_kind(received)) {
            let share = (MAX_RECEIVED_SECONDS / received.ran).min(1.0);
            let received =
                LearnedKind { done: received.done * share, ran: received.ran * share, ..*received };
            let known = self.received_kinds.entry(*kind).or_default();
            *known = known.and(received);
        }
    }
}

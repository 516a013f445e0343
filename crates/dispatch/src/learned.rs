//! What a node knows of work and of the kinds of executors: what it has seen itself, and what others tell one that has
//! seen little.

use grebeusher_sizing::{Sample, SampleEntry};
use std::collections::BTreeMap;

/// The sizes that are kept (design page).
const SAMPLE: usize = 1000;

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
    /// With as much more.
    pub fn and(self, more: LearnedKind) -> LearnedKind {
        let LearnedKind { done, ran, slots } = more;
        LearnedKind { done: self.done + done, ran: self.ran + ran, slots: self.slots.max(slots) }
    }
}

/// What one node has seen itself, as it tells another: what it was told it does not tell on, or it would count twice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Sizes of recent work, and how long each runs on standard cores, in seconds; the newest first.
    pub sizes: Vec<(f64, f64)>,
    /// By the place of the kind, as the list is told to the decisions.
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
    /// Recent sized work. What was told comes before what was seen.
    recent: Sample<SizeSample>,
    told: usize,
    told_kinds: BTreeMap<usize, LearnedKind>,
    pub median: f64,
    pub mean: f64,
    pub mean_run: f64,
}

impl Default for Knowledge {
    fn default() -> Knowledge {
        let (recent, told_kinds) = (Sample::with_limit(SAMPLE), BTreeMap::new());
        Knowledge { recent, told: 0, told_kinds, median: 1.0, mean: 1.0, mean_run: 1.0 }
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
            self.told = self.told.saturating_sub(usize::from(full));
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

    /// What was told of a kind.
    pub fn told_of(&self, kind: usize) -> LearnedKind {
        self.told_kinds.get(&kind).copied().unwrap_or_default()
    }

    /// The newest of the sizes that were seen here.
    pub fn own(&self) -> Vec<(f64, f64)> {
        const TELLS: usize = 120; // with the rest they fit a datagram of 1,200 bytes
        let own = self.recent.entries().skip(self.told).rev();
        own.take(TELLS).map(|entry| (entry.size, entry.run)).collect()
    }

    /// Another node told what it has seen; nonsense in it is passed over.
    pub fn merge(&mut self, learned: &LearnedState) {
        const TOLD_S: f64 = 30.0; // counts for no more than what a node sees run in its first minute or so
        let sound = |value: f64| value > 0.0 && value.is_finite();
        for &(size, run) in learned.sizes.iter().filter(|(size, run)| sound(*size) && sound(*run)) {
            self.told += usize::from(self.recent.add_older(SizeSample { size, run }));
        }
        let sound_kind = |told: &LearnedKind| sound(told.done) && sound(told.ran) && sound(told.slots);
        for (kind, told) in learned.kinds.iter().filter(|(_, told)| sound_kind(told)) {
            let part = (TOLD_S / told.ran).min(1.0);
            let told = LearnedKind { done: told.done * part, ran: told.ran * part, ..*told };
            let known = self.told_kinds.entry(*kind).or_default();
            *known = known.and(told);
        }
    }
}

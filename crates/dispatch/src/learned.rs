//! What a node has learned of request sizes and of the kinds of executors: its own observations, and those that
//! other nodes send to a node that has few.

use grebeusher_sizing::{Sample, SampleEntry};
use std::collections::BTreeMap;

/// The number of recent sizes that are kept (see docs/design.md).
const MAX_SAMPLES: usize = 1000;

/// What is known of one kind of executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedKind {
    /// Summed size of the requests that were answered, in seconds of a standard core.
    pub work_s: f64,
    /// How many seconds these requests occupied slots, summed over the slots.
    pub slot_s: f64,
    /// The largest number of slots that an executor of the kind was seen to have.
    pub slots: f64,
}

impl LearnedKind {
    /// The sum of two observations of a kind.
    pub fn and(self, more: LearnedKind) -> LearnedKind {
        let LearnedKind { work_s, slot_s, slots } = more;
        LearnedKind {
            work_s: self.work_s + work_s,
            slot_s: self.slot_s + slot_s,
            slots: self.slots.max(slots),
        }
    }
}

/// The observations of one node, as it sends them to another. They exclude what the node itself received from others, which
/// would otherwise count twice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// The size of each recent request and its run time on a standard core, both in seconds; the newest first.
    pub sizes: Vec<(f64, f64)>,
    /// The kinds of executors, by index.
    pub kinds: BTreeMap<usize, LearnedKind>,
}

/// The size and the run time of a recent request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeSample {
    /// In seconds of a standard core, summed over the request's slots.
    pub size: f64,
    /// The run time on a standard core, in seconds.
    run_s: f64,
}

impl SampleEntry for SizeSample {
    fn size(&self) -> f64 {
        self.size
    }

    fn work(&self) -> f64 {
        self.size
    }
}

/// Statistics of recent request sizes, and what other nodes sent about the kinds of executors.
pub(crate) struct WorkloadStats {
    /// Recent requests whose size is known. Those received from other nodes come before this node's own.
    recent: Sample<SizeSample>,
    /// How many entries of `recent` came from other nodes.
    received: usize,
    received_kinds: BTreeMap<usize, LearnedKind>,
    /// The median size, in seconds of a standard core.
    pub median_size: f64,
    /// The mean size, in seconds of a standard core.
    pub mean_size: f64,
    /// The mean run time on a standard core, in seconds.
    pub mean_run_s: f64,
}

impl Default for WorkloadStats {
    fn default() -> WorkloadStats {
        let (recent, received_kinds) = (Sample::with_limit(MAX_SAMPLES), BTreeMap::new());
        WorkloadStats {
            recent,
            received: 0,
            received_kinds,
            median_size: 1.0,
            mean_size: 1.0,
            mean_run_s: 1.0,
        }
    }
}

impl WorkloadStats {
    /// The number of known sizes.
    pub fn count(&self) -> usize {
        self.recent.len()
    }

    pub fn record(&mut self, size: f64, run_s: f64) {
        let full = self.recent.is_full();
        if self.recent.add(SizeSample { size, run_s }) {
            self.received = self.received.saturating_sub(usize::from(full));
        }
    }

    /// Recomputes the median and the means; returns the entries by size, smallest first.
    pub fn recompute(&mut self) -> Vec<SizeSample> {
        let sorted = self.recent.sorted();
        if let Some(median) = self.recent.median() {
            let count = sorted.len() as f64;
            (self.median_size, self.mean_size) =
                (median, sorted.iter().map(|entry| entry.size).sum::<f64>() / count);
            self.mean_run_s = self.recent.entries().map(|entry| entry.run_s).sum::<f64>() / count;
        }
        sorted
    }

    /// The sum of what other nodes sent about a kind.
    pub fn received_kind(&self, kind: usize) -> LearnedKind {
        self.received_kinds.get(&kind).copied().unwrap_or_default()
    }

    /// Sizes and run times of the requests that this node itself saw, the newest first.
    pub fn own_sizes(&self) -> Vec<(f64, f64)> {
        const MAX_SENT_SIZES: usize = 120; // with the kinds they fit into a datagram of 1,200 bytes
        let own = self.recent.entries().skip(self.received).rev();
        own.take(MAX_SENT_SIZES).map(|entry| (entry.size, entry.run_s)).collect()
    }

    /// Adds the observations of another node; values that are not finite and above 0 are ignored.
    pub fn merge(&mut self, learned: &LearnedState) {
        // Caps the weight of what is received at about what a node sees run in its first minute.
        const MAX_RECEIVED_SECONDS: f64 = 30.0;
        let is_valid = |value: f64| value > 0.0 && value.is_finite();
        for &(size, run_s) in learned.sizes.iter().filter(|(size, run_s)| is_valid(*size) && is_valid(*run_s))
        {
            self.received += usize::from(self.recent.add_older(SizeSample { size, run_s }));
        }
        let is_valid_kind = |received: &LearnedKind| {
            is_valid(received.work_s) && is_valid(received.slot_s) && is_valid(received.slots)
        };
        for (kind, received) in learned.kinds.iter().filter(|(_, received)| is_valid_kind(received)) {
            let share = (MAX_RECEIVED_SECONDS / received.slot_s).min(1.0);
            let received =
                LearnedKind { work_s: received.work_s * share, slot_s: received.slot_s * share, ..*received };
            let known = self.received_kinds.entry(*kind).or_default();
            *known = known.and(received);
        }
    }
}

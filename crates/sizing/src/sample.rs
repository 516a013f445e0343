//! The sizes of the last requests.

use std::collections::VecDeque;

/// One request of the sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// What decides the lane: the size as its hint says it.
    pub size: f64,
    /// What it costs an executor, in the same unit. The size, unless part of it is known to cost nothing.
    pub work: f64,
}

/// The last requests with a size, up to a limit; the oldest gives way.
#[derive(Clone, Debug)]
pub struct Sample {
    limit: usize,
    recent: VecDeque<Entry>,
}

impl Sample {
    /// An empty sample of the last `limit` requests (at least one).
    pub fn new(limit: usize) -> Sample {
        Sample { limit: limit.max(1), recent: VecDeque::new() }
    }

    /// Counts one request. Values that are not finite or not above 0 are left out, and `false` is returned.
    pub fn saw(&mut self, size: f64, work: f64) -> bool {
        let sound = |value: f64| value.is_finite() && value > 0.0;
        if !sound(size) || !sound(work) {
            return false;
        }
        while self.recent.len() >= self.limit {
            self.recent.pop_front();
        }
        self.recent.push_back(Entry { size, work });
        true
    }

    /// How many requests are in it.
    pub fn len(&self) -> usize {
        self.recent.len()
    }

    /// Whether nothing was counted yet.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty()
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.recent.iter()
    }

    /// The entries by size, smallest first.
    pub fn sorted(&self) -> Vec<Entry> {
        let mut sorted: Vec<Entry> = self.recent.iter().copied().collect();
        sorted.sort_unstable_by(|a, b| a.size.total_cmp(&b.size));
        sorted
    }

    /// The size in the middle, which stands for a request without a hint. `None` while empty.
    pub fn median(&self) -> Option<f64> {
        let mut sizes: Vec<f64> = self.recent.iter().map(|entry| entry.size).collect();
        if sizes.is_empty() {
            return None;
        }
        let middle = sizes.len() / 2;
        Some(*sizes.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// The mean work of a request. `None` while empty.
    pub fn mean_work(&self) -> Option<f64> {
        let sum: f64 = self.recent.iter().map(|entry| entry.work).sum();
        (!self.recent.is_empty()).then(|| sum / self.recent.len() as f64)
    }
}

//! The sizes of the last requests.

use std::collections::VecDeque;

/// An entry of a sample, with the values that the cut-offs need.
pub trait SampleEntry: Copy {
    /// The size of the request by its hint, which determines the lane.
    fn size(&self) -> f64;
    /// The cost of the request for an executor, in the unit of the size.
    fn work(&self) -> f64;
}

/// An entry of a sample without further values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampledRequest {
    /// The size of the request by its hint, which determines the lane.
    pub size: f64,
    /// The cost of the request for an executor, in the unit of the size: the size itself, unless a part of the request is
    /// known to cost nothing.
    pub work: f64,
}

impl SampleEntry for SampledRequest {
    fn size(&self) -> f64 {
        self.size
    }

    fn work(&self) -> f64 {
        self.work
    }
}

/// The last requests whose size is known, up to a limit. A new request replaces the oldest one.
#[derive(Clone, Debug)]
pub struct Sample<E = SampledRequest> {
    limit: usize,
    recent: VecDeque<E>,
}

impl Sample {
    /// An empty sample that keeps the last `limit` requests, at least one.
    pub fn new(limit: usize) -> Sample {
        Sample::with_limit(limit)
    }

    /// Adds one request like [`Sample::add`].
    pub fn observe(&mut self, size: f64, work: f64) -> bool {
        self.add(SampledRequest { size, work })
    }
}

impl<E: SampleEntry> Sample<E> {
    /// An empty sample that keeps the last `limit` requests, at least one, as entries of any type.
    pub fn with_limit(limit: usize) -> Sample<E> {
        Sample { limit: limit.max(1), recent: VecDeque::new() }
    }

    /// Adds one request. Ignores it and returns `false` if a value is not finite and above 0.
    pub fn add(&mut self, entry: E) -> bool {
        if !is_valid(&entry) {
            return false;
        }
        while self.is_full() {
            self.recent.pop_front();
        }
        self.recent.push_back(entry);
        true
    }

    /// Adds one request as the oldest. Ignores it and returns `false` if a value is not finite and above 0, or if the sample is
    /// full.
    pub fn add_older(&mut self, entry: E) -> bool {
        let is_added = is_valid(&entry) && !self.is_full();
        if is_added {
            self.recent.push_front(entry);
        }
        is_added
    }

    /// The number of requests in the sample.
    pub fn len(&self) -> usize {
        self.recent.len()
    }

    /// Whether the sample contains no requests.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty()
    }

    /// Whether the next request replaces the oldest one.
    pub fn is_full(&self) -> bool {
        self.recent.len() >= self.limit
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &E> + ExactSizeIterator {
        self.recent.iter()
    }

    /// A copy of the entries by size, smallest first.
    pub fn sorted(&self) -> Vec<E> {
        let mut sorted: Vec<E> = self.recent.iter().copied().collect();
        sorted.sort_unstable_by(|a, b| a.size().total_cmp(&b.size()));
        sorted
    }

    /// The median size, which callers assume for a request without a hint. `None` while the sample is empty.
    pub fn median(&self) -> Option<f64> {
        let mut sizes: Vec<f64> = self.recent.iter().map(SampleEntry::size).collect();
        if sizes.is_empty() {
            return None;
        }
        let middle = sizes.len() / 2;
        Some(*sizes.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// The mean work of a request. `None` while the sample is empty.
    pub fn mean_work(&self) -> Option<f64> {
        let sum: f64 = self.recent.iter().map(SampleEntry::work).sum();
        (!self.recent.is_empty()).then(|| sum / self.recent.len() as f64)
    }
}

fn is_valid(entry: &impl SampleEntry) -> bool {
    [entry.size(), entry.work()].iter().all(|value| value.is_finite() && *value > 0.0)
}

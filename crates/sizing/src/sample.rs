//! The sizes of the last requests.

use std::collections::VecDeque;

/// What a sample keeps of a request.
pub trait SampleEntry: Copy {
    /// What decides the lane: the size as its hint says it.
    fn size(&self) -> f64;
    /// What it costs an executor, in the same unit.
    fn work(&self) -> f64;
}

/// One request of the sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// What decides the lane: the size as its hint says it.
    pub size: f64,
    /// What it costs an executor, in the same unit. The size, unless part of it is known to cost nothing.
    pub work: f64,
}

impl SampleEntry for Entry {
    fn size(&self) -> f64 {
        self.size
    }

    fn work(&self) -> f64 {
        self.work
    }
}

/// The last requests with a size, up to a limit; the oldest gives way.
#[derive(Clone, Debug)]
pub struct Sample<E = Entry> {
    limit: usize,
    recent: VecDeque<E>,
}

impl Sample {
    /// An empty sample of the last `limit` requests (at least one).
    pub fn new(limit: usize) -> Sample {
        Sample::of_last(limit)
    }

    /// Counts one request, as [`Sample::add`].
    pub fn saw(&mut self, size: f64, work: f64) -> bool {
        self.add(Entry { size, work })
    }
}

impl<E: SampleEntry> Sample<E> {
    /// An empty sample of the last `limit` requests (at least one), whatever is kept of each.
    pub fn of_last(limit: usize) -> Sample<E> {
        Sample { limit: limit.max(1), recent: VecDeque::new() }
    }

    /// Counts one request. Values that are not finite or not above 0 are left out, and `false` is returned.
    pub fn add(&mut self, entry: E) -> bool {
        if !is_sound(&entry) {
            return false;
        }
        while self.is_full() {
            self.recent.pop_front();
        }
        self.recent.push_back(entry);
        true
    }

    /// Counts one request as older than all others. Left out where it is not sound or no room is left.
    pub fn add_older(&mut self, entry: E) -> bool {
        let takes = is_sound(&entry) && !self.is_full();
        if takes {
            self.recent.push_front(entry);
        }
        takes
    }

    /// How many requests are in it.
    pub fn len(&self) -> usize {
        self.recent.len()
    }

    /// Whether nothing was counted yet.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty()
    }

    /// Whether the next makes the oldest give way.
    pub fn is_full(&self) -> bool {
        self.recent.len() >= self.limit
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &E> + ExactSizeIterator {
        self.recent.iter()
    }

    /// The entries by size, smallest first.
    pub fn sorted(&self) -> Vec<E> {
        let mut sorted: Vec<E> = self.recent.iter().copied().collect();
        sorted.sort_unstable_by(|a, b| a.size().total_cmp(&b.size()));
        sorted
    }

    /// The size in the middle, which stands for a request without a hint. `None` while empty.
    pub fn median(&self) -> Option<f64> {
        let mut sizes: Vec<f64> = self.recent.iter().map(SampleEntry::size).collect();
        if sizes.is_empty() {
            return None;
        }
        let middle = sizes.len() / 2;
        Some(*sizes.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// The mean work of a request. `None` while empty.
    pub fn mean_work(&self) -> Option<f64> {
        let sum: f64 = self.recent.iter().map(SampleEntry::work).sum();
        (!self.recent.is_empty()).then(|| sum / self.recent.len() as f64)
    }
}

fn is_sound(entry: &impl SampleEntry) -> bool {
    [entry.size(), entry.work()].iter().all(|value| value.is_finite() && *value > 0.0)
}

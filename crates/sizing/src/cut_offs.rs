//! Where one lane's sizes end and the next one's begin.

use crate::sample::Sample;

/// Bounds between lanes, smallest first: one fewer than there are lanes, or none while one lane holds all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CutOffs {
    bounds: Vec<f64>,
}

impl CutOffs {
    /// One lane for every size.
    pub fn one_lane() -> CutOffs {
        CutOffs::default()
    }

    /// The bounds by which each lane's part of the sample's summed work matches its entry in `shares` (parts of
    /// the capacity, in any unit, the lane of the smallest sizes first). One lane for all below `fewest` entries,
    /// as a handful says nothing, and where a share is nothing or no number.
    pub fn equalising(sample: &Sample, shares: &[f64], fewest: usize) -> CutOffs {
        let whole: f64 = shares.iter().sum();
        let sound = shares.len() > 1 && shares.iter().all(|share| share.is_finite() && *share > 0.0);
        if sample.len() < fewest.max(1) || !sound || !whole.is_finite() {
            return CutOffs::one_lane();
        }
        let sorted = sample.sorted();
        let total: f64 = sorted.iter().map(|entry| entry.work).sum();
        let mut entries = sorted.iter().peekable();
        let (mut summed, mut due, mut bounds) = (0.0, 0.0, Vec::with_capacity(shares.len() - 1));
        let mut bound = 0.0;
        for share in &shares[..shares.len() - 1] {
            due += total * share / whole;
            // An entry belongs below the bound while more than half of it does.
            while let Some(entry) = entries.next_if(|entry| summed + entry.work / 2.0 <= due) {
                summed += entry.work;
                bound = entry.size;
            }
            bounds.push(bound);
        }
        CutOffs { bounds }
    }

    /// The lane of a size, from 0 for the smallest.
    pub fn lane_of(&self, size: f64) -> usize {
        self.bounds.iter().filter(|bound| size > **bound).count()
    }

    /// The bounds, smallest first.
    pub fn bounds(&self) -> &[f64] {
        &self.bounds
    }

    /// How many lanes the bounds make.
    pub fn lanes(&self) -> usize {
        self.bounds.len() + 1
    }
}

//! Cut-offs by what each lane can do.

use crate::cut_offs::CutOffs;
use crate::sample::{Sample, SampleEntry};
use crate::terms::Straddler;

impl CutOffs {
    /// The bounds, smallest first.
    pub fn bounds(&self) -> &[f64] {
        &self.bounds
    }

    /// The bounds by which each lane's part of the sample's summed work matches its entry in `shares` (parts of
    /// the capacity, in any unit, the lane of the smallest sizes first). One lane for all below `fewest` entries,
    /// as a handful says nothing, and where a share is nothing or no number.
    pub fn equalising<E: SampleEntry>(sample: &Sample<E>, shares: &[f64], fewest: usize) -> CutOffs {
        let whole: f64 = shares.iter().sum();
        let sound = shares.len() > 1 && shares.iter().all(|share| share.is_finite() && *share > 0.0);
        if sample.len() < fewest.max(1) || !sound || !whole.is_finite() {
            return CutOffs::one_lane();
        }
        let sorted = sample.sorted();
        let total: f64 = sorted.iter().map(SampleEntry::work).sum();
        let mut summed = 0.0;
        let due = shares[..shares.len() - 1].iter().map(|share| {
            summed += total * share / whole;
            summed
        });
        CutOffs::at_sums(&sorted, &due.collect::<Vec<f64>>(), Straddler::ByHalf)
    }
}

/// The summed capacity of each lane. `members` gives each executor's lane and capacity; a capacity that is no
/// number counts for nothing.
pub fn share_of_lanes(lanes: usize, members: impl IntoIterator<Item = (usize, f64)>) -> Vec<f64> {
    let mut shares = vec![0.0; lanes];
    for (lane, capacity) in members {
        if let Some(share) = shares.get_mut(lane).filter(|_| capacity.is_finite() && capacity > 0.0) {
            *share += capacity;
        }
    }
    shares
}

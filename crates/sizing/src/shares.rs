//! Cut-offs by the capacity of each lane.

use crate::cut_offs::CutOffs;
use crate::options::BoundaryRule;
use crate::sample::{Sample, SampleEntry};

impl CutOffs {
    /// The bounds, smallest first.
    pub fn bounds(&self) -> &[f64] {
        &self.bounds
    }

    /// The bounds by which each lane's part of the sample's summed work matches its entry in `shares` (of the capacity, in any
    /// unit, the lane of the smallest sizes first). One lane for all below `min_sample` entries, and where a share is not a
    /// number above 0.
    pub fn equalising<E: SampleEntry>(sample: &Sample<E>, shares: &[f64], min_sample: usize) -> CutOffs {
        let total_share: f64 = shares.iter().sum();
        let is_valid = shares.len() > 1 && shares.iter().all(|share| share.is_finite() && *share > 0.0);
        if sample.len() < min_sample.max(1) || !is_valid || !total_share.is_finite() {
            return CutOffs::one_lane();
        }
        let sorted = sample.sorted();
        let total_work: f64 = sorted.iter().map(SampleEntry::work).sum();
        let mut summed = 0.0;
        let amounts = shares[..shares.len() - 1].iter().map(|share| {
            summed += total_work * share / total_share;
            summed
        });
        CutOffs::at_sums(&sorted, &amounts.collect::<Vec<f64>>(), BoundaryRule::MajorityLane)
    }
}

/// The summed capacity of each lane. `members` gives each executor's lane and capacity; a capacity that is not a number above
/// 0 is left out.
pub fn share_of_lanes(lanes: usize, members: impl IntoIterator<Item = (usize, f64)>) -> Vec<f64> {
    let mut shares = vec![0.0; lanes];
    for (lane, capacity) in members {
        if let Some(share) = shares.get_mut(lane).filter(|_| capacity.is_finite() && capacity > 0.0) {
            *share += capacity;
        }
    }
    shares
}

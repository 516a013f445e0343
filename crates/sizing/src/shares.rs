//! Cut-offs that follow the capacity of each lane.

use crate::cut_offs::CutOffs;
use crate::options::BoundaryRule;
use crate::sample::{Sample, SampleEntry};

impl CutOffs {
    /// The bounds, smallest first.
    pub fn bounds(&self) -> &[f64] {
        &self.bounds
    }

    /// The bounds by which each lane's part of the sample's summed work matches its part of `shares`: the capacity of each lane
    /// in any unit, the lane of the smallest sizes first. One lane for all sizes if the sample has fewer than `min_sample`
    /// entries, or a share is not finite and above 0.
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

/// The summed capacity of each lane. `executors` yields the lane and the capacity of each executor; a capacity that is not
/// finite and above 0 does not count.
pub fn capacity_by_lane(lane_count: usize, executors: impl IntoIterator<Item = (usize, f64)>) -> Vec<f64> {
    let mut sums = vec![0.0; lane_count];
    for (lane, capacity) in executors {
        if let Some(sum) = sums.get_mut(lane).filter(|_| capacity.is_finite() && capacity > 0.0) {
            *sum += capacity;
        }
    }
    sums
}

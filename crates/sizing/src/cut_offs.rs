//! The bounds between the sizes of one lane and the next.

use crate::options::BoundaryRule;
use crate::sample::SampleEntry;

/// The bounds between lanes, smallest first: one fewer than there are lanes, so none while one lane has all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CutOffs {
    pub(crate) bounds: Vec<f64>,
}

impl CutOffs {
    /// One lane for all sizes.
    pub fn one_lane() -> CutOffs {
        CutOffs::default()
    }

    /// The bounds below which these sums of the work of `sorted` (by size) lie. One lane if an amount is not finite.
    pub fn at_sums(sorted: &[impl SampleEntry], amounts: &[f64], rule: BoundaryRule) -> CutOffs {
        if !amounts.iter().all(|amount| amount.is_finite()) {
            return CutOffs::one_lane();
        }
        let is_below = |summed: f64, work: f64, amount: f64| match rule {
            BoundaryRule::LowerLane => summed < amount,
            BoundaryRule::MajorityLane => summed + work / 2.0 <= amount,
        };
        let (mut entries, mut summed, mut bound) = (sorted.iter().peekable(), 0.0, 0.0);
        let bound_at = |&amount: &f64| {
            while let Some(entry) = entries.next_if(|entry| is_below(summed, entry.work(), amount)) {
                summed += entry.work();
                bound = entry.size();
            }
            bound
        };
        CutOffs { bounds: amounts.iter().map(bound_at).collect() }
    }

    /// The lane of a size, from 0 for the smallest sizes.
    pub fn lane_of(&self, size: f64) -> usize {
        self.bounds.iter().filter(|bound| size > **bound).count()
    }

    /// The number of lanes.
    pub fn lane_count(&self) -> usize {
        self.bounds.len() + 1
    }
}

//! Where one lane's sizes end and the next one's begin.

use crate::sample::SampleEntry;
use crate::terms::Straddler;

/// Bounds between lanes, smallest first: one fewer than there are lanes, or none while one lane holds all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CutOffs {
    pub(crate) bounds: Vec<f64>,
}

impl CutOffs {
    /// One lane for every size.
    pub fn one_lane() -> CutOffs {
        CutOffs::default()
    }

    /// The bounds below which lie these amounts of the summed work of requests sorted by size. One lane for
    /// all where an amount is no number.
    pub fn at_sums(sorted: &[impl SampleEntry], due: &[f64], straddler: Straddler) -> CutOffs {
        if !due.iter().all(|due| due.is_finite()) {
            return CutOffs::one_lane();
        }
        let belongs = |summed: f64, work: f64, due: f64| match straddler {
            Straddler::Below => summed < due,
            Straddler::ByHalf => summed + work / 2.0 <= due,
        };
        let (mut entries, mut summed, mut bound) = (sorted.iter().peekable(), 0.0, 0.0);
        let bound_at = |&due: &f64| {
            while let Some(entry) = entries.next_if(|entry| belongs(summed, entry.work(), due)) {
                summed += entry.work();
                bound = entry.size();
            }
            bound
        };
        CutOffs { bounds: due.iter().map(bound_at).collect() }
    }

    /// The lane of a size, from 0 for the smallest.
    pub fn lane_of(&self, size: f64) -> usize {
        self.bounds.iter().filter(|bound| size > **bound).count()
    }

    /// How many lanes the bounds make.
    pub fn lanes(&self) -> usize {
        self.bounds.len() + 1
    }
}

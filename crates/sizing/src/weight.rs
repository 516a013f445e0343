//! The weight of an executor in the pick inside a lane.

use crate::options::WeightedCandidate;

/// The least weight of an executor that is not overfull. Load reports are late, and an executor that is never picked is
/// never reported on.
pub const MIN_WEIGHT: f64 = 0.1;

/// One minus the utilisation, at least [`MIN_WEIGHT`] below 1; from 1 on less, the more requests wait. A utilisation that is
/// not a number counts as full.
pub fn weight(utilisation: f64) -> f64 {
    if utilisation.is_nan() {
        return MIN_WEIGHT;
    }
    if utilisation < 1.0 { (1.0 - utilisation.max(0.0)).max(MIN_WEIGHT) } else { MIN_WEIGHT / utilisation }
}

/// The weight of each candidate times its factor. One of unknown utilisation has the mean weight of the others, or 1 where
/// none is known.
pub fn weights(candidates: &[WeightedCandidate]) -> Vec<f64> {
    let known: Vec<f64> = candidates.iter().filter_map(|c| c.utilisation.map(weight)).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    candidates.iter().map(|c| c.utilisation.map_or(mean, weight) * c.weight_factor).collect()
}

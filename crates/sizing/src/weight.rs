//! The weight of an executor in the random pick inside a lane.

use crate::options::WeightedCandidate;

/// The minimum weight at a utilisation of at most 1. Reports are late, and an executor that is never picked sends none.
pub const MIN_WEIGHT: f64 = 0.1;

/// One minus the utilisation, but at least [`MIN_WEIGHT`]; from a utilisation of 1 on, [`MIN_WEIGHT`] divided by it, so that
/// waiting requests lower the weight. NaN counts as a utilisation of 1.
pub fn weight(utilisation: f64) -> f64 {
    if utilisation.is_nan() {
        return MIN_WEIGHT;
    }
    if utilisation < 1.0 { (1.0 - utilisation.max(0.0)).max(MIN_WEIGHT) } else { MIN_WEIGHT / utilisation }
}

/// Each weight times its factor. An unknown one counts as the mean of the others before factors, or 1 if none is known.
pub fn weights(candidates: &[WeightedCandidate]) -> Vec<f64> {
    let known: Vec<f64> = candidates.iter().filter_map(|c| c.utilisation.map(weight)).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    candidates.iter().map(|c| c.utilisation.map_or(mean, weight) * c.weight_factor).collect()
}

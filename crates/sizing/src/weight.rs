//! What an executor counts for in the pick inside a lane.

use crate::terms::Candidate;
/// The least weight of one that may be picked: figures are late, and what is never picked is never heard of.
pub const FLOOR: f64 = 0.1;

/// One minus the utilisation, [`FLOOR`] at least; less than that the more requests wait. A figure that is no
/// number counts as full.
pub fn weight(utilisation: f64) -> f64 {
    if utilisation.is_nan() {
        return FLOOR;
    }
    if utilisation < 1.0 { (1.0 - utilisation.max(0.0)).max(FLOOR) } else { FLOOR / utilisation }
}

/// Weight times strength of each. One without a figure has the mean weight of those that have one, or 1 where
/// none has.
pub fn weights(candidates: &[Candidate]) -> Vec<f64> {
    let known: Vec<f64> = candidates.iter().filter_map(|c| c.utilisation.map(weight)).collect();
    let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    candidates.iter().map(|c| c.utilisation.map_or(mean, weight) * c.strength).collect()
}

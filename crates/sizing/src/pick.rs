//! The weighted random pick inside a lane.

use crate::options::WeightedCandidate;
use crate::weight::weights;
use rand::Rng;

/// Picks a candidate at random by [`weights`] and returns its index. `None` if no candidate has a weight above 0.
pub fn pick(rng: &mut impl Rng, candidates: &[WeightedCandidate]) -> Option<usize> {
    let mut weights = weights(candidates);
    for weight in &mut weights {
        if !weight.is_finite() || *weight <= 0.0 {
            *weight = 0.0;
        }
    }
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut remaining = rng.random::<f64>() * total;
    let mut last = None;
    for (index, weight) in weights.into_iter().enumerate() {
        if weight > 0.0 {
            last = Some(index);
            if remaining < weight {
                return last;
            }
            remaining -= weight;
        }
    }
    // A remainder of rounding goes to the last candidate.
    last
}

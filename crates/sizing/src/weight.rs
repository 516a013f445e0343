//! What an executor counts for in the pick inside a lane.

/// The least weight of one that may be picked: figures are late, and what is never picked is never heard of.
pub const FLOOR: f64 = 0.1;

/// What the pick has to know of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The part of it that is taken: 1 when full, more when requests wait there. `None` without a figure.
    pub utilisation: Option<f64>,
    /// By how much it counts beside that: 1, or its speed, its nearness. What is not above 0 is never picked.
    pub strength: f64,
}

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

//! The weighted random pick inside a lane.

use rand::Rng;

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

/// Picks one at random by weight times strength and returns its place. One without a figure gets the mean weight
/// of those that have one, or 1 where none has. `None` where there is nothing to pick.
pub fn pick(chance: &mut impl Rng, candidates: &[Candidate]) -> Option<usize> {
    let known = candidates.iter().filter_map(|candidate| candidate.utilisation);
    let (sum, count) = known.fold((0.0, 0), |(sum, count), taken| (sum + weight(taken), count + 1));
    let mean = if count > 0 { sum / f64::from(count) } else { 1.0 };
    let weigh = |candidate: &Candidate| {
        let weighs = candidate.utilisation.map_or(mean, weight) * candidate.strength;
        if weighs.is_finite() && weighs > 0.0 { weighs } else { 0.0 }
    };
    let total: f64 = candidates.iter().map(weigh).sum();
    if total <= 0.0 {
        return None;
    }
    let mut left = chance.random::<f64>() * total;
    let mut last = None;
    for (place, candidate) in candidates.iter().enumerate() {
        let weighs = weigh(candidate);
        if weighs > 0.0 {
            last = Some(place);
            if left < weighs {
                return last;
            }
            left -= weighs;
        }
    }
    last // where rounding left a trace over
}

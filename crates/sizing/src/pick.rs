//! The weighted random pick inside a lane.

use crate::terms::Candidate;
use crate::weight::weights;
use rand::Rng;

/// Picks one at random by [`weights`] and returns its place. `None` where there is nothing to pick.
pub fn pick(chance: &mut impl Rng, candidates: &[Candidate]) -> Option<usize> {
    let mut weighs = weights(candidates);
    weighs.iter_mut().filter(|weighs| !(weighs.is_finite() && **weighs > 0.0)).for_each(|w| *w = 0.0);
    let total: f64 = weighs.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut left = chance.random::<f64>() * total;
    let mut last = None;
    for (place, weighs) in weighs.into_iter().enumerate() {
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

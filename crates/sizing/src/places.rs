//! Division of a sequence of executors into lanes.

use crate::options::Remainder;

/// Covers the rounding errors of sums like 0.1 + 0.2.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The lane of each position in a sequence of `count` executors. Each lane gets its part of them by `shares` (in any unit),
/// and at least one. All lanes are 0 if there are fewer executors than lanes, or a share is not finite and above 0.
pub fn lanes_in_order(count: usize, shares: &[f64], remainder: Remainder) -> Vec<usize> {
    let mut lanes = vec![0; count];
    let is_valid = shares.iter().all(|share| share.is_finite() && *share > 0.0);
    let total: f64 = shares.iter().sum();
    if count < shares.len() || !is_valid || !total.is_finite() {
        return lanes;
    }
    let mut start = 0;
    let mut summed = 0.0;
    for (lane, share) in shares.iter().enumerate() {
        summed += share;
        let exact_end = summed / total * count as f64;
        let rounded_end = match remainder {
            Remainder::Earlier => (exact_end - ROUNDING_TOLERANCE).ceil(),
            Remainder::Later => exact_end + ROUNDING_TOLERANCE,
        };
        // At least one position is left for each lane that follows.
        let following = shares.len() - 1 - lane;
        let end = (rounded_end as usize).max(start + 1).min(count - following);
        lanes[start..end].fill(lane);
        start = end;
    }
    lanes
}

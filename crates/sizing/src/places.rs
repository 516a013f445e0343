//! How an order of executors is cut into lanes.

use crate::terms::Remainder;
/// The lane of each place in an order of `count` executors: each lane gets its entry of `shares` (in any
/// unit) of all, and at least one. All 0 where executors are fewer than lanes, or a share is not above 0 or
/// no number.
pub fn lanes_in_order(count: usize, shares: &[f64], remainder: Remainder) -> Vec<usize> {
    // Makes up for sums like 0.1 + 0.2.
    const TRACE: f64 = 1e-9;
    let mut lanes = vec![0; count];
    let sound = shares.iter().all(|share| share.is_finite() && *share > 0.0);
    let whole: f64 = shares.iter().sum();
    if count < shares.len() || !sound || !whole.is_finite() {
        return lanes;
    }
    let (mut from, mut summed) = (0, 0.0);
    for (lane, share) in shares.iter().enumerate() {
        summed += share;
        let part = summed / whole * count as f64;
        let due = match remainder {
            Remainder::Earlier => (part - TRACE).ceil(),
            Remainder::Later => part + TRACE,
        };
        // Room is left for one in each lane that follows.
        let until = (due as usize).max(from + 1).min(count - (shares.len() - 1 - lane));
        lanes[from..until].fill(lane);
        from = until;
    }
    lanes
}

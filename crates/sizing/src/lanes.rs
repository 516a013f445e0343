//! Which executor is in which lane.

/// Cuts executors, given by the fixed hashes of their ids, into `lanes` runs of nearly equal number in the order
/// of the hashes: every node that knows the same executors makes the same lanes. What does not divide evenly goes
/// to the later lanes. The lane of each, in the order given; all 0 where there are fewer executors than lanes.
pub fn lanes_by_hash(hashes: &[u64], lanes: usize) -> Vec<usize> {
    lanes_by_share(hashes, &vec![1.0; lanes.max(1)])
}

/// As [`lanes_by_hash`], with lanes of unequal number: each gets its entry of `shares` (in any unit) of all, rounded
/// down so that the rest goes to the later lanes, and at least one. All 0 where there are fewer executors than lanes, or a share is not above 0 or no number.
pub fn lanes_by_share(hashes: &[u64], shares: &[f64]) -> Vec<usize> {
    let mut assigned = vec![0; hashes.len()];
    let sound = shares.iter().all(|share| share.is_finite() && *share > 0.0);
    let whole: f64 = shares.iter().sum();
    if hashes.len() < shares.len() || !sound || !whole.is_finite() {
        return assigned;
    }
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_unstable_by_key(|&at| (hashes[at], at));
    let (mut from, mut summed) = (0, 0.0);
    for (lane, share) in shares.iter().enumerate() {
        summed += share;
        // The trace makes up for sums like 0.1 + 0.2; room is left for one in each lane that follows.
        let due = (summed / whole * hashes.len() as f64 + 1e-9) as usize;
        let until = due.max(from + 1).min(hashes.len() - (shares.len() - 1 - lane));
        order[from..until].iter().for_each(|&at| assigned[at] = lane);
        from = until;
    }
    assigned
}

/// The summed capacity of each lane. `members` gives each executor's lane and capacity; a capacity that is no
/// number counts for nothing.
pub fn share_of_lanes(lanes: usize, members: impl IntoIterator<Item = (usize, f64)>) -> Vec<f64> {
    let mut shares = vec![0.0; lanes];
    for (lane, capacity) in members {
        if let Some(share) = shares.get_mut(lane).filter(|_| capacity.is_finite() && capacity > 0.0) {
            *share += capacity;
        }
    }
    shares
}

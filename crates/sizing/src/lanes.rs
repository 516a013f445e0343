//! Which executor is in which lane.

/// Cuts executors, given by the fixed hashes of their ids, into `lanes` runs of nearly equal number in the order
/// of the hashes: every node that knows the same executors makes the same lanes. What does not divide evenly goes
/// to the later lanes. The lane of each, in the order given; all 0 where there are fewer executors than lanes.
pub fn lanes_by_hash(hashes: &[u64], lanes: usize) -> Vec<usize> {
    let lanes = lanes.max(1);
    let mut assigned = vec![0; hashes.len()];
    if hashes.len() < lanes {
        return assigned;
    }
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_unstable_by_key(|&at| (hashes[at], at));
    for (rank, at) in order.into_iter().enumerate() {
        // The first rank of lane l is l * n / lanes, rounded down.
        assigned[at] = (0..lanes).rfind(|lane| lane * hashes.len() / lanes <= rank).unwrap_or(0);
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

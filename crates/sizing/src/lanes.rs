//! Assignment of executors to lanes, in the order of the hashes of their ids.

use crate::options::Remainder;
use crate::places::lanes_in_order;

/// Divides executors, given by the fixed hashes of their ids, into `lane_count` lanes of nearly equal number, in the order of
/// the hashes, so that all nodes that know the same executors form the same lanes. The remainder goes to the later lanes.
/// Returns the lane of each executor in the order given; all lanes are 0 if there are fewer executors than lanes.
pub fn lanes_by_hash(hashes: &[u64], lane_count: usize) -> Vec<usize> {
    lanes_by_share(hashes, &vec![1.0; lane_count.max(1)])
}

/// Like [`lanes_by_hash`], but [`lanes_in_order`] divides the executors by `shares`.
pub fn lanes_by_share(hashes: &[u64], shares: &[f64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_unstable_by_key(|&index| (hashes[index], index));
    let lanes = lanes_in_order(hashes.len(), shares, Remainder::Later);
    let mut assigned = vec![0; hashes.len()];
    for (index, lane) in order.into_iter().zip(lanes) {
        assigned[index] = lane;
    }
    assigned
}

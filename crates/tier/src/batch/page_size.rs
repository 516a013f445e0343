//! The size limit of a page of results. It depends on the speed of the leader's link, so that the pages of
//! many readers can be sent at the same time.

use grebeusher_batch::MAX_PAGE_BYTES;

/// The longest time that sending one page may take on the leader's otherwise idle link (seconds). A caller
/// tries another node after a few hundred milliseconds: if pages waited longer than that in the link's queue,
/// they would be requested again, and the copies would keep the link overloaded.
const MAX_TRANSFER_S: f64 = 0.025;
/// Pages are allowed this size even on slow links, as the overhead of a call per smaller page is too large
/// (bytes).
const MIN_PAGE_BYTES: usize = 32 * 1024;

/// The size limit of a page (bytes) at a leader whose link has `link_mbps` megabits per second.
pub fn max_page_bytes(link_mbps: f64) -> usize {
    let bytes_per_s = link_mbps * 1e6 / 8.0;
    let max_bytes = bytes_per_s * MAX_TRANSFER_S;
    (max_bytes as usize).clamp(MIN_PAGE_BYTES, MAX_PAGE_BYTES)
}

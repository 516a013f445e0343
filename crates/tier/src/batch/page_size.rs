//! How large a page of results is: bounded by what links move in a moment, so that pages of many readers pass side by side.

use grebeusher_batch::MAX_PAGE_BYTES;

/// A page takes at most this long on the leader's link when it is alone there (seconds). A call is tried at another node
/// after some hundred milliseconds; pages that take longer in the queue of a link are asked for again, which fills it for
/// good.
const LINK_TIME_S: f64 = 0.025;
/// Less than this is not worth a call of its own (bytes).
const MIN_PAGE_BYTES: usize = 32 * 1024;

/// The most bytes of a page that a leader with a link of `link_mbps` (megabits a second) gives.
pub fn max_page_bytes(link_mbps: f64) -> usize {
    let bytes_per_s = link_mbps * 1e6 / 8.0;
    let in_time = bytes_per_s * LINK_TIME_S;
    (in_time as usize).clamp(MIN_PAGE_BYTES, MAX_PAGE_BYTES)
}

//! The time limits for attempts of a call.

use crate::links::messages::Call;
use grebeusher_time::Duration;

/// An attempt that is not answered after this time is repeated at another node. The time allows for a leader
/// that replies only once a quorum has written to disk.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// The minimum speed that is assumed for a large call on a link that others use too (bytes per second).
const MIN_LINK_BYTES_PER_S: u64 = 200_000;
/// The additional time for a page of results, beside the time that the leader may delay the reply: the page
/// waits in the link's queue behind the pages of other readers.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// The time from sending an attempt of a call until it is repeated at another node.
pub(super) fn attempt_timeout(call: &Call) -> Duration {
    ATTEMPT_TIMEOUT + extra_time(call)
}

/// The additional time that a call may take without a fault: leaders delay the replies to reads, and large
/// calls take time on shared links. Without it, large calls would be repeated while they wait in the queue of
/// a link, and the copies would keep the leader's link overloaded.
fn extra_time(call: &Call) -> Duration {
    let transfer_time =
        |bytes: usize| Duration::from_nanos(bytes as u64 * 1_000_000_000 / MIN_LINK_BYTES_PER_S);
    match call {
        Call::ReadJob { hold_ms, .. } => Duration::from_millis(u64::from(*hold_ms)) + PAGE_TIMEOUT,
        Call::SubmitJob(submission) => transfer_time(submission.submission.len()),
        Call::ReplaceConfiguration { body, .. } => transfer_time(body.len()),
        // The relay may try more than one node.
        Call::Forward { call, .. } => ATTEMPT_TIMEOUT + transfer_time(call.len()),
        _ => Duration::from_nanos(0),
    }
}

//! Admission control: the order of preference among the candidates of a request, how long the request may queue, and
//! when it is rejected.

use crate::candidate::Candidate;
use crate::config::GatewayConfig;
use crate::request::Request;
use grebeusher_time::{Duration, DurationExt};

/// A group of candidates. The groups are tried in order of preference, and a candidate may belong to several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PreferenceGroup {
    /// Healthy candidates of the request's lane that have capacity.
    LaneWithCapacity,
    /// Healthy candidates of any lane that have capacity.
    AnyWithCapacity,
    /// Healthy candidates of the request's lane whose queue is short enough for the request.
    LaneWithShortQueue,
    /// Healthy candidates of any lane whose queue is short enough for the request.
    AnyWithShortQueue,
    /// Unhealthy candidates of any lane that have capacity.
    UnhealthyWithCapacity,
}

impl PreferenceGroup {
    /// All groups, the most preferred first.
    pub const ALL: [PreferenceGroup; 5] = [
        PreferenceGroup::LaneWithCapacity,
        PreferenceGroup::AnyWithCapacity,
        PreferenceGroup::LaneWithShortQueue,
        PreferenceGroup::AnyWithShortQueue,
        PreferenceGroup::UnhealthyWithCapacity,
    ];

    /// Whether a candidate belongs to the group, for a request that may queue for `max_queue_wait_s` seconds.
    pub fn contains(self, candidate: &Candidate, max_queue_wait_s: f64) -> bool {
        let has_short_queue = candidate.reachable && candidate.queue_wait_s <= max_queue_wait_s;
        match self {
            PreferenceGroup::LaneWithCapacity => {
                candidate.healthy && candidate.has_capacity && candidate.in_lane
            }
            PreferenceGroup::AnyWithCapacity => candidate.healthy && candidate.has_capacity,
            PreferenceGroup::LaneWithShortQueue => candidate.healthy && has_short_queue && candidate.in_lane,
            PreferenceGroup::AnyWithShortQueue => candidate.healthy && has_short_queue,
            PreferenceGroup::UnhealthyWithCapacity => !candidate.healthy && candidate.has_capacity,
        }
    }

    /// Whether a request that goes to a candidate of the group may have to queue there.
    pub fn may_queue(self) -> bool {
        matches!(self, PreferenceGroup::LaneWithShortQueue | PreferenceGroup::AnyWithShortQueue)
    }
}

/// No request is rejected while the candidates' mean occupancy is below this fraction: with so many free slots, the
/// estimates that call for a rejection must be wrong.
const MIN_REJECT_OCCUPANCY: f64 = 0.5;
/// The shortest time that a rejected client is told to wait before it retries, in seconds and before jitter.
const MIN_RETRY_AFTER_S: f64 = 0.05;
/// The longest time that a rejected client is told to wait before it retries, in seconds and before jitter.
const MAX_RETRY_AFTER_S: f64 = 2.0;

/// Whether a request for which no preference group has a candidate is sent to a reachable executor all the same. This
/// is so when the request can no longer be rejected because an executor may have run it, or when so few slots are
/// occupied that the estimates must be wrong.
pub(crate) fn must_admit(request: &Request<'_>, candidates: &[Candidate]) -> bool {
    let total_occupancy = candidates.iter().map(|c| c.occupancy).sum::<f64>();
    let is_mostly_idle = total_occupancy < MIN_REJECT_OCCUPANCY * candidates.len() as f64;
    is_mostly_idle || request.may_have_run
}

/// How long a request may wait in an executor's queue, in seconds. `top_priority` is the most urgent priority level
/// that the node has seen in requests of the service; 0 is the most urgent of all.
pub(crate) fn max_queue_wait_s(config: &GatewayConfig, request: &Request<'_>, top_priority: u8) -> f64 {
    if request.may_have_run {
        return request.until_deadline.seconds() / 2.0;
    }
    let levels_below_top = f64::from(request.priority.saturating_sub(top_priority));
    let until_objective_s = request.latency_objective.saturating_sub(request.elapsed).seconds();
    let remaining_s = until_objective_s.min(request.until_deadline.seconds());
    remaining_s * config.max_queue_share / (1.0 + levels_below_top)
}

/// After how long a rejected client may retry. `jitter`, from 0 to 1, spreads the retries of clients that are rejected
/// at the same time.
pub(crate) fn retry_after(candidates: &[Candidate], max_queue_wait_s: f64, jitter: f64) -> Duration {
    let shortest_wait_s = candidates.iter().map(|c| c.queue_wait_s).fold(f64::INFINITY, f64::min);
    let delay_s = (shortest_wait_s - max_queue_wait_s).clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S);
    Duration::from_seconds(delay_s * (1.0 + jitter))
}

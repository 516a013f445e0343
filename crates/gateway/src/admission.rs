//! Admission: which candidates may be taken at all, in which order of preference, and when a request is rejected.

use crate::candidate::Candidate;
use crate::config::GatewayConfig;
use crate::request::Request;
use grebeusher_time::{Duration, DurationExt};

/// Groups of candidates in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PreferenceTier {
    /// Those of the lane that have capacity.
    Lane,
    /// Any that has capacity.
    OutOfLane,
    /// Those of the lane that have a short queue.
    LaneQueue,
    /// Any that has a short queue.
    Queue,
    /// Unhealthy ones that have capacity.
    Unhealthy,
}

impl PreferenceTier {
    /// All tiers, the preferred first.
    pub const ALL: [PreferenceTier; 5] = [
        PreferenceTier::Lane,
        PreferenceTier::OutOfLane,
        PreferenceTier::LaneQueue,
        PreferenceTier::Queue,
        PreferenceTier::Unhealthy,
    ];

    /// Whether a candidate belongs to it, for a request that may wait `max_queue_wait_s`.
    pub fn contains(self, candidate: &Candidate, max_queue_wait_s: f64) -> bool {
        let has_short_queue = candidate.reachable && candidate.queue_wait_s <= max_queue_wait_s;
        match self {
            PreferenceTier::Lane => candidate.healthy && candidate.has_capacity && candidate.in_lane,
            PreferenceTier::OutOfLane => candidate.healthy && candidate.has_capacity,
            PreferenceTier::LaneQueue => candidate.healthy && has_short_queue && candidate.in_lane,
            PreferenceTier::Queue => candidate.healthy && has_short_queue,
            PreferenceTier::Unhealthy => !candidate.healthy && candidate.has_capacity,
        }
    }

    /// Whether its candidates have no free slot.
    pub fn is_queue(self) -> bool {
        matches!(self, PreferenceTier::LaneQueue | PreferenceTier::Queue)
    }
}

/// Below this occupancy of all slots a rejection would be wrong, whatever single estimates say.
const MIN_REJECT_OCCUPANCY: f64 = 0.5;
/// Bounds of the time after which a rejected client may come back, before jitter.
const MIN_RETRY_AFTER_S: f64 = 0.05;
const MAX_RETRY_AFTER_S: f64 = 2.0;

/// Whether a request that no tier took is sent to a reachable executor all the same: it can't be rejected any more, or
/// so few slots are occupied that the estimates must be off.
pub(crate) fn must_admit(request: &Request<'_>, candidates: &[Candidate]) -> bool {
    let occupied = candidates.iter().map(|c| c.occupancy).sum::<f64>();
    let is_idle = occupied < MIN_REJECT_OCCUPANCY * candidates.len() as f64;
    is_idle || request.may_have_run
}

/// How long a request may wait in an executor's queue. `top_priority` is the most urgent one of its service.
pub(crate) fn max_queue_wait_s(config: &GatewayConfig, request: &Request<'_>, top_priority: u8) -> f64 {
    if request.may_have_run {
        return request.until_deadline.seconds() / 2.0;
    }
    let less_urgent = f64::from(request.priority.saturating_sub(top_priority));
    let until_objective = request.latency_objective.saturating_sub(request.elapsed).seconds();
    let left = until_objective.min(request.until_deadline.seconds());
    left * config.max_queue_share / (1.0 + less_urgent)
}

/// When a rejected client may come back. `jitter`, from 0 to 1, spreads the clients rejected together.
pub(crate) fn retry_after(candidates: &[Candidate], max_queue_wait_s: f64, jitter: f64) -> Duration {
    let shortest_wait = candidates.iter().map(|c| c.queue_wait_s).fold(f64::INFINITY, f64::min);
    let expected = (shortest_wait - max_queue_wait_s).clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S);
    Duration::from_seconds(expected * (1.0 + jitter))
}

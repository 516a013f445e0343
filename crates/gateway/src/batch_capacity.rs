//! Capacity for batch jobs. A batch item goes only to an executor that keeps a reserve of free slots for live requests
//! when it runs the item.

use crate::admission::PreferenceGroup;
use crate::candidate::Candidate;
use crate::gateway::Gateway;
use crate::ids::ExecutorId;
use crate::request::BatchItem;
use grebeusher_time::Instant;

/// The reserve as a multiple of the mean deviation of the other nodes' load. Few bursts of live requests exceed it.
const RESERVED_DEVIATIONS: f64 = 2.0;

impl Gateway {
    /// Chooses an executor that has capacity for the batch item and for the live requests that may arrive meanwhile.
    /// The reserve of free slots for these grows with the deviation between the recent load reports of executors.
    pub fn choose_executor_for_batch_item(
        &mut self,
        now: Instant,
        item: &BatchItem<'_>,
    ) -> Option<ExecutorId> {
        self.refresh_lanes(now, item.service);
        let request = item.as_request();
        let mut candidates = std::mem::take(&mut self.candidate_buffer);
        self.collect_candidates(now, &request, &mut candidates);
        let reserve = self.batch_reserve(now, item);
        candidates.retain(|candidate| self.has_batch_capacity(candidate, reserve));
        let in_lane: Vec<Candidate> = candidates.iter().copied().filter(|c| c.in_lane).collect();
        let home = self.choose_by_prefix(now, &request, 0.0, &in_lane);
        let chosen = home.or_else(|| {
            if in_lane.is_empty() {
                self.pick_in_group(PreferenceGroup::AnyWithCapacity, &candidates)
            } else {
                self.pick_in_group(PreferenceGroup::LaneWithCapacity, &in_lane)
            }
        });
        self.candidate_buffer = candidates;
        chosen
    }

    /// Whether the candidate has capacity for one more batch item and keeps the reserve, which is a fraction of its
    /// slots.
    fn has_batch_capacity(&self, candidate: &Candidate, reserve: f64) -> bool {
        let Some(executor) = self.executors.get(candidate.id) else { return false };
        candidate.healthy
            && candidate.has_capacity
            && candidate.utilisation + 1.0 / f64::from(executor.slots) <= 1.0 - reserve
            && executor.own_load.pending_batch_prefill_tokens < self.config.max_batch_prefill_tokens
    }

    /// The fraction of an executor's slots that a batch item has to leave free.
    fn batch_reserve(&self, now: Instant, item: &BatchItem<'_>) -> f64 {
        let bounds = self.config.batch_reserve;
        let service = self.services.get(item.service);
        let deviation = service.map_or(0.0, |service| service.peer_load.estimate(now).deviation);
        let urgency = if item.urgency.is_finite() { item.urgency.clamp(0.0, 1.0) } else { 0.0 };
        (deviation * RESERVED_DEVIATIONS).clamp(bounds.min, bounds.max) * (1.0 - urgency / 2.0)
    }
}

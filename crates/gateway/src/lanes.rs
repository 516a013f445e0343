//! Lanes by SITA-E: each service's executors in a fixed order, divided by the configured shares.

use crate::executor::Executor;
use crate::gateway::Gateway;
use crate::ids::{ExecutorId, ServiceId};
use grebeusher_sizing::{capacity_by_lane, lanes_by_share};
use grebeusher_time::Instant;

impl Gateway {
    /// Forms the lanes again where executors came, went or changed, and computes the cut-offs when due.
    pub(crate) fn refresh_lanes(&mut self, now: Instant, id: ServiceId) {
        let Some(service) = self.services.get_mut(id) else { return };
        if !service.lanes_stale {
            return service.recompute_if_due(now, &self.config);
        }
        service.lanes_stale = false;
        let members = service.members.iter().filter_map(|id| self.executors.get(*id));
        let ready: Vec<&Executor> = members.filter(|executor| !executor.is_draining()).collect();
        let hashes: Vec<u64> = ready.iter().map(|executor| executor.hash).collect();
        let shares = self.config.active_lane_shares();
        let lanes = lanes_by_share(&hashes, &shares);
        let slots = ready.iter().map(|executor| f64::from(executor.slots));
        service.lane_capacity = capacity_by_lane(shares.len(), lanes.iter().copied().zip(slots));
        let ids: Vec<ExecutorId> = ready.iter().map(|executor| executor.id).collect();
        for (id, lane) in ids.into_iter().zip(lanes) {
            if let Some(executor) = self.executors.get_mut(id) {
                executor.lane = lane;
            }
        }
        service.recompute(now, &self.config);
    }
}

//! The lanes of each service. As in SITA-E, its executors are divided into lanes by the configured shares, in an order
//! that all nodes compute alike.

use crate::executor::Executor;
use crate::gateway::Gateway;
use crate::ids::{ExecutorId, ServiceId};
use grebeusher_sizing::{capacity_by_lane, lanes_by_share};
use grebeusher_time::Instant;

impl Gateway {
    /// Computes the lanes again if executors of the service were added, removed or changed, and the cut-offs if they
    /// are due.
    pub(crate) fn refresh_lanes(&mut self, now: Instant, id: ServiceId) {
        let Some(service) = self.services.get_mut(id) else { return };
        if !service.are_lanes_stale {
            return service.recompute_if_due(now, &self.config);
        }
        service.are_lanes_stale = false;
        let members = service.members.iter().filter_map(|id| self.executors.get(*id));
        let included: Vec<&Executor> = members.filter(|executor| !executor.is_draining()).collect();
        let hashes: Vec<u64> = included.iter().map(|executor| executor.instance_hash).collect();
        let shares = self.config.active_lane_shares();
        let lanes = lanes_by_share(&hashes, &shares);
        let slots = included.iter().map(|executor| f64::from(executor.slots));
        service.lane_slots = capacity_by_lane(shares.len(), lanes.iter().copied().zip(slots));
        let ids: Vec<ExecutorId> = included.iter().map(|executor| executor.id).collect();
        for (id, lane) in ids.into_iter().zip(lanes) {
            if let Some(executor) = self.executors.get_mut(id) {
                executor.lane = lane;
            }
        }
        service.recompute(now, &self.config);
    }
}

//! What operators and the node see of the gateway's state.

use crate::decision::DecisionCounters;
use crate::executor::ExecutorState;
use crate::gateway::Gateway;
use crate::ids::{ExecutorId, ServiceId, ZoneKey};
use grebeusher_time::Instant;
use std::net::SocketAddr;
use std::sync::Arc;

/// An executor as the gateway sees it.
#[derive(Clone, Debug)]
pub struct ExecutorView {
    /// Its `instance_id`, for `X-Grebeusher-Target-Instance`.
    pub instance: Arc<str>,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneKey,
    /// Whether it may get requests.
    pub state: ExecutorState,
    /// Its lane, from 0 for the smallest sizes.
    pub lane: usize,
    /// This node's open attempts there.
    pub open_attempts: u32,
    /// Estimated requests of all nodes there.
    pub outstanding: f64,
    /// Whether own failures keep requests away from it now.
    pub ejected: bool,
}

/// A service as the gateway sees it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Its name.
    pub name: Arc<str>,
    /// The bounds between its lanes.
    pub cut_offs: Vec<f64>,
    /// Sizes in the sample.
    pub sample_len: usize,
    /// How long attempts last, in seconds.
    pub attempt_duration_s: f64,
    /// The estimated fraction of its slots in use.
    pub utilisation: f64,
}

impl Gateway {
    /// What is known of an executor now.
    pub fn executor_view(&self, now: Instant, id: ExecutorId) -> Option<ExecutorView> {
        let executor = self.executors.get(id)?;
        let mean_peer_load = self.services.get(executor.service)?.peer_load.estimate(now).mean;
        Some(ExecutorView {
            instance: executor.instance.clone(),
            service: executor.service,
            address: executor.address,
            zone: executor.zone,
            state: executor.state,
            lane: executor.lane,
            open_attempts: executor.own_load.attempts,
            outstanding: executor.outstanding(now, mean_peer_load),
            ejected: executor.failures.is_ejected(now),
        })
    }

    /// What is known of a service now.
    pub fn service_view(&self, now: Instant, id: ServiceId) -> Option<ServiceView> {
        let service = self.services.get(id)?;
        let mean_peer_load = service.peer_load.estimate(now).mean;
        let members = service.members.iter().filter_map(|id| self.executors.get(*id));
        let mut outstanding = 0.0;
        let mut slots = 0.0;
        for executor in members.filter(|executor| !executor.is_draining()) {
            outstanding += executor.outstanding(now, mean_peer_load);
            slots += f64::from(executor.slots);
        }
        Some(ServiceView {
            name: service.name.clone(),
            cut_offs: service.cut_offs.bounds().to_vec(),
            sample_len: service.sample.len(),
            attempt_duration_s: service.timing.attempt_duration_s(),
            utilisation: if slots > 0.0 { outstanding / slots } else { 0.0 },
        })
    }

    /// How requests were routed so far.
    pub fn decisions(&self) -> DecisionCounters {
        self.decisions
    }

    /// This node's open attempts at each executor that has any, as it reports them to the other nodes.
    pub fn outstanding(&self) -> impl Iterator<Item = (ExecutorId, u32)> {
        let executors = self.executors.iter().filter(|executor| executor.own_load.attempts > 0);
        executors.map(|executor| (executor.id, executor.own_load.attempts))
    }
}

//! Read-only views of the gateway's state, for the node and for operators.

use crate::decision::DecisionCounters;
use crate::executor::ExecutorState;
use crate::gateway::Gateway;
use crate::ids::{ExecutorId, ServiceId, ZoneKey};
use grebeusher_time::Instant;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of an executor in the gateway.
#[derive(Clone, Debug)]
pub struct ExecutorView {
    /// The executor's `instance_id`, for `X-Grebeusher-Target-Instance`.
    pub instance_id: Arc<str>,
    /// The executor's service.
    pub service: ServiceId,
    /// The address at which the executor accepts requests.
    pub address: SocketAddr,
    /// The executor's zone.
    pub zone: ZoneKey,
    /// Whether the executor may get requests, according to the registry.
    pub state: ExecutorState,
    /// The executor's lane within its service, from 0 for the smallest requests.
    pub lane: usize,
    /// The number of this node's open attempts at the executor.
    pub open_attempts: u32,
    /// The estimated number of requests that all nodes have at the executor.
    pub estimated_requests: f64,
    /// Whether the executor is ejected at the moment, because of faults that this node observed.
    pub is_ejected: bool,
}

/// The state of a service in the gateway.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The name of the service.
    pub name: Arc<str>,
    /// The request sizes at the bounds between the lanes, in prompt tokens.
    pub cut_offs: Vec<f64>,
    /// The number of requests in the sample from which the cut-offs are computed.
    pub sample_len: usize,
    /// The mean duration of attempts that were served, in seconds.
    pub attempt_duration_s: f64,
    /// The estimated number of requests of all nodes, divided by the number of slots. Draining executors are left out.
    pub utilisation: f64,
}

impl Gateway {
    /// The state of an executor. `None` if it was removed.
    pub fn executor_view(&self, now: Instant, id: ExecutorId) -> Option<ExecutorView> {
        let executor = self.executors.get(id)?;
        let mean_peer_load = self.services.get(executor.service)?.peer_load.estimate(now).mean;
        Some(ExecutorView {
            instance_id: executor.instance_id.clone(),
            service: executor.service,
            address: executor.address,
            zone: executor.zone,
            state: executor.state,
            lane: executor.lane,
            open_attempts: executor.own_load.attempts,
            estimated_requests: executor.estimated_requests(now, mean_peer_load),
            is_ejected: executor.failures.is_ejected(now),
        })
    }

    /// The state of a service.
    pub fn service_view(&self, now: Instant, id: ServiceId) -> Option<ServiceView> {
        let service = self.services.get(id)?;
        let mean_peer_load = service.peer_load.estimate(now).mean;
        let members = service.members.iter().filter_map(|id| self.executors.get(*id));
        let mut estimated_requests = 0.0;
        let mut slots = 0.0;
        for executor in members.filter(|executor| !executor.is_draining()) {
            estimated_requests += executor.estimated_requests(now, mean_peer_load);
            slots += f64::from(executor.slots);
        }
        Some(ServiceView {
            name: service.name.clone(),
            cut_offs: service.cut_offs.bounds().to_vec(),
            sample_len: service.sample.len(),
            attempt_duration_s: service.timing.attempt_duration_s(),
            utilisation: if slots > 0.0 { estimated_requests / slots } else { 0.0 },
        })
    }

    /// The numbers of routing decisions since the start of the process.
    pub fn decision_counters(&self) -> DecisionCounters {
        self.decisions
    }

    /// The number of this node's open attempts at each executor that has any. They are meant to be reported to the
    /// other nodes, whose gateways take the sums over the nodes by [`Gateway::observe_peer_load`].
    pub fn open_attempts(&self) -> impl Iterator<Item = (ExecutorId, u32)> {
        let executors = self.executors.iter().filter(|executor| executor.own_load.attempts > 0);
        executors.map(|executor| (executor.id, executor.own_load.attempts))
    }
}

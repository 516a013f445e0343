//! The state of one executor: its description by the registry, and what this node's own requests show of it.

use crate::event_delays::{EventGapRatio, FirstEventDelay};
use crate::failure_accrual::FailureAccrual;
use crate::headers::ServerLoad;
use crate::ids::{ExecutorId, ModelKey, ServiceId, ZoneKey};
use crate::own_load::OwnLoad;
use crate::peer_load::PeerLoadReport;
use crate::prefix_cache::PrefixCacheModel;
use grebeusher_time::Instant;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether an executor accepts requests, according to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorState {
    /// The executor sends heartbeats and accepts requests.
    Ready,
    /// The executor's heartbeats are missing. It gets a request only when no other executor can run it.
    Unresponsive,
    /// The executor announced its shutdown and gets no further requests.
    Draining,
}

/// An executor as the registry describes it.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorDescriptor<'a> {
    /// The executor's `instance_id`, which is new with every start of its process.
    pub instance_id: &'a str,
    /// The name of the executor's service.
    pub service: &'a str,
    /// The address at which the executor accepts requests.
    pub address: SocketAddr,
    /// The executor's zone.
    pub zone: ZoneKey,
    /// The number of requests that the executor runs concurrently. 0 counts as 1.
    pub slots: u32,
    /// Whether the executor may get requests.
    pub state: ExecutorState,
    /// The models that the executor has loaded. An executor that names no models accepts requests for any.
    pub models: &'a [ModelKey],
}

/// Whether the lanes of a service are still valid after an update of one of its executors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LaneEffect {
    /// The update did not change what the lanes are computed from.
    Unchanged,
    /// The lanes have to be computed again.
    Stale,
}

/// An executor in the table of executors.
pub(crate) struct Executor {
    pub id: ExecutorId,
    /// The executor's `instance_id`.
    pub instance_id: Arc<str>,
    /// The hash of the executor's `instance_id`, which is the same on every node.
    pub instance_hash: u64,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneKey,
    /// The number of requests that the executor runs concurrently, at least 1.
    pub slots: u32,
    pub state: ExecutorState,
    /// The models that the executor has loaded. When empty, it accepts requests for any model.
    pub models: Vec<ModelKey>,
    /// The executor's lane within its service, from 0 for the smallest requests.
    pub lane: usize,
    pub failures: FailureAccrual,
    pub prefix_cache: PrefixCacheModel,
    pub own_load: OwnLoad,
    /// The latest report of the requests that other nodes have at the executor.
    peer_load: Option<PeerLoadReport>,
    pub event_gap_ratio: EventGapRatio,
    pub first_event_delay: FirstEventDelay,
    /// When this node last received anything from the executor.
    pub last_received_at: Instant,
}

impl Executor {
    pub fn new(id: ExecutorId, service: ServiceId, descriptor: &ExecutorDescriptor<'_>) -> Executor {
        Executor {
            id,
            instance_id: Arc::from(descriptor.instance_id),
            instance_hash: grebeusher_sizing::fixed_hash(descriptor.instance_id),
            service,
            address: descriptor.address,
            zone: descriptor.zone,
            slots: descriptor.slots.max(1),
            state: descriptor.state,
            models: descriptor.models.to_vec(),
            lane: 0,
            failures: FailureAccrual::default(),
            prefix_cache: PrefixCacheModel::default(),
            own_load: OwnLoad::default(),
            peer_load: None,
            event_gap_ratio: EventGapRatio::default(),
            first_event_delay: FirstEventDelay::default(),
            last_received_at: Instant(0),
        }
    }

    /// Updates the executor to a new description of the same instance and service.
    pub fn update(&mut self, descriptor: &ExecutorDescriptor<'_>) -> LaneEffect {
        let lane_inputs_before = (self.slots, self.is_draining());
        self.address = descriptor.address;
        self.zone = descriptor.zone;
        self.slots = descriptor.slots.max(1);
        self.state = descriptor.state;
        if self.models != descriptor.models {
            self.models = descriptor.models.to_vec();
        }
        if lane_inputs_before == (self.slots, self.is_draining()) {
            LaneEffect::Unchanged
        } else {
            LaneEffect::Stale
        }
    }

    pub fn is_draining(&self) -> bool {
        self.state == ExecutorState::Draining
    }

    /// Whether the executor has loaded the model that a request names, if it names one.
    pub fn has_model(&self, model: Option<ModelKey>) -> bool {
        self.models.is_empty() || model.is_none_or(|model| self.models.contains(&model))
    }

    /// Records a load report of the executor. Returns how many requests other nodes have there, per slot.
    pub fn observe_load(&mut self, now: Instant, load: ServerLoad) -> f64 {
        self.last_received_at = now;
        let requests_of_all_nodes = f64::from(load.running) + f64::from(load.waiting);
        let requests = (requests_of_all_nodes - f64::from(self.own_load.attempts)).max(0.0);
        self.peer_load = Some(PeerLoadReport { at: now, requests });
        requests / f64::from(self.slots)
    }

    /// Records how many requests the other nodes together have at the executor, by their own reports.
    pub fn observe_peer_load(&mut self, now: Instant, requests: f64) {
        let requests = if requests.is_finite() { requests.max(0.0) } else { 0.0 };
        self.peer_load = Some(PeerLoadReport { at: now, requests });
    }

    /// The estimated number of requests that other nodes have at the executor. As the latest report ages, the estimate
    /// moves from the report to the mean of the service, which is `mean_per_slot` requests for each slot.
    pub fn peer_requests(&self, now: Instant, mean_per_slot: f64) -> f64 {
        let mean = mean_per_slot * f64::from(self.slots);
        self.peer_load.map_or(mean, |report| report.blended_with_mean(mean, now))
    }

    /// The estimated number of requests that all nodes have at the executor.
    pub fn estimated_requests(&self, now: Instant, mean_per_slot: f64) -> f64 {
        f64::from(self.own_load.attempts) + self.peer_requests(now, mean_per_slot)
    }

    /// Whether the load of the executor is known from open attempts of this node or from a recent report.
    pub fn has_load_estimate(&self, now: Instant) -> bool {
        self.own_load.attempts > 0 || self.peer_load.is_some_and(|report| report.is_fresh(now))
    }
}

//! One executor: what the registry says of it, and what this node's own requests show.

use crate::failure_accrual::FailureAccrual;
use crate::headers::ServerLoad;
use crate::ids::{ExecutorId, ModelKey, ServiceId, ZoneKey};
use crate::own_load::OwnLoad;
use crate::pace::{EventPace, FirstEventDelay};
use crate::peer_load::PeerLoadReport;
use crate::prefix_cache::PrefixCacheModel;
use grebeusher_time::Instant;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether an executor takes requests, by the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorState {
    /// Its heartbeats come and it takes requests.
    Ready,
    /// Its heartbeats are missing. It gets requests only where no other executor can take them.
    Unresponsive,
    /// It announced its shutdown. It gets no further request.
    Draining,
}

/// An executor as the registry describes it.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorDescriptor<'a> {
    /// Its `instance_id`: every start has a new one.
    pub instance: &'a str,
    /// The name of its service.
    pub service: &'a str,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneKey,
    /// Requests that it runs concurrently; 0 counts as 1.
    pub slots: u32,
    /// Whether it may get requests.
    pub state: ExecutorState,
    /// The models that it has loaded. Any request may go to one that names none.
    pub models: &'a [ModelKey],
}

/// Whether an update of an executor may have changed the lanes of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LaneEffect {
    Unchanged,
    Stale,
}

/// An executor in the table.
pub(crate) struct Executor {
    pub id: ExecutorId,
    pub instance: Arc<str>,
    /// Of its `instance_id`, the same on every node.
    pub hash: u64,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneKey,
    /// At least 1.
    pub slots: u32,
    pub state: ExecutorState,
    pub models: Vec<ModelKey>,
    pub lane: usize,
    pub failures: FailureAccrual,
    pub prefix_cache: PrefixCacheModel,
    pub own_load: OwnLoad,
    peer_load: Option<PeerLoadReport>,
    pub pace: EventPace,
    pub first_event_delay: FirstEventDelay,
    /// When anything came from it last.
    pub last_received: Instant,
}

impl Executor {
    pub fn new(id: ExecutorId, service: ServiceId, descriptor: &ExecutorDescriptor<'_>) -> Executor {
        Executor {
            id,
            instance: Arc::from(descriptor.instance),
            hash: grebeusher_sizing::fixed_hash(descriptor.instance),
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
            pace: EventPace::default(),
            first_event_delay: FirstEventDelay::default(),
            last_received: Instant(0),
        }
    }

    /// Takes over what changed.
    pub fn update(&mut self, descriptor: &ExecutorDescriptor<'_>) -> LaneEffect {
        let before = (self.slots, self.is_draining());
        self.address = descriptor.address;
        self.zone = descriptor.zone;
        self.slots = descriptor.slots.max(1);
        self.state = descriptor.state;
        if self.models != descriptor.models {
            self.models = descriptor.models.to_vec();
        }
        if before == (self.slots, self.is_draining()) { LaneEffect::Unchanged } else { LaneEffect::Stale }
    }

    pub fn is_draining(&self) -> bool {
        self.state == ExecutorState::Draining
    }

    /// Whether it has the model that a request names.
    pub fn has_model(&self, model: Option<ModelKey>) -> bool {
        self.models.is_empty() || model.is_none_or(|model| self.models.contains(&model))
    }

    /// It reported its load. Returns the requests of other nodes there, per slot.
    pub fn observe_load(&mut self, now: Instant, load: ServerLoad) -> f64 {
        self.last_received = now;
        let all = f64::from(load.running) + f64::from(load.waiting);
        let requests = (all - f64::from(self.own_load.attempts)).max(0.0);
        self.peer_load = Some(PeerLoadReport { at: now, requests });
        requests / f64::from(self.slots)
    }

    /// The other nodes reported how many requests they have there, all together.
    pub fn observe_peer_load(&mut self, now: Instant, requests: f64) {
        let requests = if requests.is_finite() { requests.max(0.0) } else { 0.0 };
        self.peer_load = Some(PeerLoadReport { at: now, requests });
    }

    /// Requests of other nodes there: the last report, fading into the service's mean (`mean_per_slot`).
    pub fn peer_requests(&self, now: Instant, mean_per_slot: f64) -> f64 {
        let mean = mean_per_slot * f64::from(self.slots);
        self.peer_load.map_or(mean, |report| report.faded_into(mean, now))
    }

    /// Requests of all nodes there.
    pub fn outstanding(&self, now: Instant, mean_per_slot: f64) -> f64 {
        f64::from(self.own_load.attempts) + self.peer_requests(now, mean_per_slot)
    }

    /// Whether anything recent is known of its load.
    pub fn has_load_estimate(&self, now: Instant) -> bool {
        self.own_load.attempts > 0 || self.peer_load.is_some_and(|report| report.is_fresh(now))
    }
}

//! The executors that could take one request, each with its load at this moment.

use crate::config::GatewayConfig;
use crate::executor::{Executor, ExecutorState};
use crate::ids::{ExecutorId, ZoneKey};
use crate::request::Request;
use crate::service::Service;
use grebeusher_time::Instant;

/// Pace alone never makes an executor look more than full.
const MAX_PACE_PENALTY: f64 = 0.9;

/// An executor that could take the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub id: ExecutorId,
    /// The executor's hash, for the rendezvous order.
    pub hash: u64,
    /// Whether it is in the lane of the request's size.
    pub in_lane: bool,
    /// Neither unresponsive nor ejected.
    pub healthy: bool,
    /// Reachable, with a free slot and free memory.
    pub has_capacity: bool,
    /// This node has connections left there, and it did not just answer that it is full.
    pub reachable: bool,
    /// Its KV memory has space for the request's tokens.
    pub fits_memory: bool,
    /// 1 when full, more when requests wait there.
    pub utilisation: f64,
    /// The occupied fraction of its slots, 1 at most.
    pub occupancy: f64,
    /// Whether the utilisation rests on a report or on own attempts.
    pub has_load_estimate: bool,
    /// The expected wait in its queue.
    pub queue_wait_s: f64,
    /// This node's prompt tokens that wait for prefill there.
    pub pending_prefill: u64,
    /// By how much its first events come later than usual.
    pub first_event_delay_s: f64,
    /// Its weight in the pick beside utilisation.
    pub weight: f64,
}

/// What the candidates of one request have in common.
pub(crate) struct CandidateContext<'a> {
    now: Instant,
    service: &'a Service,
    config: &'a GatewayConfig,
    zone: ZoneKey,
    request: &'a Request<'a>,
    /// The lane of the request's size.
    lane: usize,
    /// Connections that this node may have to one executor.
    max_connections: u32,
    /// The service's mean of other nodes' requests per slot.
    mean_peer_load: f64,
    /// Prompt and output tokens of the request.
    tokens: f64,
}

impl<'a> CandidateContext<'a> {
    pub fn new(
        now: Instant,
        service: &'a Service,
        config: &'a GatewayConfig,
        node: NodePosition,
        request: &'a Request<'a>,
    ) -> CandidateContext<'a> {
        let max_connections = match service.settings.max_connections {
            0 => u32::MAX,
            all => (all / node.nodes).max(1),
        };
        CandidateContext {
            now,
            service,
            config,
            zone: node.zone,
            request,
            lane: service.cut_offs.lane_of(request.size(service.median_size)),
            max_connections,
            mean_peer_load: service.peer_load.estimate(now).mean,
            tokens: request.tokens.map_or(0.0, |t| f64::from(t.prompt) + f64::from(t.output)),
        }
    }

    /// Whether the executor could ever take the request.
    pub fn is_eligible(&self, executor: &Executor) -> bool {
        !executor.is_draining()
            && executor.has_model(self.request.model)
            && !self.request.excluded.contains(&executor.id)
    }

    /// The executor as a candidate.
    pub fn candidate(&self, executor: &Executor) -> Candidate {
        let now = self.now;
        let slots = f64::from(executor.slots);
        let peer_requests = executor.peer_requests(now, self.mean_peer_load);
        let outstanding = f64::from(executor.own_load.attempts) + peer_requests;
        let memory = self.memory(executor, peer_requests);
        let reachable =
            executor.own_load.attempts < self.max_connections && !executor.failures.is_overloaded(now);
        Candidate {
            id: executor.id,
            hash: executor.hash,
            in_lane: self.service.has_one_lane() || executor.lane == self.lane,
            healthy: executor.state == ExecutorState::Ready && !executor.failures.is_ejected(now),
            has_capacity: reachable && memory.fits && outstanding + 1.0 <= slots,
            reachable,
            fits_memory: memory.fits,
            utilisation: (outstanding / slots).max(memory.utilisation)
                + self.prefill_utilisation(executor)
                + self.pace_penalty(executor),
            occupancy: (outstanding / slots).min(1.0),
            has_load_estimate: executor.has_load_estimate(now),
            queue_wait_s: (outstanding + 1.0 - slots).max(0.0) * self.service.timing.attempt_duration_s()
                / slots,
            pending_prefill: executor.own_load.pending_prefill,
            first_event_delay_s: executor.first_event_delay.seconds(now),
            weight: if executor.zone == self.zone { self.config.same_zone_weight } else { 1.0 },
        }
    }

    fn memory(&self, executor: &Executor, peer_requests: f64) -> MemoryEstimate {
        let capacity = self.service.settings.kv_capacity_tokens as f64;
        if capacity == 0.0 {
            return MemoryEstimate { fits: true, utilisation: 0.0 };
        }
        let used =
            executor.own_load.reserved_tokens as f64 + peer_requests * self.service.mean_request_tokens;
        // A request larger than all memory is for the executor to reject.
        let fits = self.tokens > capacity || used + self.tokens <= capacity;
        MemoryEstimate { fits, utilisation: used / capacity }
    }

    fn prefill_utilisation(&self, executor: &Executor) -> f64 {
        executor.own_load.pending_prefill as f64 / self.config.prefill_tokens_when_full as f64
    }

    fn pace_penalty(&self, executor: &Executor) -> f64 {
        (executor.pace.slowness(self.now) * self.config.slow_pace_penalty).min(MAX_PACE_PENALTY)
    }
}

/// Where this node stands among the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodePosition {
    pub zone: ZoneKey,
    /// How many nodes share the executors' connections, at least 1.
    pub nodes: u32,
}

struct MemoryEstimate {
    fits: bool,
    utilisation: f64,
}

//! The candidates of one request: the executors that could run it, each with its estimated load at this moment.

use crate::config::GatewayConfig;
use crate::executor::{Executor, ExecutorState};
use crate::ids::{ExecutorId, ZoneKey};
use crate::request::Request;
use crate::service::Service;
use grebeusher_time::Instant;

/// The most that slow events add to an executor's utilisation. It is below 1, so that slow events alone never make an
/// executor appear full.
const MAX_SLOW_EVENTS_PENALTY: f64 = 0.9;

/// An executor that could run the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub id: ExecutorId,
    /// The hash of the executor's `instance_id`, for the rendezvous order.
    pub instance_hash: u64,
    /// Whether the executor belongs to the lane of the request's size.
    pub in_lane: bool,
    /// Whether the executor is neither unresponsive nor ejected.
    pub healthy: bool,
    /// Whether the executor is reachable and has a free slot and enough free KV memory.
    pub has_capacity: bool,
    /// Whether this node may open a further connection to the executor, and the executor has not just rejected a
    /// request because it was full.
    pub reachable: bool,
    /// Whether the executor's KV memory has space for the request's tokens.
    pub fits_memory: bool,
    /// The estimated utilisation of the executor: 1 when it is full, more when requests wait there.
    pub utilisation: f64,
    /// The occupied fraction of the executor's slots, at most 1.
    pub occupancy: f64,
    /// Whether the utilisation is based on a recent load report or on attempts of this node.
    pub has_load_estimate: bool,
    /// The expected wait in the executor's queue, in seconds.
    pub queue_wait_s: f64,
    /// The number of prompt tokens that this node has sent to the executor and that wait for prefill there.
    pub pending_prefill_tokens: u64,
    /// By how many seconds the executor's first events have been later than usual recently.
    pub first_event_delay_s: f64,
    /// The factor by which the zone of the executor changes its weight in the weighted pick.
    pub weight_factor: f64,
}

/// The values that all candidates of one request have in common.
pub(crate) struct CandidateContext<'a> {
    now: Instant,
    service: &'a Service,
    config: &'a GatewayConfig,
    zone: ZoneKey,
    request: &'a Request<'a>,
    /// The lane of the request's size.
    request_lane: usize,
    /// The most connections that this node may have to one executor.
    max_connections: u32,
    /// The mean number of requests of other nodes per slot, over the executors of the service.
    mean_peer_load: f64,
    /// The prompt and output tokens of the request together.
    request_tokens: f64,
}

impl<'a> CandidateContext<'a> {
    pub fn new(
        now: Instant,
        service: &'a Service,
        config: &'a GatewayConfig,
        node: NodeContext,
        request: &'a Request<'a>,
    ) -> CandidateContext<'a> {
        let max_connections = match service.settings.max_connections {
            0 => u32::MAX,
            of_all_nodes => (of_all_nodes / node.node_count).max(1),
        };
        CandidateContext {
            now,
            service,
            config,
            zone: node.zone,
            request,
            request_lane: service.cut_offs.lane_of(request.size(service.median_size)),
            max_connections,
            mean_peer_load: service.peer_load.estimate(now).mean,
            request_tokens: request.token_count.map_or(0.0, |t| f64::from(t.prompt) + f64::from(t.output)),
        }
    }

    /// Whether the executor may run the request at all, whatever its load.
    pub fn is_eligible(&self, executor: &Executor) -> bool {
        !executor.is_draining()
            && executor.has_model(self.request.model)
            && !self.request.excluded_executors.contains(&executor.id)
    }

    /// The executor as a candidate for the request.
    pub fn candidate(&self, executor: &Executor) -> Candidate {
        let now = self.now;
        let slots = f64::from(executor.slots);
        let peer_requests = executor.peer_requests(now, self.mean_peer_load);
        let outstanding = f64::from(executor.own_load.attempts) + peer_requests;
        let memory = self.estimate_memory(executor, peer_requests);
        let reachable =
            executor.own_load.attempts < self.max_connections && !executor.failures.is_overloaded(now);
        Candidate {
            id: executor.id,
            instance_hash: executor.instance_hash,
            in_lane: self.service.has_one_lane() || executor.lane == self.request_lane,
            healthy: executor.state == ExecutorState::Ready && !executor.failures.is_ejected(now),
            has_capacity: reachable && memory.fits && outstanding + 1.0 <= slots,
            reachable,
            fits_memory: memory.fits,
            utilisation: (outstanding / slots).max(memory.utilisation)
                + self.prefill_utilisation(executor)
                + self.slow_events_penalty(executor),
            occupancy: (outstanding / slots).min(1.0),
            has_load_estimate: executor.has_load_estimate(now),
            queue_wait_s: (outstanding + 1.0 - slots).max(0.0) * self.service.timing.attempt_duration_s()
                / slots,
            pending_prefill_tokens: executor.own_load.pending_prefill_tokens,
            first_event_delay_s: executor.first_event_delay.seconds(now),
            weight_factor: if executor.zone == self.zone { self.config.same_zone_weight } else { 1.0 },
        }
    }

    /// Estimates the use of the executor's KV memory.
    fn estimate_memory(&self, executor: &Executor, peer_requests: f64) -> MemoryEstimate {
        let capacity_tokens = self.service.settings.kv_capacity_tokens as f64;
        if capacity_tokens == 0.0 {
            return MemoryEstimate { fits: true, utilisation: 0.0 };
        }
        let used_tokens =
            executor.own_load.reserved_tokens as f64 + peer_requests * self.service.mean_request_tokens;
        // A request that is larger than the whole memory is sent anyway, and the executor rejects it.
        let fits =
            self.request_tokens > capacity_tokens || used_tokens + self.request_tokens <= capacity_tokens;
        MemoryEstimate { fits, utilisation: used_tokens / capacity_tokens }
    }

    /// What the prompt tokens that wait for prefill add to the executor's utilisation.
    fn prefill_utilisation(&self, executor: &Executor) -> f64 {
        executor.own_load.pending_prefill_tokens as f64 / self.config.prefill_tokens_when_full as f64
    }

    /// What the slowness of the executor's events adds to its utilisation.
    fn slow_events_penalty(&self, executor: &Executor) -> f64 {
        (executor.event_gap_ratio.excess(self.now) * self.config.slow_events_penalty)
            .min(MAX_SLOW_EVENTS_PENALTY)
    }
}

/// The zone of this node, and the number of nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeContext {
    pub zone: ZoneKey,
    /// The number of nodes among which the connections of an executor are divided, at least 1.
    pub node_count: u32,
}

/// The estimated use of an executor's KV memory.
struct MemoryEstimate {
    /// Whether the request fits into the free part.
    fits: bool,
    /// The used fraction.
    utilisation: f64,
}

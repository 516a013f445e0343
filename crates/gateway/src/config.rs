//! The tunable parameters of routing. The defaults were tuned by the simulation in `tests/`.

use grebeusher_time::Duration;

/// The cost of one output token, in prompt tokens: at a full batch of some twenty requests a decode step of two
/// milliseconds makes one token for each, and prefill reads over a hundred prompt tokens in a millisecond.
pub const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 10;

/// The most lanes of a service.
pub const MAX_LANES: usize = 4;

/// Bounds of the capacity that batch items leave free for live requests, as fractions of an executor's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchReserve {
    /// The reserve while the load of other nodes is even.
    pub min: f64,
    /// The reserve however uneven the load of other nodes is.
    pub max: f64,
}

/// Parameters of routing, admission and prefix affinity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Relative number of a service's executors in each lane, the lane of the smallest sizes first. Lanes with a
    /// share of 0 are left out.
    pub lane_shares: [f64; MAX_LANES],
    /// Number of the latest request sizes that the cut-offs are computed from.
    pub sample_size: usize,
    /// Below so many sampled sizes one lane holds every executor.
    pub min_sample: usize,
    /// How often the cut-offs are computed.
    pub recompute_interval: Duration,
    /// Shared prompt tokens from which on a request has prefix affinity. Reading fewer again costs less than the
    /// uneven load that affinity brings.
    pub min_prefix_tokens: u32,
    /// Utilisation from which on an executor gets no request by affinity.
    pub max_home_utilisation: f64,
    /// The longest wait at a home, as a multiple of the time that prefill of the shared prefix takes elsewhere. The
    /// wait counts the queue, this node's pending prefill and the recent delay of first events.
    pub max_home_wait_ratio: f64,
    /// Fraction of an executor's prefill throughput that one prefix may use. A prefix with more demand gets
    /// proportionally more homes.
    pub home_prefill_share: f64,
    /// How many executors of the rendezvous order are considered as homes of a prefix with ordinary demand.
    pub home_candidates: usize,
    /// Whether the nodes share one estimate of prefix popularity. When off, each judges by its own requests.
    /// Off by default: at lipa-katalog-grown batch items came later with it, whatever the seed.
    pub share_prefix_popularity: bool,
    /// Pending prompt tokens of this node that make an executor as good as full in the weighted pick.
    pub prefill_tokens_when_full: u64,
    /// Utilisation added for each multiple by which an executor's events come slower than its service's mean: it is
    /// busy with prefill of long prompts, of whichever node.
    pub slow_pace_penalty: f64,
    /// Weight of an executor of the node's own zone in the weighted pick; other zones have 1. Traffic between zones
    /// is priced.
    pub same_zone_weight: f64,
    /// Whether a request with affinity may queue at its homes only. Prefill elsewhere would delay all that wait there.
    pub queue_at_home_only: bool,
    /// Fraction of the time left to the latency objective that a request may wait in an executor's queue.
    pub max_queue_share: f64,
    /// Capacity that batch items leave free for live requests.
    pub batch_reserve: BatchReserve,
    /// Pending prompt tokens of batch items at one executor from which on it gets no further item. Prefill between
    /// the decode steps of live requests slows these down.
    pub max_batch_prefill_tokens: u64,
}

impl GatewayConfig {
    /// The shares of the lanes in use; a single lane where none is valid.
    pub(crate) fn active_lane_shares(&self) -> Vec<f64> {
        let is_active = |share: &f64| share.is_finite() && *share > 0.0;
        let shares: Vec<f64> = self.lane_shares.iter().copied().filter(is_active).collect();
        if shares.is_empty() { vec![1.0] } else { shares }
    }
}

impl Default for GatewayConfig {
    fn default() -> GatewayConfig {
        GatewayConfig {
            lane_shares: [1.0, 3.0, 0.0, 0.0],
            sample_size: 1000,
            min_sample: 50,
            recompute_interval: Duration::from_millis(5000),
            min_prefix_tokens: 1024,
            max_home_utilisation: 2.0,
            max_home_wait_ratio: 1.5,
            home_prefill_share: 0.2,
            home_candidates: 2,
            share_prefix_popularity: false,
            prefill_tokens_when_full: 48_000,
            slow_pace_penalty: 0.25,
            same_zone_weight: 2.0,
            queue_at_home_only: true,
            max_queue_share: 0.4,
            batch_reserve: BatchReserve { min: 0.125, max: 0.5 },
            max_batch_prefill_tokens: 2_000,
        }
    }
}

//! The parameters of routing, with their defaults.

use grebeusher_time::Duration;

/// The cost of one output token, in prompt tokens. With a full batch of about twenty requests, a decode step takes 2 ms
/// and yields one token for each request; in 1 ms, prefill processes more than a hundred prompt tokens.
pub const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 10;

/// The greatest number of lanes that a service can have.
pub const MAX_LANES: usize = 4;

/// The bounds of the reserve that batch items leave free for live requests, as fractions of an executor's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchReserve {
    /// The least reserve, which applies while the load reports of the executors are alike.
    pub min: f64,
    /// The greatest reserve, however much the load reports of the executors differ.
    pub max: f64,
}

/// Parameters of routing, admission and prefix affinity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayConfig {
    /// The relative numbers of a service's executors in its lanes, beginning with the lane of the smallest requests.
    /// Lanes with a share of 0 are left out.
    pub lane_shares: [f64; MAX_LANES],
    /// The number of the latest requests whose sizes determine the cut-offs.
    pub sample_size: usize,
    /// The least number of sampled sizes for which cut-offs are computed. With fewer, all executors form one lane.
    pub min_sample_size: usize,
    /// The interval at which the cut-offs are computed.
    pub recompute_interval: Duration,
    /// The least number of shared prompt tokens for which a request has prefix affinity. A repeated prefill of fewer
    /// tokens costs less than the uneven load that affinity causes.
    pub min_prefix_tokens: u32,
    /// The utilisation at which an executor no longer gets requests by affinity.
    pub max_home_utilisation: f64,
    /// The longest wait at a home, as a multiple of the duration of a prefill of the shared prefix elsewhere. The wait
    /// includes the queue, this node's pending prefill and the recent delay of first events.
    pub max_home_wait_ratio: f64,
    /// The fraction of an executor's prefill throughput that one prefix may use. A prefix with more demand gets
    /// proportionally more homes.
    pub home_prefill_share: f64,
    /// The number of executors in rendezvous order from which the home of a prefix with ordinary demand is taken. When
    /// the nodes share a popularity estimate, it is the number of executors after the homes that are tried if no home
    /// is usable.
    pub home_candidates: usize,
    /// Whether the nodes share one estimate of prefix popularity. Otherwise each node estimates the demand from its own
    /// requests. It is off by default: in the scenario `lipa-katalog-grown`, batch items were later with it, whatever
    /// the seed.
    pub share_prefix_popularity: bool,
    /// The number of prompt tokens of this node that add 1 to the utilisation of an executor while they wait for
    /// prefill there.
    pub prefill_tokens_when_full: u64,
    /// What is added to the utilisation of an executor whose gaps between events are twice the mean gap of its service;
    /// for longer or shorter gaps it is proportional to the excess over the mean. Such an executor is busy with the
    /// prefill of long prompts, from this node or from others.
    pub slow_events_penalty: f64,
    /// The weight factor of an executor in the node's own zone in the weighted pick; it is 1 in other zones. Traffic
    /// between zones costs money.
    pub same_zone_weight: f64,
    /// Whether a request with affinity may queue only at executors that affinity selects. At others, the prefill of its
    /// long prompt would delay all requests that wait there.
    pub queue_at_home_only: bool,
    /// The fraction of the time left until the latency objective that a request may spend in an executor's queue.
    pub max_queue_share: f64,
    /// The capacity that batch items leave free for live requests.
    pub batch_reserve: BatchReserve,
    /// An executor gets no further batch item while this many prompt tokens of this node's batch items wait for prefill
    /// there. Prefill between the decode steps of live requests slows these down.
    pub max_batch_prefill_tokens: u64,
}

impl GatewayConfig {
    /// The shares of the lanes in use. When no share is valid, there is a single lane.
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
            min_sample_size: 50,
            recompute_interval: Duration::from_millis(5000),
            min_prefix_tokens: 1024,
            max_home_utilisation: 2.0,
            max_home_wait_ratio: 1.5,
            home_prefill_share: 0.2,
            home_candidates: 2,
            share_prefix_popularity: false,
            prefill_tokens_when_full: 48_000,
            slow_events_penalty: 0.25,
            same_zone_weight: 2.0,
            queue_at_home_only: true,
            max_queue_share: 0.4,
            batch_reserve: BatchReserve { min: 0.125, max: 0.5 },
            max_batch_prefill_tokens: 2_000,
        }
    }
}

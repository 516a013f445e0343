//! The state of one service: its executors, its lanes and cut-offs, and the timing of its requests.

use crate::config::GatewayConfig;
use crate::ids::ExecutorId;
use crate::peer_load::PeerLoadMean;
use crate::service_timing::ServiceTiming;
use grebeusher_sizing::{CutOffs, Sample};
use grebeusher_time::Instant;
use std::sync::Arc;

/// The settings of a service in the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The number of connections that each executor accepts from all callers together. 0 means that no limit is known.
    pub max_connections: u32,
    /// The number of tokens for which each executor has KV memory. 0 means that the executors do not run a model and
    /// cache nothing.
    pub kv_capacity_tokens: u64,
}

/// The size, in prompt tokens, of a request that does not state its size while the sample is empty.
const DEFAULT_SIZE: f64 = 1.0;
/// The weight of the newest request in the exponentially weighted mean of tokens, which spans about twenty requests.
const NEWEST_WEIGHT: f64 = 0.05;

/// A service, with the keys of its executors.
pub(crate) struct Service {
    pub name: Arc<str>,
    /// The hash of the service's name, which is the same on every node.
    pub name_hash: u64,
    pub settings: ServiceSettings,
    /// The keys of the service's executors. Each executor is in the table of executors.
    pub members: Vec<ExecutorId>,
    /// Whether executors were added, removed or changed since the lanes were computed.
    pub are_lanes_stale: bool,
    /// The number of slots of all executors of each lane.
    pub lane_slots: Vec<f64>,
    pub sample: Sample,
    pub cut_offs: CutOffs,
    /// When the cut-offs were last computed.
    recomputed_at: Instant,
    /// The median of the sampled sizes, in prompt tokens. It is the assumed size of a request that does not state its
    /// size.
    pub median_size: f64,
    pub timing: ServiceTiming,
    /// The mean number of prompt and output tokens of a request, which it has in KV memory at its end. It is 0 until a
    /// request with a known size was sent.
    pub mean_request_tokens: f64,
    pub peer_load: PeerLoadMean,
    /// The most urgent priority level of the requests sent so far. 0 is the most urgent of all.
    pub top_priority: u8,
}

impl Service {
    pub fn new(name: &str, config: &GatewayConfig) -> Service {
        Service {
            name: Arc::from(name),
            name_hash: grebeusher_sizing::fixed_hash(name),
            settings: ServiceSettings::default(),
            members: Vec::new(),
            are_lanes_stale: true,
            lane_slots: Vec::new(),
            sample: Sample::new(config.sample_size),
            cut_offs: CutOffs::one_lane(),
            recomputed_at: Instant(0),
            median_size: DEFAULT_SIZE,
            timing: ServiceTiming::default(),
            mean_request_tokens: 0.0,
            peer_load: PeerLoadMean::default(),
            top_priority: u8::MAX,
        }
    }

    /// Whether all executors are in one lane.
    pub fn has_one_lane(&self) -> bool {
        self.cut_offs.lane_count() == 1
    }

    /// Adds a request to the sample. `size` and `work` are in prompt tokens; `tokens` is the number of its prompt and
    /// output tokens.
    pub fn observe_request(
        &mut self,
        now: Instant,
        size: f64,
        work: f64,
        tokens: f64,
        config: &GatewayConfig,
    ) {
        if !self.sample.observe(size, work) {
            return;
        }
        let weight = if self.mean_request_tokens == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        self.mean_request_tokens += (tokens - self.mean_request_tokens) * weight;
        if self.sample.len() == config.min_sample_size {
            self.recompute(now, config);
        }
    }

    /// Computes the cut-offs if [`GatewayConfig::recompute_interval`] has passed since the last time.
    pub fn recompute_if_due(&mut self, now: Instant, config: &GatewayConfig) {
        if now.since(self.recomputed_at) >= config.recompute_interval {
            self.recompute(now, config);
        }
    }

    /// Computes the cut-offs and the median size from the sample.
    pub fn recompute(&mut self, now: Instant, config: &GatewayConfig) {
        self.recomputed_at = now;
        self.cut_offs = CutOffs::equalising(&self.sample, &self.lane_slots, config.min_sample_size);
        self.median_size = self.sample.median().unwrap_or(DEFAULT_SIZE);
    }
}

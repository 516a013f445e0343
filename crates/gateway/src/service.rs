//! One service: its executors, its lanes and cut-offs, and the timing of its requests.

use crate::config::GatewayConfig;
use crate::ids::ExecutorId;
use crate::peer_load::PeerLoadMean;
use crate::timing::ServiceTiming;
use grebeusher_sizing::{CutOffs, Sample};
use grebeusher_time::Instant;
use std::sync::Arc;

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Connections that each executor accepts from all callers together; 0: no bound is known.
    pub max_connections: u32,
    /// Tokens for which each executor has KV memory; 0: it caches none, as it does not run a model.
    pub kv_capacity_tokens: u64,
}

/// The size of a request without a hint while the sample is empty.
const DEFAULT_SIZE: f64 = 1.0;
/// The weight of the newest request in the mean of tokens: some twenty requests count.
const NEWEST_WEIGHT: f64 = 0.05;

/// A service with its executors.
pub(crate) struct Service {
    pub name: Arc<str>,
    /// Of its name, the same on every node.
    pub hash: u64,
    pub settings: ServiceSettings,
    /// Its executors. Each is in the table.
    pub members: Vec<ExecutorId>,
    /// Whether executors changed since the lanes were formed.
    pub lanes_stale: bool,
    /// The capacity of each lane in slots.
    pub lane_capacity: Vec<f64>,
    pub sample: Sample,
    pub cut_offs: CutOffs,
    recomputed_at: Instant,
    /// The size that stands for a request without a hint.
    pub median_size: f64,
    pub timing: ServiceTiming,
    /// Mean tokens in KV memory of a complete request; 0 while none was seen.
    pub mean_request_tokens: f64,
    pub peer_load: PeerLoadMean,
    /// The most urgent priority that was seen.
    pub top_priority: u8,
}

impl Service {
    pub fn new(name: &str, config: &GatewayConfig) -> Service {
        Service {
            name: Arc::from(name),
            hash: grebeusher_sizing::fixed_hash(name),
            settings: ServiceSettings::default(),
            members: Vec::new(),
            lanes_stale: true,
            lane_capacity: Vec::new(),
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

    /// Whether one lane holds all executors.
    pub fn has_one_lane(&self) -> bool {
        self.cut_offs.lane_count() == 1
    }

    /// Adds a request's size, work and tokens to the sample.
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
        if self.sample.len() == config.min_sample {
            self.recompute(now, config);
        }
    }

    /// Computes the cut-offs when they are due.
    pub fn recompute_if_due(&mut self, now: Instant, config: &GatewayConfig) {
        if now.since(self.recomputed_at) >= config.recompute_interval {
            self.recompute(now, config);
        }
    }

    /// Computes the cut-offs and the median from the sample.
    pub fn recompute(&mut self, now: Instant, config: &GatewayConfig) {
        self.recomputed_at = now;
        self.cut_offs = CutOffs::equalising(&self.sample, &self.lane_capacity, config.min_sample);
        self.median_size = self.sample.median().unwrap_or(DEFAULT_SIZE);
    }
}

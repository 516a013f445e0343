//! One service: its lanes, its cut-offs, and what its requests were like.

use crate::policy::Policy;
use grebeusher_sizing::{CutOffs, Sample};
use grebeusher_time::{Duration, DurationExt, Instant};
use std::sync::Arc;

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Connections that each executor accepts from all callers together; 0: no bound is known.
    pub max_connections: u32,
    /// Tokens for which each executor has memory; 0: it keeps none, as it does not run a model.
    pub kv_capacity_tokens: u64,
}

pub(crate) struct Service {
    pub name: Arc<str>,
    /// Of its name, the same on every node.
    pub hash: u64,
    pub settings: ServiceSettings,
    /// Places of its executors in the table.
    pub members: Vec<u32>,
    pub lanes_stale: bool,
    pub shares: Vec<f64>,
    pub sample: Sample,
    pub cut_offs: CutOffs,
    pub recut: Instant,
    /// The size that stands for a request without a hint.
    pub median: f64,
    /// How long an attempt lasts, in seconds.
    pub holds: f64,
    /// From the send to the first event beside the reading of the prompt, in seconds.
    pub first: f64,
    /// The pause between two events of a stream, in seconds.
    pub pause: f64,
    /// Tokens in memory per request when it is through.
    pub request_tokens: f64,
    others: f64,
    others_off: f64,
    reported: Instant,
    /// The most urgent priority that was seen.
    pub best_priority: u8,
}

/// The weight of the newest in running means: some twenty values.
const NEWEST: f64 = 0.05;
/// Until anything has ended; short, so that nothing is refused on a guess.
const HOLDS_AT_FIRST_S: f64 = 0.1;

impl Service {
    pub fn new(name: &str, policy: &Policy) -> Service {
        Service {
            name: Arc::from(name),
            hash: grebeusher_sizing::fixed_hash(name),
            settings: ServiceSettings::default(),
            members: Vec::new(),
            lanes_stale: true,
            shares: Vec::new(),
            sample: Sample::new(policy.sample),
            cut_offs: CutOffs::one_lane(),
            recut: Instant(0),
            median: 1.0,
            holds: HOLDS_AT_FIRST_S,
            first: 0.0,
            pause: 0.0,
            request_tokens: 0.0,
            others: 0.0,
            others_off: 0.0,
            reported: Instant(0),
            best_priority: u8::MAX,
        }
    }

    /// Counts a request's size, its work and its tokens.
    pub fn saw(&mut self, now: Instant, size: f64, work: f64, tokens: f64, policy: &Policy) {
        if self.sample.saw(size, work) {
            let newest = if self.request_tokens == 0.0 { 1.0 } else { NEWEST };
            self.request_tokens += (tokens - self.request_tokens) * newest;
            if self.sample.len() == policy.fewest {
                self.recompute(now, policy);
            }
        }
    }

    /// Computes the cut-offs when they are due.
    pub fn refresh(&mut self, now: Instant, policy: &Policy) {
        if now.since(self.recut) >= policy.recompute {
            self.recompute(now, policy);
        }
    }

    pub fn recompute(&mut self, now: Instant, policy: &Policy) {
        self.recut = now;
        self.cut_offs = CutOffs::equalising(&self.sample, &self.shares, policy.fewest);
        self.median = self.sample.median().unwrap_or(1.0);
    }

    /// An attempt was served within `took`.
    pub fn served(&mut self, took: Duration) {
        self.holds += (took.seconds() - self.holds) * NEWEST;
    }

    /// How long a request usually shows nothing: until its first event, or whole where it has none.
    pub fn usual_silence(&self) -> Duration {
        Duration::from_seconds(if self.first > 0.0 { self.first.max(self.pause) } else { self.holds })
    }

    /// A first event came `seconds` after the send, beside the reading of its prompt; returns by how much that is
    /// more than usual.
    pub fn began(&mut self, seconds: f64) -> f64 {
        let more = seconds - self.first;
        self.first += more * if self.first == 0.0 { 1.0 } else { NEWEST };
        more
    }

    /// A pause between two events of a stream; returns how many times the usual one it is.
    pub fn paused(&mut self, pause: Duration) -> f64 {
        const MAX_TIMES: f64 = 10.0; // one long stall must not set the scale
        if self.pause == 0.0 {
            self.pause = pause.seconds();
        }
        let times = (pause.seconds() / self.pause.max(1e-6)).min(MAX_TIMES);
        self.pause *= 1.0 + (times - 1.0) * NEWEST;
        times
    }

    /// An executor reported requests of others, per slot.
    pub fn reported(&mut self, now: Instant, others: f64) {
        let (mean, deviation) = self.others(now);
        // What has faded gives way sooner, yet one executor does not stand for all.
        const FIRST: f64 = 0.3;
        let newest = NEWEST.max(FIRST * (1.0 - self.heard_part(now)));
        let off = others - mean;
        self.others = mean + off * newest;
        self.others_off = deviation + (off.abs() - deviation) * NEWEST;
        self.reported = now;
    }

    /// Requests of other nodes per slot, over all executors, and how far single reports are off that. Both fade
    /// when nothing is heard any more. Guards against a node that sends nothing as all seemed full once, and hears
    /// nothing as it sends nothing.
    pub fn others(&self, now: Instant) -> (f64, f64) {
        let left = self.heard_part(now);
        (self.others * left, self.others_off * left)
    }

    /// How much of what was heard last still counts, from 1 to 0.
    fn heard_part(&self, now: Instant) -> f64 {
        const HOLDS: Duration = Duration::from_millis(500); // a node with any requests hears more often
        const HALVES_IN_S: f64 = 0.5; // full is forgotten within a small part of any batch job's time
        let silent = now.since(self.reported);
        if silent <= HOLDS { 1.0 } else { 0.5_f64.powf(silent.saturating_sub(HOLDS).seconds() / HALVES_IN_S) }
    }
}

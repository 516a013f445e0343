//! The rules, judged from what clients, executors and operators saw on their sockets.
//!
//! Where a rule binds only machines in touch, the judge is cautious: it lets a machine off for longer than the rules do.

mod batch;
mod bounds;
mod closing;
mod configuration;
mod drains;
mod requests;
mod results;
mod rollouts;
mod rules;
mod times;
mod troubles;

pub use batch::MadeItem;
pub use bounds::Bounds;
pub use configuration::{SentOrder, Version};
pub use requests::{Arrival, Kind, Try};
pub use results::Listed;
pub use rollouts::{RolloutNews, ShownRollout};
pub use rules::{Breach, Rule};

use batch::{Item, Job};
use drains::Leave;
use grebeusher_time::{DurationExt, Instant};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use troubles::{Stretch, Trouble};

/// Breaches beyond these are not kept.
const MAX_BREACHES: usize = 40;

/// What is seen, and what is broken.
pub struct Judge {
    /// The bounds.
    pub bounds: Bounds,
    /// What is broken, first breaches first.
    pub breaches: Vec<Breach>,
    tries: FxHashMap<String, Try>,
    versions: Vec<Version>,
    jobs: BTreeMap<String, Job>,
    items: FxHashMap<String, Item>,
    drained: FxHashMap<String, Instant>,
    told: FxHashMap<String, Instant>,
    troubles: Vec<Trouble>,
    core_events: Vec<Instant>,
    core_slow: Vec<Stretch>,
    links: Vec<Stretch>,
    evidence: FxHashMap<usize, Vec<(Instant, u64)>>,
    /// The limit of each bulk route, in tokens.
    pub quota: u64,
    /// Counters for reports.
    pub counts: Counts,
    served: Vec<(Instant, bool)>,
    leaving: Vec<Leave>,
    rollouts: Vec<rollouts::Rollout>,
}

/// What happened in a storm, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tries of clients.
    pub tries: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were not.
    pub unserved: u64,
    /// Runs at executors.
    pub runs: u64,
    /// Configurations that were acknowledged.
    pub acknowledged: u64,
    /// Batch jobs that were accepted.
    pub jobs: u64,
    /// Positions that were read.
    pub results: u64,
    /// Executors that left with an acknowledgement.
    pub drained: u64,
    /// Roll-outs that were acknowledged.
    pub rollouts: u64,
    /// Of these, complete.
    pub completed: u64,
    /// Of these, reverted.
    pub reverted: u64,
    /// Runs at executors of a version while it was rolled out.
    pub new_version_runs: u64,
}

impl Counts {
    /// Adds those of another storm.
    pub fn add(&mut self, other: &Counts) {
        self.tries += other.tries;
        self.served += other.served;
        self.unserved += other.unserved;
        self.runs += other.runs;
        self.acknowledged += other.acknowledged;
        self.jobs += other.jobs;
        self.results += other.results;
        self.drained += other.drained;
        self.rollouts += other.rollouts;
        self.completed += other.completed;
        self.reverted += other.reverted;
        self.new_version_runs += other.new_version_runs;
    }
}

impl Judge {
    /// A judge who has seen nothing.
    pub fn new(bounds: Bounds) -> Judge {
        Judge {
            bounds,
            breaches: Vec::new(),
            tries: FxHashMap::default(),
            versions: Vec::new(),
            jobs: BTreeMap::new(),
            items: FxHashMap::default(),
            drained: FxHashMap::default(),
            told: FxHashMap::default(),
            troubles: Vec::new(),
            core_events: Vec::new(),
            core_slow: Vec::new(),
            links: Vec::new(),
            evidence: FxHashMap::default(),
            quota: 0,
            counts: Counts::default(),
            served: Vec::new(),
            leaving: Vec::new(),
            rollouts: Vec::new(),
        }
    }

    /// Notes a breach.
    pub fn breach(&mut self, rule: Rule, at: Instant, what: String) {
        if self.breaches.len() < MAX_BREACHES {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    /// A proper order was not acknowledged in its time.
    pub fn unacknowledged(&mut self, what: &str, since: Instant, at: Instant) {
        let bound = self.bounds.ack;
        if at.since(since) > bound && self.all_calm(since, since + bound) {
            self.breach(
                Rule::Acks,
                at,
                format!("{what} had no acknowledgement in {:.1} s", at.since(since).seconds()),
            );
        }
    }
}

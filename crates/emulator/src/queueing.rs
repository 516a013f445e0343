//! The waiting times that queueing theory gives, and the model's against them.

use crate::laws::Sizes;
use crate::scenario::{Clients, Discovery, Effect, Executors, Network, Nodes, Rules, Scenario, Tariff};
use crate::world::{Policy, maker, run};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The mean wait before c servers of Poisson work whose runs remember nothing (Erlang's second formula).
pub fn mmc_wait_s(per_s: f64, mean_s: f64, servers: u64) -> f64 {
    let offered = per_s * mean_s;
    // The loss formula by its recursion, which stays in range, and the waiting one from it.
    let loss = (1..=servers).fold(1.0, |b, n| offered * b / (n as f64 + offered * b));
    let load = offered / servers as f64;
    let waits = loss / (1.0 - load * (1.0 - loss));
    waits * mean_s / (servers as f64 * (1.0 - load))
}

/// The mean wait before one server of Poisson work with any law of sizes (Pollaczek and Khinchine).
pub fn mg1_wait_s(per_s: f64, sizes: Sizes) -> f64 {
    per_s * sizes.second_moment() / (2.0 * (1.0 - per_s * sizes.mean_s()))
}

/// A mean with the half width of its confidence interval, by the means of batches in their order, which are all but
/// independent of each other.
pub fn batch_mean(values: &[f64], batches: usize, confidence: f64) -> Option<(f64, f64)> {
    let length = values.len() / batches;
    if batches < 2 || length == 0 {
        return None;
    }
    let means: Vec<f64> =
        values.chunks_exact(length).take(batches).map(|b| b.iter().sum::<f64>() / length as f64).collect();
    let mean = means.iter().sum::<f64>() / batches as f64;
    let variance = means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / (batches - 1) as f64;
    let law = StudentsT::new(0.0, 1.0, (batches - 1) as f64).ok()?;
    let reach = law.inverse_cdf(0.5 + confidence / 2.0);
    Some((mean, reach * (variance / batches as f64).sqrt()))
}

/// One queue, by formula and in the model.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    pub queue: String,
    pub load: f64,
    pub formula_ms: f64,
    pub model_ms: f64,
    pub half_width_ms: f64,
}

impl Check {
    pub fn holds(&self) -> bool {
        (self.model_ms - self.formula_ms).abs() <= self.half_width_ms
    }
}

/// So many batches, and how sure the interval is.
pub const BATCHES: usize = 30;
pub const CONFIDENCE: f64 = 0.99;

/// Plays queues that formulas are known for, with so many units each.
pub fn checks(units: u64, seed: u64) -> Vec<Check> {
    let mean_s = 0.1;
    let exponential = Sizes::Exponential { mean_s };
    let laws = [
        ("M/M/1", 1, exponential, 0.5),
        ("M/M/1", 1, exponential, 0.8),
        ("M/M/4", 4, exponential, 0.7),
        ("M/M/16", 16, exponential, 0.9),
        ("M/D/1", 1, Sizes::Fixed { mean_s }, 0.7),
        ("M/G/1 lognormal", 1, Sizes::Lognormal { mean_s, cv: 2.0 }, 0.6),
        ("M/G/1 cut Pareto", 1, Sizes::Pareto { mean_s, shape: 1.5, ratio: 100.0 }, 0.6),
    ];
    let check = |(at, (queue, servers, sizes, load)): (usize, (&str, u64, Sizes, f64))| {
        let per_s = load * servers as f64 / mean_s;
        let formula =
            if servers == 1 { mg1_wait_s(per_s, sizes) } else { mmc_wait_s(per_s, mean_s, servers) };
        let scenario = one_queue(queue, servers, sizes, per_s, units as f64 / per_s);
        let outcome = run(&scenario, seed + at as u64, &maker(&scenario, Policy::Random));
        let (mean, half) = batch_mean(&outcome.wait_list, BATCHES, CONFIDENCE).unwrap_or((f64::NAN, 0.0));
        let queue = queue.to_owned();
        let (formula_ms, model_ms) = (formula * 1e3, mean * 1e3);
        Check { queue, load, formula_ms, model_ms, half_width_ms: half * 1e3 }
    };
    laws.into_iter().enumerate().map(check).collect()
}

/// One executor that nothing is lost or late on the way to.
#[expect(clippy::too_many_lines, reason = "one row of the table after the other")]
fn one_queue(name: &str, servers: u64, size: Sizes, per_s: f64, length_s: f64) -> Scenario {
    const FOR_EVER_MS: f64 = 1e9;
    let network = Network {
        delay_ms: 0.0,
        cross_delay_ms: 0.0,
        spread: 0.0,
        handshake_trips: 0.0,
        handshake_work_ms: 0.0,
        ..Network::default()
    };
    Scenario {
        name: name.to_owned(),
        seed: 1,
        length_s,
        // A tenth until the queue is as full as it stays.
        settles_s: length_s / 10.0,
        storm: None,
        budgets: Vec::new(),
        maintenance: None,
        nodes: Nodes {
            told_count: None,
            busiest: 1.0,
            recalls_stop: false,
            talk: false,
            words: false,
            keepers: 3,
            clocks: Vec::new(),
            zone_shares: Vec::new(),
            count: 1,
            zones: vec!["a".to_owned()],
            starts_told: false,
            progress_ms: 0.0,
            most_allocations: 1,
            second_copies: false,
            recalls: false,
        },
        executors: vec![Executors {
            zones: Vec::new(),
            recall_stops: true,
            kind: "one".to_owned(),
            count: 1,
            slots: servers,
            pace: 1.0,
            queue: usize::MAX,
            cold_share: 1.0,
            warm_s: 0.0,
            error_share: 0.0,
            warm_at_start: true,
        }],
        tariffs: vec![Tariff {
            name: "all".to_owned(),
            effect: Effect::Retriable,
            per_s,
            size,
            hint_cv: None,
            quoted_ms: FOR_EVER_MS,
            stretch: 0.0,
            patience_ms: FOR_EVER_MS,
            earnings: 1.0,
            late_part: 0.0,
        }],
        network,
        discovery: Discovery::default(),
        clients: Clients::default(),
        rules: Rules::default(),
        faults: Vec::new(),
    }
}

//! The deployments that are simulated, and the routers that are compared.

use super::Class;
use grebeusher_gateway::GatewayConfig;

/// How executors are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Router {
    /// The crate's own choice.
    Gateway(GatewayConfig),
    UniformRandom,
    /// Fewest own requests out.
    LeastOutstanding,
    /// Of two at random the one with fewer own requests out.
    TwoChoices,
    /// The home of the last shared part while its load is below 1.25 of the mean, by own requests.
    BoundedPrefixHash,
    /// The shortest queue by true figures: the bound.
    AllSeeing,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub executors: usize,
    pub slots: usize,
    pub kv_tokens: u64,
    pub step_ms: f64,
    pub read_per_ms: f64,
    pub nodes: usize,
    pub seconds: f64,
    pub classes: Vec<Class>,
    /// Executors that are down from the first to the second second, by number.
    pub dark: Vec<(usize, f64, f64)>,
    /// Batch items that wait all the while are run by so many further nodes.
    pub batch_nodes: usize,
    pub batch_items_per_s: f64,
    pub peers_report: bool,
}

impl Deployment {
    pub fn lipa() -> Deployment {
        Deployment {
            executors: 18,
            slots: 24,
            kv_tokens: 400_843,
            step_ms: 1.85,
            read_per_ms: 128.0,
            nodes: 10,
            seconds: 20.0,
            classes: vec![Class::heading(141.0), Class::authority(19.6, 110)],
            dark: Vec::new(),
            batch_nodes: 0,
            batch_items_per_s: 0.0,
            peers_report: false,
        }
    }

    pub fn narmada() -> Deployment {
        Deployment {
            executors: 9,
            slots: 48,
            kv_tokens: 232_000,
            step_ms: 1.37,
            read_per_ms: 155.0,
            nodes: 11,
            classes: vec![Class::heading(151.0), Class::authority(11.3, 42)],
            ..Deployment::lipa()
        }
    }

    pub fn times(mut self, factor: f64) -> Deployment {
        self.classes.iter_mut().for_each(|class| class.per_s *= factor);
        self
    }
}

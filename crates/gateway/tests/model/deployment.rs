//! The deployments that are simulated, and the routers that are compared.

use super::RequestClass;
use grebeusher_gateway::GatewayConfig;

/// How executors are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Router {
    /// The gateway under test chooses.
    Gateway(GatewayConfig),
    /// An executor is chosen at random.
    UniformRandom,
    /// The executor with the fewest open requests of the node is chosen.
    LeastOutstanding,
    /// Of two random executors, the one with fewer open requests of the node is chosen.
    TwoChoices,
    /// The first executor in the rendezvous order of the last shared segment is chosen whose number of open requests of
    /// the node is below 1.25 times the mean.
    BoundedPrefixHash,
    /// The executor with the shortest queue by its true state is chosen. No real router has this knowledge, so its
    /// results are an upper bound.
    TrueShortestQueue,
}

/// A deployment: its executors, nodes and requests.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of executors.
    pub executors: usize,
    /// The number of requests that an executor runs concurrently.
    pub slots: usize,
    /// The number of tokens for which an executor has KV memory.
    pub kv_capacity_tokens: u64,
    /// The duration of a decode step of an executor without any request, in ms.
    pub decode_step_ms: f64,
    /// The number of prompt tokens that an executor prefills in 1 ms.
    pub prefill_tokens_per_ms: f64,
    /// The number of nodes to which clients send requests.
    pub nodes: usize,
    /// The time in which requests arrive, in seconds.
    pub duration_s: f64,
    pub classes: Vec<RequestClass>,
    /// The outages of executors: the index of the executor, and the start and end of the outage in seconds.
    pub outages: Vec<(usize, f64, f64)>,
    /// The number of further nodes, which run batch items.
    pub batch_nodes: usize,
    pub batch_items_per_s: f64,
    /// Whether the nodes report to each other how many requests they have at each executor.
    pub peers_report_load: bool,
}

impl Deployment {
    /// The deployment of the site "lipa".
    pub fn lipa() -> Deployment {
        Deployment {
            executors: 18,
            slots: 24,
            kv_capacity_tokens: 400_843,
            decode_step_ms: 1.85,
            prefill_tokens_per_ms: 128.0,
            nodes: 10,
            duration_s: 20.0,
            classes: vec![RequestClass::heading(141.0), RequestClass::authority(19.6, 110)],
            outages: Vec::new(),
            batch_nodes: 0,
            batch_items_per_s: 0.0,
            peers_report_load: false,
        }
    }

    /// The deployment of the site "narmada".
    pub fn narmada() -> Deployment {
        Deployment {
            executors: 9,
            slots: 48,
            kv_capacity_tokens: 232_000,
            decode_step_ms: 1.37,
            prefill_tokens_per_ms: 155.0,
            nodes: 11,
            classes: vec![RequestClass::heading(151.0), RequestClass::authority(11.3, 42)],
            ..Deployment::lipa()
        }
    }

    /// The same deployment with the rates of all request classes multiplied by `factor`.
    pub fn with_load_factor(mut self, factor: f64) -> Deployment {
        self.classes.iter_mut().for_each(|class| class.requests_per_s *= factor);
        self
    }
}

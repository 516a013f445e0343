//! Where a node is posted: what it is told when it starts.

use crate::wire::discovery::Version;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
pub struct Posting {
    #[serde(default)]
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Sixteen hex digits, new with each start.
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    /// The list as this node last had it.
    #[serde(default)]
    pub known: Version,
    #[serde(rename = "settings")]
    pub charter: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

impl Posting {
    pub fn read(path: &Path) -> Result<Posting, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_default()
    }

    /// Bytes that requests may take together: a quarter of the memory, as what is written to executors holds
    /// them once more, and the rest is for the node's own.
    pub fn room(&self) -> usize {
        const ASSUMED_MB: f64 = 32.0; // the least that nodes are promised
        (self.limits.memory_mb.unwrap_or(ASSUMED_MB) * 1024.0 * 1024.0 / 4.0) as usize
    }

    /// How many connections may be held from outside, and to executors: what is left when the node's own
    /// descriptors are taken off, three fifths and two. Clients hold one for each unit in hand, while one to
    /// an executor is free again as soon as it has taken the job. Guards against one side using up the other's.
    pub fn connections(&self) -> (usize, usize) {
        const ASSUMED: usize = 1024; // the least that nodes are promised
        const OWN: usize = 16; // listener, watch, poller (3), signals (4), standard streams (3), and some to spare
        let all = self.limits.sockets.unwrap_or(ASSUMED).saturating_sub(OWN).max(5);
        (all * 3 / 5, all * 2 / 5)
    }
}

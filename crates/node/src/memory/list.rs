//! The list of executors as discovery words it.

use crate::memory::counters::Counters;
use grebeusher_dispatch::ExecutorStatus;
use serde::Deserialize;
use serde_json::Value;
use tracing::warn;

/// One version of the list, or what changed since the one before.
#[derive(Default, Deserialize)]
pub struct Version {
    #[serde(default)]
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

/// An entry of it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    pub instance_id: String,
    pub host_port: String,
    pub lifecycle: Lifecycle,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub machine_type: String,
    pub cell: Option<f64>,
    pub weight: Option<f64>,
    pub started_at_ms: Option<f64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    Active,
    Leaving,
    Left,
}

impl From<Lifecycle> for ExecutorStatus {
    fn from(lifecycle: Lifecycle) -> ExecutorStatus {
        match lifecycle {
            Lifecycle::Active => ExecutorStatus::Ready,
            Lifecycle::Leaving => ExecutorStatus::Draining,
            Lifecycle::Left => ExecutorStatus::Gone,
        }
    }
}

impl Version {
    /// The entries that can be read; the others are counted and skipped.
    pub fn entries(&self, counters: &Counters) -> Vec<Entry> {
        let read = |entry: &Value| match Entry::deserialize(entry) {
            Ok(entry) => Some(entry),
            Err(e) => {
                counters.list_bad.up();
                warn!("an entry of the list can't be read: {e}");
                None
            }
        };
        self.instances.iter().filter_map(read).collect()
    }
}

//! The executor list in discovery's JSON format.

use crate::state::counters::Counters;
use grebeusher_dispatch::ExecutorStatus;
use serde::Deserialize;
use serde_json::Value;
use tracing::warn;

/// One update of the list: all of it if `reset` is set, and otherwise the entries that changed since the previous
/// generation.
#[derive(Default, Deserialize)]
pub struct ExecutorListUpdate {
    #[serde(default)]
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

/// One executor in the list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListEntry {
    pub instance_id: String,
    pub host_port: String,
    pub lifecycle: Lifecycle,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub machine_type: String,
    pub cell: Option<f64>,
    pub weight: Option<f64>,
    /// When the executor's process started, in milliseconds since the Unix epoch.
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

impl ExecutorListUpdate {
    /// The valid entries; invalid ones are counted, logged and skipped.
    pub fn entries(&self, counters: &Counters) -> Vec<ListEntry> {
        let parse = |value: &Value| match ListEntry::deserialize(value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                counters.list_bad.increment();
                warn!("skipping an invalid entry of the executor list: {e}");
                None
            }
        };
        self.instances.iter().filter_map(parse).collect()
    }
}

//! The executors that this node knew before its restart: a hint on its disk, so that it serves before their next heartbeats.
//!
//! [`ExecutorHints`] owns when the hint was written and of which generation of the registry it is.

use crate::node::Node;
use grebeusher_time::{Duration, Instant};
use tracing::{debug, warn};

/// The name of the hint on the disk.
const NAME: &str = "executors";
/// It is written at most this often, as each time waits for the disk.
const WRITE_INTERVAL: Duration = Duration::from_millis(2000);

/// What was last written to the disk.
#[derive(Debug, Default)]
pub(crate) struct ExecutorHints {
    written: Instant,
    generation: u64,
}

impl ExecutorHints {
    /// Whether the executors of this generation are to be written; notes that they are.
    fn take_due(&mut self, now: Instant, generation: u64) -> bool {
        if now < self.written + WRITE_INTERVAL || generation == self.generation {
            return false;
        }
        *self = ExecutorHints { written: now, generation };
        true
    }
}

impl Node {
    /// Takes over what an earlier process of this node knew.
    pub(crate) fn load_executor_hints(&mut self) {
        let Some(folder) = &self.settings.data_path else { return };
        let Some(bytes) = self.world.read_hint(folder, NAME) else { return };
        match self.registry.recall(self.now, &bytes) {
            Ok(executors) => debug!(executors, "executor hints loaded"),
            Err(error) => warn!(%error, "executor hints unreadable"),
        }
        self.routing_changed = true;
    }

    /// Writes down which executors there are, if that has changed.
    pub(crate) fn save_executor_hints(&mut self) {
        let Some(folder) = &self.settings.data_path else { return };
        let generation = self.registry.generation().executors;
        if self.stopping() || !self.executor_hints.take_due(self.now, generation) {
            return;
        }
        if let Err(error) = self.world.keep_hint(folder, NAME, &self.registry.remember()) {
            warn!(%error, "executor hints not written");
        }
    }
}

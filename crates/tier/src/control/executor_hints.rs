//! The executors that this node knew before its restart: a hint on its disk, so that it serves before their next heartbeats.

use crate::node::Node;
use grebeusher_time::{Duration, Instant};
use tracing::{debug, warn};

/// The name of the hint on the disk.
const NAME: &str = "executors";
/// It is written at most this often, as each time waits for the disk.
const WRITE_INTERVAL: Duration = Duration::from_millis(2000);

/// What was last written.
#[derive(Debug, Default)]
pub struct Remembered {
    written: Instant,
    generation: u64,
}

impl Node {
    /// Takes over what an earlier process of this node knew.
    pub fn recall_executors(&mut self) {
        let Some(folder) = self.settings.data_path.clone() else { return };
        let Some(bytes) = self.world.read_hint(&folder, NAME) else { return };
        match self.registry.restore_executors(self.now, &bytes) {
            Ok(count) => debug!("{count} executors are remembered"),
            Err(error) => warn!("remembered executors can't be read: {error}"),
        }
        self.routing_changed = true;
    }

    /// Writes down which executors there are, if that has changed.
    pub fn remember_executors(&mut self) {
        let Some(folder) = self.settings.data_path.clone() else { return };
        let generation = self.registry.generation().executors;
        let due = self.now >= self.remembered.written + WRITE_INTERVAL;
        if !due || generation == self.remembered.generation || self.stopping() {
            return;
        }
        self.remembered = Remembered { written: self.now, generation };
        if let Err(error) = self.world.keep_hint(&folder, NAME, &self.registry.executors_hint()) {
            warn!("the executors can't be remembered: {error}");
        }
    }
}

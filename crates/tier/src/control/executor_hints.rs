//! The executors that this node knew before its restart: a hint on its disk, so that it serves before their next heartbeats.
//!
//! `ExecutorHints` owns when the hint was written and of which generation of the registry it is.

use crate::runtime::io::World;
use grebeusher_registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::path::Path;
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
    /// Takes over what an earlier process of this node knew.
    pub fn load(world: &dyn World, folder: &Path, registry: &mut Registry, now: Instant) {
        let Some(bytes) = world.read_hint(folder, NAME) else { return };
        match registry.restore_executors(now, &bytes) {
            Ok(executors) => debug!(executors, "executor hints loaded"),
            Err(error) => warn!(%error, "executor hints unreadable"),
        }
    }

    /// Writes down which executors there are, if that has changed.
    pub fn save(&mut self, world: &dyn World, folder: &Path, registry: &Registry, now: Instant) {
        let generation = registry.generation().executors;
        if now < self.written + WRITE_INTERVAL || generation == self.generation {
            return;
        }
        *self = ExecutorHints { written: now, generation };
        if let Err(error) = world.keep_hint(folder, NAME, &registry.executors_hint()) {
            warn!(%error, "executor hints not written");
        }
    }
}

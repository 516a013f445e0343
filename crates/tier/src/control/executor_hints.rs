//! A hint file with the executors that this node knew before its restart, so that it can serve before their next
//! heartbeats.
//!
//! `ExecutorHints` records when the file was written and from which generation of the registry.

use crate::runtime::io::World;
use grebeusher_registry::Registry;
use grebeusher_time::{Duration, Instant};
use std::path::Path;
use tracing::{debug, warn};

/// The name of the hint file on the disk.
const FILE_NAME: &str = "executors";
/// The minimum interval between two writes of the file, as each of them waits for the disk.
const WRITE_INTERVAL: Duration = Duration::from_millis(2000);

/// The time and the registry generation of the last write.
#[derive(Debug, Default)]
pub(crate) struct ExecutorHints {
    written_at: Instant,
    generation: u64,
}

impl ExecutorHints {
    /// Loads the executors that an earlier process of this node wrote.
    pub fn load(world: &dyn World, folder: &Path, registry: &mut Registry, now: Instant) {
        let Some(bytes) = world.read_hint(folder, FILE_NAME) else { return };
        match registry.restore_executors(now, &bytes) {
            Ok(executors) => debug!(executors, "executor hints loaded"),
            Err(error) => warn!(%error, "executor hints unreadable"),
        }
    }

    /// Writes the known executors to the disk if they have changed and the last write is long enough ago.
    pub fn save(&mut self, world: &dyn World, folder: &Path, registry: &Registry, now: Instant) {
        let generation = registry.generation().executors;
        if now < self.written_at + WRITE_INTERVAL || generation == self.generation {
            return;
        }
        *self = ExecutorHints { written_at: now, generation };
        if let Err(error) = world.write_hint(folder, FILE_NAME, &registry.executors_hint()) {
            warn!(%error, "executor hints not written");
        }
    }
}

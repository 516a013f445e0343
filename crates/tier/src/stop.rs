//! How a process ends: not ready at once, then serving on until the platform sends nobody any more, then what is open.

use crate::node::Node;
use grebeusher_catalog::settings::Settings;
use grebeusher_time::Span;
use tracing::warn;

/// The platform misses a node after two checks, a second apart; until then it sends new connections.
pub const SERVES_ON_FOR: Span = Span::millis(2600);
/// The process ends this long before it would be killed.
pub const EXIT_MARGIN: Span = Span::millis(500);

impl Node {
    /// Reads the settings file anew. One that can't be read changes nothing.
    pub fn reload_settings(&mut self) {
        let read = self.world.settings().map_err(|error| error.to_string());
        match read.and_then(|text| Settings::read(&text).map_err(|error| error.to_string())) {
            Ok(settings) => {
                // Addresses, name and disk are the process's for its life.
                self.settings.bounds = settings.bounds;
                self.settings.seed_nodes = settings.seed_nodes;
                self.settings.fault_tolerance = settings.fault_tolerance;
            }
            Err(error) => warn!("the settings file is left as it was read: {error}"),
        }
    }
}

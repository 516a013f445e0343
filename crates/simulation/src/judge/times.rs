//! How long orders and leaves took, as their senders saw it.

use super::Judge;
use crate::times::What;
use grebeusher_time::Duration;

impl Judge {
    /// The times of all that was acknowledged.
    pub fn times(&self) -> Vec<(What, Duration)> {
        let versions = self.versions.iter().filter_map(|version| Some((version.sent, version.acknowledged?)));
        let orders = versions.map(|(sent, acknowledged)| (What::Acknowledged, acknowledged.since(sent)));
        let told = self.leaving.iter().filter_map(|leave| Some((leave.at, leave.acknowledged?)));
        let drains = told.map(|(at, acknowledged)| (What::DrainTold, acknowledged.since(at)));
        orders.chain(drains).collect()
    }
}

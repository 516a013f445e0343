//! Leaders of batch parts tell each other how many items run and wait, so that each takes its share of the executors' room.

use crate::batch_front::BATCH_PARTS;
use crate::messages::{BatchLoad, Channel};
use crate::node::Node;
use grebeusher_batch::PartLoad;
use grebeusher_time::Duration;
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddrV4;

/// How often a leader with items tells: a share of how long an item runs.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(60);

impl Node {
    /// The leader of another part tells its load.
    pub(crate) fn receive_batch_load(&mut self, payload: &[u8]) {
        let Ok(told) = <BatchLoad as DeBin>::deserialize_bin(payload) else { return };
        if (1..=BATCH_PARTS).contains(&told.part) {
            let load = PartLoad { running: told.running, waiting: told.waiting };
            self.items.shares.told(self.now, told.part, load);
        }
    }

    /// Tells the leaders of the other parts what the items of an led one are at.
    pub(crate) fn tell_batch_load(&mut self, place: usize) {
        let now = self.now;
        let part = self.parts[place].part;
        let load = self.batch_load(place);
        if load == PartLoad::default()
            || now < self.items.load_told.get(&part).map_or(now, |at| *at + LOAD_REPORT_INTERVAL)
        {
            return;
        }
        self.items.load_told.insert(part, now);
        let told = BatchLoad { part, running: load.running, waiting: load.waiting };
        let others = (1..=BATCH_PARTS).filter(|other| *other != part);
        let mut leaders: Vec<SocketAddrV4> = others.filter_map(|other| self.known_leader(other)).collect();
        leaders.sort_unstable();
        leaders.dedup();
        for leader in leaders {
            self.send_frame(leader, Channel::BatchLoad, &told.serialize_bin());
        }
    }

    /// Whether an led part may begin a further item beside those of the other parts.
    pub(crate) fn has_fair_share(&mut self, place: usize) -> bool {
        let part = self.parts[place].part;
        let load = self.batch_load(place);
        self.items.shares.may_begin(self.now, part, load)
    }

    /// The items of a part, if this node runs them.
    pub(crate) fn batch_load(&mut self, place: usize) -> PartLoad {
        self.batch_mut(place).map_or(PartLoad::default(), |part| part.runner.load())
    }
}

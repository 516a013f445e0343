//! What nodes that may talk tell each other of the slots that they fill.

use super::Dispatcher;
use crate::load_message::{LoadMessage, MAX_COUNTS_PER_MESSAGE, short_hash};
use crate::{Duration, Host, Instant};
use std::collections::BTreeMap;

/// What nodes that may talk tell each other.
#[derive(Default)]
pub(super) struct LoadSharing {
    pub(super) allowed: bool,
    /// The node that adds up, and when it was last heard.
    pub(super) aggregator: u64,
    pub(super) heard: Instant,
    /// What this one was told by others, and the ready executors in the order in which all are told of them.
    pub(super) told: BTreeMap<u64, (Instant, Vec<(u16, u8)>)>,
    pub(super) order: Vec<usize>,
    pub(super) list: u16,
}

impl<H: Host> Dispatcher<H> {
    /// Another node sent a word.
    pub fn load_message_received(&mut self, now: Instant, node: u64, word: &[u8]) {
        let load_sharing = &mut self.load_sharing;
        match LoadMessage::decode(word).filter(|_| load_sharing.allowed) {
            Some(LoadMessage::Own { filled }) => drop(load_sharing.told.insert(node, (now, filled))),
            // One that comes back later than the others found another is told by nobody: it joins them.
            Some(LoadMessage::All { list, first, filled })
                if node <= load_sharing.aggregator
                    || load_sharing.aggregator == self.node && load_sharing.told.is_empty() =>
            {
                (load_sharing.aggregator, load_sharing.heard) = (node, now);
                if list == load_sharing.list {
                    self.learn(now, first, &filled);
                }
            }
            _ => {}
        }
    }

    /// Tells the node that adds up what is out here; who is told by others adds up and tells all. The first
    /// node does so while it is heard, else the next: without any the own evidence is left.
    pub(super) fn exchange_load(&mut self, now: Instant) {
        const LOST: Duration = Duration::from_millis(2000); // several words in a row
        let load_sharing = &mut self.load_sharing;
        if load_sharing.aggregator != self.node && now.since(load_sharing.heard) > LOST {
            (load_sharing.aggregator, load_sharing.heard) = ((load_sharing.aggregator + 1) % self.nodes, now);
        }
        let mut filled = Vec::new();
        for e in &mut self.executors {
            e.told = e.own_slots() as u8;
            if e.told > 0 {
                filled.push((short_hash(e.hash), e.told));
            }
        }
        load_sharing.told.retain(|_, (at, _)| now.since(*at) <= LOST);
        if load_sharing.aggregator != self.node {
            self.host.send_load(
                Some(load_sharing.aggregator),
                &LoadMessage::Own { filled: filled.clone() }.encode(),
            );
        }
        if load_sharing.told.is_empty() {
            return;
        }
        let mut sums = vec![0_u8; load_sharing.order.len()];
        for &(named, count) in load_sharing.told.values().flat_map(|(_, filled)| filled).chain(&filled) {
            if let Ok(at) =
                load_sharing.order.binary_search_by_key(&named, |&at| short_hash(self.executors[at].hash))
            {
                sums[at] = sums[at].saturating_add(count);
            }
        }
        for (number, part) in sums.chunks(MAX_COUNTS_PER_MESSAGE).enumerate() {
            let (list, first) = (self.load_sharing.list, number * MAX_COUNTS_PER_MESSAGE);
            self.host.send_load(None, &LoadMessage::All { list, first, filled: part.to_vec() }.encode());
            if self.load_sharing.aggregator == self.node {
                self.learn(now, first, part);
            }
        }
    }

    fn learn(&mut self, now: Instant, first: usize, filled: &[u8]) {
        for (&at, count) in self.load_sharing.order.iter().skip(first).zip(filled) {
            let e = &mut self.executors[at];
            e.others = Some((now, f64::from(count.saturating_sub(e.told))));
        }
    }
}

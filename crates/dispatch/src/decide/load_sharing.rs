//! Load sharing: nodes that may message each other sum up the slots that they fill.
//!
//! Each node sends what it has in flight to one aggregator, which sends the sums to all. Messages may get lost.

use super::Dispatcher;
use crate::load_message::{LoadMessage, MAX_COUNTS_PER_MESSAGE, short_hash};
use crate::{Duration, Host, Instant};
use std::collections::BTreeMap;

/// What is known from the load messages of other nodes.
#[derive(Default)]
pub(super) struct LoadSharing {
    pub(super) allowed: bool,
    /// The node that sums up, and when its last message came.
    pub(super) aggregator: u64,
    pub(super) last_received: Instant,
    /// The latest message of each node, and the ready executors in the order of the sums.
    pub(super) received: BTreeMap<u64, (Instant, Vec<(u16, u8)>)>,
    pub(super) order: Vec<usize>,
    pub(super) list: u16,
}

impl<H: Host> Dispatcher<H> {
    /// Another node sent a load message.
    pub fn load_message_received(&mut self, now: Instant, node: u64, message: &[u8]) {
        let load_sharing = &mut self.load_sharing;
        match LoadMessage::decode(message).filter(|_| load_sharing.allowed) {
            Some(LoadMessage::Own { filled }) => drop(load_sharing.received.insert(node, (now, filled))),
            // An aggregator that returns after the others found another receives nothing from them: it joins them.
            Some(LoadMessage::All { list, first, filled })
                if node <= load_sharing.aggregator
                    || load_sharing.aggregator == self.node && load_sharing.received.is_empty() =>
            {
                (load_sharing.aggregator, load_sharing.last_received) = (node, now);
                if list == load_sharing.list {
                    self.learn(now, first, &filled);
                }
            }
            _ => {}
        }
    }

    /// Sends what is in flight from here to the aggregator; a node that receives such messages sends the sums to all.
    /// The first node aggregates while its messages come, else the next; without any the own evidence is left.
    pub(super) fn exchange_load(&mut self, now: Instant) {
        const MESSAGE_TTL: Duration = Duration::from_millis(2000); // several messages in a row
        let load_sharing = &mut self.load_sharing;
        if load_sharing.aggregator != self.node && now.since(load_sharing.last_received) > MESSAGE_TTL {
            (load_sharing.aggregator, load_sharing.last_received) =
                ((load_sharing.aggregator + 1) % self.nodes, now);
        }
        let mut filled = Vec::new();
        for e in &mut self.executors {
            e.reported_slots = e.own_slots() as u8;
            if e.reported_slots > 0 {
                filled.push((short_hash(e.hash), e.reported_slots));
            }
        }
        load_sharing.received.retain(|_, (at, _)| now.since(*at) <= MESSAGE_TTL);
        if load_sharing.aggregator != self.node {
            self.host.send_load(
                Some(load_sharing.aggregator),
                &LoadMessage::Own { filled: filled.clone() }.encode(),
            );
        }
        if load_sharing.received.is_empty() {
            return;
        }
        let mut sums = vec![0_u8; load_sharing.order.len()];
        for &(named, count) in load_sharing.received.values().flat_map(|(_, filled)| filled).chain(&filled) {
            if let Ok(at) =
                load_sharing.order.binary_search_by_key(&named, |&at| short_hash(self.executors[at].hash))
            {
                sums[at] = sums[at].saturating_add(count);
            }
        }
        for (number, chunk) in sums.chunks(MAX_COUNTS_PER_MESSAGE).enumerate() {
            let (list, first) = (self.load_sharing.list, number * MAX_COUNTS_PER_MESSAGE);
            self.host.send_load(None, &LoadMessage::All { list, first, filled: chunk.to_vec() }.encode());
            if self.load_sharing.aggregator == self.node {
                self.learn(now, first, chunk);
            }
        }
    }

    fn learn(&mut self, now: Instant, first: usize, filled: &[u8]) {
        for (&at, count) in self.load_sharing.order.iter().skip(first).zip(filled) {
            let e = &mut self.executors[at];
            e.others = Some((now, f64::from(count.saturating_sub(e.reported_slots))));
        }
    }
}

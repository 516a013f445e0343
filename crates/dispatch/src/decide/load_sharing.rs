//! Load sharing: nodes that may message each other sum up the slots that they fill.

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
        let sharing = &mut self.sharing;
        match LoadMessage::decode(message).filter(|_| sharing.allowed) {
            Some(LoadMessage::Own { filled }) => drop(sharing.received.insert(node, (now, filled))),
            // An aggregator that returns after the others found another receives nothing from them: it joins them.
            Some(LoadMessage::All { list, first, filled })
                if node <= sharing.aggregator
                    || sharing.aggregator == self.node && sharing.received.is_empty() =>
            {
                (sharing.aggregator, sharing.last_received) = (node, now);
                if list == sharing.list {
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
        let sharing = &mut self.sharing;
        if sharing.aggregator != self.node && now.since(sharing.last_received) > MESSAGE_TTL {
            (sharing.aggregator, sharing.last_received) = ((sharing.aggregator + 1) % self.nodes, now);
        }
        let mut filled = Vec::new();
        for e in &mut self.executors {
            e.reported_slots = e.own_slots() as u8;
            if e.reported_slots > 0 {
                filled.push((short_hash(e.hash), e.reported_slots));
            }
        }
        sharing.received.retain(|_, (at, _)| now.since(*at) <= MESSAGE_TTL);
        if sharing.aggregator != self.node {
            let own = LoadMessage::Own { filled: filled.clone() };
            self.host.send_load(Some(sharing.aggregator), &own.encode());
        }
        if sharing.received.is_empty() {
            return;
        }
        let mut sums = vec![0_u8; sharing.order.len()];
        for &(named, count) in sharing.received.values().flat_map(|(_, filled)| filled).chain(&filled) {
            let hash = |&at: &usize| short_hash(self.executors[at].hash);
            if let Ok(at) = sharing.order.binary_search_by_key(&named, hash) {
                sums[at] = sums[at].saturating_add(count);
            }
        }
        for (number, chunk) in sums.chunks(MAX_COUNTS_PER_MESSAGE).enumerate() {
            let (list, first) = (self.sharing.list, number * MAX_COUNTS_PER_MESSAGE);
            self.host.send_load(None, &LoadMessage::All { list, first, filled: chunk.to_vec() }.encode());
            if self.sharing.aggregator == self.node {
                self.learn(now, first, chunk);
            }
        }
    }

    fn learn(&mut self, now: Instant, first: usize, filled: &[u8]) {
        for (&at, count) in self.sharing.order.iter().skip(first).zip(filled) {
            let e = &mut self.executors[at];
            e.others = Some((now, f64::from(count.saturating_sub(e.reported_slots))));
        }
    }
}

//! Load sharing: nodes that may exchange load messages learn how many slots all of them fill.

use super::Dispatcher;
use crate::load_message::{LoadMessage, MAX_COUNTS_PER_MESSAGE, short_hash};
use crate::{Duration, Host, Instant};
use std::collections::BTreeMap;

/// What is known from the load messages of other nodes.
#[derive(Default)]
pub(super) struct LoadSharing {
    pub(super) allowed: bool, // whether nodes may exchange load messages
    /// The node that sums up, and when its last message arrived.
    pub(super) aggregator: u64,
    pub(super) last_received: Instant,
    /// The latest message of each node, with the time of its arrival.
    pub(super) received: BTreeMap<u64, (Instant, Vec<(u16, u8)>)>,
    /// Indices of the ready executors in the order of the sums, and the short hash of their set.
    pub(super) order: Vec<usize>,
    pub(super) list_hash: u16,
}

impl<H: Host> Dispatcher<H> {
    /// A load message of another node arrived.
    pub fn load_message_received(&mut self, now: Instant, node: u64, message: &[u8]) {
        let sharing = &mut self.sharing;
        match LoadMessage::decode(message).filter(|_| sharing.allowed) {
            Some(LoadMessage::Own { filled }) => drop(sharing.received.insert(node, (now, filled))),
            // An aggregator that returns after the others chose another receives nothing from them, and follows their choice.
            Some(LoadMessage::Sums { list_hash, first, filled })
                if node <= sharing.aggregator
                    || sharing.aggregator == self.node && sharing.received.is_empty() =>
            {
                (sharing.aggregator, sharing.last_received) = (node, now);
                if list_hash == sharing.list_hash {
                    self.record_sums(now, first, &filled);
                }
            }
            _ => {}
        }
    }

    /// Sends the slots that this node fills to the aggregator; a node that received such messages sends the sums to all. The
    /// first node aggregates while its messages arrive, else the next. Without sums each node goes by its own attempts.
    pub(super) fn exchange_load(&mut self, now: Instant) {
        const MESSAGE_TTL: Duration = Duration::from_millis(2000); // spans several messages
        let sharing = &mut self.sharing;
        if sharing.aggregator != self.node && now.since(sharing.last_received) > MESSAGE_TTL {
            (sharing.aggregator, sharing.last_received) = ((sharing.aggregator + 1) % self.node_count, now);
        }
        let mut filled = Vec::new();
        for e in &mut self.executors {
            e.reported_slots = e.own_slots() as u8;
            if e.reported_slots > 0 {
                filled.push((short_hash(e.hash), e.reported_slots));
            }
        }
        sharing.received.retain(|_, (arrived, _)| now.since(*arrived) <= MESSAGE_TTL);
        if sharing.aggregator != self.node {
            let own = LoadMessage::Own { filled: filled.clone() };
            self.host.send_load(Some(sharing.aggregator), &own.encode());
        }
        if sharing.received.is_empty() {
            return;
        }
        let mut sums = vec![0_u8; sharing.order.len()];
        for &(hash, count) in sharing.received.values().flat_map(|(_, filled)| filled).chain(&filled) {
            let hash_of = |&index: &usize| short_hash(self.executors[index].hash);
            if let Ok(position) = sharing.order.binary_search_by_key(&hash, hash_of) {
                sums[position] = sums[position].saturating_add(count);
            }
        }
        for (number, chunk) in sums.chunks(MAX_COUNTS_PER_MESSAGE).enumerate() {
            let (list_hash, first) = (self.sharing.list_hash, number * MAX_COUNTS_PER_MESSAGE);
            self.host
                .send_load(None, &LoadMessage::Sums { list_hash, first, filled: chunk.to_vec() }.encode());
            if self.sharing.aggregator == self.node {
                self.record_sums(now, first, chunk);
            }
        }
    }

    fn record_sums(&mut self, now: Instant, first: usize, filled: &[u8]) {
        for (&index, count) in self.sharing.order.iter().skip(first).zip(filled) {
            let e = &mut self.executors[index];
            e.other_slots = Some((now, f64::from(count.saturating_sub(e.reported_slots))));
        }
    }
}

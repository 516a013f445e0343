//! What nodes that may talk tell each other of the slots that they fill.

use super::Dispatcher;
use crate::word::{MOST, Word, mark};
use crate::{Duration, Host, Instant};
use std::collections::BTreeMap;

/// What nodes that may talk tell each other.
#[derive(Default)]
pub(super) struct Talk {
    pub(super) allowed: bool,
    /// The node that adds up, and when it was last heard.
    pub(super) teller: u64,
    pub(super) heard: Instant,
    /// What this one was told by others, and the ready executors in the order in which all are told of them.
    pub(super) told: BTreeMap<u64, (Instant, Vec<(u16, u8)>)>,
    pub(super) order: Vec<usize>,
    pub(super) list: u16,
}

impl<H: Host> Dispatcher<H> {
    /// Another node sent a word.
    pub fn told(&mut self, now: Instant, node: u64, word: &[u8]) {
        let talk = &mut self.talk;
        match Word::read(word).filter(|_| talk.allowed) {
            Some(Word::Own { filled }) => drop(talk.told.insert(node, (now, filled))),
            // One that comes back later than the others found another is told by nobody: it joins them.
            Some(Word::All { list, first, filled })
                if node <= talk.teller || talk.teller == self.node && talk.told.is_empty() =>
            {
                (talk.teller, talk.heard) = (node, now);
                if list == talk.list {
                    self.learn(now, first, &filled);
                }
            }
            _ => {}
        }
    }

    /// Tells the node that adds up what is out here; who is told by others adds up and tells all. The first
    /// node does so while it is heard, else the next: without any the own evidence is left.
    pub(super) fn tell(&mut self, now: Instant) {
        const LOST: Duration = Duration::from_millis(2000); // several words in a row
        let talk = &mut self.talk;
        if talk.teller != self.node && now.since(talk.heard) > LOST {
            (talk.teller, talk.heard) = ((talk.teller + 1) % self.nodes, now);
        }
        let mut filled = Vec::new();
        for e in &mut self.executors {
            e.told = e.own_slots() as u8;
            if e.told > 0 {
                filled.push((mark(e.hash), e.told));
            }
        }
        talk.told.retain(|_, (at, _)| now.since(*at) <= LOST);
        if talk.teller != self.node {
            self.host.tell(Some(talk.teller), &Word::Own { filled: filled.clone() }.bytes());
        }
        if talk.told.is_empty() {
            return;
        }
        let mut sums = vec![0_u8; talk.order.len()];
        for &(named, count) in talk.told.values().flat_map(|(_, filled)| filled).chain(&filled) {
            if let Ok(at) = talk.order.binary_search_by_key(&named, |&at| mark(self.executors[at].hash)) {
                sums[at] = sums[at].saturating_add(count);
            }
        }
        for (number, part) in sums.chunks(MOST).enumerate() {
            let (list, first) = (self.talk.list, number * MOST);
            self.host.tell(None, &Word::All { list, first, filled: part.to_vec() }.bytes());
            if self.talk.teller == self.node {
                self.learn(now, first, part);
            }
        }
    }

    fn learn(&mut self, now: Instant, first: usize, filled: &[u8]) {
        for (&at, count) in self.talk.order.iter().skip(first).zip(filled) {
            let e = &mut self.executors[at];
            e.others = Some((now, f64::from(count.saturating_sub(e.told))));
        }
    }
}

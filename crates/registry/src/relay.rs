//! How updates reach all nodes: down a tree of relays that is rooted at their origin. Each node forwards a relay once.

use crate::member::NodeId;
use crate::members::Source;
use crate::message::{Message, REGISTERS_PER_MESSAGE, Relay};
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// From how many origins forwarded messages are remembered.
const MAX_ORIGINS: usize = 2_048;

/// A register that a repair brought is announced after a random delay of at most this, unless a relay has brought it by
/// then. So mostly one node announces it, however many were repaired.
const MAX_FORWARD_DELAY: Duration = Duration::from_millis(100);

/// Forwards that are due within this duration share a relay.
const FORWARD_BATCH_WINDOW: Duration = Duration::from_millis(30);

/// How many registers wait to be forwarded at most; the others spread by repair alone.
const MAX_FORWARDED: usize = 1_024;

/// The messages of one origin that were forwarded: the highest number and, in bits, those just below it.
struct SequenceWindow {
    incarnation: u64,
    highest: u64,
    forwarded: u128,
}

impl SequenceWindow {
    /// Whether the message was not forwarded before. What lies below the window counts as forwarded.
    fn admit(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = SequenceWindow { incarnation, highest: sequence, forwarded: 1 };
            return true;
        }
        if sequence > self.highest {
            let postpone = u32::try_from(sequence - self.highest).unwrap_or(u32::MAX);
            self.forwarded = self.forwarded.checked_shl(postpone).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let Some(bit) = u32::try_from(self.highest - sequence).ok().and_then(|back| 1_u128.checked_shl(back))
        else {
            return false;
        };
        let incoming = self.forwarded & bit == 0;
        self.forwarded |= bit;
        incoming
    }
}

/// The state of relaying.
#[derive(Default)]
pub(crate) struct Relays {
    windows: HashMap<NodeId, SequenceWindow>,
    sequence: u64,
    pending_updates: BTreeSet<Key>,
    flush: Option<Instant>,
    pending_forwards: BTreeMap<Key, Instant>,
}

impl Relays {
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.pending_forwards.values().copied().chain(self.flush).min()
    }

    fn admit(&mut self, relay: &Relay) -> bool {
        if let Some(window) = self.windows.get_mut(&relay.origin) {
            return window.admit(relay.incarnation, relay.sequence);
        }
        let window = SequenceWindow { incarnation: relay.incarnation, highest: relay.sequence, forwarded: 1 };
        self.windows.insert(relay.origin, window);
        true
    }
}

impl Registry {
    /// Announces a register to all nodes, batched with other changes.
    pub(crate) fn announce(&mut self, now: Instant, key: Key) {
        self.relays.pending_updates.insert(key);
        self.relays.flush.get_or_insert(now + self.timings.batch);
    }

    /// Announces a register that a repair brought, unless another node does so first.
    pub(crate) fn schedule_forward(&mut self, now: Instant, key: Key) {
        if self.relays.pending_forwards.len() < MAX_FORWARDED {
            let wait = Duration::from_nanos(self.random.random_range(0..=MAX_FORWARD_DELAY.nanos()));
            self.relays.pending_forwards.entry(key).or_insert(now + wait);
        }
    }

    fn tick_forwards(&mut self, now: Instant) {
        if self.relays.pending_forwards.values().all(|due| *due > now) {
            return;
        }
        let soon = now + FORWARD_BATCH_WINDOW;
        let pending = std::mem::take(&mut self.relays.pending_forwards);
        let (due, pending): (BTreeMap<_, _>, BTreeMap<_, _>) =
            pending.into_iter().partition(|(_, due)| *due <= soon);
        self.relays.pending_forwards = pending;
        self.relays.pending_updates.extend(due.into_keys());
        self.relays.flush = Some(now);
    }

    pub(crate) fn tick_relays(&mut self, now: Instant) {
        self.tick_forwards(now);
        if self.relays.flush.is_some_and(|flush| flush <= now) {
            self.flush_updates();
        }
        if self.relays.windows.len() > MAX_ORIGINS {
            let known = &self.digest;
            self.relays.windows.retain(|origin, _| known.key(origin.0).is_some());
        }
    }

    pub(crate) fn flush_updates(&mut self) {
        self.relays.flush = None;
        let keys: Vec<Key> = std::mem::take(&mut self.relays.pending_updates).into_iter().collect();
        for registers in self.registers_in_messages(&keys) {
            let relay = self.new_relay(false, registers);
            self.forward(&relay);
        }
    }

    /// A message of this node with the next number.
    pub(crate) fn new_relay(&mut self, confirm: bool, registers: Vec<Register>) -> Relay {
        self.relays.sequence += 1;
        let incarnation = self.own_member().incarnation;
        Relay { origin: self.own_id, incarnation, sequence: self.relays.sequence, confirm, registers }
    }

    /// The registers of some keys, in parts that fit in a message each.
    pub(crate) fn registers_in_messages(&self, keys: &[Key]) -> Vec<Vec<Register>> {
        let mut batches = Vec::new();
        let (mut part, mut length) = (Vec::new(), 0);
        for register in keys.iter().filter_map(|key| self.register(key)) {
            let more = register.length();
            if length + more > REGISTERS_PER_MESSAGE && !part.is_empty() {
                batches.push(std::mem::take(&mut part));
                length = 0;
            }
            length += more;
            part.push(register);
        }
        if !part.is_empty() {
            batches.push(part);
        }
        batches
    }

    pub(crate) fn children(&self, origin: NodeId) -> Vec<SocketAddrV4> {
        self.ring.children(origin, self.timings.fan_out).map(|ring_member| ring_member.address).collect()
    }

    pub(crate) fn forward(&mut self, relay: &Relay) {
        for child in self.children(relay.origin) {
            self.send(child, Message::Relay(relay.clone()));
        }
    }

    pub(crate) fn receive_relay(&mut self, now: Instant, from: SocketAddrV4, relay: Relay) {
        if relay.origin == self.own_id {
            return;
        }
        for register in &relay.registers {
            self.merge(now, register.clone(), Source::Relay);
            let key = register.key();
            if self.relays.pending_forwards.contains_key(&key)
                && self.register(&key).as_ref() == Some(register)
            {
                self.relays.pending_forwards.remove(&key);
            }
        }
        if relay.confirm {
            let origin = self.member_of(relay.origin).map_or(from, |entry| entry.member.address);
            let Relay { incarnation, sequence, .. } = relay;
            self.send(origin, Message::Confirm { incarnation, sequence });
        }
        if self.relays.admit(&relay) {
            self.forward(&relay);
        }
    }

    /// Merges a register of any kind.
    pub(crate) fn merge(&mut self, now: Instant, register: Register, source: Source) {
        match register {
            Register::Member(member) => self.merge_member(now, member, source),
            Register::Executor(executor) => {
                self.merge_executor(now, executor);
            }
            Register::NodeMetadata(node_metadata) => self.merge_facts(node_metadata),
        }
    }

    fn merge_facts(&mut self, node_metadata: crate::NodeMetadata) {
        // Metadata without their node would never be forgotten; they come again by repair.
        let known = self.members.contains_key(&node_metadata.node) && node_metadata.node != self.own_name;
        let newer = self
            .node_metadata
            .get(&node_metadata.node)
            .is_none_or(|held| held.order() < node_metadata.order());
        if known && newer {
            self.put_metadata(node_metadata);
        }
    }
}

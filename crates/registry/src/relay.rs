//! Relaying: updates reach all nodes down a relay tree that is rooted at their origin. Each node forwards a relay once.

use crate::member::NodeId;
use crate::members::Source;
use crate::message::{Message, REGISTER_BYTES_PER_MESSAGE, Relay};
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// The number of origins above which the windows of unknown nodes are removed.
const MAX_ORIGINS: usize = 2_048;

/// A register that came by a repair is announced after a random delay of at most this duration, unless it has come by a
/// relay before. So usually one node announces it, however many nodes were repaired.
const MAX_FORWARD_DELAY: Duration = Duration::from_millis(100);

/// Registers whose announcements are due within this duration share a relay.
const FORWARD_BATCH_WINDOW: Duration = Duration::from_millis(30);

/// The largest number of registers that wait to be announced after a repair; others spread by repair alone.
const MAX_PENDING_FORWARDS: usize = 1_024;

/// The relays of one origin that were forwarded: the highest sequence number, and a bit mask of the numbers from it
/// downwards, with the highest number in the lowest bit.
struct SequenceWindow {
    incarnation: u64,
    highest: u64,
    forwarded: u128,
}

impl SequenceWindow {
    /// Records a relay and returns whether it was not forwarded before. Numbers below the window count as forwarded.
    fn admit(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = SequenceWindow { incarnation, highest: sequence, forwarded: 1 };
            return true;
        }
        if sequence > self.highest {
            let shift = u32::try_from(sequence - self.highest).unwrap_or(u32::MAX);
            self.forwarded = self.forwarded.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let Some(bit) =
            u32::try_from(self.highest - sequence).ok().and_then(|distance| 1_u128.checked_shl(distance))
        else {
            return false;
        };
        let is_new = self.forwarded & bit == 0;
        self.forwarded |= bit;
        is_new
    }
}

/// The state of relaying.
#[derive(Default)]
pub(crate) struct Relays {
    windows: HashMap<NodeId, SequenceWindow>,
    sequence: u64,
    pending_updates: BTreeSet<Key>,
    next_flush: Option<Instant>,
    pending_forwards: BTreeMap<Key, Instant>,
}

impl Relays {
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.pending_forwards.values().copied().chain(self.next_flush).min()
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
    /// Announces the register of `key` to all nodes, batched with other changes.
    pub(crate) fn announce(&mut self, now: Instant, key: Key) {
        self.relays.pending_updates.insert(key);
        self.relays.next_flush.get_or_insert(now + self.timings.batch);
    }

    /// Schedules the announcement of a register that came by a repair, unless another node announces it first.
    pub(crate) fn schedule_forward(&mut self, now: Instant, key: Key) {
        if self.relays.pending_forwards.len() < MAX_PENDING_FORWARDS {
            let wait = Duration::from_nanos(self.random.random_range(0..=MAX_FORWARD_DELAY.nanos()));
            self.relays.pending_forwards.entry(key).or_insert(now + wait);
        }
    }

    fn tick_forwards(&mut self, now: Instant) {
        if self.relays.pending_forwards.values().all(|due| *due > now) {
            return;
        }
        let batch_end = now + FORWARD_BATCH_WINDOW;
        let pending = std::mem::take(&mut self.relays.pending_forwards);
        let (due, pending): (BTreeMap<_, _>, BTreeMap<_, _>) =
            pending.into_iter().partition(|(_, due)| *due <= batch_end);
        self.relays.pending_forwards = pending;
        self.relays.pending_updates.extend(due.into_keys());
        self.relays.next_flush = Some(now);
    }

    pub(crate) fn tick_relays(&mut self, now: Instant) {
        self.tick_forwards(now);
        if self.relays.next_flush.is_some_and(|at| at <= now) {
            self.flush_updates();
        }
        if self.relays.windows.len() > MAX_ORIGINS {
            let digest = &self.digest;
            self.relays.windows.retain(|origin, _| digest.key(origin.0).is_some());
        }
    }

    pub(crate) fn flush_updates(&mut self) {
        self.relays.next_flush = None;
        let keys: Vec<Key> = std::mem::take(&mut self.relays.pending_updates).into_iter().collect();
        for registers in self.registers_in_messages(&keys) {
            let relay = self.new_relay(false, registers);
            self.forward(&relay);
        }
    }

    /// Creates a relay of this node with the next sequence number.
    pub(crate) fn new_relay(&mut self, confirm: bool, registers: Vec<Register>) -> Relay {
        self.relays.sequence += 1;
        let incarnation = self.own_member().incarnation;
        Relay { origin: self.own_id, incarnation, sequence: self.relays.sequence, confirm, registers }
    }

    /// Returns the registers of the keys, in batches that each fit in a message.
    pub(crate) fn registers_in_messages(&self, keys: &[Key]) -> Vec<Vec<Register>> {
        let mut batches = Vec::new();
        let (mut batch, mut length) = (Vec::new(), 0);
        for register in keys.iter().filter_map(|key| self.register(key)) {
            let register_length = register.length();
            if length + register_length > REGISTER_BYTES_PER_MESSAGE && !batch.is_empty() {
                batches.push(std::mem::take(&mut batch));
                length = 0;
            }
            length += register_length;
            batch.push(register);
        }
        if !batch.is_empty() {
            batches.push(batch);
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
            let origin = self.member_by_id(relay.origin).map_or(from, |entry| entry.member.address);
            let Relay { incarnation, sequence, .. } = relay;
            self.send(origin, Message::Confirm { incarnation, sequence });
        }
        if self.relays.admit(&relay) {
            self.forward(&relay);
        }
    }

    /// Merges a register of any kind that came from `source`.
    pub(crate) fn merge(&mut self, now: Instant, register: Register, source: Source) {
        match register {
            Register::Member(member) => self.merge_member(now, member, source),
            Register::Executor(executor) => {
                self.merge_executor(now, executor);
            }
            Register::NodeMetadata(node_metadata) => self.merge_metadata(node_metadata),
        }
    }

    fn merge_metadata(&mut self, node_metadata: crate::NodeMetadata) {
        // Metadata of an unknown node would never be removed. It comes again by a repair once the node is known.
        let is_known = self.members.contains_key(&node_metadata.node) && node_metadata.node != self.own_name;
        let is_newer = self
            .node_metadata
            .get(&node_metadata.node)
            .is_none_or(|current| current.order() < node_metadata.order());
        if is_known && is_newer {
            self.put_metadata(node_metadata);
        }
    }
}

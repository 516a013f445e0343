//! The [`Registry`] state machine: its fields, and the dispatch of calls and messages to the modules that handle them.
//!
//! Each module adds its methods to [`Registry`] and owns the fields named after it; other modules use these fields
//! through the methods of the owner. Every call that may change the state starts with [`Registry::begin_step`] and
//! collects the messages and events that it produces in the output.

use crate::confirmation::Confirmations;
use crate::deferred_death::DeferredDeaths;
use crate::digest::Digest;
use crate::event::{Generation, Output};
use crate::executors::Executors;
use crate::join::Joining;
use crate::liveness::Liveness;
use crate::member::{MemberState, NodeId};
use crate::members::MemberEntry;
use crate::message::{Heartbeat, Message};
use crate::register::{Key, Register};
use crate::relay::Relays;
use crate::repair::Repairs;
use crate::ring::Ring;
use crate::transfer::Transfers;
use crate::{Losses, NodeMetadata, Settings, Timings};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// A process whose tick is late by more than this duration was frozen: the time in which it received nothing must not
/// count as silence of other nodes.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(600);

/// The members, executors and node metadata that one node knows.
pub struct Registry {
    pub(crate) timings: Timings,
    pub(crate) losses: Losses,
    pub(crate) random: Pcg64Mcg,
    pub(crate) own_id: NodeId,
    pub(crate) own_name: String,
    pub(crate) own_address: SocketAddrV4,
    pub(crate) configuration_version: u64,
    pub(crate) members: BTreeMap<String, MemberEntry>,
    pub(crate) names_by_address: HashMap<SocketAddrV4, String>,
    pub(crate) node_metadata: BTreeMap<String, NodeMetadata>,
    pub(crate) executors: Executors,
    pub(crate) digest: Digest,
    pub(crate) ring: Ring,
    pub(crate) liveness: Liveness,
    pub(crate) joining: Joining,
    pub(crate) relays: Relays,
    pub(crate) repairs: Repairs,
    pub(crate) transfers: Transfers,
    pub(crate) deferred_deaths: DeferredDeaths,
    pub(crate) confirmations: Confirmations,
    pub(crate) generation: Generation,
    pub(crate) output: Output,
    expected_wake: Instant,
}

impl Registry {
    /// Creates the registry of a node that has just started and knows only itself and its seed nodes. The parameter
    /// `seed` initializes the random number generator: equal values give equal runs.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Registry {
        let Settings { mut member, seeds, timings, losses } = settings;
        member.state = MemberState::Alive;
        let own_id = member.id();
        let own_address = member.address;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let phase = Duration::from_nanos(random.random_range(0..=timings.heartbeat.nanos()));
        let mut registry = Registry {
            own_id,
            own_name: member.name.clone(),
            own_address,
            configuration_version: 0,
            members: BTreeMap::new(),
            names_by_address: HashMap::new(),
            node_metadata: BTreeMap::new(),
            executors: Executors::new(now),
            digest: Digest::new(),
            ring: Ring::default(),
            liveness: Liveness::new(now, now + phase, random.random_range(0..1_024)),
            joining: Joining::new(seeds, own_address, now),
            relays: Relays::default(),
            repairs: Repairs::new(now),
            transfers: Transfers::new(now),
            deferred_deaths: DeferredDeaths::default(),
            confirmations: Confirmations::default(),
            generation: Generation::default(),
            output: Output::default(),
            expected_wake: now,
            timings,
            losses,
            random,
        };
        registry.put_member(now, member);
        registry.output.events.clear();
        registry
    }

    /// Handles a message from the node at the internal address `from`.
    pub fn receive(&mut self, now: Instant, from: SocketAddrV4, message: Message) {
        self.begin_step(now);
        if from == self.own_address {
            return;
        }
        self.record_contact(now, from);
        match message {
            Message::Join(member) => self.receive_join(now, from, member),
            Message::Welcome(members) => self.receive_welcome(now, from, members),
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat),
            Message::Ping { asker } => self.send(from, Message::Pong { subject: self.own_id, asker }),
            Message::PingFor(subject) => self.receive_ping_for(from, subject),
            Message::Pong { subject, asker } => self.receive_pong(now, subject, asker),
            Message::Relay(relay) => self.receive_relay(now, from, relay),
            Message::Confirm { incarnation, sequence } => self.receive_confirm(from, incarnation, sequence),
            Message::Buckets(sums) => self.receive_buckets(now, from, &sums),
            Message::Summaries { complete, entries } => self.receive_summaries(now, from, complete, &entries),
            Message::Want(keys) => self.receive_want(now, from, &keys),
            Message::Registers(registers) => self.receive_registers(now, from, registers),
        }
    }

    /// Runs the timers that are due. The caller calls this at [`Registry::next_wake`], and may call it earlier.
    pub fn tick(&mut self, now: Instant) {
        self.begin_step(now);
        self.tick_joining(now);
        self.tick_liveness(now);
        self.tick_executors(now);
        self.tick_repairs(now);
        self.tick_transfers(now);
        self.apply_deferred_deaths(now);
        self.tick_relays(now);
        self.tick_confirmations(now);
        self.expected_wake = self.next_wake();
    }

    /// Returns the time at which the next timer is due.
    pub fn next_wake(&self) -> Instant {
        let wakes = [
            self.joining.next_wake(),
            self.liveness.next_wake(),
            Some(self.executors.next_wake()),
            self.repairs.next_wake(),
            self.transfers.next_wake(),
            self.deferred_deaths.next_wake(),
            self.relays.next_wake(),
            self.confirmations.next_wake(&self.timings),
        ];
        wakes.into_iter().flatten().min().unwrap_or(self.expected_wake)
    }

    /// Takes the messages and events since the last call of this method. The caller calls it after each call that
    /// changes the registry.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Sets the losses that the core tolerates, after the operator has changed them.
    pub fn set_losses(&mut self, losses: Losses) {
        self.losses = losses;
    }

    /// Sets the version of the configuration that this node has, which its heartbeats carry.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = version;
    }

    /// Announces that this node was asked to stop. It still serves requests, but executors are directed to other nodes.
    pub fn leave(&mut self, now: Instant) {
        self.begin_step(now);
        self.change_own_state(now, MemberState::Leaving);
    }

    /// Announces that this node stops now. The caller calls this once, as the last call.
    pub fn left(&mut self, now: Instant) {
        self.begin_step(now);
        self.change_own_state(now, MemberState::Left);
        self.flush_updates();
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.output.messages.push((to, message));
    }

    pub(crate) fn own_heartbeat(&self) -> Message {
        self.heartbeat_message(false)
    }

    pub(crate) fn heartbeat_message(&self, answer: bool) -> Message {
        let own = self.own_member();
        Message::Heartbeat(Heartbeat {
            node: self.own_id,
            incarnation: own.incarnation,
            status_version: own.status_version,
            digest: self.digest.total(),
            configuration_version: self.configuration_version,
            answer,
        })
    }

    /// Returns the register of a key as this node publishes it.
    pub(crate) fn register(&self, key: &Key) -> Option<Register> {
        match key {
            Key::Member(name) => Some(Register::Member(self.member(name)?.clone())),
            Key::Executor(id) => Some(Register::Executor(self.executors.published(id)?)),
            Key::NodeMetadata(name) => Some(Register::NodeMetadata(self.node_metadata.get(name)?.clone())),
        }
    }

    /// Prepares a change of the state: detects a freeze of this process and records the digest before the change.
    pub(crate) fn begin_step(&mut self, now: Instant) {
        self.detect_freeze(now);
        self.repairs.record(now, self.digest.total());
    }

    /// Restarts or postpones all timeouts if this process was frozen.
    fn detect_freeze(&mut self, now: Instant) {
        let late = now.since(self.expected_wake);
        if late > FREEZE_THRESHOLD {
            self.liveness.restart(now);
            self.executors.postpone(late);
            self.confirmations.postpone(late);
        }
        self.expected_wake = self.expected_wake.max(now);
    }
}

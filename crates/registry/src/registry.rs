//! The state machine: what it holds, and how calls and messages reach its parts.

use crate::confirmation::Confirmations;
use crate::digest::Digest;
use crate::executors::Executors;
use crate::join::Joining;
use crate::liveness::Liveness;
use crate::member::{Member, MemberState, NodeId};
use crate::members::MemberEntry;
use crate::message::{Heartbeat, Message};
use crate::register::{Key, Register};
use crate::relay::Relays;
use crate::repair::Repairs;
use crate::ring::Ring;
use crate::{Executor, Losses, MAX_METADATA, MetadataTooLarge, NodeMetadata, Settings, Timings};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// A process that was not called for so long beyond what it asked for has been frozen: its own silence must not
/// count as that of others.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(600);

/// Who is there, as one node knows it.
pub struct Registry {
    pub(crate) timings: Timings,
    pub(crate) losses: Losses,
    pub(crate) random: Pcg64Mcg,
    pub(crate) own_id: NodeId,
    pub(crate) own_name: String,
    pub(crate) own_address: SocketAddrV4,
    pub(crate) configuration_version: u64,
    pub(crate) members: BTreeMap<String, MemberEntry>,
    pub(crate) by_address: HashMap<SocketAddrV4, String>,
    pub(crate) node_metadata: BTreeMap<String, NodeMetadata>,
    pub(crate) executors: Executors,
    pub(crate) digest: Digest,
    pub(crate) ring: Ring,
    pub(crate) liveness: Liveness,
    pub(crate) joining: Joining,
    pub(crate) relays: Relays,
    pub(crate) repairs: Repairs,
    pub(crate) confirmations: Confirmations,
    pub(crate) generation: Generation,
    pub(crate) output: Output,
    expected_wake: Instant,
}

/// Counters that rise whenever something changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Of the nodes.
    pub members: u64,
    /// Of the executors.
    pub executors: u64,
    /// Of the metadata.
    pub node_metadata: u64,
}

/// What a caller has to know at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A node is new, or its register changed.
    MemberChanged {
        /// Its name.
        name: String,
        /// Its state now.
        state: MemberState,
    },
    /// An executor is new, or its register changed.
    ExecutorChanged {
        /// Its id.
        id: String,
    },
    /// A node said something new of itself.
    MetadataChanged {
        /// The name of the node.
        node: String,
    },
    /// Another node has a newer configuration.
    ConfigurationBehind {
        /// The internal address of the other node.
        peer: SocketAddrV4,
        /// The version that it has.
        version: u64,
    },
}

/// What is to be done for the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be sent, each to the node at an internal address.
    pub messages: Vec<(SocketAddrV4, Message)>,
    /// For the caller.
    pub events: Vec<Event>,
}

/// A call of an executor that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// When a call of an executor may be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// At once.
    Now,
    /// Not at all: this node has no room for the executor.
    Never,
    /// When [`Registry::take_completed_calls`] names the token.
    WhenAcknowledged(CallToken),
}

/// What follows from a call of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatEffect {
    /// When it may be answered.
    pub answer: Answer,
    /// The `control_plane` address that it should call from now on.
    pub heartbeat_target: Option<SocketAddrV4>,
}

impl Registry {
    /// A node that has just started and knows only itself and its seeds. Equal seeds of chance give equal runs.
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
            by_address: HashMap::new(),
            node_metadata: BTreeMap::new(),
            executors: Executors::new(now),
            digest: Digest::new(),
            ring: Ring::default(),
            liveness: Liveness::new(now, now + phase, random.random_range(0..1_024)),
            joining: Joining::new(seeds, own_address, now),
            relays: Relays::default(),
            repairs: Repairs::new(now),
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

    /// Takes a message in from the node at the internal address `from`.
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

    /// Does what is due. To be called at [`Registry::next_wake`], and any time before.
    pub fn tick(&mut self, now: Instant) {
        self.begin_step(now);
        self.tick_joining(now);
        self.tick_liveness(now);
        self.tick_executors(now);
        self.tick_repairs(now);
        self.tick_relays(now);
        self.tick_confirmations(now);
        self.expected_wake = self.next_wake();
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Instant {
        let wakes = [
            self.joining.next_wake(),
            self.liveness.next_wake(),
            Some(self.executors.next_wake()),
            self.repairs.next_wake(),
            self.relays.next_wake(),
            self.confirmations.next_wake(&self.timings),
        ];
        wakes.into_iter().flatten().min().unwrap_or(self.expected_wake)
    }

    /// What has come up since the last call: to be taken after each call that changes something.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// All nodes in the order of their names, this one and those that are dead for a while too.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// The nodes that run as far as is known, this one among them.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.serves())
    }

    /// The node of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        Some(&self.members.get(name)?.member)
    }

    /// Since when this node holds the node of this name for what it is now.
    pub fn state_since(&self, name: &str) -> Option<Instant> {
        Some(self.members.get(name)?.changed)
    }

    /// The node with this disk; of two the one that runs, then the later one.
    pub fn member_by_replica(&self, replica: u64) -> Option<&Member> {
        self.members()
            .filter(|member| member.replica == Some(replica))
            .max_by_key(|member| (member.serves(), member.incarnation))
    }

    /// This node.
    pub fn own_member(&self) -> &Member {
        // The own register is put in at the start and never taken out.
        &self.members[&self.own_name].member
    }

    /// All executors in the order of their ids, also those that are unresponsive or gone for a while.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.executors.iter()
    }

    /// The executors of one service.
    pub fn executors_of(&self, service: &str) -> impl Iterator<Item = &Executor> {
        self.executors().filter(move |executor| executor.service == service)
    }

    /// The executor with this id.
    pub fn executor(&self, id: &str) -> Option<&Executor> {
        self.executors.get(id)
    }

    /// What the nodes say of themselves, also those that are dead for a while.
    pub fn node_metadata(&self) -> impl Iterator<Item = &NodeMetadata> {
        self.node_metadata.values()
    }

    /// What the node of this name says of itself.
    pub fn metadata_of(&self, name: &str) -> Option<&NodeMetadata> {
        self.node_metadata.get(name)
    }

    /// Counters that rise whenever something changes.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The version of the configuration that this node has; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Says what may be lost at once, as the operator has changed it.
    pub fn set_losses(&mut self, losses: Losses) {
        self.losses = losses;
    }

    /// Says which configuration this node has. Its heartbeats carry the version on.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = version;
    }

    /// Tells all nodes something of this one, in the place of what it said before.
    ///
    /// # Errors
    /// Refuses more than [`MAX_METADATA`] bytes.
    pub fn set_metadata(&mut self, now: Instant, payload: Vec<u8>) -> Result<(), MetadataTooLarge> {
        if payload.len() > MAX_METADATA {
            return Err(MetadataTooLarge { length: payload.len() });
        }
        self.begin_step(now);
        let counter =
            self.node_metadata.get(&self.own_name).map_or(0, |node_metadata| node_metadata.counter) + 1;
        let incarnation = self.own_member().incarnation;
        self.put_facts(NodeMetadata { node: self.own_name.clone(), incarnation, counter, payload });
        self.announce(now, Key::NodeMetadata(self.own_name.clone()));
        Ok(())
    }

    /// Says that this node was asked to stop. It still serves, but executors are sent elsewhere.
    pub fn leave(&mut self, now: Instant) {
        self.begin_step(now);
        self.change_own_state(now, MemberState::Leaving);
    }

    /// Says that this node stops now: to be called once, last.
    pub fn left(&mut self, now: Instant) {
        self.begin_step(now);
        self.change_own_state(now, MemberState::Left);
        self.flush_updates();
    }

    /// The internal addresses to which this node forwards what the node `origin` tells all: its place in the tree
    /// of relays that is rooted there.
    pub fn relay_children(&self, origin: &str) -> Vec<SocketAddrV4> {
        self.children(NodeId::of(origin))
    }

    /// As [`Registry::relay_children`], by the id of the node; nothing where no live node has it.
    pub fn relay_children_of(&self, origin: NodeId) -> Option<Vec<SocketAddrV4>> {
        self.member_of(origin).filter(|entry| entry.member.serves()).map(|_| self.children(origin))
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

    /// The register of a key as it is to be told.
    pub(crate) fn register(&self, key: &Key) -> Option<Register> {
        match key {
            Key::Member(name) => Some(Register::Member(self.member(name)?.clone())),
            Key::Executor(id) => Some(Register::Executor(self.executors.published(id)?)),
            Key::NodeMetadata(name) => Some(Register::NodeMetadata(self.node_metadata.get(name)?.clone())),
        }
    }

    pub(crate) fn put_facts(&mut self, node_metadata: NodeMetadata) {
        let node = node_metadata.node.clone();
        self.node_metadata.insert(node.clone(), node_metadata);
        self.update_metadata_digest(&node);
        self.generation.node_metadata += 1;
        self.output.events.push(Event::MetadataChanged { node });
    }

    /// Metadata count in the digest while their node lives.
    pub(crate) fn update_metadata_digest(&mut self, node: &str) {
        let Some(node_metadata) = self.node_metadata.get(node) else {
            return;
        };
        let live = self.members.get(node).is_some_and(|entry| entry.member.serves());
        self.digest.set(
            Key::NodeMetadata(node.to_owned()),
            Register::NodeMetadata(node_metadata.clone()).hash(),
            live,
        );
    }

    /// To be called before anything changes.
    pub(crate) fn begin_step(&mut self, now: Instant) {
        self.detect_freeze(now);
        self.repairs.record(now, self.digest.total());
    }

    /// After a freeze all waits begin anew.
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

//! Connects the links, the pending calls and the registry with the rest of the node: passes frames and calls
//! to the modules that handle them, and sends the replies.
//!
//! This module owns no state. No other module gives the links and the pending calls access to the node.

use crate::control::partition_host::Waiter;
use crate::control::peer_directory::PeerDirectory;
use crate::links::calls::{CallStep, CallTarget, Continuation, EndedCall, PendingCalls};
use crate::links::messages::{Call, CallEnvelope, CallNumber, Channel, Reply, ReplyEnvelope};
use crate::links::peer_links::{self, LinkContext, PeerLinks};
use crate::node::Node;
use crate::runtime::timers::Timer;
use grebeusher_quorum::{Group, ReplicaId};
use grebeusher_registry::{Event, Message};
use grebeusher_time::{Duration, Instant};
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddrV4;

impl Node {
    /// Calls `action` with the links and the parts of the node that they use.
    pub(crate) fn with_links<T>(
        &mut self,
        action: impl FnOnce(&mut PeerLinks, &mut LinkContext<'_>) -> T,
    ) -> T {
        let mut context = LinkContext {
            now: self.now,
            world: &*self.world,
            connections: &mut self.connections,
            alarms: &mut self.alarms,
            traffic: &mut self.traffic,
        };
        action(&mut self.links, &mut context)
    }

    /// Sends a frame to a node, which may be this one. Delivery is not guaranteed.
    pub fn send_frame(&mut self, to: SocketAddrV4, channel: Channel, payload: &[u8]) {
        if to == self.links.own_address() {
            return self.receive_frame(to, channel, payload);
        }
        self.with_links(|links, context| links.send(context, to, channel, payload));
    }

    /// Reads an incoming link and handles the frames that have arrived. Closes the link if its peer has
    /// closed it.
    pub(crate) fn incoming_ready(&mut self, index: usize) {
        let serial = self.connections.serial(index);
        let read = peer_links::read_incoming(&mut self.connections, index);
        while self.connections.serial(index) == serial
            && let Some(frame) = peer_links::next_received(&mut self.connections, index)
        {
            self.traffic.count_received(frame.channel, &frame.payload);
            self.receive_frame(frame.peer, frame.channel, &frame.payload);
        }
        if read.is_err() && self.connections.serial(index) == serial {
            self.connections.close(index);
        }
    }

    /// Handles a frame from another node, or from this node to itself.
    pub fn receive_frame(&mut self, from: SocketAddrV4, channel: Channel, payload: &[u8]) {
        self.calls.received_from(from);
        match channel {
            Channel::Registry => {
                if let Ok(message) = Message::decode(payload) {
                    self.registry.receive(self.now, from, message);
                }
            }
            Channel::Quorum => self.receive_quorum(payload),
            Channel::Popularity => self.receive_popularity(payload),
            Channel::BatchLoad => self.receive_batch_load(payload),
            Channel::Call => {
                if let Ok(envelope) = <CallEnvelope as DeBin>::deserialize_bin(payload) {
                    self.receive_call(from, envelope);
                }
            }
            Channel::Reply => {
                if let Ok(envelope) = <ReplyEnvelope as DeBin>::deserialize_bin(payload) {
                    self.run_call_step(|calls, peers| calls.handle_reply(from, envelope, peers));
                }
            }
        }
    }

    /// A view of the peers that are known now.
    pub(crate) fn peer_directory(&self) -> PeerDirectory<'_> {
        PeerDirectory {
            now: self.now,
            registry: &self.registry,
            leaders: &self.leaders,
            own_address: self.links.own_address(),
        }
    }

    /// The address of the node that leads a partition, according to the announcement with the highest term.
    pub fn known_leader(&self, partition: u8) -> Option<SocketAddrV4> {
        self.peer_directory().leader(partition)
    }

    /// Sends a call to the leader of a partition, at whichever node it is, and tries again until `deadline`.
    pub(crate) fn call_leader(
        &mut self,
        partition: u8,
        call: Call,
        deadline: Instant,
        continuation: Continuation,
    ) {
        let target = CallTarget::Leader(partition);
        self.run_call_step(|calls, peers| calls.begin(target, call, deadline, continuation, peers));
    }

    /// Sends a call to one node and waits for its reply until `deadline` at the latest.
    pub(crate) fn call_node(
        &mut self,
        to: SocketAddrV4,
        call: Call,
        deadline: Instant,
        continuation: Continuation,
    ) {
        let target = CallTarget::Node(to);
        self.run_call_step(|calls, peers| calls.begin(target, call, deadline, continuation, peers));
    }

    /// Forwards another node's encoded call to the leader of a partition.
    fn forward_call(&mut self, waiter: Waiter, partition: u8, timeout_ms: u32, call: &[u8]) {
        let Ok(call) = <Call as DeBin>::deserialize_bin(call) else { return };
        let deadline = self.now + Duration::from_millis(u64::from(timeout_ms));
        let continuation = Continuation::Forwarded { peer: waiter.peer, number: waiter.number };
        self.call_leader(partition, call, deadline, continuation);
    }

    /// Calls `action` with the pending calls, and carries out the step that it returns.
    pub(crate) fn run_call_step(
        &mut self,
        action: impl FnOnce(&mut PendingCalls, &PeerDirectory<'_>) -> Option<CallStep>,
    ) {
        let peers = PeerDirectory {
            now: self.now,
            registry: &self.registry,
            leaders: &self.leaders,
            own_address: self.links.own_address(),
        };
        match action(&mut self.calls, &peers) {
            Some(CallStep::Send { target, envelope, timeout_at }) => {
                self.alarms.set(timeout_at, Timer::CallExpires { number: envelope.number });
                self.send_frame(target, Channel::Call, &SerBin::serialize_bin(&envelope));
            }
            Some(CallStep::RetryAt { number, at }) => drop(self.alarms.set(at, Timer::CallRetry { number })),
            Some(CallStep::End(ended)) => self.end_call(ended),
            None => {}
        }
    }

    fn end_call(&mut self, ended: EndedCall) {
        if let Some(unresponsive) = ended.unresponsive {
            // A device on the path may have dropped the state of an idle connection; the operating system
            // notices that late.
            self.links.close_link_to(&mut self.connections, unresponsive);
        }
        let reply = ended.reply;
        match ended.continuation {
            Continuation::Operator { connection, serial, kind } => {
                self.operator_reply(connection, serial, kind, reply);
            }
            Continuation::Batch { connection, serial, kind } => {
                self.batch_reply(connection, serial, kind, reply);
            }
            Continuation::Configuration(source) => self.fetched_configuration(reply, source),
            Continuation::Bootstrap { partition, voter } => self.bootstrap_reply(partition, voter, &reply),
            Continuation::Forwarded { peer, number } => self.reply(peer, number, reply),
            Continuation::Retire { request } => self.retire_reply(request, &reply),
            Continuation::Rollouts => self.rollouts_synced(&reply),
        }
    }

    /// Sends the reply to a node's call.
    pub fn reply(&mut self, to: SocketAddrV4, number: CallNumber, reply: Reply) {
        let envelope = ReplyEnvelope { number, reply };
        self.send_frame(to, Channel::Reply, &SerBin::serialize_bin(&envelope));
    }

    /// Passes a node's call to the module that handles it.
    fn receive_call(&mut self, from: SocketAddrV4, envelope: CallEnvelope) {
        let waiter = Waiter { peer: from, number: envelope.number };
        match envelope.call {
            Call::Bootstrap { partition, voters } => self.bootstrap_partition(waiter, partition, &voters),
            Call::ReplaceConfiguration { base, body } => {
                self.replace_configuration_at_leader(waiter, base, body);
            }
            Call::ShowConfiguration => self.show_configuration_at_leader(waiter),
            Call::ShowPartition { partition } => self.show_partition_at_leader(waiter, partition),
            Call::FetchConfiguration { newer_than } => self.reply_with_configuration(waiter, newer_than),
            Call::SubmitJob(call) => self.submit_at_leader(waiter, call),
            Call::OfferJob(offer) => self.offer_at_leader(waiter, &offer),
            Call::ReadJob { partition, job, resume_after, hold_ms } => {
                self.read_at_leader(waiter, partition, &job, resume_after, hold_ms);
            }
            Call::ReadItem { partition, job, item } => {
                self.read_item_at_leader(waiter, partition, &job, &item);
            }
            Call::EndJob { partition, job } => self.end_at_leader(waiter, partition, &job),
            Call::Forward { partition, timeout_ms, call } => {
                self.forward_call(waiter, partition, timeout_ms, &call);
            }
            Call::BeginRetire { partition, node } => self.begin_retire_at_leader(waiter, partition, &node),
            Call::ShowRetire { partition, node } => self.show_retire_at_leader(waiter, partition, &node),
            Call::BeginRollout(order) => self.begin_rollout_at_leader(waiter, order),
            Call::ShowRollout { service } => self.show_rollout_at_leader(waiter, &service),
            Call::SyncRollouts { newer_than } => self.sync_rollouts_at_leader(waiter, newer_than),
        }
    }

    /// Bootstraps a partition with its voters; only a process that is configured for the first start of the
    /// system accepts this. The reply is sent once the state is on disk.
    fn bootstrap_partition(&mut self, waiter: Waiter, partition: u8, voters: &[u64]) {
        let group = Group::of(voters.iter().copied().map(ReplicaId));
        let bootstrap = self.settings.bootstrap;
        let accepted = match self.partitions.iter_mut().find(|host| host.partition == partition) {
            Some(host) if bootstrap => host.replica.bootstrap(group).is_ok(),
            _ => false,
        };
        let reply = if accepted { Reply::Done } else { Reply::Unavailable };
        self.reply(waiter.peer, waiter.number, reply);
    }

    fn reply_with_configuration(&mut self, waiter: Waiter, newer_than: u64) {
        let reply = self.configuration.newer_than(newer_than);
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Runs the registry's timers, sends its messages and handles its events.
    pub fn run_registry(&mut self) {
        let now = self.now;
        if now >= self.registry.next_wake() {
            self.traffic.registry_ticks += 1;
            self.registry.tick(now);
        }
        self.answer_acknowledged();
        let output = self.registry.take_output();
        for (to, message) in output.messages {
            self.send_frame(to, Channel::Registry, &message.encode());
        }
        for event in output.events {
            self.registry_event(event);
        }
    }

    fn registry_event(&mut self, event: Event) {
        match event {
            Event::ConfigurationBehind { peer, .. } => self.configuration_behind(peer),
            Event::MemberChanged { name, .. } => {
                if let Some(member) = self.registry.member(&name)
                    && let Some(replica) = member.replica
                {
                    self.replica_names.record(replica, name);
                }
                self.routing_changed = true;
            }
            Event::ExecutorChanged { .. } => self.routing_changed = true,
            Event::MetadataChanged { .. } => {}
        }
    }

    /// The numbers of the partitions that hold batch jobs.
    pub fn batch_partitions(&self) -> Vec<u8> {
        (1..=crate::batch::api::BATCH_PARTITIONS).collect()
    }
}

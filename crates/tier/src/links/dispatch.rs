//! What comes from other nodes, and what the registry wants done.

use crate::control::partitions::Waiter;
use crate::links::messages::{Call, CallEnvelope, Channel, Reply, ReplyEnvelope};
use crate::node::Node;
use grebeusher_quorum::{Group, ReplicaId};
use grebeusher_registry::{Event, Message};
use nanoserde::DeBin;
use std::net::SocketAddrV4;

impl Node {
    /// A frame of another node, or of this one to itself.
    pub fn receive_frame(&mut self, from: SocketAddrV4, channel: Channel, payload: &[u8]) {
        self.heard_from(from);
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
                    self.receive_reply(from, envelope);
                }
            }
        }
    }

    fn receive_call(&mut self, from: SocketAddrV4, envelope: CallEnvelope) {
        let waiter = Waiter { peer: from, number: envelope.number };
        match envelope.call {
            Call::Found { partition, voters } => self.found_partition(waiter, partition, &voters),
            Call::ReplaceConfiguration { base, body } => self.replace_at_leader(waiter, base, body),
            Call::ShowConfiguration => self.show_at_leader(waiter),
            Call::ShowPartition { partition } => self.show_partition_at_leader(waiter, partition),
            Call::FetchConfiguration { newer_than } => self.fetch_here(waiter, newer_than),
            Call::SubmitJob(call) => self.submit_at_leader(waiter, call),
            Call::OfferJob(offer) => self.offered_to_leader(waiter, &offer),
            Call::ReadJob { partition, job, resume_after, hold_ms } => {
                self.read_at_leader(waiter, partition, &job, resume_after, hold_ms);
            }
            Call::ReadItem { partition, job, item } => {
                self.read_item_at_leader(waiter, partition, &job, &item)
            }
            Call::EndJob { partition, job } => self.end_at_leader(waiter, partition, &job),
            Call::Forward { partition, within_ms, call } => {
                self.forward_call(waiter.peer, waiter.number, partition, within_ms, &call);
            }
            Call::BeginRetire { partition, node } => self.begin_retire_at_leader(waiter, partition, &node),
            Call::ShowRetire { partition, node } => self.show_retire_at_leader(waiter, partition, &node),
        }
    }

    /// Only a process of the first start is founded; the answer leaves when it is on disk.
    fn found_partition(&mut self, waiter: Waiter, partition: u8, voters: &[u64]) {
        let group = Group::of(voters.iter().copied().map(ReplicaId));
        let bootstrap = self.settings.bootstrap;
        let founded = match self.partitions.iter_mut().find(|host| host.partition == partition) {
            Some(host) if bootstrap => host.replica.bootstrap(group).is_ok(),
            _ => false,
        };
        let reply = if founded { Reply::Done } else { Reply::Unavailable };
        self.reply(waiter.peer, waiter.number, reply);
    }

    fn fetch_here(&mut self, waiter: Waiter, newer_than: u64) {
        let reply = match &self.configuration {
            Some(active) if active.version > newer_than => {
                Reply::Configuration { version: active.version, body: active.body.to_vec() }
            }
            _ => Reply::Configuration { version: 0, body: Vec::new() },
        };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Does what the registry wants done.
    pub fn pump_registry(&mut self) {
        let now = self.now;
        if now >= self.registry.next_wake() {
            self.traffic.registry_ticks += 1;
            self.registry.tick(now);
        }
        self.answer_told();
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
                    self.replica_names.insert(replica, name);
                }
                self.routing_changed = true;
            }
            Event::ExecutorChanged { .. } => self.routing_changed = true,
            Event::MetadataChanged { .. } => {}
        }
    }

    /// The partitions that hold batch jobs.
    pub fn batch_partitions(&self) -> Vec<u8> {
        (1..=crate::batch::api::BATCH_PARTITIONS).collect()
    }
}

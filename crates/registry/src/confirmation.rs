//! Confirmed broadcasts of drains: the call of an executor is acknowledged once all live nodes have confirmed its new
//! state, or at a deadline, but never before more machines of the core have the state than the tolerated losses.
//!
//! An acknowledgement is valid for all nodes in contact with the core, including nodes that this node cannot reach or
//! considers dead: they learn of the drain from a machine of the core. At least one machine that confirmed survives the
//! tolerated losses and is therefore in contact with them. An isolated node receives no confirmations and acknowledges
//! nothing, so that the executor calls another node.

use crate::event::{Answer, CallToken};
use crate::message::{Message, Relay};
use crate::register::Key;
use crate::registry::Registry;
use crate::{Class, ExecutorState, Losses, Member, Register, Timings};
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// How long a broadcast is resent directly to nodes that have not confirmed it, even after the call was answered.
const RESEND_DURATION: Duration = Duration::from_millis(2_000);

/// A relay that all live nodes have to confirm, and the calls that wait for the confirmations.
struct ConfirmedBroadcast {
    relay: Relay,
    /// The internal addresses of the live nodes that have not confirmed the relay.
    outstanding: BTreeSet<SocketAddrV4>,
    core_replicas: CoreReplicas,
    calls: Vec<CallToken>,
    started: Instant,
    next_retry: Instant,
}

/// The machines of the core that have confirmed a broadcast.
#[derive(Default)]
struct CoreReplicas {
    machines: BTreeSet<SocketAddrV4>,
    zones: BTreeSet<String>,
}

impl CoreReplicas {
    fn insert(&mut self, member: &Member) {
        self.machines.insert(member.address);
        self.zones.insert(member.zone.clone());
    }

    /// Returns whether at least one of the machines is left after any tolerated losses.
    fn survive(&self, losses: Losses) -> bool {
        self.machines.len() > losses.machines && self.zones.len() > losses.zones
    }
}

/// The waiting calls of executors that can be answered now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletedCalls {
    /// The calls to acknowledge.
    pub acknowledged: Vec<CallToken>,
    /// The calls that must not be acknowledged because too few machines have confirmed, so that the executor calls
    /// another node.
    pub rejected: Vec<CallToken>,
}

/// The state of the confirmed broadcasts.
#[derive(Default)]
pub(crate) struct Confirmations {
    broadcasts: Vec<ConfirmedBroadcast>,
    /// The ids of the executors whose updates are sent at the next flush, with the calls that wait for them.
    batched: BTreeMap<String, Vec<CallToken>>,
    next_flush: Option<Instant>,
    next_token: u64,
}

impl Confirmations {
    pub(crate) fn next_wake(&self, timings: &Timings) -> Option<Instant> {
        let broadcasts = self.broadcasts.iter().map(|broadcast| {
            let deadline = broadcast.started + timings.confirm_timeout;
            if broadcast.calls.is_empty() { broadcast.next_retry } else { broadcast.next_retry.min(deadline) }
        });
        broadcasts.chain(self.next_flush).min()
    }

    pub(crate) fn postpone(&mut self, by: Duration) {
        for broadcast in &mut self.broadcasts {
            broadcast.started = broadcast.started + by;
        }
    }
}

impl Registry {
    /// Returns the calls that may be answered now, each of them once. The caller calls this after each message and
    /// tick.
    pub fn take_completed_calls(&mut self, now: Instant) -> CompletedCalls {
        let (timeout, losses) = (self.timings.confirm_timeout, self.losses);
        let mut completed = CompletedCalls::default();
        for broadcast in &mut self.confirmations.broadcasts {
            if broadcast.may_be_acknowledged(now, timeout, losses) {
                completed.acknowledged.append(&mut broadcast.calls);
            } else if broadcast.has_timed_out(now, timeout) {
                completed.rejected.append(&mut broadcast.calls);
            }
        }
        completed
    }

    /// Broadcasts that an executor accepts no more requests; the call waits for the confirmations.
    pub(crate) fn broadcast_state(&mut self, now: Instant, id: &str, state: ExecutorState) -> Answer {
        let (timeout, losses) = (self.timings.confirm_timeout, self.losses);
        let broadcasts = &mut self.confirmations.broadcasts;
        let in_flight = broadcasts.iter_mut().find(|broadcast| broadcast.covers(id, state));
        if in_flight.as_ref().is_some_and(|broadcast| broadcast.may_be_acknowledged(now, timeout, losses)) {
            return Answer::Now;
        }
        self.confirmations.next_token += 1;
        let token = CallToken(self.confirmations.next_token);
        match in_flight {
            Some(broadcast) => broadcast.calls.push(token),
            None => {
                self.confirmations.batched.entry(id.to_owned()).or_default().push(token);
                self.confirmations.next_flush.get_or_insert(now + self.timings.urgent_batch);
            }
        }
        Answer::WhenAcknowledged(token)
    }

    pub(crate) fn receive_confirm(&mut self, from: SocketAddrV4, incarnation: u64, sequence: u64) {
        let core_member = self.names_by_address.get(&from).and_then(|name| self.member(name)).cloned();
        let core_member = core_member.filter(|member| self.is_core(member));
        let broadcast = self.confirmations.broadcasts.iter_mut().find(|broadcast| {
            (broadcast.relay.incarnation, broadcast.relay.sequence) == (incarnation, sequence)
        });
        if let Some(broadcast) = broadcast {
            broadcast.outstanding.remove(&from);
            core_member.iter().for_each(|member| broadcast.core_replicas.insert(member));
        }
        self.retire_broadcasts();
    }

    pub(crate) fn tick_confirmations(&mut self, now: Instant) {
        if self.confirmations.next_flush.is_some_and(|at| at <= now) {
            self.flush_broadcasts(now);
        }
        if self.confirmations.broadcasts.is_empty() {
            return;
        }
        self.resend_broadcasts(now);
        self.retire_broadcasts();
    }

    fn resend_broadcasts(&mut self, now: Instant) {
        let live: BTreeSet<SocketAddrV4> =
            self.ring.others().map(|ring_member| ring_member.address).collect();
        let retry = self.timings.confirm_retry;
        for broadcast in &mut self.confirmations.broadcasts {
            broadcast.outstanding.retain(|address| live.contains(address));
            if broadcast.next_retry <= now {
                broadcast.next_retry = now + retry;
                let to_message = |to: &SocketAddrV4| (*to, Message::Relay(broadcast.relay.clone()));
                self.output.messages.extend(broadcast.outstanding.iter().map(to_message));
            }
            if now.since(broadcast.started) > RESEND_DURATION {
                broadcast.outstanding.clear();
            }
        }
    }

    fn flush_broadcasts(&mut self, now: Instant) {
        self.confirmations.next_flush = None;
        let mut batched = std::mem::take(&mut self.confirmations.batched);
        let keys: Vec<Key> = batched.keys().cloned().map(Key::Executor).collect();
        for registers in self.registers_in_messages(&keys) {
            let ids = registers.iter().filter_map(Register::as_executor).map(|executor| &executor.report.id);
            let calls = ids.filter_map(|id| batched.remove(id)).flatten().collect();
            let relay = self.new_relay(true, registers);
            self.forward(&relay);
            let outstanding = self.ring.others().map(|ring_member| ring_member.address).collect();
            let next_retry = now + self.timings.confirm_retry;
            let mut core_replicas = CoreReplicas::default();
            if self.is_core(self.own_member()) {
                core_replicas.insert(self.own_member());
            }
            let broadcast =
                ConfirmedBroadcast { relay, outstanding, core_replicas, calls, started: now, next_retry };
            self.confirmations.broadcasts.push(broadcast);
        }
    }

    /// Returns whether a node is a machine of the core: an edge node with a disk, or any edge node if no edge node with
    /// a disk is known.
    fn is_core(&self, member: &Member) -> bool {
        let has_disk = |member: &Member| member.class == Class::Edge && member.replica.is_some();
        has_disk(member) || (member.class == Class::Edge && !self.members().any(has_disk))
    }

    /// Removes the broadcasts for which no confirmation is outstanding and whose calls are all completed. A broadcast
    /// without outstanding confirmations sets the confirmed state of its executors if enough machines of the core have
    /// it.
    fn retire_broadcasts(&mut self) {
        let losses = self.losses;
        let broadcasts = std::mem::take(&mut self.confirmations.broadcasts);
        for broadcast in broadcasts {
            if broadcast.outstanding.is_empty() && broadcast.core_replicas.survive(losses) {
                let executors = broadcast.relay.registers.iter().filter_map(Register::as_executor);
                executors.for_each(|executor| {
                    self.executors.set_confirmed_state(&executor.report.id, executor.report.state);
                });
            }
            if !broadcast.outstanding.is_empty() || !broadcast.calls.is_empty() {
                self.confirmations.broadcasts.push(broadcast);
            }
        }
    }
}

impl ConfirmedBroadcast {
    /// Returns whether the calls of the broadcast may be acknowledged.
    fn may_be_acknowledged(&self, now: Instant, timeout: Duration, losses: Losses) -> bool {
        self.core_replicas.survive(losses)
            && (self.outstanding.is_empty() || self.has_timed_out(now, timeout))
    }

    /// Returns whether the calls of the broadcast have waited for the whole timeout.
    fn has_timed_out(&self, now: Instant, timeout: Duration) -> bool {
        now.since(self.started) >= timeout
    }

    /// Returns whether the broadcast announces the executor in this state or a later one.
    fn covers(&self, id: &str, state: ExecutorState) -> bool {
        let mut executors = self.relay.registers.iter().filter_map(Register::as_executor);
        executors.any(|executor| executor.report.id == id && executor.report.state >= state)
    }
}

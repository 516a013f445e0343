//! Confirmed broadcasts of drains: the call of an executor is acknowledged once all live nodes have confirmed its new
//! state, or at a deadline; and never before more machines of the core have it than may be lost.
//!
//! An acknowledgement binds all nodes in contact with the core, also those that this node cannot reach or considers
//! dead: they learn of the drain from a machine of the core. At least one machine that confirmed survives the losses,
//! and so is in contact with them. An isolated node receives no confirmations and acknowledges nothing: the executor
//! then calls another node.

use crate::event::{Answer, CallToken};
use crate::message::{Message, Relay};
use crate::register::Key;
use crate::registry::Registry;
use crate::{Class, ExecutorState, Losses, Member, Register, Timings};
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// For how long a broadcast is resent directly to nodes that have not confirmed it, also after the call was answered.
const RESEND_DURATION: Duration = Duration::from_millis(2_000);

/// A relay that all live nodes have to confirm, and the calls that wait for it.
struct ConfirmedBroadcast {
    relay: Relay,
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

    /// Whether at least one of them is left after any tolerated losses.
    fn survive(&self, losses: Losses) -> bool {
        self.machines.len() > losses.machines && self.zones.len() > losses.zones
    }
}

/// How a call of an executor that waited ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletedCalls {
    /// To be acknowledged.
    pub acknowledged: Vec<CallToken>,
    /// Too few machines have acknowledged: not to be acknowledged, so that the executor calls another node.
    pub rejected: Vec<CallToken>,
}

/// The state of drains.
#[derive(Default)]
pub(crate) struct Confirmations {
    broadcasts: Vec<ConfirmedBroadcast>,
    /// Executors whose updates go out with the next flush, and the calls that wait for them.
    batched: BTreeMap<String, Vec<CallToken>>,
    flush: Option<Instant>,
    next_token: u64,
}

impl Confirmations {
    pub(crate) fn next_wake(&self, timings: &Timings) -> Option<Instant> {
        let broadcasts = self.broadcasts.iter().map(|broadcast| {
            let bound = broadcast.started + timings.confirm_bound;
            if broadcast.calls.is_empty() { broadcast.next_retry } else { broadcast.next_retry.min(bound) }
        });
        broadcasts.chain(self.flush).min()
    }

    pub(crate) fn postpone(&mut self, by: Duration) {
        for broadcast in &mut self.broadcasts {
            broadcast.started = broadcast.started + by;
        }
    }
}

impl Registry {
    /// The calls that may be answered now. To be asked after each message and tick; each call is named once.
    pub fn take_completed_calls(&mut self, now: Instant) -> CompletedCalls {
        let (bound, losses) = (self.timings.confirm_bound, self.losses);
        let mut completed = CompletedCalls::default();
        for broadcast in &mut self.confirmations.broadcasts {
            if broadcast.may_be_acknowledged(now, bound, losses) {
                completed.acknowledged.append(&mut broadcast.calls);
            } else if broadcast.has_timed_out(now, bound) {
                completed.rejected.append(&mut broadcast.calls);
            }
        }
        completed
    }

    /// Broadcasts that an executor takes no more requests; the call waits for the confirmations.
    pub(crate) fn broadcast_state(&mut self, now: Instant, id: &str, state: ExecutorState) -> Answer {
        let (bound, losses) = (self.timings.confirm_bound, self.losses);
        let broadcasts = &mut self.confirmations.broadcasts;
        let in_flight = broadcasts.iter_mut().find(|broadcast| broadcast.covers(id, state));
        if in_flight.as_ref().is_some_and(|broadcast| broadcast.may_be_acknowledged(now, bound, losses)) {
            return Answer::Now;
        }
        self.confirmations.next_token += 1;
        let token = CallToken(self.confirmations.next_token);
        match in_flight {
            Some(broadcast) => broadcast.calls.push(token),
            None => {
                self.confirmations.batched.entry(id.to_owned()).or_default().push(token);
                self.confirmations.flush.get_or_insert(now + self.timings.urgent_batch);
            }
        }
        Answer::WhenAcknowledged(token)
    }

    pub(crate) fn receive_confirm(&mut self, from: SocketAddrV4, incarnation: u64, sequence: u64) {
        let core_member = self.by_address.get(&from).and_then(|name| self.member(name)).cloned();
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
        if self.confirmations.flush.is_some_and(|flush| flush <= now) {
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
                let resent = |to: &SocketAddrV4| (*to, Message::Relay(broadcast.relay.clone()));
                self.output.messages.extend(broadcast.outstanding.iter().map(resent));
            }
            if now.since(broadcast.started) > RESEND_DURATION {
                broadcast.outstanding.clear();
            }
        }
    }

    fn flush_broadcasts(&mut self, now: Instant) {
        self.confirmations.flush = None;
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

    /// Whether a node is a machine of the core: an edge node with a disk, or where no disk is known any edge node.
    fn is_core(&self, member: &Member) -> bool {
        let has_disk = |member: &Member| member.class == Class::Edge && member.replica.is_some();
        has_disk(member) || (member.class == Class::Edge && !self.members().any(has_disk))
    }

    /// Drops the broadcasts that nobody has still to confirm and whose calls were all completed.
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
    /// Whether its calls may be acknowledged.
    fn may_be_acknowledged(&self, now: Instant, bound: Duration, losses: Losses) -> bool {
        self.core_replicas.survive(losses) && (self.outstanding.is_empty() || self.has_timed_out(now, bound))
    }

    /// Whether its calls wait no longer.
    fn has_timed_out(&self, now: Instant, bound: Duration) -> bool {
        now.since(self.started) >= bound
    }

    fn covers(&self, id: &str, state: ExecutorState) -> bool {
        let mut executors = self.relay.registers.iter().filter_map(Register::as_executor);
        executors.any(|executor| executor.report.id == id && executor.report.state >= state)
    }
}

//! Drains: a call is acknowledged when every live node has confirmed what it said, or after a bound; and never before it is
//! kept by more machines of the core than may be lost.
//!
//! An acknowledgement binds all nodes that are in touch with the core, also those that the node which gives it can't reach
//! or holds for dead: they learn of the drain from a machine of the core that has it. At least one of those that confirmed
//! is none of the lost ones, and so in touch with them. A node that is cut off hears no confirmations and acknowledges
//! nothing: the executor then calls another node.

use crate::message::{Message, Relay};
use crate::register::Key;
use crate::registry::{Answer, CallToken, Registry};
use crate::{Class, ExecutorState, Losses, Member, Register, Timings};
use grebeusher_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// For how long nodes that have not confirmed are told again directly, also after the call was answered.
const INSISTENCE: Duration = Duration::from_millis(2_000);

/// News that everyone has to confirm.
struct Telling {
    relay: Relay,
    outstanding: BTreeSet<SocketAddrV4>,
    copies: Copies,
    calls: Vec<CallToken>,
    started: Instant,
    next_retry: Instant,
}

/// The machines of the core that have some news.
#[derive(Default)]
struct Copies {
    machines: BTreeSet<SocketAddrV4>,
    zones: BTreeSet<String>,
}

impl Copies {
    fn note(&mut self, member: &Member) {
        self.machines.insert(member.address);
        self.zones.insert(member.zone.clone());
    }

    /// Whether one of them is left, and knows the news, whatever is lost.
    fn outlast(&self, losses: Losses) -> bool {
        self.machines.len() > losses.machines && self.zones.len() > losses.zones
    }
}

/// How a call of an executor that waited ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledCalls {
    /// To be acknowledged.
    pub told: Vec<CallToken>,
    /// Too few machines have confirmed: not to be acknowledged, so that the executor calls another node.
    pub untold: Vec<CallToken>,
}

/// The state of drains.
#[derive(Default)]
pub(crate) struct Confirmations {
    tellings: Vec<Telling>,
    /// Executors whose news go out with the next flush, and the calls that wait for them.
    gathered: BTreeMap<String, Vec<CallToken>>,
    flush: Option<Instant>,
    next_token: u64,
}

impl Confirmations {
    pub(crate) fn next_wake(&self, timings: &Timings) -> Option<Instant> {
        let tellings = self.tellings.iter().map(|telling| {
            let bound = telling.started + timings.confirm_bound;
            if telling.calls.is_empty() { telling.next_retry } else { telling.next_retry.min(bound) }
        });
        tellings.chain(self.flush).min()
    }

    pub(crate) fn shift(&mut self, by: Duration) {
        for telling in &mut self.tellings {
            telling.started = telling.started + by;
        }
    }
}

impl Registry {
    /// The calls that may be answered now. To be asked after each message and tick; each call is named once.
    pub fn settled_calls(&mut self, now: Instant) -> SettledCalls {
        let (bound, losses) = (self.timings.confirm_bound, self.losses);
        let mut settled = SettledCalls::default();
        for telling in &mut self.confirmations.tellings {
            if telling.is_told(now, bound, losses) {
                settled.told.append(&mut telling.calls);
            } else if telling.is_late(now, bound) {
                settled.untold.append(&mut telling.calls);
            }
        }
        settled
    }

    /// Has everyone told of an executor that takes no more requests; the call waits for that.
    pub(crate) fn tell_all(&mut self, now: Instant, id: &str, state: ExecutorState) -> Answer {
        let (bound, losses) = (self.timings.confirm_bound, self.losses);
        let tellings = &mut self.confirmations.tellings;
        let under_way = tellings.iter_mut().find(|telling| telling.covers(id, state));
        if under_way.as_ref().is_some_and(|telling| telling.is_told(now, bound, losses)) {
            return Answer::Now;
        }
        self.confirmations.next_token += 1;
        let token = CallToken(self.confirmations.next_token);
        match under_way {
            Some(telling) => telling.calls.push(token),
            None => {
                self.confirmations.gathered.entry(id.to_owned()).or_default().push(token);
                self.confirmations.flush.get_or_insert(now + self.timings.urgent_batch);
            }
        }
        Answer::WhenTold(token)
    }

    pub(crate) fn receive_confirm(&mut self, from: SocketAddrV4, incarnation: u64, sequence: u64) {
        let core_member = self.by_address.get(&from).and_then(|name| self.member(name)).cloned();
        let core_member = core_member.filter(|member| self.is_core(member));
        let telling =
            self.confirmations.tellings.iter_mut().find(|telling| {
                (telling.relay.incarnation, telling.relay.sequence) == (incarnation, sequence)
            });
        if let Some(telling) = telling {
            telling.outstanding.remove(&from);
            core_member.iter().for_each(|member| telling.copies.note(member));
        }
        self.settle_tellings();
    }

    pub(crate) fn tick_confirmations(&mut self, now: Instant) {
        if self.confirmations.flush.is_some_and(|flush| flush <= now) {
            self.flush_tellings(now);
        }
        if self.confirmations.tellings.is_empty() {
            return;
        }
        let live: BTreeSet<SocketAddrV4> = self.ring.others().map(|place| place.address).collect();
        let retry = self.timings.confirm_retry;
        let mut messages = Vec::new();
        for telling in &mut self.confirmations.tellings {
            telling.outstanding.retain(|address| live.contains(address));
            if telling.next_retry <= now {
                telling.next_retry = now + retry;
                messages.extend(
                    telling.outstanding.iter().map(|to| (*to, Message::Relay(telling.relay.clone()))),
                );
            }
            if now.since(telling.started) > INSISTENCE {
                telling.outstanding.clear();
            }
        }
        self.output.messages.extend(messages);
        self.settle_tellings();
    }

    fn flush_tellings(&mut self, now: Instant) {
        self.confirmations.flush = None;
        let mut gathered = std::mem::take(&mut self.confirmations.gathered);
        let keys: Vec<Key> = gathered.keys().cloned().map(Key::Executor).collect();
        for registers in self.registers_in_messages(&keys) {
            let ids = registers.iter().filter_map(Register::as_executor).map(|executor| &executor.id);
            let calls = ids.filter_map(|id| gathered.remove(id)).flatten().collect();
            let relay = self.new_relay(true, registers);
            self.pass_on(&relay);
            let outstanding = self.ring.others().map(|place| place.address).collect();
            let next_retry = now + self.timings.confirm_retry;
            let mut copies = Copies::default();
            if self.is_core(self.own_member()) {
                copies.note(self.own_member());
            }
            let telling = Telling { relay, outstanding, copies, calls, started: now, next_retry };
            self.confirmations.tellings.push(telling);
        }
    }

    /// Whether a node is a machine of the core: an edge node with a disk, or where no disk is known any edge node.
    fn is_core(&self, member: &Member) -> bool {
        let has_disk = |member: &Member| member.class == Class::Edge && member.replica.is_some();
        has_disk(member) || (member.class == Class::Edge && !self.members().any(has_disk))
    }

    /// Lets go of what everyone has confirmed, or was told for long enough, and whose calls were named.
    fn settle_tellings(&mut self) {
        let losses = self.losses;
        let tellings = std::mem::take(&mut self.confirmations.tellings);
        for telling in tellings {
            if telling.outstanding.is_empty() && telling.copies.outlast(losses) {
                let executors = telling.relay.registers.iter().filter_map(Register::as_executor);
                executors.for_each(|told| self.executors.set_told(&told.id, told.state));
            }
            if !telling.outstanding.is_empty() || !telling.calls.is_empty() {
                self.confirmations.tellings.push(telling);
            }
        }
    }
}

impl Telling {
    /// Whether its calls may be acknowledged.
    fn is_told(&self, now: Instant, bound: Duration, losses: Losses) -> bool {
        self.copies.outlast(losses) && (self.outstanding.is_empty() || self.is_late(now, bound))
    }

    /// Whether its calls wait no longer.
    fn is_late(&self, now: Instant, bound: Duration) -> bool {
        now.since(self.started) >= bound
    }

    fn covers(&self, id: &str, state: ExecutorState) -> bool {
        let mut executors = self.relay.registers.iter().filter_map(Register::as_executor);
        executors.any(|told| told.id == id && told.state >= state)
    }
}

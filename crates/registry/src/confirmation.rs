//! Drains: a call is answered when every live node has confirmed what it said, or after a bound.

use crate::message::{Message, Relay};
use crate::register::Key;
use crate::registry::{Answer, CallToken, Registry};
use crate::{ExecutorState, Register, Timings};
use grebeusher_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// For how long nodes that have not confirmed are told again directly, also after the call was answered.
const INSISTENCE: Span = Span::millis(2_000);

/// News that everyone has to confirm.
struct Telling {
    relay: Relay,
    outstanding: BTreeSet<SocketAddrV4>,
    calls: Vec<CallToken>,
    started: Moment,
    next_retry: Moment,
}

/// The state of drains.
#[derive(Default)]
pub(crate) struct Confirmations {
    tellings: Vec<Telling>,
    /// Executors whose news go out with the next flush, and the calls that wait for them.
    gathered: BTreeMap<String, Vec<CallToken>>,
    flush: Option<Moment>,
    next_token: u64,
}

impl Confirmations {
    pub(crate) fn next_wake(&self, timings: &Timings) -> Option<Moment> {
        let tellings = self.tellings.iter().map(|telling| {
            let bound = telling.started + timings.confirm_bound;
            if telling.calls.is_empty() { telling.next_retry } else { telling.next_retry.min(bound) }
        });
        tellings.chain(self.flush).min()
    }

    pub(crate) fn shift(&mut self, by: Span) {
        for telling in &mut self.tellings {
            telling.started = telling.started + by;
        }
    }
}

impl Registry {
    /// The calls that may be answered now. To be asked after each message and tick; each call is named once.
    pub fn told(&mut self, now: Moment) -> Vec<CallToken> {
        let bound = self.timings.confirm_bound;
        let mut told = Vec::new();
        for telling in &mut self.confirmations.tellings {
            if telling.is_over(now, bound) {
                told.append(&mut telling.calls);
            }
        }
        told
    }

    /// Has everyone told of an executor that takes no more requests; the call waits for that.
    pub(crate) fn tell_all(&mut self, now: Moment, id: &str, state: ExecutorState) -> Answer {
        let bound = self.timings.confirm_bound;
        let tellings = &mut self.confirmations.tellings;
        let under_way = tellings.iter_mut().find(|telling| telling.covers(id, state));
        if under_way.as_ref().is_some_and(|telling| telling.is_over(now, bound)) {
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
        let telling =
            self.confirmations.tellings.iter_mut().find(|telling| {
                (telling.relay.incarnation, telling.relay.sequence) == (incarnation, sequence)
            });
        if let Some(telling) = telling {
            telling.outstanding.remove(&from);
        }
        self.settle_tellings();
    }

    pub(crate) fn tick_confirmations(&mut self, now: Moment) {
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

    fn flush_tellings(&mut self, now: Moment) {
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
            let telling = Telling { relay, outstanding, calls, started: now, next_retry };
            self.confirmations.tellings.push(telling);
        }
    }

    /// Lets go of what everyone has confirmed and whose calls were named.
    fn settle_tellings(&mut self) {
        let tellings = std::mem::take(&mut self.confirmations.tellings);
        for telling in tellings {
            if telling.outstanding.is_empty() {
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
    /// Whether its calls may be answered.
    fn is_over(&self, now: Moment, bound: Span) -> bool {
        self.outstanding.is_empty() || now.since(self.started) >= bound
    }

    fn covers(&self, id: &str, state: ExecutorState) -> bool {
        let mut executors = self.relay.registers.iter().filter_map(Register::as_executor);
        executors.any(|told| told.id == id && told.state >= state)
    }
}

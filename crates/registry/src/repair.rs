//! Repair: nodes whose digests differ exchange first the hashes of the parts, then the versions in the parts that
//! differ, then the registers.

use crate::digest::{BUCKETS, Summary};
use crate::member::{Member, MemberState};
use crate::members::Source;
use crate::message::{Message, SUMMARIES_PER_MESSAGE, WANTS_PER_MESSAGE};
use crate::register::{Key, Register};
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// How many repairs this node starts in a burst; a cut that heals needs a few.
const BURST: f64 = 6.0;

/// How many repairs a second this node starts at length: while news are under way digests always differ a little.
const REPAIRS_PER_SECOND: f64 = 2.5;

/// When the digests are compared again after a repair brought something.
const COMPARE_AGAIN: Duration = Duration::from_millis(100);

/// For how long a node remembers which digests it had: one that has such a digest is only behind by news that are
/// still on their way to it.
const NEWS_UNDER_WAY: Duration = Duration::from_millis(300);

/// How many of its digests a node remembers.
const MAX_PAST_DIGESTS: usize = 128;

/// How long a node that another called dead has to refute it before it is believed.
const REFUTATION: Duration = Duration::from_millis(600);

/// How many deaths wait for a refutation at most.
const MAX_PENDING: usize = 1_024;

/// How many transfers wait at most; what does not fit is asked for again.
const MAX_TRANSFERS: usize = 64;

/// Between two batches of messages of the transfers that wait.
const TRANSFER_PACE: Duration = Duration::from_millis(50);

/// How many messages of a transfer are sent in a batch.
const TRANSFER_BATCH: usize = 4;

/// A node that has just started is brought what all others know.
const NEWCOMER: Duration = Duration::from_millis(3_000);

/// For how long a node that has just started and is brought much compares with nobody else, who would bring the same.
const FILLING: Duration = Duration::from_millis(150);

/// A message with so many registers is part of much.
const MUCH: usize = 32;

/// The state of repairs.
pub(crate) struct Repairs {
    started: Instant,
    filling_until: Instant,
    tokens: f64,
    refilled: Instant,
    /// Until when each digest was this node's.
    past: VecDeque<(Instant, u64)>,
    compare_again: Option<(Instant, SocketAddrV4)>,
    held: BTreeMap<String, (Instant, Member)>,
    transfers: VecDeque<(SocketAddrV4, VecDeque<Key>)>,
    next_transfer: Instant,
}

impl Repairs {
    pub(crate) fn new(now: Instant) -> Repairs {
        Repairs {
            started: now,
            filling_until: now,
            tokens: BURST,
            refilled: now,
            past: VecDeque::new(),
            compare_again: None,
            held: BTreeMap::new(),
            transfers: VecDeque::new(),
            next_transfer: now,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let again = self.compare_again.map(|(at, _)| at);
        let held = self.held.values().map(|(until, _)| *until).min();
        let transfer = (!self.transfers.is_empty()).then_some(self.next_transfer);
        [again, held, transfer].into_iter().flatten().min()
    }

    /// Notes the digest as it is now, before a change.
    pub(crate) fn record(&mut self, now: Instant, digest: u64) {
        match self.past.back_mut() {
            Some((until, last)) if *last == digest => *until = now,
            _ => self.past.push_back((now, digest)),
        }
        if self.past.len() > MAX_PAST_DIGESTS {
            self.past.pop_front();
        }
    }

    fn is_filling(&self, now: Instant) -> bool {
        now < self.filling_until
    }

    /// From here on the node is brought much by one other. Whether it was not already.
    pub(crate) fn begin_filling(&mut self, now: Instant) -> bool {
        let begins = !self.is_filling(now);
        if begins {
            self.filling_until = now + FILLING;
        }
        begins
    }

    fn had_lately(&self, now: Instant, digest: u64) -> bool {
        self.past.iter().any(|(until, past)| *past == digest && now.since(*until) <= NEWS_UNDER_WAY)
    }

    fn take_token(&mut self, now: Instant) -> bool {
        self.tokens = (self.tokens + now.since(self.refilled).seconds() * REPAIRS_PER_SECOND).min(BURST);
        self.refilled = now;
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }
}

impl Registry {
    /// Compares digests with another node. Unless one of the two was lately where the other is now, they need repair;
    /// the one who is behind can't see which of the two it is, so it answers with its own.
    pub(crate) fn compare_digests(&mut self, now: Instant, peer: SocketAddrV4, theirs: u64, answer: bool) {
        let expected = theirs == self.digest.total() || self.repairs.had_lately(now, theirs);
        if expected || self.repairs.is_filling(now) {
            return;
        }
        if answer {
            self.start_repair(now, peer);
        } else {
            self.send(peer, self.heartbeat_message(true));
        }
    }

    pub(crate) fn start_repair(&mut self, now: Instant, peer: SocketAddrV4) {
        if self.repairs.take_token(now) {
            let sums = self.digest.sums().to_vec();
            self.send(peer, Message::Buckets(sums));
        }
    }

    pub(crate) fn receive_buckets(&mut self, now: Instant, from: SocketAddrV4, sums: &[u64]) {
        let busy = self.repairs.is_filling(now) || self.repairs.transfers.iter().any(|(to, _)| *to == from);
        if sums.len() != BUCKETS || busy {
            return;
        }
        let (mut complete, mut entries, mut lacking) = (0_u64, Vec::new(), Vec::new());
        for (bucket, sum) in sums.iter().enumerate() {
            if self.digest.sums()[bucket] == *sum {
                continue;
            }
            if *sum == 0 {
                lacking.extend(self.digest.live_keys(bucket).cloned());
                continue;
            }
            let more: Vec<Summary> = self.digest.summaries(bucket).collect();
            if entries.len() + more.len() > SUMMARIES_PER_MESSAGE && !entries.is_empty() {
                self.send_summaries(from, complete, std::mem::take(&mut entries));
                complete = 0;
            }
            let whole = more.len() <= SUMMARIES_PER_MESSAGE;
            entries.extend(more.into_iter().take(SUMMARIES_PER_MESSAGE));
            complete |= u64::from(whole) << bucket;
        }
        if complete != 0 || !entries.is_empty() {
            self.send_summaries(from, complete, entries);
        }
        self.transfer(now, from, lacking);
    }

    fn send_summaries(&mut self, to: SocketAddrV4, complete: u64, entries: Vec<Summary>) {
        self.send(to, Message::Summaries { complete, entries });
    }

    pub(crate) fn receive_summaries(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        complete: u64,
        entries: &[Summary],
    ) {
        let difference = self.digest.compare(complete, entries);
        for keys in difference.wanted.chunks(WANTS_PER_MESSAGE) {
            self.send(from, Message::Want(keys.to_vec()));
        }
        self.forget_executors(now, &difference.forgotten);
        self.transfer(now, from, difference.lacking);
    }

    pub(crate) fn receive_want(&mut self, now: Instant, from: SocketAddrV4, keys: &[u64]) {
        let keys = keys.iter().filter_map(|key| self.digest.key(*key)).cloned().collect();
        self.transfer(now, from, keys);
    }

    pub(crate) fn receive_registers(&mut self, now: Instant, from: SocketAddrV4, registers: Vec<Register>) {
        let before = self.generation;
        // What is news to an old node may be so to others on its side.
        let tell_on = now.since(self.repairs.started) > NEWCOMER;
        if !tell_on && registers.len() >= MUCH {
            self.repairs.filling_until = now + FILLING;
        }
        for register in registers {
            let key = register.key();
            let generation = self.generation;
            self.merge(now, register, Source::Peer(from));
            if tell_on && generation != self.generation {
                self.tell_on(now, key);
            }
        }
        if before != self.generation {
            self.repairs.compare_again = Some((now + COMPARE_AGAIN, from));
        }
    }

    /// Sends registers that fit in a message at once, and more of them at a pace.
    fn transfer(&mut self, now: Instant, to: SocketAddrV4, keys: Vec<Key>) {
        if keys.is_empty() {
            return;
        }
        let parts = self.registers_in_messages(&keys);
        if parts.len() <= 1 {
            return self.send_registers(to, &keys);
        }
        if self.repairs.transfers.len() < MAX_TRANSFERS {
            self.repairs.next_transfer = self.repairs.next_transfer.max(now);
            self.repairs.transfers.push_back((to, keys.into()));
        }
    }

    pub(crate) fn send_registers(&mut self, to: SocketAddrV4, keys: &[Key]) {
        for registers in self.registers_in_messages(keys) {
            self.send(to, Message::Registers(registers));
        }
    }

    pub(crate) fn tick_repairs(&mut self, now: Instant) {
        if let Some((_, peer)) = self.repairs.compare_again.take_if(|(at, _)| *at <= now) {
            let heartbeat = self.own_heartbeat();
            self.send(peer, heartbeat);
        }
        if !self.repairs.transfers.is_empty() && self.repairs.next_transfer <= now {
            self.repairs.next_transfer = now + TRANSFER_PACE;
            (0..TRANSFER_BATCH).for_each(|_| self.continue_transfer());
        }
        self.believe_deaths(now);
    }

    /// Sends one message of the transfer that has waited longest.
    fn continue_transfer(&mut self) {
        let Some((to, mut keys)) = self.repairs.transfers.pop_front() else {
            return;
        };
        let (mut registers, mut length) = (Vec::new(), 0);
        while let Some(key) = keys.pop_front() {
            let Some(register) = self.register(&key) else {
                continue;
            };
            length += register.length();
            if length > crate::message::REGISTERS_PER_MESSAGE && !registers.is_empty() {
                keys.push_front(key);
                break;
            }
            registers.push(register);
        }
        if !registers.is_empty() {
            self.send(to, Message::Registers(registers));
        }
        if !keys.is_empty() {
            self.repairs.transfers.push_back((to, keys));
        }
    }

    /// Another node, perhaps one from beyond a cut, holds for dead whom this one holds alive: the one in question is
    /// asked first, so that a cut that heals does not make all of its other side look dead for a moment.
    pub(crate) fn hold_death(&mut self, now: Instant, member: Member) {
        let newer = self.repairs.held.get(&member.name).is_none_or(|(_, held)| held.order() < member.order());
        if !newer || self.repairs.held.len() >= MAX_PENDING {
            return;
        }
        let known = self.members.get(&member.name).map_or(member.address, |entry| entry.member.address);
        self.send(known, Message::Registers(vec![Register::Member(member.clone())]));
        self.repairs.held.insert(member.name.clone(), (now + REFUTATION, member));
    }

    fn believe_deaths(&mut self, now: Instant) {
        if self.repairs.held.values().all(|(until, _)| *until > now) {
            return;
        }
        let (due, held): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.repairs.held).into_iter().partition(|(_, (until, _))| *until <= now);
        self.repairs.held = held;
        for (name, (_, member)) in due {
            let stands = self.members.get(&name).is_some_and(|entry| entry.member.order() < member.order());
            if stands && member.state == MemberState::Dead {
                self.put_member(now, member);
            }
        }
    }
}

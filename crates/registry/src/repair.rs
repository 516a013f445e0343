//! Anti-entropy: nodes whose digests differ exchange first the hashes of the buckets, then the versions in the buckets
//! that differ, and then the registers themselves. Repairs are started at a bounded rate.

use crate::digest::{BUCKETS, Summary};
use crate::members::Source;
use crate::message::{Message, SUMMARIES_PER_MESSAGE, WANTED_KEYS_PER_MESSAGE};
use crate::register::Register;
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// The largest number of repairs that this node starts in a burst; a network partition that heals needs a few.
const REPAIR_BURST: f64 = 6.0;

/// The sustained number of repairs per second that this node starts: while updates propagate, digests always differ a
/// little.
const REPAIRS_PER_SECOND: f64 = 2.5;

/// The delay after which the digests are compared again once a repair has changed a register.
const COMPARE_DELAY: Duration = Duration::from_millis(100);

/// How long a past digest of this node counts as recent: another node that has such a digest only lacks updates that
/// still propagate.
const PROPAGATION_DELAY: Duration = Duration::from_millis(300);

/// The largest number of past digests that a node remembers.
const MAX_RECENT_DIGESTS: usize = 128;

/// The time after its start in which a node receives registers that all other nodes already have, and therefore does
/// not forward them.
const NEWCOMER_DURATION: Duration = Duration::from_millis(3_000);

/// How long a node that has just started and receives many registers starts and answers no other repair, because other
/// nodes would send it the same registers.
const INITIAL_SYNC_DURATION: Duration = Duration::from_millis(150);

/// A message to a newly started node with at least this number of registers counts as part of the initial
/// synchronization.
const BULK_REGISTERS: usize = 32;

/// The state of repairs.
pub(crate) struct Repairs {
    started: Instant,
    initial_sync_until: Instant,
    tokens: f64,
    last_refill: Instant,
    /// Past digests of this node, each with the last time at which it was recorded.
    recent_digests: VecDeque<(Instant, u64)>,
    next_comparison: Option<(Instant, SocketAddrV4)>,
}

impl Repairs {
    pub(crate) fn new(now: Instant) -> Repairs {
        Repairs {
            started: now,
            initial_sync_until: now,
            tokens: REPAIR_BURST,
            last_refill: now,
            recent_digests: VecDeque::new(),
            next_comparison: None,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.next_comparison.map(|(at, _)| at)
    }

    /// Records the current digest before a change.
    pub(crate) fn record(&mut self, now: Instant, digest: u64) {
        match self.recent_digests.back_mut() {
            Some((last_recorded, last)) if *last == digest => *last_recorded = now,
            _ => self.recent_digests.push_back((now, digest)),
        }
        if self.recent_digests.len() > MAX_RECENT_DIGESTS {
            self.recent_digests.pop_front();
        }
    }

    fn is_in_initial_sync(&self, now: Instant) -> bool {
        now < self.initial_sync_until
    }

    /// Starts the initial synchronization with one other node. Returns false if it is already in progress.
    pub(crate) fn begin_initial_sync(&mut self, now: Instant) -> bool {
        let begins = !self.is_in_initial_sync(now);
        if begins {
            self.initial_sync_until = now + INITIAL_SYNC_DURATION;
        }
        begins
    }

    fn had_recently(&self, now: Instant, digest: u64) -> bool {
        self.recent_digests.iter().any(|(last_recorded, recent_digest)| {
            *recent_digest == digest && now.since(*last_recorded) <= PROPAGATION_DELAY
        })
    }

    fn take_token(&mut self, now: Instant) -> bool {
        self.tokens =
            (self.tokens + now.since(self.last_refill).seconds() * REPAIRS_PER_SECOND).min(REPAIR_BURST);
        self.last_refill = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

impl Registry {
    /// Compares the digest of a peer with the own one. A repair is needed unless one of the two nodes recently had the
    /// digest that the other has now. The node that is behind cannot detect this by itself, so this node answers a
    /// heartbeat with its own digest, and only the receiver of such an answer starts the repair.
    pub(crate) fn compare_digests(&mut self, now: Instant, peer: SocketAddrV4, theirs: u64, answer: bool) {
        let in_sync = theirs == self.digest.total() || self.repairs.had_recently(now, theirs);
        if in_sync || self.repairs.is_in_initial_sync(now) {
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
        let busy = self.repairs.is_in_initial_sync(now) || self.transfers.is_sending_to(from);
        if sums.len() != BUCKETS || busy {
            return;
        }
        let (mut complete, mut entries, mut missing_at_peer) = (0_u64, Vec::new(), Vec::new());
        for (bucket, sum) in sums.iter().enumerate() {
            if self.digest.sums()[bucket] == *sum {
                continue;
            }
            if *sum == 0 {
                missing_at_peer.extend(self.digest.live_keys(bucket).cloned());
                continue;
            }
            let summaries: Vec<Summary> = self.digest.summaries(bucket).collect();
            if entries.len() + summaries.len() > SUMMARIES_PER_MESSAGE && !entries.is_empty() {
                self.send_summaries(from, complete, std::mem::take(&mut entries));
                complete = 0;
            }
            let is_complete = summaries.len() <= SUMMARIES_PER_MESSAGE;
            entries.extend(summaries.into_iter().take(SUMMARIES_PER_MESSAGE));
            complete |= u64::from(is_complete) << bucket;
        }
        if complete != 0 || !entries.is_empty() {
            self.send_summaries(from, complete, entries);
        }
        self.transfer(now, from, missing_at_peer);
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
        for keys in difference.wanted.chunks(WANTED_KEYS_PER_MESSAGE) {
            self.send(from, Message::Want(keys.to_vec()));
        }
        self.evict_executors(now, &difference.forgotten_by_peer);
        self.transfer(now, from, difference.missing_at_peer);
    }

    pub(crate) fn receive_want(&mut self, now: Instant, from: SocketAddrV4, keys: &[u64]) {
        let keys = keys.iter().filter_map(|key| self.digest.key(*key)).cloned().collect();
        self.transfer(now, from, keys);
    }

    pub(crate) fn receive_registers(&mut self, now: Instant, from: SocketAddrV4, registers: Vec<Register>) {
        let generation_before = self.generation;
        // Registers that are new to a node that has run for a while may also be new to other nodes on its side of a
        // network partition.
        let forwards = now.since(self.repairs.started) > NEWCOMER_DURATION;
        if !forwards && registers.len() >= BULK_REGISTERS {
            self.repairs.initial_sync_until = now + INITIAL_SYNC_DURATION;
        }
        for register in registers {
            let key = register.key();
            let previous_generation = self.generation;
            self.merge(now, register, Source::Peer(from));
            if forwards && previous_generation != self.generation {
                self.schedule_forward(now, key);
            }
        }
        if generation_before != self.generation {
            self.repairs.next_comparison = Some((now + COMPARE_DELAY, from));
        }
    }

    pub(crate) fn tick_repairs(&mut self, now: Instant) {
        if let Some((_, peer)) = self.repairs.next_comparison.take_if(|(at, _)| *at <= now) {
            let heartbeat = self.own_heartbeat();
            self.send(peer, heartbeat);
        }
    }
}

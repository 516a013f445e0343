//! Anti-entropy: nodes whose digests differ exchange first the hashes of the buckets, then the versions in the buckets
//! that differ, then the registers themselves. Repairs are started at a bounded rate.

use crate::digest::{BUCKETS, Summary};
use crate::members::Source;
use crate::message::{Message, SUMMARIES_PER_MESSAGE, WANTED_KEYS_PER_MESSAGE};
use crate::register::Register;
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// How many repairs this node starts in a burst; a network partition that heals needs a few.
const REPAIR_BURST: f64 = 6.0;

/// How many repairs a second this node starts at length: while updates are under way digests always differ a little.
const REPAIRS_PER_SECOND: f64 = 2.5;

/// When the digests are compared again after a repair brought something.
const COMPARE_DELAY: Duration = Duration::from_millis(100);

/// For how long a node remembers which digests it had: one that has such a digest is only behind by updates that are
/// still on their way to it.
const PROPAGATION_DELAY: Duration = Duration::from_millis(300);

/// How many of its digests a node remembers.
const MAX_PAST_DIGESTS: usize = 128;

/// A node that has just started is brought what all others know.
const NEWCOMER_DURATION: Duration = Duration::from_millis(3_000);

/// For how long a node that has just started and is brought much compares with nobody else, who would bring the same.
const INITIAL_SYNC_DURATION: Duration = Duration::from_millis(150);

/// A message with so many registers is part of much.
const BULK_REGISTERS: usize = 32;

/// The state of repairs.
pub(crate) struct Repairs {
    started: Instant,
    initial_sync_until: Instant,
    tokens: f64,
    refilled: Instant,
    /// Until when each digest was this node's.
    recent_digests: VecDeque<(Instant, u64)>,
    next_comparison: Option<(Instant, SocketAddrV4)>,
}

impl Repairs {
    pub(crate) fn new(now: Instant) -> Repairs {
        Repairs {
            started: now,
            initial_sync_until: now,
            tokens: REPAIR_BURST,
            refilled: now,
            recent_digests: VecDeque::new(),
            next_comparison: None,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.next_comparison.map(|(at, _)| at)
    }

    /// Notes the digest as it is now, before a change.
    pub(crate) fn record(&mut self, now: Instant, digest: u64) {
        match self.recent_digests.back_mut() {
            Some((until, last)) if *last == digest => *until = now,
            _ => self.recent_digests.push_back((now, digest)),
        }
        if self.recent_digests.len() > MAX_PAST_DIGESTS {
            self.recent_digests.pop_front();
        }
    }

    fn is_in_initial_sync(&self, now: Instant) -> bool {
        now < self.initial_sync_until
    }

    /// From here on the node is brought much by one other. Whether it was not already.
    pub(crate) fn begin_initial_sync(&mut self, now: Instant) -> bool {
        let begins = !self.is_in_initial_sync(now);
        if begins {
            self.initial_sync_until = now + INITIAL_SYNC_DURATION;
        }
        begins
    }

    fn had_recently(&self, now: Instant, digest: u64) -> bool {
        self.recent_digests.iter().any(|(until, recent_digests)| {
            *recent_digests == digest && now.since(*until) <= PROPAGATION_DELAY
        })
    }

    fn take_token(&mut self, now: Instant) -> bool {
        self.tokens =
            (self.tokens + now.since(self.refilled).seconds() * REPAIRS_PER_SECOND).min(REPAIR_BURST);
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
        let expected_wake = theirs == self.digest.total() || self.repairs.had_recently(now, theirs);
        if expected_wake || self.repairs.is_in_initial_sync(now) {
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
            let complete_bucket = more.len() <= SUMMARIES_PER_MESSAGE;
            entries.extend(more.into_iter().take(SUMMARIES_PER_MESSAGE));
            complete |= u64::from(complete_bucket) << bucket;
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
        for keys in difference.wanted.chunks(WANTED_KEYS_PER_MESSAGE) {
            self.send(from, Message::Want(keys.to_vec()));
        }
        self.evict_executors(now, &difference.forgotten);
        self.transfer(now, from, difference.lacking);
    }

    pub(crate) fn receive_want(&mut self, now: Instant, from: SocketAddrV4, keys: &[u64]) {
        let keys = keys.iter().filter_map(|key| self.digest.key(*key)).cloned().collect();
        self.transfer(now, from, keys);
    }

    pub(crate) fn receive_registers(&mut self, now: Instant, from: SocketAddrV4, registers: Vec<Register>) {
        let before = self.generation;
        // What is updates to an old node may be so to others on its side.
        let schedule_forward = now.since(self.repairs.started) > NEWCOMER_DURATION;
        if !schedule_forward && registers.len() >= BULK_REGISTERS {
            self.repairs.initial_sync_until = now + INITIAL_SYNC_DURATION;
        }
        for register in registers {
            let key = register.key();
            let generation = self.generation;
            self.merge(now, register, Source::Peer(from));
            if schedule_forward && generation != self.generation {
                self.schedule_forward(now, key);
            }
        }
        if before != self.generation {
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

//! How a node that knows only its seeds finds the others.

use crate::member::Member;
use crate::members::Source;
use crate::message::{Message, REGISTERS_PER_MESSAGE};
use crate::register::Register;
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::net::SocketAddrV4;

/// How many members a welcome names: enough to begin with, the rest comes by repair from any of them.
const WELCOME_MEMBERS: usize = 16;

/// How long a node goes on calling the seeds that have not answered, after others have.
const RESEND_DURATION: Duration = Duration::from_millis(3_000);

/// The state of joining.
pub(crate) struct Joining {
    pub(crate) seeds: Vec<SocketAddrV4>,
    started: Instant,
    next_attempt: Option<Instant>,
    welcomed: bool,
}

impl Joining {
    pub(crate) fn new(mut seeds: Vec<SocketAddrV4>, own: SocketAddrV4, now: Instant) -> Joining {
        seeds.sort();
        seeds.dedup();
        seeds.retain(|seed| *seed != own);
        let next_attempt = (!seeds.is_empty()).then_some(now);
        Joining { seeds, started: now, next_attempt, welcomed: false }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.next_attempt
    }
}

impl Registry {
    /// Whether this node is among others, or has no seeds to find any by.
    pub fn is_joined(&self) -> bool {
        self.joining.welcomed || self.joining.seeds.is_empty() || self.ring.len() > 1
    }

    /// Seeds at whose addresses no live node is known.
    pub(crate) fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddrV4> {
        let is_live = |seed: &SocketAddrV4| {
            let member = self.by_address.get(seed).and_then(|name| self.member(name));
            member.is_some_and(Member::serves)
        };
        self.joining.seeds.iter().copied().filter(move |seed| !is_live(seed))
    }

    pub(crate) fn tick_joining(&mut self, now: Instant) {
        if self.joining.next_attempt.is_none_or(|next| next > now) {
            return;
        }
        let unknown: Vec<SocketAddrV4> = self.unknown_seeds().collect();
        let completed = self.joining.welcomed && now.since(self.joining.started) > RESEND_DURATION;
        if completed || (unknown.is_empty() && self.is_joined()) {
            // From here on unknown seeds are probed as the dead are.
            self.joining.next_attempt = None;
            return;
        }
        for seed in unknown {
            self.send(seed, Message::Join(self.own_member().clone()));
        }
        let jitter = self.random.random_range(0.9..1.1);
        self.joining.next_attempt = Some(now + self.timings.join_retry.scaled(jitter));
    }

    pub(crate) fn receive_join(&mut self, now: Instant, from: SocketAddrV4, member: Member) {
        self.merge_member(now, member, Source::Peer(from));
        let own = self.own_member().clone();
        let others = self.live_members().filter(|other| other.address != from && other.id() != self.own_id);
        let mut random = self.random.clone();
        let sample = others.choose_multiple(&mut random, WELCOME_MEMBERS);
        let mut members = vec![own];
        let mut length = 0;
        for member in sample {
            length += Register::Member(member.clone()).length();
            if length > REGISTERS_PER_MESSAGE - 1_024 {
                break;
            }
            members.push(member.clone());
        }
        self.random = random;
        self.send(from, Message::Welcome(members));
    }

    pub(crate) fn receive_welcome(&mut self, now: Instant, from: SocketAddrV4, members: Vec<Member>) {
        self.joining.welcomed = true;
        let addresses: Vec<SocketAddrV4> =
            members.iter().filter(|member| member.serves()).map(|member| member.address).collect();
        for member in members {
            self.merge_member(now, member, Source::Welcome(from));
        }
        // The rest is taken from any of them, so that seeds need not serve everyone who starts.
        let sync_peer =
            addresses.into_iter().filter(|address| *address != self.own_address).choose(&mut self.random);
        // Each seed welcomes it, and each of their probers would bring the same.
        if self.repairs.begin_initial_sync(now) {
            self.start_repair(now, sync_peer.unwrap_or(from));
        }
    }
}

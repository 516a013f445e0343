//! Joining: how a node that knows only its seeds finds the other nodes.

use crate::member::Member;
use crate::members::Source;
use crate::message::{Message, REGISTER_BYTES_PER_MESSAGE};
use crate::register::Register;
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::net::SocketAddrV4;

/// The largest number of members in a welcome message besides its sender. The joining node gets the rest by a repair
/// from one of them.
const WELCOME_MEMBERS: usize = 16;

/// How long after its start a node that was welcomed by one seed keeps sending join messages to the other seeds.
const JOIN_RESEND_DURATION: Duration = Duration::from_millis(3_000);

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
    /// Returns whether this node knows other live nodes or was welcomed by a seed, or has no seeds at all.
    pub fn is_joined(&self) -> bool {
        self.joining.welcomed || self.joining.seeds.is_empty() || self.ring.len() > 1
    }

    /// Returns the seeds at whose addresses no live node is known.
    pub(crate) fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddrV4> {
        let is_live = |seed: &SocketAddrV4| {
            let member = self.names_by_address.get(seed).and_then(|name| self.member(name));
            member.is_some_and(Member::serves)
        };
        self.joining.seeds.iter().copied().filter(move |seed| !is_live(seed))
    }

    pub(crate) fn tick_joining(&mut self, now: Instant) {
        if self.joining.next_attempt.is_none_or(|next| next > now) {
            return;
        }
        let unanswered: Vec<SocketAddrV4> = self.unknown_seeds().collect();
        let resend_over = self.joining.welcomed && now.since(self.joining.started) > JOIN_RESEND_DURATION;
        if resend_over || (unanswered.is_empty() && self.is_joined()) {
            // From now on unknown seeds are probed like dead nodes.
            self.joining.next_attempt = None;
            return;
        }
        for seed in unanswered {
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
            if length > REGISTER_BYTES_PER_MESSAGE - 1_024 {
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
        // The node gets the other registers from a random member of the welcome, so that the seeds do not have to
        // synchronize every node that starts.
        let sync_peer =
            addresses.into_iter().filter(|address| *address != self.own_address).choose(&mut self.random);
        // Each seed sends a welcome; a synchronization after each of them would transfer the same registers again.
        if self.repairs.begin_initial_sync(now) {
            self.start_repair(now, sync_peer.unwrap_or(from));
        }
    }
}

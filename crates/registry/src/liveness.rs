//! Heartbeats, watchers, deaths, and the calls to the dead by which network partitions heal.

use crate::member::{MemberState, NodeId};
use crate::message::{Heartbeat, Message};
use crate::register::Key;
use crate::registry::{Event, Registry};
use crate::ring::RingMember;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Between two questions after a node that is unresponsive.
const INDIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// How many rounds of questions somebody must have answered before the one in question is dead. In the first the
/// question to it may have been lost in a network partition that has just healed.
const MIN_ANSWERED_PROBES: u32 = 2;

/// How many other nodes are asked to ping a unresponsive one: its link to this node may be all that fails.
const INDIRECT_PROBERS: usize = 3;

/// How much later the next watcher calls a node dead than the one before, so that mostly one tells.
const DEATH_STAGGER: Duration = Duration::from_millis(100);

/// How many calls a second a dead node gets from all others together, and a node makes at most.
const DEAD_PROBES_PER_SECOND: f64 = 4.0;

/// How much less often those are called that have been dead for [`LONG_DEAD_DELAY`].
const LONG_DEAD_WEIGHT: f64 = 0.25;

/// After this a dead node is hardly expected back.
const LONG_DEAD_DELAY: Duration = Duration::from_millis(30_000);

/// Between two looks at tombstones.
const TOMBSTONE_SWEEP_INTERVAL: Duration = Duration::from_millis(5_000);

/// Between two events that say that the configuration is behind the same version.
const CONFIGURATION_EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// How long after a change of the ring the watches are looked at, so that changes that come together share a look.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(1);

/// Every so many heartbeats a random node hears one in the stead of one of the far members of the ring: whom all nodes
/// place differently in their rings hears of it all the same.
const RANDOM_INTERVAL: usize = 16;

/// What a watcher knows of one that it watches.
struct Watch {
    name: String,
    /// Silence counts from here at the earliest.
    since: Instant,
    /// When others were last asked after it in this silence.
    probed_at: Option<Instant>,
    /// How often some other node answered, so that the silence is not this node's own.
    answered_probes: u32,
    probes: u32,
    /// Nearest first: how far the watched node stands before this one.
    rank: u64,
}

impl Watch {
    fn reset(&mut self) {
        (self.probed_at, self.answered_probes, self.probes) = (None, 0, 0);
    }

    /// Ends a round of questions that has lasted long enough.
    fn finish_probe(&mut self, now: Instant, last_pong: Option<Instant>) {
        if let Some(probed_at) =
            self.probed_at.take_if(|probed_at| now.since(*probed_at) >= INDIRECT_PROBE_INTERVAL)
            && last_pong.is_some_and(|answer| answer >= probed_at)
        {
            self.answered_probes += 1;
        }
    }
}

/// The state of heartbeats and watches.
pub(crate) struct Liveness {
    next_heartbeat: Instant,
    next_probe: Option<Instant>,
    next_sweep: Instant,
    next_watch: Option<Instant>,
    /// When anything last came from anyone.
    pub(crate) last_contact: Option<Instant>,
    /// When another node last answered a question of this one, and so has heard it.
    last_pong: Option<Instant>,
    watches: BTreeMap<NodeId, Watch>,
    probe_cursor: usize,
    /// How many heartbeats were sent.
    heartbeats_sent: usize,
    last_configuration_event: Option<(Instant, u64)>,
}

impl Liveness {
    pub(crate) fn new(now: Instant, first_heartbeat: Instant, probe_cursor: usize) -> Liveness {
        Liveness {
            next_heartbeat: first_heartbeat,
            next_probe: None,
            next_sweep: now + TOMBSTONE_SWEEP_INTERVAL,
            next_watch: None,
            last_contact: None,
            last_pong: None,
            watches: BTreeMap::new(),
            probe_cursor,
            // Nodes that start together call their random ones at different times.
            heartbeats_sent: probe_cursor,
            last_configuration_event: None,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        [Some(self.next_heartbeat), self.next_probe, Some(self.next_sweep), self.next_watch]
            .into_iter()
            .flatten()
            .min()
    }

    /// Finds its pace anew, as there are more to call.
    pub(crate) fn reset_probe_schedule(&mut self) {
        self.next_probe = None;
    }

    /// Counts every silence from now on.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.last_contact = None;
        self.next_heartbeat = now;
        self.next_watch = Some(now);
        for watch in self.watches.values_mut() {
            watch.since = now;
            watch.reset();
        }
    }
}

impl Registry {
    /// Whether this node has heard nobody for a while, though it knows of others: then it is likely partitioned off. It calls
    /// nobody dead as long as none of those it asks answers.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let bound = self.timings.heartbeat.scaled(2.5);
        self.ring.len() > 1 && self.liveness.last_contact.is_none_or(|heard| now.since(heard) > bound)
    }

    /// Follows a change of the ring: takes up whom this node has to watch now.
    pub(crate) fn update_watches(&mut self, now: Instant) {
        let mut before = std::mem::take(&mut self.liveness.watches);
        let mut watches = BTreeMap::new();
        for (rank, ring_member) in self.ring.predecessors(self.timings.watchers).enumerate() {
            let known = self.members.get(&ring_member.name).map(|entry| entry.changed);
            // A node that has long been there came to be watched as another died; perhaps it did too.
            let completed = known.is_some_and(|changed| now.since(changed) > self.timings.dead_after);
            let since = if completed { now - self.timings.suspect_after } else { now };
            let mut watch = before.remove(&ring_member.id).unwrap_or_else(|| Watch {
                name: ring_member.name.clone(),
                since,
                probed_at: None,
                answered_probes: 0,
                probes: 0,
                rank: 0,
            });
            watch.rank = rank as u64;
            watches.insert(ring_member.id, watch);
        }
        self.liveness.watches = watches;
        self.liveness.next_watch = Some(now + WATCH_BATCH_DELAY);
    }

    pub(crate) fn tick_liveness(&mut self, now: Instant) {
        if self.liveness.next_heartbeat <= now {
            self.send_heartbeats(now);
        }
        if self.liveness.next_watch.is_some_and(|next| next <= now) {
            self.check_watches(now);
        }
        if self.liveness.next_sweep <= now {
            self.liveness.next_sweep = now + TOMBSTONE_SWEEP_INTERVAL;
            self.forget_dead(now);
        }
        self.tick_probes(now);
    }

    fn send_heartbeats(&mut self, now: Instant) {
        self.liveness.next_heartbeat = now + self.timings.heartbeat;
        let watchers: Vec<SocketAddrV4> =
            self.ring.successors(self.timings.watchers).map(|ring_member| ring_member.address).collect();
        let extra_heartbeat_target =
            self.extra_heartbeat_target().filter(|address| !watchers.contains(address));
        for address in watchers.into_iter().chain(extra_heartbeat_target) {
            let heartbeat = self.own_heartbeat();
            self.send(address, heartbeat);
        }
    }

    /// Who hears a heartbeat beside the watchers, so that digests are compared all over the fleet. Mostly a far member of
    /// the ring, one of a few: a link to a random node each time would have to be made anew in a large fleet.
    fn extra_heartbeat_target(&mut self) -> Option<SocketAddrV4> {
        self.liveness.heartbeats_sent = self.liveness.heartbeats_sent.wrapping_add(1);
        let heartbeats_sent = self.liveness.heartbeats_sent;
        if heartbeats_sent.is_multiple_of(RANDOM_INTERVAL) {
            return self.random_other().map(|(_, address)| address);
        }
        self.ring.far(self.timings.watchers, heartbeats_sent).map(|ring_member| ring_member.address)
    }

    fn check_watches(&mut self, now: Instant) {
        let mut next = now + self.timings.suspect_after;
        let (mut to_probe, mut dead) = (Vec::new(), Vec::new());
        for (id, watch) in &mut self.liveness.watches {
            let Some(entry) = self.members.get(&watch.name) else {
                continue;
            };
            let heard = entry.last_contact.unwrap_or(Instant(0)).max(watch.since);
            let silence = now.since(heard);
            let suspect_after = self.timings.suspect_after;
            if silence < suspect_after {
                watch.reset();
                next = next.min(heard + suspect_after);
                continue;
            }
            let bound = self.timings.dead_after.scaled(entry.suspicion_multiplier(now))
                + Duration::from_nanos(DEATH_STAGGER.nanos() * watch.rank);
            watch.finish_probe(now, self.liveness.last_pong);
            if silence >= bound && watch.answered_probes >= MIN_ANSWERED_PROBES {
                dead.push(watch.name.clone());
                continue;
            }
            if watch.probed_at.is_none() {
                watch.probed_at = Some(now);
                watch.probes += 1;
                to_probe.push((*id, watch.name.clone(), entry.member.address, watch.probes));
            }
            let again = watch.probed_at.unwrap_or(now) + INDIRECT_PROBE_INTERVAL;
            next = next.min(if heard + bound > now { again.min(heard + bound) } else { again });
        }
        self.liveness.next_watch = (!self.liveness.watches.is_empty()).then_some(next);
        for (id, name, address, probes) in to_probe {
            self.probe_indirectly(now, id, &name, address, probes);
        }
        for name in dead {
            self.declare_dead(now, &name);
        }
    }

    fn probe_indirectly(&mut self, now: Instant, id: NodeId, name: &str, address: SocketAddrV4, probes: u32) {
        if probes > 1 {
            self.set_suspect(name, true);
        }
        self.send(address, Message::Ping { asker: None });
        // Those heard lately are likely on this side of a network partition; if they are few, others have their turn as well.
        let others = self.ring.others().filter(|ring_member| ring_member.id != id);
        let (near, far): (Vec<&RingMember>, Vec<&RingMember>) = others.partition(|ring_member| {
            let heard = self.members.get(&ring_member.name).and_then(|entry| entry.last_contact);
            heard.is_some_and(|heard| now.since(heard) < self.timings.suspect_after)
        });
        let mut probers: Vec<SocketAddrV4> = near
            .iter()
            .map(|ring_member| ring_member.address)
            .choose_multiple(&mut self.random, INDIRECT_PROBERS);
        let more = INDIRECT_PROBERS - probers.len();
        probers.extend(
            far.iter().map(|ring_member| ring_member.address).choose_multiple(&mut self.random, more),
        );
        for sync_peer in probers {
            self.send(sync_peer, Message::PingFor(id));
        }
    }

    fn declare_dead(&mut self, now: Instant, name: &str) {
        let Some(entry) = self.members.get(name) else {
            return;
        };
        let mut member = entry.member.clone();
        member.state = MemberState::Dead;
        self.put_member(now, member);
        self.announce(now, Key::Member(name.to_owned()));
    }

    pub(crate) fn receive_ping_for(&mut self, from: SocketAddrV4, subject: NodeId) {
        let asker = self.by_address.get(&from).map(|name| NodeId::of(name));
        // The asker learns at least that this node hears it.
        self.send(from, Message::Pong { subject: self.own_id, asker: None });
        let Some(address) = self.member_of(subject).map(|entry| entry.member.address) else {
            return;
        };
        if asker.is_some() && address != self.own_address {
            self.send(address, Message::Ping { asker });
        }
    }

    pub(crate) fn receive_pong(&mut self, now: Instant, subject: NodeId, asker: Option<NodeId>) {
        if let Some(asker) = asker.filter(|asker| *asker != self.own_id) {
            let address = self.member_of(asker).map(|entry| entry.member.address);
            if let Some(address) = address {
                self.send(address, Message::Pong { subject, asker: Some(asker) });
            }
            return;
        }
        self.liveness.last_pong = Some(now);
        let Some(name) = self.member_of(subject).map(|entry| entry.member.name.clone()) else {
            return;
        };
        if let Some(entry) = self.members.get_mut(&name) {
            entry.last_contact = Some(now);
        }
        self.set_suspect(&name, false);
    }

    pub(crate) fn receive_heartbeat(&mut self, now: Instant, from: SocketAddrV4, heartbeat: Heartbeat) {
        self.compare_configuration(now, from, heartbeat.configuration_version);
        let theirs = (heartbeat.incarnation, heartbeat.status_version);
        let known = self.member_of(heartbeat.node).map(|entry| {
            let member = &entry.member;
            ((member.incarnation, member.status_version), member.serves(), member.name.clone())
        });
        match known {
            None => self.send(from, Message::Want(vec![heartbeat.node.0])),
            Some((ours, ..)) if theirs > ours => self.send(from, Message::Want(vec![heartbeat.node.0])),
            Some((ours, serves, name)) if theirs < ours || !serves => {
                self.send_registers(from, &[Key::Member(name)]);
            }
            Some(_) => {}
        }
        self.compare_digests(now, from, heartbeat.digest, heartbeat.answer);
    }

    fn compare_configuration(&mut self, now: Instant, peer: SocketAddrV4, version: u64) {
        if version <= self.configuration_version {
            return;
        }
        let last_event = self.liveness.last_configuration_event;
        if last_event.is_some_and(|(at, of)| of >= version && now.since(at) < CONFIGURATION_EVENT_INTERVAL) {
            return;
        }
        self.liveness.last_configuration_event = Some((now, version));
        self.output.events.push(Event::ConfigurationBehind { peer, version });
    }

    /// Calls one of the dead now and then: all live nodes together call each at a bounded pace.
    fn tick_probes(&mut self, now: Instant) {
        if self.liveness.next_probe.is_some_and(|next| next > now) {
            return;
        }
        let unanswered_seeds =
            if self.joining.next_wake().is_some() { Vec::new() } else { self.seeds_without_member() };
        let dead = self.members.values().filter(|entry| entry.is_dead());
        let pool: Vec<SocketAddrV4> = dead.clone().map(|entry| entry.member.address).collect();
        let long_dead = dead.filter(|entry| now.since(entry.changed) > LONG_DEAD_DELAY).count();
        let weight =
            (pool.len() - long_dead) as f64 + (long_dead + unanswered_seeds.len()) as f64 * LONG_DEAD_WEIGHT;
        if weight == 0.0 {
            self.liveness.next_probe = None;
            return;
        }
        let rate = DEAD_PROBES_PER_SECOND * (weight / self.ring.len().max(1) as f64).min(1.0);
        let first = self.liveness.next_probe.is_none();
        let wait = Duration::from_seconds(self.random.random_range(0.5..1.5) / rate);
        self.liveness.next_probe = Some(now + wait);
        if first {
            return;
        }
        self.probe(&pool, &unanswered_seeds);
    }

    fn probe(&mut self, dead: &[SocketAddrV4], seeds: &[SocketAddrV4]) {
        let index = self.liveness.probe_cursor % (dead.len() + seeds.len());
        self.liveness.probe_cursor = self.liveness.probe_cursor.wrapping_add(1);
        match dead.get(index) {
            Some(address) => self.send(*address, self.own_heartbeat()),
            None => self.send(seeds[index - dead.len()], Message::Join(self.own_member().clone())),
        }
    }

    /// Seeds at whose addresses nobody is known, dead or alive.
    fn seeds_without_member(&self) -> Vec<SocketAddrV4> {
        self.unknown_seeds().filter(|seed| !self.by_address.contains_key(seed)).collect()
    }
}

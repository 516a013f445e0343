//! Heartbeats, watchers, deaths, and the calls to the dead by which cuts heal.

use crate::member::{MemberState, NodeId};
use crate::message::{Heartbeat, Message};
use crate::register::Key;
use crate::registry::{Event, Registry};
use crate::ring::Place;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Between two questions after a node that is silent.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// How many rounds of questions somebody must have answered before the one in question is dead. In the first the
/// question to it may have been lost in a cut that has just healed.
const ANSWERED_ROUNDS: u32 = 2;

/// How many other nodes are asked to ping a silent one: its link to this node may be all that fails.
const HELPERS: usize = 3;

/// How much later the next watcher calls a node dead than the one before, so that mostly one tells.
const STAGGER: Duration = Duration::from_millis(100);

/// How many calls a second a dead node gets from all others together, and a node makes at most.
const PROBES_PER_SECOND: f64 = 4.0;

/// How much less often those are called that have been dead for [`LONG_DEAD`].
const LONG_DEAD_SHARE: f64 = 0.25;

/// After this a dead node is hardly expected back.
const LONG_DEAD: Duration = Duration::from_millis(30_000);

/// Between two looks at tombstones.
const SWEEP: Duration = Duration::from_millis(5_000);

/// Between two events that say that the configuration is behind the same version.
const CONFIGURATION_AGAIN: Duration = Duration::from_millis(200);

/// How long after a change of the ring the watches are looked at, so that changes that come together share a look.
const SOON: Duration = Duration::from_millis(1);

/// Every so many heartbeats a random node hears one in the stead of one of the far members of the ring: whom all nodes
/// place differently in their rings hears of it all the same.
const RANDOM_INTERVAL: usize = 16;

/// What a watcher knows of one that it watches.
struct Watch {
    name: String,
    /// Silence counts from here at the earliest.
    since: Instant,
    /// When others were last asked after it in this silence.
    asked: Option<Instant>,
    /// How often some other node answered, so that the silence is not this node's own.
    answered: u32,
    rounds: u32,
    /// Nearest first: how far the watched node stands before this one.
    rank: u64,
}

impl Watch {
    fn be_content(&mut self) {
        (self.asked, self.answered, self.rounds) = (None, 0, 0);
    }

    /// Ends a round of questions that has lasted long enough.
    fn end_round(&mut self, now: Instant, last_answer: Option<Instant>) {
        if let Some(asked) = self.asked.take_if(|asked| now.since(*asked) >= ASK_AGAIN)
            && last_answer.is_some_and(|answer| answer >= asked)
        {
            self.answered += 1;
        }
    }
}

/// The state of heartbeats and watches.
pub(crate) struct Liveness {
    next_beat: Instant,
    next_probe: Option<Instant>,
    next_sweep: Instant,
    next_watch: Option<Instant>,
    /// When anything last came from anyone.
    pub(crate) last_heard: Option<Instant>,
    /// When another node last answered a question of this one, and so has heard it.
    last_answer: Option<Instant>,
    watches: BTreeMap<NodeId, Watch>,
    probe_cursor: usize,
    /// How many heartbeats were sent.
    beats: usize,
    behind: Option<(Instant, u64)>,
}

impl Liveness {
    pub(crate) fn new(now: Instant, first_beat: Instant, probe_cursor: usize) -> Liveness {
        Liveness {
            next_beat: first_beat,
            next_probe: None,
            next_sweep: now + SWEEP,
            next_watch: None,
            last_heard: None,
            last_answer: None,
            watches: BTreeMap::new(),
            probe_cursor,
            // Nodes that start together call their random ones at different times.
            beats: probe_cursor,
            behind: None,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        [Some(self.next_beat), self.next_probe, Some(self.next_sweep), self.next_watch]
            .into_iter()
            .flatten()
            .min()
    }

    /// Finds its pace anew, as there are more to call.
    pub(crate) fn replan_probes(&mut self) {
        self.next_probe = None;
    }

    /// Counts every silence from now on.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.last_heard = None;
        self.next_beat = now;
        self.next_watch = Some(now);
        for watch in self.watches.values_mut() {
            watch.since = now;
            watch.be_content();
        }
    }
}

impl Registry {
    /// Whether this node has heard nobody for a while, though it knows of others: then it is likely cut off. It calls
    /// nobody dead as long as none of those it asks answers.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let bound = self.timings.heartbeat.scaled(2.5);
        self.ring.len() > 1 && self.liveness.last_heard.is_none_or(|heard| now.since(heard) > bound)
    }

    /// Follows a change of the ring: takes up whom this node has to watch now.
    pub(crate) fn rewatch(&mut self, now: Instant) {
        let mut before = std::mem::take(&mut self.liveness.watches);
        let mut watches = BTreeMap::new();
        for (rank, place) in self.ring.predecessors(self.timings.watchers).enumerate() {
            let known = self.members.get(&place.name).map(|entry| entry.changed);
            // A node that has long been there came to be watched as another died; perhaps it did too.
            let settled = known.is_some_and(|changed| now.since(changed) > self.timings.dead_after);
            let since = if settled { now - self.timings.suspect_after } else { now };
            let mut watch = before.remove(&place.id).unwrap_or_else(|| Watch {
                name: place.name.clone(),
                since,
                asked: None,
                answered: 0,
                rounds: 0,
                rank: 0,
            });
            watch.rank = rank as u64;
            watches.insert(place.id, watch);
        }
        self.liveness.watches = watches;
        self.liveness.next_watch = Some(now + SOON);
    }

    pub(crate) fn tick_liveness(&mut self, now: Instant) {
        if self.liveness.next_beat <= now {
            self.beat(now);
        }
        if self.liveness.next_watch.is_some_and(|next| next <= now) {
            self.check_watches(now);
        }
        if self.liveness.next_sweep <= now {
            self.liveness.next_sweep = now + SWEEP;
            self.forget_dead(now);
        }
        self.tick_probes(now);
    }

    fn beat(&mut self, now: Instant) {
        self.liveness.next_beat = now + self.timings.heartbeat;
        let watchers: Vec<SocketAddrV4> =
            self.ring.successors(self.timings.watchers).map(|place| place.address).collect();
        let another = self.another().filter(|address| !watchers.contains(address));
        for address in watchers.into_iter().chain(another) {
            let heartbeat = self.own_heartbeat();
            self.send(address, heartbeat);
        }
    }

    /// Who hears a heartbeat beside the watchers, so that digests are compared all over the fleet. Mostly a far member of
    /// the ring, one of a few: a link to a random node each time would have to be made anew in a large fleet.
    fn another(&mut self) -> Option<SocketAddrV4> {
        self.liveness.beats = self.liveness.beats.wrapping_add(1);
        let beats = self.liveness.beats;
        if beats.is_multiple_of(RANDOM_INTERVAL) {
            return self.random_other().map(|(_, address)| address);
        }
        self.ring.far(self.timings.watchers, beats).map(|place| place.address)
    }

    fn check_watches(&mut self, now: Instant) {
        let mut next = now + self.timings.suspect_after;
        let (mut ask, mut dead) = (Vec::new(), Vec::new());
        for (id, watch) in &mut self.liveness.watches {
            let Some(entry) = self.members.get(&watch.name) else {
                continue;
            };
            let heard = entry.last_heard.unwrap_or(Instant(0)).max(watch.since);
            let silence = now.since(heard);
            let suspect_after = self.timings.suspect_after;
            if silence < suspect_after {
                watch.be_content();
                next = next.min(heard + suspect_after);
                continue;
            }
            let bound = self.timings.dead_after.scaled(entry.patience(now))
                + Duration::from_nanos(STAGGER.nanos() * watch.rank);
            watch.end_round(now, self.liveness.last_answer);
            if silence >= bound && watch.answered >= ANSWERED_ROUNDS {
                dead.push(watch.name.clone());
                continue;
            }
            if watch.asked.is_none() {
                watch.asked = Some(now);
                watch.rounds += 1;
                ask.push((*id, watch.name.clone(), entry.member.address, watch.rounds));
            }
            let again = watch.asked.unwrap_or(now) + ASK_AGAIN;
            next = next.min(if heard + bound > now { again.min(heard + bound) } else { again });
        }
        self.liveness.next_watch = (!self.liveness.watches.is_empty()).then_some(next);
        for (id, name, address, rounds) in ask {
            self.ask_after(now, id, &name, address, rounds);
        }
        for name in dead {
            self.declare_dead(now, &name);
        }
    }

    fn ask_after(&mut self, now: Instant, id: NodeId, name: &str, address: SocketAddrV4, rounds: u32) {
        if rounds > 1 {
            self.set_suspect(name, true);
        }
        self.send(address, Message::Ping { asker: None });
        // Those heard lately are likely on this side of a cut; if they are few, others have their turn as well.
        let others = self.ring.others().filter(|place| place.id != id);
        let (near, far): (Vec<&Place>, Vec<&Place>) = others.partition(|place| {
            let heard = self.members.get(&place.name).and_then(|entry| entry.last_heard);
            heard.is_some_and(|heard| now.since(heard) < self.timings.suspect_after)
        });
        let mut helpers: Vec<SocketAddrV4> =
            near.iter().map(|place| place.address).choose_multiple(&mut self.random, HELPERS);
        let more = HELPERS - helpers.len();
        helpers.extend(far.iter().map(|place| place.address).choose_multiple(&mut self.random, more));
        for helper in helpers {
            self.send(helper, Message::PingFor(id));
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
        self.send(from, Message::Pong { subject: self.own, asker: None });
        let Some(address) = self.member_of(subject).map(|entry| entry.member.address) else {
            return;
        };
        if asker.is_some() && address != self.own_address {
            self.send(address, Message::Ping { asker });
        }
    }

    pub(crate) fn receive_pong(&mut self, now: Instant, subject: NodeId, asker: Option<NodeId>) {
        if let Some(asker) = asker.filter(|asker| *asker != self.own) {
            let address = self.member_of(asker).map(|entry| entry.member.address);
            if let Some(address) = address {
                self.send(address, Message::Pong { subject, asker: Some(asker) });
            }
            return;
        }
        self.liveness.last_answer = Some(now);
        let Some(name) = self.member_of(subject).map(|entry| entry.member.name.clone()) else {
            return;
        };
        if let Some(entry) = self.members.get_mut(&name) {
            entry.last_heard = Some(now);
        }
        self.set_suspect(&name, false);
    }

    pub(crate) fn receive_heartbeat(&mut self, now: Instant, from: SocketAddrV4, heartbeat: Heartbeat) {
        self.note_configuration(now, from, heartbeat.configuration_version);
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

    fn note_configuration(&mut self, now: Instant, peer: SocketAddrV4, version: u64) {
        if version <= self.configuration_version {
            return;
        }
        let told = self.liveness.behind;
        if told.is_some_and(|(at, of)| of >= version && now.since(at) < CONFIGURATION_AGAIN) {
            return;
        }
        self.liveness.behind = Some((now, version));
        self.output.events.push(Event::ConfigurationBehind { peer, version });
    }

    /// Calls one of the dead now and then: all live nodes together call each at a bounded pace.
    fn tick_probes(&mut self, now: Instant) {
        if self.liveness.next_probe.is_some_and(|next| next > now) {
            return;
        }
        let lone_seeds = if self.joining.next_wake().is_some() { Vec::new() } else { self.unnamed_seeds() };
        let dead = self.members.values().filter(|entry| entry.is_dead());
        let pool: Vec<SocketAddrV4> = dead.clone().map(|entry| entry.member.address).collect();
        let long_dead = dead.filter(|entry| now.since(entry.changed) > LONG_DEAD).count();
        let weight =
            (pool.len() - long_dead) as f64 + (long_dead + lone_seeds.len()) as f64 * LONG_DEAD_SHARE;
        if weight == 0.0 {
            self.liveness.next_probe = None;
            return;
        }
        let rate = PROBES_PER_SECOND * (weight / self.ring.len().max(1) as f64).min(1.0);
        let first = self.liveness.next_probe.is_none();
        let wait = Duration::from_seconds(self.random.random_range(0.5..1.5) / rate);
        self.liveness.next_probe = Some(now + wait);
        if first {
            return;
        }
        self.probe(&pool, &lone_seeds);
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
    fn unnamed_seeds(&self) -> Vec<SocketAddrV4> {
        self.unknown_seeds().filter(|seed| !self.by_address.contains_key(seed)).collect()
    }
}

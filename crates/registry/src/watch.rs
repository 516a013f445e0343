//! Watches: each node is watched by the members that follow it in the ring, as in SWIM. A watched node that is
//! unresponsive is probed directly and through other nodes; it is declared dead only after some node has answered a
//! probe, because otherwise the fault may be the own link of this node.

use crate::member::{MemberState, NodeId};
use crate::members::MemberEntry;
use crate::message::Message;
use crate::register::Key;
use crate::registry::Registry;
use crate::ring::RingMember;
use crate::settings::Timings;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The time between two probes of an unresponsive node.
const INDIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// How many probes some node must have answered before the probed node is declared dead. The ping to the probed node in
/// the first probe may have been lost in a network partition that has just healed.
const MIN_ANSWERED_PROBES: u32 = 2;

/// How many other nodes are asked to ping an unresponsive node: perhaps only its link to this node has failed.
const INDIRECT_PROBERS: usize = 3;

/// The time by which each further watcher declares a node dead later, so that usually a single watcher announces it.
const DEATH_STAGGER: Duration = Duration::from_millis(100);

/// The time between a change of the ring and the check of the watches, so that simultaneous changes share one check.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(1);

/// The state that this node, as a watcher, keeps about one member.
pub(crate) struct Watch {
    name: String,
    /// The earliest time from which silence of the member counts.
    pub(crate) since: Instant,
    /// When the probe in flight was sent, if there is one.
    probed_at: Option<Instant>,
    /// How many probes some node answered, which shows that the fault is not the own link of this node.
    answered_probes: u32,
    /// How many probes were sent since the last contact with the member.
    probes: u32,
    /// The distance of the watched node before this one in the ring, 0 for the direct predecessor.
    rank: u64,
}

/// The result of one check of a watched node.
struct WatchCheck {
    action: WatchAction,
    /// When the node has to be checked again, if nothing else happens.
    next: Option<Instant>,
}

enum WatchAction {
    Wait,
    Probe,
    DeclareDead,
}

/// A node that is to be probed directly and through others.
struct IndirectProbe {
    id: NodeId,
    name: String,
    address: SocketAddrV4,
    /// How many probes were sent to the node since the last contact, including this one.
    probes: u32,
}

impl Watch {
    pub(crate) fn reset(&mut self) {
        (self.probed_at, self.answered_probes, self.probes) = (None, 0, 0);
    }

    fn check(
        &mut self,
        now: Instant,
        entry: &MemberEntry,
        timings: &Timings,
        last_pong: Option<Instant>,
    ) -> WatchCheck {
        let last_contact = entry.last_contact.unwrap_or(Instant(0)).max(self.since);
        let silence = now.since(last_contact);
        if silence < timings.suspect_after {
            self.reset();
            return WatchCheck {
                action: WatchAction::Wait,
                next: Some(last_contact + timings.suspect_after),
            };
        }
        let dead_after = timings.dead_after.scaled(entry.suspicion_multiplier(now))
            + Duration::from_nanos(DEATH_STAGGER.nanos() * self.rank);
        self.finish_probe(now, last_pong);
        if silence >= dead_after && self.answered_probes >= MIN_ANSWERED_PROBES {
            return WatchCheck { action: WatchAction::DeclareDead, next: None };
        }
        let action = self.start_probe(now);
        let next_probe = self.probed_at.unwrap_or(now) + INDIRECT_PROBE_INTERVAL;
        let death = last_contact + dead_after;
        let next = if death > now { next_probe.min(death) } else { next_probe };
        WatchCheck { action, next: Some(next) }
    }

    /// Starts a probe, unless one is in flight.
    fn start_probe(&mut self, now: Instant) -> WatchAction {
        if self.probed_at.is_some() {
            return WatchAction::Wait;
        }
        self.probed_at = Some(now);
        self.probes += 1;
        WatchAction::Probe
    }

    /// Ends a probe that has lasted for [`INDIRECT_PROBE_INTERVAL`], and counts it if any node has answered since.
    fn finish_probe(&mut self, now: Instant, last_pong: Option<Instant>) {
        if let Some(probed_at) =
            self.probed_at.take_if(|probed_at| now.since(*probed_at) >= INDIRECT_PROBE_INTERVAL)
            && last_pong.is_some_and(|last_pong| last_pong >= probed_at)
        {
            self.answered_probes += 1;
        }
    }
}

impl Registry {
    /// Updates the watches after a change of the ring, so that exactly the members that precede this node are watched.
    pub(crate) fn update_watches(&mut self, now: Instant) {
        let mut previous = std::mem::take(&mut self.liveness.watches);
        let mut watches = BTreeMap::new();
        for (rank, ring_member) in self.ring.predecessors(self.timings.watchers).enumerate() {
            let known = self.members.get(&ring_member.name).map(|entry| entry.changed);
            // A node that has been a member for long is newly watched because another node died; it may have died too.
            let is_long_known = known.is_some_and(|changed| now.since(changed) > self.timings.dead_after);
            let since = if is_long_known { now - self.timings.suspect_after } else { now };
            let mut watch = previous.remove(&ring_member.id).unwrap_or_else(|| Watch {
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

    pub(crate) fn check_watches(&mut self, now: Instant) {
        let mut next = now + self.timings.suspect_after;
        let (mut to_probe, mut dead) = (Vec::new(), Vec::new());
        for (id, watch) in &mut self.liveness.watches {
            let Some(entry) = self.members.get(&watch.name) else {
                continue;
            };
            let check = watch.check(now, entry, &self.timings, self.liveness.last_pong);
            next = check.next.map_or(next, |at| next.min(at));
            match check.action {
                WatchAction::Wait => {}
                WatchAction::Probe => {
                    let (name, address) = (watch.name.clone(), entry.member.address);
                    to_probe.push(IndirectProbe { id: *id, name, address, probes: watch.probes });
                }
                WatchAction::DeclareDead => dead.push(watch.name.clone()),
            }
        }
        self.liveness.next_watch = (!self.liveness.watches.is_empty()).then_some(next);
        for probe in to_probe {
            self.probe_indirectly(now, probe);
        }
        for name in dead {
            self.declare_dead(now, &name);
        }
    }

    fn probe_indirectly(&mut self, now: Instant, probe: IndirectProbe) {
        let IndirectProbe { id, name, address, probes } = probe;
        if probes > 1 {
            self.set_suspect(&name, true);
        }
        self.send(address, Message::Ping { asker: None });
        // Nodes with recent contact are likely on this side of a network partition; other nodes are asked only if there
        // are too few of them.
        let others = self.ring.others().filter(|ring_member| ring_member.id != id);
        let (recently_heard, unheard): (Vec<&RingMember>, Vec<&RingMember>) =
            others.partition(|ring_member| {
                let last_contact = self.members.get(&ring_member.name).and_then(|entry| entry.last_contact);
                last_contact.is_some_and(|contact| now.since(contact) < self.timings.suspect_after)
            });
        let mut probers: Vec<SocketAddrV4> = recently_heard
            .iter()
            .map(|ring_member| ring_member.address)
            .choose_multiple(&mut self.random, INDIRECT_PROBERS);
        let missing = INDIRECT_PROBERS - probers.len();
        probers.extend(
            unheard.iter().map(|ring_member| ring_member.address).choose_multiple(&mut self.random, missing),
        );
        for prober in probers {
            self.send(prober, Message::PingFor(id));
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
        let asker = self.names_by_address.get(&from).map(|name| NodeId::of(name));
        // This pong shows the asker at least that this node receives its messages.
        self.send(from, Message::Pong { subject: self.own_id, asker: None });
        let Some(address) = self.member_by_id(subject).map(|entry| entry.member.address) else {
            return;
        };
        if asker.is_some() && address != self.own_address {
            self.send(address, Message::Ping { asker });
        }
    }

    pub(crate) fn receive_pong(&mut self, now: Instant, subject: NodeId, asker: Option<NodeId>) {
        if let Some(asker) = asker.filter(|asker| *asker != self.own_id) {
            let address = self.member_by_id(asker).map(|entry| entry.member.address);
            if let Some(address) = address {
                self.send(address, Message::Pong { subject, asker: Some(asker) });
            }
            return;
        }
        self.liveness.last_pong = Some(now);
        let Some(name) = self.member_by_id(subject).map(|entry| entry.member.name.clone()) else {
            return;
        };
        if let Some(entry) = self.members.get_mut(&name) {
            entry.last_contact = Some(now);
        }
        self.set_suspect(&name, false);
    }
}

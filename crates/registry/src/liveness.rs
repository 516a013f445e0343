//! Heartbeats: a node sends one to each of its watchers and to one additional node, so that digests are compared across
//! the whole fleet. The state in this module is also used by [`crate::watch`] and [`crate::probe`].

use crate::event::Event;
use crate::member::NodeId;
use crate::message::{Heartbeat, Message};
use crate::register::Key;
use crate::registry::Registry;
use crate::watch::Watch;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The time between two removals of expired tombstones of nodes.
const TOMBSTONE_SWEEP_INTERVAL: Duration = Duration::from_millis(5_000);

/// The shortest time between two events that report the same newer version of the configuration.
const CONFIG_EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// The number of rounds of heartbeats after which the additional heartbeat goes to a random node instead of a
/// long-range peer in the ring. So nodes compare digests with all others even if their rings differ.
const RANDOM_HEARTBEAT_INTERVAL: usize = 16;

/// The state of heartbeats and watches.
pub(crate) struct Liveness {
    pub(crate) next_heartbeat: Instant,
    pub(crate) next_probe: Option<Instant>,
    pub(crate) next_sweep: Instant,
    pub(crate) next_watch: Option<Instant>,
    /// When this node last received a message from any node.
    pub(crate) last_contact: Option<Instant>,
    /// When this node last received a pong, which shows that another node receives its messages.
    pub(crate) last_pong: Option<Instant>,
    pub(crate) watches: BTreeMap<NodeId, Watch>,
    pub(crate) probe_cursor: usize,
    /// The number of rounds of heartbeats, counted from the initial value of `probe_cursor`.
    heartbeat_round: usize,
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
            // The random initial value makes nodes that start together select random nodes at different times.
            heartbeat_round: probe_cursor,
            last_configuration_event: None,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        [Some(self.next_heartbeat), self.next_probe, Some(self.next_sweep), self.next_watch]
            .into_iter()
            .flatten()
            .min()
    }

    /// Makes the next tick compute the probe rate anew, because the numbers of live and dead nodes have changed.
    pub(crate) fn reset_probe_schedule(&mut self) {
        self.next_probe = None;
    }

    /// Restarts the silence of all watched nodes after a freeze of this process.
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
    /// Returns whether this node has received nothing for 2.5 heartbeat intervals although it knows other live nodes,
    /// so that it is probably isolated by a network partition. It declares no node dead while none of its probes is
    /// answered.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let timeout = self.timings.heartbeat.scaled(2.5);
        self.ring.len() > 1 && self.liveness.last_contact.is_none_or(|contact| now.since(contact) > timeout)
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

    /// Returns the address that receives a heartbeat in addition to the watchers, so that digests are compared across
    /// the whole fleet. This is usually one of a few long-range peers in the ring: in a large fleet, a random node
    /// would need a new connection each time.
    fn extra_heartbeat_target(&mut self) -> Option<SocketAddrV4> {
        self.liveness.heartbeat_round = self.liveness.heartbeat_round.wrapping_add(1);
        let heartbeat_round = self.liveness.heartbeat_round;
        if heartbeat_round.is_multiple_of(RANDOM_HEARTBEAT_INTERVAL) {
            return self.random_other().map(|(_, address)| address);
        }
        self.ring
            .long_range_peer(self.timings.watchers, heartbeat_round)
            .map(|ring_member| ring_member.address)
    }

    pub(crate) fn receive_heartbeat(&mut self, now: Instant, from: SocketAddrV4, heartbeat: Heartbeat) {
        self.compare_configuration(now, from, heartbeat.configuration_version);
        let theirs = (heartbeat.incarnation, heartbeat.status_version);
        let known = self.member_by_id(heartbeat.node).map(|entry| {
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
        if last_event.is_some_and(|(at, last)| last >= version && now.since(at) < CONFIG_EVENT_INTERVAL) {
            return;
        }
        self.liveness.last_configuration_event = Some((now, version));
        self.output.events.push(Event::ConfigurationBehind { peer, version });
    }
}

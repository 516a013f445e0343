//! Heartbeats: a node sends one to each of its watchers and to one further node, so that digests are compared all
//! over the fleet. The state here also serves [`crate::watch`] and [`crate::probe`].

use crate::event::Event;
use crate::member::NodeId;
use crate::message::{Heartbeat, Message};
use crate::register::Key;
use crate::registry::Registry;
use crate::watch::Watch;
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Between two looks at tombstones.
const TOMBSTONE_SWEEP_INTERVAL: Duration = Duration::from_millis(5_000);

/// Between two events that say that the configuration is behind the same version.
const CONFIGURATION_EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// Every so many heartbeats one goes to a random node in place of a far member of the ring. So a node that others place
/// differently in their rings still compares digests with all.
const RANDOM_INTERVAL: usize = 16;

/// The state of heartbeats and watches.
pub(crate) struct Liveness {
    pub(crate) next_heartbeat: Instant,
    pub(crate) next_probe: Option<Instant>,
    pub(crate) next_sweep: Instant,
    pub(crate) next_watch: Option<Instant>,
    /// When anything last came from anyone.
    pub(crate) last_contact: Option<Instant>,
    /// When another node last answered a probe of this one, and so has received it.
    pub(crate) last_pong: Option<Instant>,
    pub(crate) watches: BTreeMap<NodeId, Watch>,
    pub(crate) probe_cursor: usize,
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
    /// Whether this node has had no contact for a while, though it knows of others: then it is likely partitioned off.
    /// It declares nobody dead as long as none of its probes is answered.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let bound = self.timings.heartbeat.scaled(2.5);
        self.ring.len() > 1 && self.liveness.last_contact.is_none_or(|contact| now.since(contact) > bound)
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

    /// Who receives a heartbeat in addition to the watchers, so that digests are compared all over the fleet. Mostly a far member of
    /// the ring, one of a few: a link to a random node each time would have to be made anew in a large fleet.
    fn extra_heartbeat_target(&mut self) -> Option<SocketAddrV4> {
        self.liveness.heartbeats_sent = self.liveness.heartbeats_sent.wrapping_add(1);
        let heartbeats_sent = self.liveness.heartbeats_sent;
        if heartbeats_sent.is_multiple_of(RANDOM_INTERVAL) {
            return self.random_other().map(|(_, address)| address);
        }
        self.ring.far(self.timings.watchers, heartbeats_sent).map(|ring_member| ring_member.address)
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
}

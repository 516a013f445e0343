//! Probes of dead nodes and unanswered seeds, which detect that a network partition has healed. The rate of the probes
//! of all live nodes together is bounded, however many nodes are dead.

use crate::message::Message;
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::net::SocketAddrV4;

/// The number of probes per second that a dead node receives from all live nodes together, and the largest number that
/// one node sends.
const DEAD_PROBES_PER_SECOND: f64 = 4.0;

/// The weight, relative to other dead nodes, of unanswered seeds and of nodes that have been dead for longer than
/// [`LONG_DEAD_DELAY`] in the probe rate.
const LONG_DEAD_WEIGHT: f64 = 0.25;

/// The time after which a dead node is unlikely to come back.
const LONG_DEAD_DELAY: Duration = Duration::from_millis(30_000);

impl Registry {
    /// Probes a dead node or an unanswered seed if a probe is due, and schedules the next probe.
    pub(crate) fn tick_probes(&mut self, now: Instant) {
        if self.liveness.next_probe.is_some_and(|next| next > now) {
            return;
        }
        let unanswered_seeds =
            if self.joining.next_wake().is_some() { Vec::new() } else { self.seeds_without_member() };
        let dead = self.members.values().filter(|entry| entry.is_dead());
        let dead_addresses: Vec<SocketAddrV4> = dead.clone().map(|entry| entry.member.address).collect();
        let long_dead = dead.filter(|entry| now.since(entry.changed) > LONG_DEAD_DELAY).count();
        let weight = (dead_addresses.len() - long_dead) as f64
            + (long_dead + unanswered_seeds.len()) as f64 * LONG_DEAD_WEIGHT;
        if weight == 0.0 {
            self.liveness.next_probe = None;
            return;
        }
        let rate = DEAD_PROBES_PER_SECOND * (weight / self.ring.len().max(1) as f64).min(1.0);
        let is_first = self.liveness.next_probe.is_none();
        let wait = Duration::from_seconds(self.random.random_range(0.5..1.5) / rate);
        self.liveness.next_probe = Some(now + wait);
        if is_first {
            return;
        }
        self.probe(&dead_addresses, &unanswered_seeds);
    }

    fn probe(&mut self, dead: &[SocketAddrV4], seeds: &[SocketAddrV4]) {
        let index = self.liveness.probe_cursor % (dead.len() + seeds.len());
        self.liveness.probe_cursor = self.liveness.probe_cursor.wrapping_add(1);
        match dead.get(index) {
            Some(address) => self.send(*address, self.own_heartbeat()),
            None => self.send(seeds[index - dead.len()], Message::Join(self.own_member().clone())),
        }
    }

    /// Returns the seeds at whose addresses no node is known, dead or live.
    fn seeds_without_member(&self) -> Vec<SocketAddrV4> {
        self.unknown_seeds().filter(|seed| !self.names_by_address.contains_key(seed)).collect()
    }
}

//! Probes of dead nodes and unanswered seeds, by which a network partition that heals is noticed. All live nodes
//! together probe at a bounded rate, however many nodes are dead.

use crate::message::Message;
use crate::registry::Registry;
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::net::SocketAddrV4;

/// How many calls a second a dead node gets from all others together, and a node makes at most.
const DEAD_PROBES_PER_SECOND: f64 = 4.0;

/// How much less often those are called that have been dead for [`LONG_DEAD_DELAY`].
const LONG_DEAD_WEIGHT: f64 = 0.25;

/// After this a dead node is hardly expected back.
const LONG_DEAD_DELAY: Duration = Duration::from_millis(30_000);

impl Registry {
    /// Calls one of the dead now and then: all live nodes together call each at a bounded pace.
    pub(crate) fn tick_probes(&mut self, now: Instant) {
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

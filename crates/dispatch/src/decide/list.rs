//! The list of executors is followed, and nothing goes by an old one.

use super::{Dispatcher, FOLLOW, RECEIPT_TIMEOUT, executor::Executor};
use crate::ids::fixed_hash;
use crate::time::DurationExt;
use crate::{AllocationId, Duration, ExecutorId, Host, Instant, Listing, Standing};
use grebeusher_sizing::rendezvous;
use rand::Rng;

impl<H: Host> Dispatcher<H> {
    /// The executor list, whole or only what changed in it.
    pub fn listed(&mut self, now: Instant, whole: bool, entries: &[Listing<'_>]) {
        self.follow_tries = 0;
        if whole {
            // Absent from a whole list means gone.
            self.executors.iter_mut().for_each(|e| e.standing = Standing::Gone);
        }
        for entry in entries {
            let index = entry.executor.0;
            // What is known of its kind holds for a new one: while it is cold its budget goes by that.
            let kin = self.executors.iter().find(|e| e.kind == entry.kind);
            let (capacity, pace, most_free) = kin.map_or((1., 1., 0.), |e| (e.capacity, e.pace, e.most_free));
            let new = || Executor { capacity, pace, most_free, slots: 1.0, ..Executor::default() };
            self.executors.resize_with(self.executors.len().max(index + 1), new);
            let e = &mut self.executors[index];
            e.hash = fixed_hash(entry.name);
            e.rank = rendezvous(self.node.wrapping_add(1), e.hash);
            e.distance = (self.node % self.nodes + self.nodes - e.hash % self.nodes) % self.nodes;
            (e.standing, e.speaks) = (entry.standing, entry.speaks);
            (e.kind, e.zone, e.cell) = (entry.kind, entry.zone, entry.cell);
            e.weight = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 1.0 };
            if entry.started > e.started {
                // A restarted process is cold and owes nothing to its past.
                e.started = entry.started;
                e.cold_from = entry.started.map(|at| at.max(now.min(at + self.cold.starts_off)));
                (e.reported, e.utilisation, e.answers) = (None, 0.0, 0);
                e.aside_until = Instant(0);
                e.cold_sent.clear();
            }
        }
        self.form_lanes(now);
        self.serve_held(now);
    }

    /// All that the list's keeper had then is known, as it says itself if it was `heard`. Once what it had
    /// later counts as told, and the grace is over, nothing goes to those for whom the list alone speaks.
    pub fn list_proved(&mut self, as_of: Instant, heard: bool) {
        self.follow_tries *= u32::from(!heard);
        const NOTIFICATION_TIMEOUT: Duration = Duration::from_millis(6000); // whatever became of the node's calls
        self.list_until = Some(as_of + NOTIFICATION_TIMEOUT + self.allowance.grace - RECEIPT_TIMEOUT);
    }

    /// The list could not be had, or its changes stopped coming.
    pub fn list_broken(&mut self) {
        if !self.asks_list {
            return;
        }
        // All nodes lose it together: 0.1 to 0.6 s, so that a few calls fit into 6 s; doubled up to 4.8 s.
        let wait = (0.1 + 0.5 * self.chance.random::<f64>()) * f64::from(1 << self.follow_tries.min(3));
        self.follow_tries += 1;
        self.host.wake(Duration::from_seconds(wait), FOLLOW);
    }

    /// How many executors are listed, and how many of these get nothing now: they drain or are set aside.
    pub fn listing(&self, now: Instant) -> (usize, usize) {
        let listed = self.executors.iter().filter(|e| e.standing != Standing::Gone);
        let out = |e: &&Executor| e.standing == Standing::Draining || now < e.aside_until;
        (listed.clone().count(), listed.filter(out).count())
    }

    /// Whether an allocation that waited for a connection may still go to its executor. Guards against one
    /// that begins after word of a drain, or of an age of the list that may hide one, or after the memory
    /// span of its group.
    pub fn may_begin(&self, now: Instant, id: AllocationId, executor: ExecutorId) -> bool {
        let (e, Some(work)) = (&self.executors[executor.0], self.work.get(&id.unit)) else { return false };
        let effect = self.tariffs[work.tariff].effect;
        let earlier = &work.allocations[..id.number];
        e.standing == Standing::Ready && self.is_told(now, e) && self.repeats(now, effect, earlier, e)
    }

    /// Whether what is known of its standing may be gone by.
    pub(super) fn is_told(&self, now: Instant, e: &Executor) -> bool {
        e.speaks || self.list_until.is_none_or(|until| now < until)
    }
}

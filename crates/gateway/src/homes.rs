//! The exception for prompts: where requests with shared parts worth reading go inside their lane.
//!
//! Each prefix (the shared parts of a prompt, for its model) has homes: the first executors of its lane in a rendezvous
//! order that all nodes agree on without a word. How many they are goes by demand: with [`Policy::shared_prefixes`] by the
//! tier's common sense of it (`grebeusher-prefix-popularity`), else by this node's own sends times the number of nodes.
//!
//! Bound: nobody is sent to a home that is as full as [`Policy::home_bound`], or where the wait, with what is still to be
//! read there, is longer than [`Policy::home_patience`] times the reading anew. Then the next few of the order, those that
//! hold the prefix by this node's sends, and the ordinary pick follow. A prefix has homes in half of its lane at most, so
//! none herds on one executor and none takes the lane; who names no shared parts never comes here.
//!
//! [`Policy::shared_prefixes`]: crate::Policy::shared_prefixes
//! [`Policy::home_bound`]: crate::Policy::home_bound
//! [`Policy::home_patience`]: crate::Policy::home_patience

use crate::choose::{Candidate, Request};
use crate::gateway::Gateway;
use crate::prefix::READ_PER_S;
use grebeusher_prefix_popularity::PrefixKey;
use grebeusher_sizing::rendezvous;
use grebeusher_time::Instant;

/// The most of its lane that one prefix has homes in: one of so many executors.
const LANE_SHARE: usize = 2;

impl Gateway {
    /// One of the lane that holds the prompt's shared parts or is to hold them, and has room to spare, or will have before
    /// the shared parts could be read anew elsewhere.
    pub(crate) fn by_parts(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        allowance: f64,
        candidates: &[Candidate],
    ) -> Option<u32> {
        let stake = request.stake();
        if stake < self.policy.least_stake {
            return None;
        }
        let subject = request.subject()?;
        let patience = f64::from(stake) / READ_PER_S * self.policy.home_patience;
        let bound = self.policy.home_bound;
        let spare = move |c: &Candidate| {
            c.sound
                && c.reachable
                && c.fits
                && c.utilisation < bound
                && c.wait <= allowance
                && c.wait + c.unread as f64 / READ_PER_S + c.behind <= patience
        };
        match self.prefix_key(request) {
            Some(key) => self.by_shared_demand(request, subject, key, candidates, spare),
            None => self.by_own_demand(now, request, subject, candidates, spare),
        }
    }

    /// The key under which the tier counts a request's shared parts; nothing where each node judges alone.
    pub(crate) fn prefix_key(&self, request: &Request<'_>) -> Option<PrefixKey> {
        self.popularity.as_ref()?;
        let service = self.services.get(request.service.0 as usize)?;
        request.subject().map(|subject| PrefixKey::of(service.hash, subject))
    }

    /// All of the lane, in the order in which every node takes them for homes.
    fn home_order(
        subject: u64,
        candidates: &[Candidate],
        fit: impl Fn(&Candidate) -> bool,
    ) -> Vec<Candidate> {
        let mut order: Vec<Candidate> = candidates.iter().copied().filter(|c| c.in_lane && fit(c)).collect();
        order.sort_unstable_by_key(|c| std::cmp::Reverse(rendezvous(subject, c.hash)));
        order
    }

    /// Tokens of the shared parts that an executor is believed to hold by this node's own sends.
    fn kept_shared(&self, request: &Request<'_>, candidate: &Candidate) -> u32 {
        let executor = self.executors[candidate.place as usize].1.as_ref();
        executor.map_or(0, |executor| executor.memory.kept(request.model_bits(), request.parts.shared()))
    }

    /// Homes by the tier's common sense of demand.
    fn by_shared_demand(
        &mut self,
        request: &Request<'_>,
        subject: u64,
        key: PrefixKey,
        candidates: &[Candidate],
        spare: impl Fn(&Candidate) -> bool,
    ) -> Option<u32> {
        // Those that are full for the moment keep their place, or all others' homes would move with every request.
        let order = Self::home_order(subject, candidates, |c| c.sound);
        let wanted = self.popularity.as_ref().map_or(1, |popularity| popularity.homes(key));
        let wanted = wanted.min(order.len() / LANE_SHARE).max(1);
        let homes: Vec<Candidate> = order.iter().copied().take(wanted).filter(&spare).collect();
        if let Some(place) = self.weighted(&homes) {
            self.decisions.by_home += 1;
            return Some(place);
        }
        if let Some(next) = order.iter().skip(wanted).take(self.policy.homes).find(|c| spare(c)) {
            self.decisions.by_next_home += 1;
            return Some(next.place);
        }
        let held: Vec<Candidate> = order
            .into_iter()
            .filter(|c| spare(c) && self.kept_shared(request, c) >= self.policy.least_stake)
            .collect();
        let place = self.weighted(&held)?;
        self.decisions.by_kept += 1;
        Some(place)
    }

    /// Homes by this node's own sends: those that hold most by them, and so many more as demand here, taken for that of
    /// each node, needs.
    fn by_own_demand(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        subject: u64,
        candidates: &[Candidate],
        spare: impl Fn(&Candidate) -> bool,
    ) -> Option<u32> {
        let order = Self::home_order(subject, candidates, |c| c.sound && c.reachable && c.fits);
        let demand = self.demand.tokens_per_s(now, subject) * f64::from(self.nodes);
        let wanted = 1 + (demand / (READ_PER_S * self.policy.home_part)) as usize;
        let with_room: Vec<Candidate> = order.iter().copied().filter(&spare).collect();
        let longest_kept = with_room.iter().map(|c| self.kept_shared(request, c)).max().unwrap_or(0);
        let holds = longest_kept >= self.policy.least_stake;
        let mut homes: Vec<Candidate> = Vec::with_capacity(wanted.min(order.len()));
        if !holds || wanted > 1 {
            homes.extend(order.iter().copied().take(wanted).filter(&spare));
        }
        if holds {
            homes.extend(with_room.into_iter().filter(|c| self.kept_shared(request, c) == longest_kept));
            homes.sort_unstable_by_key(|c| c.place);
            homes.dedup_by_key(|c| c.place);
        } else if homes.is_empty() {
            homes.extend(order.into_iter().take(wanted.max(self.policy.homes)).find(&spare));
        }
        let place = self.weighted(&homes)?;
        let count = if holds { &mut self.decisions.by_kept } else { &mut self.decisions.by_home };
        *count += 1;
        Some(place)
    }
}

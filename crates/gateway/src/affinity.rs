//! Prefix affinity: how requests with a long shared prompt prefix are routed inside their lane.
//!
//! A prefix consists of a model and the segments of a prompt that other requests share. Its homes are the first
//! executors of its lane in the order of rendezvous hashing, which all nodes compute alike without communication.
//! Requests with the prefix go to its homes, so that few executors have to compute and cache it. The number of homes
//! grows with the demand for the prefix. With [`GatewayConfig::share_prefix_popularity`] the demand is the estimate
//! that all nodes of the tier share (`grebeusher-prefix-popularity`); without it, the demand is estimated as that of
//! this node's own requests times the number of nodes.
//!
//! A home is passed over when its utilisation reaches [`GatewayConfig::max_home_utilisation`], or when the wait there,
//! pending prefill included, exceeds [`GatewayConfig::max_home_wait_ratio`] times the duration of a prefill of the
//! prefix elsewhere. The next few executors of the rendezvous order are then tried, after them the executors that have
//! the prefix cached by this node's own requests, and last the ordinary weighted pick. A prefix has homes at no more
//! than half of the executors of its lane, so that it neither occupies the whole lane nor overloads an executor.
//! Requests without a shared prefix do not have affinity.
//!
//! [`GatewayConfig::share_prefix_popularity`]: crate::GatewayConfig::share_prefix_popularity
//! [`GatewayConfig::max_home_utilisation`]: crate::GatewayConfig::max_home_utilisation
//! [`GatewayConfig::max_home_wait_ratio`]: crate::GatewayConfig::max_home_wait_ratio

use crate::candidate::Candidate;
use crate::gateway::Gateway;
use crate::ids::ExecutorId;
use crate::prefix_cache::PREFILL_TOKENS_PER_S;
use crate::request::Request;
use grebeusher_prefix_popularity::PrefixKey;
use grebeusher_sizing::rendezvous;
use grebeusher_time::Instant;

/// The number of executors that a lane must have for each home of one prefix.
const LANE_EXECUTORS_PER_HOME: usize = 2;

/// The limits below which a candidate may serve one request by prefix affinity.
#[derive(Clone, Copy)]
struct HomeLimits {
    /// The utilisation that the candidate has to be below.
    max_utilisation: f64,
    max_queue_wait_s: f64,
    /// The limit of the whole wait in seconds: the queue, the pending prefill and the recent delay of first events.
    max_wait_s: f64,
}

impl HomeLimits {
    /// Whether the candidate is healthy and within the limits.
    fn allow(&self, candidate: &Candidate) -> bool {
        let prefill_s = candidate.pending_prefill_tokens as f64 / PREFILL_TOKENS_PER_S;
        candidate.healthy
            && candidate.reachable
            && candidate.fits_memory
            && candidate.utilisation < self.max_utilisation
            && candidate.queue_wait_s <= self.max_queue_wait_s
            && candidate.queue_wait_s + prefill_s + candidate.first_event_delay_s <= self.max_wait_s
    }
}

/// The candidates of the request's lane for which `is_included` holds, in the rendezvous order of the prefix.
fn rendezvous_order(
    prefix_hash: u64,
    candidates: &[Candidate],
    is_included: impl Fn(&Candidate) -> bool,
) -> Vec<Candidate> {
    let included = candidates.iter().copied().filter(|c| c.in_lane && is_included(c));
    let mut ordered: Vec<Candidate> = included.collect();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(rendezvous(prefix_hash, c.instance_hash)));
    ordered
}

impl Gateway {
    /// Chooses an executor of the lane by the request's shared prefix: one that has the prefix cached or is a home of
    /// it, and that is within the limits of wait and utilisation. Returns `None` when the request has no affinity or no
    /// such executor is within the limits.
    pub(crate) fn choose_by_prefix(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        max_queue_wait_s: f64,
        candidates: &[Candidate],
    ) -> Option<ExecutorId> {
        let shared_tokens = request.shared_tokens();
        if shared_tokens < self.config.min_prefix_tokens {
            return None;
        }
        let prefix_hash = request.prefix_hash()?;
        let prefill_s = f64::from(shared_tokens) / PREFILL_TOKENS_PER_S;
        let limits = HomeLimits {
            max_utilisation: self.config.max_home_utilisation,
            max_queue_wait_s,
            max_wait_s: prefill_s * self.config.max_home_wait_ratio,
        };
        match self.popularity_key(request) {
            Some(key) => {
                let ordered = rendezvous_order(prefix_hash, candidates, |c| c.healthy);
                self.choose_by_shared_demand(request, key, &ordered, limits)
            }
            None => {
                let ordered =
                    rendezvous_order(prefix_hash, candidates, |c| c.healthy && c.reachable && c.fits_memory);
                self.choose_by_own_demand(now, request, prefix_hash, &ordered, limits)
            }
        }
    }

    /// The key of the request's prefix in the popularity estimate that the nodes share. `None` when the request has no
    /// shared prefix, or when the nodes do not share an estimate.
    pub(crate) fn popularity_key(&self, request: &Request<'_>) -> Option<PrefixKey> {
        self.popularity.as_ref()?;
        let service = self.services.get(request.service)?;
        request.prefix_hash().map(|prefix_hash| PrefixKey::from_hashes(service.name_hash, prefix_hash))
    }

    /// The number of tokens of the request's shared prefix that an executor has cached, judged by this node's own
    /// requests.
    fn cached_prefix_tokens(&self, request: &Request<'_>, id: ExecutorId) -> u32 {
        let executor = self.executors.get(id);
        executor.map_or(0, |executor| {
            executor.prefix_cache.cached_tokens(request.model_hash(), request.prompt.shared())
        })
    }

    /// Chooses an executor when the number of homes follows the demand that the nodes estimate together. `ordered` has
    /// all healthy executors of the lane in rendezvous order. An executor that is full at the moment keeps its
    /// position; otherwise the homes would change with each request.
    fn choose_by_shared_demand(
        &mut self,
        request: &Request<'_>,
        key: PrefixKey,
        ordered: &[Candidate],
        limits: HomeLimits,
    ) -> Option<ExecutorId> {
        let needed_homes = self.popularity.as_ref().map_or(1, |popularity| popularity.home_count(key));
        let home_count = needed_homes.min(ordered.len() / LANE_EXECUTORS_PER_HOME).max(1);
        let is_usable = |c: &Candidate| limits.allow(c);
        let homes: Vec<Candidate> = ordered.iter().copied().take(home_count).filter(is_usable).collect();
        if let Some(home) = self.weighted_pick(&homes) {
            self.decisions.prefix_home += 1;
            return Some(home);
        }
        if let Some(next) =
            ordered.iter().skip(home_count).take(self.config.home_candidates).find(|c| is_usable(c))
        {
            self.decisions.next_prefix_home += 1;
            return Some(next.id);
        }
        let min_tokens = self.config.min_prefix_tokens;
        let has_cached = |c: &Candidate| self.cached_prefix_tokens(request, c.id) >= min_tokens;
        let usable_with_cache: Vec<Candidate> =
            ordered.iter().copied().filter(|c| is_usable(c) && has_cached(c)).collect();
        let chosen = self.weighted_pick(&usable_with_cache)?;
        self.decisions.cached_prefix += 1;
        Some(chosen)
    }

    /// Chooses an executor when the number of homes follows this node's own requests. The homes are the executors that
    /// have the most tokens of the prefix cached by this node's requests, and as many executors of the rendezvous order
    /// as the demand needs. The demand is assumed to be the same at each node.
    fn choose_by_own_demand(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        prefix_hash: u64,
        ordered: &[Candidate],
        limits: HomeLimits,
    ) -> Option<ExecutorId> {
        let home_count = self.homes_by_own_demand(now, prefix_hash);
        let usable: Vec<Candidate> = ordered.iter().copied().filter(|c| limits.allow(c)).collect();
        let most_cached = usable.iter().map(|c| self.cached_prefix_tokens(request, c.id)).max().unwrap_or(0);
        let is_cached = most_cached >= self.config.min_prefix_tokens;
        let usable_of_first = |count: usize| ordered.iter().copied().take(count).filter(|c| limits.allow(c));
        let mut homes: Vec<Candidate> = Vec::new();
        if !is_cached || home_count > 1 {
            homes.extend(usable_of_first(home_count));
        }
        if is_cached {
            let has_most_cached = |c: &Candidate| self.cached_prefix_tokens(request, c.id) == most_cached;
            homes.extend(usable.into_iter().filter(has_most_cached));
            homes.sort_unstable_by_key(|c| c.id);
            homes.dedup_by_key(|c| c.id);
        } else if homes.is_empty() {
            homes.extend(usable_of_first(home_count.max(self.config.home_candidates)).next());
        }
        let chosen = self.weighted_pick(&homes)?;
        let decisions = &mut self.decisions;
        let counter = if is_cached { &mut decisions.cached_prefix } else { &mut decisions.prefix_home };
        *counter += 1;
        Some(chosen)
    }

    /// The number of homes that a prefix needs when each node has as much demand for it as this one.
    fn homes_by_own_demand(&self, now: Instant, prefix_hash: u64) -> usize {
        let demand_tokens_per_s =
            self.prefix_demand.tokens_per_s(now, prefix_hash) * f64::from(self.node_count);
        1 + (demand_tokens_per_s / (PREFILL_TOKENS_PER_S * self.config.home_prefill_share)) as usize
    }
}

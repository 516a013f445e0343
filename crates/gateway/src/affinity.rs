//! Prefix affinity: where requests with a long shared prefix go inside their lane.
//!
//! Each prefix (the shared segments of a prompt, for its model) has homes: the first executors of its lane in a
//! rendezvous order, on which all nodes agree without communication. Their number follows demand: with
//! [`GatewayConfig::share_prefix_popularity`] by the tier's shared estimate (`grebeusher-prefix-popularity`), else by
//! this node's own requests times the number of nodes.
//!
//! Bounds: an executor is not used as a home when its utilisation reaches [`GatewayConfig::max_home_utilisation`], or
//! when the wait there, pending prefill included, exceeds [`GatewayConfig::max_home_wait_ratio`] times the prefill of
//! the prefix elsewhere. Then follow the next few of the order, executors that have the prefix cached by this node's own
//! requests, and the ordinary pick. A prefix has homes in half of its lane at most, so no executor attracts a herd and
//! no prefix takes the lane. A request without a shared prefix is never routed here.
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

/// One prefix has homes in at most one of so many executors of its lane.
const LANE_EXECUTORS_PER_HOME: usize = 2;

/// When a candidate may be used as a home of one request.
#[derive(Clone, Copy)]
struct HomeLimits {
    max_utilisation: f64,
    max_queue_wait_s: f64,
    /// Bound of the whole wait: queue, pending prefill and recent delay of first events.
    max_wait_s: f64,
}

impl HomeLimits {
    fn allow(&self, candidate: &Candidate) -> bool {
        let prefill_s = candidate.pending_prefill as f64 / PREFILL_TOKENS_PER_S;
        candidate.healthy
            && candidate.reachable
            && candidate.fits_memory
            && candidate.utilisation < self.max_utilisation
            && candidate.queue_wait_s <= self.max_queue_wait_s
            && candidate.queue_wait_s + prefill_s + candidate.first_event_delay_s <= self.max_wait_s
    }
}

/// The matching candidates of the lane, in the order in which every node takes them for homes.
fn home_order(prefix: u64, candidates: &[Candidate], matches: impl Fn(&Candidate) -> bool) -> Vec<Candidate> {
    let in_order = candidates.iter().copied().filter(|c| c.in_lane && matches(c));
    let mut order: Vec<Candidate> = in_order.collect();
    order.sort_unstable_by_key(|c| std::cmp::Reverse(rendezvous(prefix, c.hash)));
    order
}

impl Gateway {
    /// An executor of the lane that has the request's shared prefix or is to have it, and can begin before the prefix
    /// would be through prefill elsewhere.
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
        let prefix = request.prefix_hash()?;
        let prefill_s = f64::from(shared_tokens) / PREFILL_TOKENS_PER_S;
        let limits = HomeLimits {
            max_utilisation: self.config.max_home_utilisation,
            max_queue_wait_s,
            max_wait_s: prefill_s * self.config.max_home_wait_ratio,
        };
        match self.popularity_key(request) {
            Some(key) => {
                let order = home_order(prefix, candidates, |c| c.healthy);
                self.choose_by_shared_demand(request, key, &order, limits)
            }
            None => {
                let order = home_order(prefix, candidates, |c| c.healthy && c.reachable && c.fits_memory);
                self.choose_by_own_demand(now, request, prefix, &order, limits)
            }
        }
    }

    /// The key under which the tier counts the request's prefix. `None` where each node judges alone.
    pub(crate) fn popularity_key(&self, request: &Request<'_>) -> Option<PrefixKey> {
        self.popularity.as_ref()?;
        let service = self.services.get(request.service)?;
        request.prefix_hash().map(|prefix| PrefixKey::of(service.hash, prefix))
    }

    /// Tokens of the shared prefix that an executor has cached by this node's own requests.
    fn cached_prefix_tokens(&self, request: &Request<'_>, id: ExecutorId) -> u32 {
        let executor = self.executors.get(id);
        executor.map_or(0, |executor| {
            executor.prefix_cache.cached_tokens(request.model_hash(), request.prompt.shared())
        })
    }

    /// Homes by the tier's shared estimate of demand. `order` has all healthy executors of the lane: one that is full
    /// for the moment keeps its position, or the homes of all others would move with every request.
    fn choose_by_shared_demand(
        &mut self,
        request: &Request<'_>,
        key: PrefixKey,
        order: &[Candidate],
        limits: HomeLimits,
    ) -> Option<ExecutorId> {
        let wanted = self.popularity.as_ref().map_or(1, |popularity| popularity.homes(key));
        let wanted = wanted.min(order.len() / LANE_EXECUTORS_PER_HOME).max(1);
        let usable = |c: &Candidate| limits.allow(c);
        let homes: Vec<Candidate> = order.iter().copied().take(wanted).filter(usable).collect();
        if let Some(home) = self.weighted_pick(&homes) {
            self.decisions.prefix_home += 1;
            return Some(home);
        }
        if let Some(next) = order.iter().skip(wanted).take(self.config.home_candidates).find(|c| usable(c)) {
            self.decisions.next_prefix_home += 1;
            return Some(next.id);
        }
        let min_tokens = self.config.min_prefix_tokens;
        let has_cached = |c: &Candidate| self.cached_prefix_tokens(request, c.id) >= min_tokens;
        let cached: Vec<Candidate> = order.iter().copied().filter(|c| usable(c) && has_cached(c)).collect();
        let chosen = self.weighted_pick(&cached)?;
        self.decisions.cached_prefix += 1;
        Some(chosen)
    }

    /// Homes by this node's own requests: those that have most of the prefix cached by them, and as many more as the
    /// demand needs, taken to be the same at each node.
    fn choose_by_own_demand(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        prefix: u64,
        order: &[Candidate],
        limits: HomeLimits,
    ) -> Option<ExecutorId> {
        let wanted = self.homes_by_own_demand(now, prefix);
        let usable: Vec<Candidate> = order.iter().copied().filter(|c| limits.allow(c)).collect();
        let most_cached = usable.iter().map(|c| self.cached_prefix_tokens(request, c.id)).max().unwrap_or(0);
        let is_cached = most_cached >= self.config.min_prefix_tokens;
        let first = |count: usize| order.iter().copied().take(count).filter(|c| limits.allow(c));
        let mut homes: Vec<Candidate> = Vec::new();
        if !is_cached || wanted > 1 {
            homes.extend(first(wanted));
        }
        if is_cached {
            let has_most = |c: &Candidate| self.cached_prefix_tokens(request, c.id) == most_cached;
            homes.extend(usable.into_iter().filter(has_most));
            homes.sort_unstable_by_key(|c| c.id);
            homes.dedup_by_key(|c| c.id);
        } else if homes.is_empty() {
            homes.extend(first(wanted.max(self.config.home_candidates)).next());
        }
        let chosen = self.weighted_pick(&homes)?;
        let decisions = &mut self.decisions;
        let counter = if is_cached { &mut decisions.cached_prefix } else { &mut decisions.prefix_home };
        *counter += 1;
        Some(chosen)
    }

    fn homes_by_own_demand(&self, now: Instant, prefix: u64) -> usize {
        let demand = self.prefix_demand.tokens_per_s(now, prefix) * f64::from(self.nodes);
        1 + (demand / (PREFILL_TOKENS_PER_S * self.config.home_prefill_share)) as usize
    }
}

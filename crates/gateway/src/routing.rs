//! Routing of one request: prefix affinity first, then a weighted pick tier by tier, then rejection.

use crate::admission::{PreferenceTier, max_queue_wait_s, must_admit, retry_after};
use crate::candidate::{Candidate, CandidateContext, NodePosition};
use crate::decision::RoutingDecision;
use crate::gateway::Gateway;
use crate::ids::ExecutorId;
use crate::request::Request;
use grebeusher_sizing::{WeightedCandidate, pick};
use grebeusher_time::{Duration, Instant};
use rand::Rng;

/// While no executor is known: about the time until one has reported its state.
const NO_EXECUTOR_RETRY_DELAY: Duration = Duration::from_millis(300);

impl Gateway {
    /// Decides on a request, or on its next attempt.
    pub fn choose(&mut self, now: Instant, request: &Request<'_>) -> RoutingDecision {
        self.refresh_lanes(now, request.service);
        let mut candidates = std::mem::take(&mut self.candidate_buffer);
        self.collect_candidates(now, request, &mut candidates);
        let decision = self.decide(now, request, &candidates);
        self.candidate_buffer = candidates;
        decision
    }

    fn decide(&mut self, now: Instant, request: &Request<'_>, candidates: &[Candidate]) -> RoutingDecision {
        if candidates.is_empty() {
            self.decisions.no_executor += 1;
            return RoutingDecision::NoExecutor { retry_after: NO_EXECUTOR_RETRY_DELAY };
        }
        let max_wait_s = self.max_queue_wait_s(request);
        if let Some(home) = self.choose_by_prefix(now, request, max_wait_s, candidates) {
            return self.forward(home);
        }
        if let Some(chosen) = self.choose_by_tier(request, max_wait_s, candidates) {
            return self.forward(chosen);
        }
        if must_admit(request, candidates) {
            let reachable: Vec<Candidate> = candidates.iter().copied().filter(|c| c.reachable).collect();
            if let Some(chosen) = self.pick_in_tier(PreferenceTier::Queue, &reachable) {
                return self.forward(chosen);
            }
        }
        self.decisions.rejected += 1;
        let jitter = self.random.random::<f64>();
        RoutingDecision::Reject { retry_after: retry_after(candidates, max_wait_s, jitter) }
    }

    fn forward(&self, id: ExecutorId) -> RoutingDecision {
        match self.executors.get(id) {
            Some(executor) => RoutingDecision::Forward { executor: id, address: executor.address },
            None => RoutingDecision::NoExecutor { retry_after: NO_EXECUTOR_RETRY_DELAY },
        }
    }

    fn max_queue_wait_s(&self, request: &Request<'_>) -> f64 {
        let top_priority = self.services.get(request.service).map_or(0, |service| service.top_priority);
        max_queue_wait_s(&self.config, request, top_priority)
    }

    fn choose_by_tier(
        &mut self,
        request: &Request<'_>,
        max_wait_s: f64,
        candidates: &[Candidate],
    ) -> Option<ExecutorId> {
        let has_affinity = request.shared_tokens() >= self.config.min_prefix_tokens;
        let skips_queues = self.config.queue_at_home_only && has_affinity;
        let tiers = PreferenceTier::ALL.into_iter().filter(|tier| !(skips_queues && tier.is_queue()));
        for tier in tiers {
            let in_tier = |c: &Candidate| tier.contains(c, max_wait_s);
            let members: Vec<Candidate> = candidates.iter().copied().filter(in_tier).collect();
            if let Some(chosen) = self.pick_in_tier(tier, &members) {
                return Some(chosen);
            }
        }
        None
    }

    /// A weighted pick, counted for its tier.
    pub(crate) fn pick_in_tier(&mut self, tier: PreferenceTier, members: &[Candidate]) -> Option<ExecutorId> {
        let chosen = self.weighted_pick(members)?;
        let counter = match tier {
            PreferenceTier::Lane => &mut self.decisions.weighted_pick,
            PreferenceTier::OutOfLane => &mut self.decisions.out_of_lane,
            PreferenceTier::LaneQueue | PreferenceTier::Queue => &mut self.decisions.queued,
            PreferenceTier::Unhealthy => &mut self.decisions.unhealthy,
        };
        *counter += 1;
        Some(chosen)
    }

    /// SITA-E's pick: at random, weighted by one minus the utilisation, with a floor.
    pub(crate) fn weighted_pick(&mut self, candidates: &[Candidate]) -> Option<ExecutorId> {
        let weighted = |c: &Candidate| WeightedCandidate {
            utilisation: c.has_load_estimate.then_some(c.utilisation),
            weight_factor: c.weight,
        };
        let weighted: Vec<WeightedCandidate> = candidates.iter().map(weighted).collect();
        let index = pick(&mut self.random, &weighted)?;
        candidates.get(index).map(|c| c.id)
    }

    /// The executors that could take the request, in the order of the service's members.
    pub(crate) fn collect_candidates(
        &self,
        now: Instant,
        request: &Request<'_>,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.clear();
        let Some(service) = self.services.get(request.service) else { return };
        let position = NodePosition { zone: self.zone, nodes: self.nodes };
        let context = CandidateContext::new(now, service, &self.config, position, request);
        let executors = service.members.iter().filter_map(|id| self.executors.get(*id));
        let eligible = executors.filter(|executor| context.is_eligible(executor));
        candidates.extend(eligible.map(|executor| context.candidate(executor)));
    }
}

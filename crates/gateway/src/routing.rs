//! Routing of one request. Prefix affinity is tried first, then a weighted pick in each preference group. If neither
//! finds an executor, the request is rejected.

use crate::admission::{PreferenceGroup, max_queue_wait_s, must_admit, retry_after};
use crate::candidate::{Candidate, CandidateContext, NodeContext};
use crate::decision::RoutingDecision;
use crate::gateway::Gateway;
use crate::ids::ExecutorId;
use crate::request::Request;
use grebeusher_sizing::{WeightedCandidate, pick};
use grebeusher_time::{Duration, Instant};
use rand::Rng;

/// After how long a client may retry when no executor is known: about the time until one has reported its state.
const NO_EXECUTOR_RETRY_DELAY: Duration = Duration::from_millis(300);

impl Gateway {
    /// Chooses an executor for the next attempt of a request, or rejects the request.
    pub fn route(&mut self, now: Instant, request: &Request<'_>) -> RoutingDecision {
        self.refresh_lanes(now, request.service);
        let mut candidates = std::mem::take(&mut self.candidate_buffer);
        self.collect_candidates(now, request, &mut candidates);
        let decision = self.decide(now, request, &candidates);
        self.candidate_buffer = candidates;
        decision
    }

    /// Decides on a request for which the candidates are collected.
    fn decide(&mut self, now: Instant, request: &Request<'_>, candidates: &[Candidate]) -> RoutingDecision {
        if candidates.is_empty() {
            self.decisions.no_executor += 1;
            return RoutingDecision::NoExecutor { retry_after: NO_EXECUTOR_RETRY_DELAY };
        }
        let max_wait_s = self.max_queue_wait_s(request);
        if let Some(home) = self.choose_by_prefix(now, request, max_wait_s, candidates) {
            return self.forward(home);
        }
        if let Some(chosen) = self.choose_by_preference(request, max_wait_s, candidates) {
            return self.forward(chosen);
        }
        if must_admit(request, candidates) {
            let reachable: Vec<Candidate> = candidates.iter().copied().filter(|c| c.reachable).collect();
            if let Some(chosen) = self.pick_in_group(PreferenceGroup::AnyWithShortQueue, &reachable) {
                return self.forward(chosen);
            }
        }
        self.decisions.rejected += 1;
        let jitter = self.rng.random::<f64>();
        RoutingDecision::Reject { retry_after: retry_after(candidates, max_wait_s, jitter) }
    }

    /// The decision to forward a request to an executor.
    fn forward(&self, id: ExecutorId) -> RoutingDecision {
        match self.executors.get(id) {
            Some(executor) => RoutingDecision::Forward { executor: id, address: executor.address },
            None => RoutingDecision::NoExecutor { retry_after: NO_EXECUTOR_RETRY_DELAY },
        }
    }

    /// How long a request may wait in an executor's queue, in seconds.
    fn max_queue_wait_s(&self, request: &Request<'_>) -> f64 {
        let top_priority = self.services.get(request.service).map_or(0, |service| service.top_priority);
        max_queue_wait_s(&self.config, request, top_priority)
    }

    /// Picks an executor from the first preference group that has a candidate.
    fn choose_by_preference(
        &mut self,
        request: &Request<'_>,
        max_wait_s: f64,
        candidates: &[Candidate],
    ) -> Option<ExecutorId> {
        let has_affinity = request.shared_tokens() >= self.config.min_prefix_tokens;
        let skips_queues = self.config.queue_at_home_only && has_affinity;
        let groups = PreferenceGroup::ALL.into_iter().filter(|group| !(skips_queues && group.may_queue()));
        for group in groups {
            let is_in_group = |c: &Candidate| group.contains(c, max_wait_s);
            let members: Vec<Candidate> = candidates.iter().copied().filter(is_in_group).collect();
            if let Some(chosen) = self.pick_in_group(group, &members) {
                return Some(chosen);
            }
        }
        None
    }

    /// Makes a weighted pick among the members of a preference group, and counts the decision for the group.
    pub(crate) fn pick_in_group(
        &mut self,
        group: PreferenceGroup,
        members: &[Candidate],
    ) -> Option<ExecutorId> {
        let chosen = self.weighted_pick(members)?;
        let counter = match group {
            PreferenceGroup::LaneWithCapacity => &mut self.decisions.weighted_pick,
            PreferenceGroup::AnyWithCapacity => &mut self.decisions.out_of_lane,
            PreferenceGroup::LaneWithShortQueue | PreferenceGroup::AnyWithShortQueue => {
                &mut self.decisions.queued
            }
            PreferenceGroup::UnhealthyWithCapacity => &mut self.decisions.unhealthy,
        };
        *counter += 1;
        Some(chosen)
    }

    /// Picks a candidate at random. As in SITA-E, its weight is 1 minus its utilisation, with a lower limit.
    pub(crate) fn weighted_pick(&mut self, candidates: &[Candidate]) -> Option<ExecutorId> {
        let weighted = |c: &Candidate| WeightedCandidate {
            utilisation: c.has_load_estimate.then_some(c.utilisation),
            weight_factor: c.weight_factor,
        };
        let weighted: Vec<WeightedCandidate> = candidates.iter().map(weighted).collect();
        let index = pick(&mut self.rng, &weighted)?;
        candidates.get(index).map(|c| c.id)
    }

    /// Fills `candidates` with the executors that could run the request, in the order of the service's members.
    pub(crate) fn collect_candidates(
        &self,
        now: Instant,
        request: &Request<'_>,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.clear();
        let Some(service) = self.services.get(request.service) else { return };
        let node = NodeContext { zone: self.zone, node_count: self.node_count };
        let context = CandidateContext::new(now, service, &self.config, node, request);
        let executors = service.members.iter().filter_map(|id| self.executors.get(*id));
        let eligible = executors.filter(|executor| context.is_eligible(executor));
        candidates.extend(eligible.map(|executor| context.candidate(executor)));
    }
}

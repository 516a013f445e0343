//! The baseline routers with which the gateway is compared.

use super::deployment::Router;
use super::simulation::Simulation;
use grebeusher_sizing::rendezvous;
use rand::Rng;
use std::cmp::Reverse;

impl Simulation {
    /// Chooses an executor for a request by the simulated baseline. Executors to which the request was sent before are
    /// left out.
    pub(super) fn choose_by_baseline(&mut self, request_number: usize) -> usize {
        let request = &self.requests[request_number];
        let own_outstanding = &self.own_outstanding[request.node];
        let untried: Vec<usize> =
            (0..self.engines.len()).filter(|n| !request.excluded.contains(&self.executor_ids[*n])).collect();
        let random_choice = untried[self.rng.random_range(0..untried.len())];
        match self.router {
            Router::LeastOutstanding => {
                let least = untried.iter().map(|n| own_outstanding[*n]).min().unwrap();
                let ties: Vec<usize> =
                    untried.iter().copied().filter(|n| own_outstanding[*n] == least).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
            Router::TwoChoices => {
                let second_choice = untried[self.rng.random_range(0..untried.len())];
                if own_outstanding[second_choice] < own_outstanding[random_choice] {
                    second_choice
                } else {
                    random_choice
                }
            }
            Router::BoundedPrefixHash => {
                let Some(last_shared) = request.arrival.prompt.shared().last() else { return random_choice };
                let mean_outstanding =
                    f64::from(own_outstanding.iter().sum::<u32>() + 1) / own_outstanding.len() as f64;
                let mut ordered = untried;
                ordered.sort_by_key(|n| Reverse(rendezvous(last_shared.chain_hash, *n as u64)));
                let is_below_bound =
                    |n: &&usize| f64::from(own_outstanding[**n]) < (1.25 * mean_outstanding).ceil();
                *ordered.iter().find(is_below_bound).unwrap_or(&ordered[0])
            }
            Router::TrueShortestQueue => {
                let available = untried.into_iter().filter(|n| !self.is_unavailable(*n));
                let wait_us = |n: &usize| {
                    let cached_tokens = self.engines[*n].cached_tokens(&request.arrival.prompt);
                    let uncached_tokens =
                        f64::from(request.arrival.tokens.prompt.saturating_sub(cached_tokens));
                    ((self.engines[*n].backlog_ms() + uncached_tokens / 128.0) * 1000.0) as u64
                };
                available.min_by_key(wait_us).unwrap_or(random_choice)
            }
            _ => random_choice,
        }
    }
}

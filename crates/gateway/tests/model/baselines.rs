//! The routers that the gateway is compared with.

use super::deployment::Router;
use super::simulation::Simulation;
use grebeusher_sizing::rendezvous;
use rand::Rng;
use std::cmp::Reverse;

impl Simulation {
    pub(super) fn baseline(&mut self, number: usize) -> usize {
        let live = &self.live[number];
        let out = &self.own_outstanding[live.node];
        let free: Vec<usize> =
            (0..self.engines.len()).filter(|n| !live.excluded.contains(&self.ids[*n])).collect();
        let any = free[self.rng.random_range(0..free.len())];
        match self.router {
            Router::LeastOutstanding => {
                let least = free.iter().map(|n| out[*n]).min().unwrap();
                let ties: Vec<usize> = free.iter().copied().filter(|n| out[*n] == least).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
            Router::TwoChoices => {
                let other = free[self.rng.random_range(0..free.len())];
                if out[other] < out[any] { other } else { any }
            }
            Router::BoundedPrefixHash => {
                let Some(part) = live.arrival.prompt.shared().last() else { return any };
                let mean = f64::from(out.iter().sum::<u32>() + 1) / out.len() as f64;
                let mut order = free;
                order.sort_by_key(|n| Reverse(rendezvous(part.chain_hash, *n as u64)));
                let fits = |n: &&usize| f64::from(out[**n]) < (1.25 * mean).ceil();
                *order.iter().find(fits).unwrap_or(&order[0])
            }
            Router::AllSeeing => {
                let free = free.into_iter().filter(|n| !self.is_dark(*n));
                let wait = |n: &usize| {
                    let kept = self.engines[*n].cached_tokens(&live.arrival.prompt);
                    let unread = f64::from(live.arrival.tokens.prompt.saturating_sub(kept));
                    ((self.engines[*n].backlog_ms() + unread / 128.0) * 1000.0) as u64
                };
                free.min_by_key(wait).unwrap_or(any)
            }
            _ => any,
        }
    }
}

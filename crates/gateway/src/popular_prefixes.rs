//! The tier's shared estimate of prefix popularity, as this node's gateway uses and feeds it.

use crate::executor::Executor;
use crate::gateway::Gateway;
use crate::prefix_labels::PrefixLabel;
use crate::request::Request;
use grebeusher_prefix_popularity::{Contributor, PopularPrefix, PopularityEstimator, Settings};
use grebeusher_sizing::rendezvous;
use grebeusher_time::Instant;
use std::sync::Arc;

/// A popular prefix, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct PopularPrefixView {
    /// Its key and demand.
    pub popular: PopularPrefix,
    /// Its service. `None` where this node has not seen the prefix.
    pub service: Option<Arc<str>>,
    /// Its tokens; 0 where this node has not seen it.
    pub tokens: u32,
    /// The `instance_id`s of its homes in rendezvous order.
    pub homes: Vec<Arc<str>>,
}

impl Gateway {
    /// From now on this node shares the estimate of prefix popularity with the other nodes, if the configuration
    /// says so.
    pub fn share_prefixes(&mut self, now: Instant, own: Contributor, settings: Settings) {
        if self.config.share_prefix_popularity {
            self.popularity = Some(PopularityEstimator::new(settings, own, now));
        }
    }

    /// The shared estimate, where the configuration has one.
    pub fn popularity_mut(&mut self) -> Option<&mut PopularityEstimator> {
        self.popularity.as_mut()
    }

    /// As [`Gateway::popularity_mut`], to read it.
    pub fn popularity(&self) -> Option<&PopularityEstimator> {
        self.popularity.as_ref()
    }

    /// Counts a live request's prefix. Items of batch jobs are left out, so that a night's jobs never displace what
    /// live requests need; so are retries.
    pub(crate) fn record_popularity(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        size: f64,
        own_tokens: u32,
    ) {
        let Some(key) = self.popularity_key(request) else { return };
        let (Some(prefix), Some(popularity)) = (request.prefix_hash(), self.popularity.as_mut()) else {
            return;
        };
        if request.is_batch || !request.excluded.is_empty() {
            return;
        }
        popularity.record(now, key, own_tokens);
        let label = PrefixLabel { service: request.service, prefix, tokens: request.shared_tokens(), size };
        self.prefix_labels.insert(key, label, popularity);
    }

    /// The most popular prefixes of the tier and their homes.
    pub fn popular(&self, limit: usize) -> Vec<PopularPrefixView> {
        let Some(popularity) = &self.popularity else { return Vec::new() };
        popularity.popular(limit).into_iter().map(|popular| self.popular_view(popular)).collect()
    }

    fn popular_view(&self, popular: PopularPrefix) -> PopularPrefixView {
        let unknown = PopularPrefixView { popular, service: None, tokens: 0, homes: Vec::new() };
        let Some(label) = self.prefix_labels.get(popular.key) else { return unknown };
        let Some(service) = self.services.get(label.service) else { return unknown };
        PopularPrefixView {
            popular,
            service: Some(service.name.clone()),
            tokens: label.tokens,
            homes: self.home_instances(label, popular.homes),
        }
    }

    /// The first executors of the prefix's lane in rendezvous order.
    fn home_instances(&self, label: &PrefixLabel, count: usize) -> Vec<Arc<str>> {
        let Some(service) = self.services.get(label.service) else { return Vec::new() };
        let lane = service.cut_offs.lane_of(label.size);
        let members = service.members.iter().filter_map(|id| self.executors.get(*id));
        let in_lane = members.filter(|executor| service.has_one_lane() || executor.lane == lane);
        let mut order: Vec<&Executor> = in_lane.collect();
        order.sort_unstable_by_key(|executor| std::cmp::Reverse(rendezvous(label.prefix, executor.hash)));
        order.into_iter().take(count).map(|executor| executor.instance.clone()).collect()
    }
}

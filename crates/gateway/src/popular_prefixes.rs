//! The estimate of prefix popularity that the nodes share: how the gateway counts requests in it, and what operators
//! see of it.

use crate::executor::Executor;
use crate::gateway::Gateway;
use crate::prefix_details::PrefixDetails;
use crate::request::Request;
use grebeusher_prefix_popularity::{Contributor, EstimatorSettings, PopularPrefix, PopularityEstimator};
use grebeusher_sizing::rendezvous;
use grebeusher_time::Instant;
use std::sync::Arc;

/// A popular prefix in the form that is shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PopularPrefixView {
    /// The key of the prefix, the demand for it and its number of homes.
    pub popular: PopularPrefix,
    /// The name of the service whose requests have the prefix. `None` if this node has had no request with the prefix.
    pub service: Option<Arc<str>>,
    /// The number of tokens of the prefix; 0 if this node has had no request with it.
    pub tokens: u32,
    /// The `instance_id`s of the prefix's homes in rendezvous order. The list is empty if this node has had no request
    /// with the prefix.
    pub homes: Vec<Arc<str>>,
}

impl Gateway {
    /// Starts to share the estimate of prefix popularity with the other nodes, if
    /// [`GatewayConfig::share_prefix_popularity`](crate::GatewayConfig::share_prefix_popularity) is set.
    pub fn share_prefix_popularity(&mut self, now: Instant, own: Contributor, settings: EstimatorSettings) {
        if self.config.share_prefix_popularity {
            self.popularity = Some(PopularityEstimator::new(settings, own, now));
        }
    }

    /// The shared estimate of prefix popularity, to be changed. `None` if the nodes do not share one.
    pub fn popularity_mut(&mut self) -> Option<&mut PopularityEstimator> {
        self.popularity.as_mut()
    }

    /// The shared estimate of prefix popularity. `None` if the nodes do not share one.
    pub fn popularity(&self) -> Option<&PopularityEstimator> {
        self.popularity.as_ref()
    }

    /// Counts a live request as demand for its prefix, with the tokens that it has after the prefix. `size` is that of
    /// the request, in prompt tokens. Batch items are not counted, so that the batch jobs of a night do not displace
    /// the prefixes that live requests need. Retries are not counted either.
    pub(crate) fn record_popularity(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        size: f64,
        unshared_tokens: u32,
    ) {
        let Some(key) = self.popularity_key(request) else { return };
        let (Some(prefix_hash), Some(popularity)) = (request.prefix_hash(), self.popularity.as_mut()) else {
            return;
        };
        if request.is_batch || !request.excluded_executors.is_empty() {
            return;
        }
        popularity.record(now, key, unshared_tokens);
        let details = PrefixDetails {
            service: request.service,
            prefix_hash,
            tokens: request.shared_tokens(),
            request_size: size,
        };
        self.prefix_details.insert(key, details, popularity);
    }

    /// The `limit` most popular prefixes over all nodes, with their homes. The list is empty if the nodes do not share
    /// an estimate of prefix popularity.
    pub fn popular_prefixes(&self, limit: usize) -> Vec<PopularPrefixView> {
        let Some(popularity) = &self.popularity else { return Vec::new() };
        popularity.most_popular(limit).into_iter().map(|popular| self.popular_view(popular)).collect()
    }

    /// Combines a popular prefix with the details that this node knows of it.
    fn popular_view(&self, popular: PopularPrefix) -> PopularPrefixView {
        let without_details = PopularPrefixView { popular, service: None, tokens: 0, homes: Vec::new() };
        let Some(details) = self.prefix_details.get(popular.key) else { return without_details };
        let Some(service) = self.services.get(details.service) else { return without_details };
        PopularPrefixView {
            popular,
            service: Some(service.name.clone()),
            tokens: details.tokens,
            homes: self.home_instances(details, popular.home_count),
        }
    }

    /// The `instance_id`s of the first `count` executors of the prefix's lane in rendezvous order.
    fn home_instances(&self, details: &PrefixDetails, count: usize) -> Vec<Arc<str>> {
        let Some(service) = self.services.get(details.service) else { return Vec::new() };
        let lane = service.cut_offs.lane_of(details.request_size);
        let members = service.members.iter().filter_map(|id| self.executors.get(*id));
        let in_lane = members.filter(|executor| service.has_one_lane() || executor.lane == lane);
        let mut ordered: Vec<&Executor> = in_lane.collect();
        ordered.sort_unstable_by_key(|executor| {
            std::cmp::Reverse(rendezvous(details.prefix_hash, executor.instance_hash))
        });
        ordered.into_iter().take(count).map(|executor| executor.instance_id.clone()).collect()
    }
}

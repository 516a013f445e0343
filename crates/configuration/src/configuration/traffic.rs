//! The split of the requests of a route between services.

use crate::names::ServiceName;

/// A service that gets a share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service, which is in the list of the same configuration.
    pub service: ServiceName,
    /// The weight of the service: 0 or more, relative to the other weights of the split.
    pub weight: f64,
}

/// The services of a route with their weights. At least one weight is above 0.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficSplit {
    shares: Vec<WeightedService>,
    total_weight: f64,
    /// The last service with a weight above 0. It gets the requests for which rounding errors leave no other service.
    last_weighted: ServiceName,
}

impl TrafficSplit {
    /// Creates a split in which all requests go to one service.
    pub fn single(service: ServiceName) -> TrafficSplit {
        let shares = vec![WeightedService { service: service.clone(), weight: 1.0 }];
        TrafficSplit { shares, total_weight: 1.0, last_weighted: service }
    }

    /// Creates a split by weights; returns `None` if no weight is above 0. Weights that are negative, infinite or not a
    /// number count as 0.
    pub fn weighted(mut shares: Vec<WeightedService>) -> Option<TrafficSplit> {
        for share in &mut shares {
            share.weight = if share.weight.is_finite() { share.weight.max(0.0) } else { 0.0 };
        }
        let last_weighted = shares.iter().rfind(|share| share.weight > 0.0)?.service.clone();
        let total_weight = shares.iter().map(|share| share.weight).sum();
        Some(TrafficSplit { shares, total_weight, last_weighted })
    }

    /// Returns the services with their weights in the order of the configuration, including those of weight 0.
    pub fn shares(&self) -> &[WeightedService] {
        &self.shares
    }

    /// Returns the services that requests may go to, which are those with a weight above 0.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.shares.iter().filter(|share| share.weight > 0.0).map(|share| &share.service)
    }

    /// Picks the service of a request by the weights. The caller draws `point` uniformly from 0 (inclusive) to 1
    /// (exclusive).
    ///
    /// A service of weight 0 is never picked, whatever `point` is.
    pub fn pick(&self, point: f64) -> &ServiceName {
        let mut remaining = point * self.total_weight;
        for share in self.shares.iter().filter(|share| share.weight > 0.0) {
            if remaining < share.weight {
                return &share.service;
            }
            remaining -= share.weight;
        }
        &self.last_weighted
    }
}

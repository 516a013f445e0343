//! How the requests of a route are split between services.

use crate::names::ServiceName;

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service, which is in the list of the same configuration.
    pub service: ServiceName,
    /// 0 or more, relative to the weights beside it.
    pub weight: f64,
}

/// The services of a route, of which at least one has a weight above 0.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficSplit {
    shares: Vec<WeightedService>,
    total_weight: f64,
    /// The last service with a weight above 0: takes what rounding leaves over.
    last_weighted: ServiceName,
}

impl TrafficSplit {
    /// All requests go to one service.
    pub fn single(service: ServiceName) -> TrafficSplit {
        let shares = vec![WeightedService { service: service.clone(), weight: 1.0 }];
        TrafficSplit { shares, total_weight: 1.0, last_weighted: service }
    }

    /// A split by weights; none if no weight is above 0. Weights that aren't numbers of 0 or more count as 0.
    pub fn weighted(mut shares: Vec<WeightedService>) -> Option<TrafficSplit> {
        for share in &mut shares {
            share.weight = if share.weight.is_finite() { share.weight.max(0.0) } else { 0.0 };
        }
        let last_weighted = shares.iter().rfind(|share| share.weight > 0.0)?.service.clone();
        let total_weight = shares.iter().map(|share| share.weight).sum();
        Some(TrafficSplit { shares, total_weight, last_weighted })
    }

    /// The services with their weights, in the order of the configuration; those of weight 0 too.
    pub fn shares(&self) -> &[WeightedService] {
        &self.shares
    }

    /// The services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.shares.iter().filter(|share| share.weight > 0.0).map(|share| &share.service)
    }

    /// The service that a request goes to, by the weights; `point` is drawn evenly from 0 to below 1.
    ///
    /// A service of weight 0 is never picked, whatever the point.
    pub fn pick(&self, point: f64) -> &ServiceName {
        let mut left = point * self.total_weight;
        for share in self.shares.iter().filter(|share| share.weight > 0.0) {
            if left < share.weight {
                return &share.service;
            }
            left -= share.weight;
        }
        &self.last_weighted
    }
}

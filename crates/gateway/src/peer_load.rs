//! Estimates of how many requests the other nodes have at the executors.

use grebeusher_time::{Duration, DurationExt, Instant};

/// The age at which a report says nothing about the present load: about the duration of a request.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1200);

/// A report of the requests that all other nodes together have at one executor.
#[derive(Clone, Copy)]
pub(crate) struct PeerLoadReport {
    pub at: Instant,
    pub requests: f64,
}

impl PeerLoadReport {
    /// A weighted mean of the reported number of requests and `mean`. The weight of the report falls linearly to 0 with
    /// its age. All nodes receive the same reports, so an executor that appeared idle to all of them some time ago is
    /// no longer idle.
    pub fn blended_with_mean(&self, mean: f64, now: Instant) -> f64 {
        let report_weight = (1.0 - now.since(self.at).seconds() / REPORT_MAX_AGE.seconds()).max(0.0);
        self.requests * report_weight + mean * (1.0 - report_weight)
    }

    /// Whether the report still has weight.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.at) < REPORT_MAX_AGE
    }
}

/// The weight of the newest report in the exponentially weighted means, which span about twenty reports.
const NEWEST_WEIGHT: f64 = 0.05;
/// The weight of a report after all earlier ones have lost their weight. It is less than 1 because one executor does
/// not represent all.
const FIRST_WEIGHT: f64 = 0.3;
/// How long a mean keeps its full weight without a new report. A node with any requests receives reports more often.
const MEAN_HOLD_DURATION: Duration = Duration::from_millis(500);
/// The half-life of a mean after [`MEAN_HOLD_DURATION`], in seconds. It is short enough that batch items are sent again
/// after all executors were full, within a small part of the duration of any batch job.
const MEAN_HALF_LIFE_S: f64 = 0.5;

/// The estimated load of a service by other nodes, in requests per slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PeerLoadEstimate {
    /// The mean over all executors.
    pub mean: f64,
    /// The mean absolute deviation of single reports from the mean.
    pub deviation: f64,
}

/// The moving mean of the load of a service by other nodes. It decays without reports: otherwise a node that stopped
/// sending because all executors appeared full would receive no more reports, and would never send again.
pub(crate) struct PeerLoadMean {
    estimate: PeerLoadEstimate,
    reported_at: Instant,
}

impl Default for PeerLoadMean {
    fn default() -> PeerLoadMean {
        PeerLoadMean { estimate: PeerLoadEstimate { mean: 0.0, deviation: 0.0 }, reported_at: Instant(0) }
    }
}

impl PeerLoadMean {
    /// Records how many requests other nodes have at one executor, per slot.
    pub fn observe(&mut self, now: Instant, requests_per_slot: f64) {
        let PeerLoadEstimate { mean, deviation } = self.estimate(now);
        let weight = NEWEST_WEIGHT.max(FIRST_WEIGHT * (1.0 - self.remaining_weight(now)));
        let difference = requests_per_slot - mean;
        self.estimate = PeerLoadEstimate {
            mean: mean + difference * weight,
            deviation: deviation + (difference.abs() - deviation) * NEWEST_WEIGHT,
        };
        self.reported_at = now;
    }

    /// The estimate after its decay since the latest report.
    pub fn estimate(&self, now: Instant) -> PeerLoadEstimate {
        let weight = self.remaining_weight(now);
        PeerLoadEstimate { mean: self.estimate.mean * weight, deviation: self.estimate.deviation * weight }
    }

    /// The remaining weight of the reports so far, from 1 to 0.
    fn remaining_weight(&self, now: Instant) -> f64 {
        let age = now.since(self.reported_at);
        if age <= MEAN_HOLD_DURATION {
            return 1.0;
        }
        0.5_f64.powf(age.saturating_sub(MEAN_HOLD_DURATION).seconds() / MEAN_HALF_LIFE_S)
    }
}

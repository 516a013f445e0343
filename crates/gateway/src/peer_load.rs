//! Estimates of the requests that other nodes have at the executors.

use grebeusher_time::{Duration, DurationExt, Instant};

/// After so long a report says nothing of the present: about the time that a request runs.
const REPORT_FADE_DURATION: Duration = Duration::from_millis(1200);

/// The requests of all other nodes at one executor, as of a report.
#[derive(Clone, Copy)]
pub(crate) struct PeerLoadReport {
    pub at: Instant,
    pub requests: f64,
}

impl PeerLoadReport {
    /// The reported requests, fading into `mean`. All nodes receive the same reports: an executor that looked idle to
    /// all of them a while ago is not idle now.
    pub fn faded_into(&self, mean: f64, now: Instant) -> f64 {
        let fresh = (1.0 - now.since(self.at).seconds() / REPORT_FADE_DURATION.seconds()).max(0.0);
        self.requests * fresh + mean * (1.0 - fresh)
    }

    pub fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.at) < REPORT_FADE_DURATION
    }
}

/// The weight of the newest report in the running means: some twenty reports count.
const NEWEST_WEIGHT: f64 = 0.05;
/// The weight of the first report after all before have faded. One executor does not stand for all.
const FIRST_WEIGHT: f64 = 0.3;
/// A mean counts in full for this long. A node with any requests receives reports more often.
const MEAN_HOLD_DURATION: Duration = Duration::from_millis(500);
/// The mean's half-life after that. "All are full" is forgotten within a small part of any batch job's time.
const MEAN_HALF_LIFE_S: f64 = 0.5;

/// Peer load of a service now, in requests per slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PeerLoadEstimate {
    /// The mean over all executors.
    pub mean: f64,
    /// The mean deviation of single reports from it.
    pub deviation: f64,
}

/// The running mean of a service's peer load. It fades without reports. Otherwise a node that stopped sending because
/// all seemed full would receive no reports, and would never send again.
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
    /// One executor reported the requests of other nodes per slot.
    pub fn observe(&mut self, now: Instant, per_slot: f64) {
        let PeerLoadEstimate { mean, deviation } = self.estimate(now);
        let weight = NEWEST_WEIGHT.max(FIRST_WEIGHT * (1.0 - self.freshness(now)));
        let difference = per_slot - mean;
        self.estimate = PeerLoadEstimate {
            mean: mean + difference * weight,
            deviation: deviation + (difference.abs() - deviation) * NEWEST_WEIGHT,
        };
        self.reported_at = now;
    }

    /// The estimate, faded by the time since the last report.
    pub fn estimate(&self, now: Instant) -> PeerLoadEstimate {
        let fresh = self.freshness(now);
        PeerLoadEstimate { mean: self.estimate.mean * fresh, deviation: self.estimate.deviation * fresh }
    }

    /// The remaining weight of what was reported, from 1 to 0.
    fn freshness(&self, now: Instant) -> f64 {
        let age = now.since(self.reported_at);
        if age <= MEAN_HOLD_DURATION {
            return 1.0;
        }
        0.5_f64.powf(age.saturating_sub(MEAN_HOLD_DURATION).seconds() / MEAN_HALF_LIFE_S)
    }
}

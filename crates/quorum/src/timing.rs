//! The spans that a leadership rests on.

use grebeusher_time::{Duration, DurationExt};

/// The spans of heartbeats, elections and the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How long a voter that has heard from a leader votes for nobody else, and the least wait for an election.
    pub election_timeout_min: Duration,
    /// The longest wait for an election. A leader that has no quorum's answers for so long steps down.
    pub election_timeout_max: Duration,
    /// How long a quorum's answers allow reads, from the sending of what was answered.
    pub lease_duration: Duration,
}

/// The share of `election_timeout_min` that a lease may take: clocks whose rates are 1% apart, twice, and a margin.
const LEASE_SHARE: f64 = 0.9;

impl Timing {
    /// The spans with those that are unsafe or contradict each other brought into bounds: a lease is at most 0.9 of
    /// `election_timeout_min`, and `election_timeout_max` is at least 1.2 times that.
    pub fn bounded(self) -> Timing {
        let heartbeat_interval = self.heartbeat_interval.max(Duration::from_nanos(1));
        let election_timeout_min = self.election_timeout_min.max(heartbeat_interval);
        Timing {
            heartbeat_interval,
            election_timeout_min,
            election_timeout_max: self.election_timeout_max.max(election_timeout_min.scaled(1.2)),
            lease_duration: self.lease_duration.min(election_timeout_min.scaled(LEASE_SHARE)),
        }
    }
}

//! The spans that a leadership rests on.

use grebeusher_time::{Duration, DurationExt};

/// The spans of heartbeats, elections and the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// How long a voter that has heard from a leader votes for nobody else, and the least wait for an election.
    pub election_min: Duration,
    /// The longest wait for an election. A leader that has no quorum's answers for so long steps down.
    pub election_max: Duration,
    /// How long a quorum's answers allow reads, from the sending of what was answered.
    pub lease: Duration,
}

/// The share of `election_min` that a lease may take: clocks whose rates are 1% apart, twice, and a margin.
const LEASE_SHARE: f64 = 0.9;

impl Timing {
    /// The spans with those that are unsafe or contradict each other brought into bounds: a lease is at most 0.9 of
    /// `election_min`, and `election_max` is at least 1.2 times that.
    pub fn bounded(self) -> Timing {
        let heartbeat = self.heartbeat.max(Duration::from_nanos(1));
        let election_min = self.election_min.max(heartbeat);
        Timing {
            heartbeat,
            election_min,
            election_max: self.election_max.max(election_min.scaled(1.2)),
            lease: self.lease.min(election_min.scaled(LEASE_SHARE)),
        }
    }
}

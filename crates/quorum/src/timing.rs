//! The durations of heartbeats, elections and the leader's lease.

use grebeusher_time::{Duration, DurationExt};

/// The durations of heartbeats, elections and the lease.
///
/// There are no defaults: the right values depend on the links and disks of the partition, so the program chooses them
/// (the tier uses 80, 400, 750 and 340 ms on fast links).
/// [`Replica::new`](crate::Replica::new) brings unsafe values within bounds by [`Timing::bounded`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats of a leader; at least 1 ns. A lower value renews the lease more often and costs
    /// one message a follower each time.
    pub heartbeat_interval: Duration,
    /// The shortest election timeout, and the time for which a voter that has heard from a leader grants no vote to
    /// another candidate; at least `heartbeat_interval`. It bounds the lease.
    pub election_timeout_min: Duration,
    /// The longest election timeout; at least 1.2 times `election_timeout_min`, so that two replicas rarely start
    /// elections at the same time. A leader that no quorum has answered for so long steps down.
    pub election_timeout_max: Duration,
    /// The time for which a leader may serve reads, counted from when it sent the messages that a quorum has answered;
    /// at most 0.9 of `election_timeout_min`.
    pub lease_duration: Duration,
}

/// The largest lease, as a fraction of `election_timeout_min`. It allows for two clocks whose rates differ by 1% each
/// from the true one, and a margin.
const MAX_LEASE_FRACTION: f64 = 0.9;

impl Timing {
    /// Brings values that are unsafe or contradict each other within the bounds that the docs of the fields name. It
    /// rejects nothing, and a value within bounds stays as it is.
    pub fn bounded(self) -> Timing {
        let heartbeat_interval = self.heartbeat_interval.max(Duration::from_nanos(1));
        let election_timeout_min = self.election_timeout_min.max(heartbeat_interval);
        Timing {
            heartbeat_interval,
            election_timeout_min,
            election_timeout_max: self.election_timeout_max.max(election_timeout_min.scaled(1.2)),
            lease_duration: self.lease_duration.min(election_timeout_min.scaled(MAX_LEASE_FRACTION)),
        }
    }
}

//! The durations that elections and leases rest on.

use grebeusher_time::{Duration, DurationExt};

/// The durations of heartbeats, elections and the lease.
///
/// There are no defaults: the right values depend on the links and disks of the partition, so the program chooses them
/// (the tier uses 80, 400, 750 and 340 ms on fast links).
/// [`Replica::new`](crate::Replica::new) brings unsafe values within bounds by [`Timing::bounded`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats of a leader; at least 1 ns. A lower value renews the lease more often and costs one
    /// message a follower each time.
    pub heartbeat_interval: Duration,
    /// For how long a voter that has heard from a leader helps no other candidate, and the shortest election timeout; at
    /// least `heartbeat_interval`. It bounds the lease.
    pub election_timeout_min: Duration,
    /// The longest election timeout; at least 1.2 times `election_timeout_min`, so that candidates rarely collide. A leader
    /// that no quorum has answered for so long steps down.
    pub election_timeout_max: Duration,
    /// For how long a leader may serve reads, counted from the sending of what a quorum has answered; at most 0.9 of
    /// `election_timeout_min`.
    pub lease_duration: Duration,
}

/// The fraction of `election_timeout_min` that a lease may last. It allows for two clocks whose rates differ by 1% each
/// from the true one, and a margin.
const LEASE_SHARE: f64 = 0.9;

impl Timing {
    /// Brings values that are unsafe or contradict each other within the bounds that the fields name. It rejects nothing: a
    /// value in bounds stays as it is.
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

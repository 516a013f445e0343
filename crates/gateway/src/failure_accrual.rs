//! Outlier ejection. Each fault of an executor adds to a suspicion level that decays with time. An executor whose level
//! exceeds a threshold is ejected: it gets requests only when no other executor can run them. Each further ejection
//! without a success in between lasts longer.

use grebeusher_time::{Duration, DurationExt, Instant};

/// A fault of an executor, or of a connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorFault {
    /// No connection was established, because it was refused or not accepted in time.
    ConnectFailed,
    /// A connection broke while a request was open on it, or it carried an invalid response.
    ConnectionBroken,
    /// Nothing was received from the executor for far longer than requests of its service usually take.
    Unresponsive,
    /// The executor answered that it is full or that the deadline has passed, and did not run the request.
    Overloaded,
    /// Another executor now has the address of this one.
    Misdirected,
}

/// The faults of one executor that this node has observed, and the ejection that follows from them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureAccrual {
    /// The suspicion level at `observed_at`, at most [`MAX_SUSPICION`]. It has no unit.
    suspicion: f64,
    /// When the latest fault that raised the suspicion was observed.
    observed_at: Instant,
    ejected_until: Instant,
    overloaded_until: Instant,
    /// The number of ejections since the last success.
    ejections: u32,
}

/// The half-life of the suspicion level, in seconds. It is shorter than a crash lasts, so that the first attempt after
/// the crash is made soon.
const SUSPICION_HALF_LIFE_S: f64 = 1.5;
/// The suspicion level from which on an executor is ejected.
const EJECTION_THRESHOLD: f64 = 0.9;
/// The greatest suspicion level. Many attempts fail in one crash; without a limit, their sum would outlast the crash.
const MAX_SUSPICION: f64 = 2.0;
/// The duration of the first ejection. Each ejection that follows without a success in between lasts twice as long.
const FIRST_EJECTION_DURATION: Duration = Duration::from_millis(400);
/// The longest duration of an ejection. It is limited so that a restarted executor soon gets requests again.
const MAX_EJECTION_DURATION: Duration = Duration::from_millis(3200);
/// How many times the duration of an ejection doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// How long an overloaded executor gets no requests: about the time in which a few of its requests end.
const OVERLOAD_PAUSE_DURATION: Duration = Duration::from_millis(60);

impl FailureAccrual {
    /// The suspicion level after its decay; 0 without faults.
    fn suspicion(&self, now: Instant) -> f64 {
        if self.suspicion == 0.0 {
            return 0.0;
        }
        self.suspicion * 0.5_f64.powf(now.since(self.observed_at).seconds() / SUSPICION_HALF_LIFE_S)
    }

    /// Whether the executor gets requests only when no other executor can run them.
    pub fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until || self.suspicion(now) >= EJECTION_THRESHOLD
    }

    /// Whether the executor recently rejected a request because it was full. It gets no requests for a short time, but
    /// counts as healthy.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        now < self.overloaded_until
    }

    /// Records a fault. `jitter`, from 0 to 1, spreads the times at which the nodes try the executor again.
    pub fn record(&mut self, now: Instant, fault: ExecutorFault, jitter: f64) {
        let weight = match fault {
            ExecutorFault::ConnectFailed | ExecutorFault::Misdirected => 1.0,
            ExecutorFault::Unresponsive => 0.7,
            ExecutorFault::ConnectionBroken => 0.5,
            ExecutorFault::Overloaded => return self.mark_overloaded(now, jitter),
        };
        self.suspicion = (self.suspicion(now) + weight).min(MAX_SUSPICION);
        self.observed_at = now;
        if self.suspicion >= EJECTION_THRESHOLD && now >= self.ejected_until {
            self.eject(now, jitter);
        }
    }

    /// Marks the executor as overloaded for a short time.
    fn mark_overloaded(&mut self, now: Instant, jitter: f64) {
        let until = now + OVERLOAD_PAUSE_DURATION.scaled(1.0 + jitter);
        self.overloaded_until = self.overloaded_until.max(until);
    }

    /// Ejects the executor, for twice as long as the last time if it has not served a request since.
    fn eject(&mut self, now: Instant, jitter: f64) {
        let factor = f64::from(1_u32 << self.ejections.min(MAX_DOUBLINGS));
        let duration = FIRST_EJECTION_DURATION.scaled(factor).min(MAX_EJECTION_DURATION);
        self.ejected_until = now + duration.scaled(1.0 + jitter / 2.0);
        self.ejections += 1;
    }

    /// Records that the executor served a request, which clears its suspicion level.
    pub fn record_success(&mut self) {
        self.suspicion = 0.0;
        self.ejections = 0;
    }
}

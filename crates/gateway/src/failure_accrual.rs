//! Outlier ejection: failures at an executor accrue to a suspicion that fades, and eject it for a growing time.

use grebeusher_time::{Duration, DurationExt, Instant};

/// A fault of an executor, or of the connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorFault {
    /// No connection came up: it was refused, or nothing answered in time.
    ConnectFailed,
    /// A connection with a request on it broke, or carried no valid response.
    ConnectionBroken,
    /// Nothing came from it for far longer than its requests take.
    Unresponsive,
    /// It answered that it is full or the time is over, and did not run the request.
    Overloaded,
    /// Another executor has its address now.
    Misdirected,
}

/// This node's evidence against one executor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureAccrual {
    /// As of `observed_at`, never above [`MAX_SUSPICION`].
    suspicion: f64,
    observed_at: Instant,
    ejected_until: Instant,
    overloaded_until: Instant,
    /// Ejections since the last success.
    ejections: u32,
}

/// Shorter than a crash lasts, so that the first attempt after one comes soon.
const SUSPICION_HALF_LIFE_S: f64 = 1.5;
/// From this suspicion on it gets requests only where no other executor can take them.
const EJECTION_THRESHOLD: f64 = 0.9;
/// Many attempts fail in one crash. Without a bound their sum would outlast it.
const MAX_SUSPICION: f64 = 2.0;
/// The first ejection. Each that follows without a success between lasts twice as long.
const FIRST_EJECTION_DURATION: Duration = Duration::from_millis(400);
/// An executor that is back must be found before its crash is long over.
const MAX_EJECTION_DURATION: Duration = Duration::from_millis(3200);
/// The duration doubles at most so many times.
const MAX_DOUBLINGS: u32 = 3;
/// An overloaded executor gets nothing for about the time in which a few of its requests end.
const OVERLOAD_PAUSE_DURATION: Duration = Duration::from_millis(60);

impl FailureAccrual {
    /// The accrued suspicion, faded; 0 without any.
    fn suspicion(&self, now: Instant) -> f64 {
        if self.suspicion == 0.0 {
            return 0.0;
        }
        self.suspicion * 0.5_f64.powf(now.since(self.observed_at).seconds() / SUSPICION_HALF_LIFE_S)
    }

    /// Whether it gets no request while another executor can take it.
    pub fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until || self.suspicion(now) >= EJECTION_THRESHOLD
    }

    /// Whether it answered lately that it is full. It gets nothing for a moment, yet it is healthy.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        now < self.overloaded_until
    }

    /// Counts a fault. `jitter`, from 0 to 1, spreads the times at which the nodes come back.
    pub fn record(&mut self, now: Instant, fault: ExecutorFault, jitter: f64) {
        let weight = match fault {
            ExecutorFault::ConnectFailed | ExecutorFault::Misdirected => 1.0,
            ExecutorFault::Unresponsive => 0.7,
            ExecutorFault::ConnectionBroken => 0.5,
            ExecutorFault::Overloaded => return self.pause(now, jitter),
        };
        self.suspicion = (self.suspicion(now) + weight).min(MAX_SUSPICION);
        self.observed_at = now;
        if self.suspicion >= EJECTION_THRESHOLD && now >= self.ejected_until {
            self.eject(now, jitter);
        }
    }

    fn pause(&mut self, now: Instant, jitter: f64) {
        let until = now + OVERLOAD_PAUSE_DURATION.scaled(1.0 + jitter);
        self.overloaded_until = self.overloaded_until.max(until);
    }

    fn eject(&mut self, now: Instant, jitter: f64) {
        let factor = f64::from(1_u32 << self.ejections.min(MAX_DOUBLINGS));
        let duration = FIRST_EJECTION_DURATION.scaled(factor).min(MAX_EJECTION_DURATION);
        self.ejected_until = now + duration.scaled(1.0 + jitter / 2.0);
        self.ejections += 1;
    }

    /// It served a request: the evidence is void.
    pub fn record_success(&mut self) {
        self.suspicion = 0.0;
        self.ejections = 0;
    }
}

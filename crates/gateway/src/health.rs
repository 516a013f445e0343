//! Outlier ejection: what failures say of an executor.

use grebeusher_time::{Duration, DurationExt, Instant};

/// Something that an executor, or the way to it, did wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up: refused, or nothing answered in time.
    NotConnected,
    /// A connection with a request on it broke, or its answer was none.
    Broken,
    /// Nothing was heard for far longer than its requests take.
    Silence,
    /// It answered that it is full or the time is over, and did not run the request.
    Refused,
    /// Another executor lives at its address now.
    Misdirected,
}

/// Own evidence against one executor, which fades.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    suspicion: f64,
    as_of: Instant,
    ejected_until: Instant,
    full_until: Instant,
    ejections: u32,
}

/// Suspicion halves in this time: shorter than a crash lasts, so that the first try after one is not far off.
const HALVES_IN_S: f64 = 1.5;
/// From here on it gets requests only where no other can take them.
const SUSPECT: f64 = 0.9;
/// The first ejection, doubled with each that follows without a success between.
const EJECTION: Duration = Duration::from_millis(400);
/// No longer than this: one that is back must be found before its crash is long over.
const MAX_EJECTION: Duration = Duration::from_millis(3200);
/// A full one gets nothing for about the time in which a few of its requests end.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

impl Health {
    /// How much is held against it now: 0 is nothing.
    pub fn suspicion(&self, now: Instant) -> f64 {
        if self.suspicion == 0.0 {
            return 0.0;
        }
        self.suspicion * 0.5_f64.powf(now.since(self.as_of).seconds() / HALVES_IN_S)
    }

    /// Whether it gets nothing while another can take it.
    pub fn is_out(&self, now: Instant) -> bool {
        now < self.ejected_until || self.suspicion(now) >= SUSPECT
    }

    /// Whether it said lately that it is full: it gets nothing for a moment, yet nothing is wrong with it.
    pub fn is_full(&self, now: Instant) -> bool {
        now < self.full_until
    }

    /// Counts a failure. `spread`, from 0 to 1, spreads the nodes' returns.
    pub fn failed(&mut self, now: Instant, failure: Failure, spread: f64) {
        let weight = match failure {
            Failure::NotConnected | Failure::Misdirected => 1.0,
            Failure::Silence => 0.7,
            Failure::Broken => 0.5,
            Failure::Refused => {
                self.full_until = self.full_until.max(now + REFUSAL_PAUSE.scaled(1.0 + spread));
                return;
            }
        };
        // Many attempts break in one crash: what they say of it together is bounded, or it would last.
        (self.suspicion, self.as_of) = ((self.suspicion(now) + weight).min(2.0), now);
        if self.suspicion >= SUSPECT && now >= self.ejected_until {
            let doubled = EJECTION.scaled(f64::from(1_u32 << self.ejections.min(3)));
            self.ejected_until = now + doubled.min(MAX_EJECTION).scaled(1.0 + spread / 2.0);
            self.ejections += 1;
        }
    }

    /// It answered as it should: the doubt is over.
    pub fn succeeded(&mut self) {
        (self.suspicion, self.ejections) = (0.0, 0);
    }
}

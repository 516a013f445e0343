//! Points in time and spans, kept apart by their types.

use std::ops::{Add, Sub};

/// A point in time, in nanoseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

/// A length of time, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

impl Span {
    pub const fn millis(ms: u64) -> Span {
        Span(ms * 1_000_000)
    }

    pub fn secs(secs: f64) -> Span {
        Span((secs * 1e9) as u64)
    }

    /// This many times as long.
    pub fn scaled(self, times: f64) -> Span {
        Span((self.0 as f64 * times) as u64)
    }

    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e9
    }
}

impl Moment {
    /// The span since `earlier`; nothing if that lies ahead.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

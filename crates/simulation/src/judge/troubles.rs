//! Who is in touch: when machines, links and the core were in trouble.

use super::Judge;
use grebeusher_time::{Duration, Instant};

/// A planned stop may have to do with requests for this long after its grace.
const AFTER_GRACE: Duration = Duration::from_millis(1000);

/// A stretch of time, both ends included.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stretch {
    from: Instant,
    until: Instant,
}

impl Stretch {
    fn meets(self, other: Stretch) -> bool {
        self.until >= other.from && self.from <= other.until
    }
}

/// Trouble on a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trouble {
    host: usize,
    stretch: Stretch,
    planned: bool,
}

impl Judge {
    /// A machine is in trouble for a time, by a planned work or not.
    pub fn trouble(&mut self, host: usize, from: Instant, until: Instant, planned: bool) {
        self.troubles.push(Trouble { host, stretch: Stretch { from, until }, planned });
    }

    /// Something was done to a machine of the core or a store.
    pub fn core_event(&mut self, at: Instant) {
        self.core_events.push(at);
    }

    /// A machine of the core or a store is slow for a time.
    pub fn core_slow(&mut self, from: Instant, until: Instant) {
        self.core_slow.push(Stretch { from, until });
    }

    /// Links are in trouble for a time.
    pub fn link_trouble(&mut self, from: Instant, until: Instant) {
        self.links.push(Stretch { from, until });
    }

    /// Whether the core was stable from `contact` before `from` until `until`.
    pub fn core_stable(&self, from: Instant, until: Instant) -> bool {
        let asked = self.asked(from, until);
        !self.core_events.iter().any(|at| *at >= asked.from && *at <= asked.until)
            && !self.core_slow.iter().any(|slow| slow.meets(asked))
    }

    /// Whether a machine was in touch all the time from `from` to `until`.
    pub fn in_touch(&self, host: usize, from: Instant, until: Instant) -> bool {
        self.core_stable(from, until) && !self.has_trouble(from, until, |trouble| trouble.host == host)
    }

    /// Whether nothing at all was in trouble.
    pub fn all_calm(&self, from: Instant, until: Instant) -> bool {
        self.core_stable(from, until)
            && !self.has_trouble(from, until, |_| true)
            && self.links_calm(from, until)
    }

    /// Whether all trouble was planned, and no link was cut.
    pub(super) fn only_planned(&self, from: Instant, until: Instant) -> bool {
        let asked = self.asked(from, until);
        !self.has_trouble(from, until, |trouble| !trouble.planned)
            && self.links_calm(from, until)
            && !self.core_slow.iter().any(|slow| slow.meets(asked))
    }

    /// When a host's process was told to stop, by a planned work, whose end it was near when a request was sent to it.
    pub(super) fn stopping_since(&self, host: usize, sent: Instant) -> Option<Instant> {
        let within = self.bounds.grace + AFTER_GRACE;
        let stops = self.troubles.iter().filter(|trouble| trouble.host == host && trouble.planned);
        let told = stops.map(|trouble| trouble.stretch.from);
        told.filter(|told| sent >= *told && sent <= *told + within).max()
    }

    fn has_trouble(&self, from: Instant, until: Instant, of: impl Fn(&Trouble) -> bool) -> bool {
        let asked = self.asked(from, until);
        self.troubles.iter().any(|trouble| of(trouble) && trouble.stretch.meets(asked))
    }

    fn links_calm(&self, from: Instant, until: Instant) -> bool {
        let asked = self.asked(from, until);
        !self.links.iter().any(|link| link.meets(asked))
    }

    /// The time that is asked about, with what a machine needs before it to be in touch.
    fn asked(&self, from: Instant, until: Instant) -> Stretch {
        Stretch { from: from - self.bounds.contact, until }
    }
}

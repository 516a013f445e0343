//! Versions that are bad: a share of their requests fails or is slow, always or at times.

use super::Executors;
use crate::scenario::{Flaw, Grey};
use crate::stage::Stage;
use grebeusher_time::{Duration, Instant};
use rand::Rng;

/// The route on which a version fails that is bad on one route.
const BAD_ROUTE: &str = "/draft/";

/// How a version is bad.
#[derive(Clone, Copy, Debug)]
pub struct VersionFlaw {
    /// When and how.
    pub flaw: Flaw,
    /// The share of the requests concerned that fail.
    pub x: f64,
    /// When a version that is bad late begins to fail, from the start of its executors on.
    pub after: Duration,
}

impl Executors {
    /// An executor's version is bad.
    pub fn spoil(&mut self, number: usize, flaw: VersionFlaw, begun: Instant) {
        self.all[number].flaw = Some((flaw, begun));
    }

    /// How a run that begins now fails by its version's fault.
    pub(super) fn version_failure(&self, number: usize, path: &str, stage: &mut Stage<'_>) -> Option<Grey> {
        let live = &self.all[number];
        let (VersionFlaw { flaw, x, after }, begun) = live.flaw?;
        let concerned = match flaw {
            Flaw::Errors | Flaw::Slow => true,
            Flaw::UnderLoad => live.runs.len() * 2 >= live.made.slots,
            Flaw::OneRoute => path.starts_with(BAD_ROUTE),
            Flaw::Late => stage.now() >= begun + after,
        };
        if !concerned || !stage.hub.random.random_bool(x) {
            return None;
        }
        stage.judge.bad_answer(&live.made.service, &live.made.version, stage.hub.now);
        Some(if flaw == Flaw::Slow { Grey::Slow } else { Grey::Errors })
    }
}

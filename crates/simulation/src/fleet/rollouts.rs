//! Roll-outs: executors of a new version come when the order is acknowledged, and one of the two versions leaves at its end.

use super::Fleet;
use super::step::Step;
use crate::executors::{Executor, VersionFlaw};
use crate::operators::{RolloutOrder, RolloutState};
use crate::scenario::Flaw;
use grebeusher_time::{Duration, DurationExt};
use std::collections::BTreeMap;

/// The service that is rolled out.
const SERVICE: &str = "model-a";
/// The version that all executors have at first.
const FIRST_VERSION: &str = "v1";
/// The executors of a version that was reverted begin to leave after this.
const REVERTED_DRAIN_DELAY: Duration = Duration::from_millis(2000);

/// What the platform knows of roll-outs.
#[derive(Default)]
pub(super) struct Rollouts {
    /// The version of each service that was rolled out.
    in_force: BTreeMap<String, String>,
    /// How each new version is bad, by service and version.
    flaws: BTreeMap<(String, String), VersionFlaw>,
    count: u32,
}

impl Rollouts {
    /// The version whose executors belong to a service.
    pub fn version_of(&self, service: &str) -> String {
        self.in_force.get(service).cloned().unwrap_or_else(|| FIRST_VERSION.to_owned())
    }
}

impl Fleet {
    /// The operators order a roll-out to the next version.
    pub(super) fn begin_rollout(&mut self, flaw: Option<Flaw>, x: f64, late_s: f64, ramp_s: f64) {
        self.rollouts.count += 1;
        let target = format!("v{}", self.rollouts.count + 1);
        self.note(&format!("{SERVICE} is to be rolled out to {target}, flaw: {flaw:?}"));
        if let Some(flaw) = flaw {
            let flaw = VersionFlaw { flaw, x, after: Duration::from_seconds(late_s) };
            self.rollouts.flaws.insert((SERVICE.to_owned(), target.clone()), flaw);
        }
        let order = RolloutOrder { service: SERVICE.to_owned(), target, ramp_s, is_bad: flaw.is_some() };
        self.stage(|actors, stage| actors.operators.begin_rollout(order, stage));
    }

    /// What the operators have heard of roll-outs takes effect.
    pub(super) fn follow_rollouts(&mut self) {
        for (order, host) in std::mem::take(&mut self.operators.rollouts_begun) {
            self.start_version(&order);
            if !self.armed_for_rollouts.is_empty() {
                let armed = self.armed_for_rollouts.remove(0);
                self.arm(armed, host);
            }
        }
        for (order, state) in std::mem::take(&mut self.operators.rollouts_ended) {
            self.note(&format!("the roll-out of {} to {} is {state:?}", order.service, order.target));
            match state {
                RolloutState::Complete => self.stop_other_versions(&order),
                RolloutState::Reverted => {
                    let RolloutOrder { service, target, .. } = order;
                    self.later(REVERTED_DRAIN_DELAY, Step::DrainVersion { service, version: target });
                }
                RolloutState::Active => {}
            }
        }
    }

    /// As many executors of the new version come as there are of the others.
    fn start_version(&mut self, order: &RolloutOrder) {
        let RolloutOrder { service, target, .. } = order;
        self.note(&format!("the executors of {service} {target} come"));
        let flaw = self.rollouts.flaws.get(&(service.clone(), target.clone())).copied();
        let beside = self.executors_up(service, |version| version != target);
        for zone in beside.into_iter().map(|(_, made)| made.zone_number) {
            let number = self.add_executor_of(service, target, zone, None);
            if let Some(flaw) = flaw {
                let begun = self.now();
                self.executors.spoil(number, flaw, begun);
            }
        }
    }

    /// The roll-out is complete: the executors of all other versions end at once.
    fn stop_other_versions(&mut self, order: &RolloutOrder) {
        self.rollouts.in_force.insert(order.service.clone(), order.target.clone());
        for (number, _) in self.executors_up(&order.service, |version| version != order.target) {
            self.stage(|actors, stage| actors.executors.fail(number, false, stage));
        }
    }

    /// The executors of a version leave.
    pub(super) fn drain_version(&mut self, service: &str, version: &str) {
        for (number, _) in self.executors_up(service, |other| other == version) {
            self.stage(|actors, stage| actors.executors.drain(number, stage));
        }
    }

    /// The executors of a service that are up and have a version that is wanted, by number.
    fn executors_up(&self, service: &str, is_wanted: impl Fn(&str) -> bool) -> Vec<(usize, Executor)> {
        let is_of = |made: &Executor| made.service == service && is_wanted(&made.version);
        self.executors.up().into_iter().filter(|(_, made)| is_of(made)).collect()
    }
}

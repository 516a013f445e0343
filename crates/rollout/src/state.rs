//! The replicated state of roll-outs: the version in force and the latest roll-out of each service.
//!
//! Every replica applies the same entries in the same order and so reaches the same state. A roll-out that has ended
//! never becomes active again, so an entry that is applied late or twice changes nothing.

use crate::entry::Entry;
use crate::order::RolloutOrder;
use nanoserde::{DeBin, DeBinErr, SerBin};

/// The maximum number of targets of earlier roll-outs that are kept for each service, to recognize repeated orders.
const MAX_EARLIER_TARGETS: usize = 64;

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RolloutState {
    /// The roll-out is in progress. No executor of the target version gets requests.
    Active,
    /// The roll-out has ended, and the earlier version is still in force.
    Reverted,
}

/// The roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Rollout {
    /// The version that the requests of the service are to be moved to.
    pub target_version: String,
    /// The duration of the roll-out, in milliseconds.
    pub ramp_ms: u64,
    /// The wall clock time at which the leader accepted the order, in milliseconds since 1970. The clocks of nodes may
    /// differ, and may be set.
    pub begun_at_wall_ms: u64,
    /// The state of the roll-out.
    pub state: RolloutState,
}

/// The versions of a service.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ServiceVersions {
    /// The name of the service.
    pub service: String,
    /// The version in force; empty if it is unknown.
    pub in_force: String,
    /// The latest roll-out of the service.
    pub rollout: Option<Rollout>,
    /// The target versions of earlier roll-outs, from the oldest to the newest.
    pub earlier_targets: Vec<String>,
}

impl ServiceVersions {
    fn new(service: &str) -> ServiceVersions {
        ServiceVersions {
            service: service.to_owned(),
            in_force: String::new(),
            rollout: None,
            earlier_targets: Vec::new(),
        }
    }

    /// The latest roll-out if it is active.
    pub fn active_rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref().filter(|rollout| rollout.state == RolloutState::Active)
    }

    /// Whether the target is that of the latest or of a recent earlier roll-out.
    fn was_ordered(&self, target: &str) -> bool {
        let is_newest = self.rollout.as_ref().is_some_and(|rollout| rollout.target_version == target);
        is_newest || self.earlier_targets.iter().any(|earlier_target| earlier_target == target)
    }
}

/// The versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Rollouts {
    /// The number of entries that changed the state.
    revision: u64,
    /// The versions of each known service, sorted by name.
    services: Vec<ServiceVersions>,
}

/// The decision on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// The leader has to propose the order.
    Accept,
    /// The same order was accepted before. The leader has to acknowledge it again.
    AlreadyAccepted,
    /// A roll-out of the service to another version is active.
    OtherRolloutActive,
    /// The target version is already in force, without an order for it.
    AlreadyInForce,
}

/// The effect of a committed entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The entry changed the state.
    Accepted,
    /// An earlier entry had the same effect.
    AlreadyAccepted,
    /// The entry was ignored, because it contradicts an earlier one.
    Conflict,
}

impl Rollouts {
    /// The revision of the state, which increases with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether no service is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// The versions of all known services, sorted by name.
    pub fn services(&self) -> &[ServiceVersions] {
        &self.services
    }

    /// The versions of a service, if it is known.
    pub fn service(&self, name: &str) -> Option<&ServiceVersions> {
        self.services.get(self.position(name).ok()?)
    }

    /// The version in force of a service, if it is known.
    pub fn version_in_force(&self, service: &str) -> Option<&str> {
        self.service(service).map(|versions| versions.in_force.as_str()).filter(|version| !version.is_empty())
    }

    /// Whether a roll-out of any service is active.
    pub fn has_active_rollout(&self) -> bool {
        self.services.iter().any(|versions| versions.active_rollout().is_some())
    }

    /// Decides on an order by the committed state.
    pub fn decide_on(&self, order: &RolloutOrder) -> OrderDecision {
        let Some(versions) = self.service(&order.service) else { return OrderDecision::Accept };
        if versions.was_ordered(&order.target_version) {
            OrderDecision::AlreadyAccepted
        } else if versions.active_rollout().is_some() {
            OrderDecision::OtherRolloutActive
        } else if versions.in_force == order.target_version {
            OrderDecision::AlreadyInForce
        } else {
            OrderDecision::Accept
        }
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: Entry) -> Applied {
        let applied = match entry {
            Entry::VersionInForce { service, version } => self.apply_version_in_force(&service, version),
            Entry::Begin { order, in_force, begun_at_wall_ms } => {
                self.apply_begin(order, in_force, begun_at_wall_ms)
            }
            Entry::Revert { service, target_version } => self.apply_revert(&service, &target_version),
        };
        self.revision += u64::from(applied == Applied::Accepted);
        applied
    }

    fn apply_version_in_force(&mut self, service: &str, version: String) -> Applied {
        let versions = self.versions_mut(service);
        if versions.in_force == version {
            return Applied::AlreadyAccepted;
        }
        if !versions.in_force.is_empty() || versions.was_ordered(&version) {
            return Applied::Conflict;
        }
        versions.in_force = version;
        Applied::Accepted
    }

    fn apply_begin(&mut self, order: RolloutOrder, in_force: String, begun_at_wall_ms: u64) -> Applied {
        match self.decide_on(&order) {
            OrderDecision::Accept => {}
            OrderDecision::AlreadyAccepted => return Applied::AlreadyAccepted,
            OrderDecision::OtherRolloutActive | OrderDecision::AlreadyInForce => return Applied::Conflict,
        }
        let versions = self.versions_mut(&order.service);
        if versions.in_force.is_empty() && in_force != order.target_version {
            versions.in_force = in_force;
        }
        let rollout = Rollout {
            target_version: order.target_version,
            ramp_ms: order.ramp_ms,
            begun_at_wall_ms,
            state: RolloutState::Active,
        };
        if let Some(earlier) = versions.rollout.replace(rollout) {
            versions.earlier_targets.push(earlier.target_version);
            let excess = versions.earlier_targets.len().saturating_sub(MAX_EARLIER_TARGETS);
            versions.earlier_targets.drain(..excess);
        }
        Applied::Accepted
    }

    fn apply_revert(&mut self, service: &str, target: &str) -> Applied {
        let Ok(position) = self.position(service) else { return Applied::Conflict };
        let rollout = self.services[position].rollout.as_mut();
        let Some(rollout) = rollout.filter(|rollout| rollout.target_version == target) else {
            return Applied::Conflict;
        };
        match std::mem::replace(&mut rollout.state, RolloutState::Reverted) {
            RolloutState::Active => Applied::Accepted,
            RolloutState::Reverted => Applied::AlreadyAccepted,
        }
    }

    /// The index of a service in `services`, or the index at which it would be inserted.
    fn position(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|versions| versions.service.as_str().cmp(service))
    }

    /// The versions of a service, which is added if it is not known.
    fn versions_mut(&mut self, service: &str) -> &mut ServiceVersions {
        let position = self.position(service).unwrap_or_else(|insert_at| {
            self.services.insert(insert_at, ServiceVersions::new(service));
            insert_at
        });
        &mut self.services[position]
    }

    /// Encodes the complete state.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// Fails if the bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Rollouts, DeBinErr> {
        DeBin::deserialize_bin(bytes)
    }
}

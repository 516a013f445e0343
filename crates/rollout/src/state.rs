//! The replicated state: the version in force of each service, and how far its roll-out is.
//!
//! The same entries in the same order give the same state at every replica. A roll-out that is over never becomes active again,
//! so that an entry which comes late or twice changes nothing.

use crate::entry::Entry;
use crate::order::RolloutOrder;
use nanoserde::{DeBin, DeBinErr, SerBin};

/// The targets of earlier roll-outs that are remembered for each service, so that an order sent again is known.
const MAX_ENDED: usize = 64;

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RolloutState {
    /// The order is kept. No executor of the new version gets a request.
    Active,
    /// It is over, and the version before it stays in force.
    Reverted,
}

/// The roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Rollout {
    /// The version that the service is to have.
    pub target_version: String,
    /// The time for it (milliseconds).
    pub ramp_ms: u64,
    /// When the order was taken, by that leader's time of day (milliseconds since 1970). Clocks may differ and be set.
    pub begun_ms: u64,
    /// How far it is.
    pub state: RolloutState,
}

/// The versions of a service.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ServiceVersions {
    /// Its name.
    pub service: String,
    /// The version in force; empty if nobody knows it.
    pub in_force: String,
    /// Its newest roll-out.
    pub rollout: Option<Rollout>,
    /// The targets of the roll-outs before it, the newest last.
    pub ended: Vec<String>,
}

impl ServiceVersions {
    fn new(service: &str) -> ServiceVersions {
        ServiceVersions {
            service: service.to_owned(),
            in_force: String::new(),
            rollout: None,
            ended: Vec::new(),
        }
    }

    /// The roll-out that is under way.
    pub fn active_rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref().filter(|rollout| rollout.state == RolloutState::Active)
    }

    fn was_ordered(&self, target: &str) -> bool {
        let is_newest = self.rollout.as_ref().is_some_and(|rollout| rollout.target_version == target);
        is_newest || self.ended.iter().any(|ended| ended == target)
    }
}

/// The versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Rollouts {
    revision: u64,
    /// In the order of their names.
    services: Vec<ServiceVersions>,
}

/// What is to be done with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Propose it.
    Accept,
    /// It was taken before: acknowledge it again.
    AlreadyAccepted,
    /// A roll-out to another version is under way.
    OtherUnderWay,
    /// The version is in force, and no order brought it.
    InForce,
}

/// What became of a committed entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It changed the state.
    Accepted,
    /// It had been applied before.
    AlreadyAccepted,
    /// Another entry went before it, and the two can't both hold.
    Conflict,
}

impl Rollouts {
    /// Rises with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether nothing is known of any service.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// All services of which something is known, in the order of their names.
    pub fn services(&self) -> &[ServiceVersions] {
        &self.services
    }

    /// What is known of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceVersions> {
        self.services.get(self.position(name).ok()?)
    }

    /// The version in force of a service, if it is known.
    pub fn version_in_force(&self, service: &str) -> Option<&str> {
        self.service(service).map(|versions| versions.in_force.as_str()).filter(|version| !version.is_empty())
    }

    /// Whether a roll-out of any service is under way.
    pub fn has_active_rollout(&self) -> bool {
        self.services.iter().any(|versions| versions.active_rollout().is_some())
    }

    /// Judges an order by what is committed.
    pub fn judge(&self, order: &RolloutOrder) -> Verdict {
        let Some(versions) = self.service(&order.service) else { return Verdict::Accept };
        if versions.was_ordered(&order.target_version) {
            Verdict::AlreadyAccepted
        } else if versions.active_rollout().is_some() {
            Verdict::OtherUnderWay
        } else if versions.in_force == order.target_version {
            Verdict::InForce
        } else {
            Verdict::Accept
        }
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: Entry) -> Applied {
        let applied = match entry {
            Entry::VersionInForce { service, version } => self.apply_version_in_force(&service, version),
            Entry::Begin { order, in_force, begun_ms } => self.apply_begin(order, in_force, begun_ms),
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

    fn apply_begin(&mut self, order: RolloutOrder, in_force: String, begun_ms: u64) -> Applied {
        match self.judge(&order) {
            Verdict::Accept => {}
            Verdict::AlreadyAccepted => return Applied::AlreadyAccepted,
            Verdict::OtherUnderWay | Verdict::InForce => return Applied::Conflict,
        }
        let versions = self.versions_mut(&order.service);
        if versions.in_force.is_empty() && in_force != order.target_version {
            versions.in_force = in_force;
        }
        let rollout = Rollout {
            target_version: order.target_version,
            ramp_ms: order.ramp_ms,
            begun_ms,
            state: RolloutState::Active,
        };
        if let Some(before) = versions.rollout.replace(rollout) {
            versions.ended.push(before.target_version);
            let surplus = versions.ended.len().saturating_sub(MAX_ENDED);
            versions.ended.drain(..surplus);
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

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|versions| versions.service.as_str().cmp(service))
    }

    fn versions_mut(&mut self, service: &str) -> &mut ServiceVersions {
        let position = self.position(service).unwrap_or_else(|place| {
            self.services.insert(place, ServiceVersions::new(service));
            place
        });
        &mut self.services[position]
    }

    /// The binary form of the whole state.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }

    /// Reads the binary form.
    ///
    /// # Errors
    /// The bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Rollouts, DeBinErr> {
        DeBin::deserialize_bin(bytes)
    }
}

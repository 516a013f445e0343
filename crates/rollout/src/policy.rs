//! What one node goes by: the newest state that it has heard of.
//!
//! A node that hasn't heard of an order refuses its executors all the same, as their version is not the one in force.

use crate::state::{Rollouts, ServiceVersions};

/// Whether an executor gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Nothing is known of its service's versions.
    Unrestricted,
    /// It has the version in force.
    InForce,
    /// It gets nothing new.
    Withheld,
}

/// Which versions a node permits.
#[derive(Debug, Default)]
pub struct VersionPolicy {
    /// None before the first state has come.
    state: Option<Rollouts>,
}

impl VersionPolicy {
    /// Nothing is known yet.
    pub fn new() -> VersionPolicy {
        VersionPolicy::default()
    }

    /// The newest state; none before the first one has come.
    pub fn state(&self) -> Option<&Rollouts> {
        self.state.as_ref()
    }

    /// The revision of the newest state; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.state.as_ref().map_or(0, Rollouts::revision)
    }

    /// Takes a state over if it is newer. Whether it is.
    pub fn update(&mut self, state: Rollouts) -> bool {
        let is_newer = self.state.as_ref().is_none_or(|known| known.revision() < state.revision());
        if is_newer {
            self.state = Some(state);
        }
        is_newer
    }

    /// What is known of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceVersions> {
        self.state.as_ref()?.service(name)
    }

    /// Whether executors of a version may get requests.
    pub fn permission(&self, service: &str, version: &str) -> Permission {
        let Some(versions) = self.service(service) else { return Permission::Unrestricted };
        if versions.in_force == version {
            return Permission::InForce;
        }
        if !versions.in_force.is_empty() {
            return Permission::Withheld;
        }
        // Only the target is known: any other version may be the one in force.
        let is_target = versions.rollout.as_ref().is_some_and(|rollout| rollout.target_version == version);
        if is_target { Permission::Withheld } else { Permission::Unrestricted }
    }
}

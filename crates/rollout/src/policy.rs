//! What one node goes by: the newest state that it has heard of.
//!
//! A node that hasn't heard of an order refuses its executors all the same, as their version is not the one in force.

use crate::state::Rollouts;

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
    /// Empty before the first state has come.
    state: Rollouts,
}

impl VersionPolicy {
    /// Nothing is known yet.
    pub fn new() -> VersionPolicy {
        VersionPolicy::default()
    }

    /// The newest state; empty before the first one has come.
    pub fn state(&self) -> &Rollouts {
        &self.state
    }

    /// The revision of the newest state; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Takes a state over if it is newer. Whether it is.
    pub fn update(&mut self, state: Rollouts) -> bool {
        let is_newer = self.state.revision() < state.revision();
        if is_newer {
            self.state = state;
        }
        is_newer
    }

    /// Whether executors of a version may get requests.
    pub fn permission(&self, service: &str, version: &str) -> Permission {
        let Some(versions) = self.state.service(service) else { return Permission::Unrestricted };
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

//! The policy by which one node decides which executors may get requests. It depends on the newest state that the node
//! has received.
//!
//! A node that has not received an order yet sends no requests to executors of its target version either, because that
//! version is not in force.

use crate::state::Rollouts;

/// Whether executors of a version may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// They may get requests, because the version in force of their service is unknown.
    Unrestricted,
    /// They may get requests, because their version is in force.
    InForce,
    /// They get no new requests.
    Withheld,
}

/// The versions whose executors may get requests from a node.
#[derive(Debug, Default)]
pub struct VersionPolicy {
    /// The newest state that the node has received; empty before the first one.
    state: Rollouts,
}

impl VersionPolicy {
    /// Creates the policy of a node that has not received any state.
    pub fn new() -> VersionPolicy {
        VersionPolicy::default()
    }

    /// The newest state that the node has received; empty before the first one.
    pub fn state(&self) -> &Rollouts {
        &self.state
    }

    /// The revision of the newest state; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.state.revision()
    }

    /// Replaces the state if `state` is newer. Returns whether it is.
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
        // The version in force is unknown. It can be any version except the target.
        let is_target = versions.rollout.as_ref().is_some_and(|rollout| rollout.target_version == version);
        if is_target { Permission::Withheld } else { Permission::Unrestricted }
    }
}

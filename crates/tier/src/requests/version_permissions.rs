//! Decides by the software version of an executor whether it may get new requests.

use grebeusher_registry::{Executor, Registry};
use grebeusher_rollout::{Permission, VersionPolicy};
use rustc_hash::FxHashMap;

/// The version rules that apply when routing updates its executors from the registry.
pub struct VersionPermissions<'a> {
    /// The newest version policy that this node has received.
    pub policy: &'a VersionPolicy,
    /// Whether executors of a service without a version in force get requests only if all of them have the same version.
    pub enforced: bool,
    /// Whether this node has just started and may still learn from the leader which version is in force.
    pub awaits_leader_reply: bool,
}

/// For each service the version that all its executors have, or `None` if they have several.
pub struct ObservedVersions<'a>(FxHashMap<&'a str, Option<&'a str>>);

/// Whether the version of an executor permits new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionDecision {
    /// Whether the executor may get new requests.
    pub is_permitted: bool,
    /// Whether the leader may know more about its version than this node: its version is not in force, or the version in
    /// force for its service is unknown.
    pub is_unconfirmed: bool,
}

impl<'a> ObservedVersions<'a> {
    fn from_registry(registry: &'a Registry) -> ObservedVersions<'a> {
        let mut versions: FxHashMap<&str, Option<&str>> = FxHashMap::default();
        for executor in registry.executors().filter(|executor| executor.exists()) {
            let version = executor.report.config_version.as_str();
            let entry = versions.entry(executor.report.service.as_str()).or_insert(Some(version));
            if *entry != Some(version) {
                *entry = None;
            }
        }
        ObservedVersions(versions)
    }

    fn has_single_version(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(Option::is_some)
    }
}

impl VersionPermissions<'_> {
    /// The versions of all executors that exist. Empty if the rules are not enforced, as the versions are not needed then.
    pub fn observed_versions<'r>(&self, registry: &'r Registry) -> ObservedVersions<'r> {
        if self.enforced {
            ObservedVersions::from_registry(registry)
        } else {
            ObservedVersions(FxHashMap::default())
        }
    }

    /// Decides whether an executor may get new requests. If the version in force for its service is unknown, the executor is
    /// permitted if all executors of the service have the same version and the leader has had time to reply.
    pub fn decide(&self, executor: &Executor, versions: &ObservedVersions<'_>) -> VersionDecision {
        let report = &executor.report;
        let is_permitted = match self.policy.permission(&report.service, &report.config_version) {
            Permission::InForce => return VersionDecision { is_permitted: true, is_unconfirmed: false },
            Permission::Withheld => return VersionDecision { is_permitted: false, is_unconfirmed: true },
            Permission::Unrestricted if self.enforced => {
                !self.awaits_leader_reply && versions.has_single_version(&report.service)
            }
            Permission::Unrestricted => true,
        };
        VersionDecision { is_permitted, is_unconfirmed: self.enforced }
    }
}

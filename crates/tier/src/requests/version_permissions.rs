//! Which executors may get requests, by the version of their software.

use grebeusher_registry::{Executor, Registry};
use grebeusher_rollout::{Permission, VersionPolicy};
use rustc_hash::FxHashMap;

/// What the routing is told of versions when it takes over the executors.
pub struct VersionPermissions<'a> {
    /// The newest state that this node has heard of.
    pub policy: &'a VersionPolicy,
    /// Whether a version without an order gets nothing.
    pub enforced: bool,
    /// Whether this node has just started and the leader may still tell which version is in force.
    pub awaits_proof: bool,
}

/// The versions that the executors of each service have: the one, or that there are several.
pub struct SeenVersions<'a>(FxHashMap<&'a str, Option<&'a str>>);

impl<'a> SeenVersions<'a> {
    /// The versions of all executors that exist.
    pub fn of(registry: &'a Registry) -> SeenVersions<'a> {
        let mut seen: FxHashMap<&str, Option<&str>> = FxHashMap::default();
        for executor in registry.executors().filter(|executor| executor.exists()) {
            let version = executor.report.config_version.as_str();
            let entry = seen.entry(executor.report.service.as_str()).or_insert(Some(version));
            if *entry != Some(version) {
                *entry = None;
            }
        }
        SeenVersions(seen)
    }

    fn are_alike(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(Option::is_some)
    }
}

impl VersionPermissions<'_> {
    /// Whether the leader may know more of an executor's version than this node: it has a version that is not in force, or
    /// that of its service is unknown.
    pub fn is_in_question(&self, executor: &Executor) -> bool {
        match self.policy.permission(&executor.report.service, &executor.report.config_version) {
            Permission::InForce => false,
            Permission::Withheld => true,
            Permission::Unrestricted => self.enforced,
        }
    }

    /// Whether an executor may get new requests. Of a service whose version in force is unknown it may if all executors have
    /// the same version, and the leader had time to answer.
    pub fn permits(&self, executor: &Executor, seen: &SeenVersions<'_>) -> bool {
        let report = &executor.report;
        match self.policy.permission(&report.service, &report.config_version) {
            Permission::InForce => true,
            Permission::Withheld => false,
            Permission::Unrestricted if self.enforced => {
                !self.awaits_proof && seen.are_alike(&report.service)
            }
            Permission::Unrestricted => true,
        }
    }
}

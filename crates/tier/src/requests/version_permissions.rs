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

/// What becomes of an executor by its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionVerdict {
    /// Whether it may get new requests.
    pub is_permitted: bool,
    /// Whether the leader may know more of it than this node: its version is not in force, or that of its service is unknown.
    pub is_in_question: bool,
}

impl<'a> SeenVersions<'a> {
    fn of(registry: &'a Registry) -> SeenVersions<'a> {
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
    /// The versions of all executors that exist; none where they decide nothing.
    pub fn seen<'r>(&self, registry: &'r Registry) -> SeenVersions<'r> {
        if self.enforced { SeenVersions::of(registry) } else { SeenVersions(FxHashMap::default()) }
    }

    /// What becomes of an executor. Of a service whose version in force is unknown it is permitted if all executors have the
    /// same version, and the leader had time to answer.
    pub fn verdict(&self, executor: &Executor, seen: &SeenVersions<'_>) -> VersionVerdict {
        let report = &executor.report;
        let is_permitted = match self.policy.permission(&report.service, &report.config_version) {
            Permission::InForce => return VersionVerdict { is_permitted: true, is_in_question: false },
            Permission::Withheld => return VersionVerdict { is_permitted: false, is_in_question: true },
            Permission::Unrestricted if self.enforced => {
                !self.awaits_proof && seen.are_alike(&report.service)
            }
            Permission::Unrestricted => true,
        };
        VersionVerdict { is_permitted, is_in_question: self.enforced }
    }
}

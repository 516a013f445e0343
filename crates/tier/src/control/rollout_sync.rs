//! Synchronization of the service versions that get requests, from the leader of the configuration to each node.
//!
//! [`RolloutSync`] owns the versions that this node knows. A node asks the leader when it starts, while it sees executors
//! whose version is not in force or whose service has no known version, and while a roll-out is in progress; otherwise it
//! sends nothing. Replicas of the configuration also receive each change in their log.

use crate::control::api::CONFIGURATION_PARTITION;
use crate::links::calls::Continuation;
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use crate::requests::version_permissions::VersionPermissions;
use crate::runtime::timers::Timer;
use grebeusher_rollout::{Entry, Rollout, Rollouts, ServiceVersions, VersionPolicy};
use grebeusher_time::{Duration, DurationExt, Instant};
use std::collections::BTreeMap;
use tracing::{info, warn};

/// The interval between two calls to the leader while a roll-out is in progress, or before the first reply of the leader.
const SYNC_INTERVAL: Duration = Duration::from_millis(300);
/// The interval between two calls to the leader while executors have a version without an order, or the version in force of
/// their service is unknown.
const IDLE_SYNC_INTERVAL: Duration = Duration::from_millis(1000);
/// How long the leader may take to reply.
const SYNC_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a node that has just started waits for the reply of the leader. After that it judges versions by the executors
/// that it sees, as the platform then sends it clients.
const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// The share of its duration after which a roll-out that is still active is reverted. In the rest the operators learn of it.
const REVERT_AFTER_SHARE: f64 = 0.9;

/// The versions that a node knows, and the state of its calls to the leader.
pub(crate) struct RolloutSync {
    /// Whether executors of versions without an order get no requests, as the contract `rollout` is in force.
    is_enforced: bool,
    policy: VersionPolicy,
    /// When this node first heard of the active roll-out of each service.
    first_heard: BTreeMap<String, FirstHeard>,
    /// Whether the leader has replied since the process started.
    is_confirmed: bool,
    /// Whether the timer of the next call is set.
    is_scheduled: bool,
    /// Whether a call to the leader is in progress.
    is_calling: bool,
}

/// The present time by both clocks of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeTime {
    /// The time by the monotonic clock since the start of the process.
    pub now: Instant,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// The target version of a roll-out, and when this node first heard of it.
struct FirstHeard {
    target_version: String,
    at: Instant,
}

impl RolloutSync {
    /// Starts without any known version.
    pub fn new(is_enforced: bool) -> RolloutSync {
        RolloutSync {
            is_enforced,
            policy: VersionPolicy::new(),
            first_heard: BTreeMap::new(),
            is_confirmed: false,
            is_scheduled: false,
            is_calling: false,
        }
    }

    /// Whether the contract `rollout` is in force, so that executors of versions without an order get no requests.
    pub fn is_enforced(&self) -> bool {
        self.is_enforced
    }

    /// Returns the permissions of versions at present, for the routing.
    pub fn permissions(&self, now: Instant) -> VersionPermissions<'_> {
        let awaits_leader_reply =
            self.is_enforced && !self.is_confirmed && now < Instant(0) + LEADER_REPLY_TIMEOUT;
        VersionPermissions { policy: &self.policy, enforced: self.is_enforced, awaits_leader_reply }
    }

    /// Returns the known versions of all services.
    pub fn services(&self) -> &[ServiceVersions] {
        self.policy.state().services()
    }

    /// Replaces the known versions if the given ones are newer. Returns whether they are.
    fn update(&mut self, now: Instant, rollouts: Rollouts) -> bool {
        let is_newer = self.policy.update(rollouts);
        if is_newer {
            self.note_active_rollouts(now);
        }
        is_newer
    }

    /// Records when this node first heard of each active roll-out.
    fn note_active_rollouts(&mut self, now: Instant) {
        let mut previous = std::mem::take(&mut self.first_heard);
        let services = self.policy.state().services();
        for versions in services {
            let Some(Rollout { target_version, .. }) = versions.active_rollout() else { continue };
            let known =
                previous.remove(&versions.service).filter(|known| known.target_version == *target_version);
            let first = known.unwrap_or(FirstHeard { target_version: target_version.clone(), at: now });
            self.first_heard.insert(versions.service.clone(), first);
        }
    }

    /// Returns how long ago the order of an active roll-out was accepted. The monotonic clock omits the time in
    /// which this process did not run, and the time of day may be set: the longer of the two durations counts.
    fn elapsed(&self, time: NodeTime, service: &str, rollout: &Rollout) -> Duration {
        let first_heard = self.first_heard.get(service);
        let by_monotonic_clock = first_heard.map(|first| time.now.since(first.at)).unwrap_or_default();
        let by_time_of_day = Duration::from_millis(time.wall_ms.saturating_sub(rollout.begun_at_wall_ms));
        by_monotonic_clock.max(by_time_of_day)
    }

    /// Returns an entry that reverts a roll-out whose time is over; the version before it stays in force. Returns `None` if
    /// there is no such roll-out.
    pub fn next_expired(&self, time: NodeTime) -> Option<Entry> {
        let mut expired = self.services().iter().filter_map(|versions| {
            let rollout = versions.active_rollout()?;
            let time_limit = Duration::from_millis(rollout.ramp_ms).scaled(REVERT_AFTER_SHARE);
            let is_over = self.elapsed(time, &versions.service, rollout) >= time_limit;
            is_over.then(|| Entry::Revert {
                service: versions.service.clone(),
                target_version: rollout.target_version.clone(),
            })
        });
        expired.next()
    }

    /// Returns the delay until the next call to the leader; `None` if none is needed.
    fn interval(&self, has_unconfirmed_versions: bool) -> Option<Duration> {
        let has_active_rollout = self.policy.state().has_active_rollout();
        if has_active_rollout || (self.is_enforced && !self.is_confirmed) {
            Some(SYNC_INTERVAL)
        } else {
            has_unconfirmed_versions.then_some(IDLE_SYNC_INTERVAL)
        }
    }
}

impl Node {
    /// Replaces the known versions by those from the log or from the leader, if these are newer.
    pub(crate) fn versions_changed(&mut self, rollouts: Rollouts) {
        let revision = rollouts.revision();
        if !self.rollouts.update(self.now, rollouts) {
            return;
        }
        self.routing_changed = true;
        for ServiceVersions { service, in_force, rollout, .. } in self.rollouts.services() {
            let target = rollout.as_ref().map(|rollout| rollout.target_version.as_str());
            let state = rollout.as_ref().map(|rollout| rollout.state);
            info!(revision, service, in_force, target, ?state, "versions of a service");
        }
    }

    /// Asks the leader for the versions when the node starts, if it may send no requests before it knows them.
    pub(crate) fn request_leader_versions(&mut self) {
        if self.rollouts.is_enforced {
            self.sync_rollouts();
        }
    }

    /// Sets the timer of the next call to the leader, if one is needed and the timer is not set.
    pub(crate) fn schedule_rollout_sync(&mut self) {
        let has_unconfirmed_versions = self.requests.routing.has_unconfirmed_versions();
        let Some(interval) = self.rollouts.interval(has_unconfirmed_versions) else { return };
        if self.rollouts.is_scheduled || self.stopping() {
            return;
        }
        self.rollouts.is_scheduled = true;
        self.alarms.set(self.now + interval, Timer::SyncRollouts);
    }

    /// Asks the leader for the versions of all services.
    pub(crate) fn sync_rollouts(&mut self) {
        self.rollouts.is_scheduled = false;
        self.schedule_rollout_sync();
        // Permissions also depend on the time, so the routing is updated.
        self.routing_changed = true;
        if self.rollouts.is_calling {
            return;
        }
        self.rollouts.is_calling = true;
        let call = Call::SyncRollouts { newer_than: self.rollouts.policy.revision() };
        let until = self.now + SYNC_TIMEOUT;
        self.call_leader(CONFIGURATION_PARTITION, call, until, Continuation::Rollouts);
    }

    /// Handles the reply of the leader, or its absence.
    pub(crate) fn rollouts_synced(&mut self, reply: &Reply) {
        self.rollouts.is_calling = false;
        match reply {
            Reply::Rollouts(bytes) => match Rollouts::decode(bytes) {
                Ok(rollouts) => {
                    self.rollouts.is_confirmed = true;
                    self.versions_changed(rollouts);
                }
                Err(_) => warn!(bytes = bytes.len(), "versions of services unreadable"),
            },
            Reply::Done => self.rollouts.is_confirmed = true,
            _ => {}
        }
        self.routing_changed = true;
    }
}

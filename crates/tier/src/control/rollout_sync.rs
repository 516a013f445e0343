//! How each node learns which versions of services get requests.
//!
//! [`RolloutSync`] owns what this node knows. A node asks the leader when it starts, while it sees executors whose version is
//! not in force or of whose service it knows none, and while a roll-out is under way; in between nothing is sent. Replicas of
//! the configuration also hear of each change by their log.

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

/// Between two questions to the leader while a roll-out is under way, or before its first answer.
const SYNC_INTERVAL: Duration = Duration::from_millis(300);
/// The same while executors have a version that nobody ordered, or that of their service is unknown.
const IDLE_SYNC_INTERVAL: Duration = Duration::from_millis(1000);
/// The leader answers within this.
const SYNC_TIMEOUT: Duration = Duration::from_millis(900);
/// A node that has just started waits this long for the leader's answer; then what it sees must do. The platform sends it
/// clients from then on.
const PROOF_TIMEOUT: Duration = Duration::from_millis(900);
/// The share of its time after which a roll-out without a verdict is reverted; the rest is for the operators to hear of it.
const VERDICT_SHARE: f64 = 0.9;

/// What a node knows of versions, and when it asks for more.
pub(crate) struct RolloutSync {
    /// Whether versions without an order are withheld: the deployment is held to the rules of roll-outs.
    enforced: bool,
    policy: VersionPolicy,
    /// When this node first heard of the active roll-out of each service.
    first_heard: BTreeMap<String, FirstHeard>,
    /// Whether the leader has answered since the start.
    proven: bool,
    is_scheduled: bool,
    is_asking: bool,
}

/// The time by both clocks of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeTime {
    /// Since the start of the process.
    pub now: Instant,
    /// The time of day (milliseconds since 1970).
    pub wall_ms: u64,
}

/// When a node first heard of a roll-out.
struct FirstHeard {
    target_version: String,
    at: Instant,
}

impl RolloutSync {
    /// Nothing is known yet.
    pub fn new(enforced: bool) -> RolloutSync {
        RolloutSync {
            enforced,
            policy: VersionPolicy::new(),
            first_heard: BTreeMap::new(),
            proven: false,
            is_scheduled: false,
            is_asking: false,
        }
    }

    /// Whether the deployment is held to the rules of roll-outs.
    pub fn is_enforced(&self) -> bool {
        self.enforced
    }

    /// What the routing goes by now.
    pub fn permissions(&self, now: Instant) -> VersionPermissions<'_> {
        let awaits_leader_reply = self.enforced && !self.proven && now < Instant(0) + PROOF_TIMEOUT;
        VersionPermissions { policy: &self.policy, enforced: self.enforced, awaits_leader_reply }
    }

    /// The versions of all services, as far as they are known.
    pub fn services(&self) -> &[ServiceVersions] {
        self.policy.state().services()
    }

    /// Takes a state over if it is newer. Whether it is.
    fn update(&mut self, now: Instant, rollouts: Rollouts) -> bool {
        let is_newer = self.policy.update(rollouts);
        if is_newer {
            self.note_active_rollouts(now);
        }
        is_newer
    }

    fn note_active_rollouts(&mut self, now: Instant) {
        let mut before = std::mem::take(&mut self.first_heard);
        let services = self.policy.state().services();
        for versions in services {
            let Some(Rollout { target_version, .. }) = versions.active_rollout() else { continue };
            let known =
                before.remove(&versions.service).filter(|known| known.target_version == *target_version);
            let first = known.unwrap_or(FirstHeard { target_version: target_version.clone(), at: now });
            self.first_heard.insert(versions.service.clone(), first);
        }
    }

    /// How long ago the order of an active roll-out was taken. The steady clock leaves out the time in which this node did not
    /// run, and the time of day may be set: the longer of the two counts.
    fn elapsed(&self, time: NodeTime, service: &str, rollout: &Rollout) -> Duration {
        let first_heard = self.first_heard.get(service);
        let by_steady_clock = first_heard.map(|first| time.now.since(first.at)).unwrap_or_default();
        let by_time_of_day = Duration::from_millis(time.wall_ms.saturating_sub(rollout.begun_at_wall_ms));
        by_steady_clock.max(by_time_of_day)
    }

    /// The entry that ends a roll-out whose time is over: the version before it stays in force.
    pub fn next_expired(&self, time: NodeTime) -> Option<Entry> {
        let mut expired = self.services().iter().filter_map(|versions| {
            let rollout = versions.active_rollout()?;
            let allowed = Duration::from_millis(rollout.ramp_ms).scaled(VERDICT_SHARE);
            let is_over = self.elapsed(time, &versions.service, rollout) >= allowed;
            is_over.then(|| Entry::Revert {
                service: versions.service.clone(),
                target_version: rollout.target_version.clone(),
            })
        });
        expired.next()
    }

    /// When the leader is to be asked next, from now on; `None`: there is nothing to ask.
    fn interval(&self, has_unconfirmed_versions: bool) -> Option<Duration> {
        let has_active_rollout = self.policy.state().has_active_rollout();
        if has_active_rollout || (self.enforced && !self.proven) {
            Some(SYNC_INTERVAL)
        } else {
            has_unconfirmed_versions.then_some(IDLE_SYNC_INTERVAL)
        }
    }
}

impl Node {
    /// The versions of services have changed, by the log or by what the leader says.
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

    /// A node that starts asks at once where it may use no executor before it knows the versions.
    pub(crate) fn prove_versions(&mut self) {
        if self.rollouts.enforced {
            self.sync_rollouts();
        }
    }

    /// Has the leader asked soon, if there is anything to ask.
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
        // What is unproven, or undecided, is looked at again as time goes on.
        self.routing_changed = true;
        if self.rollouts.is_asking {
            return;
        }
        self.rollouts.is_asking = true;
        let call = Call::SyncRollouts { newer_than: self.rollouts.policy.revision() };
        let until = self.now + SYNC_TIMEOUT;
        self.call_leader(CONFIGURATION_PARTITION, call, until, Continuation::Rollouts);
    }

    /// The leader has answered, or has not.
    pub(crate) fn rollouts_synced(&mut self, reply: &Reply) {
        self.rollouts.is_asking = false;
        match reply {
            Reply::Rollouts(bytes) => match Rollouts::decode(bytes) {
                Ok(rollouts) => {
                    self.rollouts.proven = true;
                    self.versions_changed(rollouts);
                }
                Err(_) => warn!(bytes = bytes.len(), "versions of services unreadable"),
            },
            Reply::Done => self.rollouts.proven = true,
            _ => {}
        }
        self.routing_changed = true;
    }
}

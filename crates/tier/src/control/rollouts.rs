//! New versions of services: the operator's orders, what the leader of the configuration does about them, and how each node
//! learns which versions get requests.
//!
//! [`RolloutSync`] owns what this node knows. A node asks the leader when it starts, while it sees executors whose version is
//! not in force or of whose service it knows none, and while a roll-out is under way; in between nothing is sent. Replicas of the configuration also hear of each
//! change by their log.

use crate::control::api::{CONFIGURATION_PARTITION, OPERATOR_TIMEOUT};
use crate::control::configuration_partition::ConfigurationPartition;
use crate::control::partition_host::{Application, Waiter};
use crate::links::calls::{Continuation, OperatorQuestion};
use crate::links::messages::{Call, Reply, SyncRollouts};
use crate::node::Node;
use crate::requests::version_permissions::VersionPermissions;
use crate::runtime::timers::Timer;
use grebeusher_registry::{Executor, Registry};
use grebeusher_rollout::{
    Entry, Rollout, RolloutOrder, Rollouts, ServiceVersions, Stage, Verdict, VersionPolicy,
};
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::http;
use std::collections::BTreeMap;
use tinyjson::JsonValue;
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
/// A leader has heard of most executors by then, so that it can tell which version they have.
const OBSERVATION_DURATION: Duration = Duration::from_millis(1500);

/// The share of its time after which a roll-out without a verdict is reverted; the rest is for the operators to hear of it.
const VERDICT_SHARE: f64 = 0.9;

/// What a node knows of versions, and when it asks for more.
pub(crate) struct RolloutSync {
    /// When this node first heard of the stage that each active roll-out is at.
    stages: BTreeMap<String, StageStart>,
    /// Whether versions without an order are withheld: the deployment is held to the rules of roll-outs.
    enforced: bool,
    policy: VersionPolicy,
    /// Whether the leader has answered since the start.
    proven: bool,
    is_scheduled: bool,
    is_asking: bool,
}

/// The time by both clocks of a node.
#[derive(Clone, Copy, Debug)]
struct NodeTime {
    /// Since the start of the process.
    now: Instant,
    /// The time of day (milliseconds since 1970).
    wall_ms: u64,
}

/// When a node first heard of a stage.
struct StageStart {
    target_version: String,
    stage: Stage,
    at: Instant,
}

impl RolloutSync {
    /// Nothing is known yet.
    pub fn new(enforced: bool) -> RolloutSync {
        RolloutSync {
            stages: BTreeMap::new(),
            enforced,
            policy: VersionPolicy::new(),
            proven: false,
            is_scheduled: false,
            is_asking: false,
        }
    }

    /// What the routing goes by now.
    pub fn permissions(&self, now: Instant) -> VersionPermissions<'_> {
        let awaits_proof = self.enforced && !self.proven && now < Instant(0) + PROOF_TIMEOUT;
        VersionPermissions { policy: &self.policy, enforced: self.enforced, awaits_proof }
    }

    /// Takes a state over if it is newer. Whether it is.
    fn update(&mut self, now: Instant, rollouts: Rollouts) -> bool {
        let is_newer = self.policy.update(rollouts);
        if is_newer {
            self.note_stages(now);
        }
        is_newer
    }

    fn note_stages(&mut self, now: Instant) {
        let services = self.policy.state().map(Rollouts::services).unwrap_or_default();
        self.stages.retain(|service, _| services.iter().any(|versions| versions.service == *service));
        for versions in services {
            let Some(Rollout { target_version, stage, .. }) = versions.active_rollout() else {
                self.stages.remove(&versions.service);
                continue;
            };
            let known = self.stages.get(&versions.service);
            if known.is_none_or(|known| known.target_version != *target_version || known.stage != *stage) {
                let start =
                    StageStart { target_version: target_version.clone(), stage: stage.clone(), at: now };
                self.stages.insert(versions.service.clone(), start);
            }
        }
    }

    /// How long ago the order of an active roll-out was taken. The steady clock leaves out the time in which this node did not
    /// run, and the time of day may be set: the longer of the two counts.
    fn elapsed(&self, time: NodeTime, service: &str, rollout: &Rollout) -> Duration {
        let here = self.stages.get(service).map(|start| time.now.since(start.at)).unwrap_or_default();
        let by_steady_clock = Duration::from_millis(rollout.elapsed_ms) + here;
        by_steady_clock.max(Duration::from_millis(time.wall_ms.saturating_sub(rollout.begun_ms)))
    }

    /// The entry that ends a roll-out whose time is over: the version before it stays in force.
    fn next_expired(&self, time: NodeTime) -> Option<Entry> {
        let services = self.policy.state().map(Rollouts::services).unwrap_or_default();
        let mut expired = services.iter().filter_map(|versions| {
            let rollout = versions.active_rollout()?;
            let elapsed = self.elapsed(time, &versions.service, rollout);
            let is_over = elapsed >= Duration::from_millis(rollout.ramp_ms).scaled(VERDICT_SHARE);
            is_over.then(|| Entry::Advance {
                service: versions.service.clone(),
                target_version: rollout.target_version.clone(),
                stage: Stage::Reverted,
                elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            })
        });
        expired.next()
    }

    /// When the leader is to be asked next, from now on; `None`: there is nothing to ask.
    fn interval(&self, has_versions_in_question: bool) -> Option<Duration> {
        let has_active_rollout = self.policy.state().is_some_and(Rollouts::has_active_rollout);
        if has_active_rollout || (self.enforced && !self.proven) {
            Some(SYNC_INTERVAL)
        } else {
            has_versions_in_question.then_some(IDLE_SYNC_INTERVAL)
        }
    }
}

impl Node {
    /// An operator's order. Where the rules of roll-outs are not in force nodes go by no versions, so none is taken.
    pub(crate) fn begin_rollout(&mut self, connection: usize, serial: u64, body: &[u8]) {
        if !self.rollouts.enforced {
            let reason = b"the contract `rollout` is not in force";
            return self.answer(connection, serial, http::answer(404, &[], reason));
        }
        let order = match RolloutOrder::read(body) {
            Ok(order) => order,
            Err(invalid) => {
                let reason = invalid.to_string();
                return self.answer(connection, serial, http::answer(400, &[], reason.as_bytes()));
            }
        };
        self.ask_leader_of_rollouts(connection, serial, Call::BeginRollout(order));
    }

    /// The operator asks how far a roll-out is.
    pub(crate) fn show_rollout(&mut self, connection: usize, serial: u64, service: &str) {
        let service = service.to_owned();
        self.ask_leader_of_rollouts(connection, serial, Call::ShowRollout { service });
    }

    fn ask_leader_of_rollouts(&mut self, connection: usize, serial: u64, call: Call) {
        if self.refuse_call_if_too_late(connection, OPERATOR_TIMEOUT) {
            return;
        }
        let question = OperatorQuestion::Rollout;
        let continuation = Continuation::Operator { connection, serial, question };
        self.call_leader(CONFIGURATION_PARTITION, call, self.now + OPERATOR_TIMEOUT, continuation);
    }

    /// An operator's order, at the leader or at a node that is taken for it.
    pub(crate) fn begin_rollout_at_leader(&mut self, waiter: Waiter, order: RolloutOrder) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let answer = |status| Reply::Answer { status, body: b"{}".to_vec() };
        let Some(partition) = self.configuration_partition(index) else { return };
        match partition.rollouts().judge(&order) {
            Verdict::AlreadyAccepted => return self.reply(waiter.peer, waiter.number, answer(200)),
            Verdict::OtherUnderWay | Verdict::InForce => {
                return self.reply(waiter.peer, waiter.number, answer(409));
            }
            Verdict::Accept => {}
        }
        if partition.has_pending_rollouts() {
            // It may be this very order: judged anew once that is decided.
            return self.partitions[index].deferred.push(waiter);
        }
        match self.is_configured(&order.service) {
            None => return self.reply(waiter.peer, waiter.number, Reply::Unavailable),
            Some(false) => return self.reply(waiter.peer, waiter.number, answer(404)),
            Some(true) => {}
        }
        let in_force = prevalent_version(&self.registry, &order.service, Some(&order.target_version));
        let begun_ms = self.wall_ms();
        let entry = Entry::Begin { order, in_force: in_force.unwrap_or_default(), begun_ms };
        if !self.propose_rollout_entry(index, &entry, Some(waiter)) {
            self.reply(waiter.peer, waiter.number, Reply::Unavailable);
        }
    }

    /// How far a roll-out is, at the leader.
    pub(crate) fn show_rollout_at_leader(&mut self, waiter: Waiter, service: &str) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Some(partition) = self.configuration_partition(index) else { return };
        let reply = match partition.rollouts().service(service).and_then(shown_rollout) {
            Some(body) => Reply::Answer { status: 200, body },
            None => Reply::Answer { status: 404, body: b"{}".to_vec() },
        };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// A node asks for the versions of all services.
    pub(crate) fn sync_rollouts_at_leader(&mut self, waiter: Waiter, sync: &SyncRollouts) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Some(partition) = self.configuration_partition(index) else { return };
        let rollouts = partition.rollouts();
        let is_newer = rollouts.revision() > sync.revision;
        let reply = if is_newer { Reply::Rollouts(rollouts.encode()) } else { Reply::Done };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// What the leader of the configuration does by itself: it notes which version of each service is in force, and ends
    /// roll-outs whose time is over.
    pub(crate) fn maintain_rollouts(&mut self, index: usize) {
        let Some(partition) = self.configuration_partition(index) else { return };
        if partition.has_pending_rollouts() {
            return;
        }
        let entry = match self.rollouts.next_expired(NodeTime { now: self.now, wall_ms: self.wall_ms() }) {
            Some(entry) => Some(entry),
            None => self.next_version_in_force(index, partition.rollouts()),
        };
        if let Some(entry) = entry {
            self.propose_rollout_entry(index, &entry, None);
        }
    }

    /// The version of a configured service that is not noted yet.
    fn next_version_in_force(&self, index: usize, rollouts: &Rollouts) -> Option<Entry> {
        let leader_since = self.partitions[index].leader_since()?;
        if !self.rollouts.enforced || self.now.since(leader_since) < OBSERVATION_DURATION {
            return None;
        }
        let active = self.configuration.active()?;
        let services = active.routes.configuration().services.iter().map(|service| service.name.as_str());
        let unknown = services.filter(|service| rollouts.version_in_force(service).is_none());
        let mut found = unknown.filter_map(|service| {
            let rollout = rollouts.service(service).and_then(|versions| versions.rollout.as_ref());
            let target = rollout.map(|rollout| rollout.target_version.as_str());
            let version = prevalent_version(&self.registry, service, target)?;
            Some(Entry::VersionInForce { service: service.to_owned(), version })
        });
        found.next()
    }

    /// Whether a service stands in the configuration in force; `None` if there is no configuration.
    fn is_configured(&self, service: &str) -> Option<bool> {
        let active = self.configuration.active()?;
        let services = &active.routes.configuration().services;
        Some(services.iter().any(|configured| configured.name.as_str() == service))
    }

    fn configuration_partition(&self, index: usize) -> Option<&ConfigurationPartition> {
        match &self.partitions.get(index)?.application {
            Application::Configuration(partition) => Some(partition),
            Application::Batch(_) => None,
        }
    }

    /// Whether the log takes the entry.
    fn propose_rollout_entry(&mut self, index: usize, entry: &Entry, waiter: Option<Waiter>) -> bool {
        let now = self.now;
        let host = &mut self.partitions[index];
        if let Err(error) = host.propose(now, entry.encode(), waiter) {
            warn!(%error, "roll-out entry not proposed");
            return false;
        }
        if let Application::Configuration(partition) = &mut host.application {
            partition.rollout_proposed();
        }
        true
    }

    /// The versions of services have changed, by the log or by what the leader says.
    pub(crate) fn versions_changed(&mut self, rollouts: Rollouts) {
        let revision = rollouts.revision();
        if !self.rollouts.update(self.now, rollouts) {
            return;
        }
        self.routing_changed = true;
        for versions in self.rollouts.policy.state().map(Rollouts::services).unwrap_or_default() {
            let ServiceVersions { service, in_force, rollout, .. } = versions;
            let target = rollout.as_ref().map(|rollout| rollout.target_version.as_str());
            let stage = rollout.as_ref().map(|rollout| stage_name(&rollout.stage));
            info!(revision, service, in_force, target, stage, "versions of a service");
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
        let has_versions_in_question = self.requests.routing.has_versions_in_question();
        let Some(interval) = self.rollouts.interval(has_versions_in_question) else { return };
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
        let call = Call::SyncRollouts(SyncRollouts {
            node: self.settings.node_name.as_str().to_owned(),
            revision: self.rollouts.policy.revision(),
            report: Vec::new(),
        });
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

/// The version that most executors of a service have, other than `except`.
fn prevalent_version(registry: &Registry, service: &str, except: Option<&str>) -> Option<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let executors = registry.executors().filter(|executor| executor.exists() && !executor.unresponsive);
    for Executor { report, .. } in executors.filter(|executor| executor.report.service == service) {
        *counts.entry(report.config_version.as_str()).or_default() += 1;
    }
    let others = counts.into_iter().filter(|(version, _)| Some(*version) != except && !version.is_empty());
    others.max_by_key(|(_, count)| *count).map(|(version, _)| version.to_owned())
}

/// The body of the answer to `Rollouts.Show`.
fn shown_rollout(versions: &ServiceVersions) -> Option<Vec<u8>> {
    let rollout = versions.rollout.as_ref()?;
    let state = match rollout.stage {
        Stage::Complete => "complete",
        Stage::Reverted => "reverted",
        Stage::Accepted | Stage::Canary { .. } | Stage::Partial | Stage::Shifted => "active",
    };
    let target = JsonValue::from(rollout.target_version.clone()).stringify().ok()?;
    Some(format!("{{\"state\":\"{state}\",\"target_version\":{target}}}").into_bytes())
}

/// The name of a stage in the log and in the status.
fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Accepted => "accepted",
        Stage::Canary { .. } => "canary",
        Stage::Partial => "partial",
        Stage::Shifted => "shifted",
        Stage::Complete => "complete",
        Stage::Reverted => "reverted",
    }
}

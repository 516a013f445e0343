//! New versions of services: the operator's orders, and what the leader of the configuration does about them.
//!
//! The state is that of the configuration's partition. How other nodes learn of it is up to `rollout_sync`.

use crate::control::api::{CONFIGURATION_PARTITION, OPERATOR_TIMEOUT};
use crate::control::configuration_partition::ConfigurationPartition;
use crate::control::partition_host::{Application, Waiter};
use crate::control::rollout_sync::NodeTime;
use crate::links::calls::{Continuation, OperatorRequestKind};
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use grebeusher_registry::{Executor, Registry};
use grebeusher_rollout::{Entry, OrderDecision, RolloutOrder, RolloutState, Rollouts, ServiceVersions};
use grebeusher_time::Duration;
use grebeusher_transport::http;
use std::collections::BTreeMap;
use tinyjson::JsonValue;
use tracing::warn;

/// A leader has heard of most executors by then, so that it can tell which version they have.
const OBSERVATION_DURATION: Duration = Duration::from_millis(1500);

impl Node {
    /// An operator's order. Where the rules of roll-outs are not in force nodes go by no versions, so none is taken.
    pub(crate) fn begin_rollout(&mut self, connection: usize, serial: u64, body: &[u8]) {
        if !self.rollouts.is_enforced() {
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
        let kind = OperatorRequestKind::Rollout;
        let continuation = Continuation::Operator { connection, serial, kind };
        self.call_leader(CONFIGURATION_PARTITION, call, self.now + OPERATOR_TIMEOUT, continuation);
    }

    /// An operator's order, at the leader or at a node that is taken for it.
    pub(crate) fn begin_rollout_at_leader(&mut self, waiter: Waiter, order: RolloutOrder) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let answer = |status| Reply::Answer { status, body: b"{}".to_vec() };
        let Some(partition) = self.configuration_partition(index) else { return };
        match partition.rollouts().decide_on(&order) {
            OrderDecision::AlreadyAccepted => return self.reply(waiter.peer, waiter.number, answer(200)),
            OrderDecision::OtherRolloutActive | OrderDecision::AlreadyInForce => {
                return self.reply(waiter.peer, waiter.number, answer(409));
            }
            OrderDecision::Accept => {}
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
        let begun_at_wall_ms = self.wall_ms();
        let entry = Entry::Begin { order, in_force: in_force.unwrap_or_default(), begun_at_wall_ms };
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
    pub(crate) fn sync_rollouts_at_leader(&mut self, waiter: Waiter, newer_than: u64) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Some(partition) = self.configuration_partition(index) else { return };
        let rollouts = partition.rollouts();
        let is_newer = rollouts.revision() > newer_than;
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
        if !self.rollouts.is_enforced() || self.now.since(leader_since) < OBSERVATION_DURATION {
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
    let state = match rollout.state {
        RolloutState::Active => "active",
        RolloutState::Reverted => "reverted",
    };
    let target = JsonValue::from(rollout.target_version.clone()).stringify().ok()?;
    Some(format!("{{\"state\":\"{state}\",\"target_version\":{target}}}").into_bytes())
}

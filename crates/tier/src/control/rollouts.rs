//! Roll-outs of new versions of services: the operator's orders, and their handling by the leader of the configuration.
//!
//! The state is part of the configuration partition. The other nodes learn of it by `rollout_sync`.

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

/// How long a leader waits before it determines the versions in force. By then it has received heartbeats of most executors.
const OBSERVATION_DURATION: Duration = Duration::from_millis(1500);

impl Node {
    /// Handles an operator's order. If the contract `rollout` is not in force, nodes ignore versions, and the order is refused.
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

    /// Handles an operator's call for the state of a roll-out.
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

    /// Handles an operator's order, which was sent to this node as the presumed leader.
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
            // The pending entry may be of the same order. The call is decided once that entry is committed.
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

    /// Replies with the state of a roll-out, if this node is the leader.
    pub(crate) fn show_rollout_at_leader(&mut self, waiter: Waiter, service: &str) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Some(partition) = self.configuration_partition(index) else { return };
        let reply = match partition.rollouts().service(service).and_then(rollout_json) {
            Some(body) => Reply::Answer { status: 200, body },
            None => Reply::Answer { status: 404, body: b"{}".to_vec() },
        };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Replies with the versions of all services if they are newer than those that the calling node knows.
    pub(crate) fn sync_rollouts_at_leader(&mut self, waiter: Waiter, newer_than: u64) {
        let Some(index) = self.led_index(CONFIGURATION_PARTITION, waiter) else { return };
        let Some(partition) = self.configuration_partition(index) else { return };
        let rollouts = partition.rollouts();
        let is_newer = rollouts.revision() > newer_than;
        let reply = if is_newer { Reply::Rollouts(rollouts.encode()) } else { Reply::Done };
        self.reply(waiter.peer, waiter.number, reply);
    }

    /// Proposes the entries that the leader of the configuration adds without an order: the version in force of each service,
    /// and the end of roll-outs whose time is over.
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

    /// Returns an entry with the version in force of a configured service for which none is recorded yet.
    fn next_version_in_force(&self, index: usize, rollouts: &Rollouts) -> Option<Entry> {
        let leader_since = self.partitions[index].leader_since()?;
        if !self.rollouts.is_enforced() || self.now.since(leader_since) < OBSERVATION_DURATION {
            return None;
        }
        let active = self.configuration.active()?;
        let services = active.routes.configuration().services.iter().map(|service| service.name.as_str());
        let unrecorded = services.filter(|service| rollouts.version_in_force(service).is_none());
        let mut entries = unrecorded.filter_map(|service| {
            let rollout = rollouts.service(service).and_then(|versions| versions.rollout.as_ref());
            let target = rollout.map(|rollout| rollout.target_version.as_str());
            let version = prevalent_version(&self.registry, service, target)?;
            Some(Entry::VersionInForce { service: service.to_owned(), version })
        });
        entries.next()
    }

    /// Whether the configuration in force has a service; `None` if there is no configuration.
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

    /// Proposes an entry. Returns whether the replica accepted the proposal.
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

/// Returns the version that most executors of a service have, except the version `except`.
fn prevalent_version(registry: &Registry, service: &str, except: Option<&str>) -> Option<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let executors = registry.executors().filter(|executor| executor.exists() && !executor.unresponsive);
    for Executor { report, .. } in executors.filter(|executor| executor.report.service == service) {
        *counts.entry(report.config_version.as_str()).or_default() += 1;
    }
    let others = counts.into_iter().filter(|(version, _)| Some(*version) != except && !version.is_empty());
    others.max_by_key(|(_, count)| *count).map(|(version, _)| version.to_owned())
}

/// Encodes the body of the answer to `Rollouts.Show`.
fn rollout_json(versions: &ServiceVersions) -> Option<Vec<u8>> {
    let rollout = versions.rollout.as_ref()?;
    let state = match rollout.state {
        RolloutState::Active => "active",
        RolloutState::Reverted => "reverted",
    };
    let target = JsonValue::from(rollout.target_version.clone()).stringify().ok()?;
    Some(format!("{{\"state\":\"{state}\",\"target_version\":{target}}}").into_bytes())
}

//! The HTTP interface of the control plane: heartbeats of executors, calls of the operator and readiness checks of the
//! platform.

use crate::control::partition_host::Waiter;
use crate::control::partition_status::PartitionReport;
use crate::control::retire::RetireQuestion;
use crate::links::calls::{Continuation, OperatorRequestKind};
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use crate::requests::exchange::ClientRequest;
use crate::requests::header_names as names;
use grebeusher_configuration::configuration::Configuration;
use grebeusher_registry::{Answer, CallToken, HeartbeatReport};
use grebeusher_time::Duration;
use grebeusher_transport::http;
use rustc_hash::FxHashMap;
use tracing::warn;

/// The partition that holds the configuration.
pub const CONFIGURATION_PARTITION: u8 = 0;
/// How long an operator's call may take. The operator retries at another node after a second without an answer; by then
/// this node answers with the outcome, or that the outcome is unknown.
pub(crate) const OPERATOR_TIMEOUT: Duration = Duration::from_millis(950);
/// How long a call that replaces a large configuration may take. The callers of these wait longer.
const LARGE_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1800);
/// The size in bytes above which a configuration is large.
const LARGE_CONFIGURATION_BYTES: usize = 256 * 1024;

/// The maximum length of the path of an unknown call in the log, in characters.
const MAX_LOGGED_PATH_CHARS: usize = 80;

/// The header of answers with a JSON body.
pub(crate) const JSON: (&str, &str) = ("Content-Type", "application/json");
/// The header of answers with a plain text body.
const TEXT: (&str, &str) = ("Content-Type", "text/plain");

/// The executors whose calls are answered once the other nodes have acknowledged them.
#[derive(Default)]
pub(crate) struct PendingAcknowledgements {
    waiters: FxHashMap<CallToken, ExecutorWaiter>,
}

/// The connection of an executor that waits for an answer.
struct ExecutorWaiter {
    connection: usize,
    serial: u64,
}

impl PendingAcknowledgements {
    fn add(&mut self, token: CallToken, connection: usize, serial: u64) {
        self.waiters.insert(token, ExecutorWaiter { connection, serial });
    }
}

impl Node {
    /// Answers a readiness check of the platform.
    pub fn readiness_request(&mut self, connection: usize, request: &ClientRequest) {
        let serial = self.serial(connection);
        let path = path_of(&request.head.target);
        let status = match (request.head.method.as_str(), path) {
            ("GET", "/api/readiness") if self.is_ready() => 200,
            ("GET", "/api/readiness") => 503,
            _ => 404,
        };
        self.answer(connection, serial, http::answer(status, &[], b""));
    }

    /// Handles a call of an executor or of the operator.
    pub fn control_request(&mut self, connection: usize, request: ClientRequest) {
        let serial = self.serial(connection);
        let path = path_of(&request.head.target).to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.head.method.as_str(), segments.as_slice()) {
            ("POST", ["api", "Instances.Heartbeat", id]) => self.heartbeat(connection, serial, id, &request),
            ("POST", ["api", "Instances.Deregister", id]) => self.deregister(connection, serial, id),
            ("POST", ["api", "Configuration.Replace"]) => {
                self.replace_configuration(connection, serial, request);
            }
            ("GET", ["api", "Configuration.Show"]) => self.show_configuration(connection, serial),
            ("POST", ["api", "Retire.Begin", node]) => {
                self.retire(connection, serial, node, RetireQuestion::Begin);
            }
            ("GET", ["api", "Retire.Show", node]) => {
                self.retire(connection, serial, node, RetireQuestion::Show);
            }
            ("POST", ["api", "Rollouts.Begin"]) => self.begin_rollout(connection, serial, &request.body),
            ("GET", ["api", "Rollouts.Show", service]) => self.show_rollout(connection, serial, service),
            ("GET", ["api", "readiness"]) => self.readiness_request(connection, &request),
            ("GET", ["api", "status"]) => {
                let body = self.status_text();
                self.answer(connection, serial, http::answer(200, &[], body.as_bytes()));
            }
            ("GET", ["api", "status", partition]) => match partition.parse() {
                Ok(partition) if partition <= crate::batch::api::BATCH_PARTITIONS => {
                    self.partition_request(connection, serial, partition);
                }
                _ => self.answer(connection, serial, http::answer(404, &[], b"")),
            },
            (method, _) => {
                let path: String = path.chars().take(MAX_LOGGED_PATH_CHARS).collect();
                warn!(method, path, "unknown call refused");
                self.answer(connection, serial, http::answer(404, &[], b""));
            }
        }
    }

    fn heartbeat(&mut self, connection: usize, serial: u64, id: &str, request: &ClientRequest) {
        match HeartbeatReport::parse(id, &request.body) {
            Ok(report) => {
                let effect = self.registry.heartbeat(self.now, report);
                match effect.answer {
                    Answer::Now => self.answer_heartbeat(connection, serial, effect.heartbeat_target),
                    Answer::Never => self.answer_not_acknowledged(connection, serial),
                    Answer::WhenAcknowledged(token) => self.acknowledgements.add(token, connection, serial),
                }
            }
            Err(_) => self.answer(connection, serial, http::answer(400, &[], b"")),
        }
        self.routing_changed = true;
    }

    fn answer_heartbeat(&mut self, connection: usize, serial: u64, target: Option<std::net::SocketAddrV4>) {
        let body = match target {
            Some(target) => format!("{{\"heartbeat_target\":\"{target}\"}}"),
            None => "{}".to_owned(),
        };
        self.answer(connection, serial, http::answer(200, &[JSON], body.as_bytes()));
    }

    fn deregister(&mut self, connection: usize, serial: u64, id: &str) {
        match self.registry.deregister(self.now, id) {
            Answer::Now => self.answer(connection, serial, http::answer(200, &[JSON], b"{}")),
            Answer::Never => self.answer_not_acknowledged(connection, serial),
            Answer::WhenAcknowledged(token) => self.acknowledgements.add(token, connection, serial),
        }
        self.routing_changed = true;
    }

    /// Answers the executors whose calls the other nodes have acknowledged, and those whose calls have timed out.
    pub(crate) fn answer_acknowledged(&mut self) {
        let completed = self.registry.take_completed_calls(self.now);
        for token in completed.acknowledged {
            if let Some(waiter) = self.acknowledgements.waiters.remove(&token) {
                self.answer(waiter.connection, waiter.serial, http::answer(200, &[JSON], b"{}"));
            }
        }
        for token in completed.rejected {
            if let Some(waiter) = self.acknowledgements.waiters.remove(&token) {
                self.answer_not_acknowledged(waiter.connection, waiter.serial);
            }
        }
    }

    /// Answers 503 to an executor whose call was not acknowledged, so that the executor retries at another node.
    fn answer_not_acknowledged(&mut self, connection: usize, serial: u64) {
        self.answer(connection, serial, http::answer(503, &[], b""));
    }

    fn replace_configuration(&mut self, connection: usize, serial: u64, request: ClientRequest) {
        let base = request.head.headers.get(names::BASE_VERSION).map(|text| text.trim().parse::<u64>());
        let base = match base {
            Some(Ok(base)) => base,
            None => 0,
            Some(Err(_)) => return self.answer(connection, serial, http::answer(400, &[], b"")),
        };
        if let Err(invalid) = Configuration::read(&request.body) {
            let reason = invalid.to_string();
            return self.answer(connection, serial, http::answer(400, &[], reason.as_bytes()));
        }
        let is_large = request.body.len() > LARGE_CONFIGURATION_BYTES;
        let timeout = if is_large { LARGE_CONFIGURATION_TIMEOUT } else { OPERATOR_TIMEOUT };
        if self.refuse_call_if_too_late(connection, timeout) {
            return;
        }
        let call = Call::ReplaceConfiguration { base, body: request.body };
        let kind = OperatorRequestKind::Replace;
        let continuation = Continuation::Operator { connection, serial, kind };
        self.call_leader(CONFIGURATION_PARTITION, call, self.now + timeout, continuation);
    }

    fn show_configuration(&mut self, connection: usize, serial: u64) {
        if self.refuse_call_if_too_late(connection, OPERATOR_TIMEOUT) {
            return;
        }
        let kind = OperatorRequestKind::Show;
        let continuation = Continuation::Operator { connection, serial, kind };
        self.call_leader(
            CONFIGURATION_PARTITION,
            Call::ShowConfiguration,
            self.now + OPERATOR_TIMEOUT,
            continuation,
        );
    }

    /// Forwards the operator's request for the status of a partition to the leader of the partition.
    fn partition_request(&mut self, connection: usize, serial: u64, partition: u8) {
        let kind = OperatorRequestKind::Partition;
        let continuation = Continuation::Operator { connection, serial, kind };
        let call = Call::ShowPartition { partition };
        self.call_leader(partition, call, self.now + OPERATOR_TIMEOUT, continuation);
    }

    /// Replies with the status of a partition that this node leads.
    pub(crate) fn show_partition_at_leader(&mut self, waiter: Waiter, partition: u8) {
        let Some(index) = self.led_index(partition, waiter) else { return };
        let report = PartitionReport {
            host: &self.partitions[index],
            registry: &self.registry,
            node_name: self.settings.node_name.as_str(),
            configuration_version: self.configuration.version(),
        };
        let body = report.to_string().into_bytes();
        self.reply(waiter.peer, waiter.number, Reply::Answer { status: 200, body });
    }

    /// Answers an operator's call with the reply of the leader.
    pub fn operator_reply(
        &mut self,
        connection: usize,
        serial: u64,
        kind: OperatorRequestKind,
        reply: Reply,
    ) {
        let answer = match (kind, reply) {
            (OperatorRequestKind::Partition, Reply::Answer { status, body }) => {
                http::answer(status, &[TEXT], &body)
            }
            (_, Reply::Answer { status, body }) => http::answer(status, &[JSON], &body),
            (OperatorRequestKind::Show, Reply::Configuration { version: 0, .. }) => {
                http::answer(404, &[], b"")
            }
            (OperatorRequestKind::Show, Reply::Configuration { body, .. }) => {
                http::answer(200, &[JSON], &body)
            }
            (_, Reply::Unclear) => http::answer(504, &[], b""),
            _ => http::answer(503, &[("Retry-After", "0.1")], b""),
        };
        self.answer(connection, serial, answer);
    }
}

/// Returns the path of a request target, without the query.
pub fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}

/// Returns the value of a query parameter of a request target.
pub fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

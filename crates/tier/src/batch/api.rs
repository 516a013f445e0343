//! The HTTP interface of batch jobs: checks clients' requests and forwards them to the leader of the job's
//! partition.

use crate::control::api::{path_of, query_value};
use crate::links::calls::{BatchRequestKind, Continuation};
use crate::links::messages::{Call, Reply, SubmitJob};
use crate::node::Node;
use crate::requests::exchange::ClientRequest;
use crate::requests::header_names as names;
use crate::requests::routing::STARTUP_RETRY_AFTER;
use grebeusher_batch::{JobId, SubmissionHead, read_submission};
use grebeusher_configuration::configuration::{Route, RouteType};
use grebeusher_hash::fixed_hash;
use grebeusher_time::{Duration, DurationExt};
use grebeusher_transport::http;
use nanoserde::SerBin;
use std::rc::Rc;
use tracing::debug;

/// The number of partitions that hold batch jobs. The configuration has a partition of its own, which is not
/// counted here.
pub const BATCH_PARTITIONS: u8 = 3;
/// The longest time that a read waits for a result, even if the client asks for more (milliseconds).
const MAX_HOLD_MS: u64 = 1000;
/// The time limit for reading or ending a job, in addition to the time that a read waits for a result.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// The time limit for submitting a job; clients wait at least this long. A job that is not accepted in time
/// is answered with a rejection, or with 504 if it may still be accepted.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// The minimum time that items are kept if the route sets no `retention_s` (milliseconds).
const DEFAULT_RETENTION_MS: u64 = 24 * 3600 * 1000;
/// The value of `Retry-After` in an answer of 429 or 503 to a batch request (seconds).
const RETRY_AFTER_S: &str = "0.3";

/// If the deployment is to tolerate at least this many machine losses at once, the jobs of one host are
/// spread over all partitions: a leader sends each byte to two replicas per tolerated loss, and the link of
/// one leader can't carry that for all jobs of a deployment. All nodes must always find the same partition
/// for a job, so the rule depends on a setting that is the same at all nodes.
const MIN_LOSSES_TO_SPREAD_JOBS: u32 = 2;

fn partition_hash(text: &str) -> u64 {
    // The low bits of this hash are the least evenly distributed ones, so they are dropped.
    fixed_hash(text) >> 17
}

/// The partition of a batch job. It depends on a hash of the job's host, the only name that all requests
/// about a job share, and if `spread` is set also on a hash of the job's id.
pub fn partition_of_job(host: &str, job: &str, spread: bool) -> u8 {
    let host_name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
    let job_hash = if spread { partition_hash(job) } else { 0 };
    let partition = partition_hash(&host_name).wrapping_add(job_hash) % u64::from(BATCH_PARTITIONS);
    1 + partition as u8
}

impl Node {
    /// Whether the jobs of one host are spread over all partitions.
    fn spreads_jobs(&self) -> bool {
        self.settings.fault_tolerance.machine_losses >= MIN_LOSSES_TO_SPREAD_JOBS
    }

    /// The most tokens that may wait on a route at one leader; 0 is no limit. If jobs are spread, each leader
    /// gets an equal share of the route's limit, but at least 1 token, so that the leaders together don't
    /// admit more than the limit. A leader whose share is used up may reject a job although other leaders
    /// could still admit it.
    fn queue_token_limit_per_leader(&self, queue_token_limit: u64) -> u64 {
        match queue_token_limit {
            0 => 0,
            limit if self.spreads_jobs() => (limit / u64::from(BATCH_PARTITIONS)).max(1),
            limit => limit,
        }
    }

    /// Handles a client's request, which reads, ends or submits a batch job or is a live request for an
    /// executor.
    pub fn client_request(&mut self, connection: usize, request: ClientRequest) {
        let serial = self.serial(connection);
        let Some(active) = self.configuration.active().cloned() else {
            let seconds = format!("{:.1}", STARTUP_RETRY_AFTER.seconds());
            let answer = http::answer(503, &[("Retry-After", &seconds)], b"");
            return self.answer(connection, serial, answer);
        };
        let host = request.head.headers.get("Host").unwrap_or_default().to_owned();
        let path = path_of(&request.head.target).to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.head.method.as_str(), segments.as_slice()) {
            ("GET", ["api", "lots", job]) => return self.read_job(connection, serial, &host, job, &request),
            ("DELETE", ["api", "lots", job]) => return self.end_job(connection, serial, &host, job),
            ("GET", ["api", "items", job]) => {
                return self.read_item(connection, serial, &host, job, &request);
            }
            _ => {}
        }
        let Some(route) = active.routes.find(&host, &path) else {
            return self.answer(connection, serial, http::answer(404, &[], b""));
        };
        if route.route_type == RouteType::Bulk {
            return self.submit_job(connection, serial, &host, &route, request);
        }
        if self.refuse_if_too_late(connection, &request, &route) {
            return;
        }
        if request.head.headers.get(names::ATTEMPT_ID).is_none() {
            return self.answer(connection, serial, http::answer(400, &[], b""));
        }
        let point = self.random_point();
        self.with_requests(|requests, context| {
            requests.start_exchange(context, connection, request, route, point);
        });
    }

    fn submit_job(
        &mut self,
        connection: usize,
        serial: u64,
        host: &str,
        route: &Rc<Route>,
        request: ClientRequest,
    ) {
        if request.head.method != "POST" {
            return self.answer(connection, serial, http::answer(405, &[], b""));
        }
        let Some(job) = request.head.headers.get(names::ATTEMPT_ID).and_then(JobId::new) else {
            return self.answer(connection, serial, http::answer(400, &[], b""));
        };
        let head = SubmissionHead {
            job,
            route: route.name.as_str().to_owned(),
            service: route.pick_service(self.random_point()).as_str().to_owned(),
            host: host.to_owned(),
        };
        let submission = match read_submission(head, &request.body) {
            Ok(submission) => submission,
            Err(error) => {
                let reason = error.to_string();
                return self.answer(connection, serial, http::answer(400, &[], reason.as_bytes()));
            }
        };
        if self.refuse_call_if_too_late(connection, SUBMIT_TIMEOUT) {
            return;
        }
        let partition = partition_of_job(host, submission.job.as_str(), self.spreads_jobs());
        let call = Call::SubmitJob(SubmitJob {
            partition,
            submission: SerBin::serialize_bin(&submission),
            completion_target_ms: route.completion_target_ms.unwrap_or(route.timeout_ms),
            retention_ms: route.retention_s.map_or(DEFAULT_RETENTION_MS, |seconds| (seconds * 1000.0) as u64),
            max_attempts: route.max_attempts,
            queue_token_limit: self.queue_token_limit_per_leader(route.queue_token_limit),
        });
        let continuation = Continuation::Batch { connection, serial, kind: BatchRequestKind::Submit };
        self.call_leader(partition, call, self.now + SUBMIT_TIMEOUT, continuation);
    }

    fn read_job(&mut self, connection: usize, serial: u64, host: &str, job: &str, request: &ClientRequest) {
        let resume_after =
            query_value(&request.head.target, "resume_after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let hold = request.head.headers.get(names::HOLD_MS).and_then(|text| text.trim().parse().ok());
        let hold_ms = hold.unwrap_or(0).min(MAX_HOLD_MS);
        let timeout = CALL_TIMEOUT + Duration::from_millis(hold_ms);
        if self.refuse_call_if_too_late(connection, timeout) {
            return;
        }
        let partition = partition_of_job(host, job, self.spreads_jobs());
        let call = Call::ReadJob { partition, job: job.to_owned(), resume_after, hold_ms: hold_ms as u32 };
        let continuation = Continuation::Batch { connection, serial, kind: BatchRequestKind::Read };
        self.call_leader(partition, call, self.now + timeout, continuation);
    }

    fn read_item(&mut self, connection: usize, serial: u64, host: &str, job: &str, request: &ClientRequest) {
        let Some(item) = query_value(&request.head.target, "instance_id") else {
            return self.answer(connection, serial, http::answer(400, &[], b""));
        };
        if self.refuse_call_if_too_late(connection, CALL_TIMEOUT) {
            return;
        }
        let partition = partition_of_job(host, job, self.spreads_jobs());
        let call = Call::ReadItem { partition, job: job.to_owned(), item: item.to_owned() };
        let continuation = Continuation::Batch { connection, serial, kind: BatchRequestKind::Read };
        self.call_leader(partition, call, self.now + CALL_TIMEOUT, continuation);
    }

    fn end_job(&mut self, connection: usize, serial: u64, host: &str, job: &str) {
        if self.refuse_call_if_too_late(connection, CALL_TIMEOUT) {
            return;
        }
        let partition = partition_of_job(host, job, self.spreads_jobs());
        let call = Call::EndJob { partition, job: job.to_owned() };
        let continuation = Continuation::Batch { connection, serial, kind: BatchRequestKind::End };
        self.call_leader(partition, call, self.now + CALL_TIMEOUT, continuation);
    }

    /// Answers a client's batch request with the leader's reply.
    pub fn batch_reply(&mut self, connection: usize, serial: u64, kind: BatchRequestKind, reply: Reply) {
        if !matches!(reply, Reply::Answer { status: 200 | 202, .. }) {
            debug!(question = ?kind, reply = reply.name(), "batch call ended");
        }
        let answer = match (kind, reply) {
            (_, Reply::Answer { status: 429, body }) => {
                http::answer(429, &[("Retry-After", RETRY_AFTER_S)], &body)
            }
            (_, Reply::Answer { status, body }) => {
                http::answer(status, &[("Content-Type", "application/json")], &body)
            }
            // The job may have been accepted, so the client must not get a status that promises that it will
            // not run.
            (BatchRequestKind::Submit, Reply::Unclear) => http::answer(504, &[], b""),
            _ => http::answer(503, &[("Retry-After", RETRY_AFTER_S)], b""),
        };
        self.answer(connection, serial, answer);
    }
}

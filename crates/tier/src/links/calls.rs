//! Calls between nodes: a number, a time limit, and another node when one does not answer or does not lead the partition.
//!
//! `PendingCalls` is a state machine apart from the links: it owns the calls that wait for a reply and the nodes that left one
//! unanswered. Each of its operations takes the time and the known peers by `PeerDirectory` and returns the `CallStep`
//! that the node is to take: send a frame, set a timer, or end the call.

use crate::control::active_configuration::FetchSource;
use crate::control::peer_directory::PeerDirectory;
use crate::links::messages::{Call, CallEnvelope, CallNumber, CallNumbers, OfferJob, Reply, ReplyEnvelope};
use crate::requests::not_executed::promises_not_executed;
use grebeusher_batch::Submission;
use grebeusher_time::{Duration, DurationExt, Instant};
use nanoserde::{DeBin, SerBin};
use rustc_hash::FxHashMap;
use std::net::SocketAddrV4;
use tracing::debug;

/// An attempt that is not answered by then is repeated at another node. Leaders answer once a quorum has synced.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// A node that has left a call unanswered, and has sent nothing since, is avoided for this long.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(2500);
/// A call that takes longer is logged.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(250);
/// What a large call gets at least of a link that others use too (bytes a second).
const MIN_LINK_BYTES_PER_S: u64 = 200_000;
/// What a page of results may take beyond the time that the leader may hold a read: it queues behind those of other readers.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause before the next attempt when no node led the partition.
const NO_LEADER_BACKOFF: Duration = Duration::from_millis(60);
/// The pause before a job is offered again that was refused while an earlier attempt may still be taken.
const REFUSED_BACKOFF: Duration = Duration::from_millis(200);
/// How often one round of attempts goes to the same node because others name it as the leader.
const MAX_HINTED_ATTEMPTS: usize = 2;
/// Batch jobs of this many bytes and more are offered before they are sent.
const MIN_OFFERED_BYTES: usize = 4 * 1024;

/// Who waits for the reply to a call.
#[derive(Clone, Debug)]
pub(crate) enum Continuation {
    /// An order or a question of the operator.
    Operator { connection: usize, serial: u64, question: OperatorQuestion },
    /// A batch call of a client.
    Batch { connection: usize, serial: u64, question: BatchQuestion },
    /// A configuration for this node itself.
    Configuration(FetchSource),
    /// A bootstrap that a replica confirms.
    Bootstrap { partition: u8, voter: u64 },
    /// Another node's call that this node passes on.
    Forwarded { peer: SocketAddrV4, number: CallNumber },
    /// One partition's verdict on a storage node that is to be emptied, for a request to all partitions.
    Retire { request: u64 },
}

/// What the operator asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorQuestion {
    /// `Configuration.Replace`.
    Replace,
    /// `Configuration.Show`.
    Show,
    /// The status of a partition.
    Partition,
}

/// What a client asked about a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchQuestion {
    /// A job is submitted.
    Submit,
    /// Results or a body are read.
    Read,
    /// The job is ended.
    End,
}

/// A call that waits for its reply.
struct PendingCall {
    call: Call,
    /// The partition whose leader is meant; `None`: one node is meant.
    partition: Option<u8>,
    to: Option<SocketAddrV4>,
    tried: Vec<SocketAddrV4>,
    began: Instant,
    until: Instant,
    expires: Instant,
    /// Whether an attempt was left unanswered, so that it may still be taken.
    may_be_taken: bool,
    /// What the last attempt sent.
    sent: Sent,
    continuation: Continuation,
}

/// What the last attempt of a call sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// There was none yet.
    Nothing,
    /// The call as it is.
    Complete,
    /// A batch job by its name and size only.
    Offer(Path),
}

/// Whether an attempt goes to the node that is to answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Direct,
    /// Another node forwards it.
    Relayed,
}

/// Where the next attempt of a call goes.
enum CallRoute {
    /// To the node that may answer it.
    Direct(SocketAddrV4),
    /// To a node that may reach the leader.
    Relay(SocketAddrV4),
    /// Nowhere yet: no leader of the partition is known.
    Later,
    /// No other node answers.
    Unreachable,
}

/// How much longer than usual a call may take without a fault: the leader holds reads, and large calls need their
/// time on links that many of them share. Guards against large calls being sent again and again while they wait in the
/// queue of a link: what was meant to help then keeps the leader's link full for good.
fn extra_time(call: &Call) -> Duration {
    let in_transit = |bytes: usize| Duration::from_nanos(bytes as u64 * 1_000_000_000 / MIN_LINK_BYTES_PER_S);
    match call {
        Call::ReadJob { hold_ms, .. } => Duration::from_millis(u64::from(*hold_ms)) + PAGE_TIMEOUT,
        Call::SubmitJob(submission) => in_transit(submission.submission.len()),
        Call::ReplaceConfiguration { body, .. } => in_transit(body.len()),
        // The relay tries more than one node.
        Call::Forward { call, .. } => ATTEMPT_TIMEOUT + in_transit(call.len()),
        _ => Duration::from_nanos(0),
    }
}

/// The reply that the caller gets. `may_be_taken`: an attempt was left unanswered and may still be taken; then the rejection of
/// another attempt is no promise that the job will not run, or that the change will not be committed, and is not passed on as
/// one.
pub fn final_reply(call: &Call, may_be_taken: bool, reply: Option<Reply>) -> Reply {
    match reply {
        None | Some(Reply::Unavailable) if may_be_taken => Reply::Unclear,
        None => Reply::Unavailable,
        Some(Reply::Answer { status, .. }) if may_be_taken && is_rejection_of_one_attempt(call, status) => {
            Reply::Unclear
        }
        Some(reply) => reply,
    }
}

/// Whether a rejection says nothing about another attempt of the call. A change that builds on a version which is not there yet is
/// rejected, and might be taken a moment later.
fn is_rejection_of_one_attempt(call: &Call, status: u16) -> bool {
    match call {
        Call::SubmitJob(_) => promises_not_executed(status),
        Call::ReplaceConfiguration { .. } => status == 412,
        _ => false,
    }
}

fn is_submission(call: &Call) -> bool {
    matches!(call, Call::SubmitJob(_))
}

fn forward_request(pending: &PendingCall, call: &Call, now: Instant) -> Call {
    let time_left_ms = pending.until.since(now).nanos() / 1_000_000;
    Call::Forward {
        partition: pending.partition.unwrap_or_default(),
        within_ms: u32::try_from(time_left_ms).unwrap_or(u32::MAX),
        call: SerBin::serialize_bin(call),
    }
}

/// The small call that asks after a batch job first; nothing for what is small itself.
fn offer_of(call: &Call) -> Option<Call> {
    let Call::SubmitJob(call) = call else { return None };
    if call.submission.len() < MIN_OFFERED_BYTES {
        return None;
    }
    let submission = <Submission as DeBin>::deserialize_bin(&call.submission).ok()?;
    Some(Call::OfferJob(OfferJob {
        partition: call.partition,
        job: submission.job.as_str().to_owned(),
        tokens: submission.tokens(),
        route: submission.route,
        queue_token_limit: call.queue_token_limit,
    }))
}

/// Whether a call is forwarded for a node whose offer of it was accepted.
fn offer_was_accepted(pending: &PendingCall) -> bool {
    pending.sent == Sent::Nothing && matches!(pending.continuation, Continuation::Forwarded { .. })
}

/// Which node is to answer a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallTarget {
    /// The leader of a partition, wherever it is.
    Leader(u8),
    /// One node.
    Node(SocketAddrV4),
}

/// What the node is to do for a call.
pub(crate) enum CallStep {
    /// Send this, and call [`PendingCalls::expire`] at `expires`.
    Send { target: SocketAddrV4, envelope: CallEnvelope, expires: Instant },
    /// Call [`PendingCalls::retry`] at this time.
    RetryAt { number: CallNumber, at: Instant },
    /// The call is over.
    End(EndedCall),
}

/// A call that is over.
pub(crate) struct EndedCall {
    /// Who waits for the reply.
    pub continuation: Continuation,
    /// The reply, also where none came.
    pub reply: Reply,
    /// The one node that was meant and did not answer.
    pub unresponsive: Option<SocketAddrV4>,
}

/// The calls of this node that wait for a reply.
pub(crate) struct PendingCalls {
    numbers: CallNumbers,
    calls: FxHashMap<CallNumber, PendingCall>,
    /// Nodes that left a call unanswered and have sent nothing since, and until when they are avoided.
    unresponsive: FxHashMap<SocketAddrV4, Instant>,
}

impl PendingCalls {
    /// No calls yet; the first one gets the first of `numbers`.
    pub fn new(numbers: CallNumbers) -> PendingCalls {
        PendingCalls { numbers, calls: FxHashMap::default(), unresponsive: FxHashMap::default() }
    }

    /// Begins a call that is over by `until`.
    pub fn begin(
        &mut self,
        target: CallTarget,
        call: Call,
        until: Instant,
        continuation: Continuation,
        peers: &PeerDirectory<'_>,
    ) -> Option<CallStep> {
        let (partition, to) = match target {
            CallTarget::Leader(partition) => (Some(partition), None),
            CallTarget::Node(node) => (None, Some(node)),
        };
        let pending = PendingCall {
            call,
            partition,
            to,
            tried: Vec::new(),
            began: peers.now,
            until,
            expires: until,
            may_be_taken: false,
            sent: Sent::Nothing,
            continuation,
        };
        let number = self.numbers.next_number();
        self.calls.insert(number, pending);
        self.attempt(number, peers)
    }

    /// Sends a call to the next node that may answer it.
    fn attempt(&mut self, number: CallNumber, peers: &PeerDirectory<'_>) -> Option<CallStep> {
        let now = peers.now;
        let pending = self.calls.get(&number)?;
        if now >= pending.until {
            return self.end(number, None, now);
        }
        match self.route_of(pending, peers) {
            CallRoute::Direct(target) => self.send_attempt(number, target, Path::Direct, now),
            CallRoute::Relay(relay) => self.send_attempt(number, relay, Path::Relayed, now),
            CallRoute::Later => self.retry_later(number, NO_LEADER_BACKOFF, now),
            CallRoute::Unreachable => self.nobody_reached(number, now),
        }
    }

    fn send_attempt(
        &mut self,
        number: CallNumber,
        target: SocketAddrV4,
        path: Path,
        now: Instant,
    ) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        let offer = if offer_was_accepted(pending) { None } else { offer_of(&pending.call) };
        pending.tried.push(target);
        if pending.partition.is_some() {
            pending.to = None;
        }
        pending.sent = if offer.is_some() { Sent::Offer(path) } else { Sent::Complete };
        let call = offer.unwrap_or_else(|| pending.call.clone());
        self.send(number, target, path, call, now)
    }

    fn send(
        &mut self,
        number: CallNumber,
        target: SocketAddrV4,
        path: Path,
        call: Call,
        now: Instant,
    ) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        pending.expires = (now + ATTEMPT_TIMEOUT + extra_time(&call)).min(pending.until);
        let call = match path {
            Path::Direct => call,
            Path::Relayed => forward_request(pending, &call, now),
        };
        let envelope = CallEnvelope { number, call };
        Some(CallStep::Send { target, envelope, expires: pending.expires })
    }

    /// No node can be reached: all are tried anew after a pause. If an attempt may have been taken the client had better ask
    /// another node.
    fn nobody_reached(&mut self, number: CallNumber, now: Instant) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        if pending.may_be_taken {
            return self.end(number, None, now);
        }
        pending.may_be_taken = pending.partition.is_some() && now >= pending.began + ATTEMPT_TIMEOUT;
        self.retry_later(number, NO_LEADER_BACKOFF, now)
    }

    /// The leader accepted the offer of a job: now it gets the bodies, on the path of the offer. The call goes on under
    /// another number. Guards against the late rejection of an offer being taken for one of the job, which may be taken.
    fn send_offered(&mut self, offered: CallNumber, leader: SocketAddrV4, now: Instant) -> Option<CallStep> {
        let mut pending = self.calls.remove(&offered)?;
        let complete = self.numbers.next_number();
        let path = match pending.sent {
            Sent::Offer(path) => path,
            Sent::Nothing | Sent::Complete => Path::Direct,
        };
        pending.sent = Sent::Complete;
        let call = pending.call.clone();
        self.calls.insert(complete, pending);
        self.send(complete, leader, path, call, now)
    }

    /// Where the next attempt of a call goes.
    fn route_of(&self, pending: &PendingCall, peers: &PeerDirectory<'_>) -> CallRoute {
        let Some(partition) = pending.partition else {
            return pending.to.map_or(CallRoute::Unreachable, CallRoute::Direct);
        };
        if let Some(to) = pending.to.filter(|to| self.is_responsive(to)) {
            return CallRoute::Direct(to);
        }
        let untried = |address: &SocketAddrV4| !pending.tried.contains(address);
        let leader = peers.leader(partition);
        if let Some(leader) = leader.filter(|leader| self.is_responsive(leader) && untried(leader)) {
            return CallRoute::Direct(leader);
        }
        let leader_is_cut_off = leader.is_some_and(|leader| !self.is_responsive(&leader));
        let may_be_relayed = !matches!(pending.continuation, Continuation::Forwarded { .. });
        if leader_is_cut_off
            && may_be_relayed
            && let Some(relay) = peers.relay_candidate(|edge| untried(edge) && self.is_responsive(edge))
        {
            return CallRoute::Relay(relay);
        }
        match peers.leader_candidate(partition, &pending.tried) {
            Some(candidate) => CallRoute::Direct(candidate),
            None if peers.any_other(|address| self.is_responsive(address)) => CallRoute::Later,
            None => CallRoute::Unreachable,
        }
    }

    fn is_responsive(&self, address: &SocketAddrV4) -> bool {
        !self.unresponsive.contains_key(address)
    }

    /// Something has come from a node: it can be reached.
    pub fn received_from(&mut self, peer: SocketAddrV4) {
        self.unresponsive.remove(&peer);
    }

    /// Forgets which nodes left calls unanswered long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.unresponsive.retain(|_, until| now < *until);
    }

    /// The time of an attempt is over.
    pub fn expire(&mut self, number: CallNumber, peers: &PeerDirectory<'_>) -> Option<CallStep> {
        let now = peers.now;
        let pending = self.calls.get_mut(&number)?;
        if now < pending.expires {
            return None;
        }
        // Nobody takes a job by its offer.
        pending.may_be_taken |= pending.sent == Sent::Complete;
        let unresponsive = pending.tried.last().copied();
        let is_for_leader = pending.partition.is_some();
        if let Some(node) = unresponsive {
            self.unresponsive.insert(node, now + UNRESPONSIVE_TTL);
        }
        if is_for_leader {
            return self.attempt(number, peers);
        }
        let ended = self.remove(number, None, now)?;
        Some(CallStep::End(EndedCall { unresponsive, ..ended }))
    }

    /// A reply has come.
    pub fn receive_reply(
        &mut self,
        from: SocketAddrV4,
        envelope: ReplyEnvelope,
        peers: &PeerDirectory<'_>,
    ) -> Option<CallStep> {
        let now = peers.now;
        let number = envelope.number;
        let pending = self.calls.get_mut(&number)?;
        match envelope.reply {
            Reply::NotLeader { leader } if pending.partition.is_some() => {
                let hinted = leader.and_then(|name| peers.address_of(&name)).filter(|&hinted| hinted != from);
                pending.follow_hint(hinted);
                self.attempt(number, peers)
            }
            // The leader lost the partition before the job was decided: the next leader has it, or is sent it.
            Reply::Unclear if is_submission(&pending.call) => {
                pending.may_be_taken = true;
                self.retry_later(number, NO_LEADER_BACKOFF, now)
            }
            // No promise can be made of a job of which an attempt may be under way, but it may still be taken.
            Reply::Answer { status, .. }
                if pending.may_be_taken
                    && is_rejection_of_one_attempt(&pending.call, status)
                    && is_submission(&pending.call) =>
            {
                self.retry_later(number, REFUSED_BACKOFF, now)
            }
            Reply::Unavailable if pending.partition.is_some() => {
                self.retry_later(number, NO_LEADER_BACKOFF, now)
            }
            Reply::Wanted if matches!(pending.sent, Sent::Offer(_)) => self.send_offered(number, from, now),
            reply => self.end(number, Some(reply), now),
        }
    }

    /// All nodes are to be tried anew after a pause.
    fn retry_later(&mut self, number: CallNumber, pause: Duration, now: Instant) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        pending.expires = (now + pause).min(pending.until);
        pending.tried.clear();
        Some(CallStep::RetryAt { number, at: pending.expires })
    }

    /// The pause before another attempt is over.
    pub fn retry(&mut self, number: CallNumber, peers: &PeerDirectory<'_>) -> Option<CallStep> {
        let is_due = self.calls.get(&number).is_some_and(|pending| peers.now >= pending.expires);
        is_due.then(|| self.attempt(number, peers)).flatten()
    }

    fn end(&mut self, number: CallNumber, reply: Option<Reply>, now: Instant) -> Option<CallStep> {
        self.remove(number, reply, now).map(CallStep::End)
    }

    fn remove(&mut self, number: CallNumber, reply: Option<Reply>, now: Instant) -> Option<EndedCall> {
        let pending = self.calls.remove(&number)?;
        let duration = now.since(pending.began);
        if duration > SLOW_CALL_THRESHOLD {
            let (partition, attempts) = (pending.partition, pending.tried.len());
            debug!(partition, attempts, seconds = duration.seconds(), "slow call");
        }
        let reply = final_reply(&pending.call, pending.may_be_taken, reply);
        Some(EndedCall { continuation: pending.continuation, reply, unresponsive: None })
    }
}

impl PendingCall {
    /// The next attempt goes to the leader that another node named, unless that one was tried twice already.
    fn follow_hint(&mut self, hinted: Option<SocketAddrV4>) {
        let Some(hinted) = hinted else { return };
        if self.tried.iter().filter(|&&tried| tried == hinted).count() < MAX_HINTED_ATTEMPTS {
            self.to = Some(hinted);
        }
    }
}

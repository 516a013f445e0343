//! Calls between nodes. Each call has a number and a time limit, and is repeated at another node if a node
//! does not answer or does not lead the partition.
//!
//! `PendingCalls` is a state machine that does not depend on the links: it owns the calls that wait for a
//! reply, and the list of nodes that did not answer one. Each of its operations gets the time and the known
//! peers in a `PeerDirectory` and returns the `CallStep` that the node is to carry out: send a frame, set a
//! timer, or end the call.
//!
//! `pending_call` holds the state of one call, `time_limits` the time limits of attempts, `final_reply`
//! determines the reply that the caller gets, and `continuation` says who the caller is.

mod continuation;
mod final_reply;
mod pending_call;
mod time_limits;

pub use continuation::{BatchRequestKind, OperatorRequestKind};
pub use final_reply::final_reply;

pub(crate) use continuation::Continuation;
use final_reply::is_rejection_of_one_attempt;
use pending_call::{AttemptPath, PendingCall, Sent};
use time_limits::{ATTEMPT_TIMEOUT, attempt_timeout};

use crate::control::peer_directory::PeerDirectory;
use crate::links::messages::{Call, CallEnvelope, CallNumber, CallNumbers, Reply, ReplyEnvelope};
use grebeusher_time::{Duration, DurationExt, Instant};
use rustc_hash::FxHashMap;
use std::net::SocketAddrV4;
use tracing::debug;

/// A node that has not answered a call, and has sent nothing since, is avoided for this long.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(2500);
/// A call that takes longer than this is logged.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(250);
/// The pause before the next attempt if no node led the partition.
const NO_LEADER_BACKOFF: Duration = Duration::from_millis(60);
/// The pause before a job is offered again that was rejected although an earlier attempt may still be
/// accepted.
const REJECTED_BACKOFF: Duration = Duration::from_millis(200);

/// The destination of the next attempt of a call.
enum CallRoute {
    /// The attempt goes to the node that may answer it.
    Direct(SocketAddrV4),
    /// The attempt goes to a node that may reach the leader.
    Relay(SocketAddrV4),
    /// The attempt has to wait, as no leader of the partition is known.
    Later,
    /// No other node is responsive.
    Unreachable,
}

/// The node that is to answer a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallTarget {
    /// The leader of a partition, whichever node that is.
    Leader(u8),
    /// The node at an address.
    Node(SocketAddrV4),
}

/// The next step of a call, which the node is to carry out.
pub(crate) enum CallStep {
    /// Send the envelope to the target, and call [`PendingCalls::expire`] at `timeout_at`.
    Send { target: SocketAddrV4, envelope: CallEnvelope, timeout_at: Instant },
    /// Call [`PendingCalls::retry`] for this call at the time `at`.
    RetryAt { number: CallNumber, at: Instant },
    /// Pass the reply to its receiver, as the call has ended.
    End(EndedCall),
}

/// A call that has ended.
pub(crate) struct EndedCall {
    /// The receiver of the reply.
    pub continuation: Continuation,
    /// The reply that the receiver gets, even if no node replied.
    pub reply: Reply,
    /// The node that the call was for, if the call was for one particular node and it did not answer.
    pub unresponsive: Option<SocketAddrV4>,
}

/// The calls of this node that wait for a reply.
pub(crate) struct PendingCalls {
    numbers: CallNumbers,
    calls: FxHashMap<CallNumber, PendingCall>,
    /// The nodes that did not answer a call and have sent nothing since, with the times until which they are
    /// avoided.
    unresponsive: FxHashMap<SocketAddrV4, Instant>,
}

impl PendingCalls {
    /// Creates the state without any calls. The calls get their numbers from `numbers`.
    pub fn new(numbers: CallNumbers) -> PendingCalls {
        PendingCalls { numbers, calls: FxHashMap::default(), unresponsive: FxHashMap::default() }
    }

    /// Begins a call that ends at `deadline` at the latest.
    pub fn begin(
        &mut self,
        target: CallTarget,
        call: Call,
        deadline: Instant,
        continuation: Continuation,
        peers: &PeerDirectory<'_>,
    ) -> Option<CallStep> {
        let (partition, next_node) = match target {
            CallTarget::Leader(partition) => (Some(partition), None),
            CallTarget::Node(node) => (None, Some(node)),
        };
        let pending = PendingCall {
            call,
            partition,
            next_node,
            tried_nodes: Vec::new(),
            started_at: peers.now,
            deadline,
            timeout_at: deadline,
            may_be_accepted: false,
            sent: Sent::Nothing,
            continuation,
        };
        let number = self.numbers.next_number();
        self.calls.insert(number, pending);
        self.attempt(number, peers)
    }

    /// Begins the next attempt of a call, or ends the call if its time is over.
    fn attempt(&mut self, number: CallNumber, peers: &PeerDirectory<'_>) -> Option<CallStep> {
        let now = peers.now;
        let pending = self.calls.get(&number)?;
        if now >= pending.deadline {
            return self.end(number, None, now);
        }
        match self.choose_route(pending, peers) {
            CallRoute::Direct(target) => self.send_attempt(number, target, AttemptPath::Direct, now),
            CallRoute::Relay(relay) => self.send_attempt(number, relay, AttemptPath::Relayed, now),
            CallRoute::Later => self.retry_later(number, NO_LEADER_BACKOFF, now),
            CallRoute::Unreachable => self.handle_unreachable(number, now),
        }
    }

    /// Sends an attempt to a node: the offer of a large job that is not offered yet, otherwise the complete
    /// call.
    fn send_attempt(
        &mut self,
        number: CallNumber,
        target: SocketAddrV4,
        path: AttemptPath,
        now: Instant,
    ) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        let offer = if pending.offer_was_accepted() { None } else { pending.offer() };
        pending.tried_nodes.push(target);
        if pending.partition.is_some() {
            pending.next_node = None;
        }
        pending.sent = if offer.is_some() { Sent::Offer(path) } else { Sent::Complete };
        let call = offer.unwrap_or_else(|| pending.call.clone());
        self.send(number, target, path, call, now)
    }

    /// Sends `call` to a node, wrapped for forwarding if the node is a relay, and sets the time-out of the
    /// attempt.
    fn send(
        &mut self,
        number: CallNumber,
        target: SocketAddrV4,
        path: AttemptPath,
        call: Call,
        now: Instant,
    ) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        pending.timeout_at = (now + attempt_timeout(&call)).min(pending.deadline);
        let call = match path {
            AttemptPath::Direct => call,
            AttemptPath::Relayed => pending.wrap_for_relay(&call, now),
        };
        let envelope = CallEnvelope { number, call };
        Some(CallStep::Send { target, envelope, timeout_at: pending.timeout_at })
    }

    /// Handles that no node can be reached: all are tried again after a pause. If an attempt may have been
    /// accepted, the call ends instead, so that the client can ask another node.
    fn handle_unreachable(&mut self, number: CallNumber, now: Instant) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        if pending.may_be_accepted {
            return self.end(number, None, now);
        }
        pending.may_be_accepted = pending.partition.is_some() && now >= pending.started_at + ATTEMPT_TIMEOUT;
        self.retry_later(number, NO_LEADER_BACKOFF, now)
    }

    /// Sends a job with its bodies after the leader accepted its offer, on the same path as the offer. The
    /// call continues under a new number. Otherwise the late rejection of an earlier offer would be mistaken
    /// for a rejection of the job, which may be accepted.
    fn send_offered(
        &mut self,
        offer_number: CallNumber,
        leader: SocketAddrV4,
        now: Instant,
    ) -> Option<CallStep> {
        let mut pending = self.calls.remove(&offer_number)?;
        let submission_number = self.numbers.next_number();
        let path = match pending.sent {
            Sent::Offer(path) => path,
            Sent::Nothing | Sent::Complete => AttemptPath::Direct,
        };
        pending.sent = Sent::Complete;
        let call = pending.call.clone();
        self.calls.insert(submission_number, pending);
        self.send(submission_number, leader, path, call, now)
    }

    /// Chooses the destination of the next attempt of a call.
    fn choose_route(&self, pending: &PendingCall, peers: &PeerDirectory<'_>) -> CallRoute {
        let Some(partition) = pending.partition else {
            return pending.next_node.map_or(CallRoute::Unreachable, CallRoute::Direct);
        };
        if let Some(node) = pending.next_node.filter(|node| self.is_responsive(node)) {
            return CallRoute::Direct(node);
        }
        let untried = |address: &SocketAddrV4| !pending.tried_nodes.contains(address);
        let leader = peers.leader(partition);
        if let Some(leader) = leader.filter(|leader| self.is_responsive(leader) && untried(leader)) {
            return CallRoute::Direct(leader);
        }
        let leader_is_unresponsive = leader.is_some_and(|leader| !self.is_responsive(&leader));
        let may_be_relayed = !matches!(pending.continuation, Continuation::Forwarded { .. });
        if leader_is_unresponsive
            && may_be_relayed
            && let Some(relay) = peers.relay_candidate(|edge| untried(edge) && self.is_responsive(edge))
        {
            return CallRoute::Relay(relay);
        }
        match peers.leader_candidate(partition, &pending.tried_nodes) {
            Some(candidate) => CallRoute::Direct(candidate),
            None if peers.any_other(|address| self.is_responsive(address)) => CallRoute::Later,
            None => CallRoute::Unreachable,
        }
    }

    /// Whether a node is not in the list of nodes to avoid.
    fn is_responsive(&self, address: &SocketAddrV4) -> bool {
        !self.unresponsive.contains_key(address)
    }

    /// Notes that a frame has arrived from a node, which shows that it is responsive.
    pub fn received_from(&mut self, peer: SocketAddrV4) {
        self.unresponsive.remove(&peer);
    }

    /// Stops avoiding the nodes whose time in the list of unresponsive ones is over.
    pub fn sweep(&mut self, now: Instant) {
        self.unresponsive.retain(|_, until| now < *until);
    }

    /// Handles the time-out of an attempt.
    pub fn expire(&mut self, number: CallNumber, peers: &PeerDirectory<'_>) -> Option<CallStep> {
        let now = peers.now;
        let pending = self.calls.get_mut(&number)?;
        if now < pending.timeout_at {
            return None;
        }
        // An offer alone never makes the leader accept a job.
        pending.may_be_accepted |= pending.sent == Sent::Complete;
        let unresponsive = pending.tried_nodes.last().copied();
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

    /// Handles a reply.
    pub fn handle_reply(
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
                pending.follow_leader_hint(hinted);
                self.attempt(number, peers)
            }
            // The leader lost its leadership before the job was committed. The next leader knows the job or
            // will be sent it.
            Reply::Unclear if pending.is_submission() => {
                pending.may_be_accepted = true;
                self.retry_later(number, NO_LEADER_BACKOFF, now)
            }
            // Another attempt may still be accepted, so the rejection can't be passed on; the job is offered
            // again later.
            Reply::Answer { status, .. }
                if pending.may_be_accepted
                    && is_rejection_of_one_attempt(&pending.call, status)
                    && pending.is_submission() =>
            {
                self.retry_later(number, REJECTED_BACKOFF, now)
            }
            Reply::Unavailable if pending.partition.is_some() => {
                self.retry_later(number, NO_LEADER_BACKOFF, now)
            }
            Reply::Wanted if matches!(pending.sent, Sent::Offer(_)) => self.send_offered(number, from, now),
            reply => self.end(number, Some(reply), now),
        }
    }

    /// Starts a new round of attempts, in which all nodes may be tried again, after a pause.
    fn retry_later(&mut self, number: CallNumber, pause: Duration, now: Instant) -> Option<CallStep> {
        let pending = self.calls.get_mut(&number)?;
        pending.timeout_at = (now + pause).min(pending.deadline);
        pending.tried_nodes.clear();
        Some(CallStep::RetryAt { number, at: pending.timeout_at })
    }

    /// Handles the end of the pause before the next attempt.
    pub fn retry(&mut self, number: CallNumber, peers: &PeerDirectory<'_>) -> Option<CallStep> {
        let is_due = self.calls.get(&number).is_some_and(|pending| peers.now >= pending.timeout_at);
        is_due.then(|| self.attempt(number, peers)).flatten()
    }

    /// Ends a call with the last reply that has arrived, if any.
    fn end(&mut self, number: CallNumber, reply: Option<Reply>, now: Instant) -> Option<CallStep> {
        self.remove(number, reply, now).map(CallStep::End)
    }

    /// Removes a call that has ended, and determines its final reply.
    fn remove(&mut self, number: CallNumber, reply: Option<Reply>, now: Instant) -> Option<EndedCall> {
        let pending = self.calls.remove(&number)?;
        let duration = now.since(pending.started_at);
        if duration > SLOW_CALL_THRESHOLD {
            let (partition, attempts) = (pending.partition, pending.tried_nodes.len());
            debug!(partition, attempts, seconds = duration.seconds(), "slow call");
        }
        let reply = final_reply(&pending.call, pending.may_be_accepted, reply);
        Some(EndedCall { continuation: pending.continuation, reply, unresponsive: None })
    }
}

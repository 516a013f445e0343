//! Calls between nodes: a number, a time limit, and another node when one does not answer or does not own the partition.

use crate::links::messages::{Call, CallEnvelope, CallNumber, Channel, OfferJob, Reply, ReplyEnvelope};
use crate::node::Node;
use crate::requests::not_executed::promises_not_executed;
use crate::runtime::timers::Timer;
use grebeusher_batch::Submission;
use grebeusher_registry::Class;
use grebeusher_time::{Duration, DurationExt, Instant};
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddrV4;
use tracing::debug;

/// A node that has not answered by then is left for another one. Leaders answer once a quorum has synced.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// A node that has left a call unanswered, and has said nothing since, is gone round for this long.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(2500);
/// A call that takes longer is told in the log.
const SLOW_CALL: Duration = Duration::from_millis(250);
/// What a large call gets at least of a link that others use too (bytes a second).
const SLOWEST_BYTES_PER_S: u64 = 200_000;
/// What a page of results may take beside the time that a read is held: it waits behind those of other readers.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause before a node is asked again when none led the partition.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(60);
/// The pause before a job is offered again that was refused while a copy of it may be under way.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// Batch jobs of this many bytes and more are offered before they are sent.
const OFFERED_FROM: usize = 4 * 1024;

/// Who waits for the reply to a call.
#[derive(Clone, Debug)]
pub enum Continuation {
    /// An order or a question of the operator.
    Operator { connection: usize, serial: u64, question: OperatorQuestion },
    /// A batch call of a client.
    Batch { connection: usize, serial: u64, question: BatchQuestion },
    /// A configuration that a peer has and this node has not.
    Configuration,
    /// The configuration that this node starts with, from its leader.
    FirstConfiguration,
    /// A founding that a replica confirms.
    Founding { partition: u8, voter: u64 },
    /// Another node's call that this node passes on.
    Forwarded { peer: SocketAddrV4, number: CallNumber },
    /// One partition's word on whether a storage node is empty, for a question to all partitions.
    Retire { gathering: u64 },
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
    /// A job is handed in.
    Submit,
    /// Results or a body are read.
    Read,
    /// The job is ended.
    End,
}

/// A call that waits for its reply.
pub struct PendingCall {
    call: Call,
    /// The partition whose leader is meant; `None`: one node is meant.
    partition: Option<u8>,
    to: Option<SocketAddrV4>,
    tried: Vec<SocketAddrV4>,
    began: Instant,
    until: Instant,
    expires: Instant,
    /// Whether a node may have taken it without this node hearing so.
    unheard: bool,
    /// How it was sent last.
    sent: Sent,
    continuation: Continuation,
}

/// How a call was sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// Not yet.
    Never,
    /// As it is.
    Whole,
    /// A batch job by its name only.
    Offer {
        /// Whether by way of another node.
        relayed: bool,
    },
}

/// Which way a call goes.
enum CallRoute {
    /// To the node that may answer it.
    Direct(SocketAddrV4),
    /// By way of a node that may reach the leader.
    By(SocketAddrV4),
    /// The partition has no leader that is known: again after a pause.
    Later,
    /// No other node answers.
    Nobody,
}

/// How much longer than usual a call may take without anything being wrong: reads are held, and large calls need their
/// time on links that many of them share. Guards against large calls being sent again and again while they wait in the
/// queue of a link: what was meant to help then keeps the leader's link full for good.
fn held_for(call: &Call) -> Duration {
    let on_the_way = |bytes: usize| Duration::from_nanos(bytes as u64 * 1_000_000_000 / SLOWEST_BYTES_PER_S);
    match call {
        Call::ReadJob { hold_ms, .. } => Duration::from_millis(u64::from(*hold_ms)) + PAGE_TIMEOUT,
        Call::SubmitJob(submission) => on_the_way(submission.submission.len()),
        Call::ReplaceConfiguration { body, .. } => on_the_way(body.len()),
        // The relay tries more than one node.
        Call::Forward { call, .. } => ATTEMPT_TIMEOUT + on_the_way(call.len()),
        _ => Duration::from_nanos(0),
    }
}

/// What a call has come to. `unheard`: a node that it was sent to has left it unanswered, so that a copy may still be on
/// its way or be under way there; then a refusal of another copy is no promise that the job will not run, or that the change
/// will not be taken, and none is passed on as one.
pub fn settled(call: &Call, unheard: bool, reply: Option<Reply>) -> Reply {
    match reply {
        None | Some(Reply::Unavailable) if unheard => Reply::Unclear,
        None => Reply::Unavailable,
        Some(Reply::Answer { status, .. }) if unheard && is_open_refusal(call, status) => Reply::Unclear,
        Some(reply) => reply,
    }
}

/// Whether a refusal says nothing of another copy of the call. A change that builds on a version which is not there yet is
/// refused, and might be taken a moment later.
fn is_open_refusal(call: &Call, status: u16) -> bool {
    match call {
        Call::SubmitJob(_) => promises_not_executed(status),
        Call::ReplaceConfiguration { .. } => status == 412,
        _ => false,
    }
}

fn is_submission(call: &Call) -> bool {
    matches!(call, Call::SubmitJob(_))
}

fn forwarded(pending: &PendingCall, call: &Call, now: Instant) -> Call {
    let within = pending.until.since(now).nanos() / 1_000_000;
    Call::Forward {
        partition: pending.partition.unwrap_or_default(),
        within_ms: u32::try_from(within).unwrap_or(u32::MAX),
        call: SerBin::serialize_bin(call),
    }
}

/// The small call that asks after a batch job first; nothing for what is small itself.
fn offer_of(call: &Call) -> Option<Call> {
    let Call::SubmitJob(call) = call else { return None };
    if call.submission.len() < OFFERED_FROM {
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

/// Whether a call is passed on for a node whose offer of it was taken up.
fn was_wanted(pending: &PendingCall) -> bool {
    pending.sent == Sent::Never && matches!(pending.continuation, Continuation::Forwarded { .. })
}

impl Node {
    /// Calls the leader of a partition, wherever it is, until `until`.
    pub fn call_leader(&mut self, partition: u8, call: Call, until: Instant, continuation: Continuation) {
        self.begin_call(Some(partition), None, call, until, continuation);
    }

    /// Calls one node.
    pub fn call_node(&mut self, to: SocketAddrV4, call: Call, until: Instant, continuation: Continuation) {
        self.begin_call(None, Some(to), call, until, continuation);
    }

    fn begin_call(
        &mut self,
        partition: Option<u8>,
        to: Option<SocketAddrV4>,
        call: Call,
        until: Instant,
        continuation: Continuation,
    ) {
        let pending = PendingCall {
            call,
            partition,
            to,
            tried: Vec::new(),
            began: self.now,
            until,
            expires: until,
            unheard: false,
            sent: Sent::Never,
            continuation,
        };
        let number = self.call_numbers.next_number();
        self.calls.insert(number, pending);
        self.try_call(number);
    }

    /// Sends a call to the next node that may answer it.
    pub fn try_call(&mut self, number: CallNumber) {
        let now = self.now;
        let Some(pending) = self.calls.get(&number) else { return };
        if now >= pending.until {
            return self.end_call(number, None);
        }
        let route = self.route_of(pending);
        let nobody = matches!(route, CallRoute::Nobody);
        let offer = match route {
            CallRoute::Direct(_) if was_wanted(pending) => None,
            CallRoute::Direct(_) | CallRoute::By(_) => offer_of(&pending.call),
            CallRoute::Later | CallRoute::Nobody => None,
        };
        let Some(pending) = self.calls.get_mut(&number) else { return };
        let (target, relayed) = match route {
            CallRoute::Direct(target) => (target, false),
            CallRoute::By(relay) => (relay, true),
            // Nobody can be reached: the client had better ask another node.
            CallRoute::Nobody if pending.unheard => return self.end_call(number, None),
            CallRoute::Nobody | CallRoute::Later => {
                // All were asked, or none is known yet: from the start, after a pause.
                pending.unheard |=
                    nobody && pending.partition.is_some() && now >= pending.began + ATTEMPT_TIMEOUT;
                return self.call_later(number, NO_LEADER_PAUSE);
            }
        };
        pending.tried.push(target);
        if pending.partition.is_some() {
            pending.to = None;
        }
        pending.sent = if offer.is_some() { Sent::Offer { relayed } } else { Sent::Whole };
        let call = offer.unwrap_or_else(|| pending.call.clone());
        self.send_call(number, target, relayed, call);
    }

    /// Sends a call to a node, or by way of it.
    fn send_call(&mut self, number: CallNumber, target: SocketAddrV4, relayed: bool, call: Call) {
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&number) else { return };
        pending.expires = (now + ATTEMPT_TIMEOUT + held_for(&call)).min(pending.until);
        let expires = pending.expires;
        let call = if relayed { forwarded(pending, &call, now) } else { call };
        self.alarms.set(expires, Timer::CallExpires { number });
        self.send_frame(target, Channel::Call, &SerBin::serialize_bin(&CallEnvelope { number, call }));
    }

    /// A leader wants the job that it was offered: now it gets the bodies, the way that the offer went. The call goes on
    /// under another number. Guards against the late refusal of an offer being taken for one of the job, which may be taken.
    fn send_wanted(&mut self, offered: CallNumber, leader: SocketAddrV4) {
        let Some(mut pending) = self.calls.remove(&offered) else { return };
        let whole = self.call_numbers.next_number();
        let relayed = pending.sent == Sent::Offer { relayed: true };
        pending.sent = Sent::Whole;
        let call = pending.call.clone();
        self.calls.insert(whole, pending);
        self.send_call(whole, leader, relayed, call);
    }

    /// Which way a call goes now.
    fn route_of(&self, pending: &PendingCall) -> CallRoute {
        let reachable = |address: &SocketAddrV4| !self.unheard.contains_key(address);
        let Some(partition) = pending.partition else {
            return pending.to.map_or(CallRoute::Nobody, CallRoute::Direct);
        };
        if let Some(to) = pending.to.filter(reachable) {
            return CallRoute::Direct(to);
        }
        let untried = |address: &SocketAddrV4| !pending.tried.contains(address);
        let leader = self.known_leader(partition);
        if let Some(leader) = leader.filter(|leader| reachable(leader) && untried(leader)) {
            return CallRoute::Direct(leader);
        }
        let cut_off = leader.is_some_and(|leader| !reachable(&leader));
        let may_pass_on = !matches!(pending.continuation, Continuation::Forwarded { .. });
        if cut_off
            && may_pass_on
            && let Some(relay) = self.relay_candidate(&pending.tried)
        {
            return CallRoute::By(relay);
        }
        match self.leader_candidate(partition, &pending.tried) {
            Some(candidate) => CallRoute::Direct(candidate),
            None if self.reaches_anybody() => CallRoute::Later,
            None => CallRoute::Nobody,
        }
    }

    /// A node that may reach a leader which this one can't: any edge node that answers.
    fn relay_candidate(&self, tried: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let edges = self.registry.live_members().filter(|member| member.class == Class::Edge);
        let others = edges.map(|member| member.address).filter(|address| *address != self.internal_address);
        let usable: Vec<SocketAddrV4> = others
            .filter(|address| !tried.contains(address) && !self.unheard.contains_key(address))
            .collect();
        usable.get(self.now.0 as usize % usable.len().max(1)).copied()
    }

    fn reaches_anybody(&self) -> bool {
        let mut others = self.registry.live_members().map(|member| member.address);
        others.any(|address| address != self.internal_address && !self.unheard.contains_key(&address))
    }

    /// Passes a call of another node on to the leader of a partition.
    pub fn forward_call(
        &mut self,
        peer: SocketAddrV4,
        number: CallNumber,
        partition: u8,
        within_ms: u32,
        call: &[u8],
    ) {
        let Ok(call) = <Call as DeBin>::deserialize_bin(call) else { return };
        let until = self.now + Duration::from_millis(u64::from(within_ms));
        self.call_leader(partition, call, until, Continuation::Forwarded { peer, number });
    }

    /// A node has said something: it can be reached.
    pub fn heard_from(&mut self, peer: SocketAddrV4) {
        if !self.unheard.is_empty() {
            self.unheard.remove(&peer);
        }
    }

    /// Forgets which nodes left calls unanswered long ago.
    pub fn sweep_unheard(&mut self) {
        let now = self.now;
        self.unheard.retain(|_, until| now < *until);
    }

    /// A call's time at one node is over.
    pub fn call_expired(&mut self, number: CallNumber) {
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&number) else { return };
        if now < pending.expires {
            return;
        }
        // Nobody takes a job by its offer.
        pending.unheard |= pending.sent == Sent::Whole;
        if let Some(unresponsive) = pending.tried.last() {
            self.unheard.insert(*unresponsive, now + UNRESPONSIVE_TTL);
        }
        if pending.partition.is_none() {
            let unresponsive = pending.tried.last().copied();
            // A link that was idle may have been forgotten on the way, and the system takes a while to notice.
            unresponsive.into_iter().for_each(|unresponsive| self.close_link_to(unresponsive));
            return self.end_call(number, None);
        }
        self.try_call(number);
    }

    /// A reply has come.
    pub fn receive_reply(&mut self, from: SocketAddrV4, envelope: ReplyEnvelope) {
        let number = envelope.number;
        let Some(pending) = self.calls.get_mut(&number) else { return };
        match envelope.reply {
            Reply::NotLeader { leader } if pending.partition.is_some() => {
                let hinted = leader.and_then(|name| self.address_of(&name)).filter(|&to| to != from);
                let Some(pending) = self.calls.get_mut(&number) else { return };
                if let Some(to) = hinted
                    && pending.tried.iter().filter(|&&tried| tried == to).count() < 2
                {
                    pending.to = Some(to);
                }
                self.try_call(number);
            }
            // The leader lost the partition before the job was decided: the next leader has it, or is sent it.
            Reply::Unclear if is_submission(&pending.call) => {
                pending.unheard = true;
                self.call_later(number, NO_LEADER_PAUSE);
            }
            // No promise can be made of a job of which a copy may be under way, but it may still be taken.
            Reply::Answer { status, .. }
                if pending.unheard
                    && is_open_refusal(&pending.call, status)
                    && is_submission(&pending.call) =>
            {
                self.call_later(number, REFUSED_PAUSE);
            }
            Reply::Unavailable if pending.partition.is_some() => self.call_later(number, NO_LEADER_PAUSE),
            Reply::Wanted if matches!(pending.sent, Sent::Offer { .. }) => self.send_wanted(number, from),
            reply => self.end_call(number, Some(reply)),
        }
    }

    /// All nodes are to be asked anew after a pause.
    fn call_later(&mut self, number: CallNumber, pause: Duration) {
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&number) else { return };
        pending.expires = (now + pause).min(pending.until);
        pending.tried.clear();
        self.alarms.set(pending.expires, Timer::CallRetry { number });
    }

    /// A pause before another try is over.
    pub fn call_retry(&mut self, number: CallNumber) {
        if self.calls.get(&number).is_some_and(|pending| self.now >= pending.expires) {
            self.try_call(number);
        }
    }

    fn end_call(&mut self, number: CallNumber, reply: Option<Reply>) {
        let Some(pending) = self.calls.remove(&number) else { return };
        let took = self.now.since(pending.began);
        if took > SLOW_CALL {
            let (partition, tries) = (pending.partition, pending.tried.len());
            debug!("a call to the leader of part {partition:?} took {:.3} s, {tries} tries", took.seconds());
        }
        let reply = settled(&pending.call, pending.unheard, reply);
        match pending.continuation {
            Continuation::Operator { connection, serial, question } => {
                self.operator_reply(connection, serial, question, reply);
            }
            Continuation::Batch { connection, serial, question } => {
                self.batch_reply(connection, serial, question, reply);
            }
            Continuation::Configuration => self.fetched_configuration(reply, false),
            Continuation::FirstConfiguration => self.fetched_configuration(reply, true),
            Continuation::Founding { partition, voter } => self.founding_reply(partition, voter, &reply),
            Continuation::Forwarded { peer, number } => self.reply(peer, number, reply),
            Continuation::Retire { gathering } => self.retire_reply(gathering, &reply),
        }
    }

    /// Replies to a node's call.
    pub fn reply(&mut self, to: SocketAddrV4, number: CallNumber, reply: Reply) {
        let envelope = ReplyEnvelope { number, reply };
        self.send_frame(to, Channel::Reply, &SerBin::serialize_bin(&envelope));
    }
}

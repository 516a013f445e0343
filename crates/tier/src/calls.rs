//! Calls between nodes: a number, a time limit, and another node when one does not answer or does not own the part.

use crate::messages::{Call, CallEnvelope, Channel, Reply, ReplyEnvelope};
use crate::node::Node;
use crate::timers::Timer;
use grebeusher_time::{Moment, Span};
use nanoserde::SerBin;
use std::net::SocketAddrV4;

/// A node that has not answered by then is left for another one. Owners answer once a quorum has synced.
const TRY_FOR: Span = Span::millis(450);
/// The pause before a node is asked again when none owned the part.
const NO_OWNER_PAUSE: Span = Span::millis(60);

/// Who waits for the reply to a call.
#[derive(Clone, Debug)]
pub enum Continuation {
    /// An order or a question of the operator.
    Operator { connection: usize, serial: u64, question: OperatorQuestion },
    /// A batch call of a client.
    Batch { connection: usize, serial: u64, question: BatchQuestion },
    /// A configuration that a peer has and this node has not.
    Configuration,
    /// The configuration that this node starts with, from its owner.
    FirstConfiguration,
    /// A founding that a replica confirms.
    Founding { part: u8, voter: u64 },
    /// One part's word on whether a storage node is empty, for a question to all parts.
    Retire { gathering: u64 },
}

/// What the operator asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorQuestion {
    /// `Configuration.Replace`.
    Replace,
    /// `Configuration.Show`.
    Show,
    /// The status of a part.
    Part,
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
    /// The part whose owner is meant; `None`: one node is meant.
    part: Option<u8>,
    to: Option<SocketAddrV4>,
    tried: Vec<SocketAddrV4>,
    until: Moment,
    expires: Moment,
    /// Whether a node may have taken it without this node hearing so.
    unheard: bool,
    continuation: Continuation,
}

impl Node {
    /// Calls the owner of a part, wherever it is, until `until`.
    pub fn call_owner(&mut self, part: u8, call: Call, until: Moment, continuation: Continuation) {
        let pending = PendingCall {
            call,
            part: Some(part),
            to: None,
            tried: Vec::new(),
            until,
            expires: until,
            unheard: false,
            continuation,
        };
        let number = self.next_serial();
        self.calls.insert(number, pending);
        self.try_call(number);
    }

    /// Calls one node.
    pub fn call_node(&mut self, to: SocketAddrV4, call: Call, until: Moment, continuation: Continuation) {
        let pending = PendingCall {
            call,
            part: None,
            to: Some(to),
            tried: Vec::new(),
            until,
            expires: until,
            unheard: false,
            continuation,
        };
        let number = self.next_serial();
        self.calls.insert(number, pending);
        self.try_call(number);
    }

    /// Sends a call to the next node that may answer it.
    pub fn try_call(&mut self, number: u64) {
        let now = self.now;
        let Some(pending) = self.calls.get(&number) else { return };
        if now >= pending.until {
            return self.end_call(number, None);
        }
        let part = pending.part;
        let target = match pending.to {
            Some(to) => Some(to),
            None => part.and_then(|part| self.owner_candidate(part, &self.calls[&number].tried)),
        };
        let Some(pending) = self.calls.get_mut(&number) else { return };
        let Some(target) = target else {
            // All were asked, or none is known yet: from the start, after a pause.
            pending.tried.clear();
            let again = now + NO_OWNER_PAUSE;
            pending.expires = again;
            self.alarms.set(again, Timer::CallRetry { number });
            return;
        };
        pending.tried.push(target);
        if part.is_some() {
            pending.to = None;
        }
        pending.expires = (now + TRY_FOR).min(pending.until);
        let expires = pending.expires;
        let envelope = CallEnvelope { number, call: pending.call.clone() };
        self.alarms.set(expires, Timer::CallExpires { number });
        self.send_frame(target, Channel::Call, &SerBin::serialize_bin(&envelope));
    }

    /// A call's time at one node is over.
    pub fn call_expired(&mut self, number: u64) {
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&number) else { return };
        if now < pending.expires {
            return;
        }
        pending.unheard = true;
        if pending.part.is_none() {
            return self.end_call(number, None);
        }
        self.try_call(number);
    }

    /// A reply has come.
    pub fn receive_reply(&mut self, from: SocketAddrV4, envelope: ReplyEnvelope) {
        let number = envelope.number;
        let now = self.now;
        let Some(pending) = self.calls.get_mut(&number) else { return };
        match envelope.reply {
            Reply::NotOwner { owner } if pending.part.is_some() => {
                let hinted = owner.and_then(|name| self.address_of(&name)).filter(|&to| to != from);
                let Some(pending) = self.calls.get_mut(&number) else { return };
                if let Some(to) = hinted
                    && pending.tried.iter().filter(|&&tried| tried == to).count() < 2
                {
                    pending.to = Some(to);
                }
                self.try_call(number);
            }
            Reply::Unavailable if pending.part.is_some() => {
                pending.expires = now + NO_OWNER_PAUSE;
                pending.tried.clear();
                self.alarms.set(now + NO_OWNER_PAUSE, Timer::CallRetry { number });
            }
            reply => self.end_call(number, Some(reply)),
        }
    }

    /// A pause before another try is over.
    pub fn call_retry(&mut self, number: u64) {
        if self.calls.get(&number).is_some_and(|pending| self.now >= pending.expires) {
            self.try_call(number);
        }
    }

    fn end_call(&mut self, number: u64, reply: Option<Reply>) {
        let Some(pending) = self.calls.remove(&number) else { return };
        let unanswered = if pending.unheard { Reply::Unclear } else { Reply::Unavailable };
        let reply = reply.unwrap_or(unanswered);
        match pending.continuation {
            Continuation::Operator { connection, serial, question } => {
                self.operator_reply(connection, serial, question, reply);
            }
            Continuation::Batch { connection, serial, question } => {
                self.batch_reply(connection, serial, question, reply);
            }
            Continuation::Configuration => self.fetched_configuration(reply, false),
            Continuation::FirstConfiguration => self.fetched_configuration(reply, true),
            Continuation::Founding { part, voter } => self.founding_reply(part, voter, &reply),
            Continuation::Retire { gathering } => self.retire_reply(gathering, reply),
        }
    }

    /// Replies to a node's call.
    pub fn reply(&mut self, to: SocketAddrV4, number: u64, reply: Reply) {
        let envelope = ReplyEnvelope { number, reply };
        self.send_frame(to, Channel::Reply, &SerBin::serialize_bin(&envelope));
    }
}

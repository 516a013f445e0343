//! A call that waits for its reply: its attempts so far, and the message that the next attempt sends.

use super::continuation::Continuation;
use crate::links::messages::{Call, OfferJob};
use grebeusher_batch::Submission;
use grebeusher_time::{DurationExt, Instant};
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddrV4;

/// The most attempts per round that are sent to the same node, even if other nodes name it as the leader
/// again.
const MAX_HINTED_ATTEMPTS: usize = 2;
/// Batch jobs of at least this many bytes are offered by name and size before they are sent.
const MIN_OFFERED_BYTES: usize = 4 * 1024;

/// A call that waits for its reply.
pub(super) struct PendingCall {
    pub(super) call: Call,
    /// The partition whose leader the call is for; `None` if it is for one particular node.
    pub(super) partition: Option<u8>,
    /// The node that the next attempt goes to: the one that the call is for, or the one that another node
    /// named as the leader.
    pub(super) next_node: Option<SocketAddrV4>,
    /// The nodes that the attempts of this round were sent to, in order.
    pub(super) tried_nodes: Vec<SocketAddrV4>,
    pub(super) started_at: Instant,
    /// The time at which the whole call is given up.
    pub(super) deadline: Instant,
    /// The time at which the current attempt, or the pause before the next one, is over.
    pub(super) timeout_at: Instant,
    /// Whether an attempt was not answered, so that it may still be accepted.
    pub(super) may_be_accepted: bool,
    /// What the last attempt sent.
    pub(super) sent: Sent,
    pub(super) continuation: Continuation,
}

/// What the last attempt of a call sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sent {
    /// There was no attempt yet.
    Nothing,
    /// It sent the complete call.
    Complete,
    /// It sent the offer of a batch job, with its name and size only.
    Offer(AttemptPath),
}

/// The path of an attempt to the node that is to answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPath {
    /// The attempt is sent to that node itself.
    Direct,
    /// The attempt is sent to another node, which forwards it.
    Relayed,
}

impl PendingCall {
    /// Chooses the leader that another node named for the next attempt, unless it was tried
    /// [`MAX_HINTED_ATTEMPTS`] times already.
    pub(super) fn follow_leader_hint(&mut self, hinted: Option<SocketAddrV4>) {
        let Some(hinted) = hinted else { return };
        if self.tried_nodes.iter().filter(|&&tried| tried == hinted).count() < MAX_HINTED_ATTEMPTS {
            self.next_node = Some(hinted);
        }
    }

    /// Whether the call submits a batch job.
    pub(super) fn is_submission(&self) -> bool {
        matches!(self.call, Call::SubmitJob(_))
    }

    /// Whether the next attempt is the first one of a call that is forwarded for another node. If the call
    /// submits a job, that node has offered the job already where necessary.
    pub(super) fn offer_was_accepted(&self) -> bool {
        self.sent == Sent::Nothing && matches!(self.continuation, Continuation::Forwarded { .. })
    }

    /// The call that offers a batch job by its name and size; `None` if the call submits no job or is small
    /// itself.
    pub(super) fn offer(&self) -> Option<Call> {
        let Call::SubmitJob(call) = &self.call else { return None };
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

    /// Wraps `call` for a relay, which is to forward it within the time that is left.
    pub(super) fn wrap_for_relay(&self, call: &Call, now: Instant) -> Call {
        let time_left_ms = self.deadline.since(now).nanos() / 1_000_000;
        Call::Forward {
            partition: self.partition.unwrap_or_default(),
            timeout_ms: u32::try_from(time_left_ms).unwrap_or(u32::MAX),
            call: SerBin::serialize_bin(call),
        }
    }
}

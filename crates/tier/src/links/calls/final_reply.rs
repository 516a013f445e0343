//! The reply that a caller gets if some attempts of its call were not answered.

use crate::links::messages::{Call, Reply};
use crate::requests::not_executed::promises_not_executed;

/// The reply that the caller gets, where `reply` is the last one that has arrived. `may_be_accepted` says
/// that an attempt was not answered and may still be accepted. In that case the rejection of another attempt
/// does not mean that the job will not run or that the change will not be committed, so the caller gets
/// [`Reply::Unclear`] instead.
pub fn final_reply(call: &Call, may_be_accepted: bool, reply: Option<Reply>) -> Reply {
    match reply {
        None | Some(Reply::Unavailable) if may_be_accepted => Reply::Unclear,
        None => Reply::Unavailable,
        Some(Reply::Answer { status, .. })
            if may_be_accepted && is_rejection_of_one_attempt(call, status) =>
        {
            Reply::Unclear
        }
        Some(reply) => reply,
    }
}

/// Whether a rejection applies only to the rejected attempt, so that another attempt of the same call may
/// still be accepted. For example, a change whose base version is not committed yet is rejected, but could be
/// accepted a moment later.
pub(super) fn is_rejection_of_one_attempt(call: &Call, status: u16) -> bool {
    match call {
        Call::SubmitJob(_) => promises_not_executed(status),
        Call::ReplaceConfiguration { .. } => status == 412,
        _ => false,
    }
}

//! The reply that the caller of another node gets if some attempts of its call were not answered.

use grebeusher_tier::links::calls::final_reply;
use grebeusher_tier::links::messages::{Call, Reply, SubmitJob};
use rstest::rstest;

fn submission() -> Call {
    Call::SubmitJob(SubmitJob {
        partition: 1,
        submission: Vec::new(),
        completion_target_ms: 8_000,
        retention_ms: 40_000,
        max_attempts: 3,
        queue_token_limit: 1_000,
    })
}

fn answer(status: u16) -> Reply {
    Reply::Answer { status, body: Vec::new() }
}

fn status(reply: &Reply) -> Option<u16> {
    match reply {
        Reply::Answer { status, .. } => Some(*status),
        _ => None,
    }
}

#[rstest]
fn a_rejection_is_not_final_while_another_attempt_may_be_accepted(#[values(429, 503)] rejection: u16) {
    // Given a job of which one attempt was not answered, when another attempt is rejected,
    let reply = final_reply(&submission(), true, Some(answer(rejection)));
    // then the client is not told that the job will never run, as the first attempt may still be accepted.
    assert!(matches!(reply, Reply::Unclear));
}

#[rstest]
fn a_rejection_is_final_when_every_attempt_was_answered(#[values(429, 503)] rejection: u16) {
    let reply = final_reply(&submission(), false, Some(answer(rejection)));
    assert_eq!(status(&reply), Some(rejection));
}

#[rstest]
fn an_accepted_job_stays_accepted_whatever_the_outcome_of_other_attempts(
    #[values(false, true)] may_be_accepted: bool,
) {
    let reply = final_reply(&submission(), may_be_accepted, Some(answer(202)));
    assert_eq!(status(&reply), Some(202));
}

#[test]
fn an_unanswered_call_is_unclear_and_an_unavailable_one_is_not() {
    assert!(matches!(final_reply(&submission(), true, None), Reply::Unclear));
    assert!(matches!(final_reply(&submission(), true, Some(Reply::Unavailable)), Reply::Unclear));
    assert!(matches!(final_reply(&submission(), false, None), Reply::Unavailable));
}

#[test]
fn a_read_is_answered_with_the_status_of_the_leader() {
    let read = Call::ReadJob { partition: 1, job: "a".to_owned(), resume_after: 0, hold_ms: 0 };
    assert_eq!(status(&final_reply(&read, true, Some(answer(503)))), Some(503));
}

#[rstest]
#[case::base_mismatch_with_an_unanswered_attempt(412, true, None)]
#[case::base_mismatch(412, false, Some(412))]
#[case::invalid(400, true, Some(400))]
#[case::accepted(200, true, Some(200))]
fn a_change_is_rejected_only_if_no_attempt_can_be_accepted(
    #[case] leader_status: u16,
    #[case] may_be_accepted: bool,
    #[case] expected: Option<u16>,
) {
    // Given a change of which one attempt may still be under way, when the leader answers another attempt,
    let change = Call::ReplaceConfiguration { base: 5, body: Vec::new() };
    let reply = final_reply(&change, may_be_accepted, Some(answer(leader_status)));
    // then a rejection because of the base version is not final: the base may be committed before the first
    // attempt arrives.
    assert_eq!(status(&reply), expected);
    assert_eq!(matches!(reply, Reply::Unclear), expected.is_none());
}

//! What a call between nodes has come to, where some copies of it were left unanswered.

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
fn a_rejection_is_not_final_while_another_attempt_may_be_taken(#[values(429, 503)] refusal: u16) {
    // Given a job of which one copy was left unanswered, when another copy is refused,
    let reply = final_reply(&submission(), true, Some(answer(refusal)));
    // then the client is not told that the job will never run: the first copy may yet be taken.
    assert!(matches!(reply, Reply::Unclear));
}

#[rstest]
fn a_rejection_is_final_when_every_attempt_was_answered(#[values(429, 503)] refusal: u16) {
    let reply = final_reply(&submission(), false, Some(answer(refusal)));
    assert_eq!(status(&reply), Some(refusal));
}

#[rstest]
fn an_accepted_job_stays_accepted_whatever_became_of_other_attempts(
    #[values(false, true)] may_be_taken: bool,
) {
    let reply = final_reply(&submission(), may_be_taken, Some(answer(202)));
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
#[case::lost_race_with_a_copy_on_its_way(412, true, None)]
#[case::lost_race(412, false, Some(412))]
#[case::invalid(400, true, Some(400))]
#[case::taken(200, true, Some(200))]
fn a_change_is_rejected_only_if_no_attempt_can_be_taken(
    #[case] answered: u16,
    #[case] may_be_taken: bool,
    #[case] expected: Option<u16>,
) {
    // Given a change of which one copy may still be on its way, when the leader refuses another copy because of its base,
    let change = Call::ReplaceConfiguration { base: 5, body: Vec::new() };
    let reply = final_reply(&change, may_be_taken, Some(answer(answered)));
    // then nothing is known: the base may be there by the time that the first copy comes.
    assert_eq!(status(&reply), expected);
    assert_eq!(matches!(reply, Reply::Unclear), expected.is_none());
}

//! The retry decision after each outcome of an attempt, for each class of requests.

use grebeusher_gateway::{AttemptOutcome, Attempts, FinalResponse, RetryClass, RetryDecision};
use proptest::prelude::*;
use rstest::rstest;

const RETRY: RetryDecision = RetryDecision::Retry;
const RESUME: RetryDecision = RetryDecision::Resume;
const UNAVAILABLE: RetryDecision = RetryDecision::Finish(FinalResponse::ServiceUnavailable);
const BAD_GATEWAY: RetryDecision = RetryDecision::Finish(FinalResponse::BadGateway);
const TIMEOUT: RetryDecision = RetryDecision::Finish(FinalResponse::GatewayTimeout);
const ABORT: RetryDecision = RetryDecision::Finish(FinalResponse::Abort);
const RELAY: RetryDecision = RetryDecision::Finish(FinalResponse::Relay);
const NOTHING: RetryDecision = RetryDecision::Finish(FinalResponse::Nothing);

/// The decisions after the first attempt when one more is allowed, for idempotent requests, non-idempotent requests and
/// resumable streams.
#[rstest]
#[case(AttemptOutcome::Served, [NOTHING, NOTHING, NOTHING])]
#[case(AttemptOutcome::NeverSent, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::IdleClosed, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::NotExecuted, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::Misdirected, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::BrokenBeforeHead, [RETRY, BAD_GATEWAY, RETRY])]
#[case(AttemptOutcome::BrokenBeforeRelay, [RETRY, BAD_GATEWAY, RETRY])]
#[case(AttemptOutcome::BrokenMidBody, [ABORT, ABORT, ABORT])]
#[case(AttemptOutcome::BrokenMidStream, [ABORT, ABORT, RESUME])]
#[case(AttemptOutcome::AnsweredFailure, [RETRY, RELAY, RETRY])]
#[case(AttemptOutcome::AnsweredOther, [RELAY, RELAY, RELAY])]
#[case(AttemptOutcome::TimedOut, [TIMEOUT, TIMEOUT, TIMEOUT])]
#[case(AttemptOutcome::ClientGone, [NOTHING, NOTHING, NOTHING])]
fn decisions_after_the_first_of_two_attempts(
    #[case] outcome: AttemptOutcome,
    #[case] expected: [RetryDecision; 3],
) {
    let retry_classes = [RetryClass::Idempotent, RetryClass::NonIdempotent, RetryClass::ResumableStream];
    assert_eq!(
        retry_classes.map(|retry_class| Attempts::new(retry_class, 2).record_outcome(outcome)),
        expected
    );
}

/// The same decisions when one attempt is allowed. A request that provably did not run is still tried again.
#[rstest]
#[case(AttemptOutcome::NeverSent, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::IdleClosed, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::NotExecuted, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::Misdirected, [RETRY, RETRY, RETRY])]
#[case(AttemptOutcome::BrokenBeforeHead, [BAD_GATEWAY, BAD_GATEWAY, BAD_GATEWAY])]
#[case(AttemptOutcome::BrokenBeforeRelay, [BAD_GATEWAY, BAD_GATEWAY, BAD_GATEWAY])]
#[case(AttemptOutcome::BrokenMidBody, [ABORT, ABORT, ABORT])]
#[case(AttemptOutcome::BrokenMidStream, [ABORT, ABORT, ABORT])]
#[case(AttemptOutcome::AnsweredFailure, [RELAY, RELAY, RELAY])]
#[case(AttemptOutcome::AnsweredOther, [RELAY, RELAY, RELAY])]
#[case(AttemptOutcome::TimedOut, [TIMEOUT, TIMEOUT, TIMEOUT])]
fn decisions_after_the_only_attempt(#[case] outcome: AttemptOutcome, #[case] expected: [RetryDecision; 3]) {
    let retry_classes = [RetryClass::Idempotent, RetryClass::NonIdempotent, RetryClass::ResumableStream];
    assert_eq!(
        retry_classes.map(|retry_class| Attempts::new(retry_class, 1).record_outcome(outcome)),
        expected
    );
}

/// The decisions after the second attempt of a stream. The client already has the head of the response, so it cannot
/// get another status.
#[rstest]
#[case(AttemptOutcome::Served, NOTHING)]
#[case(AttemptOutcome::NeverSent, RESUME)]
#[case(AttemptOutcome::NotExecuted, RESUME)]
#[case(AttemptOutcome::Misdirected, RESUME)]
#[case(AttemptOutcome::BrokenBeforeHead, RESUME)]
#[case(AttemptOutcome::BrokenMidStream, RESUME)]
#[case(AttemptOutcome::AnsweredFailure, RESUME)]
#[case(AttemptOutcome::AnsweredOther, RESUME)]
#[case(AttemptOutcome::TimedOut, ABORT)]
#[case(AttemptOutcome::ClientGone, NOTHING)]
fn decisions_within_a_resumed_stream(#[case] outcome: AttemptOutcome, #[case] expected: RetryDecision) {
    let mut attempts = Attempts::new(RetryClass::ResumableStream, 3);
    assert_eq!(attempts.record_outcome(AttemptOutcome::BrokenMidStream), RESUME);
    assert_eq!(attempts.response_without_executor(), FinalResponse::Abort);
    assert_eq!(attempts.record_outcome(outcome), expected);
}

#[test]
fn attempts_that_did_not_run_end_in_service_unavailable() {
    // given a request that every executor rejects
    let mut attempts = Attempts::new(RetryClass::NonIdempotent, 1);
    let decisions: Vec<RetryDecision> =
        (0..4).map(|_| attempts.record_outcome(AttemptOutcome::NotExecuted)).collect();
    // then it is tried a few times, and the client gets the status that says that it did not run
    assert_eq!(decisions, [RETRY, RETRY, RETRY, UNAVAILABLE]);
    assert_eq!(attempts.response_without_executor(), FinalResponse::ServiceUnavailable);
}

#[test]
fn a_rejection_after_a_possible_run_ends_in_bad_gateway() {
    let mut attempts = Attempts::new(RetryClass::Idempotent, 3);
    assert_eq!(attempts.record_outcome(AttemptOutcome::BrokenBeforeHead), RETRY);
    assert_eq!(attempts.record_outcome(AttemptOutcome::NotExecuted), RETRY);
    assert_eq!(attempts.response_without_executor(), FinalResponse::BadGateway);
}

fn outcomes() -> impl Strategy<Value = AttemptOutcome> {
    prop::sample::select(vec![
        AttemptOutcome::NeverSent,
        AttemptOutcome::IdleClosed,
        AttemptOutcome::NotExecuted,
        AttemptOutcome::Misdirected,
        AttemptOutcome::BrokenBeforeHead,
        AttemptOutcome::BrokenBeforeRelay,
        AttemptOutcome::BrokenMidBody,
        AttemptOutcome::BrokenMidStream,
        AttemptOutcome::AnsweredFailure,
        AttemptOutcome::AnsweredOther,
        AttemptOutcome::TimedOut,
    ])
}

proptest! {
    /// Guards against two faults, whatever the order of outcomes: a non-idempotent request that is tried again although
    /// it may have run, and a client that is told by 503 that its request did not run although it may have run.
    #[test]
    fn no_order_of_outcomes_repeats_or_misreports_a_run(
        retry_class in prop::sample::select(vec![RetryClass::Idempotent, RetryClass::NonIdempotent, RetryClass::ResumableStream]),
        max_attempts in 0_u32..5,
        outcomes in prop::collection::vec(outcomes(), 1..20),
    ) {
        let mut attempts = Attempts::new(retry_class, max_attempts);
        let (mut possibly_run, mut head_sent, mut finished) = (0, false, false);
        for outcome in outcomes {
            possibly_run += u32::from(!outcome.proves_not_run());
            head_sent |= matches!(outcome, AttemptOutcome::BrokenMidBody | AttemptOutcome::BrokenMidStream);
            match attempts.record_outcome(outcome) {
                RetryDecision::Retry | RetryDecision::Resume => {
                    prop_assert!(possibly_run == 0 || retry_class.may_run_again());
                    prop_assert!(possibly_run < max_attempts.max(1));
                    prop_assert!(!head_sent || retry_class == RetryClass::ResumableStream);
                }
                RetryDecision::Finish(response) => {
                    prop_assert!(response != FinalResponse::ServiceUnavailable || possibly_run == 0);
                    prop_assert!(!head_sent || matches!(response, FinalResponse::Abort));
                    finished = true;
                }
            }
            if finished {
                break;
            }
        }
    }
}

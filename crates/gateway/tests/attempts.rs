//! Retries: what may follow which outcome, by kind of request, written out in full.

use grebeusher_gateway::{Attempts, FinalAnswer, Kind, Next, Outcome};
use proptest::prelude::*;
use rstest::rstest;

const RETRY: Next = Next::Retry;
const RESUME: Next = Next::Resume;
const REFUSED: Next = Next::Finish(FinalAnswer::Refused);
const BAD_GATEWAY: Next = Next::Finish(FinalAnswer::BadGateway);
const TIMEOUT: Next = Next::Finish(FinalAnswer::GatewayTimeout);
const CUT: Next = Next::Finish(FinalAnswer::Cut);
const RELAY: Next = Next::Finish(FinalAnswer::Relay);
const NOTHING: Next = Next::Finish(FinalAnswer::Nothing);

/// After the first attempt, with one more allowed: idempotent, non-idempotent, resumable.
#[rstest]
#[case(Outcome::Served, [NOTHING, NOTHING, NOTHING])]
#[case(Outcome::NeverSent, [RETRY, RETRY, RETRY])]
#[case(Outcome::IdleClosed, [RETRY, RETRY, RETRY])]
#[case(Outcome::NotExecuted, [RETRY, RETRY, RETRY])]
#[case(Outcome::Misdirected, [RETRY, RETRY, RETRY])]
#[case(Outcome::BrokenBeforeHead, [RETRY, BAD_GATEWAY, RETRY])]
#[case(Outcome::BrokenBeforeRelay, [RETRY, BAD_GATEWAY, RETRY])]
#[case(Outcome::BrokenMidBody, [CUT, CUT, CUT])]
#[case(Outcome::BrokenMidStream, [CUT, CUT, RESUME])]
#[case(Outcome::AnsweredFailure, [RETRY, RELAY, RETRY])]
#[case(Outcome::AnsweredOther, [RELAY, RELAY, RELAY])]
#[case(Outcome::TimedOut, [TIMEOUT, TIMEOUT, TIMEOUT])]
#[case(Outcome::ClientGone, [NOTHING, NOTHING, NOTHING])]
fn after_the_first_of_two(#[case] outcome: Outcome, #[case] due: [Next; 3]) {
    let kinds = [Kind::Idempotent, Kind::NonIdempotent, Kind::ResumableStream];
    assert_eq!(kinds.map(|kind| Attempts::new(kind, 2).ended(outcome)), due);
}

/// With one attempt only, the same: what proves not run is still tried again.
#[rstest]
#[case(Outcome::NeverSent, [RETRY, RETRY, RETRY])]
#[case(Outcome::IdleClosed, [RETRY, RETRY, RETRY])]
#[case(Outcome::NotExecuted, [RETRY, RETRY, RETRY])]
#[case(Outcome::Misdirected, [RETRY, RETRY, RETRY])]
#[case(Outcome::BrokenBeforeHead, [BAD_GATEWAY, BAD_GATEWAY, BAD_GATEWAY])]
#[case(Outcome::BrokenBeforeRelay, [BAD_GATEWAY, BAD_GATEWAY, BAD_GATEWAY])]
#[case(Outcome::BrokenMidBody, [CUT, CUT, CUT])]
#[case(Outcome::BrokenMidStream, [CUT, CUT, CUT])]
#[case(Outcome::AnsweredFailure, [RELAY, RELAY, RELAY])]
#[case(Outcome::AnsweredOther, [RELAY, RELAY, RELAY])]
#[case(Outcome::TimedOut, [TIMEOUT, TIMEOUT, TIMEOUT])]
fn after_the_only_one(#[case] outcome: Outcome, #[case] due: [Next; 3]) {
    let kinds = [Kind::Idempotent, Kind::NonIdempotent, Kind::ResumableStream];
    assert_eq!(kinds.map(|kind| Attempts::new(kind, 1).ended(outcome)), due);
}

/// Within a resumed stream the client has a head already: no status can be told any more.
#[rstest]
#[case(Outcome::Served, NOTHING)]
#[case(Outcome::NeverSent, RESUME)]
#[case(Outcome::NotExecuted, RESUME)]
#[case(Outcome::Misdirected, RESUME)]
#[case(Outcome::BrokenBeforeHead, RESUME)]
#[case(Outcome::BrokenMidStream, RESUME)]
#[case(Outcome::AnsweredFailure, RESUME)]
#[case(Outcome::AnsweredOther, RESUME)]
#[case(Outcome::TimedOut, CUT)]
#[case(Outcome::ClientGone, NOTHING)]
fn within_a_resumed_stream(#[case] outcome: Outcome, #[case] due: Next) {
    let mut attempts = Attempts::new(Kind::ResumableStream, 3);
    assert_eq!(attempts.ended(Outcome::BrokenMidStream), RESUME);
    assert_eq!(attempts.nobody(), FinalAnswer::Cut);
    assert_eq!(attempts.ended(outcome), due);
}

#[test]
fn proven_refusals_end_in_a_refusal_with_a_promise() {
    // given a request that every executor refuses
    let mut attempts = Attempts::new(Kind::NonIdempotent, 1);
    let outcomes: Vec<Next> = (0..4).map(|_| attempts.ended(Outcome::NotExecuted)).collect();
    // then it is tried a few times, and the client is told that it has not run
    assert_eq!(outcomes, [RETRY, RETRY, RETRY, REFUSED]);
    assert_eq!(attempts.nobody(), FinalAnswer::Refused);
}

#[test]
fn a_refusal_after_a_possible_run_makes_no_promise() {
    let mut attempts = Attempts::new(Kind::Idempotent, 3);
    assert_eq!(attempts.ended(Outcome::BrokenBeforeHead), RETRY);
    assert_eq!(attempts.ended(Outcome::NotExecuted), RETRY);
    assert_eq!(attempts.nobody(), FinalAnswer::BadGateway);
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::NeverSent,
        Outcome::IdleClosed,
        Outcome::NotExecuted,
        Outcome::Misdirected,
        Outcome::BrokenBeforeHead,
        Outcome::BrokenBeforeRelay,
        Outcome::BrokenMidBody,
        Outcome::BrokenMidStream,
        Outcome::AnsweredFailure,
        Outcome::AnsweredOther,
        Outcome::TimedOut,
    ])
}

proptest! {
    /// TWICE and REFUSED: whatever happens, a non-idempotent request is never tried after it may have run, and no
    /// request is refused with a promise after it may have run.
    #[test]
    fn no_order_of_outcomes_breaks_a_promise(
        kind in prop::sample::select(vec![Kind::Idempotent, Kind::NonIdempotent, Kind::ResumableStream]),
        most in 0_u32..5,
        outcomes in prop::collection::vec(outcomes(), 1..20),
    ) {
        let mut attempts = Attempts::new(kind, most);
        let (mut may_have_run, mut head_out, mut ended) = (0, false, false);
        for outcome in outcomes {
            may_have_run += u32::from(!outcome.proves_not_run());
            head_out |= matches!(outcome, Outcome::BrokenMidBody | Outcome::BrokenMidStream);
            match attempts.ended(outcome) {
                Next::Retry | Next::Resume => {
                    prop_assert!(may_have_run == 0 || kind.may_run_again());
                    prop_assert!(may_have_run < most.max(1));
                    prop_assert!(!head_out || kind == Kind::ResumableStream);
                }
                Next::Finish(answer) => {
                    prop_assert!(answer != FinalAnswer::Refused || may_have_run == 0);
                    prop_assert!(!head_out || matches!(answer, FinalAnswer::Cut));
                    ended = true;
                }
            }
            if ended {
                break;
            }
        }
    }
}

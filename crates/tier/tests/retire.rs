//! The answer to an operator's call about a machine that is to be retired, by the replies of the partition leaders.

use grebeusher_tier::control::retire::{PartitionVerdict, RetireOutcome, RetireQuestion, combined_outcome};
use grebeusher_tier::links::messages::Reply;
use rstest::rstest;

use PartitionVerdict::{Done, NotYet, TooFew, Undecided, UnknownMachine};

#[rstest]
#[case::all_accept([Done, Done, Done], RetireOutcome::Accepted)]
#[case::one_does_not_reply([Done, Undecided, Done], RetireOutcome::Undecided)]
#[case::no_leader_knows_the_machine([UnknownMachine, UnknownMachine, UnknownMachine], RetireOutcome::NoSuchMachine)]
#[case::one_does_not_know_the_machine_yet([Done, UnknownMachine, Done], RetireOutcome::Undecided)]
#[case::one_does_not_know_the_machine_and_one_does_not_reply([UnknownMachine, UnknownMachine, Undecided], RetireOutcome::Undecided)]
#[case::too_few_are_left([TooFew, TooFew, TooFew], RetireOutcome::TooFew)]
#[case::one_counts_too_few([Done, TooFew, Done], RetireOutcome::TooFew)]
#[case::too_few_and_no_reply([TooFew, Undecided, TooFew], RetireOutcome::Undecided)]
fn a_begin_is_accepted_or_refused_only_if_all_leaders_have_decided(
    #[case] verdicts: [PartitionVerdict; 3],
    #[case] outcome: RetireOutcome,
) {
    assert_eq!(combined_outcome(RetireQuestion::Begin, &verdicts, false), outcome);
}

#[rstest]
#[case::all_are_done([Done, Done, Done], RetireOutcome::Complete)]
#[case::one_is_not([Done, Done, NotYet], RetireOutcome::Active)]
#[case::one_does_not_reply([Done, Done, Undecided], RetireOutcome::Undecided)]
#[case::one_does_not_know_the_machine([Done, Done, UnknownMachine], RetireOutcome::Undecided)]
fn a_machine_is_empty_only_if_all_leaders_reply_so(
    #[case] verdicts: [PartitionVerdict; 3],
    #[case] outcome: RetireOutcome,
) {
    assert_eq!(combined_outcome(RetireQuestion::Show, &verdicts, true), outcome);
}

#[rstest]
fn a_machine_that_this_node_knows_exists(
    #[values(RetireQuestion::Begin, RetireQuestion::Show)] question: RetireQuestion,
) {
    assert_eq!(combined_outcome(question, &[UnknownMachine; 3], true), RetireOutcome::Undecided);
}

#[rstest]
#[case::unclear(Reply::Unclear, Undecided)]
#[case::unavailable(Reply::Unavailable, Undecided)]
#[case::committed(Reply::Answer { status: 200, body: Vec::new() }, Done)]
#[case::still_there(Reply::Answer { status: 202, body: Vec::new() }, NotYet)]
#[case::unknown(Reply::Answer { status: 404, body: Vec::new() }, UnknownMachine)]
#[case::too_few(Reply::Answer { status: 409, body: Vec::new() }, TooFew)]
#[case::anything_else(Reply::Answer { status: 500, body: Vec::new() }, Undecided)]
fn a_reply_has_a_verdict(#[case] reply: Reply, #[case] verdict: PartitionVerdict) {
    assert_eq!(PartitionVerdict::of(&reply), verdict);
}

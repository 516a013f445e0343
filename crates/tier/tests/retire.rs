//! What an operator hears about a machine that is to be emptied, from what the leaders of the partitions say.

use grebeusher_tier::control::retire::{PartitionVerdict, RetireOutcome, RetireQuestion, combined_outcome};
use grebeusher_tier::links::messages::Reply;
use rstest::rstest;

use PartitionVerdict::{Done, NotYet, TooFew, Undecided, UnknownMachine};

#[rstest]
#[case::all_take_it([Done, Done, Done], RetireOutcome::Accepted)]
#[case::one_says_nothing([Done, Undecided, Done], RetireOutcome::Undecided)]
#[case::none_knows_it([UnknownMachine, UnknownMachine, UnknownMachine], RetireOutcome::NoSuchMachine)]
#[case::one_does_not_know_it_yet([Done, UnknownMachine, Done], RetireOutcome::Undecided)]
#[case::one_does_not_know_it_and_one_is_silent([UnknownMachine, UnknownMachine, Undecided], RetireOutcome::Undecided)]
#[case::too_few_are_left([TooFew, TooFew, TooFew], RetireOutcome::TooFew)]
#[case::one_counts_too_few([Done, TooFew, Done], RetireOutcome::TooFew)]
#[case::too_few_and_silence([TooFew, Undecided, TooFew], RetireOutcome::Undecided)]
fn a_begin_is_taken_or_refused_only_if_all_leaders_have_spoken(
    #[case] verdicts: [PartitionVerdict; 3],
    #[case] outcome: RetireOutcome,
) {
    assert_eq!(combined_outcome(RetireQuestion::Begin, &verdicts, false), outcome);
}

#[rstest]
#[case::all_are_done([Done, Done, Done], RetireOutcome::Complete)]
#[case::one_is_not([Done, Done, NotYet], RetireOutcome::Active)]
#[case::one_says_nothing([Done, Done, Undecided], RetireOutcome::Undecided)]
#[case::one_knows_nothing([Done, Done, UnknownMachine], RetireOutcome::Undecided)]
fn a_machine_is_empty_only_if_all_leaders_say_so(
    #[case] verdicts: [PartitionVerdict; 3],
    #[case] outcome: RetireOutcome,
) {
    assert_eq!(combined_outcome(RetireQuestion::Show, &verdicts, true), outcome);
}

#[rstest]
fn a_machine_that_this_node_has_heard_of_exists(
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
fn a_reply_is_read_as_what_it_says(#[case] reply: Reply, #[case] verdict: PartitionVerdict) {
    assert_eq!(PartitionVerdict::of(&reply), verdict);
}

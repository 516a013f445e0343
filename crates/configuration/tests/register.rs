//! Tests of the register: it accepts at most one change for each base, and an acknowledged change stays acknowledged.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use grebeusher_configuration::register::{
    Answer, Applied, Change, ConfigurationRegister, Entry, EntryError, MAX_HISTORY, Pending, SnapshotError,
    Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn entry(base: u64, version: u64, body: &str) -> Entry {
    Entry::new(base, version, Arc::from(body.as_bytes()))
}

/// Returns a register that has applied the entries, and checks that it accepts each of them.
fn register(entries: &[Entry]) -> ConfigurationRegister {
    let mut register = ConfigurationRegister::new();
    for entry in entries {
        assert_eq!(register.apply(entry), Applied::Accepted);
    }
    register
}

fn judge(register: &ConfigurationRegister, entry: &Entry) -> Verdict {
    register.judge(entry.change(), &Pending::new())
}

fn pending(entry: &Entry) -> Pending {
    let mut pending = Pending::new();
    pending.propose(*entry.change());
    pending
}

#[test]
fn given_an_empty_register_when_the_first_change_comes_then_it_is_accepted_on_base_0() {
    let mut register = ConfigurationRegister::new();
    let first = entry(0, 3, "first");
    assert_eq!((register.version(), register.body().len()), (0, 0));

    assert_eq!(judge(&register, &first), Verdict::Accept);
    assert_eq!(register.apply(&first), Applied::Accepted);

    assert_eq!((register.version(), register.body().as_ref()), (3, b"first".as_slice()));
}

#[rstest]
#[case::next_version(5, 9, "new", Verdict::Accept)]
#[case::uneven_step(5, 4000, "new", Verdict::Accept)]
#[case::the_current_change_again(3, 5, "second", Verdict::AlreadyAccepted)]
#[case::an_older_change_again(0, 3, "first", Verdict::AlreadyAccepted)]
#[case::same_version_other_body(3, 5, "other", Verdict::VersionMismatch)]
#[case::same_body_other_base(0, 5, "second", Verdict::VersionMismatch)]
#[case::same_body_on_itself(5, 5, "second", Verdict::VersionNotAbove)]
#[case::same_body_higher_version(3, 6, "second", Verdict::VersionMismatch)]
#[case::version_not_above(5, 4, "new", Verdict::VersionNotAbove)]
#[case::version_0(5, 0, "new", Verdict::VersionNotAbove)]
#[case::old_base(3, 9, "new", Verdict::VersionMismatch)]
#[case::base_between_versions(4, 9, "new", Verdict::VersionMismatch)]
#[case::base_0(0, 9, "new", Verdict::VersionMismatch)]
#[case::base_ahead(6, 9, "new", Verdict::VersionMismatch)]
#[case::base_ahead_not_above(9, 7, "new", Verdict::VersionMismatch)]
fn given_versions_3_and_5_when_a_change_comes_then_it_is_judged(
    #[case] base: u64,
    #[case] version: u64,
    #[case] body: &str,
    #[case] verdict: Verdict,
) {
    let mut register = register(&[entry(0, 3, "first"), entry(3, 5, "second")]);
    let change = entry(base, version, body);

    assert_eq!(judge(&register, &change), verdict);
    let applied = match verdict {
        Verdict::Accept => Applied::Accepted,
        Verdict::AlreadyAccepted => Applied::AlreadyAccepted,
        _ => Applied::Conflict,
    };
    assert_eq!(register.apply(&change), applied, "the outcome agrees with the verdict");
}

#[rstest]
#[case::on_the_same_base(5, 9, "new", Verdict::Undecided)]
#[case::the_same(5, 7, "pending", Verdict::Undecided)]
#[case::on_the_pending_version(7, 9, "new", Verdict::Undecided)]
#[case::old_base(3, 9, "new", Verdict::VersionMismatch)]
#[case::accepted_before(3, 5, "second", Verdict::AlreadyAccepted)]
#[case::version_not_above(5, 5, "new", Verdict::VersionNotAbove)]
fn given_a_pending_change_when_another_comes_then_only_what_is_committed_decides(
    #[case] base: u64,
    #[case] version: u64,
    #[case] body: &str,
    #[case] verdict: Verdict,
) {
    let register = register(&[entry(0, 3, "first"), entry(3, 5, "second")]);
    let pending = pending(&entry(5, 7, "pending"));

    assert_eq!(register.judge(entry(base, version, body).change(), &pending), verdict);
}

#[test]
fn given_a_pending_change_when_it_is_applied_then_the_undecided_changes_are_decided() {
    let mut register = register(&[entry(0, 3, "first")]);
    let (winner, loser) = (entry(3, 7, "winner"), entry(3, 8, "loser"));
    let mut pending = pending(&winner);
    assert_eq!(register.judge(loser.change(), &pending), Verdict::Undecided);

    register.apply(&winner);
    pending.applied(winner.change());

    assert!(pending.is_empty());
    assert_eq!(register.judge(winner.change(), &pending), Verdict::AlreadyAccepted);
    assert_eq!(register.judge(loser.change(), &pending), Verdict::VersionMismatch);
}

#[test]
fn given_a_pending_change_when_the_leadership_is_lost_then_nothing_is_pending() {
    let mut pending = pending(&entry(3, 7, "one"));
    pending.propose(*entry(3, 8, "two").change());

    pending.applied(entry(3, 7, "one").change());
    assert!(!pending.is_empty(), "the other change is still pending");
    pending.clear();

    assert!(pending.is_empty());
}

#[test]
fn given_two_changes_on_one_base_both_in_the_log_when_applied_then_the_first_wins() {
    let mut register = register(&[entry(0, 3, "first")]);

    assert_eq!(register.apply(&entry(3, 8, "one")), Applied::Accepted);
    assert_eq!(register.apply(&entry(3, 9, "two")), Applied::Conflict);
    assert_eq!(register.apply(&entry(3, 8, "one")), Applied::AlreadyAccepted);
    assert_eq!(register.apply(&entry(3, 8, "two")), Applied::Conflict, "the same version with another body");

    assert_eq!((register.version(), register.body().as_ref()), (8, b"one".as_slice()));
}

/// Returns a register that has accepted one change more than its history holds, and the entries of all these changes.
/// Their versions are 3, 6, 9 and so on.
fn register_with_one_forgotten_change() -> (ConfigurationRegister, Vec<Entry>) {
    let count = MAX_HISTORY as u64 + 1;
    let entries: Vec<Entry> = (0..count).map(|index| entry(index * 3, (index + 1) * 3, "body")).collect();
    (register(&entries), entries)
}

#[test]
fn given_more_changes_than_the_history_holds_when_an_old_one_comes_again_then_it_is_neither_rejected_nor_accepted()
 {
    let (mut register, entries) = register_with_one_forgotten_change();

    assert_eq!(register.history().count(), MAX_HISTORY);
    assert_eq!(judge(&register, &entries[1]), Verdict::AlreadyAccepted, "the oldest change in the history");
    assert_eq!(judge(&register, &entries[0]), Verdict::OlderThanHistory);
    assert_eq!(judge(&register, &entries[0]).answer(), None);
    assert_eq!(register.apply(&entries[0]), Applied::Conflict);
    assert_eq!(register.version(), (MAX_HISTORY as u64 + 1) * 3);
}

#[rstest]
#[case::below_the_history(0, 2, Verdict::OlderThanHistory)]
#[case::the_forgotten_version_with_another_body(0, 3, Verdict::OlderThanHistory)]
#[case::that_can_never_have_been_accepted(3, 3, Verdict::VersionMismatch)]
#[case::between_two_in_the_history(3, 5, Verdict::VersionMismatch)]
#[case::a_version_in_the_history_with_another_body(3, 6, Verdict::VersionMismatch)]
#[case::a_forgotten_base_and_a_later_version(0, 4, Verdict::VersionMismatch)]
fn given_a_change_older_than_the_history_when_another_one_comes_then_it_is_rejected_if_it_was_certainly_not_accepted(
    #[case] base: u64,
    #[case] version: u64,
    #[case] verdict: Verdict,
) {
    let (register, _) = register_with_one_forgotten_change();

    assert_eq!(judge(&register, &entry(base, version, "other")), verdict);
}

#[test]
fn given_a_complete_history_when_an_old_change_comes_then_it_is_rejected() {
    let register = register(&[entry(0, 3, "first"), entry(3, 5, "second")]);

    assert_eq!(judge(&register, &entry(0, 2, "other")), Verdict::VersionMismatch);
}

#[rstest]
#[case(Verdict::AlreadyAccepted, Some(200))]
#[case(Verdict::VersionMismatch, Some(412))]
#[case(Verdict::VersionNotAbove, Some(400))]
#[case(Verdict::Accept, None)]
#[case(Verdict::Undecided, None)]
#[case(Verdict::OlderThanHistory, None)]
fn given_a_verdict_when_answered_then_it_has_its_status(
    #[case] verdict: Verdict,
    #[case] status: Option<u16>,
) {
    assert_eq!(verdict.answer().map(Answer::status), status);
}

#[rstest]
#[case(Applied::Accepted, 200)]
#[case(Applied::AlreadyAccepted, 200)]
#[case(Applied::Conflict, 412)]
fn given_an_outcome_when_answered_then_it_has_its_status(#[case] applied: Applied, #[case] status: u16) {
    assert_eq!(applied.answer().status(), status);
}

#[test]
fn given_an_entry_when_encoded_and_decoded_then_it_is_the_same_byte_for_byte() {
    let arbitrary_bytes = Entry::new(5, 7, Arc::from(&b"{ \"a\" :\r\n 1.0e0 }\xff\0"[..]));

    assert_eq!(Entry::decode(&arbitrary_bytes.encode()), Ok(arbitrary_bytes));
    assert_eq!(Entry::decode(&entry(0, 1, "").encode()), Ok(entry(0, 1, "")));
}

#[test]
fn given_an_entry_truncated_or_changed_anywhere_when_decoded_then_it_is_rejected_or_another_change() {
    let whole = entry(5, 7, "body of the change");
    let bytes = whole.encode();
    for length in 0..bytes.len() {
        assert!(Entry::decode(&bytes[..length]).is_err(), "truncated to {length} bytes");
    }
    for index in (0..bytes.len()).filter(|index| !(1..17).contains(index)) {
        let mut changed = bytes.clone();
        changed[index] ^= 0x10;
        assert!(Entry::decode(&changed).is_err(), "changed at byte {index}");
    }
}

#[test]
fn given_invalid_bytes_when_decoded_then_the_error_names_the_reason() {
    let bytes = entry(5, 7, "body").encode();
    let mut format = bytes.clone();
    format[0] = 9;
    let mut body = bytes.clone();
    *body.last_mut().expect("a body") ^= 1;

    assert_eq!(Entry::decode(&format), Err(EntryError::Format { format: 9 }));
    assert_eq!(Entry::decode(&bytes[..20]), Err(EntryError::Length { bytes: 20 }));
    assert_eq!(Entry::decode(&body), Err(EntryError::Body { version: 7 }));
    let too_large = vec![1; (8 << 20) + 34];
    assert_eq!(Entry::decode(&too_large), Err(EntryError::Length { bytes: too_large.len() }));
}

#[test]
fn given_a_snapshot_when_encoded_and_decoded_then_it_is_the_same_register() {
    for register in [
        ConfigurationRegister::new(),
        register(&[entry(0, 3, "first")]),
        register(&[entry(0, 3, "first"), entry(3, 9, "second")]),
    ] {
        assert_eq!(ConfigurationRegister::decode(&register.encode()), Ok(register));
    }
}

#[test]
fn given_a_snapshot_truncated_or_changed_when_decoded_then_it_is_rejected() {
    let bytes = register(&[entry(0, 3, "first"), entry(3, 9, "second")]).encode();
    for length in 0..bytes.len() {
        assert!(ConfigurationRegister::decode(&bytes[..length]).is_err(), "truncated to {length} bytes");
    }
    let mut trailing = bytes.clone();
    trailing.push(0);
    assert_eq!(ConfigurationRegister::decode(&trailing), Err(SnapshotError::Body { version: 9 }));
    let mut format = bytes.clone();
    format[0] = 2;
    assert_eq!(ConfigurationRegister::decode(&format), Err(SnapshotError::Format { format: 2 }));
    let mut count = bytes.clone();
    count[1..5].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(ConfigurationRegister::decode(&count), Err(SnapshotError::Length { bytes: bytes.len() }));
    // The base of the second change. This change begins after the header and the first change.
    let mut base = bytes.clone();
    base[5 + 32] = 4;
    assert_eq!(ConfigurationRegister::decode(&base), Err(SnapshotError::History { version: 9 }));
    let mut version = bytes;
    version[5 + 32 + 8] = 2;
    assert_eq!(ConfigurationRegister::decode(&version), Err(SnapshotError::History { version: 2 }));
}

#[test]
fn given_a_snapshot_with_more_changes_than_the_history_holds_when_decoded_then_it_is_rejected() {
    let entries: Vec<Entry> = (1..=MAX_HISTORY as u64).map(|base| entry(base, base + 1, "body")).collect();
    let mut register = register(&[entry(0, 1, "body")]);
    entries.iter().for_each(|entry| assert_eq!(register.apply(entry), Applied::Accepted));
    let full = register.encode();
    assert_eq!(ConfigurationRegister::decode(&full), Ok(register));

    // A change on which the oldest change in the history builds is put before it.
    let oldest = entry(0, 1, "body").encode();
    let one_more = [&full[..1], &(MAX_HISTORY as u32 + 1).to_le_bytes(), &oldest[1..33], &full[5..]].concat();

    let error = SnapshotError::Length { bytes: one_more.len() };
    assert_eq!(ConfigurationRegister::decode(&one_more), Err(error));
}

#[test]
fn given_an_empty_snapshot_with_a_body_when_decoded_then_it_is_rejected() {
    let mut bytes = ConfigurationRegister::new().encode();
    bytes.push(b'x');

    assert_eq!(ConfigurationRegister::decode(&bytes), Err(SnapshotError::Body { version: 0 }));
}

/// Generates entries from few bases, versions and bodies, so that most changes conflict.
fn any_entry() -> impl Strategy<Value = Entry> {
    (0..8_u64, 0..9_u64, 0..3_u8).prop_map(|(base, version, body)| entry(base, version, &body.to_string()))
}

/// A step of two replicas that both act as the leader of a partition, as one of them doesn't know yet that it was
/// replaced.
#[derive(Clone, Debug)]
enum Step {
    /// The change of an operator reaches a leader.
    Call { leader: usize, entry: Entry },
    /// The oldest proposal of a leader is appended to the log. If the leader keeps the proposal, it may be appended
    /// again.
    Commit { leader: usize, keeps_proposal: bool },
    /// A leader applies the next entry of the log.
    Apply { leader: usize },
    /// A leader restarts from a snapshot of its register.
    Restart { leader: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_usize, any_entry()).prop_map(|(leader, entry)| Step::Call { leader, entry }),
        3 => (0..2_usize, any::<bool>()).prop_map(|(leader, keeps_proposal)| Step::Commit { leader, keeps_proposal }),
        4 => (0..2_usize).prop_map(|leader| Step::Apply { leader }),
        1 => (0..2_usize).prop_map(|leader| Step::Restart { leader }),
    ]
}

#[derive(Default)]
struct Leader {
    register: ConfigurationRegister,
    pending: Pending,
    proposals: Vec<Entry>,
    applied: usize,
}

/// Two leaders that share one log, and the changes that they have acknowledged to operators.
#[derive(Default)]
struct LeaderPair {
    leaders: [Leader; 2],
    log: Vec<Entry>,
    acknowledged: HashSet<Change>,
}

impl LeaderPair {
    fn step(&mut self, step: Step) {
        match step {
            Step::Call { leader, entry } => self.call(leader, entry),
            Step::Commit { leader, keeps_proposal } => self.commit(leader, keeps_proposal),
            Step::Apply { leader } => self.apply(leader),
            Step::Restart { leader } => self.restart(leader),
        }
    }

    fn call(&mut self, leader: usize, entry: Entry) {
        let leader = &mut self.leaders[leader];
        match leader.register.judge(entry.change(), &leader.pending) {
            Verdict::Accept => {
                leader.pending.propose(*entry.change());
                leader.proposals.push(entry);
            }
            Verdict::AlreadyAccepted => {
                self.acknowledged.insert(*entry.change());
            }
            Verdict::VersionMismatch
            | Verdict::OlderThanHistory
            | Verdict::VersionNotAbove
            | Verdict::Undecided => {}
        }
    }

    fn commit(&mut self, leader: usize, keeps_proposal: bool) {
        let proposals = &mut self.leaders[leader].proposals;
        if let Some(entry) = proposals.first().cloned() {
            self.log.push(Entry::decode(&entry.encode()).expect("the entry was just encoded"));
            if !keeps_proposal {
                proposals.remove(0);
            }
        }
    }

    fn apply(&mut self, leader: usize) {
        let leader = &mut self.leaders[leader];
        let Some(entry) = self.log.get(leader.applied) else { return };
        leader.applied += 1;
        leader.pending.applied(entry.change());
        if leader.register.apply(entry).answer() == Answer::Acknowledged {
            self.acknowledged.insert(*entry.change());
        }
    }

    fn restart(&mut self, leader: usize) {
        let leader = &mut self.leaders[leader];
        leader.register =
            ConfigurationRegister::decode(&leader.register.encode()).expect("the snapshot was just encoded");
        leader.pending.clear();
        leader.proposals.clear();
    }

    /// Checks that both leaders, once they have applied the whole log, acknowledge every change that was acknowledged
    /// before, and that their registers are equal.
    fn check_agreement(&mut self) {
        for index in 0..self.leaders.len() {
            while self.leaders[index].applied < self.log.len() {
                self.apply(index);
            }
        }
        let mut successors = HashMap::new();
        for change in &self.acknowledged {
            assert_eq!(successors.insert(change.base, change), None, "two changes on one base");
            for leader in &self.leaders {
                assert_eq!(leader.register.judge(change, &leader.pending), Verdict::AlreadyAccepted);
            }
        }
        assert_eq!(self.leaders[0].register, self.leaders[1].register);
    }
}

/// Returns a configuration of proptest that generates the same cases in every run.
fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20261),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn given_two_leaders_over_one_log_when_calls_and_commits_mix_then_one_change_is_accepted_for_each_base(
        steps in proptest::collection::vec(any_step(), 1..120),
    ) {
        let mut leaders = LeaderPair::default();
        for step in steps {
            leaders.step(step);
        }
        leaders.check_agreement();
    }

    #[test]
    fn given_any_log_when_replayed_from_a_snapshot_then_the_register_and_the_outcomes_are_the_same(
        log in proptest::collection::vec(any_entry(), 0..60),
        split_index in 0..60_usize,
    ) {
        let mut from_whole_log = ConfigurationRegister::new();
        let outcomes: Vec<Applied> = log.iter().map(|entry| from_whole_log.apply(entry)).collect();

        let split_index = split_index.min(log.len());
        let mut before_snapshot = ConfigurationRegister::new();
        for entry in &log[..split_index] {
            before_snapshot.apply(entry);
        }
        let mut from_snapshot = ConfigurationRegister::decode(&before_snapshot.encode()).expect("a snapshot");
        let outcomes_after_snapshot: Vec<Applied> =
            log[split_index..].iter().map(|entry| from_snapshot.apply(entry)).collect();

        prop_assert_eq!(&outcomes[split_index..], &outcomes_after_snapshot[..]);
        prop_assert_eq!(&from_whole_log, &from_snapshot);
        let versions: Vec<u64> = from_whole_log.history().map(|change| change.version).collect();
        prop_assert!(versions.is_sorted_by(|version, next| version < next));
    }

    #[test]
    fn given_any_bytes_when_decoded_then_there_is_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let with_valid_format: Vec<u8> = std::iter::once(1).chain(bytes.iter().copied()).collect();
        for bytes in [&bytes, &with_valid_format] {
            let _ = Entry::decode(bytes);
            let _ = ConfigurationRegister::decode(bytes);
        }
    }
}

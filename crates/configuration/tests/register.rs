//! The register: at most one change for each base, and what was acknowledged stays so.

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

/// A register after the entries, each of which is accepted.
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
#[case::next(5, 9, "new", Verdict::Accept)]
#[case::uneven_step(5, 4000, "new", Verdict::Accept)]
#[case::the_same_again(3, 5, "second", Verdict::AlreadyAccepted)]
#[case::an_older_one_again(0, 3, "first", Verdict::AlreadyAccepted)]
#[case::same_version_other_body(3, 5, "other", Verdict::VersionMismatch)]
#[case::same_body_other_base(0, 5, "second", Verdict::VersionMismatch)]
#[case::same_body_on_itself(5, 5, "second", Verdict::VersionNotAbove)]
#[case::same_body_higher_version(3, 6, "second", Verdict::VersionMismatch)]
#[case::not_above(5, 4, "new", Verdict::VersionNotAbove)]
#[case::zero(5, 0, "new", Verdict::VersionNotAbove)]
#[case::old_base(3, 9, "new", Verdict::VersionMismatch)]
#[case::between(4, 9, "new", Verdict::VersionMismatch)]
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
    assert_eq!(register.apply(&change), applied, "what is applied agrees with the verdict");
}

#[rstest]
#[case::on_the_same_base(5, 9, "new", Verdict::Undecided)]
#[case::the_same(5, 7, "pending", Verdict::Undecided)]
#[case::on_the_pending_version(7, 9, "new", Verdict::Undecided)]
#[case::old_base(3, 9, "new", Verdict::VersionMismatch)]
#[case::taken_before(3, 5, "second", Verdict::AlreadyAccepted)]
#[case::not_above(5, 5, "new", Verdict::VersionNotAbove)]
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
fn given_a_pending_change_when_it_is_applied_then_those_that_waited_are_decided() {
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
    assert!(!pending.is_empty(), "the other is still under way");
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

/// A register that has accepted one change more than it remembers: versions 3, 6, 9 and so on.
fn register_that_forgot_one() -> (ConfigurationRegister, Vec<Entry>) {
    let count = MAX_HISTORY as u64 + 1;
    let entries: Vec<Entry> = (0..count).map(|index| entry(index * 3, (index + 1) * 3, "body")).collect();
    (register(&entries), entries)
}

#[test]
fn given_more_changes_than_the_history_holds_when_an_old_one_comes_again_then_it_is_neither_rejected_nor_accepted()
 {
    let (mut register, entries) = register_that_forgot_one();

    assert_eq!(register.history().count(), MAX_HISTORY);
    assert_eq!(judge(&register, &entries[1]), Verdict::AlreadyAccepted, "the oldest that is remembered");
    assert_eq!(judge(&register, &entries[0]), Verdict::OlderThanHistory);
    assert_eq!(judge(&register, &entries[0]).answer(), None);
    assert_eq!(register.apply(&entries[0]), Applied::Conflict);
    assert_eq!(register.version(), (MAX_HISTORY as u64 + 1) * 3);
}

#[rstest]
#[case::below_what_is_remembered(0, 2, Verdict::OlderThanHistory)]
#[case::the_forgotten_number_with_another_body(0, 3, Verdict::OlderThanHistory)]
#[case::that_can_never_have_been_taken(3, 3, Verdict::VersionMismatch)]
#[case::between_two_that_are_remembered(3, 5, Verdict::VersionMismatch)]
#[case::a_remembered_number_with_another_body(3, 6, Verdict::VersionMismatch)]
#[case::a_forgotten_base_and_a_later_number(0, 4, Verdict::VersionMismatch)]
fn given_a_change_older_than_the_history_when_another_one_comes_then_it_is_rejected_if_it_was_certainly_not_accepted(
    #[case] base: u64,
    #[case] version: u64,
    #[case] verdict: Verdict,
) {
    let (register, _) = register_that_forgot_one();

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
    let odd = Entry::new(5, 7, Arc::from(&b"{ \"a\" :\r\n 1.0e0 }\xff\0"[..]));

    assert_eq!(Entry::decode(&odd.encode()), Ok(odd));
    assert_eq!(Entry::decode(&entry(0, 1, "").encode()), Ok(entry(0, 1, "")));
}

#[test]
fn given_an_entry_cut_or_changed_anywhere_when_decoded_then_it_is_rejected_or_another_change() {
    let whole = entry(5, 7, "body of the change");
    let bytes = whole.encode();
    for length in 0..bytes.len() {
        assert!(Entry::decode(&bytes[..length]).is_err(), "cut at {length}");
    }
    for at in (0..bytes.len()).filter(|at| !(1..17).contains(at)) {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert!(Entry::decode(&changed).is_err(), "changed at {at}");
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
    let large = vec![1; (8 << 20) + 34];
    assert_eq!(Entry::decode(&large), Err(EntryError::Length { bytes: large.len() }));
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
fn given_a_snapshot_cut_or_changed_when_decoded_then_it_is_rejected() {
    let bytes = register(&[entry(0, 3, "first"), entry(3, 9, "second")]).encode();
    for length in 0..bytes.len() {
        assert!(ConfigurationRegister::decode(&bytes[..length]).is_err(), "cut at {length}");
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
    // The base of the second change, which begins after the head and the first.
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

    // The change before the oldest, which fits it, set before it.
    let oldest = entry(0, 1, "body").encode();
    let one_more = [&full[..1], &(MAX_HISTORY as u32 + 1).to_le_bytes(), &oldest[1..33], &full[5..]].concat();

    let reason = SnapshotError::Length { bytes: one_more.len() };
    assert_eq!(ConfigurationRegister::decode(&one_more), Err(reason));
}

#[test]
fn given_an_empty_snapshot_with_a_body_when_decoded_then_it_is_rejected() {
    let mut bytes = ConfigurationRegister::new().encode();
    bytes.push(b'x');

    assert_eq!(ConfigurationRegister::decode(&bytes), Err(SnapshotError::Body { version: 0 }));
}

/// Few bases, versions and bodies, so that most changes clash.
fn any_entry() -> impl Strategy<Value = Entry> {
    (0..8_u64, 0..9_u64, 0..3_u8).prop_map(|(base, version, body)| entry(base, version, &body.to_string()))
}

/// What the two leaders of a part do, of whom one doesn't know yet that it was replaced.
#[derive(Clone, Debug)]
enum Step {
    /// An operator's call reaches a leader.
    Call { leader: usize, entry: Entry },
    /// The log goes on with the oldest proposal of a leader, which may stand in it more than once.
    Commit { leader: usize, keep: bool },
    /// A leader reads the next entry of the log.
    Apply { leader: usize },
    /// A leader starts again from a snapshot of itself.
    Restart { leader: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_usize, any_entry()).prop_map(|(leader, entry)| Step::Call { leader, entry }),
        3 => (0..2_usize, any::<bool>()).prop_map(|(leader, keep)| Step::Commit { leader, keep }),
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

/// Two leaders over one log. Keeps what operators were told.
#[derive(Default)]
struct Fleet {
    leaders: [Leader; 2],
    log: Vec<Entry>,
    acknowledged: HashSet<Change>,
}

impl Fleet {
    fn step(&mut self, step: Step) {
        match step {
            Step::Call { leader, entry } => self.call(leader, entry),
            Step::Commit { leader, keep } => self.commit(leader, keep),
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

    fn commit(&mut self, leader: usize, keep: bool) {
        let proposals = &mut self.leaders[leader].proposals;
        if let Some(entry) = proposals.first().cloned() {
            self.log.push(Entry::decode(&entry.encode()).expect("what was encoded"));
            if !keep {
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
        leader.register = ConfigurationRegister::decode(&leader.register.encode()).expect("its own snapshot");
        leader.pending.clear();
        leader.proposals.clear();
    }

    /// Every acknowledged change is acknowledged by any leader that has read the log.
    fn check(&mut self) {
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

/// The same cases at every run.
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
        let mut fleet = Fleet::default();
        for step in steps {
            fleet.step(step);
        }
        fleet.check();
    }

    #[test]
    fn given_any_log_when_replayed_from_a_snapshot_then_the_register_and_the_outcomes_are_the_same(
        log in proptest::collection::vec(any_entry(), 0..60),
        cut in 0..60_usize,
    ) {
        let mut whole = ConfigurationRegister::new();
        let outcomes: Vec<Applied> = log.iter().map(|entry| whole.apply(entry)).collect();

        let cut = cut.min(log.len());
        let mut first = ConfigurationRegister::new();
        for entry in &log[..cut] {
            first.apply(entry);
        }
        let mut second = ConfigurationRegister::decode(&first.encode()).expect("a snapshot");
        let rest: Vec<Applied> = log[cut..].iter().map(|entry| second.apply(entry)).collect();

        prop_assert_eq!(&outcomes[cut..], &rest[..]);
        prop_assert_eq!(&whole, &second);
        let versions: Vec<u64> = whole.history().map(|change| change.version).collect();
        prop_assert!(versions.is_sorted_by(|one, next| one < next));
    }

    #[test]
    fn given_any_bytes_when_decoded_then_nothing_breaks(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let formed: Vec<u8> = std::iter::once(1).chain(bytes.iter().copied()).collect();
        for bytes in [&bytes, &formed] {
            let _ = Entry::decode(bytes);
            let _ = ConfigurationRegister::decode(bytes);
        }
    }
}

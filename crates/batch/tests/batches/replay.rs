//! Replicas that apply the same entries reach the same state, from the log or from a snapshot.

use grebeusher_batch::*;
use nanoserde::{DeBin, SerBin};
use proptest::prelude::*;

use crate::fixture::*;

fn name() -> impl Strategy<Value = String> {
    (0u8..4).prop_map(|number| format!("j{number}"))
}

fn item_result() -> impl Strategy<Value = ItemResult> {
    (0u16..5, any::<bool>(), ".{0,6}").prop_map(|(index, is_complete, text)| {
        let state = if is_complete { ResultState::Complete } else { ResultState::DeadLetter };
        result(index, state, &text)
    })
}

fn job_results() -> impl Strategy<Value = JobResults> {
    (name(), prop::collection::vec(item_result(), 0..4))
        .prop_map(|(name, results)| JobResults { job: job(&name), results })
}

fn event_chunk() -> impl Strategy<Value = EventChunk> {
    (prop::option::of(0u64..4), 0u64..5, "[a-z]{0,3}").prop_map(|(after, last, text)| EventChunk {
        after,
        last,
        text,
    })
}

fn progress() -> impl Strategy<Value = ItemProgress> {
    (name(), 0u16..5, 0u32..4, prop::option::of(event_chunk())).prop_map(
        |(name, index, failed_attempts, events)| ItemProgress {
            job: job(&name),
            item: ItemIndex(index),
            failed_attempts,
            events,
        },
    )
}

pub fn entry() -> impl Strategy<Value = Entry> {
    prop_oneof![
        3 => (name(), 0usize..5).prop_map(|(name, items)| submit(&name, items)),
        6 => prop::collection::vec(job_results(), 0..3).prop_map(Entry::Results),
        3 => prop::collection::vec(progress(), 0..3).prop_map(Entry::Progress),
        1 => name().prop_map(|name| Entry::Ended { job: job(&name) }),
        1 => prop::collection::vec(name(), 0..3)
            .prop_map(|names| Entry::Remove { jobs: names.iter().map(|name| job(name)).collect() }),
    ]
}

fn apply_all(jobs: &mut Jobs, entries: &[Entry]) -> Vec<Applied> {
    entries.iter().map(|entry| jobs.apply(entry.clone())).collect()
}

/// The tokens of open items, computed from the bodies that are readable. Each item has 100 tokens.
fn expected_waiting_tokens(jobs: &Jobs) -> u64 {
    let names: Vec<String> = jobs.ids().map(|job| job.as_str().to_owned()).collect();
    let waits =
        |name: &String, index: usize| jobs.item_body(&job(name), &format!("{name}-{index}")).is_some();
    names.iter().map(|name| (0..5).filter(|index| waits(name, *index)).count() as u64 * 100).sum()
}

proptest! {
    #[test]
    fn a_snapshot_and_later_entries_give_the_same_state(
        entries in prop::collection::vec(entry(), 0..60),
        cut in 0usize..60,
    ) {
        let cut = cut.min(entries.len());
        let (mut whole, mut behind) = (Jobs::new(), Jobs::new());
        let results = apply_all(&mut whole, &entries);
        apply_all(&mut behind, &entries[..cut]);
        let mut restored = Jobs::from_snapshot(&behind.to_snapshot()).expect("valid bytes");
        prop_assert_eq!(&restored, &behind);
        prop_assert_eq!(apply_all(&mut restored, &entries[cut..]), &results[cut..]);
        prop_assert_eq!(&restored, &whole, "including the sums");
        prop_assert_eq!(restored.to_snapshot(), whole.to_snapshot());
    }

    #[test]
    fn entries_round_trip_through_bytes(entry in entry()) {
        let bytes = entry.serialize_bin();
        prop_assert_eq!(&Entry::deserialize_bin(&bytes).expect("valid bytes"), &entry);
        for end in 0..bytes.len() {
            prop_assert!(Entry::deserialize_bin(&bytes[..end]).is_err(), "cut at {}", end);
        }
    }

    /// Guards against lost, changed and duplicate results with any entries: a result keeps its position until the job is
    /// removed, each item has at most one result, and the sum of waiting tokens is correct.
    #[test]
    fn positions_never_change(entries in prop::collection::vec(entry(), 0..80)) {
        let mut jobs = Jobs::new();
        for entry in entries {
            let before = jobs.clone();
            let applied = jobs.apply(entry);
            let removed = match applied { Applied::Removed(names) => names, _ => vec![] };
            for id in before.ids().filter(|id| !removed.contains(id)) {
                let old = before.read(id, 0, usize::MAX).expect("it was there");
                let new = jobs.read(id, 0, usize::MAX).expect("it is still there");
                prop_assert_eq!(old.total, new.total);
                prop_assert_eq!(old.results, &new.results[..old.results.len()]);
                let mut names: Vec<&str> = new.results.iter().map(ListedResult::item_id).collect();
                names.sort_unstable();
                names.dedup();
                prop_assert_eq!(names.len(), new.results.len());
            }
            prop_assert_eq!(jobs.waiting_tokens(ROUTE), expected_waiting_tokens(&jobs));
        }
    }

    #[test]
    fn a_truncated_or_extended_snapshot_is_rejected(entries in prop::collection::vec(entry(), 0..20)) {
        let mut jobs = Jobs::new();
        apply_all(&mut jobs, &entries);
        let mut bytes = jobs.to_snapshot();
        for end in 0..bytes.len() {
            prop_assert!(Jobs::from_snapshot(&bytes[..end]).is_err(), "cut at {}", end);
        }
        bytes.push(0);
        let is_surplus = matches!(Jobs::from_snapshot(&bytes), Err(SnapshotError::TrailingBytes { bytes: 1 }));
        prop_assert!(is_surplus);
    }

    #[test]
    fn a_corrupt_snapshot_does_not_panic(
        entries in prop::collection::vec(entry(), 5..20),
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut jobs = Jobs::new();
        apply_all(&mut jobs, &entries);
        let mut bytes = jobs.to_snapshot();
        let index = index.index(bytes.len());
        bytes[index] = byte;
        let _ = Jobs::from_snapshot(&bytes);
    }
}

#[test]
fn a_snapshot_of_another_version_is_rejected() {
    let mut bytes = Jobs::new().to_snapshot();
    bytes[0] += 1;
    assert!(matches!(Jobs::from_snapshot(&bytes), Err(SnapshotError::OtherVersion { .. })));
    assert!(Jobs::from_snapshot(&[]).is_err());
}

#[test]
fn progress_must_follow_the_last_event() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 1));
    let chunk = |after, last, text: &str| {
        let events = Some(EventChunk { after, last, text: text.into() });
        Entry::Progress(vec![ItemProgress { job: job("j"), item: ItemIndex(0), failed_attempts: 0, events }])
    };
    assert_eq!(jobs.apply(chunk(Some(0), 2, "not yet")), Applied::Progressed(0));
    assert_eq!(jobs.apply(chunk(None, 1, "a\nb")), Applied::Progressed(1));
    assert_eq!(jobs.apply(chunk(None, 1, "a\nb")), Applied::Progressed(0), "repeated");
    assert_eq!(jobs.apply(chunk(Some(0), 2, "c")), Applied::Progressed(0), "overlapping");
    assert_eq!(jobs.apply(chunk(Some(2), 3, "d")), Applied::Progressed(0), "with a gap");
    assert_eq!(jobs.apply(chunk(Some(1), 1, "d")), Applied::Progressed(0), "without a new event");
    assert_eq!(jobs.apply(chunk(Some(1), 2, "c")), Applied::Progressed(1));
}

/// Guards against a snapshot with an item that occurs twice, or with more items than the job has.
#[test]
fn an_inconsistent_snapshot_is_rejected() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 2));
    let mut open = jobs.to_snapshot();
    jobs.apply(complete_item("j", 0, "text"));
    jobs.apply(complete_item("j", 1, "text"));
    let mut listed = jobs.to_snapshot();
    let index = listed.windows(3).rposition(|bytes| bytes == b"j-1").expect("it is listed");
    listed[index + 2] = b'0';
    assert!(Jobs::from_snapshot(&listed).is_err(), "one item at two positions");
    assert_eq!(open.pop(), Some(0), "no item is listed");
    open.extend([1, 3, b'j', b'-', b'2', 0, 0]);
    assert!(Jobs::from_snapshot(&open).is_err(), "two open items and one result in a job of two items");
}

//! Sharing of memory between the log and the jobs: jobs refer to the payloads of log entries without copying them, and
//! release them when they are no longer needed.

use std::sync::Arc;

use grebeusher_batch::*;
use nanoserde::SerBin;

use crate::fixture::*;

/// Applies an entry that refers to its payload, as the log does, and returns the payload. A reference count above one
/// means that the jobs still refer to it.
fn committed(jobs: &mut Jobs, entry: Entry) -> Arc<[u8]> {
    let payload: Arc<[u8]> = entry.serialize_bin().into();
    let read = Entry::from_shared(&SharedBytes::from(payload.clone())).expect("valid bytes");
    assert_eq!(read, entry);
    jobs.apply(read);
    payload
}

fn is_released(payload: &Arc<[u8]>) -> bool {
    Arc::strong_count(payload) == 1
}

fn refers_to(slice: &[u8], payload: &Arc<[u8]>) -> bool {
    payload.as_ptr_range().contains(&slice.as_ptr())
}

#[test]
fn bodies_and_texts_refer_to_the_payloads() {
    let mut jobs = Jobs::new();
    let submission = committed(&mut jobs, submit("j", 2));
    let results = committed(&mut jobs, complete_item("j", 0, "a text"));
    let body = jobs.item_body(&job("j"), "j-1").expect("it waits");
    assert_eq!(body, b"body of j-1");
    assert!(refers_to(body, &submission));
    let page = jobs.read(&job("j"), 0, MAX_PAGE_BYTES).expect("the job is known");
    assert_eq!(page.results[0].text(), "a text");
    assert!(refers_to(page.results[0].text().as_bytes(), &results));
}

#[test]
fn a_submission_is_released_when_its_last_item_is_listed() {
    let mut jobs = Jobs::new();
    let submission = committed(&mut jobs, submit("j", 3));
    for index in [2, 0] {
        committed(&mut jobs, complete_item("j", index, "text"));
        assert!(!is_released(&submission), "some items are open");
    }
    committed(&mut jobs, complete_item("j", 1, "text"));
    assert!(is_released(&submission));
    assert_eq!(listed_results(&jobs, "j").len(), 3);
}

#[test]
fn a_submission_is_released_when_its_job_ends() {
    let mut jobs = Jobs::new();
    let submission = committed(&mut jobs, submit("j", 3));
    let results = committed(&mut jobs, complete_item("j", 0, "text"));
    committed(&mut jobs, Entry::Ended { job: job("j") });
    assert!(is_released(&submission));
    assert!(!is_released(&results), "clients still read the results");
    committed(&mut jobs, Entry::Remove { jobs: vec![job("j")] });
    assert!(is_released(&results));
}

#[test]
fn an_entry_without_effect_is_released() {
    let mut jobs = Jobs::new();
    committed(&mut jobs, submit("j", 1));
    assert!(is_released(&committed(&mut jobs, submit("j", 1))), "the job is known");
    committed(&mut jobs, complete_item("j", 0, "text"));
    assert!(is_released(&committed(&mut jobs, complete_item("j", 0, "another"))), "the item is listed");
}

#[test]
fn a_result_without_text_is_released() {
    let mut jobs = Jobs::new();
    committed(&mut jobs, submit("j", 1));
    let results = vec![result(0, ResultState::DeadLetter, "")];
    let payload = committed(&mut jobs, Entry::Results(vec![JobResults { job: job("j"), results }]));
    assert_eq!(listed_results(&jobs, "j").len(), 1);
    assert!(is_released(&payload));
}

/// Unfinished texts grow with each progress entry, so the jobs have their own copies.
#[test]
fn progress_is_copied() {
    let mut jobs = Jobs::new();
    committed(&mut jobs, submit("j", 1));
    let events = Some(EventChunk { after: None, last: 1, text: "begun".into() });
    let progress = ItemProgress { job: job("j"), item: ItemIndex(0), failed_attempts: 1, events };
    assert!(is_released(&committed(&mut jobs, Entry::Progress(vec![progress]))));
}

#[test]
fn a_run_refers_to_its_body_until_it_ends() {
    let mut jobs = Jobs::new();
    let submission = committed(&mut jobs, submit("j", 1));
    let mut runner = runner(7);
    runner.start_leading(&jobs, at(0), 0);
    let request = runner.next_item(&jobs, at(0), &any_capacity).expect("it may run");
    assert!(refers_to(&request.body, &submission));
    committed(&mut jobs, complete_item("j", 0, "text"));
    assert!(!is_released(&submission));
    drop(request);
    assert!(is_released(&submission));
}

#[test]
fn restored_jobs_refer_to_the_snapshot_alone() {
    let mut jobs = Jobs::new();
    let submission = committed(&mut jobs, submit("j", 2));
    let results = committed(&mut jobs, complete_item("j", 0, "a text"));
    let snapshot: Arc<[u8]> = jobs.to_snapshot().into();
    let restored = Jobs::from_shared_snapshot(&SharedBytes::from(snapshot.clone())).expect("valid bytes");
    assert_eq!(restored, jobs);
    jobs = restored;
    assert!(is_released(&submission) && is_released(&results));
    assert!(refers_to(jobs.item_body(&job("j"), "j-1").expect("it waits"), &snapshot));
    let page = jobs.read(&job("j"), 0, MAX_PAGE_BYTES).expect("the job is known");
    assert!(refers_to(page.results[0].text().as_bytes(), &snapshot));
    jobs.apply(Entry::Ended { job: job("j") });
    jobs.apply(Entry::Remove { jobs: vec![job("j")] });
    assert!(is_released(&snapshot));
}

#[test]
fn a_snapshot_is_appended_to_the_buffer() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 2));
    let mut bytes = vec![7];
    jobs.write_snapshot(&mut bytes);
    assert_eq!(bytes, [&[7][..], &jobs.to_snapshot()].concat());
}

#[test]
fn slices_stay_within_their_bytes() {
    let bytes = SharedBytes::from(&b"0123456789"[..]);
    let inner = bytes.slice(2..8).expect("it holds it");
    assert_eq!(inner.as_slice(), b"234567");
    assert_eq!(inner.slice(1..6).expect("it holds it").as_slice(), b"34567");
    assert_eq!(inner.slice(1..7), None, "within the buffer, but not within the slice");
    #[expect(clippy::reversed_empty_ranges)]
    let reversed = inner.slice(3..2);
    assert_eq!(reversed, None);
    assert_eq!(inner.skip(4).as_slice(), b"67");
    assert!(inner.skip(6).is_empty() && inner.skip(7).is_empty());
    assert_eq!(inner, SharedBytes::from(b"234567".to_vec()), "slices with equal bytes are equal");
}

#[test]
fn text_is_checked_when_it_is_made() {
    assert!(SharedText::new(SharedBytes::from(&b"\xc3"[..])).is_err());
    let text = SharedText::new(SharedBytes::from("aé".as_bytes())).expect("text");
    assert_eq!((text.as_str(), text.len()), ("aé", 3));
    let cut = SharedBytes::from("aé".as_bytes()).slice(0..2).expect("it holds it");
    assert!(SharedText::new(cut).is_err(), "cut within a character");
}

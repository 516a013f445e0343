//! The state of a batch partition in bytes: the form on disks stays, and what is restored refers to the bytes.

use grebeusher_batch::{
    Entry, Header, ItemSpec, JobId, JobSettings, Jobs, MAX_PAGE_BYTES, SharedBytes, Submission,
};
use grebeusher_tier::batch::partition::{BatchPartition, RestoreError};
use nanoserde::SerBin;
use std::sync::Arc;

/// The frame as it was first written to disks.
#[derive(SerBin)]
struct Frame {
    jobs: Vec<u8>,
    retiring: Vec<String>,
}

fn jobs() -> Jobs {
    let item = ItemSpec {
        id: "a".into(),
        path: "/lots/a".into(),
        headers: vec![Header { name: "Accept".into(), value: "text/plain".into() }],
        body: b"what is asked".to_vec().into(),
        token_count: 30,
    };
    let submission = Submission {
        job: JobId::new("j").expect("a name"),
        route: "lots".into(),
        service: "models".into(),
        host: "lots.example".into(),
        items: vec![item],
    };
    let mut jobs = Jobs::new();
    jobs.apply(Entry::Submit { submission, settings: JobSettings::default() });
    jobs
}

fn frame(jobs: &Jobs) -> Arc<[u8]> {
    let frame = Frame { jobs: jobs.to_snapshot(), retiring: vec!["node-1".into(), "node-2".into()] };
    frame.serialize_bin().into()
}

#[test]
fn a_state_from_the_disk_is_taken_over_and_written_alike() {
    let bytes = frame(&jobs());
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(bytes.clone())).expect("whole");
    assert_eq!(partition.jobs(), &jobs());
    assert_eq!(partition.snapshot(), bytes.to_vec());
    let empty = Frame { jobs: Jobs::new().to_snapshot(), retiring: Vec::new() };
    assert_eq!(BatchPartition::new(1 << 20, 1).snapshot(), empty.serialize_bin());
}

#[test]
fn a_restored_state_refers_to_the_bytes_and_to_no_earlier_ones() {
    let (first, second) = (frame(&jobs()), frame(&jobs()));
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(first.clone())).expect("whole");
    assert!(Arc::strong_count(&first) > 1);
    partition.restore(&SharedBytes::from(second.clone())).expect("whole");
    assert_eq!(Arc::strong_count(&first), 1);
    assert!(Arc::strong_count(&second) > 1);
    let job = JobId::new("j").expect("a name");
    assert_eq!(partition.jobs().item_body(&job, "a"), Some(&b"what is asked"[..]));
    assert_eq!(partition.jobs().read(&job, 0, MAX_PAGE_BYTES).map(|page| page.total), Some(1));
}

#[test]
fn a_state_that_is_cut_off_or_lies_about_its_length_is_refused_and_changes_nothing() {
    let bytes = frame(&jobs());
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(bytes.clone())).expect("whole");
    for end in 0..bytes.len() {
        assert!(partition.restore(&SharedBytes::from(&bytes[..end])).is_err(), "cut at {end}");
    }
    let mut long = bytes.to_vec();
    long[..8].copy_from_slice(&u64::MAX.to_le_bytes());
    assert!(matches!(partition.restore(&SharedBytes::from(long)), Err(RestoreError::CutOff)));
    assert_eq!(partition.jobs(), &jobs());
}

//! The encoded state of a batch partition: its format on disk must not change, and a restored state refers to
//! the encoded bytes instead of copying them.

use grebeusher_batch::{
    Entry, Header, ItemSpec, JobId, JobSettings, Jobs, MAX_PAGE_BYTES, SharedBytes, Submission,
};
use grebeusher_tier::batch::partition::{BatchPartition, RestoreError};
use nanoserde::SerBin;
use std::sync::Arc;

/// The encoded state in the format that nodes have written to disk since the first version.
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
        body: b"a prompt".to_vec().into(),
        token_count: 30,
    };
    let submission = Submission {
        job: JobId::new("j").expect("a valid job id"),
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
fn a_state_from_the_disk_is_restored_and_encoded_identically() {
    let bytes = frame(&jobs());
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(bytes.clone())).expect("a complete state");
    assert_eq!(partition.jobs(), &jobs());
    assert_eq!(partition.snapshot(), bytes.to_vec());
    let empty = Frame { jobs: Jobs::new().to_snapshot(), retiring: Vec::new() };
    assert_eq!(BatchPartition::new(1 << 20, 1).snapshot(), empty.serialize_bin());
}

#[test]
fn a_restored_state_refers_to_its_encoded_bytes_and_not_to_earlier_ones() {
    let (first, second) = (frame(&jobs()), frame(&jobs()));
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(first.clone())).expect("a complete state");
    assert!(Arc::strong_count(&first) > 1);
    partition.restore(&SharedBytes::from(second.clone())).expect("a complete state");
    assert_eq!(Arc::strong_count(&first), 1);
    assert!(Arc::strong_count(&second) > 1);
    let job = JobId::new("j").expect("a valid job id");
    assert_eq!(partition.jobs().item_body(&job, "a"), Some(&b"a prompt"[..]));
    assert_eq!(partition.jobs().read(&job, 0, MAX_PAGE_BYTES).map(|page| page.total), Some(1));
}

#[test]
fn a_truncated_state_or_one_with_a_wrong_length_is_rejected_and_changes_nothing() {
    let bytes = frame(&jobs());
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(bytes.clone())).expect("a complete state");
    for end in 0..bytes.len() {
        assert!(partition.restore(&SharedBytes::from(&bytes[..end])).is_err(), "truncated at {end}");
    }
    let mut wrong_length = bytes.to_vec();
    wrong_length[..8].copy_from_slice(&u64::MAX.to_le_bytes());
    assert!(matches!(partition.restore(&SharedBytes::from(wrong_length)), Err(RestoreError::Truncated)));
    assert_eq!(partition.jobs(), &jobs());
}

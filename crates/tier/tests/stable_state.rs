//! Compatibility of the snapshots of a batch partition: this version must read and write the bytes of earlier versions.

use grebeusher_batch::{
    Entry, Header, ItemIndex, ItemResult, ItemSpec, JobId, JobResults, JobSettings, Jobs, ResultState,
    SharedBytes, Submission,
};
use grebeusher_tier::batch::partition::BatchPartition;
use rstest::rstest;

const EMPTY: &[u8] = b"\x02\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x00";
const WITH_JOBS: &[u8] = b"\\\x00\x00\x00\x00\x00\x00\x00\x01\x01\x05job-1\x04lots\x06models\x0clots.example\x00\x00\x00\xe0\xd4\x03\x03\x00\x00\x00\x02\x01\x01a\x07/lots/a\x01\x06Accept\ntext/plain\x02\x00\xff\xac\x02\x00\x00\x00\x00\x01\x01b\x00\x04done\x02\x00\x00\x00\x00\x00\x00\x00\x06\x00\x00\x00\x00\x00\x00\x00node-1\x06\x00\x00\x00\x00\x00\x00\x00node-2";

fn jobs() -> Jobs {
    let job = JobId::new("job-1").expect("a name");
    let item = |id: &str| ItemSpec {
        id: id.to_owned(),
        path: "/lots/a".into(),
        headers: vec![Header { name: "Accept".into(), value: "text/plain".into() }],
        body: SharedBytes::from(&[0x00, 0xff][..]),
        token_count: 300,
    };
    let submission = Submission {
        job: job.clone(),
        route: "lots".to_owned(),
        service: "models".to_owned(),
        host: "lots.example".to_owned(),
        items: vec![item("a"), item("b")],
    };
    let settings = JobSettings { retention_ms: 60_000, max_attempts: 3, ..JobSettings::default() };
    let mut jobs = Jobs::new();
    jobs.apply(Entry::Submit { submission, settings });
    let result = ItemResult { item: ItemIndex(1), state: ResultState::Complete, text: "done".into() };
    jobs.apply(Entry::Results(vec![JobResults { job, results: vec![result] }]));
    jobs
}

#[rstest]
#[case::nothing(EMPTY, Jobs::new())]
#[case::a_job_and_two_nodes_to_be_emptied(WITH_JOBS, jobs())]
fn the_state_of_a_partition_keeps_its_bytes(#[case] bytes: &[u8], #[case] jobs: Jobs) {
    let mut partition = BatchPartition::new(1 << 20, 1);
    partition.restore(&SharedBytes::from(bytes)).expect("whole");
    assert_eq!(partition.jobs(), &jobs);
    assert_eq!(partition.snapshot().escape_ascii().to_string(), bytes.escape_ascii().to_string());
}

#[test]
fn an_empty_partition_writes_its_bytes() {
    let written = BatchPartition::new(1 << 20, 1).snapshot();
    assert_eq!(written.escape_ascii().to_string(), EMPTY.escape_ascii().to_string());
}

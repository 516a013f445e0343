//! Which partition a batch job belongs to.

use grebeusher_tier::batch::api::{BATCH_PARTITIONS, partition_of_job};
use std::collections::BTreeMap;

#[test]
fn all_jobs_of_a_host_are_in_one_partition_whatever_its_case_and_port() {
    // given a deployment that bears one loss
    let partition = partition_of_job("ficu95.example", "7c41e09b52d6a3f8", false);
    // then neither the job nor how the host is written changes the partition
    assert_eq!(partition_of_job("FICU95.example:8080", "09b52d6a3f87c41e", false), partition);
    assert!((1..=BATCH_PARTITIONS).contains(&partition));
}

#[test]
fn where_jobs_are_spread_each_partition_has_about_its_share() {
    // given a deployment that bears two losses, and 3,000 jobs of one host
    let mut jobs: BTreeMap<u8, u32> = BTreeMap::new();
    for number in 0..3000_u64 {
        let job = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        *jobs.entry(partition_of_job("ficu95.example", &job, true)).or_default() += 1;
    }
    // then every partition holds a third of them, within a tenth
    assert_eq!(jobs.len(), usize::from(BATCH_PARTITIONS));
    assert!(jobs.values().all(|&count| (900..=1100).contains(&count)), "{jobs:?}");
}

#[test]
fn a_job_is_found_by_each_call_in_the_same_partition() {
    // given a job whose calls reach nodes that write the host differently
    let partition = partition_of_job("ficu95.example", "7c41e09b52d6a3f8", true);
    // then all go to one partition
    assert_eq!(partition_of_job("Ficu95.Example:80", "7c41e09b52d6a3f8", true), partition);
}

//! The assignment of batch jobs to partitions.

use grebeusher_tier::batch::api::{BATCH_PARTITIONS, partition_of_job};
use std::collections::BTreeMap;

#[test]
fn all_jobs_of_a_host_are_in_one_partition_whatever_its_case_and_port() {
    // Given a deployment that tolerates one machine loss,
    let partition = partition_of_job("ficu95.example", "7c41e09b52d6a3f8", false);
    // then the partition depends neither on the job nor on the case and port of its host.
    assert_eq!(partition_of_job("FICU95.example:8080", "09b52d6a3f87c41e", false), partition);
    assert!((1..=BATCH_PARTITIONS).contains(&partition));
}

#[test]
fn jobs_that_are_spread_are_distributed_evenly() {
    // Given a deployment that tolerates two machine losses, and 3,000 jobs of one host,
    let mut jobs_by_partition: BTreeMap<u8, u32> = BTreeMap::new();
    for number in 0..3000_u64 {
        let job = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        *jobs_by_partition.entry(partition_of_job("ficu95.example", &job, true)).or_default() += 1;
    }
    // then each partition holds a third of them, give or take a tenth.
    assert_eq!(jobs_by_partition.len(), usize::from(BATCH_PARTITIONS));
    assert!(jobs_by_partition.values().all(|&count| (900..=1100).contains(&count)), "{jobs_by_partition:?}");
}

#[test]
fn all_requests_about_a_spread_job_go_to_the_same_partition() {
    // Given a spread job and requests that write its host differently,
    let partition = partition_of_job("ficu95.example", "7c41e09b52d6a3f8", true);
    // then all of them go to the same partition.
    assert_eq!(partition_of_job("Ficu95.Example:80", "7c41e09b52d6a3f8", true), partition);
}

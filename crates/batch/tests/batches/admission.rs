//! Admission control: the tokens that wait on a route, including those of pending jobs, never exceed the route's limit.

use grebeusher_batch::*;

use crate::fixture::*;

fn admission_control() -> AdmissionControl {
    AdmissionControl::new(usize::MAX)
}

fn apply(jobs: &mut Jobs, admission: &mut AdmissionControl, entry: Entry) {
    let applied = jobs.apply(entry);
    admission.on_applied(&applied);
}

#[test]
fn pending_jobs_count_before_they_are_committed() {
    let (jobs, mut admission) = (Jobs::new(), admission_control());
    assert_eq!(admission.admit(&jobs, &submission("a", 6), 1_000), Admission::Propose);
    let full = Admission::QueueFull { waiting: 600, limit: 1_000 };
    assert_eq!(admission.admit(&jobs, &submission("b", 5), 1_000), full);
    assert_eq!(admission.admit(&jobs, &submission("c", 4), 1_000), Admission::Propose, "exactly the limit");
    assert_eq!(admission.waiting_tokens(&jobs, &JobRoute { index: None, name: ROUTE }), 1_000);
}

#[test]
fn a_committed_job_counts_once() {
    let (mut jobs, mut admission) = (Jobs::new(), admission_control());
    admission.admit(&jobs, &submission("a", 6), 1_000);
    apply(&mut jobs, &mut admission, submit("a", 6));
    assert_eq!(admission.waiting_tokens(&jobs, &JobRoute { index: None, name: ROUTE }), 600);
}

#[test]
fn a_repeated_submission_counts_once() {
    let (mut jobs, mut admission) = (Jobs::new(), admission_control());
    assert_eq!(admission.admit(&jobs, &submission("a", 6), 1_000), Admission::Propose);
    assert_eq!(admission.admit(&jobs, &submission("a", 6), 1_000), Admission::Pending);
    assert!(admission.is_pending(&job("a")));
    apply(&mut jobs, &mut admission, submit("a", 6));
    assert_eq!(
        admission.admit(&jobs, &submission("a", 6), 1_000),
        Admission::AlreadyAccepted,
        "accepted, although a second job would exceed the limit"
    );
}

#[test]
fn a_released_job_no_longer_counts() {
    let (jobs, mut admission) = (Jobs::new(), admission_control());
    admission.admit(&jobs, &submission("a", 6), 1_000);
    admission.release(&job("a"));
    assert_eq!(admission.admit(&jobs, &submission("b", 10), 1_000), Admission::Propose);
}

#[test]
fn listed_items_and_ended_jobs_free_quota() {
    let (mut jobs, mut admission) = (Jobs::new(), admission_control());
    apply(&mut jobs, &mut admission, submit("a", 6));
    apply(&mut jobs, &mut admission, submit("b", 4));
    assert_eq!(jobs.waiting_tokens(ROUTE), 1_000);
    apply(&mut jobs, &mut admission, complete_item("a", 0, "text"));
    apply(&mut jobs, &mut admission, complete_item("a", 0, "text again"));
    assert_eq!(jobs.waiting_tokens(ROUTE), 900);
    apply(&mut jobs, &mut admission, Entry::Ended { job: job("a") });
    apply(&mut jobs, &mut admission, Entry::Ended { job: job("a") });
    apply(&mut jobs, &mut admission, complete_item("a", 1, "late"));
    assert_eq!(jobs.waiting_tokens(ROUTE), 400);
}

#[test]
fn routes_have_separate_quotas_and_zero_is_unlimited() {
    let (jobs, mut admission) = (Jobs::new(), admission_control());
    assert_eq!(admission.admit(&jobs, &submission_on("r-1", "a", &[900]), 1_000), Admission::Propose);
    assert_eq!(admission.admit(&jobs, &submission_on("r-2", "b", &[900]), 1_000), Admission::Propose);
    assert_eq!(admission.admit(&jobs, &submission_on("r-1", "c", &[u64::MAX]), 0), Admission::Propose);
    let full = Admission::QueueFull { waiting: u64::MAX, limit: 1_000 };
    assert_eq!(admission.admit(&jobs, &submission_on("r-1", "d", &[1]), 1_000), full, "the sum saturates");
}

#[test]
fn a_new_leader_counts_jobs_of_its_predecessors() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("a", 9));
    let jobs = Jobs::from_snapshot(&jobs.to_snapshot()).expect("a valid snapshot");
    let full = Admission::QueueFull { waiting: 900, limit: 1_000 };
    assert_eq!(admission_control().admit(&jobs, &submission("b", 2), 1_000), full);
}

#[test]
fn jobs_beyond_the_memory_limit_are_rejected() {
    let (mut jobs, mut admission) = (Jobs::new(), AdmissionControl::new(20_000));
    let mut large = submission("a", 1);
    large.items[0].body = vec![0; 12_000].into();
    assert_eq!(admission.admit(&jobs, &large, 0), Admission::Propose);
    let mut other = large.clone();
    other.job = job("b");
    assert_eq!(admission.admit(&jobs, &other, 0), Admission::OutOfMemory, "the first job is pending");
    apply(&mut jobs, &mut admission, Entry::Submit { submission: large, settings: settings() });
    assert_eq!(admission.admit(&jobs, &other, 0), Admission::OutOfMemory, "the first job is committed");
    apply(&mut jobs, &mut admission, complete_item("a", 0, "text"));
    assert_eq!(admission.admit(&jobs, &other, 0), Admission::Propose);
}

//! The routes of jobs and items when the operator changes the configuration.

use grebeusher_batch::*;
use rstest::rstest;

use crate::fixture::*;
use crate::partition::Partition;

/// Unlimited capacity on one route, and none on the others.
fn capacity_only_on(route: RouteIndex) -> impl Fn(RouteIndex) -> Option<u64> {
    move |requested| (requested == route).then_some(u64::MAX)
}

/// A route of the active configuration. Its name has no effect.
fn configured(index: RouteIndex) -> JobRoute<'static> {
    JobRoute { index: Some(index), name: "any" }
}

/// The route of a job that matches no route of the active configuration, with the name that it had at the submission.
fn unconfigured(name: &str) -> JobRoute<'_> {
    JobRoute { index: None, name }
}

/// A job with an item on each of the two routes. The first item is the larger one.
fn job_on_two_routes() -> Entry {
    let mut submission = submission("j", 0);
    submission.items = vec![item("j", 0, 300), item_below(OTHER_PREFIX, "j", 1, 200)];
    Entry::Submit { submission, settings: settings() }
}

impl Partition {
    fn next_on(&mut self, route: RouteIndex) -> Option<RunRequest> {
        self.runner.next_item(&self.jobs, self.now, &capacity_only_on(route))
    }

    fn waiting(&self, route: &JobRoute<'_>) -> u64 {
        self.runner.waiting_tokens(&self.jobs, route)
    }

    fn admit(&self, submission: &Submission, limit: u64) -> Admission {
        let committed = RoutedJobs { jobs: &self.jobs, runner: &self.runner };
        AdmissionControl::new(1 << 20).admit(&committed, submission, limit)
    }
}

#[test]
fn a_job_runs_on_by_the_route_that_its_requests_match_now() {
    let mut partition = Partition::with_job("j", 2);
    // In the new configuration the route of the job has another index.
    partition.set_prefixes(&[OTHER_PREFIX, PREFIX]);
    // The items run when the route has capacity at its new index.
    assert_eq!(partition.next_on(RouteIndex(0)), None);
    let request = partition.next_on(RouteIndex(1)).expect("an item");
    assert_eq!((request.host.as_str(), request.path.as_str()), (HOST, "/lots/3/j-0"));
}

#[test]
fn the_tokens_of_a_job_count_on_the_route_that_its_requests_match_now() {
    let mut partition = Partition::with_job("j", 2);
    let tokens = partition.waiting(&configured(RouteIndex(0)));
    assert!(tokens > 0);
    partition.set_prefixes(&[OTHER_PREFIX, PREFIX]);
    let waiting = |index| partition.waiting(&configured(RouteIndex(index)));
    assert_eq!((waiting(0), waiting(1)), (0, tokens));
    // The tokens count against the quota of the route at its new index.
    let further = submission_on("r-renamed", "k", &[1]);
    let full = Admission::QueueFull { waiting: tokens, limit: tokens };
    assert_eq!(partition.admit(&further, tokens), full);
    assert_eq!(partition.admit(&further, tokens + 1), Admission::Propose);
}

#[test]
fn a_job_whose_route_has_its_former_index_again_counts_as_before() {
    let mut partition = Partition::with_job("j", 1);
    let tokens = partition.waiting(&configured(INDEX));
    partition.set_prefixes(&[OTHER_PREFIX, PREFIX]);
    partition.set_prefixes(&[PREFIX, OTHER_PREFIX]);
    let waiting = |index| partition.waiting(&configured(index));
    assert_eq!((waiting(INDEX), waiting(OTHER_INDEX)), (tokens, 0));
    assert!(partition.next_on(INDEX).is_some());
}

/// Guards against sending an item whose route was removed, even if another route has the name of its route.
#[test]
fn an_item_without_a_route_does_not_run_until_it_has_one_again() {
    let mut partition = Partition::with_job("j", 1);
    partition.set_prefixes(&[OTHER_PREFIX]);
    assert_eq!((partition.try_next(), partition.runner.unrouted_count()), (None, 1));
    assert_eq!(partition.runner.load().waiting, 0, "the item waits for a route, not for capacity");
    partition.set_prefixes(&[OTHER_PREFIX, PREFIX]);
    assert!(partition.next_on(RouteIndex(1)).is_some());
    assert_eq!(partition.runner.unrouted_count(), 0);
}

#[test]
fn an_item_whose_route_was_removed_during_its_backoff_does_not_run_after_it() {
    let mut partition = Partition::with_job("j", 1);
    let request = partition.next();
    partition.end_run(&request, RunOutcome::NotExecuted);
    partition.set_prefixes(&[OTHER_PREFIX]);
    partition.advance_ms(10_000);
    assert_eq!(partition.try_next(), None);
    partition.set_prefixes(&[PREFIX]);
    assert!(partition.try_next().is_some());
}

#[test]
fn a_run_goes_on_when_its_route_is_removed_and_is_not_repeated_elsewhere() {
    let mut partition = Partition::with_job("j", 2);
    let (first, second) = (partition.next(), partition.next());
    partition.set_prefixes(&[OTHER_PREFIX]);
    assert_eq!(partition.event(&first, 0, "text"), EventDisposition::Accepted);
    partition.end_run(&first, RunOutcome::Complete);
    partition.end_run(&second, RunOutcome::Broken);
    partition.advance_ms(10_000);
    assert_eq!((partition.commit_proposals(), partition.try_next()), (1, None));
}

#[test]
fn a_new_leader_runs_no_item_without_a_route() {
    let mut partition = Partition::with_job("j", 1);
    partition.runner.stop_leading();
    partition.set_prefixes(&[OTHER_PREFIX]);
    partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
    assert_eq!(partition.try_next(), None);
}

#[test]
fn items_of_one_job_run_each_where_its_own_route_has_capacity() {
    let mut partition = Partition::with_leader();
    partition.commit(job_on_two_routes());
    let request = partition
        .next_on(OTHER_INDEX)
        .expect("the smaller item, as the route of the larger one has no capacity");
    assert_eq!(request.path.as_str(), "/other/3/j-1");
    assert_eq!(partition.next_on(OTHER_INDEX), None);
    assert_eq!(partition.next_on(INDEX).expect("an item").path.as_str(), "/lots/3/j-0");
}

#[test]
fn of_items_on_two_routes_only_the_one_without_a_route_is_given_up() {
    let mut partition = Partition::with_leader();
    partition.commit(job_on_two_routes());
    partition.set_prefixes(&[OTHER_PREFIX]);
    partition.runner.give_up_unrouted();
    partition.commit_proposals();
    let listed = listed_results(&partition.jobs, "j");
    assert_eq!(listed, [("j-0".into(), ResultState::DeadLetter, String::new())]);
    assert_eq!(partition.next().path.as_str(), "/other/3/j-1");
}

/// Guards against a full queue of a route because of items that match no route, but whose former route had its name.
#[test]
fn the_tokens_of_a_job_without_a_route_count_on_no_other_route() {
    let mut partition = Partition::with_job("j", 2);
    let tokens = partition.waiting(&configured(INDEX));
    partition.set_prefixes(&[OTHER_PREFIX]);
    let same_name = Submission { route: ROUTE.into(), ..submission_on(OTHER_ROUTE, "k", &[100]) };
    assert_eq!(partition.admit(&same_name, 100), Admission::Propose);
    assert_eq!(partition.waiting(&configured(RouteIndex(0))), 0);
    // A further job that matches no route and has the same route name counts against the same quota.
    let full = Admission::QueueFull { waiting: tokens, limit: tokens };
    assert_eq!(partition.admit(&submission("l", 1), tokens), full);
    assert_eq!(partition.waiting(&unconfigured(ROUTE)), tokens);
}

/// Guards against exceeding the limit of a route when the configuration changes while a job is pending.
#[rstest]
#[case::at_another_index(&[OTHER_PREFIX, PREFIX])]
#[case::at_the_same_index(&[PREFIX])]
fn a_pending_job_counts_on_the_route_that_it_matches_now(#[case] prefixes: &[&'static str]) {
    let mut partition = Partition::with_leader();
    let mut admission = AdmissionControl::new(1 << 20);
    let mut admit = |partition: &Partition, submission: &Submission| {
        let committed = RoutedJobs { jobs: &partition.jobs, runner: &partition.runner };
        admission.admit(&committed, submission, 600)
    };
    assert_eq!(admit(&partition, &submission("a", 6)), Admission::Propose);
    partition.set_prefixes(prefixes);
    let full = Admission::QueueFull { waiting: 600, limit: 600 };
    assert_eq!(admit(&partition, &submission_on("r-renamed", "b", &[1])), full);
}

#[test]
fn listed_items_and_ended_jobs_no_longer_count() {
    let mut partition = Partition::with_job("j", 2);
    partition.set_prefixes(&[OTHER_PREFIX, PREFIX]);
    partition.commit(complete_item("j", 0, "text"));
    let remaining_tokens = partition.waiting(&configured(RouteIndex(1)));
    assert_eq!(remaining_tokens, partition.jobs.waiting_tokens(ROUTE));
    partition.commit(Entry::Ended { job: job("j") });
    let waiting = |index| partition.waiting(&configured(RouteIndex(index)));
    assert_eq!((waiting(0), waiting(1)), (0, 0));
}

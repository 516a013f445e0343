//! The requests that a process accepts while it shuts down.

use grebeusher_configuration::configuration::{Configuration, Route};
use grebeusher_tier::runtime::stop::GracefulShutdown;
use grebeusher_time::{Duration, DurationExt, Instant};
use rstest::rstest;

const GRACE: Duration = Duration::from_millis(8000);

fn shutting_down() -> GracefulShutdown {
    GracefulShutdown::new(Instant(0), GRACE)
}

/// A route of a type, with a latency objective of 200 ms and a time-out of 6 s.
fn route(route_type: &str) -> Route {
    let text = format!(
        r#"{{"config_version":1,"service_list":[{{"name":"s","health_path":"/health","max_connections":8}}],
            "route_table":[{{"name":"r","hostname":"h.example","path_prefix":"/p/","route_type":"{route_type}",
            "timeout_ms":6000,"target_latency_ms":200,"service":"s"}}]}}"#
    );
    Configuration::read(text.as_bytes()).expect("a valid configuration").routes.remove(0)
}

fn at_ms(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

#[rstest]
fn every_request_before_the_platform_notices_is_accepted(
    #[values("streaming", "idempotent", "non_idempotent")] route_type: &str,
    #[values(0, 1200, 2399)] ms: u64,
) {
    // Given a process that has just received SIGTERM, when a request of any duration comes, then it is accepted.
    assert!(shutting_down().accepts(at_ms(ms), &route(route_type), Duration::from_millis(6000)));
}

#[rstest]
#[case::its_whole_time_fits(2500, 4800, true)]
#[case::it_may_outlast_the_process(2500, 5000, false)]
#[case::a_short_one_fits_later(5000, 2300, true)]
#[case::a_short_one_that_does_not(5200, 2300, false)]
#[case::nothing_fits_at_the_end(7400, 10, false)]
fn a_stream_is_accepted_later_only_if_its_whole_timeout_fits(
    #[case] ms: u64,
    #[case] left_ms: u64,
    #[case] is_accepted: bool,
) {
    // Given 7.5 s from SIGTERM to the exit, when a stream comes, then it is accepted if its whole time-out is over before the
    // exit: once its head is sent, the response can't be replaced by an error.
    assert_eq!(
        shutting_down().accepts(at_ms(ms), &route("streaming"), Duration::from_millis(left_ms)),
        is_accepted
    );
}

#[rstest]
fn an_unstreamed_response_is_accepted_if_its_typical_time_fits(
    #[values("idempotent", "non_idempotent")] route_type: &str,
) {
    // Given requests with unstreamed responses, which can still be answered 504 if they take too long, when one comes whose
    // time-out is much longer than its typical time, then the typical time decides.
    let route = route(route_type);
    assert!(shutting_down().accepts(at_ms(6300), &route, Duration::from_millis(6000)));
    assert!(!shutting_down().accepts(at_ms(6400), &route, Duration::from_millis(6000)));
}

#[rstest]
#[case::of_the_usual_length(8000, 7500)]
#[case::short(2000, 1750)]
#[case::none(0, 0)]
fn the_exit_is_never_far_before_the_kill(#[case] grace_ms: u64, #[case] exit_ms: u64) {
    // Given a grace period, then the exit is within its last sixth, in which the operators tolerate that requests are cut off.
    let shutdown = GracefulShutdown::new(Instant(0), Duration::from_millis(grace_ms));
    assert_eq!(shutdown.exits_at(), at_ms(exit_ms));
    assert!(shutdown.exits_at() >= Instant(0) + Duration::from_millis(grace_ms).scaled(5.0 / 6.0));
}

#[test]
fn it_may_exit_early_once_the_platform_has_noticed() {
    assert!(!shutting_down().may_exit(at_ms(2500)));
    assert!(shutting_down().may_exit(at_ms(2600)));
}

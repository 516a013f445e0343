//! Tests the HTTP status that an operator gets for each kind of invalid change, from reading the body to the answer.

mod bodies;

use std::sync::Arc;

use bodies::{body, body_with_one_route, route, route_with, services};
use grebeusher_configuration::configuration::Configuration;
use grebeusher_configuration::register::{Answer, Applied, ConfigurationRegister, Entry, Pending, Verdict};
use rstest::rstest;

/// A replica that is the leader and the only replica of its partition.
#[derive(Default)]
struct SingleReplica {
    register: ConfigurationRegister,
}

impl SingleReplica {
    /// Creates a replica that has accepted the versions 3 and 5.
    fn at_version_5() -> SingleReplica {
        let mut replica = SingleReplica::default();
        assert_eq!(replica.replace(0, &valid_body("3")), 200);
        assert_eq!(replica.replace(3, &valid_body("5")), 200);
        replica
    }

    /// Handles a call that replaces the configuration, and returns the HTTP status of the answer.
    fn replace(&mut self, base: u64, body: &str) -> u16 {
        let Ok(configuration) = Configuration::read(body.as_bytes()) else {
            return Answer::ConfigurationError.status();
        };
        let entry = Entry::new(base, configuration.version, Arc::from(body.as_bytes()));
        match self.register.judge(entry.change(), &Pending::new()) {
            Verdict::Accept => self.register.apply(&entry).answer().status(),
            verdict => verdict.answer().map_or(503, Answer::status),
        }
    }
}

fn valid_body(version: &str) -> String {
    body(version, &[route("r-1", "shop.example", "/one/", "alpha")], &services())
}

fn truncated_body() -> String {
    let whole = valid_body("7");
    whole[..whole.len() / 2].to_owned()
}

fn zero_weights() -> String {
    let split =
        r#""traffic_split":[{"service":"alpha","split_weight":0},{"service":"beta","split_weight":0}]"#;
    body("7", &[route_with("r-1", "shop.example", "/one/", split)], &services())
}

fn duplicate_route() -> String {
    let routes =
        [route("r-1", "shop.example", "/one/", "alpha"), route("r-2", "shop.example", "/one/", "beta")];
    body("7", &routes, &services())
}

#[rstest]
#[case::truncated_body(5, truncated_body(), 400)]
#[case::unknown_service(5, body("7", &[route("r-1", "h", "/one/", "gamma")], &services()), 400)]
#[case::duplicate_route(5, duplicate_route(), 400)]
#[case::zero_weights(5, zero_weights(), 400)]
#[case::no_timeout(5, valid_body("7").replace(r#""timeout_ms":3000"#, r#""timeout_ms":0"#), 400)]
#[case::old_version(5, valid_body("4"), 400)]
#[case::the_current_version_again(5, valid_body("5"), 400)]
#[case::outdated_base(3, valid_body("7"), 412)]
#[case::outdated_base_with_the_current_body(0, valid_body("5"), 412)]
#[case::base_that_was_never_current(4, valid_body("7"), 412)]
#[case::duplicate_key(5, valid_body("7").replacen(r#""name":"r-1""#, r#""name":"r-1","name":"r-2""#, 1), 400)]
fn given_an_invalid_change_when_sent_then_it_is_rejected_and_nothing_changes(
    #[case] base: u64,
    #[case] body: String,
    #[case] status: u16,
) {
    let mut replica = SingleReplica::at_version_5();
    let before = replica.register.clone();

    assert_eq!(replica.replace(base, &body), status);
    assert_eq!(replica.replace(base, &body), status, "the same change is rejected again");

    assert_eq!(replica.register, before);
    assert_eq!(replica.replace(5, &valid_body("8")), 200, "a valid change is accepted afterwards");
}

#[test]
fn given_an_accepted_change_when_sent_again_then_it_is_acknowledged_also_after_later_ones() {
    let mut replica = SingleReplica::at_version_5();
    assert_eq!(replica.replace(5, &valid_body("90")), 200);

    for (base, version) in [(0, "3"), (3, "5"), (5, "90")] {
        assert_eq!(replica.replace(base, &valid_body(version)), 200);
    }

    assert_eq!(replica.register.version(), 90);
}

#[rstest]
#[case::other_versions("7", "9")]
#[case::one_version("7", "7")]
fn given_two_changes_on_one_base_when_sent_then_one_wins(#[case] one: &str, #[case] other: &str) {
    let mut replica = SingleReplica::at_version_5();
    let other = valid_body(other).replace("alpha\",\"max_attempts", "beta\",\"max_attempts");

    assert_eq!(replica.replace(5, &valid_body(one)), 200);
    assert_eq!(replica.replace(5, &other), 412);
    assert_eq!(replica.replace(5, &valid_body(one)), 200);
}

#[test]
fn given_a_body_in_the_senders_own_layout_when_accepted_then_it_is_kept_byte_for_byte() {
    let unusual_layout = body_with_one_route().replace(':', " :\t").replace("/one/", "/\\u006fne/");
    let mut replica = SingleReplica::default();

    assert_eq!(replica.replace(0, &unusual_layout), 200);

    assert_eq!(replica.register.body().as_ref(), unusual_layout.as_bytes());
    let read = Configuration::read(replica.register.body()).expect("a valid configuration");
    assert_eq!(read.routes[0].path_prefix.as_ref(), "/one/");
}

#[test]
fn given_the_log_holds_the_loser_of_a_race_when_applied_then_its_call_gets_412() {
    let mut replica = SingleReplica::at_version_5();
    assert_eq!(replica.replace(5, &valid_body("7")), 200);

    let loser = Entry::new(5, 8, Arc::from(valid_body("8").as_bytes()));

    assert_eq!(replica.register.apply(&loser), Applied::Conflict);
    assert_eq!(Applied::Conflict.answer().status(), 412);
}

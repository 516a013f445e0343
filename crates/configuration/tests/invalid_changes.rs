//! What an operator's calls get, from the body to the status, for each kind of bad change.

mod bodies;

use std::sync::Arc;

use bodies::{body, plain, route, route_with, services};
use grebeusher_configuration::configuration::Configuration;
use grebeusher_configuration::register::{Answer, Applied, ConfigurationRegister, Entry, Pending, Verdict};
use rstest::rstest;

/// One node that is the leader and the only replica.
#[derive(Default)]
struct Catalog {
    register: ConfigurationRegister,
}

impl Catalog {
    /// With versions 3 and 5 in force.
    fn at_version_5() -> Catalog {
        let mut catalog = Catalog::default();
        assert_eq!(catalog.replace(0, &valid("3")), 200);
        assert_eq!(catalog.replace(3, &valid("5")), 200);
        catalog
    }

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

fn valid(version: &str) -> String {
    body(version, &[route("r-1", "shop.example", "/one/", "alpha")], &services())
}

fn cut_short() -> String {
    let whole = valid("7");
    whole[..whole.len() / 2].to_owned()
}

fn no_weight() -> String {
    let split =
        r#""traffic_split":[{"service":"alpha","split_weight":0},{"service":"beta","split_weight":0}]"#;
    body("7", &[route_with("r-1", "shop.example", "/one/", split)], &services())
}

fn same_place() -> String {
    let routes =
        [route("r-1", "shop.example", "/one/", "alpha"), route("r-2", "shop.example", "/one/", "beta")];
    body("7", &routes, &services())
}

#[rstest]
#[case::cut_short(5, cut_short(), 400)]
#[case::unknown_service(5, body("7", &[route("r-1", "h", "/one/", "gamma")], &services()), 400)]
#[case::same_place(5, same_place(), 400)]
#[case::no_weight(5, no_weight(), 400)]
#[case::no_timeout(5, valid("7").replace(r#""timeout_ms":3000"#, r#""timeout_ms":0"#), 400)]
#[case::old_version(5, valid("4"), 400)]
#[case::the_current_version_again(5, valid("5"), 400)]
#[case::stale_match(3, valid("7"), 412)]
#[case::stale_match_of_the_current_body(0, valid("5"), 412)]
#[case::never_current(4, valid("7"), 412)]
#[case::shared_key(5, valid("7").replacen(r#""name":"r-1""#, r#""name":"r-1","name":"r-2""#, 1), 400)]
fn given_an_invalid_change_when_sent_then_it_is_rejected_and_nothing_changes(
    #[case] base: u64,
    #[case] body: String,
    #[case] status: u16,
) {
    let mut catalog = Catalog::at_version_5();
    let before = catalog.register.clone();

    assert_eq!(catalog.replace(base, &body), status);
    assert_eq!(catalog.replace(base, &body), status, "and again");

    assert_eq!(catalog.register, before);
    assert_eq!(catalog.replace(5, &valid("8")), 200, "a proper one is taken after it");
}

#[test]
fn given_an_accepted_change_when_sent_again_then_it_is_acknowledged_also_after_later_ones() {
    let mut catalog = Catalog::at_version_5();
    assert_eq!(catalog.replace(5, &valid("90")), 200);

    for (base, version) in [(0, "3"), (3, "5"), (5, "90")] {
        assert_eq!(catalog.replace(base, &valid(version)), 200);
    }

    assert_eq!(catalog.register.version(), 90);
}

#[rstest]
#[case::other_versions("7", "9")]
#[case::one_version("7", "7")]
fn given_two_changes_on_one_base_when_sent_then_one_wins(#[case] one: &str, #[case] other: &str) {
    let mut catalog = Catalog::at_version_5();
    let other = valid(other).replace("alpha\",\"max_attempts", "beta\",\"max_attempts");

    assert_eq!(catalog.replace(5, &valid(one)), 200);
    assert_eq!(catalog.replace(5, &other), 412);
    assert_eq!(catalog.replace(5, &valid(one)), 200);
}

#[test]
fn given_a_body_in_the_senders_own_layout_when_accepted_then_it_is_kept_byte_for_byte() {
    let odd = plain().replace(':', " :\t").replace("/one/", "/\\u006fne/");
    let mut catalog = Catalog::default();

    assert_eq!(catalog.replace(0, &odd), 200);

    assert_eq!(catalog.register.body().as_ref(), odd.as_bytes());
    let read = Configuration::read(catalog.register.body()).expect("is valid");
    assert_eq!(read.routes[0].path_prefix.as_ref(), "/one/");
}

#[test]
fn given_the_log_holds_the_loser_of_a_race_when_applied_then_its_call_gets_412() {
    let mut catalog = Catalog::at_version_5();
    assert_eq!(catalog.replace(5, &valid("7")), 200);

    let loser = Entry::new(5, 8, Arc::from(valid("8").as_bytes()));

    assert_eq!(catalog.register.apply(&loser), Applied::Conflict);
    assert_eq!(Applied::Conflict.answer().status(), 412);
}

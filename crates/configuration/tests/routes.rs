//! Tests of finding the route of a request and picking the service of a route.

mod bodies;

use std::collections::HashMap;
use std::sync::Arc;

use bodies::{body, route, route_with, services};
use grebeusher_configuration::configuration::{Configuration, TrafficSplit, WeightedService};
use grebeusher_configuration::routes::{RouteTable, bare_host};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn table(hosts_and_prefixes: &[(&str, &str)]) -> RouteTable {
    let to_route =
        |(index, (host, prefix)): (usize, &(&str, &str))| route(&index.to_string(), host, prefix, "alpha");
    let routes: Vec<String> = hosts_and_prefixes.iter().enumerate().map(to_route).collect();
    let read =
        Configuration::read(body("1", &routes, &services()).as_bytes()).expect("a valid configuration");
    RouteTable::new(Arc::new(read))
}

fn found_prefix(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.path_prefix.to_string())
}

#[rstest]
#[case::the_prefix_itself("/a/", Some("/a/"))]
#[case::path_below_the_prefix("/a/x", Some("/a/"))]
#[case::longer_prefix("/a/b/", Some("/a/b/"))]
#[case::longest_prefix("/a/b/c/d/e", Some("/a/b/c/"))]
#[case::sibling_of_a_longer_prefix("/a/b0", Some("/a/"))]
#[case::after_all_longer_prefixes("/a/zz", Some("/a/"))]
#[case::not_a_whole_segment("/a/bb/c/", Some("/a/"))]
#[case::without_the_trailing_slash("/a", None)]
#[case::other_case("/A/", None)]
#[case::before_all_prefixes("/", None)]
#[case::after_all_prefixes("/zzz/", None)]
#[case::empty("", None)]
#[case::not_ascii("/a/\u{e9}/", Some("/a/"))]
#[case::with_a_query("/a/b/?x=/c/", Some("/a/b/"))]
#[case::prefix_in_the_query("/a?/a/b/", None)]
#[case::prefix_with_a_query("/a/q?x/y", Some("/a/"))]
#[case::only_a_query("?/a/", None)]
fn given_nested_prefixes_when_looked_up_then_the_longest_wins(
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table(&[
        ("h", "/a/b/c/"),
        ("h", "/a/"),
        ("h", "/b/"),
        ("h", "/a/b/"),
        ("h", "/a/c/"),
        ("h", "/a/b-/"),
        ("h", "/a/q?x/"),
    ]);

    assert_eq!(found_prefix(&table, "h", path).as_deref(), expected);
}

#[rstest]
#[case::as_given("shop.example", true)]
#[case::other_case("SHOP.Example", true)]
#[case::port("shop.example:8144", true)]
#[case::other_case_and_port("Shop.Example:80", true)]
#[case::longer_host("www.shop.example", false)]
#[case::shorter_host("shop", false)]
#[case::empty("", false)]
#[case::only_a_port(":80", false)]
fn given_a_host_header_when_looked_up_then_case_and_port_do_not_matter(
    #[case] host: &str,
    #[case] known: bool,
) {
    let table = table(&[("shop.EXAMPLE", "/a/"), ("other.example", "/b/")]);

    assert_eq!(table.find(host, "/a/1").is_some(), known);
    assert!(table.find(host, "/b/1").is_none(), "the prefix belongs to another host");
}

#[test]
fn given_a_route_for_the_root_when_looked_up_then_it_gets_the_requests_that_no_other_route_matches() {
    let table = table(&[("h", "/"), ("h", "/a/")]);

    assert_eq!(found_prefix(&table, "h", "/b").as_deref(), Some("/"));
    assert_eq!(found_prefix(&table, "h", "/a/b").as_deref(), Some("/a/"));
    assert_eq!(found_prefix(&table, "h", "*"), None);
}

#[rstest]
#[case("[::1]:80", "[::1]")]
#[case("[::1]", "[::1]")]
#[case("10.0.0.1:80", "10.0.0.1")]
#[case("A", "a")]
fn given_a_host_when_normalized_then_only_its_port_is_removed(#[case] host: &str, #[case] bare: &str) {
    assert_eq!(bare_host(host), bare);
}

/// Returns a configuration of proptest that generates the same cases in every run.
fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20262),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn given_any_prefixes_when_looked_up_then_the_result_is_that_of_a_linear_search(
        prefixes in proptest::collection::btree_set("/([ab/-]{0,6}/)?", 1..40),
        paths in proptest::collection::vec("/[ab/?-]{0,9}", 1..40),
    ) {
        let hosts_and_prefixes: Vec<(&str, &str)> = prefixes.iter().map(|prefix| ("h", prefix.as_str())).collect();
        let table = table(&hosts_and_prefixes);
        for path in &paths {
            let path_without_query = path.split('?').next().unwrap_or_default();
            let longest = prefixes
                .iter()
                .filter(|prefix| path_without_query.starts_with(prefix.as_str()))
                .max_by_key(|prefix| prefix.len());
            prop_assert_eq!(found_prefix(&table, "h", path), longest.cloned());
        }
    }
}

fn split(weights: &[(&str, f64)]) -> Option<TrafficSplit> {
    let share =
        |(service, weight): &(&str, f64)| WeightedService { service: (*service).into(), weight: *weight };
    TrafficSplit::weighted(weights.iter().map(share).collect())
}

#[rstest]
#[case(0.0, "alpha")]
#[case(0.8999, "alpha")]
#[case(0.9, "beta")]
#[case(0.9999, "beta")]
#[case::at_one(1.0, "beta")]
#[case::above_one(7.0, "beta")]
#[case::below_zero(-1.0, "alpha")]
#[case::not_a_number(f64::NAN, "beta")]
fn given_a_split_when_picked_then_the_point_falls_into_its_share(#[case] point: f64, #[case] service: &str) {
    let target =
        r#""traffic_split":[{"service":"alpha","split_weight":90},{"service":"beta","split_weight":10}]"#;
    let text = body("1", &[route_with("r", "h", "/a/", target)], &services());
    let read = Configuration::read(text.as_bytes()).expect("a valid configuration");

    assert_eq!(read.routes[0].pick_service(point).as_str(), service);
}

#[test]
fn given_weights_of_zero_when_picked_then_those_services_are_never_picked() {
    let split = split(&[("first", 0.0), ("alpha", 0.1), ("middle", 0.0), ("beta", 0.2), ("last", 0.0)])
        .expect("a weight is above 0");

    for step in -10..=1010 {
        let name = split.pick(f64::from(step) / 1000.0).as_str();
        assert!(name == "alpha" || name == "beta", "{name} at {step}");
    }
    assert_eq!(
        split.services().map(grebeusher_configuration::names::ServiceName::as_str).collect::<Vec<_>>(),
        ["alpha", "beta"]
    );
}

#[test]
fn given_even_points_when_picked_then_each_service_gets_its_share() {
    let split = split(&[("a", 70.0), ("b", 20.0), ("a", 10.0)]).expect("a weight is above 0");

    let mut counts: HashMap<&str, u32> = HashMap::new();
    for step in 0..1000 {
        *counts.entry(split.pick(f64::from(step) / 1000.0).as_str()).or_default() += 1;
    }

    assert!(counts["a"].abs_diff(800) <= 1 && counts["b"].abs_diff(200) <= 1, "{counts:?}");
}

#[rstest]
#[case::none(&[])]
#[case::zeros(&[("a", 0.0), ("b", 0.0)])]
#[case::negative(&[("a", -1.0)])]
#[case::not_a_number(&[("a", f64::NAN)])]
#[case::infinite(&[("a", f64::INFINITY)])]
fn given_no_weight_above_zero_when_split_then_there_is_none(#[case] weights: &[(&str, f64)]) {
    assert_eq!(split(weights), None);
}

#[test]
fn given_thousands_of_nested_prefixes_when_looked_up_then_the_nearest_ancestor_is_found() {
    let prefixes: Vec<String> = (1..400).map(|depth| format!("/{}", "a/".repeat(depth))).collect();
    let hosts_and_prefixes: Vec<(&str, &str)> =
        prefixes.iter().map(|prefix| ("h", prefix.as_str())).collect();
    let table = table(&hosts_and_prefixes);

    assert_eq!(found_prefix(&table, "h", &format!("{}b", prefixes[200])), Some(prefixes[200].clone()));
    assert_eq!(found_prefix(&table, "h", &format!("{}a/a/b", prefixes[398])), Some(prefixes[398].clone()));
}

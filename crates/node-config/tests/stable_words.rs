//! Tests that keys and values of files written for earlier versions are read unchanged, and that the errors for invalid
//! ones keep their texts.

use grebeusher_dispatch::time::Duration;
use grebeusher_maintenance::{Plan, WhenLost};
use grebeusher_node_config::fleet::FleetSettings;
use grebeusher_node_config::frontends::FrontendSettings;
use grebeusher_node_config::node_settings::NodeSettings;
use grebeusher_node_config::{DeploymentSettings, RegistryMode, plan};
use serde_json::Value;
use std::path::Path;

/// Returns the fixture, a node's file with every key.
fn config() -> Value {
    serde_json::from_str(include_str!("data/config.json")).expect("the text is valid JSON")
}

/// Keys of the node's file, each with an invalid value and the error that reports it.
#[rustfmt::skip]
const INVALID_VALUES: &[(&str, &str, &str)] = &[
    ("listen", r#"5"#, "listen: expected a text, found 5"),
    ("listen", r#""here""#, "listen: expected an address and a port, found \"here\""),
    ("console", r#""8100""#, "console: expected an address and a port, found \"8100\""),
    ("discovery", r#""here""#, "discovery: expected an address and a port, found \"here\""),
    ("name", r#"5"#, "name: expected a text, found 5"),
    ("seed", r#""today""#, "seed: expected up to 16 hex digits, found \"today\""),
    ("limits", r#"5"#, "limits: expected an object, found 5"),
    ("limits/sockets", r#"31"#, "limits.sockets: expected a whole number from 32 on, found 31"),
    ("limits/memory_mb", r#"0"#, "limits.memory_mb: expected a number from 1 to 1000000000, found 0"),
    ("known", r#"5"#, "known: expected an object, found 5"),
    ("known/generation", r#"-1"#, "known.generation: expected a whole number from 0 on, found -1"),
    ("known/reset", r#""x""#, "known.reset: expected true or false, found \"x\""),
    ("known/instances", r#"5"#, "known.instances: expected a list, found 5"),
    ("settings", r#"5"#, "settings.expected an object, found 5"),
    ("settings/registry_mode", r#""push""#, "settings.registry_mode: expected one of automatic, subscribe, found \"push\""),
    ("settings/fleet_size", r#"0"#, "settings.fleet_size: expected a whole number from 1 on, found 0"),
    ("settings/me", r#"40"#, "settings.me: expected a whole number from 0 to 39, found 40"),
    ("settings/az", r#"2"#, "settings.az: expected a whole number from 0 to 1, found 2"),
    ("settings/zones", r#""one""#, "settings.zones: expected a list of texts, found \"one\""),
    ("settings/kinds", r#""one""#, "settings.kinds: expected a list of texts, found \"one\""),
    ("settings/caps", r#"5"#, "settings.caps: expected an object, found 5"),
    ("settings/caps/most_allocations", r#"1001"#, "settings.caps.most_allocations: expected a whole number from 1 to 1000, found 1001"),
    ("settings/caps/second_copies", r#"1"#, "settings.caps.second_copies: expected true or false, found 1"),
    ("settings/caps/cancelling", r#"1"#, "settings.caps.cancelling: expected true or false, found 1"),
    ("settings/caps/peers", r#"1"#, "settings.caps.peers: expected true or false, found 1"),
    ("settings/caps/may_probe", r#"1"#, "settings.caps.may_probe: expected true or false, found 1"),
    ("settings/caps/retry_after", r#"1"#, "settings.caps.retry_after: expected true or false, found 1"),
    ("settings/caps/max_retry_after_ns", r#"0"#, "settings.caps.max_retry_after_ns: expected nanoseconds, a number above 0, found 0"),
    ("settings/caps/conn_idle_ns", r#"-1"#, "settings.caps.conn_idle_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/caps/dial_timeout_ns", r#"-1"#, "settings.caps.dial_timeout_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/contract", r#"5"#, "settings.contract: expected an object, found 5"),
    ("settings/contract/cold_share", r#"1.5"#, "settings.contract.cold_share: expected a number from 0 to 1, found 1.5"),
    ("settings/contract/warm_within_ns", r#"-1"#, "settings.contract.warm_within_ns: expected a number from 0 to 1000000000000000000, found -1"),
    ("settings/contract/overload_factor", r#"-1"#, "settings.contract.overload_factor: expected a number from 0 to 1000000, found -1"),
    ("settings/contract/fall_ns", r#"0"#, "settings.contract.fall_ns: expected nanoseconds, a number above 0, found 0"),
    ("settings/contract/ready_margin_ns", r#"-1"#, "settings.contract.ready_margin_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/contract/deadline_error_ns", r#"-1"#, "settings.contract.deadline_error_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/contract/stop_sending_within_ns", r#"-1"#, "settings.contract.stop_sending_within_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/contract/budget_span_ns", r#"-1"#, "settings.contract.budget_span_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/contract/extra_free", r#"-1"#, "settings.contract.extra_free: expected a number from 0 to 1000000000, found -1"),
    ("settings/contract/further_ratio", r#"1001"#, "settings.contract.further_ratio: expected a number from 0 to 1000, found 1001"),
    ("settings/family_info", r#"5"#, "settings.family_info: expected an object, found 5"),
    ("settings/family_info/tells_start", r#"1"#, "settings.family_info.tells_start: expected true or false, found 1"),
    ("settings/family_info/progress_ns", r#"-1"#, "settings.family_info.progress_ns: expected nanoseconds, a number from 0 on, found -1"),
    ("settings/family_info/report_x0", r#"5"#, "settings.family_info.report_x0: expected a text, found 5"),
    ("settings/family_info/class_stretch", r#"[1]"#, "settings.family_info.class_stretch: expected a list of 3 numbers, one for each tariff, from 0 to 1000000, found [1]"),
    ("settings/family_info/class_kind", r#"[0, 0, 2]"#, "settings.family_info.class_kind: expected a list of 3 numbers, one for each tariff, from -1 to 1, found [0,0,2]"),
    ("settings/report", r#"5"#, "settings.report: expected an object, found 5"),
    ("settings/report/via", r#""answers""#, "settings.report.via: expected one of piggyback, pull, silent, found \"answers\""),
    ("settings/report/fields", r#"[5]"#, "settings.report.fields: expected a list of texts, found [5]"),
    ("settings/tariffs", r#"[]"#, "settings.tariffs: expected a list of at least one tariff, found []"),
    ("settings/tariffs", r#"[5]"#, "settings.tariffs[0]: expected an object, found 5"),
    ("settings/tariffs/1/name", r#"5"#, "settings.tariffs[1].name: expected a text, found 5"),
    ("settings/tariffs/1/effect", r#""safe""#, "settings.tariffs[1].effect: expected one of read_like, idempotency_key, non_idempotent, found \"safe\""),
    ("settings/tariffs/1/group", r#""pod""#, "settings.tariffs[1].group: expected one of all, zone, cell, found \"pod\""),
    ("settings/tariffs/1/memory_span_ns", r#"0"#, "settings.tariffs[1].memory_span_ns: expected nanoseconds, a number above 0, found 0"),
    ("settings/tariffs/1/quoted_time_ns", r#"0"#, "settings.tariffs[1].quoted_time_ns: expected nanoseconds, a number above 0, found 0"),
    ("settings/tariffs/1/patience_ns", r#""10s""#, "settings.tariffs[1].patience_ns: expected nanoseconds, a number from 0 on, found \"10s\""),
    ("settings/tariffs/1/aim_stretch", r#"-1"#, "settings.tariffs[1].aim_stretch: expected a number from 0 to 1000000, found -1"),
    ("settings/tariffs/1/earnings", r#"-1"#, "settings.tariffs[1].earnings: expected a number from 0 on, found -1"),
    ("settings/tenants", r#"[5]"#, "settings.tenants[0]: expected an object, found 5"),
    ("settings/tenants/0/name", r#"5"#, "settings.tenants[0].name: expected a text, found 5"),
    ("settings/tenants/0/quota_per_s", r#"-1"#, "settings.tenants[0].quota_per_s: expected a number from 0 on, found -1"),
];

/// The required keys of the node's file, each with the error that reports its absence.
#[rustfmt::skip]
const REQUIRED_KEYS: &[(&str, &str)] = &[
    ("listen", "listen: expected an address and a port, found nothing"),
    ("discovery", "discovery: expected an address and a port, found nothing"),
    ("settings", "settings: expected an object, found nothing"),
    ("settings/caps/max_retry_after_ns", "settings.caps.max_retry_after_ns: expected nanoseconds, a number above 0, found nothing"),
    ("settings/contract/cold_share", "settings.contract.cold_share: expected a number from 0 to 1, found nothing"),
    ("settings/contract/warm_within_ns", "settings.contract.warm_within_ns: expected a number from 0 to 1000000000000000000, found nothing"),
    ("settings/contract/overload_factor", "settings.contract.overload_factor: expected a number from 0 to 1000000, found nothing"),
    ("settings/contract/fall_ns", "settings.contract.fall_ns: expected nanoseconds, a number above 0, found nothing"),
    ("settings/contract/extra_free", "settings.contract.extra_free: expected a number from 0 to 1000000000, found nothing"),
    ("settings/contract/further_ratio", "settings.contract.further_ratio: expected a number from 0 to 1000, found nothing"),
    ("settings/tariffs", "settings.tariffs: expected a list of at least one tariff, found nothing"),
    ("settings/tariffs/1/name", "settings.tariffs: expected a name for each, found one without"),
    ("settings/tariffs/1/effect", "settings.tariffs[1].effect: expected one of read_like, idempotency_key, non_idempotent, found nothing"),
    ("settings/tariffs/1/group", "settings.tariffs[1].group: expected one of all, zone, cell, found nothing"),
    ("settings/tariffs/1/memory_span_ns", "settings.tariffs[1].memory_span_ns: expected nanoseconds, a number above 0, found nothing"),
    ("settings/tariffs/1/quoted_time_ns", "settings.tariffs[1].quoted_time_ns: expected nanoseconds, a number above 0, found nothing"),
    ("settings/tariffs/1/patience_ns", "settings.tariffs[1].patience_ns: expected nanoseconds, a number above 0, found nothing"),
];

/// Keys of the node's file, each with a valid value other than the one in the fixture.
#[rustfmt::skip]
const OTHER_VALUES: &[(&str, &str)] = &[
    ("listen", r#""127.0.0.1:1""#),
    ("console", r#""127.0.0.1:1""#),
    ("discovery", r#""127.0.0.1:1""#),
    ("name", r#""n4""#),
    ("seed", r#""1""#),
    ("limits/sockets", r#"99"#),
    ("limits/memory_mb", r#"9"#),
    ("known", r#"{}"#),
    ("settings/registry_mode", r#""subscribe""#),
    ("settings/fleet_size", r#"41"#),
    ("settings/me", r#"4"#),
    ("settings/az", r#"0"#),
    ("settings/zones", r#"["east", "west"]"#),
    ("settings/kinds", r#"["one", "two"]"#),
    ("settings/caps/most_allocations", r#"2"#),
    ("settings/caps/second_copies", r#"false"#),
    ("settings/caps/cancelling", r#"false"#),
    ("settings/caps/peers", r#"false"#),
    ("settings/caps/may_probe", r#"false"#),
    ("settings/caps/retry_after", r#"false"#),
    ("settings/caps/max_retry_after_ns", r#"1"#),
    ("settings/caps/conn_idle_ns", r#"1"#),
    ("settings/caps/dial_timeout_ns", r#"1"#),
    ("settings/contract/cold_share", r#"1"#),
    ("settings/contract/warm_within_ns", r#"1"#),
    ("settings/contract/overload_factor", r#"1"#),
    ("settings/contract/fall_ns", r#"1"#),
    ("settings/contract/ready_margin_ns", r#"1"#),
    ("settings/contract/deadline_error_ns", r#"1"#),
    ("settings/contract/stop_sending_within_ns", r#"1"#),
    ("settings/contract/budget_span_ns", r#"1"#),
    ("settings/contract/extra_free", r#"1"#),
    ("settings/contract/further_ratio", r#"1"#),
    ("settings/family_info/tells_start", r#"false"#),
    ("settings/family_info/progress_ns", r#"1"#),
    ("settings/family_info/report_x0", r#""other""#),
    ("settings/family_info/class_stretch", r#"[1, 1, 1]"#),
    ("settings/family_info/class_kind", r#"[-1, -1, -1]"#),
    ("settings/report/via", r#""piggyback""#),
    ("settings/report/fields", r#"["x0"]"#),
    ("settings/tariffs/1/name", r#""other""#),
    ("settings/tariffs/1/effect", r#""read_like""#),
    ("settings/tariffs/1/group", r#""zone""#),
    ("settings/tariffs/1/memory_span_ns", r#"1"#),
    ("settings/tariffs/1/quoted_time_ns", r#"1"#),
    ("settings/tariffs/1/patience_ns", r#"1"#),
    ("settings/tariffs/1/aim_stretch", r#"1"#),
    ("settings/tariffs/1/earnings", r#"2"#),
    ("settings/tenants/0/name", r#""other""#),
    ("settings/tenants/0/quota_per_s", r#"1"#),
];

/// Returns the fixture with the value of one key replaced by a JSON text.
fn with_value(key: &str, value: &str) -> Value {
    let mut config = config();
    let target = config.pointer_mut(&format!("/{key}")).unwrap_or_else(|| panic!("no {key}"));
    *target = serde_json::from_str(value).expect("the text is valid JSON");
    config
}

/// Returns the fixture without one key.
fn without_key(key: &str) -> Value {
    let mut config = config();
    let (parent, name) = key.rsplit_once('/').unwrap_or(("", key));
    let pointer = if parent.is_empty() { String::new() } else { format!("/{parent}") };
    let parent = config.pointer_mut(&pointer).and_then(Value::as_object_mut);
    assert!(parent.and_then(|parent| parent.remove(name)).is_some(), "no {key}");
    config
}

#[test]
fn an_invalid_value_of_each_key_is_reported_in_one_line() {
    for (key, value, line) in INVALID_VALUES {
        let result = NodeSettings::read(&with_value(key, value)).map(drop).map_err(|error| error.to_string());
        assert_eq!(result, Err((*line).to_owned()), "{key}");
    }
}

#[test]
fn a_missing_required_key_is_reported_in_one_line() {
    for (key, line) in REQUIRED_KEYS {
        let result = NodeSettings::read(&without_key(key)).map(drop).map_err(|error| error.to_string());
        assert_eq!(result, Err((*line).to_owned()), "{key}");
    }
}

#[test]
fn each_optional_key_may_be_absent() {
    for (key, _) in
        OTHER_VALUES.iter().filter(|(key, _)| !REQUIRED_KEYS.iter().any(|(required, _)| required == key))
    {
        // Without the key of zones or the fleet's size, the fixture's zone or node index is out of range.
        let is_index_error =
            |message: &String| message.starts_with("settings.az:") || message.starts_with("settings.me:");
        let result = NodeSettings::read(&without_key(key)).map(drop).map_err(|error| error.to_string());
        assert!(result.is_ok() || result.is_err_and(|message| is_index_error(&message)), "{key}");
    }
}

#[test]
fn the_value_of_each_key_changes_the_settings() {
    let read = |config: &Value| format!("{:?}", NodeSettings::read(config).expect("the settings are valid"));
    let unchanged = read(&config());
    for (key, value) in OTHER_VALUES {
        assert_ne!(read(&with_value(key, value)), unchanged, "{key}");
    }
}

#[test]
fn each_known_word_is_accepted() {
    for (key, words) in [
        ("settings/registry_mode", &["automatic", "subscribe"][..]),
        ("settings/report/via", &["piggyback", "pull", "silent"]),
        ("settings/tariffs/1/effect", &["read_like", "idempotency_key", "non_idempotent"]),
        ("settings/tariffs/1/group", &["all", "zone", "cell"]),
    ] {
        for word in words {
            assert!(NodeSettings::read(&with_value(key, &format!("{word:?}"))).is_ok(), "{key} {word}");
        }
    }
}

#[test]
fn a_complete_node_file_is_read_to_the_same_values() {
    let node_settings = NodeSettings::read(&config()).expect("the settings are valid");
    assert_eq!(node_settings.name, "n3");
    assert_eq!(node_settings.listen.to_string(), "127.0.0.1:8100");
    assert_eq!(node_settings.console.map(|address| address.to_string()).as_deref(), Some("127.0.0.1:8101"));
    assert_eq!(node_settings.discovery.to_string(), "127.0.0.1:8500");
    assert_eq!(node_settings.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((node_settings.sockets, node_settings.memory_mb), (Some(4096), Some(512.5)));
    assert_eq!(node_settings.known, config()["known"]);
    let settings = &node_settings.settings;
    assert_eq!(settings.tariff_names, ["search", "order", "mail"]);
    assert_eq!(settings.customer_names, ["lime", "plum"]);
    assert_eq!(settings.zones, ["north", "south"]);
    assert_eq!(settings.kinds, ["plain", "large"]);
    assert_eq!(settings.report_fields, ["tps", "load_share", "x0"]);
    assert_eq!(settings.registry_mode, RegistryMode::Automatic);
    assert!(settings.peers && settings.probes && settings.allows_cancellation() && settings.allows_hedging());
    assert_eq!(
        (settings.idle_timeout, settings.connect_timeout),
        (Duration::from_millis(9000), Duration::from_millis(300))
    );
    assert_eq!(
        (settings.zone(), settings.zone_name(), settings.node_index_and_count()),
        (1, "south", (3, 40))
    );
    assert_eq!(settings.progress_interval(), Some(Duration::from_millis(1000)));
    assert_eq!(
        [0, 1, 2].map(|tariff| settings.deadline(tariff)),
        [9000, 8000, 7000].map(Duration::from_millis)
    );
    assert_eq!([0, 1, 2].map(|tariff| settings.is_non_idempotent(tariff)), [false, false, true]);
    let report = settings.report_layout.report(|position| Some(position as f64));
    assert_eq!((report.utilisation, report.free_slots), (Some(1.0), Some(2.0)));
}

#[test]
fn non_objects_and_unreadable_files_are_reported_in_one_line() {
    let results = [
        DeploymentSettings::read(&Value::Bool(true)).map(drop),
        NodeSettings::read(&Value::Bool(true)).map(drop),
        NodeSettings::of_file(Path::new("no-such-file")).map(drop),
    ];
    let lines = [
        "expected an object, found true",
        "expected an object, found true",
        "no-such-file: No such file or directory (os error 2)",
    ];
    for (result, line) in results.into_iter().zip(lines) {
        assert_eq!(result.map_err(|error| error.to_string()), Err(line.to_owned()));
    }
}

#[test]
fn a_complete_fleet_file_is_read_to_the_same_values() {
    let fleet = FleetSettings::read(include_str!("data/fleet.toml")).expect("the settings are valid");
    assert!(fleet.executors.recalls_stop_waiting);
    let peers = fleet.peers.expect("the section is present");
    assert_eq!((&*peers.fleet, &*peers.secret, peers.port), ("lipa", "what only the nodes know", 7947));
    assert_eq!(peers.known_as.map(|address| address.to_string()).as_deref(), Some("10.1.0.7:7946"));
    let contacts: Vec<String> = peers.contacts.iter().map(ToString::to_string).collect();
    assert_eq!(contacts, ["10.1.0.1:7946", "10.1.0.2:7946"]);
    assert_eq!(fleet.voters.expect("the section is present").nodes, [0, 1, 2]);
    let budgets = fleet.budgets.expect("the section is present");
    assert_eq!((budgets.lease(), budgets.edition, budgets.of.len()), (Duration::from_millis(2500), 9, 2));
    let (first, second) = (&budgets.of[0], &budgets.of[1]);
    assert_eq!((first.tariff.as_deref(), first.customer.as_deref()), (Some("search"), Some("lime")));
    // Nodes identify a budget to each other by its name, so the default name must not change between versions.
    assert_eq!((first.name(), first.further), ("search lime".to_owned(), false));
    assert_eq!((first.units, first.window_ms, first.floor, first.nodes), (500, 1500, 2, 40));
    assert_eq!((second.name(), second.further), ("sent again".to_owned(), true));
    assert_eq!((second.units, second.window_ms, second.floor, second.nodes), (30, 1000, 0, 0));
    assert_eq!(
        fleet.maintenance.expect("the section is present").permission(),
        Duration::from_millis(12_000)
    );
}

#[test]
fn a_complete_front_end_file_is_read_to_the_same_values() {
    let frontends = FrontendSettings::read(include_str!("data/fronts.toml")).expect("the settings are valid");
    let faktory = frontends.faktory.expect("the section is present");
    assert_eq!(faktory.listen.to_string(), "127.0.0.1:7419");
    assert_eq!(faktory.password.as_deref(), Some("what clients know"));
    assert_eq!((faktory.max_connections(), faktory.fetch_timeout()), (65, Duration::from_millis(501)));
    assert_eq!(
        (faktory.heartbeat_timeout(), faktory.reservation()),
        (Duration::from_millis(61_000), Duration::from_millis(1_801_000))
    );
    let job_log = frontends.job_log.expect("the section is present");
    assert_eq!(job_log.folder, Path::new("/var/lib/grebeusher/n3"));
    assert_eq!((job_log.answer_ttl(), job_log.max_jobs()), (Duration::from_millis(601_000), 10_001));
    let health_checks = frontends.health_checks.expect("the section is present");
    assert_eq!(health_checks.agent.map(|address| address.to_string()).as_deref(), Some("127.0.0.1:9001"));
    assert_eq!(health_checks.health.map(|address| address.to_string()).as_deref(), Some("127.0.0.1:9002"));
    assert_eq!(health_checks.min_interval(), Duration::from_millis(4));
}

#[test]
fn a_complete_plan_is_read_to_the_same_values() {
    let texts = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect::<Vec<String>>();
    let expected = Plan {
        name: "new kernel, north".to_owned(),
        machines: texts(&["s-0", "s-3"]),
        of_zones: texts(&["north"]),
        of_kinds: texts(&["plain"]),
        zones: texts(&["north", "south"]),
        nodes: vec![3, 4],
        most_nodes_out: 2,
        least_nodes: 30,
        most_nodes_out_a_zone: 5,
        most_out: 7,
        most_out_a_zone: 6,
        most_cold: Some(4),
        least_ready: 8,
        drain_within_s: 60,
        work_within_s: 3600,
        warm_s: 31,
        longest_unit_s: 32,
        when_lost: WhenLost::GoOn,
        goes_on: true,
        most_turned_back: 0.05,
        first: texts(&["s-3"]),
        without: vec![9],
    };
    assert_eq!(plan::read(include_str!("data/plan.toml")).expect("the plan is valid"), expected);
    let plan_text = include_str!("data/plan.toml").replace("\"go-on\"", "\"stop\"");
    assert_eq!(plan::read(&plan_text).expect("the plan is valid").when_lost, WhenLost::Stop);
}

#[test]
fn the_shipped_files_are_accepted() {
    let shipped = |name: &str| Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name);
    assert!(FleetSettings::of_file(&shipped("fleet.toml")).is_ok());
    assert!(FrontendSettings::of_file(&shipped("fronts.toml")).is_ok());
    let text = std::fs::read_to_string(shipped("plan.toml")).expect("the file is readable");
    assert!(plan::read(&text).is_ok());
}

#[test]
fn unknown_keys_and_invalid_values_in_operators_files_are_reported_in_one_line() {
    let results = [
        FleetSettings::read("[budget]").map(drop),
        FleetSettings::read("[executors]\nrecalls_stop_waiting = 1").map(drop),
        FleetSettings::read("[fellows]\nfleet = \"a\"\nsecret = \"long enough\"").map(drop),
        FleetSettings::read("[maintenance]").map(drop),
        FrontendSettings::read("[checks]").map(drop),
        FrontendSettings::read("[ledger]").map(drop),
        FrontendSettings::read("[faktory]\nlisten = \"127.0.0.1:1\"\nreserve_for_s = 0").map(drop),
        plan::read("name = \"a\"").map(drop),
        plan::read(&include_str!("data/plan.toml").replace("\"go-on\"", "\"go\"")).map(drop),
    ];
    let lines = [
        "budget: unknown field `budget`, expected one of `executors`, `fellows`, `keepers`, `budgets`, `maintenance`",
        "executors.recalls_stop_waiting: invalid type: integer `1`, expected a boolean",
        "fellows: missing field `contacts`",
        "maintenance: expected [keepers] as well, found none",
        "checks: expected an agent or a health address, found neither",
        "ledger: missing field `folder`",
        "faktory.reserve_for_s: expected a whole number from 1 to 86400, found 0",
        ".: missing field `most_out`",
        "when_lost: unknown variant `go`, expected `stop` or `go-on`",
    ];
    for (result, line) in results.into_iter().zip(lines) {
        assert_eq!(result.map_err(|error| error.to_string()), Err(line.to_owned()));
    }
}

#[test]
fn the_file_that_says_how_to_build_and_start_the_balancer_has_the_same_keys() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).expect("the file is readable");
    let file: toml::Table = toml::from_str(&text).expect("the text is valid TOML");
    let text_keys = ["build", "run", "sim"];
    let list_keys = ["node", "packages", "policy"];
    for key in text_keys {
        assert!(file[key].is_str(), "{key}");
    }
    for key in list_keys {
        assert!(file[key].as_array().is_some_and(|list| list.iter().all(toml::Value::is_str)), "{key}");
    }
    assert_eq!(file.len(), text_keys.len() + list_keys.len());
}

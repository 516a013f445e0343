//! Tests which settings are accepted, and with which errors invalid ones are rejected.

use grebeusher_dispatch::time::DurationExt;
use grebeusher_node_config::fleet::FleetSettings;
use grebeusher_node_config::node_settings::NodeSettings;
use grebeusher_node_config::{DeploymentSettings, RegistryMode};
use serde_json::{Value, json};

/// Returns the smallest valid settings, with two tariffs.
fn minimal_settings() -> Value {
    json!({"contract": {"cold_share": 0.15, "warm_within_ns": 24e9, "overload_factor": 2.5, "fall_ns": 1e9},
        "tariffs": [
            {"name": "a", "effect": "read_like", "quoted_time_ns": 4e8, "patience_ns": 1e10},
            {"name": "b", "effect": "idempotency_key", "group": "cell", "memory_span_ns": 4e10,
                "quoted_time_ns": 4e8, "patience_ns": 1e10}]})
}

/// Returns the smallest valid settings with the value at a path of keys and indices replaced.
fn with_value(pointer: &str, value: Value) -> Value {
    let mut settings = minimal_settings();
    let mut target = &mut settings;
    for key in pointer.split('/') {
        target = match key.parse::<usize>() {
            Ok(index) => &mut target[index],
            Err(_) => &mut target[key],
        };
    }
    *target = value;
    settings
}

#[test]
fn absent_null_and_unknown_keys_are_accepted() {
    for settings in
        [minimal_settings(), with_value("caps", Value::Null), with_value("a_new_key", json!([1, "x"]))]
    {
        let settings = DeploymentSettings::read(&settings).expect("the settings are valid");
        assert_eq!(settings.registry_mode, RegistryMode::Subscribe);
        assert!(!settings.peers && !settings.probes && !settings.allows_cancellation());
        assert!(
            settings.idle_timeout.nanos() > 0 && settings.connect_timeout.nanos() > 0,
            "an absent timeout must not default to zero"
        );
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one entry for each invalid value")]
fn each_invalid_setting_is_rejected_with_its_key_and_the_expected_value() {
    let invalid = [
        ("caps/second_copies", json!("yes"), "caps.second_copies: expected true or false, found \"yes\""),
        ("caps/peers", json!(1), "caps.peers: expected true or false, found 1"),
        ("caps/may_probe", json!("no"), "caps.may_probe: expected true or false"),
        (
            "caps/most_allocations",
            json!(0),
            "caps.most_allocations: expected a whole number from 1 to 1000, found 0",
        ),
        ("caps/conn_idle_ns", json!(-1), "caps.conn_idle_ns: expected nanoseconds"),
        (
            "caps/retry_after",
            json!(true),
            "caps.max_retry_after_ns: expected nanoseconds, a number above 0, found nothing",
        ),
        ("contract/cold_share", json!(1.5), "contract.cold_share: expected a number from 0 to 1, found 1.5"),
        (
            "contract/fall_ns",
            Value::Null,
            "contract.fall_ns: expected nanoseconds, a number above 0, found nothing",
        ),
        ("contract", json!([]), "contract: expected an object, found []"),
        ("tariffs", json!([]), "tariffs: expected a list of at least one tariff, found []"),
        (
            "tariffs/0/effect",
            json!("safe"),
            "tariffs[0].effect: expected one of read_like, idempotency_key, non_idempotent",
        ),
        ("tariffs/0/effect", Value::Null, "tariffs[0].effect: expected"),
        ("tariffs/1/group", json!("pod"), "tariffs[1].group: expected one of all, zone, cell, found \"pod\""),
        (
            "tariffs/1/memory_span_ns",
            json!(0),
            "tariffs[1].memory_span_ns: expected nanoseconds, a number above 0",
        ),
        ("tariffs/1/patience_ns", json!("10s"), "tariffs[1].patience_ns: expected nanoseconds"),
        ("tariffs/0/earnings", json!(-5), "tariffs[0].earnings: expected a number from 0 on, found -5"),
        (
            "family_info/class_stretch",
            json!([1.0]),
            "family_info.class_stretch: expected a list of 2 numbers",
        ),
        ("family_info/class_kind", json!([0, -2]), "family_info.class_kind: expected a list of 2 numbers"),
        ("family_info/tells_start", json!("soon"), "family_info.tells_start: expected true or false"),
        ("family_info/progress_ns", json!([1]), "family_info.progress_ns: expected nanoseconds"),
        (
            "registry_mode",
            json!("push"),
            "registry_mode: expected one of automatic, subscribe, found \"push\"",
        ),
        ("report/via", json!("answers"), "report.via: expected one of piggyback, pull, silent"),
        ("report/fields", json!(["x0", 3]), "report.fields: expected a list of texts"),
        ("zones", json!("one"), "zones: expected a list of texts"),
        ("az", json!(3), "az: expected a whole number from 0 to 0, found 3"),
        ("me", json!(1), "me: expected a whole number from 0 to 0, found 1"),
        ("fleet_size", json!(0), "fleet_size: expected a whole number from 1 on, found 0"),
        (
            "tenants",
            json!([{"name": "x", "quota_per_s": "many"}]),
            "tenants[0].quota_per_s: expected a number from 0 on",
        ),
        ("tenants", json!(["x"]), "tenants[0]: expected an object, found \"x\""),
    ];
    for (key, value, expected) in invalid {
        let message = DeploymentSettings::read(&with_value(key, value)).expect_err(key).to_string();
        assert!(message.starts_with(expected), "{key}: {message}");
    }
}

#[test]
fn an_invalid_node_file_is_rejected_with_the_same_errors() {
    let read_node_file = |key: &str, value: Value| {
        let mut node_file =
            json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": minimal_settings()});
        node_file[key] = value;
        NodeSettings::read(&node_file)
    };
    assert_eq!(
        read_node_file("seed", json!("8c1f30d27a5be964")).expect("the settings are valid").seed,
        0x8c1f_30d2_7a5b_e964
    );
    for (key, value, expected) in [
        ("listen", json!("here"), "listen: expected an address and a port, found \"here\""),
        ("console", json!(8100), "console: expected a text, found 8100"),
        ("console", json!("8100"), "console: expected an address and a port, found \"8100\""),
        ("seed", json!("today"), "seed: expected up to 16 hex digits, found \"today\""),
        ("limits", json!({"sockets": -1}), "limits.sockets: expected a whole number from 32 on, found -1"),
        ("limits", json!({"memory_mb": "2G"}), "limits.memory_mb: expected a number from 1"),
        ("known", json!({"instances": 5}), "known.instances: expected a list, found 5"),
        ("settings", Value::Null, "settings: expected an object, found nothing"),
        ("settings", with_value("caps/peers", json!("x")), "settings.caps.peers: expected true or false"),
        ("settings", with_value("tariffs/0/name", Value::Null), "settings.tariffs: expected a name for each"),
    ] {
        let message = read_node_file(key, value).expect_err(key).to_string();
        assert!(message.starts_with(expected), "{key}: {message}");
    }
}

#[test]
fn invalid_fleet_files_are_rejected_and_the_shipped_one_disables_dequeuing() {
    let shipped = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.toml");
    assert!(
        !FleetSettings::of_file(&shipped).expect("the settings are valid").executors.recalls_stop_waiting
    );
    assert!(
        FleetSettings::read("[executors]\nrecalls_stop_waiting = true")
            .expect("the settings are valid")
            .executors
            .recalls_stop_waiting
    );
    for (text, expected) in [
        ("[executors]\nrecalls_stop_waiting = 1", "executors.recalls_stop_waiting: invalid type"),
        ("[executors]\nrecall_stops = true", "executors.recall_stops: unknown field"),
        (
            "[fellows]\nfleet = \"a\"\nsecret = \"short\"\ncontacts = [\"127.0.0.1:1\"]",
            "fellows.secret, its length",
        ),
        ("[budgets]\nof = []", "budgets: expected [keepers] as well"),
        ("[keepers]\nnodes = [0, 1, 2]", "keepers: expected [fellows] as well"),
        ("[maintenance]", "maintenance: expected [keepers] as well"),
        ("[fellows]\nfleet = \"a\"\nsecret = \"long enough\"\ncontacts = []", "fellows.contacts, how many"),
        ("[fellows]\nfleet = \"a\"\nsecret = \"long enough\"\ncontacts = [\"here\"]", "fellows.contacts[0]"),
    ] {
        assert!(FleetSettings::read(text).is_err_and(|error| error.to_string().contains(expected)));
    }
}

#[test]
fn unknown_customers_get_the_index_after_the_last() {
    // Guards against requests with an unknown customer or none being counted against the quota of the first customer.
    let settings = with_value("tenants", json!([{"name": "a", "quota_per_s": 5}, {"name": "b"}]));
    let settings = DeploymentSettings::read(&settings).expect("the settings are valid");
    assert_eq!([Some("a"), Some("b"), Some("c"), None].map(|name| settings.customer(name)), [0, 1, 2, 2]);
    let without_customers = DeploymentSettings::read(&minimal_settings()).expect("the settings are valid");
    assert_eq!(without_customers.customer(Some("a")), 0, "without customers every request has index 0");
}

//! Tests of the command line tool as an operator runs it, each in a temporary directory of its own.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::process::{Command, Output};
use tempfile::TempDir;

fn configuration() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "note": [1],
        "limits": {"sockets": 1024, "a_new_limit": 3},
        "known": {"generation": 41, "reset": true, "instances": [
            {"instanceId": "s-0", "hostPort": "127.0.0.1:2", "zone": "a", "lifecycle": "active"},
            {"instanceId": "s-1", "hostPort": "127.0.0.1:3", "zone": "c", "lifecycle": "active"}]},
        "settings": {"fleet_size": 3, "me": 1, "registry_mode": "subscribe", "zones": ["a", "b", "c"], "az": 1,
            "a_new_key": {"deep": true},
            "caps": {"may_probe": true, "peers": false, "most_allocations": 3},
            "contract": {"cold_share": 0.15, "warm_within_ns": 24e9, "overload_factor": 2.5, "fall_ns": 1e9,
                "ask_every_ns": 10e9},
            "family_info": {"tells_start": true, "progress_ns": 1e9, "report_x0": "free slots"},
            "prices": {"probe": 0.002, "waste": 0.25},
            "report": {"via": "pull", "fields": ["tps", "load_share", "x0"]},
            "tariffs": [{"name": "search", "effect": "read_like", "quoted_time_ns": 4e8, "patience_ns": 10e9}]}})
}

struct TestDir(TempDir);

impl TestDir {
    /// A temporary directory with one file in it.
    fn with(name: &str, text: &str) -> TestDir {
        let dir = TestDir(TempDir::new().expect("a temporary directory is created"));
        dir.put(name, text);
        dir
    }

    fn of(configuration: &Value) -> TestDir {
        TestDir::with("old.json", &configuration.to_string())
    }

    fn put(&self, name: &str, text: &str) {
        fs::write(self.0.path().join(name), text).expect("the file is written");
    }

    fn migrate(&self, line: &str) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_grebeusher-migrate"));
        command.current_dir(self.0.path()).args(line.split(' ')).output().expect("the tool runs")
    }

    fn files(&self) -> BTreeMap<String, String> {
        let entries = fs::read_dir(self.0.path()).expect("the directory is readable");
        let paths = entries.map(|entry| entry.expect("an entry").path());
        let name = |path: &std::path::Path| path.file_name().expect("a name").to_string_lossy().into_owned();
        paths.map(|path| (name(&path), fs::read_to_string(path).expect("text"))).collect()
    }

    fn json(&self, name: &str) -> Value {
        serde_json::from_str(&self.files()[name]).expect("the file is JSON")
    }
}

fn stdout_of(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// Asserts that the command failed with a single line of text, and returns that line.
fn error_line(output: &Output) -> String {
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr.clone()).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

const ALL: &str =
    "old.json new.json --zones a,d --zone d --peers --report-fields depth,load_share --starts untold";

#[test]
fn the_new_configuration_has_the_required_changes_and_no_others() {
    let dir = TestDir::of(&configuration());
    let list = stdout_of(&dir.migrate(ALL));
    let mut new = configuration();
    new["settings"]["registry_mode"] = json!("automatic");
    new["settings"]["zones"] = json!(["a", "d"]);
    new["settings"]["caps"]["may_probe"] = json!(false);
    new["settings"]["caps"]["peers"] = json!(true);
    new["settings"]["report"] = json!({"via": "piggyback", "fields": ["depth", "load_share"]});
    new["settings"]["family_info"]["tells_start"] = json!(false);
    new["settings"]["prices"] = json!({"waste": 0.25});
    new["settings"]["contract"].as_object_mut().expect("an object").remove("ask_every_ns");
    new["known"]["generation"] = json!(0);
    new["known"]["instances"].as_array_mut().expect("a list").pop();
    assert_eq!(dir.json("new.json"), new);
    assert_eq!(dir.json("old.json"), configuration());
    for line in [
        "settings.registry_mode: changed: subscribe to automatic",
        "settings.registry_mode: not carried over: automatic",
        "settings.contract.ask_every_ns: dropped",
        "settings.caps.may_probe: changed: true to false",
        "settings.prices.probe: dropped: was 0.002",
        "settings.report.via: changed: \"pull\" to \"piggyback\"",
        "settings.caps.peers: changed: false to true",
        "settings.caps.peers: not carried over: sockets have no form",
        "settings.family_info.tells_start: changed: true to false",
        "settings.zones: dropped: b: a zone that is no more",
        "settings.zones: dropped: c: a zone that is no more",
        "settings.zones: changed: d: a new zone",
        "settings.report.fields: changed",
        "settings.report.fields: not carried over: x0: the node reads it",
        "settings.report.fields: not carried over: depth: reported, and read by no decision",
        "known.instances: dropped: s-1",
        "known.generation: changed: 41 to 0",
    ] {
        assert!(list.lines().any(|printed| printed.starts_with(line)), "{line} is missing in:\n{list}");
    }
    assert_eq!(list.lines().count(), 17, "{list}");
}

#[test]
fn a_dry_run_prints_the_same_and_changes_no_file() {
    let dir = TestDir::of(&configuration());
    let before = dir.files();
    let dry = stdout_of(&dir.migrate(&format!("{ALL} --dry-run")));
    assert_eq!(dir.files(), before);
    assert_eq!(stdout_of(&dir.migrate(ALL)), dry);
}

#[test]
fn a_single_new_zone_is_the_zone_of_the_node() {
    let dir = TestDir::of(&configuration());
    stdout_of(&dir.migrate("old.json new.json --zones only"));
    let new = dir.json("new.json");
    assert_eq!((&new["settings"]["zones"], &new["settings"]["az"]), (&json!(["only"]), &json!(0)));
}

#[test]
fn an_existing_target_is_replaced_only_on_request_and_the_old_file_never() {
    let dir = TestDir::of(&configuration());
    dir.put("new.json", "mine");
    assert!(error_line(&dir.migrate("old.json new.json")).contains("--replace"));
    assert_eq!(dir.files()["new.json"], "mine");
    stdout_of(&dir.migrate("old.json new.json --replace"));
    assert_eq!(dir.json("new.json")["settings"]["registry_mode"], "automatic");
    fs::hard_link(dir.0.path().join("old.json"), dir.0.path().join("link.json")).expect("a link");
    for target in ["old.json", "./old.json", "link.json"] {
        let message = error_line(&dir.migrate(&format!("old.json {target} --replace")));
        assert!(message.contains("never overwritten"), "{message}");
        assert_eq!(dir.json("old.json"), configuration());
    }
}

#[test]
fn invalid_input_is_reported_in_one_line_and_nothing_is_written() {
    let changed = |change: fn(&mut Value)| {
        let mut configuration = configuration();
        change(&mut configuration);
        configuration.to_string()
    };
    let cases = [
        ("{", "not JSON".to_owned()),
        ("[]", "expected an object, found []".to_owned()),
        (&changed(|p| p["settings"] = Value::Null), "settings: expected an object, found nothing".to_owned()),
        (
            &changed(|p| p["settings"]["registry_mode"] = json!("automatic")),
            "of the new shape already".to_owned(),
        ),
        (&changed(|p| p["settings"]["tariffs"] = json!([])), "settings.tariffs: expected a list".to_owned()),
        (&changed(|p| p["settings"]["caps"] = json!("all")), "settings.caps: expected an object".to_owned()),
        (&changed(|p| p["discovery"] = json!("there")), "discovery: expected an address".to_owned()),
    ];
    for (text, expected) in cases {
        let dir = TestDir::with("old.json", text);
        let before = dir.files();
        let message = error_line(&dir.migrate("old.json new.json"));
        assert!(message.contains(&expected), "{message}");
        assert_eq!(dir.files(), before);
    }
    let dir = TestDir::of(&configuration());
    for (line, expected) in [
        ("none.json new.json", "none.json"),
        ("old.json new.json --zones x,y", "name its new zone by --zone"),
        ("old.json new.json --zones x,y --zone z", "none of the new zones"),
        ("old.json new.json --zone a", "--zones"),
        ("old.json nowhere/new.json", "nowhere/new.json"),
    ] {
        let message = error_line(&dir.migrate(line));
        assert!(message.contains(expected), "{line}: {message}");
        assert_eq!(dir.files().len(), 1);
    }
}

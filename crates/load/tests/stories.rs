//! Short stories of the load tool: with real nodes on loopback, and what it refuses to play.

use grebeusher_emulator::scenario::Scenario;
use grebeusher_load::clients::schedule;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios").join(name)
}

/// The node's program, built as this test was.
fn node() -> &'static Path {
    static NODE: OnceLock<PathBuf> = OnceLock::new();
    NODE.get_or_init(|| {
        let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "grebeusher-node"]).status();
        assert!(built.expect("cargo runs").success());
        let own = PathBuf::from(env!("CARGO_BIN_EXE_grebeusher-load"));
        own.with_file_name("grebeusher")
    })
}

fn play(scenario: &Path, further: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebeusher-load"));
    let output = command.arg(scenario).args(further).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A shipped scenario with some of it changed, in a file of the story's own.
fn changed(story: &str, from: &str, to: &str) -> PathBuf {
    let text = std::fs::read_to_string(shipped("sockets.toml")).expect("it is shipped");
    assert!(text.contains(from));
    let path = std::env::temp_dir().join(format!("grebeusher-load-{}-{story}.toml", std::process::id()));
    std::fs::write(&path, text.replacen(from, to, 1)).expect("it is written");
    path
}

#[test]
fn real_nodes_keep_the_rules_while_an_executor_dies_and_comes_back() {
    let node = node().to_str().expect("plain letters");
    let (code, said, wrong) =
        play(&shipped("sockets.toml"), &["--length", "8", "--node", node, "--json", "-"]);
    let report: Value = serde_json::from_str(&said).unwrap_or_else(|e| panic!("{e}: {said} {wrong}"));
    assert_eq!(code, Some(0), "{report:#}");
    let count = |what: &str| -> u64 {
        let tariffs = report["tariffs"].as_array().expect("a list");
        tariffs.iter().filter_map(|tariff| tariff[what].as_u64()).sum()
    };
    assert!(count("came") > 300 && count("in_time") * 10 > count("came") * 8, "{report:#}");
    assert_eq!(report["broken"], serde_json::json!({}));
}

#[test]
fn arrivals_are_drawn_beforehand_and_alike_for_a_seed() {
    let text = std::fs::read_to_string(shipped("sockets.toml")).expect("it is shipped");
    let mut scenario = Scenario::read(&text).expect("it is whole");
    let drawn = |scenario: &Scenario| -> Vec<(u64, u64)> {
        schedule(scenario).iter().map(|errand| (errand.came.0, (errand.size_s * 1e9) as u64)).collect()
    };
    let first = drawn(&scenario);
    assert!(first.len() > 1000 && first.is_sorted());
    assert_eq!(first, drawn(&scenario));
    scenario.seed += 1;
    assert_ne!(first, drawn(&scenario));
}

#[test]
fn what_can_not_be_played_is_refused_by_its_place_and_nothing_starts() {
    for (story, from, to, says) in [
        (
            "cut",
            "what = \"kill-executors\"\npart = 0.17",
            "what = \"cut-zone\"\nzone = \"north\"",
            "faults[0].what",
        ),
        ("many", "count = 2\nzones", "count = 17\nzones", "nodes.count: expected 16 at most"),
        ("typo", "slots = 4", "slot = 4", "executors[0].slot: unknown field"),
    ] {
        let path = changed(story, from, to);
        let (code, said, wrong) = play(&path, &["--node", "/no/such/program"]);
        assert_eq!((code, said.as_str()), (Some(2), ""));
        assert!(wrong.contains(says), "{wrong}");
        let _ = std::fs::remove_file(path);
    }
    assert_eq!(play(&shipped("sockets.toml"), &["--length", "21"]).0, Some(2));
    assert_eq!(play(&shipped("sockets.toml"), &["--check"]).0, Some(0));
}

#[test]
fn nodes_that_do_not_start_end_the_run_with_their_last_words() {
    for (program, says) in [("/no/such/program", "/no/such/program"), ("/bin/false", "ended at its start")] {
        let (code, _, wrong) = play(&shipped("sockets.toml"), &["--node", program]);
        assert_eq!(code, Some(2));
        assert!(wrong.contains(says), "{wrong}");
    }
}

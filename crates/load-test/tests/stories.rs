//! Short stories of the rig: with real nodes on loopback, and what it refuses to play.

use grebeusher_emulator::scenario::Scenario;
use grebeusher_load_test::account::{Line, merged};
use grebeusher_load_test::clients::schedule;
use grebeusher_load_test::faults::plan;
use grebeusher_load_test::run::Needs;
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use tempfile::TempDir;

mod links;

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios").join(name)
}

/// The node's program, built as this test was.
fn node() -> &'static Path {
    static NODE: OnceLock<PathBuf> = OnceLock::new();
    NODE.get_or_init(|| {
        let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "grebeusher-node"]).status();
        assert!(built.expect("cargo runs").success());
        let own = PathBuf::from(env!("CARGO_BIN_EXE_grebeusher-load-test"));
        own.with_file_name("grebeusher")
    })
}

fn play(scenario: &Path, further: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_grebeusher-load-test"));
    let output = command.arg(scenario).args(further).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// A shipped scenario with some of it changed, in a file of the story's own.
fn changed(folder: &TempDir, from: &str, to: &str) -> PathBuf {
    let text = fs::read_to_string(shipped("sockets.toml")).expect("it is shipped");
    assert!(text.contains(from));
    let path = folder.path().join("changed.toml");
    fs::write(&path, text.replacen(from, to, 1)).expect("it is written");
    path
}

fn folder() -> TempDir {
    tempfile::tempdir().expect("there is room")
}

/// What a run says; it must be well.
fn well(scenario: &Path, further: &[&str]) -> Value {
    let node = node().to_str().expect("plain letters");
    let line: Vec<&str> = [&["--node", node, "--json", "-"], further].concat();
    let (code, said, wrong) = play(scenario, &line);
    let report: Value = serde_json::from_str(&said).unwrap_or_else(|e| panic!("{e}: {said} {wrong}"));
    assert_eq!(code, Some(0), "{report:#}");
    report
}

fn count(report: &Value, what: &str) -> u64 {
    let tariffs = report["tariffs"].as_array().expect("a list");
    tariffs.iter().filter_map(|tariff| tariff[what].as_u64()).sum()
}

/// Where a node of a run listens, by the files that the run keeps.
fn listens(logs: &Path, node: &str) -> SocketAddr {
    let posting = fs::read_to_string(logs.join(node).join("posting.json")).expect("it was written");
    let posting: Value = serde_json::from_str(&posting).expect("it is whole");
    posting["listen"].as_str().and_then(|text| text.parse().ok()).expect("an address")
}

#[test]
fn real_nodes_keep_the_rules_while_an_executor_dies_and_comes_back() {
    let report = well(&shipped("sockets.toml"), &["--length", "8"]);
    let (came, in_time) = (count(&report, "came"), count(&report, "in_time"));
    assert!(came > 300 && in_time * 10 > came * 8, "{report:#}");
    assert_eq!(report["broken"], serde_json::json!({}));
}

/// What is said of the shipped scenario without its faults, with this changed in it and more behind it; it must be well.
fn played(changes: &[(&str, &str)], more: &str) -> Value {
    let folder = folder();
    let text = fs::read_to_string(shipped("sockets.toml")).expect("it is shipped");
    let calm = text.split("[[faults]]").next().expect("a front").to_owned();
    let changed = changes.iter().fold(calm, |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    });
    let path = folder.path().join("played.toml");
    fs::write(&path, format!("{changed}{more}")).expect("written");
    well(&path, &[])
}

/// Six nodes before six executors for six seconds, with these faults.
fn among_six(faults: &[&str]) -> Value {
    let faults: String = faults.iter().map(|fault| format!("\n[[faults]]\n{fault}\n")).collect();
    played(&[("count = 2\nzones", "count = 6\nzones"), ("length_s = 20", "length_s = 6")], &faults)
}

/// Guards against a node that stands still, or comes back with an old list, and does then what it had in mind before.
#[test]
fn nodes_that_stand_still_stop_or_come_back_with_an_old_list_keep_the_rules() {
    let report = among_six(&[
        "what = \"freeze-nodes\"\npart = 0.34\nat_s = 1.5\nfor_s = 1.5",
        "what = \"stop-nodes\"\npart = 0.34\nat_s = 2\nfor_s = 1",
        "what = \"restart-nodes\"\npart = 0.17\nat_s = 3.5\nfor_s = 0.5\nold_list = true",
        "what = \"unlist-executors\"\npart = 0.5\nat_s = 4.5\nfor_s = 3",
    ]);
    // Those that stood still hold up what they have.
    let slowest = report["answers_ms"]["most"].as_f64().expect("a figure");
    assert!(slowest > 900.0, "{report:#}");
}

#[test]
fn links_that_are_cut_slow_lossy_or_break_off_cost_no_rule() {
    let report = among_six(&[
        "what = \"cut-zone\"\nzone = \"north\"\nat_s = 1.5\nfor_s = 1",
        "what = \"cut-links\"\nway = \"to-nodes\"\npart = 0.34\nat_s = 2\nfor_s = 1",
        "what = \"delay-links\"\nside = \"discovery\"\npart = 0.5\ndelay_ms = 800\nat_s = 1\nfor_s = 2",
        "what = \"lose-links\"\npart = 0.5\nloss = 0.2\nat_s = 3\nfor_s = 1",
        "what = \"reset-links\"\npart = 0.34\nbytes = 100\nat_s = 3.5\nfor_s = 0.5",
        "what = \"half-open-links\"\npart = 0.34\nat_s = 4\nfor_s = 0.1",
        "what = \"drip-links\"\npart = 0.34\nbytes = 2000\nat_s = 4.2\nfor_s = 0.5",
    ]);
    assert!(
        report["sends"].as_u64() > Some(count(&report, "came")),
        "something went a second time: {report:#}"
    );
}

/// Failure: an executor was back in the list while what discovery says came late, the book held the node to the word before, that it was
/// gone, and each send there afterwards was a broken rule.
#[test]
fn what_the_list_says_of_one_that_is_back_counts_though_it_comes_late() {
    let report = among_six(&[
        "what = \"drain-executors\"\npart = 0.5\nat_s = 1\nfor_s = 0.5",
        "what = \"delay-links\"\nside = \"discovery\"\npart = 1.0\ndelay_ms = 300\nat_s = 2.2\nfor_s = 1.8",
    ]);
    assert_eq!(report["broken"], serde_json::json!({}), "{report:#}");
}

#[test]
fn a_node_without_descriptors_and_executors_that_lie_or_fail_cost_no_rule() {
    let report = among_six(&[
        "what = \"fill-descriptors\"\npart = 0.34\nat_s = 1.5\nfor_s = 1.5",
        "what = \"flatter-executors\"\npart = 0.34\nat_s = 1\nfor_s = 2",
        "what = \"fail-executors\"\npart = 0.17\nat_s = 3\nfor_s = 1.5",
        "what = \"discovery-down\"\nat_s = 2\nfor_s = 1",
    ]);
    assert!(report["errors"].as_u64() > Some(0) && report["list_calls"].as_u64() > Some(6), "{report:#}");
}

/// Guards against nodes that lose sight of each other for good, and against a datagram from nowhere that does something.
#[test]
fn nodes_that_talk_meet_again_after_cuts_and_drop_what_is_not_their_fleets() {
    let folder = folder();
    let text = fs::read_to_string(shipped("sockets.toml")).expect("it is shipped");
    let calm = text.split("[[faults]]").next().expect("a front").replacen("length_s = 20", "length_s = 8", 1);
    let talking = calm.replacen("count = 2\nzones", "count = 5\ntalk = true\nwords = true\nzones", 1);
    let faults = [
        "what = \"cut-links\"\nside = \"fellows\"\npart = 0.4\nat_s = 1\nfor_s = 1",
        "what = \"lose-links\"\nside = \"fellows\"\npart = 1.0\nloss = 0.1\nat_s = 2\nfor_s = 1",
        "what = \"restart-nodes\"\npart = 0.2\nat_s = 1\nfor_s = 0.5",
        "what = \"kill-executors\"\npart = 0.17\nat_s = 2.5\nfor_s = 0.5",
        "what = \"stop-nodes\"\npart = 1.0\nat_s = 7\nfor_s = 0.1",
    ];
    let faults: String = faults.iter().map(|fault| format!("\n[[faults]]\n{fault}\n")).collect();
    let (path, logs) = (folder.path().join("talking.toml"), folder.path().join("logs"));
    fs::write(&path, format!("{talking}{faults}")).expect("written");
    let node = node().to_str().expect("plain letters");
    let mut rig = Command::new(env!("CARGO_BIN_EXE_grebeusher-load-test"))
        .arg(&path)
        .args(["--node", node, "--json", "-", "--logs", logs.to_str().expect("plain letters")])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    let mut says = BufReader::new(rig.stderr.take().expect("it has one")).lines();
    assert!(says.any(|line| line.is_ok_and(|line| line.contains("ready after"))));
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = SocketAddr::new(listens(&logs, "n0").ip(), 7946);
    for junk in [&b""[..], b"x", &[1; 18], &[1; 200], &[255; 1200]] {
        stranger.send_to(junk, at).expect("it is sent");
    }
    let rest: Vec<_> = says.collect();
    let output = rig.wait_with_output().expect("it ends");
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {rest:?}"));
    assert_eq!(output.status.code(), Some(0), "{report:#}");
    assert!(report["datagrams_per_s"].as_f64() > Some(1.0), "{report:#}");
    let log = |node: &str| fs::read_to_string(logs.join(node).join("log")).expect("it has one");
    assert!(log("n0").contains("datagrams_bad 5 "), "{}", log("n0"));
    for at in 0..5 {
        // One that knows little is told by the others what they have seen of work.
        let taught = log(&format!("n{at}"))
            .lines()
            .any(|line| line.contains(" lessons ") && !line.contains(" lessons 0 "));
        assert!(taught, "n{at} was told nothing: {}", log(&format!("n{at}")));
        for other in (0..5).filter(|other| *other != at) {
            let met = format!("node {other} is there");
            assert!(log(&format!("n{at}")).contains(&met), "n{at}: {met}");
        }
    }
}

/// Guards against more than the whole being spent while nodes die, come back at once or stand still, all that agree on it are lost, or
/// some have read a file that makes it smaller.
#[test]
fn a_budget_of_the_fleet_is_never_overspent_and_is_used() {
    let changes = [
        ("length_s = 20", "length_s = 14"),
        ("count = 2\nzones", "count = 5\ntalk = true\nzones"),
        ("per_s = 40.0", "per_s = 80.0"),
        ("repeats = 2", "repeats = 0"),
        ("settles_s = 1", "settles_s = 5"),
    ];
    let more = "\n[[budgets]]\ntariff = \"search\"\nunits = 30\nwindow_ms = 1000\n\n\
                [[budgets]]\ntariff = \"search\"\nfurther = true\nunits = 3\nwindow_ms = 1000\n\n\
                [[faults]]\nwhat = \"fail-executors\"\npart = 0.5\nat_s = 4.5\nfor_s = 3\n\n\
                [[faults]]\nwhat = \"post-budgets\"\npart = 0.4\nunits = 20\nat_s = 5.5\nfor_s = 0\n\n\
                [[faults]]\nwhat = \"freeze-nodes\"\npart = 0.4\nat_s = 6\nfor_s = 1\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\npart = 0.4\nat_s = 8\nfor_s = 0.1\n\n\
                [[faults]]\nwhat = \"lose-links\"\nside = \"fellows\"\npart = 1.0\nloss = 0.2\nat_s = 9\nfor_s = 1\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\npart = 1.0\nat_s = 11\nfor_s = 0.1\n";
    let report = played(&changes, more);
    let [units, further] = [&report["budgets"][0], &report["budgets"][1]];
    assert!(units["most"].as_u64() <= Some(30), "{units:#}");
    assert!(units["used"].as_f64() > Some(0.2), "it was spent at all: {units:#}");
    assert!((1..=3).contains(&further["most"].as_u64().unwrap_or(0)), "{further:#}");
}

/// Guards against a machine that is out with work in hand or a send under way, and against a plan that one node's loss ends:
/// each keeper is killed in turn, a node stands still and another is cut off while machines go out one by one.
#[test]
fn machines_go_out_one_by_one_with_nothing_lost_though_each_keeper_is_killed() {
    let changes = [("length_s = 20", "length_s = 24"), ("count = 2\nzones", "count = 5\ntalk = true\nzones")];
    let more = "\n[maintenance]\nat_s = 2\npart = 0.5\nmost_out = 1\nleast_ready = 0.6\nwork_s = 0.5\n\
                longest_unit_s = 5\npermission_ms = 2000\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\nthese = [0]\nat_s = 4\nfor_s = 0.1\n\n\
                [[faults]]\nwhat = \"freeze-nodes\"\nthese = [4]\nat_s = 5\nfor_s = 3\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\nthese = [1]\nat_s = 7\nfor_s = 0.1\n\n\
                [[faults]]\nwhat = \"cut-links\"\nside = \"fellows\"\nthese = [3]\nat_s = 9\nfor_s = 2\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\nthese = [2]\nat_s = 10\nfor_s = 0.1\n";
    let plan = &played(&changes, more)["plan"];
    assert_eq!((plan["machines"].as_u64(), plan["most_out"].as_u64()), (Some(3), Some(1)), "{plan:#}");
    assert!(plan["phases"]["done"].as_u64() >= Some(2), "{plan:#}");
}

/// Guards against a machine that is called out while a node of an older version, which knows nothing of plans, sends to it: the
/// plan waits and names that node, and goes on when it has been replaced.
#[test]
fn a_plan_waits_for_a_node_of_an_older_version_by_name() {
    let more = "\n[maintenance]\nat_s = 1\npart = 0.17\nmost_out = 1\nleast_ready = 0.6\nwork_s = 0.5\n\
                longest_unit_s = 3\npermission_ms = 2000\nolder = [5]\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\nthese = [5]\nat_s = 8\nfor_s = 0.1\n";
    let plan = &played(&[("count = 2\nzones", "count = 6\ntalk = true\nzones")], more)["plan"];
    let waited = plan["why"]["runs: node 5, which may not have heard of the plan"].as_u64();
    assert!(waited > Some(10), "{plan:#}");
    assert_eq!(plan["phases"]["done"].as_u64(), Some(1), "{plan:#}");
}

/// Guards against a node that is called out while it has clients, work or a part of a budget, and against keepers that go together:
/// all three of them and a fourth node go, while another is killed and datagrams get lost.
#[test]
fn nodes_own_machines_go_out_one_by_one_keepers_among_them() {
    let changes = [("length_s = 20", "length_s = 26"), ("count = 2\nzones", "count = 6\ntalk = true\nzones")];
    let more = "\n[maintenance]\nat_s = 2\npart = 0.17\nnodes = [0, 1, 2, 3]\nmost_nodes_out = 1\nmost_nodes_out_a_zone = 1\nleast_nodes = 3\n\
                most_out = 1\nleast_ready = 0.6\nwork_s = 0.5\nlongest_unit_s = 3\npermission_ms = 2000\n\n\
                [[budgets]]\ntariff = \"search\"\nunits = 60\nwindow_ms = 1000\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\nthese = [5]\nat_s = 6\nfor_s = 0.1\n\n\
                [[faults]]\nwhat = \"lose-links\"\nside = \"fellows\"\npart = 1.0\nloss = 0.1\nat_s = 8\nfor_s = 2\n";
    let plan = &played(&changes, more)["plan"];
    assert_eq!((plan["machines"].as_u64(), plan["most_nodes_out"].as_u64()), (Some(5), Some(1)), "{plan:#}");
    assert!(plan["phases"]["done"].as_u64() >= Some(4), "{plan:#}");
}

/// Guards against a part that is spent for longer than it was granted, or a rule that is broken, since a clock is ahead, behind
/// or runs at another pace than that of the keepers.
#[test]
fn clocks_that_do_not_agree_overspend_no_budget_and_cost_no_rule() {
    let clocks = "count = 6\nclocks = [{ part = 0.17, ahead_ms = 60000 }, { part = 0.2, ahead_ms = -60000 }, \
                  { part = 0.34, pace = 0.99 }, { part = 0.5, pace = 1.01 }]\ntalk = true\nzones";
    let changes = [("length_s = 20", "length_s = 8"), ("count = 2\nzones", clocks)];
    let more = "\n[[budgets]]\ntariff = \"search\"\nunits = 10\nwindow_ms = 500\n\n\
                [[faults]]\nwhat = \"restart-nodes\"\npart = 0.34\nat_s = 3\nfor_s = 0.2\n";
    let report = played(&changes, more);
    let most = report["budgets"][0]["most"].as_u64().expect("a figure");
    assert!((1..=10).contains(&most), "{report:#}");
}

/// Guards against work that waits outside a node whose descriptors are all taken until its patience is over, though that
/// has connections to spare, or, as its table was full before anybody came, none.
#[test]
fn a_node_without_descriptors_makes_room_for_its_clients() {
    // Nodes that see little have few connections from clients, and idle ones to executors.
    let changes = [
        ("length_s = 20", "length_s = 12"),
        ("count = 2\nzones", "count = 16\nzones"),
        ("per_s = 40.0", "per_s = 10.0"),
        ("count = 4\nslots", "count = 16\nslots"),
    ];
    let full = "\n[[faults]]\nwhat = \"fill-descriptors\"\npart = 1.0\nat_s = 0.3\nfor_s = 8.7\n";
    played(&changes, full);
}

/// Guards against an account that leaves a process out, mixes up times, or hides what it could not read.
#[test]
fn an_account_has_what_all_processes_said_in_the_order_of_their_times() {
    let folder = folder();
    let file = folder.path().join("account.jsonl");
    let named = file.to_str().expect("plain letters");
    well(&shipped("sockets.toml"), &["--length", "6", "--account", named]);
    let text = fs::read_to_string(&file).expect("it was written");
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let times: Vec<f64> = lines.iter().map(|line| line["at_s"].as_f64().expect("a time")).collect();
    assert!(times.is_sorted());
    for of in ["n0", "n1", "rig"] {
        assert!(lines.iter().any(|line| line["of"] == of), "{of} is not in it");
    }
    let list = lines.iter().find(|line| line["standing"] == "Ready").expect("a line with fields");
    assert!(list["executor"].as_str().is_some_and(|name| name.starts_with("s-")), "{list}");

    let log = "{\"timestamp\":\"12.5\",\"level\":\"INFO\",\"target\":\"a::b\",\"message\":\"x\",\"n\":3}\nlast words\n";
    let rig = vec![Line::of_rig(1.0, "fault", "y".to_owned()), Line::of_rig(4.0, "fault", "z".to_owned())];
    let (lines, unread) = merged(10.0, [("n7".to_owned(), log)].into_iter(), rig);
    let order: Vec<(&str, f64, &str)> =
        lines.iter().map(|line| (line.of.as_str(), line.at_s, line.message.as_str())).collect();
    assert_eq!(order, [("rig", 1.0, "y"), ("n7", 2.5, "x"), ("rig", 4.0, "z")]);
    assert_eq!((unread, &lines[1].part, &lines[1].fields["n"]), (1, &"b".to_owned(), &Value::from(3)));
}

#[test]
fn arrivals_faults_and_storms_are_drawn_beforehand_and_alike_for_a_seed() {
    let scenario = Scenario::of_file(&shipped("fleet-storm.toml")).expect("it is whole");
    let drawn = |seed: u64| {
        let scenario = scenario.of_seed(seed);
        assert_eq!(scenario.faults.len(), 12);
        let came: Vec<(u64, u64)> =
            schedule(&scenario).iter().map(|errand| (errand.came.0, (errand.size_s * 1e9) as u64)).collect();
        assert!(came.len() > 1000 && came.is_sorted());
        (came, plan(&scenario))
    };
    let first = drawn(3);
    assert!(first == drawn(3));
    let other = drawn(4);
    assert!(first.0 != other.0 && first.1 != other.1);
}

#[test]
fn what_can_not_be_played_is_refused_by_its_place_and_nothing_starts() {
    let folder = folder();
    for (from, to, says) in [
        ("count = 2\nzones", "count = 401\nzones", "nodes.count: expected 400 at most"),
        ("slots = 4", "slot = 4", "executors[0].slot: unknown field"),
        ("at_s = 4\n", "at_s = 4\nway = \"up\"\n", "faults[0].way: unknown variant"),
        ("seed = 5", "seed = 5\nbase = \"none.toml\"", "none.toml"),
    ] {
        let path = changed(&folder, from, to);
        let (code, said, wrong) = play(&path, &["--node", "/no/such/program"]);
        assert_eq!((code, said.as_str()), (Some(2), ""));
        assert!(wrong.contains(says), "{wrong}");
    }
    assert_eq!(play(&shipped("sockets.toml"), &["--length", "21"]).0, Some(2));
    assert_eq!(play(&shipped("sockets.toml"), &["--check"]).0, Some(0));
    let needs = Needs { descriptors: u64::MAX, memory_mb: 1, processes: 1, addresses: 1 };
    assert!(needs.fit().is_err_and(|wrong| wrong.starts_with("descriptors: this run needs")));
    let needs = Needs { descriptors: 1, memory_mb: u64::MAX / 2, processes: 1, addresses: 1 };
    assert!(needs.fit().is_err_and(|wrong| wrong.starts_with("megabytes of memory: this run needs")));
}

#[test]
fn nodes_that_do_not_start_end_the_run_with_their_last_words() {
    for (program, says) in [("/no/such/program", "/no/such/program"), ("/bin/false", "ended at its start")] {
        let (code, _, wrong) = play(&shipped("sockets.toml"), &["--node", program]);
        assert_eq!(code, Some(2));
        assert!(wrong.contains(says), "{wrong}");
    }
}

#[test]
fn told_to_end_it_ends_all_that_it_started() {
    let (folder, node) = (folder(), node().to_str().expect("plain letters"));
    let mut rig = Command::new(env!("CARGO_BIN_EXE_grebeusher-load-test"))
        .arg(shipped("sockets.toml"))
        .args(["--node", node, "--logs", folder.path().to_str().expect("plain letters")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    let mut says = BufReader::new(rig.stderr.take().expect("it has one")).lines();
    let is_playing = says.any(|line| line.is_ok_and(|line| line.contains("2 nodes ready after")));
    assert!(is_playing);
    let nodes = [listens(folder.path(), "n0"), listens(folder.path(), "n1")];
    assert!(nodes.iter().all(|node| TcpStream::connect(node).is_ok()));
    // Where no file says that nodes talk, none listens for datagrams.
    assert!(nodes.iter().all(|node| std::net::UdpSocket::bind((node.ip(), 7946)).is_ok()));
    let told = Command::new("kill").args(["-INT", &rig.id().to_string()]).status();
    assert!(told.expect("it runs").success());
    assert_eq!(rig.wait().expect("it ends").code(), Some(2));
    assert!(nodes.iter().all(|node| TcpStream::connect(node).is_err()));
}

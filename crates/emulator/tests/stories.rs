//! Short stories of the model: that it is the same each time, that formulas hold in it, that it notices each broken
//! rule, and that the decisions keep them through overlapping failures.

use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome, ListedExecutor, LoadReport};
use grebeusher_emulator::figures::Outcome;
use grebeusher_emulator::laws::Sizes;
use grebeusher_emulator::plots;
use grebeusher_emulator::queueing;
use grebeusher_emulator::rules::{Answer, Book, Rule};
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::spread::{Spread, Width};
use grebeusher_emulator::stage::Hands;
use grebeusher_emulator::world::{Decide, Maker, Policy, maker, run};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

const SMALL: &str = r#"
name = "small"
length_s = 20
[nodes]
count = 3
zones = ["a", "b"]
[[executors]]
kind = "plain"
count = 4
slots = 2
queue = 8
cold_share = 0.2
warm_s = 10
[[tariffs]]
name = "search"
per_s = 8
size = { law = "lognormal", mean_s = 0.4, cv = 1.5 }
hint_cv = 0.2
quoted_ms = 500
stretch = 2
patience_ms = 5000
earnings = 5
late_part = 0.3
[[tariffs]]
name = "reserve"
effect = "binding"
per_s = 4
size = { law = "exponential", mean_s = 0.2 }
hint_cv = 0.2
quoted_ms = 500
stretch = 2
patience_ms = 4000
earnings = 8
[rules]
warm_within_s = 10
"#;

fn small(further: &str) -> Scenario {
    Scenario::read(&format!("{SMALL}{further}")).expect("it is whole")
}

fn fault(what: &str, at_s: u32, for_s: u32, whom: &str) -> String {
    format!("\n[[faults]]\nwhat = \"{what}\"\nat_s = {at_s}\nfor_s = {for_s}\n{whom}\n")
}

fn play(scenario: &Scenario, policy: Policy) -> Outcome {
    run(scenario, scenario.seed, &maker(scenario, policy))
}

fn shipped(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios").join(name);
    std::fs::read_to_string(path).expect("it is shipped")
}

#[test]
fn one_scenario_and_one_seed_are_one_run_byte_for_byte() {
    let scenario = small(&fault("restart-nodes", 5, 2, "part = 0.5"));
    let text = |seed: u64| {
        let outcome = run(&scenario, seed, &maker(&scenario, Policy::Sita));
        serde_json::to_string(&outcome).expect("it is plain data")
    };
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn whoever_decides_meets_the_same_work() {
    let scenario = small("");
    let came = |policy| play(&scenario, policy).summary.tariffs.iter().map(|t| t.came).collect::<Vec<_>>();
    assert_eq!(came(Policy::Sita), came(Policy::Random));
    assert_eq!(came(Policy::Sita), came(Policy::LeastOut));
}

#[test]
fn waiting_times_are_those_of_the_formulas() {
    for check in queueing::checks(40_000, 2) {
        assert!(check.holds(), "{check:?}");
        assert!(check.half_width_ms < check.formula_ms / 2.0, "an interval that holds anything: {check:?}");
    }
}

#[test]
fn formulas_by_hand() {
    // One server, half used: as long as a run. Two servers: a third of it. A law without spread: half of it.
    assert!((queueing::mmc_wait_s(5.0, 0.1, 1) - 0.1).abs() < 1e-12);
    assert!((queueing::mmc_wait_s(10.0, 0.1, 2) - 0.1 / 3.0).abs() < 1e-12);
    assert!((queueing::mg1_wait_s(5.0, Sizes::Fixed { mean_s: 0.1 }) - 0.05).abs() < 1e-12);
}

#[test]
fn laws_have_the_moments_that_they_say() {
    let mean_s = 0.4;
    let laws = [
        Sizes::Fixed { mean_s },
        Sizes::Exponential { mean_s },
        Sizes::Lognormal { mean_s, cv: 1.0 },
        Sizes::Pareto { mean_s, shape: 2.0, ratio: 50.0 },
        Sizes::Pareto { mean_s, shape: 1.5, ratio: 50.0 },
    ];
    for law in laws {
        let mut chance = Pcg32::seed_from_u64(5);
        let drawn: Vec<f64> = (0..400_000).map(|_| law.draw(&mut chance)).collect();
        let moment = |power: i32| drawn.iter().map(|s| s.powi(power)).sum::<f64>() / drawn.len() as f64;
        assert!((moment(1) / law.mean_s() - 1.0).abs() < 0.01, "{law:?}: {}", moment(1));
        assert!((moment(2) / law.second_moment() - 1.0).abs() < 0.05, "{law:?}: {}", moment(2));
    }
}

/// Decisions that go wrong on purpose: what they do with each unit, and whether they hear of the list.
struct Odd {
    hands: Hands,
    does: fn(&mut Hands, RequestId),
    ends: fn(&mut Hands, AttemptId),
}

impl Decide for Odd {
    fn start(&mut self, _: Instant) {
        self.hands.watch_executors();
    }
    fn listed(&mut self, _: Instant, _: bool, _: &[ListedExecutor<'_>]) {}
    fn list_broken(&mut self) {}
    fn arrived(&mut self, _: Instant, unit: RequestId, _: &Arrival) {
        (self.does)(&mut self.hands, unit);
    }
    fn noticed(&mut self, _: Instant, _: AttemptId, _: ExecutorId) {}
    fn ended(
        &mut self,
        _: Instant,
        id: AttemptId,
        _: ExecutorId,
        _: AttemptOutcome,
        _: bool,
        _: Option<LoadReport>,
    ) {
        (self.ends)(&mut self.hands, id);
    }
    fn finish(&mut self, _: RequestId) {}
    fn rang(&mut self, _: Instant, _: u64) {}
}

fn broken_by(
    further: &str,
    does: fn(&mut Hands, RequestId),
    ends: fn(&mut Hands, AttemptId),
) -> Vec<(Rule, String)> {
    let scenario = small(further);
    let make: Maker = Box::new(move |hands, _, _| Box::new(Odd { hands, does, ends }));
    let outcome = run(&scenario, 1, &make);
    outcome.breaches.into_iter().map(|breach| (breach.rule, breach.what)).collect()
}

#[test]
fn each_rule_that_is_broken_on_purpose_is_noticed() {
    const LONG: Duration = Duration::from_millis(3000);
    let nothing: fn(&mut Hands, AttemptId) = |_, _| {};
    let has = |broken: Vec<(Rule, String)>, rule: Rule, what: &str| {
        assert!(broken.iter().any(|(r, w)| *r == rule && w.contains(what)), "{what}: {broken:?}");
    };
    has(broken_by("", |_, _| {}, nothing), Rule::OneAnswer, "has no answer");
    let twice: fn(&mut Hands, RequestId) = |hands, unit| {
        hands.reject(unit, None);
        hands.fail(unit);
    };
    has(broken_by("", twice, nothing), Rule::OneAnswer, "a second time");
    let sends_on: fn(&mut Hands, RequestId) = |hands, unit| {
        hands.fail(unit);
        hands.send_attempt(unit, ExecutorId(0), LONG);
    };
    has(broken_by("", sends_on, nothing), Rule::OneAnswer, "sent after its end");
    let late: fn(&mut Hands, RequestId) =
        |hands, unit| hands.send_attempt(unit, ExecutorId(0), Duration::from_seconds(5.2));
    let answers: fn(&mut Hands, AttemptId) = |hands, id| hands.fail(id.request);
    let crawls = fault("slow-executors", 0, 20, "part = 1.0\nfactor = 100.0");
    has(broken_by(&crawls, late, answers), Rule::OneAnswer, "after its patience");
    let two_places: fn(&mut Hands, RequestId) = |hands, unit| {
        hands.send_attempt(unit, ExecutorId(0), LONG);
        hands.send_attempt(unit, ExecutorId(1), LONG);
    };
    has(broken_by("", two_places, nothing), Rule::NoEffectTwice, "runs a second time");
    let one: fn(&mut Hands, RequestId) =
        |hands, unit| hands.send_attempt(unit, ExecutorId(0), Duration::from_millis(50));
    let harmless: fn(&mut Hands, AttemptId) = |hands, id| hands.reject(id.request, None);
    has(broken_by("", one, harmless), Rule::NoEffectTwice, "was turned back");
    let drains = fault("drain-executors", 2, 10, "part = 1.0");
    let first: fn(&mut Hands, RequestId) = |hands, unit| hands.send_attempt(unit, ExecutorId(0), LONG);
    has(broken_by(&drains, first, nothing), Rule::DrainGrace, "told to leave");
    let returns = fault("kill-executors", 1, 2, "part = 1.0");
    has(broken_by(&returns, first, nothing), Rule::ColdStart, "are borne");
}

#[test]
fn the_decisions_keep_the_rules_through_a_replacement_of_six_in_ten_executors() {
    let scenario = Scenario::read(&shipped("replaced.toml")).expect("it is whole");
    let outcome = play(&scenario, Policy::Sita);
    assert!(outcome.keeps_rules(), "{outcome}");
    assert!(outcome.summary.is_even(), "{outcome}");
    assert!(outcome.summary.earned > play(&scenario, Policy::Random).summary.earned);
}

#[test]
fn through_three_overlapping_failures_only_starts_that_nobody_was_told_of_break_a_rule() {
    let scenario = Scenario::read(&shipped("release.toml")).expect("it is whole");
    let outcome = play(&scenario, Policy::Sita);
    assert!(outcome.summary.is_even(), "{outcome}");
    assert!(outcome.list_calls_failed > 0, "discovery was down");
    assert!(outcome.summary.tariffs.iter().any(|t| t.lost > 0), "nodes died");
    for breach in &outcome.breaches {
        assert_eq!(breach.rule, Rule::ColdStart, "{outcome}");
        assert!(!breach.what.contains(" 0 of them"), "{outcome}");
    }
}

#[test]
fn a_cut_zone_resets_and_failing_executors_lose_nothing_that_is_owed() {
    let further = format!(
        "{}{}\n[network]\nresets = 0.05\n[clients]\nrepeats = 2\nbackoff_ms = 50\nleave_share = 0.5\n",
        fault("cut-zone", 4, 5, "zone = \"b\""),
        fault("fail-executors", 8, 6, "part = 0.25"),
    );
    for seed in 1..6 {
        let scenario = small(&further);
        let outcome = run(&scenario, seed, &maker(&scenario, Policy::Sita));
        assert!(outcome.keeps_rules() && outcome.summary.is_even(), "{outcome}");
        assert!(outcome.summary.tariffs.iter().any(|t| t.left > 0));
    }
}

#[test]
fn the_clock_jumps_over_idle_time() {
    let scenario = small(&fault("silence", 2, 16, ""));
    let outcome = play(&scenario, Policy::Sita);
    assert!(outcome.keeps_rules() && outcome.summary.is_even());
    assert!(outcome.seconds[4..17].iter().all(|second| second.came == 0));
    assert!(outcome.seconds[18..].iter().any(|second| second.in_time > 0), "it goes on afterwards");
}

#[test]
fn thousands_of_nodes_run_in_one_model() {
    let mut scenario = small("");
    scenario.nodes.count = 3000;
    scenario.executors[0].count = 600;
    scenario = scenario.at_load(0.5);
    scenario.length_s = 3.0;
    let outcome = play(&scenario, Policy::Sita);
    assert!(outcome.keeps_rules() && outcome.summary.is_even(), "{outcome}");
    assert!(outcome.summary.tariffs.iter().map(|t| t.came).sum::<u64>() > 4000);
}

#[test]
fn what_is_wrong_with_a_scenario_is_named_by_its_place() {
    let wrong = [
        (SMALL.replace("slots = 2", "slots = 0"), "executors[0].slots: expected from 1 to 100000, found 0"),
        (SMALL.replace("slots = 2", "slot = 2"), "executors[0].slot: unknown field `slot`"),
        (SMALL.replace("count = 3", "count = \"x\""), "nodes.count: invalid type: string \"x\""),
        (SMALL.replace("cv = 1.5", "cv = -1"), "tariffs[0].size.cv: expected from 0 to 100, found -1"),
        (SMALL.replace("per_s = 4", "per_s = nan"), "tariffs[1].per_s: expected from"),
        (SMALL.replace("\"lognormal\"", "\"normal\""), "tariffs[0].size"),
        (SMALL.replace("length_s = 20", ""), "missing field `length_s`"),
        (SMALL.replace("length_s = 20", "length_s ="), "TOML parse error"),
        (SMALL.to_owned() + &fault("cut-zone", 1, 1, "zone = \"c\""), "faults[0].zone: expected one of a, b"),
        (SMALL.to_owned() + &fault("kill-executors", 1, 1, ""), "faults[0].part: expected either"),
        (SMALL.to_owned() + &fault("discovery-down", 1, 1, "part = 0.5"), "faults[0].what: expected neither"),
        (SMALL.to_owned() + &fault("storm", 1, 1, ""), "faults[0].what: unknown variant `storm`"),
        (SMALL.to_owned() + &fault("silence", 21, 1, ""), "faults[0].at_s: expected from 0 to 20, found 21"),
    ];
    for (text, says) in wrong {
        let what = Scenario::read(&text).expect_err(says);
        assert!(what.contains(says), "expected {says}, found {what}");
    }
}

fn command(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_grebeusher-emulate")).args(arguments).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn the_command_line_says_how_it_ended() {
    let folder = std::env::temp_dir().join(format!("grebeusher-emulate-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder of the story's own");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("it is written");
        path.to_str().expect("plain letters").to_owned()
    };
    let (good, bad) = (file("good.toml", SMALL), file("bad.toml", &SMALL.replace("slots = 2", "slots = 0")));
    let plot = folder.join("run.svg");
    let (code, said, _) = command(&["run", &good, "--plot", plot.to_str().expect("plain letters")]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("all rules kept") && said.contains("reserve"), "{said}");
    assert!(std::fs::read_to_string(&plot).expect("it was drawn").contains("</svg>"));
    let (code, said, _) = command(&["run", &good, "--json", "-"]);
    let figures: serde_json::Value = serde_json::from_str(&said).expect("JSON alone");
    assert_eq!((code, figures["scenario"].as_str()), (Some(0), Some("small")));
    let (code, said, wrong) = command(&["run", &bad]);
    assert_eq!((code, said.as_str()), (Some(2), ""), "nothing was played");
    assert!(wrong.contains("bad.toml: executors[0].slots"), "{wrong}");
    assert_eq!(command(&["compare", &good, "--loads", "0"]).0, Some(2));
    let (code, said, _) = command(&["compare", &good, "--seeds", "2", "--policies", "random,least-out"]);
    assert_eq!(code, Some(0));
    assert_eq!(said.lines().count(), 3, "{said}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// Two executors of two slots for ten seconds: one runs two and holds one for four of them, the other idles meanwhile.
#[test]
fn spread_is_what_it_says_by_hand() {
    let second = |s: u64| Instant(s * 1_000_000_000);
    let widths = [Width { slots: 2, pace: 1.0 }; 2];
    let mut book = Spread::new(&widths, 1.0, (second(0), Duration::from_nanos(0), second(10)));
    for at in [0, 0, 0] {
        book.reached(second(at), 0);
    }
    book.stands(second(0), 0, true, 2, 1);
    book.stands(second(4), 0, true, 2, 0);
    book.stands(second(6), 0, true, 0, 0);
    let seen = book.figures(1).seen;
    let near = |a: f64, b: f64| assert!((a - b).abs() < 1e-9, "{a} {b}");
    near(seen.used.most, 0.6);
    near(seen.used.least, 0.0);
    near(seen.used.mean, 0.3);
    // One of the two that idled could have run the one that waited: four slot seconds of forty.
    near(seen.idle_while_waiting, 0.1);
    // Two started at once and half a unit more in a quarter of a second: three are more than that.
    near(seen.herd_most, 3.0 / 2.5);
    assert_eq!((seen.herds, seen.forgotten), (1, 0));
    // Of the second window a fifth of one executor's time: 0.2 and 0 of it.
    near(seen.windows[1].mean, 0.1);
    near(seen.jain, 0.5);
}

#[test]
fn nobody_comes_for_five_seconds_in_which_others_queue_is_counted_once() {
    let second = |s: u64| Instant(s * 1_000_000_000);
    let widths = [Width { slots: 1, pace: 1.0 }; 2];
    let mut book = Spread::new(&widths, 1.0, (second(0), Duration::from_nanos(0), second(20)));
    book.stands(second(0), 0, true, 1, 1);
    book.reached(second(6), 1);
    book.stands(second(6), 1, true, 1, 0);
    book.stands(second(7), 0, true, 0, 0);
    book.stands(second(7), 1, true, 0, 0);
    assert_eq!(book.figures(1).seen.forgotten, 1);
}

#[test]
fn the_same_work_dealt_once_more_waits_least_where_all_is_seen() {
    let scenario = small("").at_load(0.7);
    let outcome = play(&scenario, Policy::Sita);
    let wait = |e: &grebeusher_emulator::spread::Evenness| e.mean_wait_ms.expect("it was dealt");
    assert!(wait(&outcome.spread.all_seeing) < wait(&outcome.spread.by_chance) / 2.0, "{}", outcome.spread);
    assert!(outcome.spread.all_seeing.idle_while_waiting < 1e-9);
    let mean = |policy| play(&scenario, policy).summary.waits_ms.mean;
    assert!(mean(Policy::AllSeeing) < mean(Policy::TwoChoices));
    assert!(mean(Policy::TwoChoices) < mean(Policy::Random));
}

/// Guards against a scenario of processes played without its faults.
#[test]
fn the_model_refuses_faults_that_only_processes_have() {
    for further in [
        fault("freeze-nodes", 5, 2, "part = 0.5"),
        "\n[storm]\nwhat = [\"cut-zone\", \"cut-links\"]\ncount = 1\nfrom_s = 1\nuntil_s = 2\nshortest_s = 1\n\
         longest_s = 1\nmost_part = 0.5\n"
            .to_owned(),
    ] {
        let path = std::env::temp_dir().join(format!("grebeusher-emulate-{}.toml", std::process::id()));
        std::fs::write(&path, format!("{SMALL}{further}")).expect("it is written");
        let run = Command::new(env!("CARGO_BIN_EXE_grebeusher-emulate")).arg("run").arg(&path).output();
        let run = run.expect("it runs");
        assert_eq!(run.status.code(), Some(2));
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(said.contains("only real processes have this fault"), "{said}");
        let _ = std::fs::remove_file(path);
    }
}

/// Guards against a send that was on its way through a cut being taken for one after the answer.
#[test]
fn a_send_counts_from_when_it_left_its_node() {
    let second = |s: u64| Instant(s * 1_000_000_000);
    let mut book = Book::new(Instant(0), Duration::from_millis(50), Duration::from_millis(2000));
    book.taken(1, false, second(10));
    book.answered(second(5), 1, Answer::TurnedBack);
    book.sent(second(4), 1, 0, 0);
    assert!(book.counts.is_empty());
    book.sent(second(6), 1, 0, 0);
    assert_eq!(book.counts.get(&Rule::OneAnswer), Some(&1));
}

/// Guards against a plot that leaves a state or a whole out, or one of nothing that looks like one.
#[test]
fn plots_of_plans_and_budgets_show_each_state_and_each_whole() {
    let file = std::env::temp_dir().join(format!("grebeusher-plot-{}.svg", std::process::id()));
    let at = |done: usize| BTreeMap::from([("waiting".to_owned(), 3 - done), ("done".to_owned(), done)]);
    plots::states(&file, "a day's work", &[(1.0, at(0)), (4.0, at(3))]).expect("it is drawn");
    let drawn = std::fs::read_to_string(&file).expect("it was written");
    assert!(drawn.contains("waiting") && drawn.contains("done") && drawn.contains("polyline"));
    plots::spent(&file, "a storm", &[("search".to_owned(), vec![0, 90, 100], 100.0)]).expect("it is drawn");
    let drawn = std::fs::read_to_string(&file).expect("it was written");
    std::fs::remove_file(&file).expect("it is there");
    assert!(drawn.contains("search, the whole") && drawn.matches("polyline").count() >= 2);
    assert_eq!(plots::states(&file, "none", &[]), Err("there is nothing to plot".to_owned()));
}

//! What staff say to a fleet of nodes, by the console of any of them.

use clap::{Parser, Subcommand};
use grebeusher_maintenance::{Phase, PlanStatus};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use std::{fs, thread};
use ureq::Agent;

/// How long the keepers may take to answer before they are said not to: a change of who leads is over by then.
const TIMEOUT: Duration = Duration::from_secs(10);
/// What is shown may be so old, and no older.
const FRESH_MS: u64 = 1500;
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A command that has no answer is said again, under the same name.
const AGAIN: Duration = Duration::from_secs(1);

/// Says and asks things of a fleet of nodes, by the console of any of them.
#[derive(Parser)]
#[command(
    name = "grebeusher-fleet",
    version,
    after_help = "Exit codes: 0 done, 1 refused, 2 no such call, 3 no answer of the node or of the keepers."
)]
struct Line {
    /// The console of a node.
    #[arg(long, global = true, env = "GREBEUSHER_AT", default_value = "127.0.0.1:7990")]
    at: SocketAddr,
    /// Answers as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    asks: Asks,
}

#[derive(Subcommand)]
enum Asks {
    /// Plans by which machines are taken out for work.
    #[command(subcommand)]
    Plan(OfPlan),
    /// The other nodes that this one knows of.
    Members,
    /// This node's parts of the fleet's budgets.
    Budgets,
}

#[derive(Subcommand)]
enum OfPlan {
    /// Reads a plan and says what is wrong with it; asks nobody.
    Check { file: PathBuf },
    /// Hands a plan to the keepers.
    Submit { file: PathBuf },
    /// How far the plan is.
    Show,
    /// Takes nothing further out.
    Pause,
    /// Goes on.
    Resume,
    /// Nothing runs or waits at this machine, as whoever looks at it has seen since this decision made it quiet.
    Idle { machine: String, decision: u64 },
    /// Ends it: what waits is let be, what drains is given back, what is out is waited for.
    Withdraw,
}

/// Why a call did not end well.
enum Wrong {
    Refused(String),
    NoAnswer(String),
}

#[derive(Deserialize)]
struct Seen {
    age_ms: Option<u64>,
    shown: Option<PlanStatus>,
}

struct Console {
    at: SocketAddr,
    agent: Agent,
}

impl Console {
    fn get(&self, path: &str) -> Result<String, Wrong> {
        let got = self.agent.get(format!("http://{}{path}", self.at)).call();
        self.told(got)
    }

    fn post(&self, path: &str, body: &str) -> Result<String, Wrong> {
        let got = self.agent.post(format!("http://{}{path}", self.at)).send(body);
        self.told(got)
    }

    fn told(&self, got: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Result<String, Wrong> {
        let no_answer =
            |e: ureq::Error| Wrong::NoAnswer(format!("no answer of the node at {}: {e}", self.at));
        let mut got = got.map_err(no_answer)?;
        let text = got.body_mut().read_to_string().map_err(no_answer)?;
        if got.status().is_success() { Ok(text) } else { Err(Wrong::Refused(text.trim().to_owned())) }
    }

    fn seen(&self) -> Result<Seen, Wrong> {
        let text = self.get("/fleet")?;
        serde_json::from_str(&text)
            .map_err(|e| Wrong::NoAnswer(format!("what the node says is not understood: {e}")))
    }

    /// The plan as the keepers know it now.
    fn shown(&self) -> Result<PlanStatus, Wrong> {
        let began = Instant::now();
        loop {
            let seen = self.seen()?;
            if let (Some(shown), Some(..=FRESH_MS)) = (seen.shown, seen.age_ms) {
                return Ok(shown);
            }
            if began.elapsed() > TIMEOUT {
                let since =
                    seen.age_ms.map_or("it started".to_owned(), |ms| format!("{:.1} s ago", ms as f64 / 1e3));
                return Err(Wrong::NoAnswer(format!(
                    "the node at {} has had no word of the keepers since {since}: fewer than most of them are there, or they are cut off from it",
                    self.at
                )));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Says something until the keepers have answered it; what they answered.
    fn says(&self, what: &str, body: &str) -> Result<String, Wrong> {
        let name: u64 = rand::random();
        let began = Instant::now();
        let mut said: Option<Instant> = None;
        while began.elapsed() < TIMEOUT {
            if said.is_none_or(|at| at.elapsed() > AGAIN) {
                self.post(&format!("/fleet/{what}?name={name}"), body)?;
                said = Some(Instant::now());
            }
            let answers = self.seen()?.shown.map(|shown| shown.answers).unwrap_or_default();
            if let Some((_, answer)) = answers.into_iter().find(|(own, _)| *own == name) {
                let refused = answer.starts_with("refused");
                return if refused { Err(Wrong::Refused(answer)) } else { Ok(answer) };
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(Wrong::NoAnswer("the keepers have not answered: fewer than most of them are there, or they are cut off. It may still be done".to_owned()))
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build();
    let console = Console { at: line.at, agent: agent.into() };
    let (answer, code) = match asked(&line.asks, &console) {
        Ok(answer) => (answer, 0),
        Err(Wrong::Refused(why)) => (json!({"refused": why}), 1),
        Err(Wrong::NoAnswer(why)) => (json!({"no_answer": why}), 3),
    };
    if line.json {
        println!("{answer}");
    } else if code == 0 {
        println!("{}", in_words(&line.asks, &answer));
    } else {
        let why = answer.as_object().and_then(|why| why.values().next()).and_then(Value::as_str);
        eprintln!("{}", why.unwrap_or_default());
    }
    ExitCode::from(code)
}

fn asked(asks: &Asks, console: &Console) -> Result<Value, Wrong> {
    let read = |file: &PathBuf| {
        let text =
            fs::read_to_string(file).map_err(|e| Wrong::Refused(format!("{}: {e}", file.display())))?;
        grebeusher_node_config::plan::read(&text)
            .map_err(|e| Wrong::Refused(format!("{}: {e}", file.display())))?;
        Ok(text)
    };
    Ok(match asks {
        Asks::Plan(OfPlan::Check { file }) => {
            json!({"said": format!("{} can be gone by", read(file).map(|_| file.display())?)})
        }
        Asks::Plan(OfPlan::Submit { file }) => json!({"said": console.says("submit", &read(file)?)?}),
        Asks::Plan(OfPlan::Pause) => json!({"said": console.says("pause", "")?}),
        Asks::Plan(OfPlan::Resume) => json!({"said": console.says("resume", "")?}),
        Asks::Plan(OfPlan::Idle { machine, decision }) => {
            json!({"said": console.says("idle", &format!("{machine} {decision}"))?})
        }
        Asks::Plan(OfPlan::Withdraw) => json!({"said": console.says("withdraw", "")?}),
        Asks::Plan(OfPlan::Show) => json!(console.shown()?),
        Asks::Members => serde_json::from_str(&console.get("/fleet/members")?).unwrap_or_default(),
        Asks::Budgets => {
            let figures = console.get("/stats")?;
            let own = figures.lines().filter_map(|line| line.strip_prefix("node.budget.")?.split_once(':'));
            let figure = |(name, rest): (&str, &str)| {
                let value: u64 = rest.split('|').next()?.parse().ok()?;
                Some((name.to_owned(), json!(value)))
            };
            Value::Object(own.filter_map(figure).collect())
        }
    })
}

fn in_words(asks: &Asks, answer: &Value) -> String {
    match asks {
        Asks::Plan(OfPlan::Show) => serde_json::from_value(answer.clone())
            .map_or_else(|e| e.to_string(), |shown| plan_in_words(&shown)),
        Asks::Plan(_) => answer["said"].as_str().unwrap_or_default().to_owned(),
        Asks::Members => {
            let leader = answer["leader"].as_u64().map_or("unknown".to_owned(), |node| node.to_string());
            let members = answer["members"].as_array().cloned().unwrap_or_default();
            let mut lines =
                vec![format!("leader of the keepers: {leader}; {} others are there", members.len())];
            lines.extend(members.iter().map(|m| {
                let for_s = m["for_ms"].as_u64().unwrap_or(0) / 1000;
                format!("{:>6}  {}  for {for_s} s", m["node"], m["address"].as_str().unwrap_or_default())
            }));
            lines.join("\n")
        }
        Asks::Budgets => {
            let parts = answer.as_object().cloned().unwrap_or_default();
            if parts.is_empty() {
                return "this node has no budgets of the fleet".to_owned();
            }
            parts.iter().map(|(name, value)| format!("{name} {value}")).collect::<Vec<_>>().join("\n")
        }
    }
}

fn plan_in_words(shown: &PlanStatus) -> String {
    if shown.plan.is_empty() {
        return "no plan has been handed in".to_owned();
    }
    let count = |phase: Phase| shown.machines.iter().filter(|m| m.phase == phase).count();
    let mut lines =
        vec![format!("{}: {} for {} s, decision {}", shown.plan, shown.standing, shown.for_s, shown.number)];
    if !shown.why.is_empty() {
        lines.push(format!("waits for: {}", shown.why));
    }
    lines.push(format!(
        "{} done, {} cold, {} out, {} quiet, {} draining, {} next, {} waiting, {} left, {} lost",
        count(Phase::Done),
        count(Phase::Back),
        count(Phase::Out),
        count(Phase::Quiet),
        count(Phase::Draining),
        count(Phase::Next),
        count(Phase::Waiting),
        count(Phase::Left),
        count(Phase::Lost)
    ));
    let under_way = shown.machines.iter().filter(|m| !matches!(m.phase, Phase::Done | Phase::Waiting));
    lines.extend(under_way.map(|m| {
        let phase = format!("{:?}", m.phase).to_lowercase();
        let why = if m.why.is_empty() { String::new() } else { format!(", {}", m.why) };
        format!("  {:<16} {phase} for {} s{why}", m.name, m.for_s)
    }));
    lines.join("\n")
}

//! The command line tool with which operators control and inspect a fleet of nodes, through the console of any node.

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

/// How long to wait for an answer of the voters. An election of a new leader is over by then.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The greatest age, in milliseconds, of a state of the plan that is shown.
const MAX_AGE_MS: u64 = 1500;
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The interval at which a command without an answer is sent again, under the same name.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Says and asks things of a fleet of nodes, by the console of any of them.
#[derive(Parser)]
#[command(
    name = "grebeusher-fleet",
    version,
    after_help = "Exit codes: 0 done, 1 refused, 2 no such call, 3 no answer of the node or of the keepers."
)]
struct CommandLine {
    /// The console of a node.
    #[arg(long, global = true, env = "GREBEUSHER_AT", default_value = "127.0.0.1:7990")]
    at: SocketAddr,
    /// Answers as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plans by which machines are taken out for work.
    #[command(subcommand)]
    Plan(PlanCommand),
    /// The other nodes that this one knows of.
    Members,
    /// This node's parts of the fleet's budgets.
    Budgets,
}

#[derive(Subcommand)]
enum PlanCommand {
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

/// Why a call failed.
enum CallError {
    Refused(String),
    NoAnswer(String),
}

#[derive(Deserialize)]
struct FleetStatus {
    age_ms: Option<u64>,
    shown: Option<PlanStatus>,
}

struct Console {
    at: SocketAddr,
    agent: Agent,
}

impl Console {
    fn get(&self, path: &str) -> Result<String, CallError> {
        let response = self.agent.get(format!("http://{}{path}", self.at)).call();
        self.read_response(response)
    }

    fn post(&self, path: &str, body: &str) -> Result<String, CallError> {
        let response = self.agent.post(format!("http://{}{path}", self.at)).send(body);
        self.read_response(response)
    }

    fn read_response(
        &self,
        response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<String, CallError> {
        let no_answer =
            |e: ureq::Error| CallError::NoAnswer(format!("no answer of the node at {}: {e}", self.at));
        let mut response = response.map_err(no_answer)?;
        let text = response.body_mut().read_to_string().map_err(no_answer)?;
        if response.status().is_success() {
            Ok(text)
        } else {
            Err(CallError::Refused(text.trim().to_owned()))
        }
    }

    fn fleet_status(&self) -> Result<FleetStatus, CallError> {
        let text = self.get("/fleet")?;
        serde_json::from_str(&text)
            .map_err(|e| CallError::NoAnswer(format!("what the node says is not understood: {e}")))
    }

    /// The state of the plan that the voters have now.
    fn shown(&self) -> Result<PlanStatus, CallError> {
        let started = Instant::now();
        loop {
            let fleet_status = self.fleet_status()?;
            if let (Some(shown), Some(..=MAX_AGE_MS)) = (fleet_status.shown, fleet_status.age_ms) {
                return Ok(shown);
            }
            if started.elapsed() > TIMEOUT {
                let since = fleet_status
                    .age_ms
                    .map_or("it started".to_owned(), |ms| format!("{:.1} s ago", ms as f64 / 1e3));
                return Err(CallError::NoAnswer(format!(
                    "the node at {} has had no word of the keepers since {since}: fewer than most of them are there, or they are cut off from it",
                    self.at
                )));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a command until the voters have answered it, and returns their answer.
    fn send_command(&self, command: &str, body: &str) -> Result<String, CallError> {
        let name: u64 = rand::random();
        let started = Instant::now();
        let mut sent_at: Option<Instant> = None;
        while started.elapsed() < TIMEOUT {
            if sent_at.is_none_or(|at| at.elapsed() > RETRY_INTERVAL) {
                self.post(&format!("/fleet/{command}?name={name}"), body)?;
                sent_at = Some(Instant::now());
            }
            let answers = self.fleet_status()?.shown.map(|shown| shown.answers).unwrap_or_default();
            if let Some((_, answer)) = answers.into_iter().find(|(answered, _)| *answered == name) {
                let refused = answer.starts_with("refused");
                return if refused { Err(CallError::Refused(answer)) } else { Ok(answer) };
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(CallError::NoAnswer("the keepers have not answered: fewer than most of them are there, or they are cut off. It may still be done".to_owned()))
    }
}

fn main() -> ExitCode {
    let line = CommandLine::parse();
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build();
    let console = Console { at: line.at, agent: agent.into() };
    let (answer, code) = match run(&line.command, &console) {
        Ok(answer) => (answer, 0),
        Err(CallError::Refused(why)) => (json!({"refused": why}), 1),
        Err(CallError::NoAnswer(why)) => (json!({"no_answer": why}), 3),
    };
    if line.json {
        println!("{answer}");
    } else if code == 0 {
        println!("{}", as_text(&line.command, &answer));
    } else {
        let why = answer.as_object().and_then(|why| why.values().next()).and_then(Value::as_str);
        eprintln!("{}", why.unwrap_or_default());
    }
    ExitCode::from(code)
}

fn run(command: &Command, console: &Console) -> Result<Value, CallError> {
    let read = |file: &PathBuf| {
        let text =
            fs::read_to_string(file).map_err(|e| CallError::Refused(format!("{}: {e}", file.display())))?;
        grebeusher_node_config::plan::read(&text)
            .map_err(|e| CallError::Refused(format!("{}: {e}", file.display())))?;
        Ok(text)
    };
    Ok(match command {
        Command::Plan(PlanCommand::Check { file }) => {
            json!({"said": format!("{} can be gone by", read(file).map(|_| file.display())?)})
        }
        Command::Plan(PlanCommand::Submit { file }) => {
            json!({"said": console.send_command("submit", &read(file)?)?})
        }
        Command::Plan(PlanCommand::Pause) => json!({"said": console.send_command("pause", "")?}),
        Command::Plan(PlanCommand::Resume) => json!({"said": console.send_command("resume", "")?}),
        Command::Plan(PlanCommand::Idle { machine, decision }) => {
            json!({"said": console.send_command("idle", &format!("{machine} {decision}"))?})
        }
        Command::Plan(PlanCommand::Withdraw) => json!({"said": console.send_command("withdraw", "")?}),
        Command::Plan(PlanCommand::Show) => json!(console.shown()?),
        Command::Members => serde_json::from_str(&console.get("/fleet/members")?).unwrap_or_default(),
        Command::Budgets => {
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

fn as_text(command: &Command, answer: &Value) -> String {
    match command {
        Command::Plan(PlanCommand::Show) => serde_json::from_value(answer.clone())
            .map_or_else(|e| e.to_string(), |shown| plan_as_text(&shown)),
        Command::Plan(_) => answer["said"].as_str().unwrap_or_default().to_owned(),
        Command::Members => {
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
        Command::Budgets => {
            let parts = answer.as_object().cloned().unwrap_or_default();
            if parts.is_empty() {
                return "this node has no budgets of the fleet".to_owned();
            }
            parts.iter().map(|(name, value)| format!("{name} {value}")).collect::<Vec<_>>().join("\n")
        }
    }
}

fn plan_as_text(shown: &PlanStatus) -> String {
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

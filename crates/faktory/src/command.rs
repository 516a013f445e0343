//! What clients and workers say, one command a line.

use serde::Deserialize;
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Hello {
    /// Only workers say one: who they are, on all of their connections.
    #[serde(default)]
    pub wid: Option<String>,
    #[serde(rename = "v", default)]
    pub version: u64,
    #[serde(rename = "pwdhash", default)]
    pub password_hash: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Job {
    pub jid: String,
    pub jobtype: String,
    pub args: Vec<Value>,
    #[serde(default = "usual_queue")]
    pub queue: String,
    /// From 1 to 9; the higher goes first.
    #[serde(default = "middle")]
    pub priority: u8,
    /// Seconds that a worker may have it for.
    #[serde(default)]
    pub reserve_for: Option<u64>,
    /// When it is to run; only those that are to run now can be had here.
    #[serde(default)]
    pub at: Option<String>,
    #[serde(default)]
    pub custom: Value,
    /// As it was said: whoever fetches it gets all of it.
    #[serde(skip)]
    pub text: String,
}

fn usual_queue() -> String {
    "default".to_owned()
}

fn middle() -> u8 {
    5
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Failure {
    pub jid: String,
    #[serde(default)]
    pub errtype: String,
    #[serde(default)]
    pub message: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    Quiet,
    Terminate,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Beat {
    pub wid: String,
    /// What the worker says of itself; nothing while it works as usual.
    #[serde(default)]
    pub current_state: Option<WorkerState>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Hello(Hello),
    Push(Box<Job>),
    Fetch(Vec<String>),
    Ack(String),
    Fail(Failure),
    Beat(Beat),
    Info,
    End,
}

/// A job's id is what both sides know it by: as long as the specification wants it, and no longer than is sensible.
const JID: std::ops::RangeInclusive<usize> = 8..=128;
const MAX_NAME: usize = 128;

/// Reads a line; what is wrong with it is for the one who said it.
pub fn read(line: &[u8]) -> Result<Command, String> {
    let text = std::str::from_utf8(line).map_err(|_| "a command is UTF-8".to_owned())?;
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    match verb {
        "HELLO" => Ok(Command::Hello(body(verb, rest)?)),
        "PUSH" => {
            let job = Job { text: rest.to_owned(), ..checked(body(verb, rest)?)? };
            Ok(Command::Push(Box::new(job)))
        }
        "FETCH" => {
            let queues: Vec<String> = rest.split_ascii_whitespace().map(str::to_owned).collect();
            let queues = if queues.is_empty() { vec![usual_queue()] } else { queues };
            queues.iter().try_for_each(|queue| named("a queue", queue))?;
            Ok(Command::Fetch(queues))
        }
        "ACK" => {
            #[derive(Deserialize)]
            struct Done {
                jid: String,
            }
            Ok(Command::Ack(body::<Done>(verb, rest)?.jid))
        }
        "FAIL" => Ok(Command::Fail(body(verb, rest)?)),
        "BEAT" => Ok(Command::Beat(body(verb, rest)?)),
        "INFO" if rest.is_empty() => Ok(Command::Info),
        "END" if rest.is_empty() => Ok(Command::End),
        "PUSHB" | "FLUSH" | "MUTATE" | "BATCH" | "TRACK" | "QUEUE" => {
            Err(format!("{verb} can't be had here"))
        }
        _ => Err("unknown command".to_owned()),
    }
}

fn body<'a, T: Deserialize<'a>>(verb: &str, text: &'a str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|e| format!("{verb}: {e}"))
}

fn named(what: &str, name: &str) -> Result<(), String> {
    let good = !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(|b| b.is_ascii_graphic());
    if good { Ok(()) } else { Err(format!("{what} has a name of up to {MAX_NAME} visible characters")) }
}

fn checked(job: Job) -> Result<Job, String> {
    if !JID.contains(&job.jid.len()) || !job.jid.bytes().all(|b| b.is_ascii_graphic()) {
        let (least, most) = (JID.start(), JID.end());
        return Err(format!("a jid has {least} to {most} visible characters"));
    }
    named("a jobtype", &job.jobtype)?;
    named("a queue", &job.queue)?;
    if !(1..=9).contains(&job.priority) {
        return Err("a priority is from 1 to 9".to_owned());
    }
    if job.at.is_some() {
        return Err("jobs for later can't be had here".to_owned());
    }
    Ok(job)
}

//! Hosts instances of the grebeusher decisions on the wire of the users' bench: lines on standard input become
//! calls, answers become lines on standard output. It decides nothing.

mod door;
mod facts;

use clap::Parser;
use door::{Door, Wire};
use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId};
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome, ExecutorStatus, ListUpdate, ListedExecutor, LoadReport};
use grebeusher_node_config::ReportLayout;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;

/// Hosts grebeusher's decisions on the bench's wire, read from standard input and answered on standard output.
#[derive(Parser)]
#[command(version)]
struct CommandLine {}

/// A line of the wire. Which fields are there depends on its type; those not named here are skipped.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Line<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    sim_time_ns: u64,
    who: Option<u64>,
    nonce64: u64,
    facts: Option<Value>,
    #[serde(borrow)]
    mode: Cow<'a, str>,
    #[serde(borrow)]
    elements: Vec<Element<'a>>,
    #[serde(borrow)]
    msg_id: Option<Cow<'a, str>>,
    class: usize,
    customer: usize,
    not_after_ns: u64,
    effort_ns: f64,
    slots: Option<f64>,
    bits: u64,
    go: usize,
    #[serde(borrow)]
    executor: Option<Cow<'a, str>>,
    #[serde(borrow)]
    disposition: Cow<'a, str>,
    #[serde(rename = "final")]
    finished: bool,
    usage: Option<Vec<Option<f64>>>,
    name: u64,
    from: Option<u64>,
    #[serde(borrow)]
    payload: Option<Cow<'a, str>>,
}

/// An entry of the executor list.
#[derive(Deserialize)]
struct Element<'a> {
    #[serde(borrow)]
    executor: Cow<'a, str>,
    #[serde(borrow)]
    stage_state: Cow<'a, str>,
    #[serde(default)]
    started_at_ns: u64,
    #[serde(default)]
    model: usize,
    #[serde(default)]
    dc: usize,
    #[serde(default)]
    pod: usize,
    #[serde(default)]
    weight: f64,
}

/// One hosted node.
struct Instance {
    dispatcher: Dispatcher<Wire>,
    door: Rc<RefCell<Door>>,
    places: ReportLayout,
}

impl Instance {
    fn report(&self, usage: Option<&[Option<f64>]>) -> Option<LoadReport> {
        usage.map(|usage| self.places.report(|at| usage.get(at).copied().flatten()))
    }
}

/// All hosted nodes and the time of the batch that is being read.
#[derive(Default)]
struct Hosted {
    now: Instant,
    instances: BTreeMap<u64, Instance>,
    /// Those that the batch speaks of: no other can have said anything.
    called: BTreeSet<u64>,
}

impl Hosted {
    /// Turns one line into one call; `true` at the end of a batch.
    fn take(&mut self, text: &str) -> Result<bool, String> {
        let line: Line = serde_json::from_str(text).map_err(|e| e.to_string())?;
        match &*line.kind {
            "mark" => self.now = Instant(line.sim_time_ns),
            "flush" => return Ok(true),
            "born" => {
                let facts = line.facts.as_ref().ok_or("no facts")?;
                let who = line.who.ok_or("no instance named")?;
                self.instances.insert(who, facts::instance(who, line.nonce64, facts)?);
                self.call(&line, |node, now| node.dispatcher.start(now))?;
            }
            "detach" => {
                let who = line.who.ok_or("no instance named")?;
                self.instances.remove(&who).ok_or_else(|| format!("no instance {who}"))?;
            }
            _ => self.tell(&line)?,
        }
        Ok(false)
    }

    /// The lines that tell one node of something that happened.
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of line")]
    fn tell(&mut self, line: &Line) -> Result<(), String> {
        match &*line.kind {
            "membership" => match &*line.mode {
                "broken" => self.call(line, |node, _| node.dispatcher.executor_list_lost()),
                "patch" | "whole" | "stale_copy" => {
                    let standings: Vec<ExecutorStatus> =
                        line.elements.iter().map(|e| standing(&e.stage_state)).collect::<Result<_, _>>()?;
                    self.call(line, |node, now| {
                        let mut entries = Vec::with_capacity(line.elements.len());
                        for (e, &standing) in line.elements.iter().zip(&standings) {
                            entries.push(ListedExecutor {
                                executor: node.door.borrow_mut().executor(&e.executor),
                                name: &e.executor,
                                status: standing,
                                started: Some(Instant(e.started_at_ns)).filter(|at| at.0 > 0),
                                kind: e.model,
                                zone: e.dc,
                                cell: e.pod,
                                weight: e.weight,
                                reports_own_status: false,
                            });
                        }
                        node.dispatcher.update_executors(
                            now,
                            ListUpdate::complete_if(line.mode != "patch"),
                            &entries,
                        );
                    })
                }
                other => Err(format!("unknown membership mode {other:?}")),
            },
            "work_item" => {
                let msg_id = line.msg_id.as_deref().ok_or("no msg_id")?;
                let arrival = Arrival {
                    class: line.class,
                    customer: line.customer,
                    deadline: Instant(line.not_after_ns),
                    repeat: line.bits & 2 > 0,
                    hint: Some(Duration::from_nanos(line.effort_ns as u64)).filter(|_| line.bits & 1 != 0),
                    slots: line.slots.unwrap_or(1.0),
                    over_budget: false,
                };
                self.call(line, |node, now| {
                    let unit = node.door.borrow_mut().arrival(msg_id);
                    node.dispatcher.request_arrived(now, unit, &arrival);
                })
            }
            "head_received" => {
                self.call_known(line, |node, _, id| node.dispatcher.response_started(id.request))
            }
            "hint_update" => {
                let executor = self.known_executor(line)?;
                self.call_known(line, |node, now, id| {
                    if let Some(executor) = executor {
                        node.dispatcher.attempt_progressed(now, id, executor);
                    }
                })
            }
            "returned" => {
                let ending = ending(&line.disposition)?;
                let executor = self.known_executor(line)?;
                self.call_known(line, |node, now, id| {
                    let report = node.report(line.usage.as_deref());
                    node.door.borrow_mut().returned(id.request, line.finished);
                    if let Some(executor) = executor {
                        node.dispatcher.attempt_ended(now, id, executor, ending, line.finished, report);
                    }
                })
            }
            "withdrawn" => self.call_known(line, |node, _, id| {
                node.door.borrow_mut().finished(id.request);
                node.dispatcher.finish(id.request);
            }),
            "bell" => self.call(line, |node, now| node.dispatcher.timer_fired(now, line.name)),
            "pong" => {
                let executor = self.known_executor(line)?;
                self.call(line, |node, now| {
                    let report = node.report(line.usage.as_deref());
                    if let Some(executor) = executor {
                        node.dispatcher.load_reported(now, executor, report);
                    }
                })
            }
            "from_peer" => {
                let payload = line.payload.as_deref().ok_or("no payload")?;
                let word = hex::decode(payload).map_err(|e| format!("payload {payload:?}: {e}"))?;
                let from = line.from.ok_or("no sender")?;
                self.call(line, |node, now| node.dispatcher.load_message_received(now, from, &word))
            }
            other => Err(format!("unknown message type {other:?}")),
        }
    }

    fn instance(&mut self, line: &Line) -> Result<&mut Instance, String> {
        let who = line.who.ok_or("no instance named")?;
        self.instances.get_mut(&who).ok_or_else(|| format!("no instance {who}"))
    }

    /// Calls one node; a failure inside its decisions goes out as the wire's `panic`.
    fn call(&mut self, line: &Line, call: impl FnOnce(&mut Instance, Instant)) -> Result<(), String> {
        let now = self.now;
        self.called.extend(line.who);
        let node = self.instance(line)?;
        if let Err(failure) = catch_unwind(AssertUnwindSafe(|| call(node, now))) {
            let text = failure.downcast_ref::<String>().map(String::as_str);
            let text = text.or(failure.downcast_ref::<&str>().copied());
            node.door.borrow_mut().fault(text.unwrap_or("the decisions failed"));
        }
        Ok(())
    }

    /// Like `call`, for a line that names a work unit; one that has been forgotten is nobody's business any more.
    fn call_known(
        &mut self,
        line: &Line,
        call: impl FnOnce(&mut Instance, Instant, AttemptId),
    ) -> Result<(), String> {
        let msg_id = line.msg_id.as_deref().ok_or("no msg_id")?;
        let Some(unit) = self.instance(line)?.door.borrow().unit(msg_id) else { return Ok(()) };
        self.call(line, |node, now| call(node, now, AttemptId { request: unit, number: line.go }))
    }

    fn known_executor(&mut self, line: &Line) -> Result<Option<ExecutorId>, String> {
        let name = line.executor.as_deref().ok_or("no executor")?;
        Ok(self.instance(line)?.door.borrow().known_executor(name))
    }
}

fn standing(state: &str) -> Result<ExecutorStatus, String> {
    match state {
        "IN" => Ok(ExecutorStatus::Ready),
        "LAME" => Ok(ExecutorStatus::Draining),
        "OUT" => Ok(ExecutorStatus::Gone),
        other => Err(format!("unknown stage_state {other:?}")),
    }
}

fn ending(disposition: &str) -> Result<AttemptOutcome, String> {
    match disposition {
        "done" => Ok(AttemptOutcome::Served),
        "err" => Ok(AttemptOutcome::Error),
        "busy" => Ok(AttemptOutcome::Full),
        "etimedout" => Ok(AttemptOutcome::TimedOut),
        "econnrefused" => Ok(AttemptOutcome::Refused),
        "econnreset" => Ok(AttemptOutcome::Reset),
        "ecanceled" => Ok(AttemptOutcome::Cancelled),
        "skipped" => Ok(AttemptOutcome::NeverSent),
        other => Err(format!("unknown disposition {other:?}")),
    }
}

fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut hosted = Hosted::default();
    for (number, text) in input.split(b'\n').enumerate() {
        let at = |what: String| format!("line {}: {what}", number + 1);
        let text = text.map_err(|e| at(e.to_string()))?;
        let text = str::from_utf8(&text).map_err(|e| at(e.to_string()))?;
        if text.trim().is_empty() {
            continue;
        }
        if hosted.take(text).map_err(at)? {
            let called = std::mem::take(&mut hosted.called);
            for node in called.iter().filter_map(|who| hosted.instances.get(who)) {
                node.door.borrow_mut().drain(&mut output).map_err(|e| e.to_string())?;
            }
            writeln!(output, r#"{{"type":"ack"}}"#).map_err(|e| e.to_string())?;
            output.flush().map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    CommandLine::parse();
    match serve(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("grebeusher-bench-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}

//! Connects grebeusher's dispatcher to the users' bench: it turns lines on standard input into calls of dispatchers, and
//! writes their actions as lines on standard output. Itself it makes no decisions.

mod startup;
mod wire;

use clap::Parser;
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
use wire::{WireHost, WireState};

/// Runs grebeusher's dispatchers on the lines of the users' bench, from standard input to standard output.
#[derive(Parser)]
#[command(version)]
struct CommandLine {}

/// A line of standard input. Its type determines which fields are present; fields not named here are ignored.
#[derive(Default, Deserialize)]
#[serde(default)]
struct InputLine<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    sim_time_ns: u64,
    /// The id of the instance.
    who: Option<u64>,
    /// The seed of a new instance.
    nonce64: u64,
    facts: Option<Value>,
    #[serde(borrow)]
    mode: Cow<'a, str>,
    #[serde(borrow)]
    elements: Vec<ListEntry<'a>>,
    #[serde(borrow)]
    msg_id: Option<Cow<'a, str>>,
    class: usize,
    customer: usize,
    not_after_ns: u64,
    effort_ns: f64,
    slots: Option<f64>,
    /// Bit 0: `effort_ns` is known. Bit 1: the client has sent the request before.
    bits: u64,
    /// The number of the attempt.
    go: usize,
    #[serde(borrow)]
    executor: Option<Cow<'a, str>>,
    #[serde(borrow)]
    disposition: Cow<'a, str>,
    #[serde(rename = "final")]
    finished: bool,
    usage: Option<Vec<Option<f64>>>,
    /// The number of the timer.
    name: u64,
    from: Option<u64>,
    #[serde(borrow)]
    payload: Option<Cow<'a, str>>,
}

/// An entry of the executor list in a `membership` line.
#[derive(Deserialize)]
struct ListEntry<'a> {
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

/// A dispatcher with its wire state, which its host shares.
struct Instance {
    dispatcher: Dispatcher<WireHost>,
    wire: Rc<RefCell<WireState>>,
    report_layout: ReportLayout,
}

impl Instance {
    fn report(&self, usage: Option<&[Option<f64>]>) -> Option<LoadReport> {
        usage.map(|usage| self.report_layout.report(|index| usage.get(index).copied().flatten()))
    }
}

/// All instances.
#[derive(Default)]
struct Instances {
    /// The time of the current batch.
    now: Instant,
    by_id: BTreeMap<u64, Instance>,
    /// The ids of the instances called in the current batch: no others can have lines to write.
    called: BTreeSet<u64>,
}

impl Instances {
    /// Handles one line. Returns `true` if the line ends a batch.
    fn handle_line(&mut self, text: &str) -> Result<bool, String> {
        let line: InputLine = serde_json::from_str(text).map_err(|e| e.to_string())?;
        match &*line.kind {
            "mark" => self.now = Instant(line.sim_time_ns),
            "flush" => return Ok(true),
            "born" => {
                let facts = line.facts.as_ref().ok_or("no facts")?;
                let id = line.who.ok_or("no instance named")?;
                self.by_id.insert(id, startup::build_instance(id, line.nonce64, facts)?);
                self.call(&line, |instance, now| instance.dispatcher.start(now))?;
            }
            "detach" => {
                let id = line.who.ok_or("no instance named")?;
                self.by_id.remove(&id).ok_or_else(|| format!("no instance {id}"))?;
            }
            _ => self.handle_event(&line)?,
        }
        Ok(false)
    }

    /// Handles a line that is an event for one instance.
    #[expect(clippy::too_many_lines, reason = "one arm for each type of line")]
    fn handle_event(&mut self, line: &InputLine) -> Result<(), String> {
        match &*line.kind {
            "membership" => match &*line.mode {
                "broken" => self.call(line, |instance, _| instance.dispatcher.executor_list_lost()),
                "patch" | "whole" | "stale_copy" => {
                    let statuses: Vec<ExecutorStatus> = line
                        .elements
                        .iter()
                        .map(|e| parse_status(&e.stage_state))
                        .collect::<Result<_, _>>()?;
                    self.call(line, |instance, now| {
                        let mut entries = Vec::with_capacity(line.elements.len());
                        for (e, &status) in line.elements.iter().zip(&statuses) {
                            entries.push(ListedExecutor {
                                executor: instance.wire.borrow_mut().executor(&e.executor),
                                name: &e.executor,
                                status,
                                started: Some(Instant(e.started_at_ns)).filter(|started| started.0 > 0),
                                kind: e.model,
                                zone: e.dc,
                                cell: e.pod,
                                weight: e.weight,
                                reports_own_status: false,
                            });
                        }
                        instance.dispatcher.update_executors(
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
                self.call(line, |instance, now| {
                    let request = instance.wire.borrow_mut().add_request(msg_id);
                    instance.dispatcher.request_arrived(now, request, &arrival);
                })
            }
            "head_received" => {
                self.call_open(line, |instance, _, id| instance.dispatcher.response_started(id.request))
            }
            "hint_update" => {
                let executor = self.known_executor(line)?;
                self.call_open(line, |instance, now, id| {
                    if let Some(executor) = executor {
                        instance.dispatcher.attempt_progressed(now, id, executor);
                    }
                })
            }
            "returned" => {
                let outcome = parse_outcome(&line.disposition)?;
                let executor = self.known_executor(line)?;
                self.call_open(line, |instance, now, id| {
                    let report = instance.report(line.usage.as_deref());
                    instance.wire.borrow_mut().attempt_ended(id.request, line.finished);
                    if let Some(executor) = executor {
                        instance.dispatcher.attempt_ended(now, id, executor, outcome, line.finished, report);
                    }
                })
            }
            "withdrawn" => self.call_open(line, |instance, _, id| {
                instance.wire.borrow_mut().request_finished(id.request);
                instance.dispatcher.finish(id.request);
            }),
            "bell" => self.call(line, |instance, now| instance.dispatcher.timer_fired(now, line.name)),
            "pong" => {
                let executor = self.known_executor(line)?;
                self.call(line, |instance, now| {
                    let report = instance.report(line.usage.as_deref());
                    if let Some(executor) = executor {
                        instance.dispatcher.load_reported(now, executor, report);
                    }
                })
            }
            "from_peer" => {
                let payload = line.payload.as_deref().ok_or("no payload")?;
                let message = hex::decode(payload).map_err(|e| format!("payload {payload:?}: {e}"))?;
                let from = line.from.ok_or("no sender")?;
                self.call(line, |instance, now| {
                    instance.dispatcher.load_message_received(now, from, &message);
                })
            }
            other => Err(format!("unknown message type {other:?}")),
        }
    }

    fn instance(&mut self, line: &InputLine) -> Result<&mut Instance, String> {
        let id = line.who.ok_or("no instance named")?;
        self.by_id.get_mut(&id).ok_or_else(|| format!("no instance {id}"))
    }

    /// Calls the instance that a line names. If its dispatcher panics, a `panic` line is written.
    fn call(&mut self, line: &InputLine, call: impl FnOnce(&mut Instance, Instant)) -> Result<(), String> {
        let now = self.now;
        self.called.extend(line.who);
        let instance = self.instance(line)?;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| call(instance, now))) {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message = message.or(panic.downcast_ref::<&str>().copied());
            instance.wire.borrow_mut().report_panic(message.unwrap_or("the decisions failed"));
        }
        Ok(())
    }

    /// Like `call`, for a line that names an attempt of a request. Ignores the line if the request is no longer open.
    fn call_open(
        &mut self,
        line: &InputLine,
        call: impl FnOnce(&mut Instance, Instant, AttemptId),
    ) -> Result<(), String> {
        let msg_id = line.msg_id.as_deref().ok_or("no msg_id")?;
        let Some(request) = self.instance(line)?.wire.borrow().request(msg_id) else { return Ok(()) };
        self.call(line, |instance, now| call(instance, now, AttemptId { request, number: line.go }))
    }

    fn known_executor(&mut self, line: &InputLine) -> Result<Option<ExecutorId>, String> {
        let name = line.executor.as_deref().ok_or("no executor")?;
        Ok(self.instance(line)?.wire.borrow().known_executor(name))
    }
}

fn parse_status(state: &str) -> Result<ExecutorStatus, String> {
    match state {
        "IN" => Ok(ExecutorStatus::Ready),
        "LAME" => Ok(ExecutorStatus::Draining),
        "OUT" => Ok(ExecutorStatus::Gone),
        other => Err(format!("unknown stage_state {other:?}")),
    }
}

fn parse_outcome(disposition: &str) -> Result<AttemptOutcome, String> {
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
    let mut instances = Instances::default();
    for (number, text) in input.split(b'\n').enumerate() {
        let with_line = |error: String| format!("line {}: {error}", number + 1);
        let text = text.map_err(|e| with_line(e.to_string()))?;
        let text = str::from_utf8(&text).map_err(|e| with_line(e.to_string()))?;
        if text.trim().is_empty() {
            continue;
        }
        if instances.handle_line(text).map_err(with_line)? {
            let called = std::mem::take(&mut instances.called);
            for instance in called.iter().filter_map(|id| instances.by_id.get(id)) {
                instance.wire.borrow_mut().flush(&mut output).map_err(|e| e.to_string())?;
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
        Err(error) => {
            eprintln!("grebeusher-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

//! Live requests: what clients sent, what ran, and what was answered.

use super::{Judge, Rule};
use crate::content;
use grebeusher_time::{Duration, DurationExt, Instant};

/// A request that was sent to a stopping node within this may still run when the node ends,
const SENT_EARLY: Duration = Duration::from_millis(3000);
/// if it ran beyond this share of the grace period.
const WORK_BORNE_UNTIL: f64 = 5.0 / 6.0;

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// Once.
    Once,
    /// A stream that may be taken up elsewhere.
    Resumable,
    /// A stream that may not.
    Stream,
}

/// A try of a client.
#[derive(Debug)]
pub struct Try {
    /// How it may be repeated.
    pub kind: Kind,
    /// Method and target.
    pub line: String,
    /// The prefix of its route.
    pub prefix: String,
    /// The bytes of its body, hashed.
    pub body: u64,
    /// When it was sent.
    pub sent: Instant,
    /// The host of the node.
    pub host: usize,
    /// The life of its process.
    pub life: Option<usize>,
    runs: u32,
    refused: bool,
    broken: bool,
}

/// A request that reaches an executor.
pub struct Arrival<'a> {
    /// When it begins to run.
    pub at: Instant,
    /// When it came.
    pub came: Instant,
    /// The executor.
    pub instance: &'a str,
    /// Its service.
    pub service: &'a str,
    /// The version of its software.
    pub version: &'a str,
    /// The host that sent it.
    pub from: usize,
    /// The life of its process.
    pub life: Option<usize>,
    /// Method and target.
    pub line: &'a str,
    /// The id.
    pub attempt: &'a str,
    /// The bytes of its body.
    pub body: &'a [u8],
}

impl Judge {
    /// A client sends a try.
    pub fn try_sent(&mut self, id: &str, sent: Try) {
        self.counts.tries += 1;
        self.tries.insert(id.to_owned(), sent);
    }

    /// A new try, as it is noted.
    pub fn new_try(kind: Kind, line: &str, prefix: &str, body: &[u8], sent: Instant, host: usize) -> Try {
        Try {
            kind,
            line: line.to_owned(),
            prefix: prefix.to_owned(),
            body: content::hash(&[body]),
            sent,
            host,
            life: None,
            runs: 0,
            refused: false,
            broken: false,
        }
    }

    /// The client hears a promise that the try has not run.
    pub fn try_refused(&mut self, id: &str, status: u16, at: Instant) {
        let Some(found) = self.tries.get_mut(id) else { return };
        found.refused = true;
        let ran = found.runs > 0 && matches!(found.kind, Kind::Once | Kind::Stream);
        if ran {
            self.breach(Rule::Refused, at, format!("try {id} was answered {status} though it has run"));
        }
    }

    /// The outcome of a request, for the share that is served.
    pub fn request_over(&mut self, at: Instant, served: bool) {
        if served {
            self.counts.served += 1;
        } else {
            self.counts.unserved += 1;
        }
        self.served.push((at, served));
    }

    /// A try was read whole by its node, and the connection ended without a complete answer. `deadline`: the end of the
    /// time that the client gave it.
    pub fn try_cut(&mut self, id: &str, sent: Instant, at: Instant, deadline: Instant) {
        let Some(found) = self.tries.get(id) else { return };
        let host = found.host;
        let Some(stopping_since) = self.stopping_since(host, sent) else { return };
        let passed_on = found.runs > 0;
        let late = at.since(sent) > self.bounds.loss_slack;
        let early = sent <= stopping_since + SENT_EARLY;
        let borne = early && at >= stopping_since + self.bounds.grace.scaled(WORK_BORNE_UNTIL);
        if !found.broken && !borne && at < deadline && (passed_on || late) && self.only_planned(sent, at) {
            let what = format!(
                "try {id} at host {host}, sent {:.3} s after SIGTERM, ended without an answer during planned work",
                sent.since(stopping_since).seconds()
            );
            self.breach(Rule::Lost, at, what);
        }
    }

    /// An executor breaks a try off by itself.
    pub fn executor_broke(&mut self, id: &str) {
        if let Some(found) = self.tries.get_mut(id) {
            found.broken = true;
        }
    }

    /// An executor begins to run a request.
    pub fn runs(&mut self, arrival: &Arrival<'_>) {
        self.counts.runs += 1;
        self.check_drain(arrival);
        self.check_version_of_executor(arrival);
        let Arrival { at, instance, attempt, .. } = *arrival;
        if self.items.contains_key(attempt) {
            return self.item_runs(arrival);
        }
        let Some(found) = self.tries.get_mut(attempt) else {
            return self.breach(Rule::Unasked, at, format!("{attempt} at {instance} was sent by no client"));
        };
        found.runs += 1;
        let (runs, kind, refused) = (found.runs, found.kind, found.refused);
        let (sent, prefix) = (found.sent, found.prefix.clone());
        let changed = found.line != arrival.line || found.body != content::hash(&[arrival.body]);
        if changed {
            let what =
                format!("{attempt} at {instance} was changed: `{}` for `{}`", arrival.line, found.line);
            self.breach(Rule::Unasked, at, what);
        }
        if runs > 1 && matches!(kind, Kind::Once | Kind::Stream) {
            self.breach(Rule::Twice, at, format!("{attempt} runs {runs} times, now at {instance}"));
        }
        if refused && matches!(kind, Kind::Once | Kind::Stream) {
            self.breach(Rule::Refused, at, format!("{attempt} runs at {instance} after its refusal"));
        }
        self.check_told(arrival, sent);
        self.check_route(arrival, sent, &prefix, attempt);
    }

    fn check_route(&mut self, arrival: &Arrival<'_>, sent: Instant, prefix: &str, attempt: &str) {
        let (at, service) = (arrival.at, arrival.service);
        let allowing = self.allowing(prefix, service, at);
        let Some(newest) = allowing.iter().max().copied() else {
            let what = format!("{attempt} ran at service {service}, which no version gives to {prefix}");
            return self.breach(Rule::Route, at, what);
        };
        self.check_version(sent, at, arrival.from, arrival.life, newest, attempt);
        if let (Some(life), Some(oldest)) = (arrival.life, allowing.iter().min()) {
            self.evidence.entry(life).or_default().push((at, *oldest));
        }
    }

    /// A node answers a request on a prefix with its own 404.
    pub fn unrouted(&mut self, id: &str, at: Instant) {
        let Some(found) = self.tries.get(id) else { return };
        let (sent, host, life, prefix) = (found.sent, found.host, found.life, found.prefix.clone());
        let lacking =
            self.versions.iter().filter(|version| version.valid && !version.routes.contains_key(&prefix));
        let newest =
            lacking.filter(|version| version.sent <= at).map(|version| version.number).max().unwrap_or(0);
        self.check_version(sent, at, host, life, newest, id);
    }
}

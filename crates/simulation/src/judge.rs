//! The rules, judged from what clients, executors and operators saw on their sockets.
//!
//! Where a rule binds only machines in touch, the judge is cautious: it lets a machine off for longer than the rules do.

use crate::content;
use grebeusher_time::{Moment, Span};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The bounds of the rules; the same as the processes' settings tell.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a machine must be without trouble.
    pub contact: Span,
    /// From an acknowledged configuration to its use by all.
    pub config_apply: Span,
    /// How late a request may reach an executor that leaves.
    pub drain: Span,
    /// Until proper orders are acknowledged.
    pub ack: Span,
    /// After this a regress shows.
    pub downgrade_slack: Span,
    /// What a node may take to settle what was accepted or read.
    pub settle: Span,
    /// How long items of an ended job may still reach executors.
    pub cancel: Span,
    /// Until service is back after a final fault.
    pub recovery: Span,
    /// What a SIGTERM gives.
    pub grace: Span,
    /// The slack of a request that was read and lost.
    pub loss_slack: Span,
    /// A machine stays lost for this long after its return.
    pub sync_time: Span,
    /// A core that is unstable may make configurations late by so much.
    pub max_stretch: Span,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact: Span::millis(3000),
            config_apply: Span::millis(2000),
            drain: Span::millis(2000),
            ack: Span::millis(4000),
            downgrade_slack: Span::millis(250),
            settle: Span::millis(1000),
            cancel: Span::millis(3000),
            recovery: Span::millis(12_000),
            grace: Span::millis(8000),
            loss_slack: Span::millis(200),
            sync_time: Span::millis(5000),
            max_stretch: Span::millis(5000),
        }
    }
}

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// An answer that isn't the executor's.
    Mixed,
    /// A run that nobody asked for.
    Unasked,
    /// A run too many.
    Twice,
    /// A run despite a refusal.
    Refused,
    /// A run at the wrong service.
    Route,
    /// A request to an executor that has left.
    Drain,
    /// Something acknowledged is gone.
    Lost,
    /// A configuration that shouldn't be in force, or isn't.
    Config,
    /// A stream with a piece too many or too few.
    Order,
    /// No service after the final fault.
    Recover,
    /// More accepted than the limit allows.
    Quota,
    /// An order without an acknowledgement.
    Acks,
    /// A process ended by itself.
    Fault,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&format!("{self:?}").to_uppercase())
    }
}

/// A breach, with what was seen.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When it showed.
    pub at: Moment,
    /// What was seen.
    pub what: String,
}

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
    pub sent: Moment,
    /// The host of the node.
    pub host: usize,
    /// The life of its process.
    pub life: Option<usize>,
    runs: u32,
    refused: bool,
    broken: bool,
}

/// A configuration that was sent.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// What it builds on.
    pub base: u64,
    /// Its bytes.
    pub body: Vec<u8>,
    /// The services of each prefix.
    pub routes: BTreeMap<String, Vec<String>>,
    /// Whether it is valid.
    pub valid: bool,
    /// When it was sent first.
    pub sent: Moment,
    /// When it was acknowledged.
    pub acknowledged: Option<Moment>,
    /// Whether it was refused for good.
    pub refused: bool,
}

/// An item as a client makes it up.
#[derive(Clone, Debug)]
pub struct MadeItem {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Its tokens.
    pub tokens: u64,
}

/// A result as a page lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The item.
    pub item: String,
    /// `complete` or `dead_letter`.
    pub state: String,
    /// Its text.
    pub text: String,
}

/// An item of a batch job.
#[derive(Debug)]
struct Item {
    job: String,
    path: String,
    body: u64,
    tokens: u64,
    finished: bool,
}

/// A batch job.
#[derive(Debug, Default)]
struct Job {
    route: String,
    tries: u32,
    refusals: u32,
    accepted: Option<Moment>,
    end_sent: Option<Moment>,
    end_acknowledged: Option<Moment>,
    positions: Vec<Listed>,
    read: Option<Moment>,
}

/// Trouble on a host.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    host: usize,
    from: Moment,
    until: Moment,
    planned: bool,
}

/// What is seen, and what is broken.
pub struct Judge {
    /// The bounds.
    pub bounds: Bounds,
    /// What is broken, first breaches first.
    pub breaches: Vec<Breach>,
    tries: FxHashMap<String, Try>,
    versions: Vec<Version>,
    jobs: BTreeMap<String, Job>,
    items: FxHashMap<String, Item>,
    drained: FxHashMap<String, Moment>,
    troubles: Vec<Trouble>,
    core_events: Vec<Moment>,
    core_slow: Vec<(Moment, Moment)>,
    links: Vec<(Moment, Moment)>,
    evidence: FxHashMap<usize, Vec<(Moment, u64)>>,
    /// The limit of each bulk route, in tokens.
    pub quota: u64,
    /// Counters for reports.
    pub counts: Counts,
    served: Vec<(Moment, bool)>,
    leaving: Vec<(Moment, Option<Moment>)>,
}

/// What happened in a storm, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tries of clients.
    pub tries: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were not.
    pub unserved: u64,
    /// Runs at executors.
    pub runs: u64,
    /// Configurations that were acknowledged.
    pub acknowledged: u64,
    /// Batch jobs that were accepted.
    pub jobs: u64,
    /// Positions that were read.
    pub results: u64,
    /// Executors that left with an acknowledgement.
    pub drained: u64,
}

/// A request that reaches an executor.
pub struct Arrival<'a> {
    /// When it begins to run.
    pub at: Moment,
    /// When it came.
    pub came: Moment,
    /// The executor.
    pub instance: &'a str,
    /// Its service.
    pub service: &'a str,
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
    /// A judge who has seen nothing.
    pub fn new(bounds: Bounds) -> Judge {
        Judge {
            bounds,
            breaches: Vec::new(),
            tries: FxHashMap::default(),
            versions: Vec::new(),
            jobs: BTreeMap::new(),
            items: FxHashMap::default(),
            drained: FxHashMap::default(),
            troubles: Vec::new(),
            core_events: Vec::new(),
            core_slow: Vec::new(),
            links: Vec::new(),
            evidence: FxHashMap::default(),
            quota: 0,
            counts: Counts::default(),
            served: Vec::new(),
            leaving: Vec::new(),
        }
    }

    /// Notes a breach.
    pub fn breach(&mut self, rule: Rule, at: Moment, what: String) {
        if self.breaches.len() < 40 {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    // --- who is in touch ---

    /// A machine is in trouble for a time, by a planned work or not.
    pub fn trouble(&mut self, host: usize, from: Moment, until: Moment, planned: bool) {
        self.troubles.push(Trouble { host, from, until, planned });
    }

    /// Something was done to a machine of the core or a store.
    pub fn core_event(&mut self, at: Moment) {
        self.core_events.push(at);
    }

    /// A machine of the core or a store is slow for a time.
    pub fn core_slow(&mut self, from: Moment, until: Moment) {
        self.core_slow.push((from, until));
    }

    /// Links are in trouble for a time.
    pub fn link_trouble(&mut self, from: Moment, until: Moment) {
        self.links.push((from, until));
    }

    /// Whether the core was stable from `contact` before `from` until `until`.
    pub fn core_stable(&self, from: Moment, until: Moment) -> bool {
        let from = from - self.bounds.contact;
        !self.core_events.iter().any(|at| *at >= from && *at <= until)
            && !self.core_slow.iter().any(|(begin, end)| *end >= from && *begin <= until)
    }

    fn host_calm(&self, host: usize, from: Moment, until: Moment) -> bool {
        let from = from - self.bounds.contact;
        !self
            .troubles
            .iter()
            .any(|trouble| trouble.host == host && trouble.until >= from && trouble.from <= until)
    }

    /// Whether a machine was in touch all the time from `from` to `until`.
    pub fn in_touch(&self, host: usize, from: Moment, until: Moment) -> bool {
        self.core_stable(from, until) && self.host_calm(host, from, until)
    }

    /// Whether nothing at all was in trouble.
    pub fn all_calm(&self, from: Moment, until: Moment) -> bool {
        let begin = from - self.bounds.contact;
        self.core_stable(from, until)
            && !self.troubles.iter().any(|trouble| trouble.until >= begin && trouble.from <= until)
            && !self.links.iter().any(|(f, u)| *u >= begin && *f <= until)
    }

    /// Whether all trouble was planned, and no link was cut.
    fn only_planned(&self, from: Moment, until: Moment) -> bool {
        let begin = from - self.bounds.contact;
        !self.troubles.iter().any(|t| !t.planned && t.until >= begin && t.from <= until)
            && !self.links.iter().any(|(f, u)| *u >= begin && *f <= until)
            && !self.core_slow.iter().any(|(f, u)| *u >= begin && *f <= until)
    }

    // --- live requests ---

    /// A client sends a try.
    pub fn try_sent(&mut self, id: &str, sent: Try) {
        self.counts.tries += 1;
        self.tries.insert(id.to_owned(), sent);
    }

    /// A new try, as it is noted.
    pub fn new_try(kind: Kind, line: &str, prefix: &str, body: &[u8], sent: Moment, host: usize) -> Try {
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
    pub fn try_refused(&mut self, id: &str, status: u16, at: Moment) {
        let Some(found) = self.tries.get_mut(id) else { return };
        found.refused = true;
        let ran = found.runs > 0 && matches!(found.kind, Kind::Once | Kind::Stream);
        if ran {
            self.breach(Rule::Refused, at, format!("try {id} was answered {status} though it has run"));
        }
    }

    /// The outcome of a request, for the share that is served.
    pub fn request_over(&mut self, at: Moment, served: bool) {
        if served {
            self.counts.served += 1;
        } else {
            self.counts.unserved += 1;
        }
        self.served.push((at, served));
    }

    /// A try was read whole by its node, and the connection ended without an answer.
    pub fn try_cut(&mut self, id: &str, sent: Moment, at: Moment, streamed: bool) {
        let Some(found) = self.tries.get(id) else { return };
        let host = found.host;
        let stopping = self.troubles.iter().any(|trouble| {
            trouble.host == host
                && trouble.planned
                && sent >= trouble.from
                && sent <= trouble.from + self.bounds.grace + Span::millis(1000)
        });
        let passed_on = found.runs > 0;
        let late = at.since(sent) > self.bounds.loss_slack;
        if stopping && !found.broken && (passed_on || late) && !streamed && self.only_planned(sent, at) {
            self.breach(
                Rule::Lost,
                at,
                format!("try {id} at host {host} ended without an answer during planned work"),
            );
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
        let Arrival { at, instance, attempt, .. } = *arrival;
        if let Some(acknowledged) = self.drained.get(instance).copied()
            && arrival.came > acknowledged + self.bounds.drain
            && self.in_touch(arrival.from, acknowledged, arrival.came)
        {
            let what = format!(
                "{attempt} reached {instance} {:.3} s after its drain was acknowledged",
                arrival.came.since(acknowledged).as_secs()
            );
            self.breach(Rule::Drain, at, what);
        }
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
        self.check_route(arrival, sent, &prefix, attempt);
    }

    fn check_route(&mut self, arrival: &Arrival<'_>, sent: Moment, prefix: &str, attempt: &str) {
        let (at, service) = (arrival.at, arrival.service);
        let allowing: Vec<u64> = self
            .versions
            .iter()
            .filter(|version| version.valid && version.sent <= at && allows(version, prefix, service))
            .map(|version| version.number)
            .collect();
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
    pub fn unrouted(&mut self, id: &str, at: Moment) {
        let Some(found) = self.tries.get(id) else { return };
        let (sent, host, life, prefix) = (found.sent, found.host, found.life, found.prefix.clone());
        let lacking =
            self.versions.iter().filter(|version| version.valid && !version.routes.contains_key(&prefix));
        let newest =
            lacking.filter(|version| version.sent <= at).map(|version| version.number).max().unwrap_or(0);
        self.check_version(sent, at, host, life, newest, id);
    }

    /// `newest` is the newest version that explains what was done with a request.
    fn check_version(
        &mut self,
        sent: Moment,
        at: Moment,
        host: usize,
        life: Option<usize>,
        newest: u64,
        id: &str,
    ) {
        let bound = self.bounds.config_apply;
        let due = self.versions.iter().filter(|version| {
            version.number > newest
                && version.acknowledged.is_some_and(|acknowledged| sent > acknowledged + bound)
        });
        if let Some(version) = due.map(|version| version.number).max()
            && self.in_touch(host, sent - bound, at)
        {
            let what =
                format!("{id} at host {host} was handled by version {newest} or older, {version} was due");
            self.breach(Rule::Config, at, what);
        }
        let slack = self.bounds.downgrade_slack * 8.0;
        let regress = life.and_then(|life| self.evidence.get(&life)).and_then(|seen| {
            seen.iter()
                .filter(|(when, number)| *number > newest && sent > *when + slack)
                .map(|(_, number)| *number)
                .max()
        });
        if let Some(version) = regress {
            let what =
                format!("{id} at host {host} was handled by version {newest} or older after {version}");
            self.breach(Rule::Config, at, what);
        }
    }

    // --- configurations ---

    /// A configuration is sent for the first time.
    pub fn version_sent(&mut self, version: Version) {
        self.versions.push(version);
    }

    /// It is acknowledged.
    pub fn version_acknowledged(&mut self, number: u64, base: u64, at: Moment) {
        let twin = self.versions.iter().find(|version| {
            version.base == base && version.number != number && version.acknowledged.is_some()
        });
        let twin = twin.map(|version| version.number);
        let Some(version) = self.versions.iter_mut().find(|v| v.number == number && v.base == base) else {
            return;
        };
        version.acknowledged.get_or_insert(at);
        self.counts.acknowledged += 1;
        if !version.valid {
            self.breach(Rule::Config, at, format!("version {number} is invalid and was acknowledged"));
        }
        if let Some(twin) = twin {
            self.breach(
                Rule::Config,
                at,
                format!("versions {twin} and {number} on {base} were both acknowledged"),
            );
        }
    }

    /// It is refused for good.
    pub fn version_refused(&mut self, number: u64, base: u64) {
        if let Some(version) = self.versions.iter_mut().find(|v| v.number == number && v.base == base) {
            version.refused = true;
        }
    }

    /// The newest acknowledged version.
    pub fn newest_acknowledged(&self) -> u64 {
        self.versions.iter().filter(|v| v.acknowledged.is_some()).map(|v| v.number).max().unwrap_or(0)
    }

    /// What the operator reads back; nothing if it was told that there is none.
    pub fn shown(&mut self, body: Option<&[u8]>, at: Moment, last: bool) -> Option<u64> {
        let newest = self.newest_acknowledged();
        let Some(body) = body else {
            if newest > 0 && last {
                self.breach(Rule::Lost, at, format!("version {newest} was acknowledged, and none is there"));
            }
            return None;
        };
        let Some(version) = self.versions.iter().find(|version| version.body == body).cloned() else {
            self.breach(Rule::Config, at, "a configuration was read back that nobody sent".to_owned());
            return None;
        };
        if version.refused || !version.valid {
            let what = format!("version {} is in force though it was refused or invalid", version.number);
            self.breach(Rule::Config, at, what);
        }
        if version.number < newest && last {
            let what = format!("version {} was read back, {newest} was acknowledged", version.number);
            self.breach(Rule::Config, at, what);
        }
        Some(version.number)
    }

    /// Nothing was read back in all the time that was given for it.
    pub fn never_shown(&mut self, at: Moment) {
        if self.newest_acknowledged() > 0 {
            self.breach(Rule::Config, at, "the configuration could not be read back at the end".to_owned());
        }
    }

    /// A proper order was not acknowledged in its time.
    pub fn unacknowledged(&mut self, what: &str, since: Moment, at: Moment) {
        let bound = self.bounds.ack;
        if at.since(since) > bound && self.all_calm(since, since + bound) {
            self.breach(
                Rule::Acks,
                at,
                format!("{what} had no acknowledgement in {:.1} s", at.since(since).as_secs()),
            );
        }
    }

    // --- executors that leave ---

    /// An executor says that it leaves.
    pub fn leaves(&mut self, at: Moment) -> usize {
        self.leaving.push((at, None));
        self.leaving.len() - 1
    }

    /// A node acknowledges it.
    pub fn drain_acknowledged(&mut self, instance: &str, leaving: usize, host: usize, at: Moment) {
        if let Some(found) = self.leaving.get_mut(leaving) {
            found.1.get_or_insert(at);
            self.counts.drained += 1;
        }
        if self.in_touch(host, at, at) {
            self.drained.entry(instance.to_owned()).or_insert(at);
        }
    }

    // --- batch jobs ---

    /// A client makes a batch job up.
    pub fn job_made(&mut self, job: &str, route: &str, items: &[MadeItem]) {
        self.jobs.insert(job.to_owned(), Job { route: route.to_owned(), ..Job::default() });
        for MadeItem { id, path, body, tokens } in items {
            let item = Item {
                job: job.to_owned(),
                path: path.clone(),
                body: content::hash(&[body]),
                tokens: *tokens,
                finished: false,
            };
            self.items.insert(id.clone(), item);
        }
    }

    /// A try to submit it begins.
    pub fn job_tried(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.tries += 1;
        }
    }

    /// A try is refused with a promise.
    pub fn job_refused(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.refusals += 1;
        }
    }

    /// It is accepted.
    pub fn job_accepted(&mut self, job: &str, at: Moment) {
        let Some(found) = self.jobs.get_mut(job) else { return };
        if found.accepted.is_some() {
            return;
        }
        found.accepted = Some(at);
        self.counts.jobs += 1;
        let route = found.route.clone();
        self.check_quota(&route, at);
    }

    fn check_quota(&mut self, route: &str, at: Moment) {
        let counted = |job: &Job| job.route == route && job.accepted.is_some() && job.end_sent.is_none();
        let open: BTreeSet<&String> =
            self.jobs.iter().filter(|(_, job)| counted(job)).map(|(id, _)| id).collect();
        let waiting: u64 = self
            .items
            .values()
            .filter(|item| !item.finished && open.contains(&item.job))
            .map(|item| item.tokens)
            .sum();
        if self.quota > 0 && waiting as f64 > self.quota as f64 * 1.1 {
            let what = format!("{waiting} tokens are accepted on {route}, {} are allowed", self.quota);
            self.breach(Rule::Quota, at, what);
        }
    }

    /// Its end is sent.
    pub fn job_end_sent(&mut self, job: &str, at: Moment) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.end_sent.get_or_insert(at);
        }
    }

    /// Its end is acknowledged.
    pub fn job_ended(&mut self, job: &str, host: usize, at: Moment) {
        if !self.in_touch(host, at, at) {
            return;
        }
        if let Some(found) = self.jobs.get_mut(job) {
            found.end_acknowledged.get_or_insert(at);
        }
    }

    fn item_runs(&mut self, arrival: &Arrival<'_>) {
        let Arrival { at, instance, attempt, .. } = *arrival;
        let Some(item) = self.items.get(attempt) else { return };
        let line = format!("POST {}", item.path);
        let (job, changed) =
            (item.job.clone(), line != arrival.line || item.body != content::hash(&[arrival.body]));
        if changed {
            self.breach(Rule::Unasked, at, format!("item {attempt} at {instance} was changed"));
        }
        let Some(found) = self.jobs.get(&job) else { return };
        let refused = found.accepted.is_none() && found.tries > 0 && found.refusals == found.tries;
        let ended = found.end_acknowledged.is_some_and(|ended| at > ended + self.bounds.cancel);
        if refused {
            self.breach(
                Rule::Refused,
                at,
                format!("item {attempt} runs, its job {job} was refused at every try"),
            );
        }
        if ended {
            self.breach(Rule::Unasked, at, format!("item {attempt} runs long after its job {job} was ended"));
        }
        let prefix = self.jobs[&job].route.clone();
        let sent = self.jobs[&job].accepted.unwrap_or(at);
        let allowed = self
            .versions
            .iter()
            .any(|version| version.valid && version.sent <= at && allows(version, &prefix, arrival.service));
        let _ = sent;
        if !allowed {
            let what =
                format!("item {attempt} ran at {}, which no version gives to {prefix}", arrival.service);
            self.breach(Rule::Route, at, what);
        }
    }

    /// An executor has come to the end of an item.
    pub fn item_finished(&mut self, item: &str) {
        if let Some(found) = self.items.get_mut(item) {
            found.finished = true;
        }
    }

    /// A page of results is read.
    pub fn page_read(&mut self, job: &str, from: usize, results: &[Listed], total: usize, at: Moment) {
        let wanted = self.items.values().filter(|item| item.job == job).count();
        if total != wanted {
            self.breach(Rule::Mixed, at, format!("job {job} has {wanted} items, total is {total}"));
        }
        for (offset, result) in results.iter().enumerate() {
            self.result_read(job, from + offset, result, at);
        }
        if let Some(found) = self.jobs.get_mut(job)
            && !results.is_empty()
        {
            found.read = Some(at);
        }
    }

    fn result_read(&mut self, job: &str, position: usize, result: &Listed, at: Moment) {
        let Listed { item: id, state, text } = result;
        self.check_result(job, id, state, text, at);
        let Some(found) = self.jobs.get_mut(job) else { return };
        match found.positions.get(position) {
            Some(before) if before != result => {
                let what = format!(
                    "position {position} of {job} held {} {}, now {id} {state}",
                    before.item, before.state
                );
                self.breach(Rule::Twice, at, what);
            }
            Some(_) => {}
            None if found.positions.len() == position => {
                let twice = found.positions.iter().any(|other| other.item == *id);
                found.positions.push(result.clone());
                self.counts.results += 1;
                if twice {
                    self.breach(Rule::Twice, at, format!("item {id} stands twice in {job}"));
                }
            }
            // A page from further on than this client has read is not asked for.
            None => {}
        }
    }

    fn check_result(&mut self, job: &str, id: &str, state: &str, text: &str, at: Moment) {
        let Some(item) = self.items.get_mut(id).filter(|item| item.job == job) else {
            return self.breach(Rule::Mixed, at, format!("item {id} is none of {job}"));
        };
        item.finished = true;
        let path = item.path.clone();
        let ended = self.jobs.get(job).is_some_and(|job| job.end_sent.is_some());
        if state == "complete" && text != content::whole_text(&path) {
            let what = format!(
                "item {id} is complete with {} bytes for {}",
                text.len(),
                content::whole_text(&path).len()
            );
            self.breach(Rule::Mixed, at, what);
        }
        if state == "dead_letter" && !content::is_poisoned(&path) && !ended {
            self.breach(Rule::Mixed, at, format!("item {id} is dead though it can be done"));
        }
    }

    /// A node says that it knows no such batch job, or has nothing at a position that was read.
    pub fn job_missing(&mut self, job: &str, host: usize, sent: Moment, at: Moment, last: bool) {
        let Some(found) = self.jobs.get(job) else { return };
        let Some(accepted) = found.accepted else { return };
        let settled = sent > accepted + self.bounds.settle;
        if settled && (last || self.in_touch(host, sent, at)) {
            let what =
                format!("host {host} answers 404 for {job}, accepted at {:.3}", accepted.0 as f64 / 1e9);
            self.breach(Rule::Lost, at, what);
        }
    }

    /// At the end a batch job can't be read, or doesn't give what it gave.
    pub fn job_lost(&mut self, job: &str, what: &str, at: Moment) {
        if self.jobs.get(job).is_some_and(|found| found.accepted.is_some()) {
            self.breach(Rule::Lost, at, format!("job {job}: {what}"));
        }
    }

    /// What was read of a job.
    pub fn positions(&self, job: &str) -> usize {
        self.jobs.get(job).map_or(0, |found| found.positions.len())
    }

    /// Whether an item was listed.
    pub fn is_listed(&self, job: &str, item: &str) -> bool {
        self.jobs.get(job).is_some_and(|found| found.positions.iter().any(|listed| listed.item == item))
    }

    // --- the end ---

    /// Judges what only the whole shows. `fault` is when a final fault struck and when the machines were back.
    pub fn close(&mut self, fault: Option<(Moment, Moment)>, at: Moment) {
        if let Some((struck, back)) = fault {
            let share = |served: Vec<bool>| {
                let count = served.iter().filter(|served| **served).count();
                (count as f64 / served.len().max(1) as f64, served.len())
            };
            let before = share(self.served.iter().filter(|(t, _)| *t < struck).map(|(_, s)| *s).collect());
            let from = back + self.bounds.recovery;
            let after = share(self.served.iter().filter(|(t, _)| *t > from).map(|(_, s)| *s).collect());
            if before.0 >= 0.25 && after.1 >= 20 && after.0 < 0.25 {
                let what = format!(
                    "{:.2} were served before the final fault, {:.2} of {} after",
                    before.0, after.0, after.1
                );
                self.breach(Rule::Recover, at, what);
            }
        }
        let bound = self.bounds.ack;
        let calm: Vec<(Moment, Option<Moment>)> = self
            .leaving
            .iter()
            .copied()
            .filter(|(t, _)| *t + bound < at && self.all_calm(*t, *t + bound))
            .collect();
        let late = calm.iter().filter(|(t, told)| told.is_none_or(|told| told.since(*t) > bound)).count();
        if late * 5 > calm.len() {
            let what =
                format!("{late} of {} executors left without an acknowledgement in calm times", calm.len());
            self.breach(Rule::Acks, at, what);
        }
    }
}

fn allows(version: &Version, prefix: &str, service: &str) -> bool {
    version.routes.get(prefix).is_some_and(|services| services.iter().any(|other| other == service))
}

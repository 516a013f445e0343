//! Operators and the platform: configurations, retirements, the last Show, and the checks of readiness.

mod rollouts;

pub use rollouts::{RolloutOrder, RolloutState};

use crate::call::{HttpCall, Progress, request};
use crate::configurations::{FirstBulkRoute, Wrong, configuration, routes};
use crate::content::names;
use crate::hub::{End, Happening, Owner};
use crate::judge::{SentOrder, Version};
use crate::scenario::Load;
use crate::stage::{Class, Stage};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Silence after which a call goes to another node.
const SILENCE: Duration = Duration::from_millis(1000);
/// Orders are sent again for this long.
const SEND_DURATION: Duration = Duration::from_millis(9000);
/// Between two checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// A check that is not answered by then is missed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(900);

const CHECK: u64 = 0;
const EXPIRES: u64 = 1;
const AGAIN: u64 = 2;
const PEEK: u64 = 3;

/// What an operator wants.
#[derive(Clone, Debug)]
enum Order {
    Replace {
        number: u64,
        base: u64,
        valid: bool,
    },
    Show {
        last: bool,
    },
    /// A read in between, that a stale leader must not answer.
    Peek,
    /// The same by way of one node.
    PeekAt {
        node: SocketAddrV4,
    },
    Retire {
        node: String,
        begins: bool,
    },
    Ready {
        machine: usize,
    },
    BeginRollout(RolloutOrder),
    ShowRollout {
        order: RolloutOrder,
        last: bool,
    },
}

impl Order {
    /// Whether no change of the configuration is sent while it is under way.
    fn holds_changes_up(&self) -> bool {
        matches!(self, Order::Replace { .. } | Order::Show { .. })
    }
}

struct Task {
    order: Order,
    body: Vec<u8>,
    since: Instant,
    until: Instant,
    pause: Duration,
    others: u32,
    call: Option<HttpCall>,
    called: Instant,
    to: Option<SocketAddrV4>,
    /// Whether an answer to it was lost on its way: then no time is due any more.
    answer_lost: bool,
}

/// A change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A valid one.
    Valid,
    /// Two on top of the same version.
    Race,
    /// The same under one number.
    SameNumber,
    /// An invalid one.
    Wrong(Wrong),
    /// A valid one, which changes the first bulk route.
    FirstBulkRoute(FirstBulkRoute),
}

/// The operators, and the platform.
pub struct Operators {
    host: usize,
    ballast: usize,
    first_bulk: FirstBulkRoute,
    /// Between two reads of the configuration while changes come and go.
    peek_every: Option<Duration>,
    tasks: BTreeMap<u64, Task>,
    ends: BTreeMap<End, u64>,
    next: u64,
    /// The newest version that an operator knows of.
    known: u64,
    highest: u64,
    /// Misses in a row, by machine.
    missed: Vec<u32>,
    /// Acknowledgements that came: version, and the machine's host.
    pub acknowledged: Vec<(u64, usize)>,
    /// Machines that are empty now.
    pub emptied: Vec<String>,
    /// Roll-outs that were acknowledged since this was last looked at, each with the machine's host.
    pub rollouts_begun: Vec<(RolloutOrder, usize)>,
    /// Roll-outs whose end was shown since this was last looked at.
    pub rollouts_ended: Vec<(RolloutOrder, RolloutState)>,
    acknowledged_rollouts: Vec<RolloutOrder>,
    shown: bool,
    waiting: Vec<Change>,
    /// The share of answers to orders that are lost on their way.
    pub lost_answers: f64,
}

impl Operators {
    /// Operators at a place, who send and read configurations as a scenario says.
    pub fn new(host: usize, load: &Load) -> Operators {
        Operators {
            host,
            ballast: load.ballast_routes,
            first_bulk: FirstBulkRoute::default(),
            peek_every: (load.reads_per_s > 0.0).then(|| Duration::from_seconds(1.0 / load.reads_per_s)),
            tasks: BTreeMap::new(),
            ends: BTreeMap::new(),
            next: 8,
            known: 0,
            highest: 0,
            missed: Vec::new(),
            acknowledged: Vec::new(),
            emptied: Vec::new(),
            rollouts_begun: Vec::new(),
            rollouts_ended: Vec::new(),
            acknowledged_rollouts: Vec::new(),
            shown: false,
            waiting: Vec::new(),
            lost_answers: 0.0,
        }
    }

    /// The platform begins to check.
    pub fn begin(&mut self, stage: &mut Stage<'_>) {
        wake(stage, stage.now() + CHECK_INTERVAL, CHECK, 0);
        if self.peek_every.is_some() {
            wake(stage, stage.now() + CHECK_INTERVAL, PEEK, 0);
        }
    }

    fn peek(&mut self, stage: &mut Stage<'_>) {
        let Some(every) = self.peek_every else { return };
        wake(stage, stage.now() + every, PEEK, 0);
        self.add(Order::Peek, Vec::new(), Duration::from_nanos(0), stage);
    }

    /// A change was acknowledged: each node is asked for the configuration at once.
    pub fn peek_everywhere(&mut self, stage: &mut Stage<'_>) {
        let nodes = stage.machines.iter().filter(|m| m.class == Class::Edge && m.listed && m.life.is_some());
        let nodes: Vec<SocketAddrV4> = nodes.map(super::stage::Machine::control).collect();
        for node in nodes {
            self.add(Order::PeekAt { node }, Vec::new(), Duration::from_nanos(0), stage);
        }
    }

    /// Sends a change, once no other is under way.
    pub fn change(&mut self, change: Change, stage: &mut Stage<'_>) {
        if self.tasks.values().any(|task| task.order.holds_changes_up()) {
            if self.waiting.len() < 6 {
                self.waiting.push(change);
            }
            return;
        }
        match change {
            Change::Valid => self.send_next_version(None, stage),
            Change::Race => {
                self.send_next_version(None, stage);
                self.send_next_version(None, stage);
            }
            Change::SameNumber => {
                self.send_next_version(None, stage);
                self.send_version(self.highest, self.ballast + 1, None, stage);
            }
            Change::Wrong(wrong) => self.send_next_version(Some(wrong), stage),
            Change::FirstBulkRoute(first_bulk) => {
                self.first_bulk = first_bulk;
                self.send_next_version(None, stage);
            }
        }
    }

    fn send_next_version(&mut self, wrong: Option<Wrong>, stage: &mut Stage<'_>) {
        let base = self.known;
        let step = stage.hub.random.random_range(1..4);
        self.highest = self.highest.max(base) + step;
        let number = if wrong == Some(Wrong::OldVersion) { base } else { self.highest };
        self.send_version(number, self.ballast, wrong, stage);
    }

    fn send_version(&mut self, number: u64, ballast: usize, wrong: Option<Wrong>, stage: &mut Stage<'_>) {
        let base = self.known;
        let routes = routes(number, base, ballast, self.first_bulk);
        let body = configuration(number, &routes, wrong, stage.judge.quota);
        let now = stage.now();
        let known =
            routes.iter().map(|route| (route.prefix.clone(), vec![route.service.to_owned()])).collect();
        let valid = wrong.is_none() && number > base;
        stage.judge.version_sent(Version {
            number,
            base,
            body: body.clone(),
            routes: known,
            valid,
            sent: now,
            acknowledged: None,
            refused: false,
            taken: false,
        });
        self.add(Order::Replace { number, base, valid }, body, SEND_DURATION, stage);
    }

    /// Has a storage machine emptied.
    pub fn retire(&mut self, node: &str, stage: &mut Stage<'_>) {
        let order = Order::Retire { node: node.to_owned(), begins: true };
        self.add(order, b"{\"ramp_s\":5}".to_vec(), SEND_DURATION, stage);
    }

    /// Reads the configuration back until it comes.
    pub fn show(&mut self, stage: &mut Stage<'_>) {
        self.add(Order::Show { last: true }, Vec::new(), Duration::from_millis(60_000), stage);
    }

    /// What never came.
    pub fn close(&mut self, stage: &mut Stage<'_>) {
        if !self.shown {
            let now = stage.now();
            stage.judge.never_shown(now);
        }
    }

    fn add(&mut self, order: Order, body: Vec<u8>, within: Duration, stage: &mut Stage<'_>) {
        self.next += 1;
        let now = stage.now();
        let task = Task {
            order,
            body,
            since: now,
            until: now + within,
            pause: Duration::from_millis(30),
            others: 0,
            call: None,
            called: now,
            to: None,
            answer_lost: false,
        };
        self.tasks.insert(self.next, task);
        self.send(self.next, stage);
    }

    fn send(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let to = match &task.order {
            Order::Ready { machine } => Some(stage.machines[*machine].readiness()),
            Order::PeekAt { node } => Some(*node),
            _ => {
                let nodes = stage.machines.iter().filter(|m| m.class == Class::Edge && m.listed);
                let nodes: Vec<SocketAddrV4> = nodes.map(super::stage::Machine::control).collect();
                nodes.get(stage.hub.random.random_range(0..nodes.len().max(1))).copied()
            }
        };
        let Some(to) = to else { return wake(stage, now + Duration::from_millis(200), AGAIN, number) };
        let host = to.to_string();
        let base_text;
        let (method, target, mut headers) = match &task.order {
            Order::Replace { base, .. } => {
                base_text = base.to_string();
                (
                    "POST",
                    "/api/Configuration.Replace".to_owned(),
                    vec![(names::BASE_VERSION, base_text.as_str())],
                )
            }
            Order::Show { .. } | Order::Peek | Order::PeekAt { .. } => {
                ("GET", "/api/Configuration.Show".to_owned(), Vec::new())
            }
            Order::Retire { node, begins: true } => ("POST", format!("/api/Retire.Begin/{node}"), Vec::new()),
            Order::Retire { node, begins: false } => ("GET", format!("/api/Retire.Show/{node}"), Vec::new()),
            Order::Ready { .. } => ("GET", "/api/readiness".to_owned(), Vec::new()),
            Order::BeginRollout(_) => ("POST", "/api/Rollouts.Begin".to_owned(), Vec::new()),
            Order::ShowRollout { order, .. } => {
                ("GET", format!("/api/Rollouts.Show/{}", order.service), Vec::new())
            }
        };
        headers.push(("Host", host.as_str()));
        headers.push(("Connection", "close"));
        let bytes = request(method, &target, &headers, &task.body);
        let end = stage.hub.dial(Owner::Operators, self.host, to, 0);
        task.call = Some(HttpCall::new(end, method, bytes));
        task.called = now;
        task.to = Some(to);
        let within = if matches!(task.order, Order::Ready { .. }) { CHECK_TIMEOUT } else { SILENCE };
        self.ends.insert(end, number);
        wake(stage, now + within, EXPIRES, number);
    }

    /// Something can be done at an end.
    pub fn socket(&mut self, end: End, stage: &mut Stage<'_>) {
        let Some(number) = self.ends.get(&end).copied() else { return };
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let Some(call) = &mut task.call else { return };
        let progress = call.advance(stage.hub);
        if progress == Progress::Pending {
            return;
        }
        let status = call.status.filter(|_| progress == Progress::Done);
        let body = std::mem::take(&mut call.body);
        self.end_call(number, stage);
        let status = if self.loses_answer(number, status, stage) { None } else { status };
        self.answered(number, status, &body, stage);
    }

    /// Whether the answer to an order gets lost on its way.
    fn loses_answer(&mut self, number: u64, status: Option<u16>, stage: &mut Stage<'_>) -> bool {
        let Some(task) = self.tasks.get_mut(&number) else { return false };
        let is_order = matches!(
            task.order,
            Order::Replace { .. } | Order::Retire { begins: true, .. } | Order::BeginRollout(_)
        );
        if !is_order || self.lost_answers == 0.0 || !stage.hub.random.random_bool(self.lost_answers) {
            return false;
        }
        task.answer_lost = true;
        if let (Order::Replace { number, base, .. }, Some(200)) = (&task.order, status) {
            let order = SentOrder { number: *number, base: *base, body: &task.body };
            stage.judge.version_taken(order);
        }
        true
    }

    fn end_call(&mut self, number: u64, stage: &mut Stage<'_>) {
        if let Some(call) = self.tasks.get_mut(&number).and_then(|task| task.call.take()) {
            self.ends.remove(&call.end);
            stage.hub.close(call.end);
        }
    }

    /// A timer.
    pub fn wake(&mut self, token: u64, stage: &mut Stage<'_>) {
        let number = token >> 3;
        match token & 7 {
            CHECK => self.check(stage),
            PEEK => self.peek(stage),
            EXPIRES => {
                let Some(task) = self.tasks.get(&number) else { return };
                let within = if matches!(task.order, Order::Ready { .. }) { CHECK_TIMEOUT } else { SILENCE };
                if task.call.is_some() && stage.now() >= task.called + within {
                    self.end_call(number, stage);
                    self.answered(number, None, b"", stage);
                }
            }
            AGAIN if self.tasks.get(&number).is_some_and(|task| task.call.is_none()) => {
                self.send(number, stage);
            }
            _ => {}
        }
    }

    fn check(&mut self, stage: &mut Stage<'_>) {
        wake(stage, stage.now() + CHECK_INTERVAL, CHECK, 0);
        self.missed.resize(stage.machines.len(), 2);
        for machine in 0..stage.machines.len() {
            if stage.machines[machine].class == Class::Edge && stage.machines[machine].listed {
                self.add(Order::Ready { machine }, Vec::new(), CHECK_TIMEOUT, stage);
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of task")]
    fn answered(&mut self, number: u64, status: Option<u16>, body: &[u8], stage: &mut Stage<'_>) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let now = stage.now();
        let host = task.to.and_then(|to| stage.hub.host_of(*to.ip())).unwrap_or(0);
        match (task.order.clone(), status) {
            (Order::Ready { machine }, status) => {
                self.tasks.remove(&number);
                let missed = if status == Some(200) { 0 } else { self.missed[machine] + 1 };
                self.missed[machine] = missed;
                if missed == 0 || missed >= 2 {
                    stage.machines[machine].ready = missed == 0;
                }
            }
            (Order::Peek | Order::PeekAt { .. }, status) => {
                let sent = task.since;
                self.tasks.remove(&number);
                if status == Some(200) {
                    stage.judge.peeked(body, sent, now);
                }
            }
            (Order::Replace { number: version, base, .. }, Some(200)) => {
                let (since, answer_lost) = (task.since, task.answer_lost);
                let body = std::mem::take(&mut task.body);
                self.tasks.remove(&number);
                self.known = self.known.max(version);
                stage.judge.version_acknowledged(SentOrder { number: version, base, body: &body }, now);
                if !answer_lost {
                    stage.judge.unacknowledged(&format!("version {version}"), since, now);
                }
                self.acknowledged.push((version, host));
                self.next_change(stage);
            }
            (Order::Replace { number: version, base, .. }, Some(400 | 409 | 412 | 413 | 422)) => {
                let body = std::mem::take(&mut task.body);
                self.tasks.remove(&number);
                stage.judge.version_refused(SentOrder { number: version, base, body: &body }, now);
                // Another version is in force, perhaps: it is read before the next change.
                self.add(Order::Show { last: false }, Vec::new(), SEND_DURATION, stage);
            }
            (Order::Show { last }, Some(200)) => {
                self.tasks.remove(&number);
                self.shown |= last;
                if let Some(version) = stage.judge.shown(Some(body), now, last) {
                    self.known = self.known.max(version);
                }
                self.next_change(stage);
            }
            (Order::Show { last }, Some(404)) => {
                self.tasks.remove(&number);
                self.shown |= last;
                let _ = stage.judge.shown(None, now, last);
            }
            (Order::Retire { node, begins: true }, Some(200)) => {
                self.tasks.remove(&number);
                let order = Order::Retire { node, begins: false };
                self.add(order, Vec::new(), Duration::from_millis(20_000), stage);
            }
            (Order::BeginRollout(order), Some(200)) => {
                let (since, answer_lost) = (task.since, task.answer_lost);
                self.tasks.remove(&number);
                if !answer_lost {
                    stage.judge.unacknowledged(&order.to_string(), since, now);
                }
                self.rollout_begun(order, host, stage);
            }
            (Order::ShowRollout { .. }, Some(status @ (200 | 404))) => {
                self.rollout_shown(number, status, body, now, stage);
            }
            (Order::Retire { begins: true, .. }, Some(404 | 409)) => drop(self.tasks.remove(&number)),
            (Order::Retire { node, begins: false }, Some(200))
                if body.windows(8).any(|partition| partition == b"complete") =>
            {
                self.tasks.remove(&number);
                self.emptied.push(node);
            }
            _ => self.later(number, stage),
        }
    }

    fn later(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.others += 1;
        if now >= task.until {
            let (order, since, answer_lost) = (task.order.clone(), task.since, task.answer_lost);
            if let Order::ShowRollout { last: false, .. } = order {
                return wake(stage, now + rollouts::SHOW_INTERVAL, AGAIN, number);
            }
            self.tasks.remove(&number);
            if let Order::BeginRollout(order) = &order
                && !answer_lost
            {
                stage.judge.unacknowledged(&order.to_string(), since, now);
            }
            if let Order::Replace { number: version, valid: true, .. } = order
                && !answer_lost
            {
                stage.judge.unacknowledged(&format!("version {version}"), since, now);
            }
            if !matches!(order, Order::Show { .. }) {
                self.add(Order::Show { last: false }, Vec::new(), SEND_DURATION, stage);
            }
            return;
        }
        task.pause = task.pause.scaled(1.5).min(Duration::from_millis(600));
        let pause = task.pause;
        wake(stage, now + pause, AGAIN, number);
    }

    fn next_change(&mut self, stage: &mut Stage<'_>) {
        if !self.waiting.is_empty() {
            let change = self.waiting.remove(0);
            self.change(change, stage);
        }
    }
}

fn wake(stage: &mut Stage<'_>, at: Instant, kind: u64, value: u64) {
    stage.hub.schedule(at, Happening::Wake { owner: Owner::Operators, token: kind | (value << 3) });
}

//! Where the server side and the client side meet. What happens on one side is told here, one method for each
//! thing; the decisions are asked, and act at once on the other side through their host. Nothing is decided
//! here.

use crate::memory::clock::Clock;
use crate::memory::counters::Counters;
use crate::memory::executors::Executors as Directory;
use crate::memory::ledger::{Known, Ledger, moment, ms};
use crate::memory::list::Version;
use crate::memory::parts::Spends;
use crate::memory::units::{Errand, UnitIds, Units};
use crate::sides::{CallerId, Front, List, Pushes, Relatives, Talk, Workers};
use crate::wire::call_backs::{CallBack, State};
use crate::wire::load::Reports;
use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::ids::{AttemptId, ExecutorId, RequestId, fixed_hash};
use grebeusher_dispatch::learned::{LearnedKind, LearnedState};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{Arrival, AttemptOutcome, ExecutorStatus, ListUpdate, ListedExecutor, LoadReport};
use grebeusher_faktory::reservations;
use grebeusher_job_log::book::{Due, Job};
use grebeusher_maintenance::{Plan, Seen, View, ZoneSeen};
use grebeusher_node_config::DeploymentSettings;
use grebeusher_transport::alarms::Alarms;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// How long after giving up a job that did not get through it is tried again, while the unit waits for it: a
/// little over the time in which connections come up, so that a restarted executor is met soon.
const GIVE_UP_AGAIN: Duration = Duration::from_millis(300);

/// What both sides know.
#[derive(Default)]
struct Desk {
    units: Units,
    executors: Directory,
    alarms: Alarms<u64>,
    /// When to stop waiting for an allocation.
    time_outs: Alarms<AttemptId>,
    /// Allocations that were not sent, as they could not be written down or nobody waits for them.
    unsent: Vec<AttemptId>,
    /// Units whose clients were found to have left.
    left: Vec<RequestId>,
    /// Jobs to be given up once more.
    give_ups: Alarms<AttemptId>,
    /// Units that want a further allocation for which there was no part of a budget.
    seek_further: BTreeSet<RequestId>,
}

/// The hands of the decisions: what they say is done at once.
#[derive(Clone)]
struct Hands {
    clock: Clock,
    counters: Rc<Counters>,
    desk: Rc<RefCell<Desk>>,
    clients: Rc<dyn Front>,
    executors: Rc<dyn Workers>,
    discovery: Rc<dyn List>,
    faktory: Option<Rc<dyn Pushes>>,
    ledger: Option<Rc<Ledger>>,
    fellows: Option<Rc<dyn Talk>>,
    tariffs: Rc<[String]>,
    /// Whether executors may be asked to give up a job, and must be before another has it.
    recalls: bool,
    asks_back: bool,
}

impl Hands {
    /// The final answer, once.
    fn answer(&self, unit: RequestId, status: u16, come_back: Option<Duration>, body: &[u8]) {
        let lasting = self.lasting(unit);
        let first = {
            let mut desk = self.desk.borrow_mut();
            desk.seek_further.remove(&unit);
            let first = desk.units.answered(unit);
            // Guards against units kept for ever that were answered before anything was sent for them.
            desk.units.tidy(unit);
            first
        };
        if first {
            if let Some((ledger, errand)) = lasting {
                return self.answer_lasting(ledger, &errand.call_id, &errand.tariff, status, body);
            }
            let pushed = self.faktory.as_ref().is_some_and(|faktory| faktory.answer(unit, status));
            if pushed {
                return;
            }
            self.clients.answer(unit, status, come_back, body);
        }
    }

    /// The ledger and the errand of a unit that outlives the process. Where there is no ledger none does.
    fn lasting(&self, unit: RequestId) -> Option<(&Ledger, Rc<Errand>)> {
        let ledger = self.ledger.as_deref()?;
        let errand = self.desk.borrow().units.errand(unit)?;
        errand.lasts.then_some((ledger, errand))
    }

    /// The final answer to a job that outlives the process: written down, to be asked for.
    fn answer_lasting(&self, ledger: &Ledger, id: &str, tariff: &str, status: u16, result: &[u8]) {
        ledger.answered(id, status, result);
        if let Some(tariff) = self.tariffs.iter().position(|name| name == tariff) {
            self.counters.answered(tariff, status);
        }
    }

    fn give_up(&self, id: AttemptId) {
        let desk = self.desk.borrow();
        let Some((executor, accepted, errand)) = desk.units.still_out(id) else { return };
        if let Some(faktory) = self.faktory.as_ref().filter(|_| desk.executors.worker(executor).is_some()) {
            return faktory.withdraw(id);
        }
        // Before it was taken only a connection is closed, which asks nothing of the executor.
        if self.recalls || !accepted {
            self.executors.give_up(id, executor, desk.executors.address(executor), &errand, accepted);
        }
    }
}

impl Host for Hands {
    fn send_attempt(&mut self, unit: RequestId, executor: ExecutorId, time_out: Duration) {
        let mut desk = self.desk.borrow_mut();
        let address = desk.executors.address(executor);
        let Some((id, errand)) = desk.units.allocated(unit, executor) else { return };
        // The last step before the first byte. Guards against work of a client that has left while a timer, an answer or
        // another's end was worked on.
        if !self.clients.waits(unit) {
            desk.left.push(unit);
            return desk.unsent.push(id);
        }
        let name = desk.executors.name(executor);
        debug!(
            unit = unit.0,
            call = &*errand.call_id,
            number = id.number,
            executor = name,
            "unit {} to {name}",
            unit.0
        );
        let alarm = desk.time_outs.set(self.clock.now() + time_out, id);
        desk.units.times_out(id, alarm);
        if let Some(ledger) = self.ledger.as_ref().filter(|_| errand.lasts) {
            let name = desk.executors.name(executor);
            if ledger.sent(&errand.call_id, id.number, name, errand.binding).is_err() {
                // What is not on disk must not be on its way: a crash would send it a second time.
                return desk.unsent.push(id);
            }
        }
        match (&self.faktory, desk.executors.worker(executor)) {
            (Some(faktory), Some(worker)) => {
                self.counters.allocations.up();
                if !faktory.hand(worker, id, &errand, time_out) {
                    faktory.not_handed(id);
                }
            }
            _ => self.executors.allocate(id, executor, address, &errand, time_out),
        }
    }

    fn may_retry(&mut self, unit: RequestId) -> bool {
        let Some(fellows) = &self.fellows else { return true };
        let mut desk = self.desk.borrow_mut();
        let Some(errand) = desk.units.errand(unit) else { return true };
        // One that asks again is the same that was refused.
        let may = match desk.seek_further.contains(&unit) {
            true => fellows.may_spend_after_all(Spends::FurtherAllocation, errand.of),
            false => fellows.may_spend(Spends::FurtherAllocation, errand.of),
        };
        if may {
            desk.seek_further.remove(&unit)
        } else {
            desk.seek_further.insert(unit)
        };
        may
    }

    fn cancel(&mut self, allocation: AttemptId) {
        self.give_up(allocation);
    }

    fn reject(&mut self, unit: RequestId, come_back: Option<Duration>) {
        self.answer(unit, 503, come_back, b"");
    }

    fn fail(&mut self, unit: RequestId) {
        self.answer(unit, 500, None, b"");
    }

    fn set_timer(&mut self, after: Duration, alarm: u64) {
        self.desk.borrow_mut().alarms.set(self.clock.now() + after, alarm);
    }

    fn probe(&mut self, executor: ExecutorId) {
        let address = self.desk.borrow().executors.address(executor);
        self.executors.probe(executor, address);
    }

    /// Only where the operators have named fellows: the users' protocol has no form for words between nodes.
    fn send_load(&mut self, node: Option<u64>, word: &[u8]) {
        if let Some(fellows) = &self.fellows {
            fellows.tell(node, word);
        }
    }

    fn watch_executors(&mut self) {
        self.discovery.follow();
    }
}

/// What stands beside the two sides, where it is on.
pub struct Beside {
    pub siblings: Option<Rc<dyn Relatives>>,
    pub faktory: Option<Rc<dyn Pushes>>,
    pub ledger: Option<Rc<Ledger>>,
    pub fellows: Option<Rc<dyn Talk>>,
}

/// What the list said of an executor last.
struct Listed {
    executor: ExecutorId,
    name: String,
    standing: ExecutorStatus,
    /// By the list, or by a newer word of a fellow.
    started: Option<Instant>,
    listed_start: Option<Instant>,
    kind: usize,
    zone: usize,
    cell: usize,
    weight: f64,
}

impl Listed {
    fn listing(&self) -> ListedExecutor<'_> {
        let &Listed { executor, ref name, standing, started, kind, zone, cell, weight, .. } = self;
        ListedExecutor {
            executor,
            name,
            status: standing,
            started,
            kind,
            zone,
            cell,
            weight,
            reports_own_status: false,
        }
    }
}

/// Executors to which nothing may be sent whatever the list says: they drain, as the decisions hear it.
#[derive(PartialEq)]
pub enum Closed {
    /// This node has no word yet of what is closed.
    All,
    /// By the hashes of names.
    These(BTreeSet<u64>),
}

impl Closed {
    fn stands(&self, executor: u64, listed: ExecutorStatus) -> ExecutorStatus {
        let closed = match self {
            Closed::All => true,
            Closed::These(these) => these.contains(&executor),
        };
        if closed && listed == ExecutorStatus::Ready { ExecutorStatus::Draining } else { listed }
    }

    /// What the decisions hear of an executor: one standing, merged of the list and of what is closed.
    fn listing<'a>(&self, executor: u64, known: &'a Listed) -> ListedExecutor<'a> {
        ListedExecutor { status: self.stands(executor, known.standing), ..known.listing() }
    }
}

/// What a node has seen of work, as it is told to another: kinds by their names, as each node numbers them for itself.
#[derive(Serialize, Deserialize)]
pub struct Lesson {
    sizes: Vec<(f32, f32)>,
    kinds: Vec<(String, (f32, f32, f32))>,
}

pub struct Exchange {
    hands: Hands,
    counters: Rc<Counters>,
    dispatcher: Dispatcher<Hands>,
    reports: Reports,
    zones: Vec<String>,
    kinds: Vec<String>,
    listed: bool,
    /// What the list said, by the hash of each name; only where there are fellows.
    known: BTreeMap<u64, Listed>,
    /// Executors whose process is gone, by own evidence or a fellow's word, and when they were last kept cold.
    gone: BTreeSet<ExecutorId>,
    kept_cold: Instant,
    /// Units for which there is no part of a budget yet, and until when they wait for one.
    awaiting: VecDeque<(Instant, RequestId, Errand, Arrival)>,
    /// What the fleet has closed.
    closed: Closed,
    /// Where this node stopped waiting for something that may still run, and when; only where machines are closed.
    unsure: Option<BTreeMap<(ExecutorId, Rc<str>), Instant>>,
    own_zone: usize,
    /// The place of who is no customer.
    stranger: usize,
    unit_ids: UnitIds,
    /// Other processes of this node, where there may be some.
    siblings: Option<Rc<dyn Relatives>>,
}

impl Exchange {
    pub fn open(
        seed: u64,
        settings: &DeploymentSettings,
        unit_ids: &UnitIds,
        (clients, executors, discovery): (Rc<dyn Front>, Rc<dyn Workers>, Rc<dyn List>),
        Beside { siblings, faktory, ledger, fellows }: Beside,
        (clock, counters): (Clock, &Rc<Counters>),
    ) -> Exchange {
        let hands = Hands {
            clock,
            counters: counters.clone(),
            desk: Rc::default(),
            clients,
            executors,
            discovery,
            faktory,
            ledger,
            fellows: fellows.clone(),
            tariffs: settings.tariff_names.clone().into(),
            recalls: settings.recalls(),
            asks_back: settings.recalls() && !settings.second_copies(),
        };
        Exchange {
            counters: counters.clone(),
            // Whatever the settings says: on sockets the list is told to those who ask, and words go to fellows.
            dispatcher: settings.dispatcher(hands.clone(), seed, true, fellows.is_some()),
            known: BTreeMap::new(),
            gone: BTreeSet::new(),
            kept_cold: Instant(0),
            awaiting: VecDeque::new(),
            closed: Closed::These(BTreeSet::new()),
            unsure: None,
            hands,
            reports: Reports::of(settings),
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
            listed: false,
            own_zone: settings.zone(),
            stranger: settings.customer(None),
            unit_ids: unit_ids.clone(),
            siblings,
        }
    }

    pub fn start(&mut self) {
        self.dispatcher.start(self.hands.clock.now());
    }

    pub fn reports(&self) -> &Reports {
        &self.reports
    }

    /// Whether the list has ever named an executor.
    pub fn knows_executors(&self) -> bool {
        self.listed
    }

    /// How many executors are listed, and how many of these the decisions pass over now.
    pub fn listing(&self) -> (usize, usize) {
        self.dispatcher.executor_counts(self.hands.clock.now())
    }

    /// The fleet has closed these, or opened them again.
    pub fn closes(&mut self, closed: Closed) {
        if closed == self.closed {
            return;
        }
        let before = std::mem::replace(&mut self.closed, closed);
        let changed = self.known.iter().filter(|(hash, known)| {
            before.stands(**hash, known.standing) != self.closed.stands(**hash, known.standing)
        });
        let listings: Vec<ListedExecutor> =
            changed.map(|(hash, known)| self.closed.listing(*hash, known)).collect();
        if !listings.is_empty() {
            self.dispatcher.update_executors(self.hands.clock.now(), ListUpdate::Changes, &listings);
        }
    }

    /// What is out at each executor, by the hash of its name; what this node has stopped waiting for less than `longest` ago
    /// may still run and counts.
    pub fn in_hand(&mut self, longest: Duration) -> BTreeMap<u64, u16> {
        const KEPT: Duration = Duration::from_millis(600_000); // few wait longer for what nobody waits for any more
        let now = self.hands.clock.now();
        // Kept from the first time that anybody asks. Guards against a list that grows where nobody ever does.
        let unsure = self.unsure.get_or_insert_default();
        // A plan may begin with a longer unit in its terms than any before. Guards against what ended just before it.
        unsure.retain(|_, since| now.since(*since) < longest.max(KEPT));
        let mut count = self.hands.desk.borrow().units.out_at_all();
        let counts = unsure.iter().filter(|(_, since)| now.since(**since) < longest);
        counts.for_each(|((executor, _), _)| *count.entry(*executor).or_default() += 1);
        let known = self.known.iter();
        known.filter_map(|(hash, known)| Some((*hash, *count.get(&known.executor)?))).collect()
    }

    /// Whether somebody waits for a part of a budget.
    pub fn anybody_waits(&self) -> bool {
        !self.awaiting.is_empty()
    }

    /// What the list says, by zones, and of these executors.
    pub fn view(&self, watched: impl Iterator<Item = u64>) -> View {
        let mut zones: BTreeMap<usize, ZoneSeen> = BTreeMap::new();
        for known in self.known.values() {
            let zone = zones.entry(known.zone).or_insert_with(|| ZoneSeen {
                zone: self.zones.get(known.zone).cloned().unwrap_or_default(),
                ..ZoneSeen::default()
            });
            zone.listed += 1;
            zone.ready += u32::from(known.standing == ExecutorStatus::Ready);
        }
        let seen = |machine: u64| {
            let known = self.known.get(&machine)?;
            let started_ms = known.listed_start.map_or(0, |at| at.0 / 1_000_000);
            Some(Seen { machine, ready: known.standing == ExecutorStatus::Ready, started_ms })
        };
        View { zones: zones.into_values().collect(), machines: watched.filter_map(seen).collect() }
    }

    /// Puts the executors that a plan means by zone or kind into it, and the zone of each; the error names what is not listed.
    pub fn completes(&self, plan: &mut Plan) -> Result<(), String> {
        let placed = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        for (key, named, all) in
            [("of_zones", &plan.of_zones, &self.zones), ("of_kinds", &plan.of_kinds, &self.kinds)]
        {
            if let Some(at) = named.iter().position(|name| !all.contains(name)) {
                let (found, known) = (&named[at], all.join(", "));
                return Err(format!("{key}[{at}]: expected one of {known}, found {found:?}"));
            }
        }
        let mut meant: Vec<&Listed> = self
            .known
            .values()
            .filter(|known| {
                known.standing != ExecutorStatus::Gone
                    && (plan.of_zones.contains(&placed(&self.zones, known.zone))
                        || plan.of_kinds.contains(&placed(&self.kinds, known.kind)))
            })
            .collect();
        meant.sort_by_key(|known| known.executor);
        for known in meant {
            if !plan.machines.contains(&known.name) {
                plan.machines.push(known.name.clone());
            }
        }
        (plan.of_zones, plan.of_kinds) = (Vec::new(), Vec::new());
        plan.zones.clear();
        for (at, name) in plan.machines.iter().enumerate() {
            let known = self.known.get(&fixed_hash(name));
            let known =
                known.ok_or_else(|| format!("machines[{at}]: expected a listed executor, found {name:?}"))?;
            plan.zones.push(placed(&self.zones, known.zone));
        }
        plan.check()
    }

    pub fn has_in_hand(&self, call_id: &str) -> bool {
        let settles = |ledger: &Rc<Ledger>| ledger.is_settling(call_id);
        self.hands.desk.borrow().units.find(call_id).is_some()
            || self.hands.ledger.as_ref().is_some_and(settles)
    }

    /// Whether an executor of this name was ever listed.
    pub fn knows(&self, executor: &str) -> bool {
        self.hands.desk.borrow().executors.find(executor).is_some()
    }

    pub fn next_due(&self) -> Option<Instant> {
        let desk = self.hands.desk.borrow();
        if !desk.unsent.is_empty() || !desk.left.is_empty() {
            return Some(Instant(0));
        }
        let settles = self.hands.ledger.as_ref().and_then(|ledger| ledger.next_due());
        let waits = self.awaiting.front().map(|(until, ..)| *until);
        let dues = [waits, desk.alarms.next_at(), desk.time_outs.next_at(), desk.give_ups.next_at(), settles];
        dues.into_iter().flatten().min()
    }

    pub fn due(&mut self) {
        let now = self.hands.clock.now();
        self.keeps_cold();
        while self.awaiting.front().is_some_and(|(until, ..)| *until <= now) {
            let Some((_, unit, errand, arrival)) = self.awaiting.pop_front() else { break };
            self.takes(unit, errand, &Arrival { over_budget: true, ..arrival });
        }
        let left = std::mem::take(&mut self.hands.desk.borrow_mut().left);
        left.into_iter().for_each(|unit| self.withdrawn(unit));
        let unsent = std::mem::take(&mut self.hands.desk.borrow_mut().unsent);
        unsent.into_iter().for_each(|id| self.ended(id, AttemptOutcome::SendFailed, None));
        while let Some(job) = self.hands.ledger.as_ref().and_then(|ledger| ledger.due()) {
            self.settled(&job.id, false);
        }
        // The borrow must end before the decisions are asked, which set alarms themselves.
        while let Some(id) = { self.hands.desk.borrow_mut().time_outs.due(now) } {
            self.timed_out(id);
        }
        while let Some(alarm) = { self.hands.desk.borrow_mut().alarms.due(now) } {
            self.dispatcher.timer_fired(self.hands.clock.now(), alarm);
        }
        while let Some(id) = { self.hands.desk.borrow_mut().give_ups.due(now) } {
            self.hands.give_up(id);
        }
    }

    pub fn arrived(&mut self, unit: RequestId, errand: Errand, arrival: &Arrival) {
        let spends = |fellows: &Rc<dyn Talk>| fellows.may_spend(Spends::Unit, errand.of);
        if self.hands.fellows.as_ref().is_some_and(|fellows| !spends(fellows)) {
            // A part may be had from the node that divides; who gets none in time is turned back.
            let until = self.hands.clock.now() + grebeusher_budgets::WAITS;
            return self.awaiting.push_back((until, unit, errand, *arrival));
        }
        self.takes(unit, errand, arrival);
    }

    /// Parts may have come: those who wait for one are looked at in the order in which they came.
    pub fn parts_came(&mut self) {
        let Some(fellows) = self.hands.fellows.clone() else { return };
        for _ in 0..self.awaiting.len() {
            let Some((until, unit, errand, arrival)) = self.awaiting.pop_front() else { return };
            if fellows.may_spend_after_all(Spends::Unit, errand.of) {
                self.takes(unit, errand, &arrival);
            } else {
                self.awaiting.push_back((until, unit, errand, arrival));
            }
        }
        if !self.hands.desk.borrow().seek_further.is_empty() {
            self.dispatcher.serve_queued(self.hands.clock.now());
        }
    }

    fn takes(&mut self, unit: RequestId, errand: Errand, arrival: &Arrival) {
        self.hands.desk.borrow_mut().units.arrived(unit, errand);
        self.dispatcher.request_arrived(self.hands.clock.now(), unit, arrival);
    }

    pub fn has_ledger(&self) -> bool {
        self.hands.ledger.is_some()
    }

    /// Takes work that outlives the process; the status that tells the client so. The same work handed in again, by a
    /// client that did not hear the answer, is taken once.
    pub fn take_to_last(&mut self, errand: Errand, arrival: &Arrival) -> u16 {
        let Some(ledger) = self.hands.ledger.clone() else { return 404 };
        match ledger.known(&errand.call_id) {
            Known::Open | Known::Ended(_) => return 202,
            Known::Nothing if self.has_in_hand(&errand.call_id) => return 409,
            Known::Nothing => {}
        }
        let job = Job {
            id: errand.call_id.to_string(),
            tariff: errand.tariff.clone(),
            binding: errand.binding,
            target: errand.target.clone(),
            headers: errand.headers.clone(),
            body: errand.body.clone(),
            hint_us: arrival.hint.map(|hint| hint.nanos() / 1000),
            taken_ms: ms(self.hands.clock.now()),
            ends_ms: ms(arrival.deadline),
        };
        self.counters.units.up();
        if ledger.taken(job).is_err() {
            self.counters.turned_back.up(arrival.class);
            return 503;
        }
        self.arrived(self.unit_ids.take(), errand, arrival);
        202
    }

    /// What became of work that outlives the process, by its id: the status, and the result if there is one.
    pub fn lasting(&self, id: &str) -> (u16, Vec<u8>) {
        match self.hands.ledger.as_ref().map(|ledger| ledger.known(id)) {
            None | Some(Known::Nothing) => (404, Vec::new()),
            Some(Known::Open) => (202, Vec::new()),
            Some(Known::Ended(answer)) => (answer.status, answer.result),
        }
    }

    pub fn lasting_open(&self) -> usize {
        self.hands.ledger.as_ref().map_or(0, |ledger| ledger.open_jobs())
    }

    /// Does what is due after the last life.
    pub fn recover(&mut self) {
        let Some(ledger) = self.hands.ledger.clone() else { return };
        for (job, due) in ledger.recover() {
            match due {
                Due::Anew => self.place_anew(job),
                Due::Forfeit => self.hands.answer_lasting(&ledger, &job.id, &job.tariff, 500, b""),
                Due::TurnBack => self.hands.answer_lasting(&ledger, &job.id, &job.tariff, 503, b""),
                Due::Settle => {}
            }
        }
    }

    /// A job of an earlier life that has not run, or may run again, is placed as if it had just come.
    fn place_anew(&mut self, job: Job) {
        let Some(tariff) = self.hands.tariffs.iter().position(|name| *name == job.tariff) else {
            // A tariff that is no more: nothing can run it.
            let Some(ledger) = self.hands.ledger.clone() else { return };
            return self.hands.answer_lasting(&ledger, &job.id, &job.tariff, 503, b"");
        };
        let arrival = Arrival {
            class: tariff,
            customer: self.stranger,
            deadline: moment(job.ends_ms),
            repeat: false,
            hint: job.hint_us.map(|us| Duration::from_nanos(us.saturating_mul(1000))),
            slots: 1.0,
            over_budget: false,
        };
        let Job { id, tariff, target, headers, body, binding, .. } = job;
        let (call_id, of) = (id.into(), (arrival.class, arrival.customer));
        let errand =
            Errand { call_id, tariff, target, headers, body, binding, of, lasts: true, pushed: None };
        self.arrived(self.unit_ids.take(), errand, &arrival);
    }

    /// Nothing more is heard of a job of an earlier life, or it has failed, or was handed back unstarted.
    fn settled(&mut self, id: &str, never_ran: bool) {
        let Some(ledger) = self.hands.ledger.clone() else { return };
        let Some(job) = ledger.settled(id, never_ran) else { return };
        let over = moment(job.ends_ms) <= self.hands.clock.now();
        if job.binding && !never_ran {
            self.hands.answer_lasting(&ledger, &job.id, &job.tariff, 500, b"");
        } else if over {
            self.hands.answer_lasting(&ledger, &job.id, &job.tariff, 503, b"");
        } else {
            self.place_anew(job);
        }
    }

    /// An executor tells of a job of an earlier life.
    fn called_back_of_before(&mut self, ledger: &Ledger, call: CallBack) {
        match call.state {
            State::Started | State::Running => ledger.runs(&call.id),
            State::Done { result } => {
                if let Some(job) = ledger.settled(&call.id, false) {
                    self.hands.answer_lasting(ledger, &job.id, &job.tariff, 200, result.as_bytes());
                }
            }
            State::Failed | State::Lost => self.settled(&call.id, false),
            State::Returned => self.settled(&call.id, true),
            State::Other => {}
        }
    }

    /// The client left: no answer is owed.
    pub fn withdrawn(&mut self, unit: RequestId) {
        self.awaiting.retain(|(_, waits, ..)| *waits != unit);
        self.hands.desk.borrow_mut().seek_further.remove(&unit);
        self.hands.desk.borrow_mut().units.answered(unit);
        self.dispatcher.finish(unit);
        self.hands.desk.borrow_mut().units.tidy(unit);
    }

    /// The executor took the job.
    pub fn accepted(&mut self, id: AttemptId) {
        self.counters.accepted.up();
        let executor = {
            let mut desk = self.hands.desk.borrow_mut();
            desk.units.accepted(id);
            // Only where some are gone does it matter whose it is.
            let out = if self.gone.is_empty() { None } else { desk.units.still_out(id) };
            out.map(|(executor, ..)| executor)
        };
        executor.into_iter().for_each(|executor| self.process_answers(executor));
    }

    /// What an executor tells of a job. Told before the 202, told again, or of what is over or was another
    /// life's: acted on once or not at all.
    pub fn called_back(&mut self, call: CallBack) {
        if let Some(ledger) = self.hands.ledger.clone().filter(|ledger| ledger.is_settling(&call.id)) {
            return self.called_back_of_before(&ledger, call);
        }
        let (unit, executor) = {
            let desk = self.hands.desk.borrow();
            (desk.units.find(&call.id), desk.executors.find(&call.from))
        };
        // Whoever has told of an end has nothing of it any more, though nobody waited.
        let over = matches!(call.state, State::Done { .. } | State::Failed | State::Returned | State::Lost);
        if let (Some(executor), Some(unsure)) = (executor.filter(|_| over), &mut self.unsure) {
            unsure.remove(&(executor, call.id.as_str().into()));
        }
        let found = unit.zip(executor);
        let Some((unit, executor)) = found else { return self.counters.call_backs_unknown.up() };
        let out = self.hands.desk.borrow().units.out_at(unit, executor);
        let report = self.reports.object(&call.load);
        match (out, call.state) {
            (Some(id), State::Started | State::Running) => {
                // It has the job, though its 202 may still be on the way: to close the connection now would
                // not give it up.
                self.hands.desk.borrow_mut().units.accepted(id);
                self.dispatcher.attempt_progressed(self.hands.clock.now(), id, executor);
            }
            (Some(id), State::Done { result }) => {
                self.hands.answer(unit, 200, None, result.as_bytes());
                self.ended(id, AttemptOutcome::Served, report);
            }
            (Some(id), State::Failed) => self.ended(id, AttemptOutcome::Error, report),
            (Some(id), State::Returned) => self.ended(id, AttemptOutcome::Full, report),
            (Some(id), State::Lost) => self.ended(id, AttemptOutcome::Reset, report),
            // The connection broke and yet the job was done: its result is as good as any.
            (None, State::Done { result }) if !self.hands.desk.borrow().units.is_answered(unit) => {
                self.counters.late_results.up();
                self.hands.answer(unit, 200, None, result.as_bytes());
                self.withdrawn(unit);
            }
            _ => self.counters.call_backs_unknown.up(),
        }
    }

    /// A call-back for a unit that this process does not have goes to the others, if there are any.
    pub fn pass_on(&self, caller: CallerId, body: &[u8]) -> bool {
        self.siblings.as_ref().is_some_and(|siblings| siblings.pass_on(caller, body))
    }

    /// What the others made of it: it is answered as its owner answers it. If they said nothing the executor has to
    /// come again: the unit may still be theirs.
    pub fn passed_on(&mut self, caller: CallerId, taken: Option<bool>) {
        match taken {
            Some(true) => self.counters.call_backs_passed_on.up(),
            Some(false) => self.counters.call_backs_unknown.up(),
            None => self.counters.call_backs_put_off.up(),
        }
        self.hands.clients.passed_on(caller, if taken.is_some() { 204 } else { 503 });
    }

    /// A call-back that came to another process of this node; whether the unit is this one's.
    pub fn take_passed(&mut self, body: &[u8]) -> bool {
        let call = serde_json::from_slice::<CallBack>(body).ok().filter(|call| self.has_in_hand(&call.id));
        call.map(|call| self.called_back(call)).is_some()
    }

    /// Whether another process of this node sends to cold executors.
    pub fn cold_elsewhere(&mut self, elsewhere: bool) {
        self.dispatcher.set_slow_start_elsewhere(self.hands.clock.now(), elsewhere);
    }

    /// Whether an allocation that waited for its connection may still be written to it.
    pub fn may_begin(&mut self, id: AttemptId, executor: ExecutorId) -> bool {
        let waits = self.hands.clients.waits(id.request);
        if !waits {
            self.hands.desk.borrow_mut().left.push(id.request);
        }
        waits && self.dispatcher.may_send_now(self.hands.clock.now(), id, executor)
    }

    /// An allocation ended; what had ended before has nothing more to say.
    pub fn ended(&mut self, id: AttemptId, ending: AttemptOutcome, report: Option<LoadReport>) {
        let executor = {
            let mut desk = self.hands.desk.borrow_mut();
            let Some((executor, alarm)) = desk.units.ended(id) else { return };
            alarm.inspect(|&alarm| desk.time_outs.unset(alarm));
            executor
        };
        match ending {
            AttemptOutcome::Served | AttemptOutcome::NeverSent => {}
            AttemptOutcome::Error => self.counters.ended_error.up(),
            AttemptOutcome::Full => self.counters.ended_full.up(),
            AttemptOutcome::TimedOut => self.counters.ended_timed_out.up(),
            AttemptOutcome::Refused => self.counters.ended_refused.up(),
            AttemptOutcome::Reset => self.counters.ended_reset.up(),
            AttemptOutcome::Cancelled => self.counters.ended_recalled.up(),
            AttemptOutcome::SendFailed => self.counters.ended_cut_off.up(),
            AttemptOutcome::InvalidRequest => self.counters.ended_unusable.up(),
        }
        let ran = matches!(ending, AttemptOutcome::Served | AttemptOutcome::Error);
        if let Some(unsure) = self.unsure.as_mut().filter(|_| !ran && !ending.proves_not_executed()) {
            let errand = self.hands.desk.borrow().units.errand(id.request);
            if let Some(errand) = errand {
                unsure.insert((executor, errand.call_id.clone()), self.hands.clock.now());
            }
        }
        if ending != AttemptOutcome::Served {
            let desk = self.hands.desk.borrow();
            let (unit, executor) = (id.request.0, desk.executors.name(executor));
            debug!(unit, executor, ?ending, "unit {unit} at {executor}: {ending:?}");
        }
        if ending == AttemptOutcome::Served {
            self.process_answers(executor);
        }
        let answered = self.hands.desk.borrow().units.is_answered(id.request);
        if let Some((ledger, errand)) = self.hands.lasting(id.request).filter(|_| !answered) {
            ledger.ended(&errand.call_id, id.number, ending.proves_not_executed());
        }
        self.dispatcher.attempt_ended(self.hands.clock.now(), id, executor, ending, answered, report);
        self.hands.desk.borrow_mut().units.tidy(id.request);
    }

    /// A worker has fetched what was handed to it: it runs.
    pub fn fetched(&mut self, id: AttemptId) {
        self.counters.relayed.up();
        let executor = {
            let mut desk = self.hands.desk.borrow_mut();
            desk.units.accepted(id);
            desk.units.still_out(id).map(|(executor, ..)| executor)
        };
        if let Some(executor) = executor {
            self.counters.accepted.up();
            self.dispatcher.attempt_progressed(self.hands.clock.now(), id, executor);
        }
    }

    /// An allocation is done, with this result.
    pub fn fulfilled(&mut self, id: AttemptId, result: &[u8]) {
        self.hands.answer(id.request, 200, None, result);
        self.ended(id, AttemptOutcome::Served, None);
    }

    /// How a worker of the Faktory front stands: to the decisions it is an executor of this node's own zone.
    pub fn worker_stands(&mut self, worker: usize, wid: &str, standing: reservations::Standing) {
        let name = format!("{WORKER}{wid}");
        let executor = {
            let mut desk = self.hands.desk.borrow_mut();
            let executor = desk.executors.index(&name);
            desk.executors.is_worker(executor, worker);
            executor
        };
        let kind = place(&mut self.kinds, WORKER);
        let listing = worker_listing(executor, &name, standing, kind, self.own_zone);
        self.listed = true;
        self.dispatcher.update_executors(self.hands.clock.now(), ListUpdate::Changes, &[listing]);
    }

    /// The executor did not say in time that it took the job, and the connection is closed, or broke. Where it has told of
    /// a start, that word alone got lost.
    pub fn not_taken(&mut self, id: AttemptId, ending: AttemptOutcome) {
        let Some((executor, taken, errand)) = self.hands.desk.borrow().units.still_out(id) else { return };
        if taken && ending == AttemptOutcome::TimedOut {
            return;
        }
        // It may have the job all the same: its word got lost, or is on the way in this moment, or it comes to what it was
        // sent only now. Guards against a second copy where none is allowed: what it has is asked back first.
        if self.hands.asks_back && !errand.binding {
            let address = self.hands.desk.borrow().executors.address(executor);
            return self.hands.executors.ask_back(id, executor, address, &errand, ending);
        }
        self.ended(id, ending, None);
    }

    /// The node stops waiting, and says so to the executor where that is allowed.
    fn timed_out(&mut self, id: AttemptId) {
        self.hands.give_up(id);
        self.ended(id, AttemptOutcome::TimedOut, None);
    }

    /// Giving up did not get through: the job may run on, so another try is owed while anybody waits for it.
    pub fn not_given_up(&mut self, id: AttemptId) {
        self.counters.give_ups_failed.up();
        let mut desk = self.hands.desk.borrow_mut();
        if desk.units.still_out(id).is_some() {
            desk.give_ups.set(self.hands.clock.now() + GIVE_UP_AGAIN, id);
        }
    }

    pub fn probed(&mut self, executor: ExecutorId, report: Option<LoadReport>) {
        if report.is_none() {
            self.counters.probes_failed.up();
        }
        self.dispatcher.load_reported(self.hands.clock.now(), executor, report);
    }

    /// The executor list, whole or only what changed in it.
    pub fn listed(&mut self, version: &Version) {
        let now = self.hands.clock.now();
        let entries = version.entries(&self.counters);
        let mut listings = Vec::with_capacity(entries.len());
        for entry in &entries {
            let mut desk = self.hands.desk.borrow_mut();
            let executor = desk.executors.index(&entry.instance_id);
            let standing: ExecutorStatus = entry.lifecycle.into();
            match entry.host_port.parse() {
                Ok(address) => desk.executors.listens_at(executor, address),
                Err(e) => {
                    self.counters.list_bad.up();
                    warn!("{} listens at {:?}: {e}", entry.instance_id, entry.host_port);
                }
            }
            let address = desk.executors.address(executor);
            self.hands.executors.forget(executor, address.filter(|_| standing != ExecutorStatus::Gone));
            // A start that lies ahead would keep it cold for as long.
            let started = Instant((entry.started_at_ms.unwrap_or(0.0) * 1e6) as u64).min(now);
            let age = now.since(started).seconds();
            let (executor_name, at) = (entry.instance_id.as_str(), entry.host_port.as_str());
            info!(
                executor = executor_name,
                ?standing,
                age_s = age,
                "list: {executor_name} at {at} is {standing:?}, started {age:.1} s ago"
            );
            listings.push(ListedExecutor {
                executor,
                name: &entry.instance_id,
                status: standing,
                started: Some(started).filter(|at| at.0 > 0),
                kind: place(&mut self.kinds, &entry.machine_type),
                zone: place(&mut self.zones, &entry.zone),
                cell: entry.cell.unwrap_or(0.0) as usize,
                weight: entry.weight.unwrap_or(1.0),
                reports_own_status: false,
            });
        }
        self.listed |= !listings.is_empty();
        // Discovery does not know of workers: a whole list of its own is no word that they are gone.
        let workers = if version.reset { self.workers() } else { Vec::new() };
        let kind = if workers.is_empty() { 0 } else { place(&mut self.kinds, WORKER) };
        for (executor, name, standing) in &workers {
            listings.push(worker_listing(*executor, name, *standing, kind, self.own_zone));
        }
        self.notes(version.reset, &listings);
        for listing in &mut listings {
            listing.status = self.closed.stands(fixed_hash(listing.name), listing.status);
        }
        self.dispatcher.update_executors(now, ListUpdate::complete_if(version.reset), &listings);
    }

    /// Keeps what the list says, and tells the fellows of starts that are new.
    fn notes(&mut self, whole: bool, listings: &[ListedExecutor<'_>]) {
        let Some(fellows) = self.hands.fellows.clone() else { return };
        let before = if whole { std::mem::take(&mut self.known) } else { BTreeMap::new() };
        for &ListedExecutor { executor, name, status: standing, started, kind, zone, cell, weight, .. } in
            listings
        {
            let hash = fixed_hash(name);
            let known = self.known.get(&hash).or_else(|| before.get(&hash)).and_then(|known| known.started);
            if let Some(at) = started.filter(|at| known.is_none_or(|known| known < *at)) {
                fellows.has_seen(hash, at, false);
                self.gone.remove(&executor);
            }
            if standing == ExecutorStatus::Gone {
                self.gone.remove(&executor);
            }
            let (name, listed_start) = (name.to_owned(), started);
            // What a fellow told is newer than a list that does not know of it yet.
            let started = started.max(known);
            let listed = Listed { executor, name, standing, started, listed_start, kind, zone, cell, weight };
            self.known.insert(hash, listed);
        }
    }

    /// Nobody listens any more where an executor was: its process is gone, and what comes back is cold, as the fellows are
    /// told long before the list says so. Guards against all of them pushing it over untold.
    pub fn process_gone(&mut self, executor: ExecutorId) {
        let now = self.hands.clock.now();
        self.has_seen(now, executor, true);
    }

    /// It answers again: from now on it warms up.
    fn process_answers(&mut self, executor: ExecutorId) {
        if self.gone.contains(&executor) {
            let now = self.hands.clock.now();
            self.has_seen(now, executor, false);
        }
    }

    fn has_seen(&mut self, now: Instant, executor: ExecutorId, gone: bool) {
        let Some(fellows) = self.hands.fellows.clone() else { return };
        let hash = fixed_hash(self.hands.desk.borrow().executors.name(executor));
        fellows.has_seen(hash, now, gone);
        self.heard_of(hash, now, gone);
    }

    /// An executor was gone then, or had started by then, which the list has not said here: from now on it counts as cold.
    /// At worst that is too careful.
    pub fn heard_of(&mut self, executor: u64, at: Instant, gone: bool) {
        let now = self.hands.clock.now();
        let at = at.min(now);
        let Some(known) = self.known.get_mut(&executor) else { return };
        if known.standing == ExecutorStatus::Gone || known.started.is_some_and(|started| started >= at) {
            return;
        }
        known.started = Some(at);
        if gone {
            self.gone.insert(known.executor)
        } else {
            self.gone.remove(&known.executor)
        };
        self.counters.words_heard.up();
        let (name, how) = (known.name.as_str(), if gone { "gone" } else { "back" });
        let age_s = now.since(at).seconds();
        debug!(executor = name, gone, age_s, "{name} was {how} {age_s:.1} s ago");
        let listing = self.closed.listing(executor, known);
        self.dispatcher.update_executors(now, ListUpdate::Changes, &[listing]);
    }

    /// Starts that the list has not told, no longer ago than this, and what is gone.
    pub fn seen_lately(&self, within: Duration) -> impl Iterator<Item = (u64, Instant, bool)> {
        let now = self.hands.clock.now();
        let seen = self.known.iter().filter(|(_, known)| known.standing != ExecutorStatus::Gone);
        seen.filter_map(move |(hash, known)| {
            let gone = self.gone.contains(&known.executor);
            let at = known.started.filter(|at| Some(*at) > known.listed_start && now.since(*at) < within)?;
            Some((*hash, at, gone))
        })
    }

    /// What this node has seen, for one that knows less.
    pub fn learnt(&self) -> Lesson {
        let learnt = self.dispatcher.learned();
        let named = |(kind, known): (&usize, &LearnedKind)| {
            let LearnedKind { work_s, slot_s, slots } = *known;
            Some((self.kinds.get(*kind)?.clone(), (work_s as f32, slot_s as f32, slots as f32)))
        };
        Lesson {
            sizes: learnt.sizes.iter().map(|(size, run)| (*size as f32, *run as f32)).collect(),
            kinds: learnt.kinds.iter().filter_map(named).collect(),
        }
    }

    /// Another node told what it has seen; how many sizes of work are known now.
    pub fn taught(&mut self, lesson: &Lesson) -> usize {
        let known = |(kind, told): &(String, (f32, f32, f32))| {
            let (work_s, slot_s, slots) = (told.0.into(), told.1.into(), told.2.into());
            let kind = self.kinds.iter().position(|name| name == kind)?;
            Some((kind, LearnedKind { work_s, slot_s, slots }))
        };
        let learnt = LearnedState {
            sizes: lesson.sizes.iter().map(|(size, run)| ((*size).into(), (*run).into())).collect(),
            kinds: lesson.kinds.iter().filter_map(known).collect(),
        };
        self.counters.lessons.up();
        self.dispatcher.merge_learned(self.hands.clock.now(), &learnt)
    }

    /// As long as one is gone it has not begun to warm up.
    fn keeps_cold(&mut self) {
        const INTERVAL: Duration = Duration::from_millis(250); // as the decisions look around
        let now = self.hands.clock.now();
        if self.gone.is_empty() || now < self.kept_cold + INTERVAL {
            return;
        }
        self.kept_cold = now;
        let gone = &self.gone;
        let still = self.known.iter().filter(|(_, known)| gone.contains(&known.executor));
        // Only the decisions take it for started now. Guards against a word or a list that it is back, which is a little older
        // than this, being taken for old news.
        let listings: Vec<ListedExecutor> = still
            .map(|(hash, known)| ListedExecutor { started: Some(now), ..self.closed.listing(*hash, known) })
            .collect();
        self.dispatcher.update_executors(now, ListUpdate::Changes, &listings);
    }

    /// Another node sent a word of the decisions.
    pub fn told(&mut self, node: u64, word: &[u8]) {
        self.dispatcher.load_message_received(self.hands.clock.now(), node, word);
    }

    /// The workers that are there, as executors.
    fn workers(&self) -> Vec<(ExecutorId, String, reservations::Standing)> {
        let workers = self.hands.faktory.iter().flat_map(|faktory| faktory.workers());
        let mut desk = self.hands.desk.borrow_mut();
        let named = |(wid, standing)| {
            let name = format!("{WORKER}{wid}");
            (desk.executors.index(&name), name, standing)
        };
        workers.map(named).collect()
    }

    /// All that discovery had then is known here.
    pub fn list_proved(&mut self, as_of: Instant, heard: bool) {
        self.dispatcher.executor_list_confirmed(as_of, heard);
    }

    pub fn list_broken(&mut self) {
        self.dispatcher.executor_list_lost();
    }
}

/// What the names of workers begin with, and their kind is called: no executor of the list has such a name.
const WORKER: &str = "faktory worker ";

fn worker_listing(
    executor: ExecutorId,
    name: &str,
    standing: reservations::Standing,
    kind: usize,
    zone: usize,
) -> ListedExecutor<'_> {
    let standing = match standing {
        reservations::Standing::Works => ExecutorStatus::Ready,
        reservations::Standing::Quiet => ExecutorStatus::Draining,
        reservations::Standing::Gone => ExecutorStatus::Gone,
    };
    ListedExecutor {
        executor,
        name,
        status: standing,
        started: None,
        kind,
        zone,
        cell: 0,
        weight: 1.0,
        reports_own_status: true,
    }
}

/// The place of a name among those of the settings, a new one if it is not there.
fn place(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

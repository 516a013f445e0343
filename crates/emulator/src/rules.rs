//! The four rules, checked from outside of the decisions: each unit and each executor has its page in a book, and what
//! goes against a rule is written down with its time.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Exactly one final answer, in time, and nothing sent afterwards.
    OneAnswer,
    /// No effect twice, and no turn-back of what has run.
    NoEffectTwice,
    /// Nothing new past the grace to an executor that drains or is gone.
    DrainGrace,
    /// No cold executor pushed over.
    ColdStart,
    /// No more than the whole of a budget in any window.
    Budget,
    /// Nothing under way where a machine is out for work, and no more out than may be.
    Out,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Fulfilled,
    TurnedBack,
    Forfeited,
}

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub at_s: f64,
    pub rule: Rule,
    pub what: String,
}

struct Page {
    binding: bool,
    patience_ends: Instant,
    answer: Option<Answer>,
    answered: Instant,
    /// Nobody waits any more: the client left, or its node died, and when.
    gone: Option<Instant>,
    runs: u32,
}

#[derive(Default)]
pub struct Book {
    /// When the run began: breaches are told by the time since.
    began: Instant,
    slack: Duration,
    grace: Duration,
    /// What is told of two connections within this may have happened in either order.
    apart: Duration,
    pages: HashMap<u64, Page>,
    /// When a node was told that an executor leaves or is gone.
    told: HashMap<(usize, usize), Instant>,
    /// Which start of an executor a node was told last.
    starts: HashMap<(usize, usize), Option<Instant>>,
    /// The first few breaches, and how many there were of each rule.
    pub breaches: Vec<Breach>,
    pub counts: BTreeMap<Rule, u64>,
}

impl Book {
    pub fn new(began: Instant, slack: Duration, grace: Duration) -> Book {
        Book { began, slack, grace, ..Book::default() }
    }

    /// Where things are heard on connections of their own: closer than this nobody knows their order.
    pub fn in_order_beyond(&mut self, apart: Duration) {
        self.apart = apart;
    }

    fn broken(&mut self, now: Instant, rule: Rule, what: String) {
        const KEPT: usize = 20;
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { at_s: now.since(self.began).seconds(), rule, what });
        }
    }

    pub fn taken(&mut self, unit: u64, binding: bool, patience_ends: Instant) {
        let page = Page { binding, patience_ends, answer: None, answered: Instant(0), gone: None, runs: 0 };
        self.pages.insert(unit, page);
    }

    pub fn gone(&mut self, now: Instant, unit: u64) {
        if let Some(page) = self.pages.get_mut(&unit) {
            page.gone.get_or_insert(now);
        }
    }

    pub fn answered(&mut self, now: Instant, unit: u64, answer: Answer) {
        let Some(page) = self.pages.get_mut(&unit).filter(|page| page.gone.is_none()) else { return };
        let (before, late) = (page.answer.replace(answer), now > page.patience_ends + self.slack);
        if before.is_none() {
            page.answered = now;
        }
        let ran = page.binding && page.runs > 0 && answer == Answer::TurnedBack;
        if before.is_some() {
            self.broken(now, Rule::OneAnswer, format!("unit {unit} was answered a second time"));
        }
        if late {
            self.broken(now, Rule::OneAnswer, format!("unit {unit} was answered after its patience"));
        }
        if ran {
            self.broken(now, Rule::NoEffectTwice, format!("binding unit {unit} was turned back and had run"));
        }
    }

    /// A unit's connection ended without an answer, though its node lives.
    pub fn unanswered(&mut self, now: Instant, unit: u64, why: &str) {
        self.broken(now, Rule::OneAnswer, format!("unit {unit} has no answer: {why}"));
        self.gone(now, unit);
    }

    /// A unit was answered with what no executor made for it.
    pub fn foreign(&mut self, now: Instant, unit: u64) {
        self.broken(now, Rule::OneAnswer, format!("unit {unit} was answered with what is not its own"));
    }

    /// The patience of a unit has ended.
    pub fn due(&mut self, now: Instant, unit: u64) {
        if self.pages.get(&unit).is_some_and(|page| page.answer.is_none() && page.gone.is_none()) {
            self.broken(now, Rule::OneAnswer, format!("unit {unit} has no answer"));
        }
    }

    /// A node sent a unit; `now` is when it did, which may be told later.
    pub fn sent(&mut self, now: Instant, unit: u64, node: usize, executor: usize) {
        // That a client has left is on its way to the node for a moment.
        let over = |page: &Page| {
            let answered = page
                .answer
                .filter(|_| now >= page.answered + self.apart)
                .map(|answer| (page.answered, Some(answer)));
            answered.or_else(|| page.gone.filter(|&at| now > at + self.slack).map(|at| (at, None)))
        };
        if let Some((ended, answer)) = self.pages.get(&unit).and_then(over) {
            let how = answer.map_or("nobody waits".to_owned(), |answer| format!("{answer:?}"));
            let ago = now.since(ended).seconds();
            let what = format!(
                "unit {unit} was sent after its end, by node {node} to executor {executor}; {how} {ago:.3} s before"
            );
            self.broken(now, Rule::OneAnswer, what);
        }
        let told = self.told.get(&(node, executor));
        if told.is_some_and(|&at| now > at + self.grace + self.slack) {
            let what = format!("node {node} sent unit {unit} to executor {executor}, told to leave");
            self.broken(now, Rule::DrainGrace, what);
        }
    }

    /// A node was told what the list says of an executor.
    pub fn told(
        &mut self,
        now: Instant,
        node: usize,
        executor: usize,
        usable: bool,
        started: Option<Instant>,
    ) {
        self.starts.insert((node, executor), started);
        if usable {
            self.told.remove(&(node, executor));
        } else {
            self.told.entry((node, executor)).or_insert(now);
        }
    }

    /// That an executor is usable again is on its way to a node: whether it was told otherwise before says nothing any more.
    pub fn may_hear_of(&mut self, node: usize, executor: usize) {
        self.told.remove(&(node, executor));
    }

    /// Whether the node was told of this start: of one that it was not told it can't know that it is cold.
    pub fn knows(&self, node: usize, executor: usize, started: Option<Instant>) -> bool {
        self.starts.get(&(node, executor)).is_some_and(|told| *told == started)
    }

    pub fn ran(&mut self, now: Instant, unit: u64) {
        let Some(page) = self.pages.get_mut(&unit) else { return };
        page.runs += 1;
        if !page.binding {
            return;
        }
        let (runs, turned_back) = (page.runs, page.answer == Some(Answer::TurnedBack) && page.gone.is_none());
        if runs > 1 {
            self.broken(now, Rule::NoEffectTwice, format!("binding unit {unit} runs a second time"));
        }
        if turned_back {
            self.broken(now, Rule::NoEffectTwice, format!("binding unit {unit} runs and was turned back"));
        }
    }

    /// More of a budget was spent within a window than the whole.
    pub fn over_budget(&mut self, now: Instant, tariff: &str, spent: usize, whole: u32) {
        self.broken(
            now,
            Rule::Budget,
            format!("{spent} units of {tariff} were spent within a window, {whole} may be"),
        );
    }

    /// Something is wrong with a node whose own machine is out for work.
    pub fn node_at_out(&mut self, now: Instant, node: usize, what: String) {
        self.broken(now, Rule::Out, format!("node {node} {what}"));
    }

    /// Something is wrong with a machine that is out for work.
    pub fn at_out(&mut self, now: Instant, executor: usize, what: String) {
        self.broken(now, Rule::Out, format!("executor {executor} {what}"));
    }

    pub fn fell(&mut self, now: Instant, executor: usize, units: usize, untold: usize, borne: f64) {
        let what = format!(
            "executor {executor}: {units} units came within the window, {untold} of them from nodes that the list \
             had not told of its start; {borne:.1} are borne"
        );
        self.broken(now, Rule::ColdStart, what);
    }
}

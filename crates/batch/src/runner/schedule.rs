//! One job as its leader runs it, and the order of jobs: those that can still be in time by the time they are
//! due, then the late ones. Every few turns the job that has waited longest for a turn goes first, so that none
//! starves behind those that are more urgent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::{Duration, DurationExt, Instant};

use super::RunId;
use super::item::{ItemRun, Phase};
use crate::jobs::{EventsPiece, Job};
use crate::names::ItemIndex;

/// One turn in so many is the fair one.
const FAIR_TURN: u64 = 8;
/// The retention of a route that names none: its items are not given up.
const NEVER: Duration = Duration::from_nanos(u64::MAX);

pub(super) fn is_fair_turn(turns: u64) -> bool {
    turns % FAIR_TURN == FAIR_TURN - 1
}

/// The place of a job in the order: the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    is_late: bool,
    due: Instant,
    last_turn: u64,
}

#[derive(Debug)]
pub(super) struct JobRun {
    route: String,
    max_attempts: u32,
    due: Instant,
    /// From then on the items may be given up.
    given_up: Instant,
    /// The turn in which an item of it last started, or in which it came.
    last_turn: u64,
    items: BTreeMap<ItemIndex, ItemRun>,
    /// The largest first: they take longest and are worth most.
    ready: BTreeSet<(Reverse<u64>, ItemIndex)>,
    pausing: BTreeSet<(Instant, ItemIndex)>,
    /// The tokens of the items that are ready or pausing.
    idle_tokens: u64,
    /// The items whose results are known.
    decided: usize,
}

impl JobRun {
    /// A job that was first seen here at `seen` and is `age_by_wall` old by the wall clock. The wall clock only
    /// moves the time when the job is due; giving up goes by what was seen, which is never too old.
    pub fn new(job: &Job, seen: Instant, age_by_wall: Duration, now: Instant, turn: u64) -> JobRun {
        let terms = job.terms();
        let retention = if terms.retention_ms == 0 { NEVER } else { millis(terms.retention_ms) };
        let by_wall = if age_by_wall > retention { Duration::default() } else { age_by_wall };
        let age = now.since(seen).max(by_wall) + millis(terms.age_at_acceptance_ms);
        let mut run = JobRun {
            route: job.route().to_owned(),
            max_attempts: terms.max_attempts,
            due: (now + millis(terms.completion_target_ms)) - age,
            given_up: seen + retention,
            last_turn: turn,
            items: BTreeMap::new(),
            ready: BTreeSet::new(),
            pausing: BTreeSet::new(),
            idle_tokens: 0,
            decided: 0,
        };
        for (index, open) in job.open_items() {
            run.ready.insert((Reverse(open.spec.token_count), index));
            run.idle_tokens = run.idle_tokens.saturating_add(open.spec.token_count);
            run.items.insert(index, ItemRun::new(open));
        }
        run
    }

    pub fn route(&self) -> &str {
        &self.route
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    pub fn is_given_up(&self, now: Instant) -> bool {
        now >= self.given_up
    }

    /// The job's place, if a run takes `expected`.
    pub fn rank(&self, now: Instant, expected: Duration, is_fair_turn: bool) -> Rank {
        if is_fair_turn {
            return Rank { is_late: false, due: Instant::default(), last_turn: self.last_turn };
        }
        Rank { is_late: now + expected > self.due, due: self.due, last_turn: self.last_turn }
    }

    pub fn item(&self, item: ItemIndex) -> Option<&ItemRun> {
        self.items.get(&item)
    }

    pub fn item_mut(&mut self, item: ItemIndex) -> Option<&mut ItemRun> {
        self.items.get_mut(&item)
    }

    /// Items whose pauses are over may run.
    pub fn wake(&mut self, now: Instant) {
        while let Some((until, index)) = self.pausing.first().copied() {
            if until > now {
                break;
            }
            self.pausing.pop_first();
            if let Some(item) = self.items.get_mut(&index) {
                item.phase = Phase::Ready;
                self.ready.insert((Reverse(item.tokens), index));
            }
        }
    }

    /// Whether an item may run that has no more than these tokens.
    pub fn fits(&self, room: u64) -> bool {
        self.largest_within(room).is_some()
    }

    /// The tokens of the largest item that may run.
    pub fn largest_ready(&self) -> Option<u64> {
        self.ready.first().map(|(Reverse(tokens), _)| *tokens)
    }

    fn largest_within(&self, room: u64) -> Option<(Reverse<u64>, ItemIndex)> {
        self.ready.range((Reverse(room), ItemIndex(0))..).next().copied()
    }

    /// Starts the largest item that fits.
    pub fn start(&mut self, room: u64, run: RunId, now: Instant, turn: u64) -> Option<ItemIndex> {
        let key = self.largest_within(room)?;
        self.ready.remove(&key);
        let item = self.items.get_mut(&key.1)?;
        item.phase = Phase::Running(run);
        self.idle_tokens = self.idle_tokens.saturating_sub(item.tokens);
        item.started = now;
        self.last_turn = turn + 1;
        Some(key.1)
    }

    /// Puts the item off until then.
    pub fn pause(&mut self, index: ItemIndex, until: Instant) {
        if let Some(item) = self.items.get_mut(&index) {
            item.phase = Phase::Pausing(until);
            self.idle_tokens = self.idle_tokens.saturating_add(item.tokens);
            self.pausing.insert((until, index));
        }
    }

    /// The item's text, and when its last run started.
    pub fn complete(&mut self, index: ItemIndex) -> Option<(String, Instant)> {
        let item = self.items.get_mut(&index)?;
        self.decided += 1;
        Some((item.take_text(), item.started))
    }

    pub fn decide(&mut self, index: ItemIndex) {
        if let Some(item) = self.items.get_mut(&index) {
            item.take_text();
            self.decided += 1;
        }
    }

    /// Counts an answer of 500. Whether it was the last that is allowed.
    pub fn count_failure(&mut self, index: ItemIndex) -> bool {
        let max_attempts = self.max_attempts;
        self.items.get_mut(&index).is_some_and(|item| item.count_failure() >= max_attempts)
    }

    /// Decides all items that are not; what they were at.
    pub fn decide_all(&mut self) -> Vec<(ItemIndex, Phase)> {
        self.ready.clear();
        self.pausing.clear();
        self.idle_tokens = 0;
        self.decided = self.items.len();
        let undecided = self.items.iter_mut().filter(|(_, item)| item.phase != Phase::Decided);
        undecided
            .map(|(index, item)| {
                let phase = item.phase;
                item.take_text();
                (*index, phase)
            })
            .collect()
    }

    /// Drops an item that is listed; what it was at.
    pub fn remove(&mut self, index: ItemIndex) -> Option<Phase> {
        let item = self.items.remove(&index)?;
        match item.phase {
            Phase::Ready => drop(self.ready.remove(&(Reverse(item.tokens), index))),
            Phase::Pausing(until) => drop(self.pausing.remove(&(until, index))),
            Phase::Running(_) => {}
            Phase::Decided => self.decided -= 1,
        }
        if matches!(item.phase, Phase::Ready | Phase::Pausing(_)) {
            self.idle_tokens = self.idle_tokens.saturating_sub(item.tokens);
        }
        Some(item.phase)
    }

    pub fn runs(&self) -> impl Iterator<Item = RunId> {
        self.items.values().filter_map(|item| match item.phase {
            Phase::Running(run) => Some(run),
            Phase::Ready | Phase::Pausing(_) | Phase::Decided => None,
        })
    }

    pub fn is_decided(&self, index: ItemIndex) -> bool {
        self.items.get(&index).is_some_and(|item| item.phase == Phase::Decided)
    }

    /// What has come of each item since its last checkpoint.
    pub fn checkpoints(&mut self) -> impl Iterator<Item = (ItemIndex, u32, EventsPiece)> {
        self.items.iter_mut().filter_map(|(index, item)| {
            let (failed_attempts, events) = item.checkpoint()?;
            Some((*index, failed_attempts, events))
        })
    }

    /// When a pause ends or the job is given up; nothing if all is decided.
    pub fn next_wake(&self) -> Option<Instant> {
        let has_undecided = self.decided < self.items.len();
        let pause = self.pausing.first().map(|(until, _)| *until);
        has_undecided.then(|| pause.map_or(self.given_up, |pause| pause.min(self.given_up)))
    }

    pub fn idle_tokens(&self) -> u64 {
        self.idle_tokens
    }
}

pub(super) fn millis(ms: u64) -> Duration {
    Duration::from_nanos(ms.saturating_mul(Duration::from_millis(1).nanos()))
}

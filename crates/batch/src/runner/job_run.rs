//! One job as its leader runs it.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::{Duration, DurationExt, Instant};

use super::RunId;
use super::item_run::{ItemRun, Phase};
use super::priority::{Priority, Turn};
use super::routes::{RouteIndex, RouteLookup};
use super::run::Capacity;
use super::waiting_items::WaitingItems;
use crate::jobs::{ItemProgress, Job};
use crate::names::{ItemIndex, JobId};

/// The retention of a route that names none: its items are not given up.
const UNLIMITED_RETENTION: Duration = Duration::from_nanos(u64::MAX);

/// An item that has just been finished.
pub(super) struct FinishedItem {
    pub text: String,
    /// When its last run started.
    pub started_at: Instant,
}

#[derive(Debug)]
pub(super) struct JobRun {
    /// The route that its quota counts on: that of its first item that was not listed when the configuration came.
    route: Option<RouteIndex>,
    max_attempts: u32,
    due: Instant,
    /// From then on the items may be given up.
    given_up_at: Instant,
    /// The turn in which an item of it last started, or in which it came.
    last_turn: u64,
    /// The items that are not listed.
    items: BTreeMap<ItemIndex, ItemRun>,
    /// Those of `items` that are ready or backing off and match a route.
    waiting: WaitingItems,
    /// Those of `items` in [`Phase::BackingOff`], by the end of the backoff.
    backing_off: BTreeSet<(Instant, ItemIndex)>,
    /// How many of `items` are in [`Phase::Finished`].
    finished: usize,
}

impl JobRun {
    /// A job that was first seen here at `first_seen` and is `age_by_wall_clock` old by the wall clock. The wall clock
    /// only moves the time when the job is due. Giving up goes by what was seen, which is never too old.
    pub fn new(
        job: &Job,
        routes: &dyn RouteLookup,
        first_seen: Instant,
        age_by_wall_clock: Duration,
        now: Instant,
        turn: u64,
    ) -> JobRun {
        let settings = job.settings();
        let retention = match settings.retention_ms {
            0 => UNLIMITED_RETENTION,
            retention_ms => millis(retention_ms),
        };
        let is_credible = age_by_wall_clock <= retention;
        let by_wall_clock = if is_credible { age_by_wall_clock } else { Duration::default() };
        let age = now.since(first_seen).max(by_wall_clock) + millis(settings.age_at_acceptance_ms);
        let mut run = JobRun {
            route: None,
            max_attempts: settings.max_attempts,
            due: (now + millis(settings.completion_target_ms)) - age,
            given_up_at: first_seen + retention,
            last_turn: turn,
            items: job.open_items().map(|(index, open)| (index, ItemRun::new(open))).collect(),
            waiting: WaitingItems::default(),
            backing_off: BTreeSet::new(),
            finished: 0,
        };
        run.assign_routes(job, routes);
        run
    }

    /// The route that its quota counts on.
    pub fn route(&self) -> Option<RouteIndex> {
        self.route
    }

    /// Each item belongs to the route that its request matches among these.
    pub fn assign_routes(&mut self, job: &Job, routes: &dyn RouteLookup) {
        for (index, item) in &mut self.items {
            let open = job.open_item(*index);
            item.route = open.and_then(|open| routes.bulk_route(job.host(), &open.spec.path));
        }
        self.route = self.items.values().next().and_then(|item| item.route);
        self.collect_waiting();
    }

    /// Collects anew which items wait.
    fn collect_waiting(&mut self) {
        self.waiting.clear();
        self.backing_off.clear();
        for (index, item) in &self.items {
            if let Phase::BackingOff(until) = item.phase {
                self.backing_off.insert((until, *index));
            }
            let Some(waiting) = item.waiting(*index) else { continue };
            self.waiting.add(waiting);
            if item.phase == Phase::Ready {
                self.waiting.ready(waiting);
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many items have a result that is not listed.
    pub fn finished_count(&self) -> usize {
        self.finished
    }

    /// How many items may run now if there were capacity.
    pub fn ready_count(&self) -> usize {
        self.waiting.ready_count()
    }

    /// How many items match no route and wait for one.
    pub fn unrouted_count(&self) -> usize {
        self.items.values().filter(|item| item.waits() && item.route.is_none()).count()
    }

    pub fn is_given_up(&self, now: Instant) -> bool {
        now >= self.given_up_at
    }

    /// The job's priority, if a run takes `expected`.
    pub fn priority(&self, now: Instant, expected: Duration, turn: Turn) -> Priority {
        match turn {
            Turn::Fair => Priority { is_late: false, due: Instant::default(), last_turn: self.last_turn },
            Turn::Urgency => {
                Priority { is_late: now + expected > self.due, due: self.due, last_turn: self.last_turn }
            }
        }
    }

    pub fn item(&self, item: ItemIndex) -> Option<&ItemRun> {
        self.items.get(&item)
    }

    pub fn item_mut(&mut self, item: ItemIndex) -> Option<&mut ItemRun> {
        self.items.get_mut(&item)
    }

    /// Items whose backoff has ended may run.
    pub fn end_backoffs(&mut self, now: Instant) {
        while let Some((until, index)) = self.backing_off.first().copied() {
            if until > now {
                break;
            }
            self.backing_off.pop_first();
            if let Some(item) = self.items.get_mut(&index) {
                item.phase = Phase::Ready;
                if let Some(waiting) = item.waiting(index) {
                    self.waiting.ready(waiting);
                }
            }
        }
    }

    /// Whether an item may run now within the capacity of its route.
    pub fn fits(&self, capacity: &impl Capacity) -> bool {
        self.waiting.largest_within(capacity).is_some()
    }

    /// The tokens of the largest item of a route that may run.
    pub fn largest_ready(&self, route: RouteIndex) -> Option<u64> {
        self.waiting.largest_ready(route)
    }

    /// Starts the largest item that fits.
    pub fn start(
        &mut self,
        capacity: &impl Capacity,
        run: RunId,
        now: Instant,
        turn: u64,
    ) -> Option<ItemIndex> {
        let largest = self.waiting.largest_within(capacity)?;
        let item = self.items.get_mut(&largest.index)?;
        self.waiting.remove(largest);
        item.phase = Phase::Running(run);
        item.started_at = now;
        self.last_turn = turn + 1;
        Some(largest.index)
    }

    /// Puts a running item off until then.
    pub fn back_off(&mut self, index: ItemIndex, until: Instant) {
        if let Some(item) = self.items.get_mut(&index) {
            item.phase = Phase::BackingOff(until);
            self.backing_off.insert((until, index));
            if let Some(waiting) = item.waiting(index) {
                self.waiting.add(waiting);
            }
        }
    }

    /// Finishes a running item.
    pub fn finish(&mut self, index: ItemIndex) -> Option<FinishedItem> {
        let item = self.items.get_mut(&index)?;
        self.finished += 1;
        Some(FinishedItem { text: item.finish(), started_at: item.started_at })
    }

    /// Counts a response of 500. Whether it was the last that is allowed.
    pub fn count_failure(&mut self, index: ItemIndex) -> bool {
        let max_attempts = self.max_attempts;
        self.items.get_mut(&index).is_some_and(|item| item.count_failure() >= max_attempts)
    }

    /// Finishes the items that are given up and not finished. Returns their phases before.
    pub fn give_up(&mut self, is_given_up: impl Fn(&ItemRun) -> bool) -> Vec<(ItemIndex, Phase)> {
        let unfinished = self.items.iter_mut().filter(|(_, item)| item.phase != Phase::Finished);
        let given_up = unfinished.filter(|(_, item)| is_given_up(item)).map(|(index, item)| {
            let phase = item.phase;
            drop(item.finish());
            (*index, phase)
        });
        let given_up: Vec<(ItemIndex, Phase)> = given_up.collect();
        self.finished += given_up.len();
        self.collect_waiting();
        given_up
    }

    /// Removes an item that is listed. Returns its phase before.
    pub fn remove(&mut self, index: ItemIndex) -> Option<Phase> {
        let item = self.items.remove(&index)?;
        if let Some(waiting) = item.waiting(index) {
            self.waiting.remove(waiting);
        }
        match item.phase {
            Phase::BackingOff(until) => drop(self.backing_off.remove(&(until, index))),
            Phase::Ready | Phase::Running(_) => {}
            Phase::Finished => self.finished -= 1,
        }
        Some(item.phase)
    }

    pub fn runs(&self) -> impl Iterator<Item = RunId> {
        self.items.values().filter_map(|item| match item.phase {
            Phase::Running(run) => Some(run),
            Phase::Ready | Phase::BackingOff(_) | Phase::Finished => None,
        })
    }

    pub fn is_finished(&self, index: ItemIndex) -> bool {
        self.items.get(&index).is_some_and(|item| item.phase == Phase::Finished)
    }

    /// What has come of each item since its last checkpoint, for the job's id.
    pub fn checkpoints(&mut self, id: &JobId) -> impl Iterator<Item = ItemProgress> {
        self.items.iter_mut().filter_map(|(index, item)| {
            let checkpoint = item.checkpoint()?;
            Some(ItemProgress {
                job: id.clone(),
                item: *index,
                failed_attempts: checkpoint.failed_attempts,
                events: Some(checkpoint.events),
            })
        })
    }

    /// When a backoff ends or the job is given up; `None` if all items are finished.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.finished == self.items.len() {
            return None;
        }
        let backoff_end = self.backing_off.first().map(|(until, _)| *until);
        Some(backoff_end.map_or(self.given_up_at, |until| until.min(self.given_up_at)))
    }

    /// The tokens of a route's items that are neither running nor finished.
    pub fn idle_tokens(&self, route: RouteIndex) -> u64 {
        self.waiting.idle_tokens(route)
    }
}

/// A duration of whole milliseconds, saturating.
pub(super) fn millis(ms: u64) -> Duration {
    Duration::from_nanos(ms.saturating_mul(Duration::from_millis(1).nanos()))
}

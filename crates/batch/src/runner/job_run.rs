//! The scheduling state of one job with open items.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_time::{Duration, DurationExt, Instant};

use super::RunId;
use super::given_up::GiveUpCause;
use super::item_run::{ItemRun, Phase};
use super::priority::{Priority, Turn};
use super::routes::{RouteIndex, RouteLookup};
use super::run::Capacity;
use super::waiting_items::WaitingItems;
use crate::jobs::{ItemProgress, Job};
use crate::names::{ItemIndex, JobId};

/// The retention of a job whose settings specify none. Its items are not given up.
const UNLIMITED_RETENTION: Duration = Duration::from_nanos(u64::MAX);

/// An item that has just been finished.
pub(super) struct FinishedItem {
    /// The data of all events of the item, joined by line feeds.
    pub text: String,
    /// The start time of the item's latest run.
    pub started_at: Instant,
}

#[derive(Debug)]
pub(super) struct JobRun {
    /// The route whose quota the job counts against: that of the first item that was open when the active configuration
    /// was set.
    route: Option<RouteIndex>,
    /// The number of 500 responses after which an item is given up.
    max_attempts: u32,
    /// The time at which all results of the job are due.
    due_at: Instant,
    /// The time from which the items may be given up.
    retention_end: Instant,
    /// The turn in which an item of the job last started, or in which the job was added.
    last_turn: u64,
    /// The open items.
    items: BTreeMap<ItemIndex, ItemRun>,
    /// The entries of `items` that are ready or backing off and match a route.
    waiting: WaitingItems,
    /// The entries of `items` in [`Phase::BackingOff`], ordered by the end of the backoff.
    backing_off: BTreeSet<(Instant, ItemIndex)>,
    /// The number of `items` in [`Phase::Finished`].
    finished_count: usize,
}

impl JobRun {
    /// Creates the state of a job that this replica first saw at `first_seen`, and whose age is `age_by_wall_clock`
    /// according to the wall clock. The wall clock only affects the time at which the job is due. The end of the
    /// retention depends on `first_seen` alone, which is never before the first submission of the job.
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
            due_at: (now + millis(settings.completion_target_ms)) - age,
            retention_end: first_seen + retention,
            last_turn: turn,
            items: job.open_items().map(|(index, open)| (index, ItemRun::new(open))).collect(),
            waiting: WaitingItems::default(),
            backing_off: BTreeSet::new(),
            finished_count: 0,
        };
        run.assign_routes(job, routes);
        run
    }

    /// The route whose quota the job counts against.
    pub fn route(&self) -> Option<RouteIndex> {
        self.route
    }

    /// Assigns each item to the route that its request matches.
    pub fn assign_routes(&mut self, job: &Job, routes: &dyn RouteLookup) {
        for (index, item) in &mut self.items {
            let open = job.open_item(*index);
            item.route = open.and_then(|open| routes.bulk_route(job.host(), &open.spec.path));
        }
        self.route = self.items.values().next().and_then(|item| item.route);
        self.rebuild_waiting();
    }

    /// Rebuilds the sets of waiting items and of items in a backoff.
    fn rebuild_waiting(&mut self) {
        self.waiting.clear();
        self.backing_off.clear();
        for (index, item) in &self.items {
            if let Phase::BackingOff(until) = item.phase {
                self.backing_off.insert((until, *index));
            }
            let Some(waiting) = item.waiting_item(*index) else { continue };
            self.waiting.add(waiting);
            if item.phase == Phase::Ready {
                self.waiting.mark_ready(waiting);
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The number of items that have a result which is not committed yet.
    pub fn finished_count(&self) -> usize {
        self.finished_count
    }

    /// The number of items that could run now if there were capacity.
    pub fn ready_count(&self) -> usize {
        self.waiting.ready_count()
    }

    /// The number of waiting items that match no route.
    pub fn unrouted_count(&self) -> usize {
        self.items.values().filter(|item| item.is_waiting() && item.route.is_none()).count()
    }

    pub fn is_past_retention(&self, now: Instant) -> bool {
        now >= self.retention_end
    }

    /// The priority of the job if a run takes `expected_duration`.
    pub fn priority(&self, now: Instant, expected_duration: Duration, turn: Turn) -> Priority {
        match turn {
            Turn::Fair => Priority { is_late: false, due_at: Instant::default(), last_turn: self.last_turn },
            Turn::Urgency => Priority {
                is_late: now + expected_duration > self.due_at,
                due_at: self.due_at,
                last_turn: self.last_turn,
            },
        }
    }

    pub fn item(&self, item: ItemIndex) -> Option<&ItemRun> {
        self.items.get(&item)
    }

    pub fn item_mut(&mut self, item: ItemIndex) -> Option<&mut ItemRun> {
        self.items.get_mut(&item)
    }

    /// Makes the items ready whose backoff has ended.
    pub fn end_backoffs(&mut self, now: Instant) {
        while let Some((until, index)) = self.backing_off.first().copied() {
            if until > now {
                break;
            }
            self.backing_off.pop_first();
            if let Some(item) = self.items.get_mut(&index) {
                item.phase = Phase::Ready;
                if let Some(waiting) = item.waiting_item(index) {
                    self.waiting.mark_ready(waiting);
                }
            }
        }
    }

    /// Whether any item is ready and fits the capacity of its route.
    pub fn fits(&self, capacity: &impl Capacity) -> bool {
        self.waiting.largest_within(capacity).is_some()
    }

    /// The tokens of the largest item of a route that is ready.
    pub fn largest_ready_tokens(&self, route: RouteIndex) -> Option<u64> {
        self.waiting.largest_ready_tokens(route)
    }

    /// Starts the largest ready item that fits the capacity of its route. `turn` is the number of items that were
    /// started before.
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

    /// Moves a running item to a backoff that ends at `until`.
    pub fn back_off(&mut self, index: ItemIndex, until: Instant) {
        if let Some(item) = self.items.get_mut(&index) {
            item.phase = Phase::BackingOff(until);
            self.backing_off.insert((until, index));
            if let Some(waiting) = item.waiting_item(index) {
                self.waiting.add(waiting);
            }
        }
    }

    /// Finishes a running item.
    pub fn finish(&mut self, index: ItemIndex) -> Option<FinishedItem> {
        let item = self.items.get_mut(&index)?;
        self.finished_count += 1;
        Some(FinishedItem { text: item.finish(), started_at: item.started_at })
    }

    /// Counts a 500 response. Returns why the item is to be given up, if it has reached its maximum number of attempts.
    pub fn count_failure(&mut self, index: ItemIndex) -> Option<GiveUpCause> {
        let failed = self.items.get_mut(&index)?.count_failure();
        let max = self.max_attempts;
        (failed >= max).then_some(GiveUpCause::FailedAttempts { failed, max })
    }

    /// Finishes the unfinished items for which `selects` returns true. Returns them with their previous phases.
    pub fn give_up(&mut self, selects: impl Fn(&ItemRun) -> bool) -> Vec<(ItemIndex, Phase)> {
        let unfinished = self.items.iter_mut().filter(|(_, item)| item.phase != Phase::Finished);
        let given_up = unfinished.filter(|(_, item)| selects(item)).map(|(index, item)| {
            let phase = item.phase;
            drop(item.finish());
            (*index, phase)
        });
        let given_up: Vec<(ItemIndex, Phase)> = given_up.collect();
        self.finished_count += given_up.len();
        self.rebuild_waiting();
        given_up
    }

    /// Removes an item whose result is committed. Returns its previous phase.
    pub fn remove(&mut self, index: ItemIndex) -> Option<Phase> {
        let item = self.items.remove(&index)?;
        if let Some(waiting) = item.waiting_item(index) {
            self.waiting.remove(waiting);
        }
        match item.phase {
            Phase::BackingOff(until) => drop(self.backing_off.remove(&(until, index))),
            Phase::Ready | Phase::Running(_) => {}
            Phase::Finished => self.finished_count -= 1,
        }
        Some(item.phase)
    }

    /// The runs in progress of the job.
    pub fn runs(&self) -> impl Iterator<Item = RunId> {
        self.items.values().filter_map(|item| match item.phase {
            Phase::Running(run) => Some(run),
            Phase::Ready | Phase::BackingOff(_) | Phase::Finished => None,
        })
    }

    pub fn is_finished(&self, index: ItemIndex) -> bool {
        self.items.get(&index).is_some_and(|item| item.phase == Phase::Finished)
    }

    /// The progress of each item since its last checkpoint. `id` is the id of the job.
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

    /// The time at which the next backoff ends or the retention of the job ends. `None` if all items are finished.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.finished_count == self.items.len() {
            return None;
        }
        let backoff_end = self.backing_off.first().map(|(until, _)| *until);
        Some(backoff_end.map_or(self.retention_end, |until| until.min(self.retention_end)))
    }

    /// The sum of the tokens of a route's items that are ready to run or in a backoff.
    pub fn queued_tokens(&self, route: RouteIndex) -> u64 {
        self.waiting.queued_tokens(route)
    }
}

/// Converts milliseconds to a duration, which saturates at its maximum.
pub(super) fn millis(ms: u64) -> Duration {
    Duration::from_nanos(ms.saturating_mul(Duration::from_millis(1).nanos()))
}

//! Running the items of a partition, which its leader does: what runs next, what has come of each run, what is to be
//! proposed to the log. No I/O and no clock; which executor an item goes to is decided elsewhere.

mod item;
mod pace;
mod schedule;

use std::collections::{BTreeMap, HashMap};

use grebeusher_time::{Duration, Instant};

use crate::fair_share::PartitionLoad;
use crate::jobs::{
    Applied, EndState, Entry, ItemProgress, ItemResult, JobResults, Jobs, MAX_JOBS_IN_ENTRY, ResultState,
};
use crate::names::{ItemIndex, JobId};
use crate::shared::{SharedBytes, SharedText};
use crate::submission::{Header, Tokens};
use item::{ItemRun, Phase};
use pace::Pace;
use schedule::JobRun;

pub use item::MAX_TEXT_BYTES;

/// One run of an item. Never used again within the life of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// An item to be sent to an executor now, as a `POST`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    pub run: RunId,
    pub job: JobId,
    pub item: ItemIndex,
    /// The id of the attempt, which is the item's name.
    pub attempt_id: String,
    /// The route's name; the service is looked up by it in the configuration that is in force.
    pub route: String,
    /// The service at the time when the job was taken.
    pub service: String,
    pub host: String,
    pub path: SharedText,
    pub headers: Vec<Header>,
    pub body: SharedBytes,
    /// The run goes on after this event; none: from the first.
    pub last_event_id: Option<u64>,
    pub token_count: u64,
    pub tokens: Tokens,
}

/// How a run came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The stream ended properly: a 200 with the executor's seal, the body whole by its length or its chunks, and
    /// no event begun. Anything less is `Broken`.
    Complete,
    /// An executor's own 500.
    Failed500,
    /// An executor's 422: the item can never be done.
    Rejected422,
    /// An answer that says that the item was not run, or no executor was reached.
    NotExecuted,
    /// The stream broke off, or nothing is known.
    Broken,
    /// 421: another executor, or other weights.
    Misdirected,
}

/// What came of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventTaken {
    /// It stands in the text.
    Taken,
    /// The run is over, or never was. The connection is to be closed.
    NoSuchRun,
    /// It doesn't follow on the last event. The run is over and the connection to be closed; the item runs anew
    /// from the last good event.
    CutOff,
}

/// The room that there is for items now.
pub trait Room {
    /// The most tokens that an item of the route may have to be run now; none: no item of it may.
    fn tokens_for(&self, route: &str) -> Option<u64>;
}

impl<F: Fn(&str) -> Option<u64>> Room for F {
    fn tokens_for(&self, route: &str) -> Option<u64> {
        self(route)
    }
}

/// The bytes of text after which results go into a further entry.
const MAX_ENTRY_TEXT_BYTES: usize = 512 << 10;

/// What the leader of a partition knows of its items. Exists on each replica, as the ages of jobs are watched there
/// too; runs only between [`Runner::begin`] and [`Runner::cease`].
#[derive(Debug)]
pub struct Runner {
    is_leader: bool,
    /// When each job was first seen here, on the steady clock: no earlier than its first send.
    seen: BTreeMap<JobId, Instant>,
    jobs: BTreeMap<JobId, JobRun>,
    runs: HashMap<RunId, (JobId, ItemIndex)>,
    last_run: u64,
    turns: u64,
    decided: Vec<(JobId, ItemResult)>,
    failures: Vec<(JobId, ItemIndex)>,
    cut_off: Vec<RunId>,
    pace: Pace,
}

impl Runner {
    /// A runner that runs nothing yet. `seed` spreads the pauses of retries.
    pub fn new(seed: u64) -> Runner {
        Runner {
            is_leader: false,
            seen: BTreeMap::new(),
            jobs: BTreeMap::new(),
            runs: HashMap::new(),
            last_run: 0,
            turns: 0,
            decided: Vec::new(),
            failures: Vec::new(),
            cut_off: Vec::new(),
            pace: Pace::new(seed),
        }
    }

    /// Takes note of jobs that came by a snapshot or from the disk: their ages begin now.
    pub fn adopt(&mut self, jobs: &Jobs, now: Instant) {
        self.seen.retain(|job, _| jobs.contains(job));
        for job in jobs.names() {
            self.seen.entry(job.clone()).or_insert(now);
        }
    }

    /// The partition is led from now on, all that earlier terms committed being applied. Items that are not listed
    /// begin anew, from what is committed of them. `wall_ms`, the wall clock in ms since 1970, is only a hint to
    /// which of the jobs are urgent.
    pub fn begin(&mut self, jobs: &Jobs, now: Instant, wall_ms: u64) {
        self.stop();
        self.adopt(jobs, now);
        self.is_leader = true;
        for (id, job) in jobs.all().filter(|(_, job)| job.is_open()) {
            let age_ms = wall_ms.saturating_sub(job.terms().accepted_at_wall_ms);
            self.take_on(jobs, id, now, schedule::millis(age_ms));
        }
    }

    /// The partition is no longer led: all runs are to be cut off, see [`Runner::take_cut_off`]. What was decided
    /// but not committed is left to the next leader.
    pub fn cease(&mut self) {
        self.stop();
        self.is_leader = false;
    }

    fn stop(&mut self) {
        self.cut_off.extend(self.runs.drain().map(|(run, _)| run));
        self.jobs.clear();
        self.decided.clear();
        self.failures.clear();
    }

    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    fn take_on(&mut self, jobs: &Jobs, id: &JobId, now: Instant, age_by_wall: Duration) {
        let Some(job) = jobs.job(id) else { return };
        let seen = self.seen.get(id).copied().unwrap_or(now);
        self.jobs.insert(id.clone(), JobRun::new(job, seen, age_by_wall, now, self.turns));
    }

    /// Takes note of an applied entry, on every replica.
    pub fn applied(&mut self, jobs: &Jobs, applied: &Applied, now: Instant) {
        match applied {
            Applied::Submitted { job, already: false } => {
                self.seen.insert(job.clone(), now);
                if self.is_leader && jobs.is_open(job) {
                    self.take_on(jobs, job, now, Duration::default());
                }
            }
            Applied::Listed(items) => {
                for (job, item) in items {
                    self.drop_item(job, *item);
                }
            }
            Applied::Ended { job, state: EndState::Now } => self.drop_job(job),
            Applied::Forgotten(forgotten) => {
                for job in forgotten {
                    self.seen.remove(job);
                    self.drop_job(job);
                }
            }
            Applied::Submitted { .. } | Applied::Ended { .. } | Applied::Progressed(_) => {}
        }
    }

    fn drop_item(&mut self, id: &JobId, item: ItemIndex) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(Phase::Running(run)) = job.remove(item) {
            self.runs.remove(&run);
            self.cut_off.push(run);
        }
        if job.is_empty() {
            self.jobs.remove(id);
        }
    }

    fn drop_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.remove(id) else { return };
        for run in job.runs() {
            self.runs.remove(&run);
            self.cut_off.push(run);
        }
        self.decided.retain(|(job, _)| job != id);
    }

    /// The item that is to run now in this room, if any.
    pub fn next_item(&mut self, jobs: &Jobs, now: Instant, room: &impl Room) -> Option<RunOrder> {
        for job in self.jobs.values_mut() {
            job.wake(now);
        }
        let is_fair_turn = schedule::is_fair_turn(self.turns);
        let expected = self.pace.expected_run();
        let mut rooms = RouteRooms { room, known: Vec::new() };
        let fitting = self.jobs.iter().filter(|(_, job)| !job.is_given_up(now) && rooms.have_for(job));
        let first = fitting.min_by_key(|(_, job)| job.rank(now, expected, is_fair_turn));
        let id = first.map(|(id, _)| id.clone())?;
        self.start_one(jobs, &id, now, room)
    }

    fn start_one(&mut self, jobs: &Jobs, id: &JobId, now: Instant, room: &impl Room) -> Option<RunOrder> {
        let job = jobs.job(id)?;
        let room_tokens = room.tokens_for(job.route())?;
        let run = RunId(self.last_run + 1);
        let job_run = self.jobs.get_mut(id)?;
        let item = job_run.start(room_tokens, run, now, self.turns)?;
        let Some(open) = job.open_item(item) else {
            job_run.remove(item);
            return None;
        };
        self.last_run += 1;
        self.turns += 1;
        self.runs.insert(run, (id.clone(), item));
        let last_event_id = job_run.item(item).and_then(ItemRun::last_event);
        let spec = &open.spec;
        Some(RunOrder {
            run,
            job: id.clone(),
            item,
            attempt_id: spec.id.clone(),
            route: job.route().to_owned(),
            service: job.service().to_owned(),
            host: job.host().to_owned(),
            path: spec.path.clone(),
            headers: spec.headers.clone(),
            body: spec.body.clone(),
            last_event_id,
            token_count: spec.token_count,
            tokens: spec.tokens(),
        })
    }

    /// A whole event of a run has come.
    pub fn run_event(&mut self, run: RunId, id: u64, data: &str, now: Instant) -> EventTaken {
        let Some(item) = self.running(run) else { return EventTaken::NoSuchRun };
        if item.take_event(id, data) {
            return EventTaken::Taken;
        }
        item.misfit();
        self.pause(run, pace::BROKEN, now);
        EventTaken::CutOff
    }

    fn running(&mut self, run: RunId) -> Option<&mut ItemRun> {
        let (job, item) = self.runs.get(&run)?;
        self.jobs.get_mut(job)?.item_mut(*item)
    }

    /// A run is over. Runs that were cut off, or that are not known, are passed over.
    pub fn run_ended(&mut self, run: RunId, outcome: Outcome, now: Instant) {
        let Some(item) = self.running(run) else { return };
        match outcome {
            Outcome::Complete if item.last_event().is_some() => self.complete(run, now),
            Outcome::Complete | Outcome::Broken => self.pause(run, pace::BROKEN, now),
            Outcome::NotExecuted | Outcome::Misdirected => self.pause(run, pace::NOT_EXECUTED, now),
            Outcome::Rejected422 => self.give_up(run),
            Outcome::Failed500 => self.failed(run, now),
        }
    }

    fn complete(&mut self, run: RunId, now: Instant) {
        let Some((id, item)) = self.runs.remove(&run) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some((text, started)) = job.complete(item) {
            self.pace.ran(now.since(started));
            self.decided.push((id, ItemResult { item, state: ResultState::Complete, text: text.into() }));
        }
    }

    fn give_up(&mut self, run: RunId) {
        let Some((id, item)) = self.runs.remove(&run) else { return };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.decide(item);
            self.decided.push((id, dead_letter(item)));
        }
    }

    fn failed(&mut self, run: RunId, now: Instant) {
        let Some((id, item)) = self.runs.get(&run).cloned() else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.count_failure(item) {
            self.give_up(run);
        } else {
            self.failures.push((id, item));
            self.pause(run, pace::FAILED, now);
        }
    }

    fn pause(&mut self, run: RunId, backoff: pace::Backoff, now: Instant) {
        let Some((id, item)) = self.runs.remove(&run) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let tries = job.item_mut(item).map_or(0, ItemRun::count_try);
        job.pause(item, now + self.pace.pause(backoff, tries));
    }

    /// Gives up what is past its retention. To be called now and then, see [`Runner::next_wake`].
    pub fn tick(&mut self, now: Instant) {
        let late: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| job.is_given_up(now)).map(|(id, _)| id.clone()).collect();
        for id in late {
            self.give_up_job(&id);
        }
    }

    /// The route is no longer in the committed configuration: its items are given up. There is no way back.
    pub fn route_ended(&mut self, route: &str) {
        self.retain_routes(|other| other != route);
    }

    /// Gives up the items of all routes that are no longer in the committed configuration. To be called when it
    /// changes and after [`Runner::begin`]. There is no way back.
    pub fn retain_routes(&mut self, is_there: impl Fn(&str) -> bool) {
        let jobs = self.jobs.iter();
        let ended: Vec<JobId> =
            jobs.filter(|(_, job)| !is_there(job.route())).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.give_up_job(&id);
        }
    }

    fn give_up_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (item, phase) in job.decide_all() {
            if let Phase::Running(run) = phase {
                self.runs.remove(&run);
                self.cut_off.push(run);
            }
            self.decided.push((id.clone(), dead_letter(item)));
        }
    }

    /// The runs whose connections are to be closed at once. Nothing need be said of them afterwards.
    pub fn take_cut_off(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.cut_off)
    }

    /// What is to be proposed to the log: the results of all items that came out since the last call, in few
    /// entries, and counts of failures. If an entry is not taken, see [`Runner::not_proposed`].
    pub fn take_proposals(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let decided = std::mem::take(&mut self.decided);
        let mut batch = Batch::default();
        for (job, result) in decided {
            if batch.is_full(result.text.len()) {
                entries.push(Entry::Results(std::mem::take(&mut batch).jobs));
            }
            batch.add(job, result);
        }
        if !batch.jobs.is_empty() {
            entries.push(Entry::Results(batch.jobs));
        }
        let failures = std::mem::take(&mut self.failures);
        let progress: Vec<ItemProgress> =
            failures.into_iter().filter_map(|(job, item)| self.failures_of(job, item)).collect();
        entries
            .extend(progress.chunks(MAX_JOBS_IN_ENTRY).map(|partition| Entry::Progress(partition.to_vec())));
        entries
    }

    fn failures_of(&self, job: JobId, item: ItemIndex) -> Option<ItemProgress> {
        let failed_attempts = self.jobs.get(&job)?.item(item)?.undecided_failures()?;
        Some(ItemProgress { job, item, failed_attempts, events: None })
    }

    /// An entry of [`Runner::take_proposals`] can never be committed, though the partition is still led: its results
    /// are proposed again.
    pub fn not_proposed(&mut self, entry: Entry) {
        if !self.is_leader {
            return;
        }
        match entry {
            Entry::Results(batches) => {
                for JobResults { job, results } in batches {
                    let Some(run) = self.jobs.get(&job) else { continue };
                    let still = results.into_iter().filter(|result| run.is_decided(result.item));
                    self.decided.extend(still.map(|result| (job.clone(), result)));
                }
            }
            Entry::Progress(items) => {
                self.failures.extend(items.into_iter().map(|progress| (progress.job, progress.item)));
            }
            Entry::Submit { .. } | Entry::Ended { .. } | Entry::Forget { .. } => {}
        }
    }

    /// Unfinished texts as far as they are not committed, for a planned change of the leader: the next one goes on
    /// from there. To be called until there are none; what was handed out counts as committed.
    pub fn checkpoint(&mut self) -> Option<Entry> {
        let mut progress = Vec::new();
        let mut text_bytes = 0;
        for (id, job) in &mut self.jobs {
            for (item, failed_attempts, events) in job.checkpoints() {
                text_bytes += events.text.len();
                progress.push(ItemProgress { job: id.clone(), item, failed_attempts, events: Some(events) });
                if text_bytes >= MAX_ENTRY_TEXT_BYTES || progress.len() >= MAX_JOBS_IN_ENTRY {
                    return Some(Entry::Progress(progress));
                }
            }
        }
        (!progress.is_empty()).then_some(Entry::Progress(progress))
    }

    /// The jobs that nobody may ask for any longer: not open, and first seen here `status` ago or more.
    pub fn forgettable(&self, jobs: &Jobs, now: Instant, status: Duration) -> Vec<JobId> {
        let old = self.seen.iter().filter(|(_, seen)| now.since(**seen) >= status);
        let over = old.filter(|(job, _)| jobs.contains(job) && !jobs.is_open(job));
        over.map(|(job, _)| job.clone()).take(MAX_JOBS_IN_ENTRY).collect()
    }

    /// When something changes by itself: a pause ends or a job is given up.
    pub fn next_wake(&self) -> Option<Instant> {
        self.jobs.values().filter_map(JobRun::next_wake).min()
    }

    /// The tokens of the item of a route that would run next if there were room for any. Who never leaves room
    /// for it lets large items wait behind small ones for good.
    pub fn first_in_line(&self, route: &str, now: Instant) -> Option<u64> {
        let expected = self.pace.expected_run();
        let jobs = self.jobs.values().filter(|job| job.route() == route && !job.is_given_up(now));
        let ready = jobs.filter_map(|job| Some((job.rank(now, expected, false), job.largest_ready()?)));
        ready.min_by_key(|(rank, _)| *rank).map(|(_, tokens)| tokens)
    }

    /// How many items run.
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// How many items run, and how many could if there were room.
    pub fn load(&self) -> PartitionLoad {
        let count = |items: usize| u32::try_from(items).unwrap_or(u32::MAX);
        let waiting = self.jobs.values().map(JobRun::ready_count).sum();
        PartitionLoad { running: count(self.runs.len()), waiting: count(waiting) }
    }

    /// The tokens of a route's items that are neither running nor decided.
    pub fn idle_tokens(&self, route: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.route() == route);
        jobs.fold(0, |sum, job| sum.saturating_add(job.idle_tokens()))
    }
}

fn dead_letter(item: ItemIndex) -> ItemResult {
    ItemResult { item, state: ResultState::DeadLetter, text: SharedText::default() }
}

/// The room for each route as it was asked for in one turn.
struct RouteRooms<'a, R> {
    room: &'a R,
    /// Routes are few.
    known: Vec<(String, Option<u64>)>,
}

impl<R: Room> RouteRooms<'_, R> {
    /// Whether an item of the job may run now.
    fn have_for(&mut self, job: &JobRun) -> bool {
        if !job.has_ready() {
            return false;
        }
        let known = self.known.iter().find(|(route, _)| route == job.route());
        let tokens = match known {
            Some((_, tokens)) => *tokens,
            None => {
                let tokens = self.room.tokens_for(job.route());
                self.known.push((job.route().to_owned(), tokens));
                tokens
            }
        };
        tokens.is_some_and(|tokens| job.fits(tokens))
    }
}

/// The results of one entry as they gather.
#[derive(Default)]
struct Batch {
    jobs: Vec<JobResults>,
    text_bytes: usize,
}

impl Batch {
    fn is_full(&self, more_text_bytes: usize) -> bool {
        let is_long = self.text_bytes > 0 && self.text_bytes + more_text_bytes > MAX_ENTRY_TEXT_BYTES;
        is_long || self.jobs.len() >= MAX_JOBS_IN_ENTRY
    }

    /// Results of one job share its name.
    fn add(&mut self, job: JobId, result: ItemResult) {
        self.text_bytes += result.text.len();
        match self.jobs.iter_mut().find(|batch| batch.job == job) {
            Some(batch) => batch.results.push(result),
            None => self.jobs.push(JobResults { job, results: vec![result] }),
        }
    }
}

//! Three replicas, executors and links that do all they may do wrong, by seeds; a reader and a client judge what
//! comes of it by the rules.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_batch::*;
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

use crate::fixture::*;

const REPLICAS: usize = 3;
const LIMIT: u64 = 6_000;
/// Clients are busy with so many jobs at a time, and take up a new one every so many turns.
const JOBS_AT_A_TIME: u64 = 6;
const TURNS_A_JOB: u64 = 60;
/// Long enough that no client still sends a job that may be forgotten.
const STATUS: Duration = Duration::from_millis(30_000);

/// `SplitMix64`.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % sides
    }

    fn one_in(&mut self, sides: u64) -> bool {
        self.roll(sides) == 0
    }
}

struct Replica {
    jobs: Jobs,
    runner: Runner,
    applied: usize,
}

/// A run at an executor, which sends the event `next` next.
struct Run {
    order: RunOrder,
    next: u64,
    /// An event was left out: what follows is to be refused, and an executor never ends such a stream properly.
    has_gap: bool,
}

struct Storm {
    dice: Dice,
    now: Instant,
    log: Vec<Entry>,
    replicas: Vec<Replica>,
    leader: usize,
    admission: AdmissionControl,
    /// Proposed by the leader and not committed yet; lost when it changes, or some of it committed after all.
    proposed: Vec<Entry>,
    runs: Vec<Run>,
    fails: BTreeMap<String, u32>,
    listed: BTreeMap<(JobId, usize), ListedResult>,
    turns: u64,
    /// And when a reader first knew of them.
    accepted: BTreeMap<JobId, Instant>,
    ended: BTreeSet<JobId>,
}

/// The output of an item: which one it is, and how long, is told by its name.
fn output(attempt_id: &str) -> Vec<String> {
    let length = 1 + attempt_id.bytes().map(u64::from).sum::<u64>() % 9;
    (0..length).map(|number| format!("{attempt_id} says {number}")).collect()
}

/// Some can never be done.
fn is_poison(attempt_id: &str) -> bool {
    attempt_id.ends_with("-7")
}

impl Storm {
    fn new(seed: u64) -> Storm {
        let replica = |number| Replica { jobs: Jobs::new(), runner: runner(seed * 10 + number), applied: 0 };
        let mut storm = Storm {
            dice: Dice(seed),
            now: at(1_000),
            log: Vec::new(),
            replicas: (0..REPLICAS as u64).map(replica).collect(),
            leader: 0,
            admission: AdmissionControl::new(usize::MAX),
            proposed: Vec::new(),
            runs: Vec::new(),
            fails: BTreeMap::new(),
            listed: BTreeMap::new(),
            turns: 0,
            accepted: BTreeMap::new(),
            ended: BTreeSet::new(),
        };
        storm.begin(0);
        storm
    }

    fn begin(&mut self, leader: usize) {
        self.leader = leader;
        self.catch_up(leader);
        self.admission = AdmissionControl::new(usize::MAX);
        let wall_ms = 1_000_000 + self.dice.roll(200_000);
        let replica = &mut self.replicas[leader];
        replica.runner.start_leading(&replica.jobs, self.now, wall_ms);
    }

    fn catch_up(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        for entry in &self.log[replica.applied..] {
            let applied = replica.jobs.apply(entry.clone());
            replica.runner.applied(&replica.jobs, &applied, self.now);
            if number == self.leader {
                self.admission.applied(&applied);
            }
        }
        replica.applied = self.log.len();
    }

    /// A replica comes back from its disk, or from another's snapshot.
    fn restore(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        replica.jobs = Jobs::from_snapshot(&replica.jobs.to_snapshot()).expect("whole");
        replica.runner = runner(self.now.0);
        replica.runner.track_jobs(&replica.jobs, self.now);
    }

    /// The leader fails. Any prefix of its proposals may be committed; its runs continue without a reader.
    fn change_leader(&mut self) {
        let committed = self.dice.roll(self.proposed.len() as u64 + 1) as usize;
        self.log.extend(self.proposed.drain(..).take(committed));
        let old = self.leader;
        self.replicas[old].runner.stop_leading();
        self.replicas[old].runner.take_cancelled();
        self.runs.clear();
        if self.dice.one_in(2) {
            self.restore(old);
        }
        let new = self.dice.roll(REPLICAS as u64) as usize;
        self.begin(new);
    }

    fn commit(&mut self) {
        self.log.append(&mut self.proposed);
        self.catch_up(self.leader);
    }

    fn propose(&mut self) {
        let entries = proposals(&mut self.replicas[self.leader].runner);
        for entry in entries {
            if self.dice.one_in(10) {
                self.replicas[self.leader].runner.not_proposed(entry);
            } else {
                self.proposed.push(entry);
            }
        }
        if self.dice.one_in(10) {
            self.proposed.extend(self.replicas[self.leader].runner.checkpoint());
        }
    }

    /// A client sends a job, again and again until it is kept.
    fn submit(&mut self) {
        let number = self.turns / TURNS_A_JOB + self.dice.roll(JOBS_AT_A_TIME);
        let submission = submission(&format!("j{number}"), 1 + number as usize % 16);
        let jobs = &self.replicas[self.leader].jobs;
        if self.admission.admit(jobs, &submission, LIMIT) == Admission::Propose {
            let settings = JobSettings { retention_ms: 0, ..settings() };
            self.proposed.push(Entry::Submit { submission, settings });
        }
    }

    fn end_one(&mut self) {
        let number = self.turns / TURNS_A_JOB + self.dice.roll(JOBS_AT_A_TIME);
        let id = job(&format!("j{number}"));
        if self.accepted.contains_key(&id) && self.dice.one_in(3) {
            self.ended.insert(id.clone());
            self.proposed.push(Entry::Ended { job: id });
        }
    }

    fn start_runs(&mut self) {
        let room = 1 + self.dice.roll(4) as usize;
        let replica = &mut self.replicas[self.leader];
        while self.runs.len() < 8 + room {
            let Some(order) = replica.runner.next_item(&replica.jobs, self.now, &any_capacity) else { break };
            assert_eq!(order.body.as_slice(), format!("body of {}", order.attempt_id).as_bytes());
            assert!(!replica.jobs.has_ended(&order.job), "UNASKED");
            let next = order.last_event_id.map_or(0, |last| last + 1);
            self.runs.push(Run { order, next, has_gap: false });
        }
    }

    /// One executor does something, right or wrong.
    fn step_run(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let place = self.dice.roll(self.runs.len() as u64) as usize;
        let order = self.runs[place].order.clone();
        let outcome = match self.dice.roll(40) {
            0 => Some(RunOutcome::Broken),
            1 => Some(RunOutcome::NotExecuted),
            2 => Some(RunOutcome::Misdirected),
            3 => Some(RunOutcome::Failed500),
            _ if is_poison(&order.attempt_id) => Some(RunOutcome::Rejected422),
            4 => self.skip_events(place, 1),
            5 => self.skip_events(place, -1),
            _ => self.send_event(place),
        };
        let Some(outcome) = outcome else { return };
        if outcome == RunOutcome::Failed500 {
            *self.fails.entry(order.attempt_id.clone()).or_default() += 1;
        }
        self.runs.swap_remove(place);
        self.replicas[self.leader].runner.run_ended(order.run, outcome, self.now);
    }

    /// The executor leaves an event out or sends one again. The first event of a run from the start is the first
    /// whatever its id; there is nothing to tell it by.
    fn skip_events(&mut self, place: usize, by: i64) -> Option<RunOutcome> {
        let run = &mut self.runs[place];
        let can_be_told = run.next > 0 && !run.has_gap;
        if can_be_told {
            run.next = run.next.saturating_add_signed(by);
            run.has_gap = true;
        }
        None
    }

    fn send_event(&mut self, place: usize) -> Option<RunOutcome> {
        let run = &mut self.runs[place];
        let events = output(&run.order.attempt_id);
        let Some(data) = events.get(run.next as usize) else {
            return Some(if run.has_gap { RunOutcome::Broken } else { RunOutcome::Complete });
        };
        let taken = self.replicas[self.leader].runner.run_event(run.order.run, run.next, data, self.now);
        run.next += 1;
        if run.has_gap {
            assert_ne!(taken, EventDisposition::Accepted, "ORDER: an event that doesn't follow");
        }
        (taken != EventDisposition::Accepted).then_some(RunOutcome::Broken)
    }

    fn close_cancelled(&mut self) {
        let cancelled = self.replicas[self.leader].runner.take_cancelled();
        self.runs.retain(|run| !cancelled.contains(&run.order.run));
    }

    /// A reader looks at all of it, at the leader.
    fn check_invariants(&mut self) {
        let jobs = &self.replicas[self.leader].jobs;
        assert!(jobs.waiting_tokens(ROUTE) <= LIMIT, "QUOTA");
        for id in jobs.names() {
            self.accepted.entry(id.clone()).or_insert(self.now);
        }
        for (id, since) in &self.accepted {
            if self.now.since(*since) >= STATUS && !jobs.is_open(id) {
                continue;
            }
            let page = jobs.read(id, 0, MAX_PAGE_BYTES).expect("LOST: the job");
            let mut names = BTreeSet::new();
            for (position, result) in page.results.iter().enumerate() {
                assert!(names.insert(result.item_id()), "TWICE: an item at two positions");
                let known = self.listed.entry((id.clone(), position)).or_insert_with(|| result.clone());
                assert_eq!(known, result, "TWICE: a position changed");
                check_result(id, result, &self.fails);
            }
            let read = self.listed.range((id.clone(), 0)..).take_while(|((job, _), _)| job == id).count();
            assert_eq!(read, page.results.len(), "LOST: a position");
        }
    }

    fn forget(&mut self) {
        let replica = &self.replicas[self.leader];
        let jobs = replica.runner.expired_jobs(&replica.jobs, self.now, STATUS);
        if !jobs.is_empty() {
            self.proposed.push(Entry::Forget { jobs });
        }
    }

    fn turn(&mut self, calm: bool) {
        self.turns += 1;
        self.now = self.now + Duration::from_millis(self.dice.roll(60));
        if !calm {
            match self.dice.roll(60) {
                0 => self.change_leader(),
                1 => self.end_one(),
                2..=8 => self.submit(),
                9 => self.forget(),
                _ => {}
            }
        }
        self.start_runs();
        for _ in 0..6 {
            self.step_run();
        }
        self.replicas[self.leader].runner.tick(self.now);
        self.propose();
        if self.dice.one_in(3) {
            self.commit();
            self.close_cancelled();
        }
        if self.turns.is_multiple_of(25) {
            self.commit();
            self.check_invariants();
        }
        if self.dice.one_in(20) {
            let follower = self.dice.roll(REPLICAS as u64) as usize;
            if follower != self.leader {
                self.catch_up(follower);
            }
        }
    }

    fn is_done(&self) -> bool {
        let jobs = &self.replicas[self.leader].jobs;
        self.proposed.is_empty() && jobs.names().all(|id| !jobs.is_open(id))
    }
}

fn check_result(id: &JobId, result: &ListedResult, fails: &BTreeMap<String, u32>) {
    assert!(result.item_id().starts_with(&format!("{id}-")), "MIXED: an item of another job");
    match result.state() {
        ResultState::Complete => {
            assert_eq!(result.text(), output(result.item_id()).join("\n"), "MIXED or ORDER");
        }
        ResultState::DeadLetter => {
            let failed = fails.get(result.item_id()).copied().unwrap_or(0);
            assert!(is_poison(result.item_id()) || failed >= 3, "MIXED: given up after {failed}");
        }
    }
}

#[rstest]
fn random_faults_violate_no_invariant(#[values(1, 2, 3, 4, 5, 6, 7, 8)] block: u64) {
    for seed in block * 1_000..block * 1_000 + 8 {
        let mut storm = Storm::new(seed);
        for _ in 0..1_500 {
            storm.turn(false);
        }
        let calm = (0..5_000).find(|_| {
            storm.turn(true);
            storm.is_done()
        });
        assert!(calm.is_some(), "seed {seed}: jobs that were accepted never came to an end");
        storm.check_invariants();
        assert!(storm.accepted.len() > 20, "seed {seed}: hardly a job was tried");
        assert!(storm.listed.len() > 100, "seed {seed}: hardly an item was listed");
        let leader = storm.replicas[storm.leader].jobs.to_snapshot();
        for number in 0..REPLICAS {
            storm.catch_up(number);
            assert_eq!(storm.replicas[number].jobs.to_snapshot(), leader, "seed {seed}: replicas differ");
        }
    }
}

//! Random faults of three replicas, executors and links, determined by a seed. A client that reads all results checks
//! the invariants of batch jobs.

use std::collections::{BTreeMap, BTreeSet};

use grebeusher_batch::*;
use grebeusher_time::{Duration, Instant};
use rstest::rstest;

use crate::fixture::*;

const REPLICAS: usize = 3;
/// The maximum number of tokens that may wait on the route.
const QUEUE_TOKEN_LIMIT: u64 = 6_000;
/// The number of jobs that clients submit and end at a time.
const CONCURRENT_JOBS: u64 = 6;
/// The number of steps of the simulation after which clients replace one of their jobs with a new one.
const STEPS_PER_JOB: u64 = 60;
/// How long results are served. It is so long that no client still submits a job that may be removed.
const STATUS_TTL: Duration = Duration::from_millis(30_000);

/// A `SplitMix64` random number generator.
struct Random(u64);

impl Random {
    /// A random number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % bound
    }

    /// Returns true with a probability of one in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

struct Replica {
    jobs: Jobs,
    runner: Runner,
    /// The number of log entries that the replica has applied.
    applied: usize,
}

/// A run at an executor.
struct Run {
    request: RunRequest,
    /// The id of the event that the executor sends next.
    next_event: u64,
    /// Whether an event was skipped or repeated. The runner has to reject the next event, and the executor never
    /// completes the stream.
    has_gap: bool,
}

struct FaultSimulation {
    random: Random,
    now: Instant,
    log: Vec<Entry>,
    replicas: Vec<Replica>,
    leader: usize,
    admission: AdmissionControl,
    /// The entries that the leader has proposed and that are not committed yet. When the leader changes, a random prefix
    /// of them is committed and the others are lost.
    proposed: Vec<Entry>,
    /// The runs at executors that the leader has started and that have not ended.
    runs: Vec<Run>,
    /// The number of 500 responses by item id.
    failed_attempts: BTreeMap<String, u32>,
    /// The results that the client has read, by job and position.
    read_results: BTreeMap<(JobId, usize), ListedResult>,
    /// The number of steps of the simulation so far.
    step_count: u64,
    /// The accepted jobs, with the time at which the client first saw them.
    accepted: BTreeMap<JobId, Instant>,
    /// The jobs whose end the client has requested.
    ended: BTreeSet<JobId>,
}

/// The events that an executor sends for an item. Their data and their number depend on the id of the item.
fn output(attempt_id: &str) -> Vec<String> {
    let length = 1 + attempt_id.bytes().map(u64::from).sum::<u64>() % 9;
    (0..length).map(|number| format!("{attempt_id} says {number}")).collect()
}

/// Whether executors always reject the item with 422.
fn is_always_rejected(attempt_id: &str) -> bool {
    attempt_id.ends_with("-7")
}

impl FaultSimulation {
    fn new(seed: u64) -> FaultSimulation {
        let replica = |number| Replica { jobs: Jobs::new(), runner: runner(seed * 10 + number), applied: 0 };
        let mut simulation = FaultSimulation {
            random: Random(seed),
            now: at(1_000),
            log: Vec::new(),
            replicas: (0..REPLICAS as u64).map(replica).collect(),
            leader: 0,
            admission: AdmissionControl::new(usize::MAX),
            proposed: Vec::new(),
            runs: Vec::new(),
            failed_attempts: BTreeMap::new(),
            read_results: BTreeMap::new(),
            step_count: 0,
            accepted: BTreeMap::new(),
            ended: BTreeSet::new(),
        };
        simulation.start_leading(0);
        simulation
    }

    fn start_leading(&mut self, leader: usize) {
        self.leader = leader;
        self.catch_up(leader);
        self.admission = AdmissionControl::new(usize::MAX);
        let wall_ms = 1_000_000 + self.random.below(200_000);
        let replica = &mut self.replicas[leader];
        replica.runner.start_leading(&replica.jobs, self.now, wall_ms);
    }

    fn catch_up(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        for entry in &self.log[replica.applied..] {
            let applied = replica.jobs.apply(entry.clone());
            replica.runner.on_applied(&replica.jobs, &applied, self.now);
            if number == self.leader {
                self.admission.on_applied(&applied);
            }
        }
        replica.applied = self.log.len();
    }

    /// Restarts a replica from a snapshot.
    fn restore(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        replica.jobs = Jobs::from_snapshot(&replica.jobs.to_snapshot()).expect("valid bytes");
        replica.runner = runner(self.now.0);
        replica.runner.track_jobs(&replica.jobs, self.now);
    }

    /// Replaces the leader. A random prefix of its proposals is committed, and its runs are abandoned.
    fn change_leader(&mut self) {
        let committed = self.random.below(self.proposed.len() as u64 + 1) as usize;
        self.log.extend(self.proposed.drain(..).take(committed));
        let old = self.leader;
        self.replicas[old].runner.stop_leading();
        self.replicas[old].runner.take_cancelled();
        self.runs.clear();
        if self.random.one_in(2) {
            self.restore(old);
        }
        let new = self.random.below(REPLICAS as u64) as usize;
        self.start_leading(new);
    }

    fn commit(&mut self) {
        self.log.append(&mut self.proposed);
        self.catch_up(self.leader);
    }

    fn propose(&mut self) {
        let entries = proposals(&mut self.replicas[self.leader].runner);
        for entry in entries {
            if self.random.one_in(10) {
                self.replicas[self.leader].runner.not_proposed(entry);
            } else {
                self.proposed.push(entry);
            }
        }
        if self.random.one_in(10) {
            self.proposed.extend(self.replicas[self.leader].runner.checkpoint());
        }
    }

    /// A client submits one of its jobs, which it may have submitted before.
    fn submit(&mut self) {
        let number = self.step_count / STEPS_PER_JOB + self.random.below(CONCURRENT_JOBS);
        let submission = submission(&format!("j{number}"), 1 + number as usize % 16);
        let jobs = &self.replicas[self.leader].jobs;
        if self.admission.admit(jobs, &submission, QUEUE_TOKEN_LIMIT) == Admission::Propose {
            let settings = JobSettings { retention_ms: 0, ..settings() };
            self.proposed.push(Entry::Submit { submission, settings });
        }
    }

    fn end_random_job(&mut self) {
        let number = self.step_count / STEPS_PER_JOB + self.random.below(CONCURRENT_JOBS);
        let id = job(&format!("j{number}"));
        if self.accepted.contains_key(&id) && self.random.one_in(3) {
            self.ended.insert(id.clone());
            self.proposed.push(Entry::Ended { job: id });
        }
    }

    fn start_runs(&mut self) {
        let free_slots = 1 + self.random.below(4) as usize;
        let replica = &mut self.replicas[self.leader];
        while self.runs.len() < 8 + free_slots {
            let Some(request) = replica.runner.next_item(&replica.jobs, self.now, &any_capacity) else {
                break;
            };
            assert_eq!(request.body.as_slice(), format!("body of {}", request.attempt_id).as_bytes());
            assert!(!replica.jobs.has_ended(&request.job), "a job that has ended runs no item");
            let next_event = request.last_event_id.map_or(0, |last| last + 1);
            self.runs.push(Run { request, next_event, has_gap: false });
        }
    }

    /// A random executor sends an event, completes its run, or fails in a random way.
    fn step_run(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let run_index = self.random.below(self.runs.len() as u64) as usize;
        let request = self.runs[run_index].request.clone();
        let outcome = match self.random.below(40) {
            0 => Some(RunOutcome::Broken),
            1 => Some(RunOutcome::NotExecuted),
            2 => Some(RunOutcome::Misdirected),
            3 => Some(RunOutcome::Failed500),
            _ if is_always_rejected(&request.attempt_id) => Some(RunOutcome::Rejected422),
            4 => self.skip_events(run_index, 1),
            5 => self.skip_events(run_index, -1),
            _ => self.send_event(run_index),
        };
        let Some(outcome) = outcome else { return };
        if outcome == RunOutcome::Failed500 {
            *self.failed_attempts.entry(request.attempt_id.clone()).or_default() += 1;
        }
        self.runs.swap_remove(run_index);
        self.replicas[self.leader].runner.run_ended(request.run, outcome, self.now);
    }

    /// The executor skips an event (`by` is 1) or repeats one (`by` is -1). It never does this with the first event of a
    /// run from the start, which may have any id, so the runner could not detect it.
    fn skip_events(&mut self, run_index: usize, by: i64) -> Option<RunOutcome> {
        let run = &mut self.runs[run_index];
        let is_detectable = run.next_event > 0 && !run.has_gap;
        if is_detectable {
            run.next_event = run.next_event.saturating_add_signed(by);
            run.has_gap = true;
        }
        None
    }

    fn send_event(&mut self, run_index: usize) -> Option<RunOutcome> {
        let run = &mut self.runs[run_index];
        let events = output(&run.request.attempt_id);
        let Some(data) = events.get(run.next_event as usize) else {
            return Some(if run.has_gap { RunOutcome::Broken } else { RunOutcome::Complete });
        };
        let disposition =
            self.replicas[self.leader].runner.run_event(run.request.run, run.next_event, data, self.now);
        run.next_event += 1;
        if run.has_gap {
            assert_ne!(
                disposition,
                EventDisposition::Accepted,
                "an event that doesn't follow the last one is rejected"
            );
        }
        (disposition != EventDisposition::Accepted).then_some(RunOutcome::Broken)
    }

    fn close_cancelled(&mut self) {
        let cancelled = self.replicas[self.leader].runner.take_cancelled();
        self.runs.retain(|run| !cancelled.contains(&run.request.run));
    }

    /// A client reads all results from the leader and checks them.
    fn check_invariants(&mut self) {
        let jobs = &self.replicas[self.leader].jobs;
        assert!(jobs.waiting_tokens(ROUTE) <= QUEUE_TOKEN_LIMIT, "the tokens that wait exceed the limit");
        for id in jobs.ids() {
            self.accepted.entry(id.clone()).or_insert(self.now);
        }
        for (id, since) in &self.accepted {
            if self.now.since(*since) >= STATUS_TTL && !jobs.is_open(id) {
                continue;
            }
            let page = jobs.read(id, 0, MAX_PAGE_BYTES).expect("an accepted job is lost");
            let mut seen_ids = BTreeSet::new();
            for (position, result) in page.results.iter().enumerate() {
                assert!(seen_ids.insert(result.item_id()), "an item is at two positions");
                let known = self.read_results.entry((id.clone(), position)).or_insert_with(|| result.clone());
                assert_eq!(known, result, "the result at a position changed");
                check_result(id, result, &self.failed_attempts);
            }
            let read =
                self.read_results.range((id.clone(), 0)..).take_while(|((job, _), _)| job == id).count();
            assert_eq!(read, page.results.len(), "a result is lost");
        }
    }

    /// Proposes the removal of expired jobs.
    fn propose_expired_jobs(&mut self) {
        let replica = &self.replicas[self.leader];
        let jobs = replica.runner.expired_jobs(&replica.jobs, self.now, STATUS_TTL);
        if !jobs.is_empty() {
            self.proposed.push(Entry::Remove { jobs });
        }
    }

    /// Advances the simulation by one step. While `is_draining`, no job is submitted, ended or removed, and the leader
    /// stays the same.
    fn step(&mut self, is_draining: bool) {
        self.step_count += 1;
        self.now = self.now + Duration::from_millis(self.random.below(60));
        if !is_draining {
            match self.random.below(60) {
                0 => self.change_leader(),
                1 => self.end_random_job(),
                2..=8 => self.submit(),
                9 => self.propose_expired_jobs(),
                _ => {}
            }
        }
        self.start_runs();
        for _ in 0..6 {
            self.step_run();
        }
        self.replicas[self.leader].runner.give_up_expired_items(self.now);
        self.propose();
        if self.random.one_in(3) {
            self.commit();
            self.close_cancelled();
        }
        if self.step_count.is_multiple_of(25) {
            self.commit();
            self.check_invariants();
        }
        if self.random.one_in(20) {
            let follower = self.random.below(REPLICAS as u64) as usize;
            if follower != self.leader {
                self.catch_up(follower);
            }
        }
    }

    fn is_done(&self) -> bool {
        let jobs = &self.replicas[self.leader].jobs;
        self.proposed.is_empty() && jobs.ids().all(|id| !jobs.is_open(id))
    }
}

fn check_result(id: &JobId, result: &ListedResult, failed_attempts: &BTreeMap<String, u32>) {
    assert!(result.item_id().starts_with(&format!("{id}-")), "an item of another job");
    match result.state() {
        ResultState::Complete => {
            assert_eq!(result.text(), output(result.item_id()).join("\n"), "the text has wrong events");
        }
        ResultState::DeadLetter => {
            let failed = failed_attempts.get(result.item_id()).copied().unwrap_or(0);
            assert!(
                is_always_rejected(result.item_id()) || failed >= 3,
                "given up after {failed} failed attempts"
            );
        }
    }
}

#[rstest]
fn random_faults_violate_no_invariant(#[values(1, 2, 3, 4, 5, 6, 7, 8)] block: u64) {
    for seed in block * 1_000..block * 1_000 + 8 {
        let mut simulation = FaultSimulation::new(seed);
        for _ in 0..1_500 {
            simulation.step(false);
        }
        let completed = (0..5_000).find(|_| {
            simulation.step(true);
            simulation.is_done()
        });
        assert!(completed.is_some(), "seed {seed}: accepted jobs never completed");
        simulation.check_invariants();
        assert!(simulation.accepted.len() > 20, "seed {seed}: too few jobs were accepted");
        assert!(simulation.read_results.len() > 100, "seed {seed}: too few results were read");
        let leader = simulation.replicas[simulation.leader].jobs.to_snapshot();
        for number in 0..REPLICAS {
            simulation.catch_up(number);
            assert_eq!(
                simulation.replicas[number].jobs.to_snapshot(),
                leader,
                "seed {seed}: replicas differ"
            );
        }
    }
}

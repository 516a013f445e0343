//! A partition with a single leader, whose proposals are committed at once.

use std::rc::Rc;

use grebeusher_batch::*;
use grebeusher_time::Instant;

use crate::fixture::*;

pub struct Partition {
    pub jobs: Jobs,
    pub runner: Runner,
    pub now: Instant,
}

impl Partition {
    /// A partition without jobs, whose replica is the leader.
    pub fn with_leader() -> Partition {
        let mut partition = Partition { jobs: Jobs::new(), runner: runner(7), now: at(1_000) };
        partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
        partition
    }

    /// A partition with one job, whose replica is the leader.
    pub fn with_job(name: &str, items: usize) -> Partition {
        let mut partition = Partition::with_leader();
        partition.commit(submit(name, items));
        partition
    }

    /// Sets a configuration whose bulk routes have these path prefixes.
    pub fn set_prefixes(&mut self, prefixes: &[&'static str]) {
        self.runner.set_routes(&self.jobs, Rc::new(Prefixes(prefixes.to_vec())));
    }

    pub fn commit(&mut self, entry: Entry) -> Applied {
        let applied = self.jobs.apply(entry);
        self.runner.on_applied(&self.jobs, &applied, self.now);
        applied
    }

    /// Commits all entries that the runner proposes, and returns their number.
    pub fn commit_proposals(&mut self) -> usize {
        let entries = proposals(&mut self.runner);
        let count = entries.len();
        for entry in entries {
            self.commit(entry);
        }
        count
    }

    /// Advances the monotonic clock.
    pub fn advance_ms(&mut self, ms: u64) {
        self.now = self.now + grebeusher_time::Duration::from_millis(ms);
    }

    /// Starts the next item, if any may run, with unlimited capacity.
    pub fn try_next(&mut self) -> Option<RunRequest> {
        self.runner.next_item(&self.jobs, self.now, &any_capacity)
    }

    /// Starts the next item, with unlimited capacity. Panics if none may run.
    pub fn next(&mut self) -> RunRequest {
        self.try_next().expect("an item may run")
    }

    pub fn event(&mut self, request: &RunRequest, id: u64, data: &str) -> EventDisposition {
        self.runner.run_event(request.run, id, data, self.now)
    }

    pub fn end_run(&mut self, request: &RunRequest, outcome: RunOutcome) {
        self.runner.run_ended(request.run, outcome, self.now);
    }
}

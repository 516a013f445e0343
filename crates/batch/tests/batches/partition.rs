//! One partition with one leader, whose proposals are committed at once.

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
    pub fn led() -> Partition {
        let mut partition = Partition { jobs: Jobs::new(), runner: runner(7), now: at(1_000) };
        partition.runner.start_leading(&partition.jobs, partition.now, 1_000_000);
        partition
    }

    pub fn with_job(name: &str, items: usize) -> Partition {
        let mut partition = Partition::led();
        partition.commit(submit(name, items));
        partition
    }

    /// Another configuration is in force, with these prefixes.
    pub fn set_prefixes(&mut self, prefixes: &[&'static str]) {
        self.runner.set_routes(&self.jobs, Rc::new(Prefixes(prefixes.to_vec())));
    }

    pub fn commit(&mut self, entry: Entry) -> Applied {
        let applied = self.jobs.apply(entry);
        self.runner.applied(&self.jobs, &applied, self.now);
        applied
    }

    /// Commits all that the runner proposes; how many entries those were.
    pub fn settle(&mut self) -> usize {
        let entries = proposals(&mut self.runner);
        let count = entries.len();
        for entry in entries {
            self.commit(entry);
        }
        count
    }

    pub fn pass(&mut self, ms: u64) {
        self.now = self.now + grebeusher_time::Duration::from_millis(ms);
    }

    pub fn try_next(&mut self) -> Option<RunOrder> {
        self.runner.next_item(&self.jobs, self.now, &any_capacity)
    }

    pub fn next(&mut self) -> RunOrder {
        self.try_next().expect("an item may run")
    }

    pub fn event(&mut self, order: &RunOrder, id: u64, data: &str) -> EventDisposition {
        self.runner.run_event(order.run, id, data, self.now)
    }

    pub fn end_run(&mut self, order: &RunOrder, outcome: RunOutcome) {
        self.runner.run_ended(order.run, outcome, self.now);
    }
}

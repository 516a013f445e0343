//! What workers have: jobs that were handed to one and wait for its next fetch, and jobs that it has fetched. Whoever
//! hands one over hears exactly once what became of it.

use crate::command::WorkerState;
use grebeusher_dispatch::time::{Duration, Instant};
use std::collections::HashMap;

/// What became of a job that was handed to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    Failed,
    /// Never fetched, and so never run: not in time, or its worker is quiet or gone.
    Unfetched,
    /// Fetched, and its worker broke off: it may have run, or may yet.
    Broken,
    /// Fetched, and the time that the worker had is over.
    Expired,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Works,
    /// Finishes what it has and fetches no more.
    Quiet,
    Gone,
}

/// A job as it is handed over. `T` is what the one who hands it over knows it by.
#[derive(Clone, Debug)]
pub struct Handed<T> {
    pub token: T,
    pub jid: String,
    pub queue: String,
    pub priority: u8,
    /// What the worker gets when it fetches.
    pub body: String,
    /// How long a worker may have it.
    pub reserve_for: Duration,
}

struct Held<T> {
    job: Handed<T>,
    worker: usize,
    /// In the order of handing over.
    number: u64,
    fetched: bool,
    until: Instant,
}

struct Worker {
    wid: String,
    standing: Standing,
    heard: Instant,
    connections: usize,
}

pub struct Reservations<T> {
    /// How long a job waits for a fetch, and how long a worker may be silent.
    fetched_within: Duration,
    silent_after: Duration,
    workers: Vec<Worker>,
    by_wid: HashMap<String, usize>,
    held: HashMap<String, Held<T>>,
    next_number: u64,
}

impl<T: Copy + Eq> Reservations<T> {
    pub fn new(fetched_within: Duration, silent_after: Duration) -> Reservations<T> {
        Reservations {
            fetched_within,
            silent_after,
            workers: Vec::new(),
            by_wid: HashMap::new(),
            held: HashMap::new(),
            next_number: 0,
        }
    }

    /// A worker said who it is on one more connection. Its place, for good.
    pub fn hello(&mut self, now: Instant, wid: &str) -> usize {
        let worker = *self.by_wid.entry(wid.to_owned()).or_insert_with(|| {
            let standing = Standing::Gone;
            self.workers.push(Worker { wid: wid.to_owned(), standing, heard: now, connections: 0 });
            self.workers.len() - 1
        });
        let w = &mut self.workers[worker];
        if w.standing == Standing::Gone {
            w.standing = Standing::Works;
        }
        (w.heard, w.connections) = (now, w.connections + 1);
        worker
    }

    pub fn worker(&self, wid: &str) -> Option<usize> {
        self.by_wid.get(wid).copied()
    }

    pub fn wid(&self, worker: usize) -> &str {
        &self.workers[worker].wid
    }

    pub fn standing(&self, worker: usize) -> Standing {
        self.workers[worker].standing
    }

    /// Workers that are not gone.
    pub fn present(&self) -> impl Iterator<Item = usize> {
        (0..self.workers.len()).filter(|&at| self.workers[at].standing != Standing::Gone)
    }

    /// A worker's heartbeat. What it has not fetched and will not is handed back.
    pub fn beat(&mut self, now: Instant, worker: usize, says: Option<WorkerState>) -> Vec<(T, End)> {
        let w = &mut self.workers[worker];
        w.heard = now;
        if w.standing == Standing::Gone {
            w.standing = Standing::Works;
        }
        if says.is_none() {
            return Vec::new();
        }
        w.standing = Standing::Quiet;
        self.take_out(|held| held.worker == worker && !held.fetched, |_| End::Unfetched)
    }

    /// One of a worker's connections is gone; with the last one all that it has. Guards against a job whose worker
    /// broke off and that would wait for the whole of its reservation.
    pub fn broke(&mut self, worker: usize) -> Vec<(T, End)> {
        let w = &mut self.workers[worker];
        w.connections = w.connections.saturating_sub(1);
        if w.connections > 0 {
            return Vec::new();
        }
        w.standing = Standing::Gone;
        self.take_all(worker)
    }

    fn take_all(&mut self, worker: usize) -> Vec<(T, End)> {
        let end = |held: &Held<T>| if held.fetched { End::Broken } else { End::Unfetched };
        self.take_out(|held| held.worker == worker, end)
    }

    /// Hands a job to a worker; `false` if it can't have it, and nothing will be heard of it.
    pub fn hand(&mut self, now: Instant, worker: usize, job: Handed<T>) -> bool {
        let fits = self.workers[worker].standing == Standing::Works && !self.held.contains_key(&job.jid);
        if fits {
            let number = self.next_number;
            self.next_number += 1;
            let until = now + self.fetched_within;
            self.held.insert(job.jid.clone(), Held { job, worker, number, fetched: false, until });
        }
        fits
    }

    /// The job that a worker gets that asks at these queues: of the first queue that has one, the highest priority, and
    /// of these the one handed over first.
    pub fn fetch(&mut self, now: Instant, worker: usize, queues: &[String]) -> Option<(T, String)> {
        if self.workers[worker].standing != Standing::Works {
            return None;
        }
        let jid = queues.iter().find_map(|queue| {
            let fits = |held: &&Held<T>| held.worker == worker && !held.fetched && held.job.queue == *queue;
            let first = self
                .held
                .values()
                .filter(fits)
                .max_by_key(|held| (held.job.priority, std::cmp::Reverse(held.number)));
            first.map(|held| held.job.jid.clone())
        })?;
        let held = self.held.get_mut(&jid)?;
        (held.fetched, held.until) = (true, now + held.job.reserve_for);
        Some((held.job.token, held.job.body.clone()))
    }

    /// A worker says that a job is done, or has failed; in plain words why that says nothing.
    pub fn settle(&mut self, worker: usize, jid: &str, end: End) -> Result<(T, End), String> {
        match self.held.get(jid) {
            Some(held) if held.worker == worker && held.fetched => {}
            Some(held) if held.worker == worker => return Err(format!("job {jid} was not fetched")),
            Some(_) => return Err(format!("job {jid} is reserved by another worker")),
            None => return Err(format!("job {jid} is not reserved")),
        }
        let held = self.held.remove(jid).ok_or_else(|| format!("job {jid} is not reserved"))?;
        Ok((held.job.token, end))
    }

    /// Whoever handed a job over waits for it no more. Whether its worker has fetched it; `None` if there is none.
    pub fn withdraw(&mut self, token: T) -> Option<bool> {
        let jid = self.held.values().find(|held| held.job.token == token)?.job.jid.clone();
        self.held.remove(&jid).map(|held| held.fetched)
    }

    pub fn next_due(&self) -> Option<Instant> {
        let held = self.held.values().map(|held| held.until).min();
        let working = self.workers.iter().filter(|w| w.standing != Standing::Gone);
        held.into_iter().chain(working.map(|w| w.heard + self.silent_after)).min()
    }

    /// What fell due: jobs that nobody fetched, reservations that are over, and workers that fell silent, which are told
    /// by their places.
    pub fn due(&mut self, now: Instant) -> (Vec<(T, End)>, Vec<usize>) {
        let end = |held: &Held<T>| if held.fetched { End::Expired } else { End::Unfetched };
        let mut ended = self.take_out(|held| held.until <= now, end);
        let silent: Vec<usize> =
            self.present().filter(|&at| self.workers[at].heard + self.silent_after <= now).collect();
        for &worker in &silent {
            self.workers[worker].standing = Standing::Gone;
            ended.extend(self.take_all(worker));
        }
        (ended, silent)
    }

    /// How many jobs wait for a fetch, and how many are fetched.
    pub fn counts(&self) -> (usize, usize) {
        let fetched = self.held.values().filter(|held| held.fetched).count();
        (self.held.len() - fetched, fetched)
    }

    fn take_out(&mut self, which: impl Fn(&Held<T>) -> bool, end: impl Fn(&Held<T>) -> End) -> Vec<(T, End)> {
        let mut out: Vec<Held<T>> =
            self.held.extract_if(|_, held| which(held)).map(|(_, held)| held).collect();
        // The table has no order of its own, and what is told must not go by chance.
        out.sort_by_key(|held| held.number);
        out.iter().map(|held| (held.job.token, end(held))).collect()
    }
}

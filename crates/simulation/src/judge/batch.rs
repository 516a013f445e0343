//! Batch jobs: what was accepted, refused, run and ended.

use super::requests::Arrival;
use super::results::Listed;
use super::{Judge, Rule};
use crate::content;
use grebeusher_time::Instant;
use std::collections::BTreeSet;

/// An item as a client makes it up.
#[derive(Clone, Debug)]
pub struct MadeItem {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Its tokens.
    pub tokens: u64,
}

/// An item of a batch job.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) job: String,
    pub(super) path: String,
    pub(super) body: u64,
    pub(super) tokens: u64,
    pub(super) finished: bool,
    /// When it last came to an executor.
    pub(super) came_at: Option<Instant>,
    /// When an executor last came to the end of it.
    pub(super) finished_at: Option<Instant>,
    /// Answers of 500 that executors gave to it.
    pub(super) failures: u32,
}

/// A batch job.
#[derive(Debug, Default)]
pub(super) struct Job {
    pub(super) route: String,
    pub(super) tries: u32,
    pub(super) refusals: u32,
    pub(super) accepted: Option<Instant>,
    pub(super) end_sent: Option<Instant>,
    pub(super) end_acknowledged: Option<Instant>,
    pub(super) positions: Vec<Listed>,
    pub(super) read: Option<Instant>,
    /// How many positions had been read by when, rising.
    pub(super) seen: Vec<(Instant, usize)>,
}

impl Job {
    /// Whether it was accepted, and its client has not asked for its end.
    pub(super) fn is_open(&self) -> bool {
        self.accepted.is_some() && self.end_sent.is_none()
    }
}

impl Judge {
    /// A client makes a batch job up.
    pub fn job_made(&mut self, job: &str, route: &str, items: &[MadeItem]) {
        self.jobs.insert(job.to_owned(), Job { route: route.to_owned(), ..Job::default() });
        for MadeItem { id, path, body, tokens } in items {
            let item = Item {
                job: job.to_owned(),
                path: path.clone(),
                body: content::hash(&[body]),
                tokens: *tokens,
                finished: false,
                came_at: None,
                finished_at: None,
                failures: 0,
            };
            self.items.insert(id.clone(), item);
        }
    }

    /// A try to submit it begins.
    pub fn job_tried(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.tries += 1;
        }
    }

    /// A try is refused with a promise.
    pub fn job_refused(&mut self, job: &str) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.refusals += 1;
        }
    }

    /// It is accepted.
    pub fn job_accepted(&mut self, job: &str, at: Instant) {
        let Some(found) = self.jobs.get_mut(job) else { return };
        if found.accepted.is_some() {
            return;
        }
        found.accepted = Some(at);
        self.counts.jobs += 1;
        let route = found.route.clone();
        self.check_quota(&route, at);
    }

    fn check_quota(&mut self, route: &str, at: Instant) {
        let counted = |job: &Job| job.route == route && job.is_open();
        let open: BTreeSet<&String> =
            self.jobs.iter().filter(|(_, job)| counted(job)).map(|(id, _)| id).collect();
        let waiting: u64 = self
            .items
            .values()
            .filter(|item| !item.finished && open.contains(&item.job))
            .map(|item| item.tokens)
            .sum();
        if self.quota > 0 && waiting as f64 > self.quota as f64 * 1.1 {
            let what = format!("{waiting} tokens are accepted on {route}, {} are allowed", self.quota);
            self.breach(Rule::Quota, at, what);
        }
    }

    /// Its end is sent.
    pub fn job_end_sent(&mut self, job: &str, at: Instant) {
        if let Some(found) = self.jobs.get_mut(job) {
            found.end_sent.get_or_insert(at);
        }
    }

    /// Its end is acknowledged.
    pub fn job_ended(&mut self, job: &str, host: usize, at: Instant) {
        if !self.in_touch(host, at, at) {
            return;
        }
        if let Some(found) = self.jobs.get_mut(job) {
            found.end_acknowledged.get_or_insert(at);
        }
    }

    pub(super) fn item_runs(&mut self, arrival: &Arrival<'_>) {
        let Arrival { at, instance, attempt, from, life, .. } = *arrival;
        let Some(item) = self.items.get_mut(attempt) else { return };
        item.came_at = Some(at);
        let line = format!("POST {}", item.path);
        let (job, changed) =
            (item.job.clone(), line != arrival.line || item.body != content::hash(&[arrival.body]));
        if changed {
            self.breach(Rule::Unasked, at, format!("item {attempt} at {instance} was changed"));
        }
        let Some(found) = self.jobs.get(&job) else { return };
        let refused = found.accepted.is_none() && found.tries > 0 && found.refusals == found.tries;
        let ended = found.end_acknowledged.is_some_and(|ended| at > ended + self.bounds.cancel);
        let prefix = found.route.clone();
        if refused {
            self.breach(
                Rule::Refused,
                at,
                format!("item {attempt} runs, its job {job} was refused at every try"),
            );
        }
        if ended {
            self.breach(Rule::Unasked, at, format!("item {attempt} runs long after its job {job} was ended"));
        }
        match self.allowing(&prefix, arrival.service, at).into_iter().max() {
            Some(newest) => self.check_version(at, at, from, life, newest, attempt),
            None => {
                let what =
                    format!("item {attempt} ran at {}, which no version gives to {prefix}", arrival.service);
                self.breach(Rule::Route, at, what);
            }
        }
    }

    /// An executor has come to the end of an item.
    pub fn item_finished(&mut self, item: &str, at: Instant) {
        if let Some(found) = self.items.get_mut(item) {
            found.finished = true;
            found.finished_at = Some(at);
        }
    }

    /// An executor has answered an item with 500.
    pub fn item_failed(&mut self, item: &str) {
        if let Some(found) = self.items.get_mut(item) {
            found.failures += 1;
        }
    }

    /// A node says that it knows no such batch job, or has nothing at a position that was read.
    pub fn job_missing(&mut self, job: &str, host: usize, sent: Instant, at: Instant, last: bool) {
        let Some(found) = self.jobs.get(job) else { return };
        let Some(accepted) = found.accepted else { return };
        if sent > accepted {
            let what = format!("host {host} answers 404 for {job}, which was accepted before it was asked");
            self.breach(Rule::Stale, at, what);
        }
        let Some(found) = self.jobs.get(job) else { return };
        let Some(accepted) = found.accepted else { return };
        let settled = sent > accepted + self.bounds.settle;
        if settled && (last || self.in_touch(host, sent, at)) {
            let what =
                format!("host {host} answers 404 for {job}, accepted at {:.3}", accepted.0 as f64 / 1e9);
            self.breach(Rule::Lost, at, what);
        }
    }

    /// At the end a batch job can't be read, or doesn't give what it gave.
    pub fn job_lost(&mut self, job: &str, what: &str, at: Instant) {
        if self.jobs.get(job).is_some_and(|found| found.accepted.is_some()) {
            self.breach(Rule::Lost, at, format!("job {job}: {what}"));
        }
    }
}

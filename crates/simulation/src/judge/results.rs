//! Results of batch jobs, as pages list them.

use super::{Judge, Rule};
use crate::content;
use grebeusher_time::Instant;

/// `max_attempts` of the bulk routes: an item that was answered 500 so often may be given up.
pub const MAX_FAILURES: u32 = 3;

/// A result as a page lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The item.
    pub item: String,
    /// `complete` or `dead_letter`.
    pub state: String,
    /// Its text.
    pub text: String,
}

impl Judge {
    /// A page of results is read, from `from` on, by a call that was sent at `sent`.
    pub fn page_read(
        &mut self,
        job: &str,
        from: usize,
        results: &[Listed],
        total: usize,
        sent: Instant,
        at: Instant,
    ) {
        self.check_page_is_new(job, from + results.len(), sent, at);
        let wanted = self.items.values().filter(|item| item.job == job).count();
        if total != wanted {
            self.breach(Rule::Mixed, at, format!("job {job} has {wanted} items, total is {total}"));
        }
        for (offset, result) in results.iter().enumerate() {
            self.result_read(job, from + offset, result, at);
        }
        if let Some(found) = self.jobs.get_mut(job)
            && !results.is_empty()
        {
            found.read = Some(at);
        }
    }

    /// A page that was asked for after another had come shows at least as much.
    fn check_page_is_new(&mut self, job: &str, reached: usize, sent: Instant, at: Instant) {
        let Some(found) = self.jobs.get_mut(job) else { return };
        let known = found.seen.iter().filter(|(when, _)| *when < sent).map(|(_, count)| *count).max();
        if found.seen.last().is_none_or(|(_, count)| *count < reached) {
            found.seen.push((at, reached));
        }
        if let Some(known) = known.filter(|known| *known > reached) {
            let what = format!("a page of {job} ends at position {reached}, {known} had been read before");
            self.breach(Rule::Stale, at, what);
        }
    }

    fn result_read(&mut self, job: &str, position: usize, result: &Listed, at: Instant) {
        let Listed { item: id, state, text } = result;
        self.check_result(job, id, state, text, at);
        let Some(found) = self.jobs.get_mut(job) else { return };
        match found.positions.get(position) {
            Some(before) if before != result => {
                let what = format!(
                    "position {position} of {job} held {} {}, now {id} {state}",
                    before.item, before.state
                );
                self.breach(Rule::Twice, at, what);
            }
            Some(_) => {}
            None if found.positions.len() == position => {
                let twice = found.positions.iter().any(|other| other.item == *id);
                found.positions.push(result.clone());
                self.counts.results += 1;
                if twice {
                    self.breach(Rule::Twice, at, format!("item {id} stands twice in {job}"));
                }
            }
            // A page from further on than this client has read is not asked for.
            None => {}
        }
    }

    fn check_result(&mut self, job: &str, id: &str, state: &str, text: &str, at: Instant) {
        let Some(item) = self.items.get_mut(id).filter(|item| item.job == job) else {
            return self.breach(Rule::Mixed, at, format!("item {id} is none of {job}"));
        };
        item.finished = true;
        let given_up = item.failures >= MAX_FAILURES;
        let path = item.path.clone();
        let ended = self.jobs.get(job).is_some_and(|job| job.end_sent.is_some());
        if state == "complete" && text != content::whole_text(&path) {
            let what = format!(
                "item {id} is complete with {} bytes for {}",
                text.len(),
                content::whole_text(&path).len()
            );
            self.breach(Rule::Mixed, at, what);
        }
        if state == "dead_letter" && !content::is_poisoned(&path) && !ended && !given_up {
            self.breach(Rule::Mixed, at, format!("item {id} is dead though it can be done"));
        }
    }

    /// What was read of a job.
    pub fn positions(&self, job: &str) -> usize {
        self.jobs.get(job).map_or(0, |found| found.positions.len())
    }

    /// Whether an item was listed.
    pub fn is_listed(&self, job: &str, item: &str) -> bool {
        self.jobs.get(job).is_some_and(|found| found.positions.iter().any(|listed| listed.item == item))
    }
}

//! One batch job: its items until they are listed, its results from then on.

use super::JobStatus;
use super::entry::{EventsPiece, ItemProgress, ItemResult, JobTerms};
use super::page::{Listing, Page};
use crate::names::ItemIndex;
use crate::submission::{ItemSpec, Submission};

/// How far an item had come by what is committed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The last event in `text`; none: no text yet.
    pub last_event: Option<u64>,
    pub text: String,
    /// Answers of 500.
    pub failed_attempts: u32,
}

/// An item that is not listed, of a job that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenItem {
    pub spec: ItemSpec,
    pub progress: Progress,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Job {
    pub(super) route: String,
    pub(super) service: String,
    pub(super) host: String,
    pub(super) terms: JobTerms,
    /// By the items' places; what is listed, or was dropped at the end of the job, is gone.
    pub(super) open: Vec<Option<Box<OpenItem>>>,
    /// By position.
    pub(super) listed: Vec<Listing>,
    pub(super) ended: bool,
    waiting_tokens: u64,
    cost: usize,
}

/// What is known of a job when it is read from a snapshot.
pub(super) struct JobParts {
    pub route: String,
    pub service: String,
    pub host: String,
    pub terms: JobTerms,
    pub open: Vec<Option<Box<OpenItem>>>,
    pub listed: Vec<Listing>,
    pub ended: bool,
}

impl Job {
    pub(super) fn new(submission: Submission, terms: JobTerms) -> Job {
        let Submission { route, service, host, items, job: _ } = submission;
        let open = items
            .into_iter()
            .map(|spec| Some(Box::new(OpenItem { spec, progress: Progress::default() })))
            .collect();
        Job::from_parts(JobParts { route, service, host, terms, open, listed: Vec::new(), ended: false })
    }

    pub(super) fn from_parts(partitions: JobParts) -> Job {
        let JobParts { route, service, host, terms, open, listed, ended } = partitions;
        let mut job = Job { route, service, host, terms, open, listed, ended, waiting_tokens: 0, cost: 0 };
        job.waiting_tokens =
            job.open_items().fold(0, |sum, (_, item)| sum.saturating_add(item.spec.token_count));
        job.cost = job.counted_cost();
        job
    }

    fn counted_cost(&self) -> usize {
        let names = self.route.len() + self.service.len() + self.host.len();
        let open: usize = self.open_items().map(|(_, item)| item.cost()).sum();
        let listed: usize = self.listed.iter().map(Listing::cost).sum();
        size_of::<Job>() + names + self.open.len() * size_of::<Option<Box<OpenItem>>>() + open + listed
    }

    /// Gives the item the next position, unless it has one or the job has ended.
    pub(super) fn list(&mut self, result: ItemResult) -> bool {
        let Some(item) = self.open.get_mut(result.item.as_usize()).and_then(Option::take) else {
            return false;
        };
        self.drop_open(&item);
        let listing = Listing::new(item.spec.id, result.state, result.text);
        self.cost += listing.cost();
        self.listed.push(listing);
        true
    }

    /// Takes what is ahead of what is known: a later count, events that follow on the last.
    pub(super) fn advance(&mut self, progress: ItemProgress) -> bool {
        let Some(item) = self.open.get_mut(progress.item.as_usize()).and_then(Option::as_mut) else {
            return false;
        };
        let known = &mut item.progress;
        let counted = progress.failed_attempts > known.failed_attempts;
        known.failed_attempts = known.failed_attempts.max(progress.failed_attempts);
        let before = known.text.len();
        let continued = progress.events.is_some_and(|piece| known.continue_with(piece));
        self.cost += known.text.len() - before;
        counted || continued
    }

    /// Ends the job and drops its items that are not listed. Whether it had not ended before.
    pub(super) fn end(&mut self) -> bool {
        for place in 0..self.open.len() {
            if let Some(item) = self.open[place].take() {
                self.drop_open(&item);
            }
        }
        !std::mem::replace(&mut self.ended, true)
    }

    fn drop_open(&mut self, item: &OpenItem) {
        self.cost = self.cost.saturating_sub(item.cost());
        self.waiting_tokens = self.waiting_tokens.saturating_sub(item.spec.token_count);
    }

    pub(super) fn page(&self, resume_after: usize, max_bytes: usize) -> Page<'_> {
        Page::of(self.open.len(), &self.listed, resume_after, max_bytes)
    }

    pub(super) fn item_body(&self, item_id: &str) -> Option<&[u8]> {
        let (_, item) = self.open_items().find(|(_, item)| item.spec.id == item_id)?;
        Some(&item.spec.body)
    }

    pub(super) fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    pub(super) fn cost(&self) -> usize {
        self.cost
    }

    pub(crate) fn route(&self) -> &str {
        &self.route
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    pub(crate) fn host(&self) -> &str {
        &self.host
    }

    pub(crate) fn terms(&self) -> &JobTerms {
        &self.terms
    }

    pub(super) fn status(&self) -> JobStatus {
        JobStatus { total: self.open.len(), listed: self.listed.len(), has_ended: self.ended }
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.ended && self.listed.len() < self.open.len()
    }

    pub(crate) fn open_item(&self, item: ItemIndex) -> Option<&OpenItem> {
        self.open.get(item.as_usize())?.as_deref()
    }

    pub(crate) fn open_items(&self) -> impl Iterator<Item = (ItemIndex, &OpenItem)> {
        let places = self.open.iter().enumerate();
        places.filter_map(|(place, item)| Some((ItemIndex::at(place), item.as_deref()?)))
    }
}

impl OpenItem {
    fn cost(&self) -> usize {
        size_of::<Progress>() + self.spec.cost() + self.progress.text.len()
    }
}

impl Progress {
    fn continue_with(&mut self, piece: EventsPiece) -> bool {
        let is_next = piece.after == self.last_event && piece.after.is_none_or(|after| after < piece.last);
        if !is_next {
            return false;
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&piece.text);
        self.last_event = Some(piece.last);
        true
    }
}

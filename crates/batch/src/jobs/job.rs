//! The committed state of one batch job: its open items and its results.

use super::JobStatus;
use super::entry::{EventChunk, ItemProgress, ItemResult, JobSettings};
use super::result_page::{ListedResult, Page};
use crate::names::ItemIndex;
use crate::submission::{ItemSpec, Submission};

/// The committed progress of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The id of the last event in `text`; `None` if there is no text yet.
    pub last_event: Option<u64>,
    /// The data of the committed events, joined by line feeds.
    pub text: String,
    /// The number of 500 responses to the item.
    pub failed_attempts: u32,
}

/// An open item: its result is not committed, and its job has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenItem {
    /// The item as it was submitted.
    pub spec: ItemSpec,
    /// The committed progress of the item.
    pub progress: Progress,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Job {
    pub(super) route: String,
    pub(super) service: String,
    pub(super) host: String,
    pub(super) settings: JobSettings,
    /// The open items by item index. An item is `None` once its result is committed or the job has ended.
    pub(super) open_items: Vec<Option<Box<OpenItem>>>,
    /// The committed results by position.
    pub(super) results: Vec<ListedResult>,
    /// Whether the client has ended the job.
    pub(super) ended: bool,
    /// The sum of the tokens of the open items.
    waiting_tokens: u64,
    /// The approximate memory use of the job, in bytes.
    memory_bytes: usize,
}

/// The fields of a job from which the others can be computed. A snapshot contains only these.
pub(super) struct JobParts {
    pub route: String,
    pub service: String,
    pub host: String,
    pub settings: JobSettings,
    pub open_items: Vec<Option<Box<OpenItem>>>,
    pub results: Vec<ListedResult>,
    pub ended: bool,
}

impl Job {
    pub(super) fn new(submission: Submission, settings: JobSettings) -> Job {
        let Submission { route, service, host, items, job: _ } = submission;
        let open_items = items
            .into_iter()
            .map(|spec| Some(Box::new(OpenItem { spec, progress: Progress::default() })))
            .collect();
        Job::from_parts(JobParts {
            route,
            service,
            host,
            settings,
            open_items,
            results: Vec::new(),
            ended: false,
        })
    }

    pub(super) fn from_parts(parts: JobParts) -> Job {
        let JobParts { route, service, host, settings, open_items, results, ended } = parts;
        let mut job = Job {
            route,
            service,
            host,
            settings,
            open_items,
            results,
            ended,
            waiting_tokens: 0,
            memory_bytes: 0,
        };
        job.waiting_tokens =
            job.open_items().fold(0, |sum, (_, item)| sum.saturating_add(item.spec.token_count));
        job.memory_bytes = job.compute_memory_bytes();
        job
    }

    fn compute_memory_bytes(&self) -> usize {
        let name_bytes = self.route.len() + self.service.len() + self.host.len();
        let open_bytes: usize = self.open_items().map(|(_, item)| item.memory_bytes()).sum();
        let result_bytes: usize = self.results.iter().map(ListedResult::memory_bytes).sum();
        size_of::<Job>()
            + name_bytes
            + self.open_items.len() * size_of::<Option<Box<OpenItem>>>()
            + open_bytes
            + result_bytes
    }

    /// Adds the result of an item at the next position, unless the item has a result or the job has ended. Returns
    /// whether the result was added.
    pub(super) fn add_result(&mut self, result: ItemResult) -> bool {
        let Some(item) = self.open_items.get_mut(result.item.as_usize()).and_then(Option::take) else {
            return false;
        };
        self.subtract_item(&item);
        let result = ListedResult::new(item.spec.id, result.state, result.text);
        self.memory_bytes += result.memory_bytes();
        self.results.push(result);
        true
    }

    /// Merges progress that is newer: a higher count of failed attempts, and events that follow the last one. Returns
    /// whether anything was newer.
    pub(super) fn advance(&mut self, progress: ItemProgress) -> bool {
        let Some(item) = self.open_items.get_mut(progress.item.as_usize()).and_then(Option::as_mut) else {
            return false;
        };
        let known = &mut item.progress;
        let has_new_failures = progress.failed_attempts > known.failed_attempts;
        known.failed_attempts = known.failed_attempts.max(progress.failed_attempts);
        let bytes_before = known.text.len();
        let has_new_events = progress.events.is_some_and(|chunk| known.append(chunk));
        self.memory_bytes += known.text.len() - bytes_before;
        has_new_failures || has_new_events
    }

    /// Ends the job and drops its open items. Returns whether the job had not ended before.
    pub(super) fn end(&mut self) -> bool {
        for index in 0..self.open_items.len() {
            if let Some(item) = self.open_items[index].take() {
                self.subtract_item(&item);
            }
        }
        !std::mem::replace(&mut self.ended, true)
    }

    /// Subtracts an item that is no longer open from the sums.
    fn subtract_item(&mut self, item: &OpenItem) {
        self.memory_bytes = self.memory_bytes.saturating_sub(item.memory_bytes());
        self.waiting_tokens = self.waiting_tokens.saturating_sub(item.spec.token_count);
    }

    pub(super) fn page(&self, resume_after: usize, max_bytes: usize) -> Page<'_> {
        Page::of(self.open_items.len(), &self.results, resume_after, max_bytes)
    }

    pub(super) fn item_body(&self, item_id: &str) -> Option<&[u8]> {
        let (_, item) = self.open_items().find(|(_, item)| item.spec.id == item_id)?;
        Some(&item.spec.body)
    }

    pub(crate) fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    pub(super) fn memory_bytes(&self) -> usize {
        self.memory_bytes
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

    pub(crate) fn settings(&self) -> &JobSettings {
        &self.settings
    }

    pub(super) fn status(&self) -> JobStatus {
        JobStatus { total: self.open_items.len(), listed: self.results.len(), has_ended: self.ended }
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.open_items.len()
    }

    pub(crate) fn open_item(&self, item: ItemIndex) -> Option<&OpenItem> {
        self.open_items.get(item.as_usize())?.as_deref()
    }

    pub(crate) fn open_items(&self) -> impl Iterator<Item = (ItemIndex, &OpenItem)> {
        let items = self.open_items.iter().enumerate();
        items.filter_map(|(index, item)| Some((ItemIndex::from_usize(index), item.as_deref()?)))
    }
}

impl OpenItem {
    fn memory_bytes(&self) -> usize {
        size_of::<Progress>() + self.spec.memory_bytes() + self.progress.text.len()
    }
}

impl Progress {
    /// Appends a chunk if it follows the last event. Returns whether it does.
    fn append(&mut self, chunk: EventChunk) -> bool {
        let is_next = chunk.after == self.last_event && chunk.after.is_none_or(|after| after < chunk.last);
        if !is_next {
            return false;
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&chunk.text);
        self.last_event = Some(chunk.last);
        true
    }
}

//! The entries of a partition's log, and their stored bytes.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::codec::{
    DecodeShared, malformed, put_bytes, put_list, put_number, put_optional_number, take_byte, take_list,
    take_number, take_optional_number, take_shared_list, take_shared_text, take_small, take_text,
};
use crate::names::{ItemIndex, JobId};
use crate::shared_bytes::{SharedBytes, SharedText};
use crate::submission::{MAX_ITEMS, Submission};

/// The most jobs in one entry.
pub(crate) const MAX_JOBS_IN_ENTRY: usize = 4096;

/// What the route's configuration said when the job was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSettings {
    /// By the wall clock of the leader that accepted the job, in ms since 1970. A hint to its successors for the order
    /// of jobs. Nothing is given up by it, as wall clocks jump.
    pub accepted_at_wall_ms: u64,
    /// How long the job had been in the tier when it was accepted, in ms.
    pub age_at_acceptance_ms: u64,
    /// How long after the first send every result is due, in ms.
    pub completion_target_ms: u64,
    /// How long after the first send an item may be given up, in ms.
    pub retention_ms: u64,
    /// The responses of 500 after which an item may be given up; 0 counts as 1.
    pub max_attempts: u32,
    /// The most tokens that may wait on the route; 0: no limit.
    pub queue_token_limit: u64,
    /// How soon the 202 was due, in ms.
    pub target_latency_ms: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultState {
    /// The text is the item's complete output.
    Complete,
    /// The item was given up.
    DeadLetter,
}

impl ResultState {
    /// The state as readers get it.
    pub fn as_str(self) -> &'static str {
        match self {
            ResultState::Complete => "complete",
            ResultState::DeadLetter => "dead_letter",
        }
    }
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// The item.
    pub item: ItemIndex,
    /// How it ended.
    pub state: ResultState,
    /// The data of all events in order, joined by line feeds.
    pub text: SharedText,
}

/// Results of items of one job, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResults {
    /// The job.
    pub job: JobId,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// Events that continue an item's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventChunk {
    /// The event that the chunk follows; `None`: the chunk begins the text.
    pub after: Option<u64>,
    /// The last event in the chunk.
    pub last: u64,
    /// The data of the events after `after` up to `last`, joined by line feeds.
    pub text: String,
}

/// The progress of an item that is not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemProgress {
    /// The job of the item.
    pub job: JobId,
    /// The item.
    pub item: ItemIndex,
    /// All responses of 500 so far.
    pub failed_attempts: u32,
    /// Events since those that are committed.
    pub events: Option<EventChunk>,
}

/// A step of the partition's state, applied once it is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A job is accepted.
    Submit {
        /// The job with its items.
        submission: Submission,
        /// What its route's configuration said.
        settings: JobSettings,
    },
    /// Items have ended. One entry has all that did in one turn of the leader's loop.
    Results(Vec<JobResults>),
    /// Items have progressed, so that a later leader need not run them from the start.
    Progress(Vec<ItemProgress>),
    /// The client ended its job.
    Ended {
        /// The job.
        job: JobId,
    },
    /// Jobs that nobody may ask for any longer.
    Forget {
        /// The jobs.
        jobs: Vec<JobId>,
    },
}

// The first byte of an entry.
const SUBMIT: u8 = 1;
const RESULTS: u8 = 2;
const PROGRESS: u8 = 3;
const ENDED: u8 = 4;
const FORGET: u8 = 5;

impl SerBin for Entry {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        match self {
            Entry::Submit { submission, settings } => {
                out.push(SUBMIT);
                submission.ser_bin(out);
                settings.ser_bin(out);
            }
            Entry::Results(batches) => {
                out.push(RESULTS);
                put_list(out, batches);
            }
            Entry::Progress(items) => {
                out.push(PROGRESS);
                put_list(out, items);
            }
            Entry::Ended { job } => {
                out.push(ENDED);
                job.ser_bin(out);
            }
            Entry::Forget { jobs } => {
                out.push(FORGET);
                put_list(out, jobs);
            }
        }
    }
}

impl Entry {
    /// Reads an entry from the bytes in the log. Bodies and texts are not copied: they refer to these bytes.
    ///
    /// # Errors
    /// The bytes do not begin with an entry.
    pub fn from_shared(bytes: &SharedBytes) -> Result<Entry, DeBinErr> {
        Entry::take(&mut 0, bytes)
    }
}

impl DeBin for Entry {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Entry, DeBinErr> {
        Entry::take_copied(offset, bytes)
    }
}

impl DecodeShared for Entry {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<Entry, DeBinErr> {
        match take_byte(offset, bytes)? {
            SUBMIT => Ok(Entry::Submit {
                submission: Submission::take(offset, bytes)?,
                settings: JobSettings::de_bin(offset, bytes)?,
            }),
            RESULTS => take_shared_list(offset, bytes, MAX_JOBS_IN_ENTRY).map(Entry::Results),
            PROGRESS => take_list(offset, bytes, MAX_JOBS_IN_ENTRY).map(Entry::Progress),
            ENDED => JobId::de_bin(offset, bytes).map(|job| Entry::Ended { job }),
            FORGET => take_list(offset, bytes, MAX_JOBS_IN_ENTRY).map(|jobs| Entry::Forget { jobs }),
            _ => Err(malformed(*offset, 0, bytes)),
        }
    }
}

impl SerBin for JobSettings {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_number(out, self.accepted_at_wall_ms);
        put_number(out, self.age_at_acceptance_ms);
        put_number(out, self.completion_target_ms);
        put_number(out, self.retention_ms);
        put_number(out, u64::from(self.max_attempts));
        put_number(out, self.queue_token_limit);
        put_number(out, self.target_latency_ms);
    }
}

impl DeBin for JobSettings {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<JobSettings, DeBinErr> {
        Ok(JobSettings {
            accepted_at_wall_ms: take_number(offset, bytes)?,
            age_at_acceptance_ms: take_number(offset, bytes)?,
            completion_target_ms: take_number(offset, bytes)?,
            retention_ms: take_number(offset, bytes)?,
            max_attempts: take_small(offset, bytes)?,
            queue_token_limit: take_number(offset, bytes)?,
            target_latency_ms: take_number(offset, bytes)?,
        })
    }
}

impl SerBin for ResultState {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        out.push(match self {
            ResultState::Complete => 0,
            ResultState::DeadLetter => 1,
        });
    }
}

impl DeBin for ResultState {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<ResultState, DeBinErr> {
        match take_byte(offset, bytes)? {
            0 => Ok(ResultState::Complete),
            1 => Ok(ResultState::DeadLetter),
            _ => Err(malformed(*offset, 0, bytes)),
        }
    }
}

impl SerBin for ItemResult {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.item.ser_bin(out);
        self.state.ser_bin(out);
        put_bytes(out, self.text.as_bytes());
    }
}

impl DecodeShared for ItemResult {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<ItemResult, DeBinErr> {
        Ok(ItemResult {
            item: ItemIndex::de_bin(offset, bytes)?,
            state: ResultState::de_bin(offset, bytes)?,
            text: take_shared_text(offset, bytes)?,
        })
    }
}

impl SerBin for JobResults {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.job.ser_bin(out);
        put_list(out, &self.results);
    }
}

impl DecodeShared for JobResults {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<JobResults, DeBinErr> {
        let job = JobId::de_bin(offset, bytes)?;
        Ok(JobResults { job, results: take_shared_list(offset, bytes, MAX_ITEMS)? })
    }
}

impl SerBin for EventChunk {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_optional_number(out, self.after);
        put_number(out, self.last);
        put_bytes(out, self.text.as_bytes());
    }
}

impl DeBin for EventChunk {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<EventChunk, DeBinErr> {
        Ok(EventChunk {
            after: take_optional_number(offset, bytes)?,
            last: take_number(offset, bytes)?,
            text: take_text(offset, bytes)?.to_owned(),
        })
    }
}

impl SerBin for ItemProgress {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.job.ser_bin(out);
        self.item.ser_bin(out);
        put_number(out, u64::from(self.failed_attempts));
        self.events.ser_bin(out);
    }
}

impl DeBin for ItemProgress {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<ItemProgress, DeBinErr> {
        Ok(ItemProgress {
            job: JobId::de_bin(offset, bytes)?,
            item: ItemIndex::de_bin(offset, bytes)?,
            failed_attempts: take_small(offset, bytes)?,
            events: DeBin::de_bin(offset, bytes)?,
        })
    }
}

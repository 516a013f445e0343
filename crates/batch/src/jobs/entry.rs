//! The log entries of a partition, and their encoding on disk.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::codec::{
    DecodeShared, malformed, put_bytes, put_list, put_optional_varint, put_varint, take_byte, take_list,
    take_optional_varint, take_shared_list, take_shared_text, take_text, take_varint, take_varint_as,
};
use crate::names::{ItemIndex, JobId};
use crate::shared_bytes::{SharedBytes, SharedText};
use crate::submission::{MAX_ITEMS, Submission};

/// The maximum number of jobs, or of progress reports, in one entry.
pub(crate) const MAX_JOBS_IN_ENTRY: usize = 4096;

/// The settings of the job's route at the time when the job was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSettings {
    /// The wall clock time at which the leader accepted the job, in milliseconds since 1970. Later leaders use it only
    /// as a hint for the order of jobs. It never decides whether an item is given up, because wall clocks jump.
    pub accepted_at_wall_ms: u64,
    /// How long the submission had been in the tier when the job was accepted, in milliseconds.
    pub age_at_acceptance_ms: u64,
    /// The time after the first submission at which all results are due, in milliseconds.
    pub completion_target_ms: u64,
    /// The time after the first submission from which items may be given up, in milliseconds; 0 means never.
    pub retention_ms: u64,
    /// The number of 500 responses after which an item may be given up; 0 counts as 1.
    pub max_attempts: u32,
    /// The maximum number of tokens that may wait on the route; 0 means no limit.
    pub queue_token_limit: u64,
    /// The target latency of the 202 response to the submission, in milliseconds.
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
    /// The state as it is written in result pages.
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
    /// The index of the item in its job.
    pub item: ItemIndex,
    /// How the item ended.
    pub state: ResultState,
    /// The data of all events of the item in order, joined by line feeds.
    pub text: SharedText,
}

/// Results of items of one job, in the order in which they get their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResults {
    /// The id of the job.
    pub job: JobId,
    /// The results of items of the job.
    pub results: Vec<ItemResult>,
}

/// Consecutive events that extend the text of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventChunk {
    /// The id of the event before the chunk; `None` if the chunk starts the text.
    pub after: Option<u64>,
    /// The id of the last event in the chunk.
    pub last: u64,
    /// The data of the events after `after` up to `last`, joined by line feeds.
    pub text: String,
}

/// The progress of an open item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemProgress {
    /// The id of the item's job.
    pub job: JobId,
    /// The index of the item in its job.
    pub item: ItemIndex,
    /// The number of 500 responses to the item so far.
    pub failed_attempts: u32,
    /// The events after the committed ones; `None` if only `failed_attempts` changed.
    pub events: Option<EventChunk>,
}

/// A change of the partition's state, which replicas apply once it is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A job is accepted.
    Submit {
        /// The job with its items.
        submission: Submission,
        /// The settings of the job's route.
        settings: JobSettings,
    },
    /// Results of items. One entry contains the results of all items that finished in one iteration of the leader's
    /// event loop, as far as they fit.
    Results(Vec<JobResults>),
    /// Progress of items, so that a later leader need not run them from the start.
    Progress(Vec<ItemProgress>),
    /// The client ended its job.
    Ended {
        /// The id of the job.
        job: JobId,
    },
    /// Removes jobs whose results are no longer served.
    Remove {
        /// The ids of the jobs.
        jobs: Vec<JobId>,
    },
}

// The values of the first byte of an entry, which tells its kind.
const SUBMIT: u8 = 1;
const RESULTS: u8 = 2;
const PROGRESS: u8 = 3;
const ENDED: u8 = 4;
const REMOVE: u8 = 5;

impl SerBin for Entry {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        match self {
            Entry::Submit { submission, settings } => {
                out.push(SUBMIT);
                submission.ser_bin(out);
                settings.ser_bin(out);
            }
            Entry::Results(results) => {
                out.push(RESULTS);
                put_list(out, results);
            }
            Entry::Progress(items) => {
                out.push(PROGRESS);
                put_list(out, items);
            }
            Entry::Ended { job } => {
                out.push(ENDED);
                job.ser_bin(out);
            }
            Entry::Remove { jobs } => {
                out.push(REMOVE);
                put_list(out, jobs);
            }
        }
    }
}

impl Entry {
    /// Decodes an entry from the bytes in the log. Bodies and texts are not copied, but refer to these bytes.
    ///
    /// # Errors
    /// Fails if the bytes do not begin with an entry.
    pub fn from_shared(bytes: &SharedBytes) -> Result<Entry, DeBinErr> {
        Entry::decode(&mut 0, bytes)
    }
}

impl DeBin for Entry {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Entry, DeBinErr> {
        Entry::decode_copied(offset, bytes)
    }
}

impl DecodeShared for Entry {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<Entry, DeBinErr> {
        match take_byte(offset, bytes)? {
            SUBMIT => Ok(Entry::Submit {
                submission: Submission::decode(offset, bytes)?,
                settings: JobSettings::de_bin(offset, bytes)?,
            }),
            RESULTS => take_shared_list(offset, bytes, MAX_JOBS_IN_ENTRY).map(Entry::Results),
            PROGRESS => take_list(offset, bytes, MAX_JOBS_IN_ENTRY).map(Entry::Progress),
            ENDED => JobId::de_bin(offset, bytes).map(|job| Entry::Ended { job }),
            REMOVE => take_list(offset, bytes, MAX_JOBS_IN_ENTRY).map(|jobs| Entry::Remove { jobs }),
            _ => Err(malformed(*offset, 0, bytes)),
        }
    }
}

impl SerBin for JobSettings {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_varint(out, self.accepted_at_wall_ms);
        put_varint(out, self.age_at_acceptance_ms);
        put_varint(out, self.completion_target_ms);
        put_varint(out, self.retention_ms);
        put_varint(out, u64::from(self.max_attempts));
        put_varint(out, self.queue_token_limit);
        put_varint(out, self.target_latency_ms);
    }
}

impl DeBin for JobSettings {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<JobSettings, DeBinErr> {
        Ok(JobSettings {
            accepted_at_wall_ms: take_varint(offset, bytes)?,
            age_at_acceptance_ms: take_varint(offset, bytes)?,
            completion_target_ms: take_varint(offset, bytes)?,
            retention_ms: take_varint(offset, bytes)?,
            max_attempts: take_varint_as(offset, bytes)?,
            queue_token_limit: take_varint(offset, bytes)?,
            target_latency_ms: take_varint(offset, bytes)?,
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
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<ItemResult, DeBinErr> {
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
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<JobResults, DeBinErr> {
        let job = JobId::de_bin(offset, bytes)?;
        Ok(JobResults { job, results: take_shared_list(offset, bytes, MAX_ITEMS)? })
    }
}

impl SerBin for EventChunk {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_optional_varint(out, self.after);
        put_varint(out, self.last);
        put_bytes(out, self.text.as_bytes());
    }
}

impl DeBin for EventChunk {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<EventChunk, DeBinErr> {
        Ok(EventChunk {
            after: take_optional_varint(offset, bytes)?,
            last: take_varint(offset, bytes)?,
            text: take_text(offset, bytes)?.to_owned(),
        })
    }
}

impl SerBin for ItemProgress {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.job.ser_bin(out);
        self.item.ser_bin(out);
        put_varint(out, u64::from(self.failed_attempts));
        self.events.ser_bin(out);
    }
}

impl DeBin for ItemProgress {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<ItemProgress, DeBinErr> {
        Ok(ItemProgress {
            job: JobId::de_bin(offset, bytes)?,
            item: ItemIndex::de_bin(offset, bytes)?,
            failed_attempts: take_varint_as(offset, bytes)?,
            events: DeBin::de_bin(offset, bytes)?,
        })
    }
}

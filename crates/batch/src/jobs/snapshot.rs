//! Snapshots: the encoding of the complete state, which is stored on disk and sent to replicas that lag behind.

use std::collections::HashSet;

use nanoserde::{DeBin, DeBinErr, SerBin};
use snafu::{Snafu, ensure};

use super::Jobs;
use super::entry::{JobSettings, ResultState};
use super::job::{Job, JobParts, OpenItem, Progress};
use super::result_page::ListedResult;
use crate::codec::{
    DecodeShared, malformed, put_bytes, put_list, put_optional_varint, put_varint, take_byte,
    take_optional_varint, take_shared_list, take_shared_text, take_text, take_varint_as,
};
use crate::names::{JobId, is_valid_id};
use crate::shared_bytes::SharedBytes;
use crate::submission::{ItemSpec, MAX_ITEMS};

/// The version of the snapshot format. Snapshots of other versions are rejected.
const VERSION: u8 = 1;
/// The maximum number of jobs in a snapshot.
const MAX_JOBS: usize = 1 << 20;

/// Why a snapshot can't be read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The snapshot has another version of the format.
    #[snafu(display("the snapshot has form {version}, not {VERSION}"))]
    OtherVersion {
        /// The version of the snapshot.
        version: u8,
    },
    /// The bytes are not a snapshot.
    #[snafu(display("the snapshot is malformed"))]
    Malformed {
        /// The error of the decoder, with its position.
        source: DeBinErr,
    },
    /// The bytes continue after the end of the snapshot.
    #[snafu(display("{bytes} unexpected bytes follow the snapshot"))]
    TrailingBytes {
        /// The number of bytes after the end of the snapshot.
        bytes: usize,
    },
    /// The snapshot contains a job twice.
    #[snafu(display("the snapshot contains a job twice"))]
    DuplicateJob,
}

impl Jobs {
    /// Encodes the complete state. Equal states give equal bytes.
    pub fn to_snapshot(&self) -> Vec<u8> {
        // Jobs take more bytes in memory than in a snapshot, so the buffer never has to grow.
        let mut out = Vec::with_capacity(self.memory_bytes);
        self.write_snapshot(&mut out);
        out
    }

    /// Appends the bytes of [`Jobs::to_snapshot`] to a buffer.
    pub fn write_snapshot(&self, out: &mut Vec<u8>) {
        out.push(VERSION);
        put_varint(out, self.jobs.len() as u64);
        for (id, job) in &self.jobs {
            id.ser_bin(out);
            job.ser_bin(out);
        }
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are not a complete snapshot of this version.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Jobs, SnapshotError> {
        Jobs::from_shared_snapshot(&SharedBytes::from(bytes))
    }

    /// Decodes a snapshot. Bodies and texts are not copied, but refer to these bytes.
    ///
    /// # Errors
    /// Fails if the bytes are not a complete snapshot of this version.
    pub fn from_shared_snapshot(bytes: &SharedBytes) -> Result<Jobs, SnapshotError> {
        let malformed_at = |source| SnapshotError::Malformed { source };
        let mut offset = 0;
        let version = take_byte(&mut offset, bytes).map_err(malformed_at)?;
        ensure!(version == VERSION, OtherVersionSnafu { version });
        let records: Vec<JobRecord> = take_shared_list(&mut offset, bytes, MAX_JOBS).map_err(malformed_at)?;
        ensure!(offset == bytes.len(), TrailingBytesSnafu { bytes: bytes.len() - offset });
        let mut jobs = Jobs::new();
        for JobRecord { id, job } in records {
            jobs.memory_bytes = jobs.memory_bytes.saturating_add(job.memory_bytes());
            ensure!(jobs.jobs.insert(id, job).is_none(), DuplicateJobSnafu);
        }
        Ok(jobs)
    }
}

struct JobRecord {
    id: JobId,
    job: Job,
}

impl DecodeShared for JobRecord {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<JobRecord, DeBinErr> {
        Ok(JobRecord { id: JobId::de_bin(offset, bytes)?, job: Job::decode(offset, bytes)? })
    }
}

impl SerBin for Job {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_bytes(out, self.route.as_bytes());
        put_bytes(out, self.service.as_bytes());
        put_bytes(out, self.host.as_bytes());
        self.settings.ser_bin(out);
        self.ended.ser_bin(out);
        put_varint(out, self.open_items.len() as u64);
        for item in &self.open_items {
            item.is_some().ser_bin(out);
            if let Some(item) = item {
                item.ser_bin(out);
            }
        }
        put_list(out, &self.results);
    }
}

impl DecodeShared for Job {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<Job, DeBinErr> {
        let route = take_text(offset, bytes)?.to_owned();
        let service = take_text(offset, bytes)?.to_owned();
        let host = take_text(offset, bytes)?.to_owned();
        let settings = JobSettings::de_bin(offset, bytes)?;
        let ended = bool::de_bin(offset, bytes)?;
        let open_items: Vec<OpenRecord> = take_shared_list(offset, bytes, MAX_ITEMS)?;
        let open_items: Vec<_> = open_items.into_iter().map(|record| record.0).collect();
        let results: Vec<ListedResult> = take_shared_list(offset, bytes, MAX_ITEMS)?;
        if !is_consistent(&open_items, &results, ended) {
            return Err(malformed(*offset, 0, bytes));
        }
        Ok(Job::from_parts(JobParts { route, service, host, settings, open_items, results, ended }))
    }
}

/// Whether each item is either open or has a result, unless the end of the job dropped it, and no item occurs twice.
fn is_consistent(open_items: &[Option<Box<OpenItem>>], results: &[ListedResult], ended: bool) -> bool {
    let open_count = open_items.iter().flatten().count();
    let counts_match = if ended {
        open_count == 0 && results.len() <= open_items.len()
    } else {
        open_count + results.len() == open_items.len()
    };
    let mut seen_ids = HashSet::new();
    let open_ids = open_items.iter().flatten().map(|item| item.spec.id.as_str());
    counts_match && open_ids.chain(results.iter().map(ListedResult::item_id)).all(|id| seen_ids.insert(id))
}

/// An open item, or `None` in the place of an item that is not open.
struct OpenRecord(Option<Box<OpenItem>>);

impl DecodeShared for OpenRecord {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<OpenRecord, DeBinErr> {
        Ok(OpenRecord(match bool::de_bin(offset, bytes)? {
            true => Some(Box::new(OpenItem::decode(offset, bytes)?)),
            false => None,
        }))
    }
}

impl SerBin for OpenItem {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.spec.ser_bin(out);
        put_optional_varint(out, self.progress.last_event);
        put_bytes(out, self.progress.text.as_bytes());
        put_varint(out, u64::from(self.progress.failed_attempts));
    }
}

impl DecodeShared for OpenItem {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<OpenItem, DeBinErr> {
        Ok(OpenItem {
            spec: ItemSpec::decode(offset, bytes)?,
            progress: Progress {
                last_event: take_optional_varint(offset, bytes)?,
                text: take_text(offset, bytes)?.to_owned(),
                failed_attempts: take_varint_as(offset, bytes)?,
            },
        })
    }
}

impl SerBin for ListedResult {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_bytes(out, self.item_id().as_bytes());
        self.state().ser_bin(out);
        put_bytes(out, self.text().as_bytes());
    }
}

impl DecodeShared for ListedResult {
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<ListedResult, DeBinErr> {
        let id = take_text(offset, bytes)?;
        if !is_valid_id(id) {
            return Err(malformed(*offset, 0, bytes));
        }
        let state = ResultState::de_bin(offset, bytes)?;
        Ok(ListedResult::new(id.to_owned(), state, take_shared_text(offset, bytes)?))
    }
}

//! The complete state in bytes, for a replica that is behind and for the disk.

use std::collections::HashSet;

use nanoserde::{DeBin, DeBinErr, SerBin};
use snafu::{Snafu, ensure};

use super::Jobs;
use super::entry::{JobSettings, ResultState};
use super::job::{Job, JobParts, OpenItem, Progress};
use super::result_page::ListedResult;
use crate::codec::{
    DecodeShared, malformed, put_bytes, put_list, put_number, put_optional_number, take_byte,
    take_optional_number, take_shared_list, take_shared_text, take_small, take_text,
};
use crate::names::{JobId, is_name};
use crate::shared_bytes::SharedBytes;
use crate::submission::{ItemSpec, MAX_ITEMS};

/// The version of the format. Readers reject others.
const VERSION: u8 = 1;
/// The most jobs in a snapshot.
const MAX_JOBS: usize = 1 << 20;

/// Why a snapshot can't be read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// It has another version of the format.
    #[snafu(display("the snapshot has form {version}, not {VERSION}"))]
    OtherVersion {
        /// Its version.
        version: u8,
    },
    /// Its bytes are not a snapshot.
    #[snafu(display("the snapshot is malformed"))]
    Malformed {
        /// Where they are not.
        source: DeBinErr,
    },
    /// More bytes follow it.
    #[snafu(display("{bytes} bytes follow the snapshot"))]
    Surplus {
        /// Their number.
        bytes: usize,
    },
    /// A job is in it twice.
    #[snafu(display("a job stands in the snapshot twice"))]
    JobTwice,
}

impl Jobs {
    /// The complete state. The same state gives the same bytes.
    pub fn to_snapshot(&self) -> Vec<u8> {
        // Jobs take more bytes in memory than in a snapshot, so that the buffer never grows.
        let mut out = Vec::with_capacity(self.cost);
        self.write_snapshot(&mut out);
        out
    }

    /// Appends the bytes of [`Jobs::to_snapshot`].
    pub fn write_snapshot(&self, out: &mut Vec<u8>) {
        out.push(VERSION);
        put_number(out, self.jobs.len() as u64);
        for (id, job) in &self.jobs {
            id.ser_bin(out);
            job.ser_bin(out);
        }
    }

    /// The state that was written.
    ///
    /// # Errors
    /// When the bytes are not a complete snapshot of this version.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Jobs, SnapshotError> {
        Jobs::from_shared_snapshot(&SharedBytes::from(bytes))
    }

    /// The state that was written, which refers to these bytes for bodies and texts.
    ///
    /// # Errors
    /// As [`Jobs::from_snapshot`].
    pub fn from_shared_snapshot(bytes: &SharedBytes) -> Result<Jobs, SnapshotError> {
        let malformed_at = |source| SnapshotError::Malformed { source };
        let mut offset = 0;
        let version = take_byte(&mut offset, bytes).map_err(malformed_at)?;
        ensure!(version == VERSION, OtherVersionSnafu { version });
        let records: Vec<JobRecord> = take_shared_list(&mut offset, bytes, MAX_JOBS).map_err(malformed_at)?;
        ensure!(offset == bytes.len(), SurplusSnafu { bytes: bytes.len() - offset });
        let mut jobs = Jobs::new();
        for JobRecord { id, job } in records {
            jobs.cost = jobs.cost.saturating_add(job.cost());
            ensure!(jobs.jobs.insert(id, job).is_none(), JobTwiceSnafu);
        }
        Ok(jobs)
    }
}

struct JobRecord {
    id: JobId,
    job: Job,
}

impl DecodeShared for JobRecord {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<JobRecord, DeBinErr> {
        Ok(JobRecord { id: JobId::de_bin(offset, bytes)?, job: Job::take(offset, bytes)? })
    }
}

impl SerBin for Job {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        put_bytes(out, self.route.as_bytes());
        put_bytes(out, self.service.as_bytes());
        put_bytes(out, self.host.as_bytes());
        self.settings.ser_bin(out);
        self.ended.ser_bin(out);
        put_number(out, self.open.len() as u64);
        for item in &self.open {
            item.is_some().ser_bin(out);
            if let Some(item) = item {
                item.ser_bin(out);
            }
        }
        put_list(out, &self.listed);
    }
}

impl DecodeShared for Job {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<Job, DeBinErr> {
        let route = take_text(offset, bytes)?.to_owned();
        let service = take_text(offset, bytes)?.to_owned();
        let host = take_text(offset, bytes)?.to_owned();
        let settings = JobSettings::de_bin(offset, bytes)?;
        let ended = bool::de_bin(offset, bytes)?;
        let open: Vec<OpenRecord> = take_shared_list(offset, bytes, MAX_ITEMS)?;
        let open: Vec<_> = open.into_iter().map(|record| record.0).collect();
        let listed: Vec<ListedResult> = take_shared_list(offset, bytes, MAX_ITEMS)?;
        if !is_sound(&open, &listed, ended) {
            return Err(malformed(*offset, 0, bytes));
        }
        Ok(Job::from_parts(JobParts { route, service, host, settings, open, listed, ended }))
    }
}

/// Whether each item is either open or listed (or dropped by the end), and none is twice.
fn is_sound(open: &[Option<Box<OpenItem>>], listed: &[ListedResult], ended: bool) -> bool {
    let unlisted = open.iter().flatten().count();
    let counts_fit = if ended {
        unlisted == 0 && listed.len() <= open.len()
    } else {
        unlisted + listed.len() == open.len()
    };
    let mut names = HashSet::new();
    let open_names = open.iter().flatten().map(|item| item.spec.id.as_str());
    counts_fit && open_names.chain(listed.iter().map(ListedResult::item_id)).all(|name| names.insert(name))
}

struct OpenRecord(Option<Box<OpenItem>>);

impl DecodeShared for OpenRecord {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<OpenRecord, DeBinErr> {
        Ok(OpenRecord(match bool::de_bin(offset, bytes)? {
            true => Some(Box::new(OpenItem::take(offset, bytes)?)),
            false => None,
        }))
    }
}

impl SerBin for OpenItem {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.spec.ser_bin(out);
        put_optional_number(out, self.progress.last_event);
        put_bytes(out, self.progress.text.as_bytes());
        put_number(out, u64::from(self.progress.failed_attempts));
    }
}

impl DecodeShared for OpenItem {
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<OpenItem, DeBinErr> {
        Ok(OpenItem {
            spec: ItemSpec::take(offset, bytes)?,
            progress: Progress {
                last_event: take_optional_number(offset, bytes)?,
                text: take_text(offset, bytes)?.to_owned(),
                failed_attempts: take_small(offset, bytes)?,
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
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<ListedResult, DeBinErr> {
        let id = take_text(offset, bytes)?;
        if !is_name(id) {
            return Err(malformed(*offset, 0, bytes));
        }
        let state = ResultState::de_bin(offset, bytes)?;
        Ok(ListedResult::new(id.to_owned(), state, take_shared_text(offset, bytes)?))
    }
}

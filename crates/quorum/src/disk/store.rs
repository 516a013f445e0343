//! The store of one partition, which is opened, appended to, and moved to a new generation.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, ensure};

use super::error::{IoSnafu, PoisonedSnafu, StoreError};
use super::files;
use super::layout::{log_path, slot_path};
use super::records::{ChecksumChain, Record};
use super::recovery::{self, Generation};
use super::slot::Slot;
use crate::entry::{Entry, HardState, RestoredState, Snapshot, Write};

/// The number of the first generation, whose slot has no snapshot.
const FIRST_GENERATION: u64 = 1;

/// The files of one partition.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    /// The active generation.
    generation: u64,
    log: LogFile,
    /// Whether a write or sync failed so that the content of the files is unknown.
    poisoned: bool,
}

/// The log file of the active generation.
#[derive(Debug)]
struct LogFile {
    path: PathBuf,
    file: File,
    /// The size of the complete records, in bytes.
    length: u64,
    /// The checksum chain after the last record.
    chain: ChecksumChain,
    /// Whether something was written since the last sync.
    dirty: bool,
}

impl Store {
    /// Opens the files in `folder`, which belongs to this store alone, and creates them if there are none. The returned
    /// state is synced. A torn end of the log is cut off, and a generation that was not completed is ignored.
    ///
    /// # Errors
    ///
    /// When the disk returns an error, data that was synced can't be read, or a newer version of this program has
    /// written it.
    pub fn open(folder: &Path) -> Result<(Store, RestoredState), StoreError> {
        files::create_folder(folder)?;
        match recovery::newest_generation(folder)? {
            Some(generation) => Store::resume(folder, generation),
            None => Store::create(folder),
        }
    }

    /// Opens the files after a write or sync has failed in this process, and writes the complete state again. The
    /// operating system may count data that it failed to write as synced, so a successful sync of the same files proves
    /// nothing.
    ///
    /// # Errors
    ///
    /// The same as for [`Store::open`], and when the disk still returns an error.
    pub fn open_after_failure(folder: &Path) -> Result<(Store, RestoredState), StoreError> {
        let (mut store, restored) = Store::open(folder)?;
        store.begin_generation(restored.snapshot.clone(), restored.hard_state, restored.entries.clone())?;
        Ok((store, restored))
    }

    /// Creates the files of the first generation.
    fn create(folder: &Path) -> Result<(Store, RestoredState), StoreError> {
        let log = begin_log(folder, FIRST_GENERATION, HardState::default(), Vec::new())?;
        write_slot(folder, Slot { generation: FIRST_GENERATION, snapshot: None })?;
        let store = Store { folder: folder.to_owned(), generation: FIRST_GENERATION, log, poisoned: false };
        Ok((store, RestoredState::default()))
    }

    /// Opens a generation that is complete. A process that ended between write and sync leaves files that are readable
    /// but not synced, so they are synced first.
    fn resume(folder: &Path, found: Generation) -> Result<(Store, RestoredState), StoreError> {
        let Generation { slot, log: content } = found;
        let generation = slot.generation;
        let path = log_path(folder, generation);
        let file =
            OpenOptions::new().write(true).open(&path).context(IoSnafu { action: "open", path: &path })?;
        file.set_len(content.length).context(IoSnafu { action: "cut", path: &path })?;
        file.sync_all().context(IoSnafu { action: "sync", path: &path })?;
        files::sync_file(&slot_path(folder, generation))?;
        files::sync_folder(folder)?;
        truncate_other_generation(folder, generation)?;
        let log = LogFile { path, file, length: content.length, chain: content.chain, dirty: false };
        let restored = RestoredState {
            hard_state: content.hard_state,
            snapshot: slot.snapshot,
            entries: content.entries,
        };
        Ok((Store { folder: folder.to_owned(), generation, log, poisoned: false }, restored))
    }

    /// Writes a batch with one write to the log file. The records are durable once [`Store::sync`] has returned. A
    /// snapshot is synced by this call already.
    ///
    /// # Errors
    ///
    /// When the disk is full or returns an error. Earlier writes are unaffected, and the same batch may be written
    /// again, unless that returns [`StoreError::Poisoned`].
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        ensure!(!self.poisoned, PoisonedSnafu);
        let newest_snapshot = writes.iter().rposition(|write| matches!(write, Write::Snapshot { .. }));
        if let Some(Write::Snapshot { snapshot, hard_state, entries }) =
            newest_snapshot.and_then(|position| writes.get(position))
        {
            self.begin_generation(Some(snapshot.clone()), *hard_state, entries.clone())?;
        }
        let after_snapshot = &writes[newest_snapshot.map_or(0, |position| position + 1)..];
        let mut bytes = Vec::new();
        let mut chain = self.log.chain;
        for record in after_snapshot.iter().filter_map(to_record) {
            chain = chain.write(&record, &mut bytes);
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.append(&bytes, chain)
    }

    /// Makes all earlier writes durable.
    ///
    /// # Errors
    ///
    /// When the disk returns an error. The content of the file is unknown then, and the store accepts no more writes.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        ensure!(!self.poisoned, PoisonedSnafu);
        if !self.log.dirty {
            return Ok(());
        }
        let synced = self.log.file.sync_data();
        self.poisoned = synced.is_err();
        self.log.dirty = false;
        synced.context(IoSnafu { action: "sync", path: &self.log.path })
    }

    /// The size of the log file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.length
    }

    /// Writes records to the end of the log file, without a sync.
    fn append(&mut self, bytes: &[u8], chain: ChecksumChain) -> Result<(), StoreError> {
        let log = &mut self.log;
        log.dirty = true;
        if let Err(error) = log.file.write_all_at(bytes, log.length) {
            // A partial record must not stay, because later records would follow it. If it can't be cut off, the store
            // accepts no more writes.
            self.poisoned = log.file.set_len(log.length).is_err();
            return Err(error).context(IoSnafu { action: "write", path: &log.path });
        }
        log.length += bytes.len() as u64;
        log.chain = chain;
        Ok(())
    }

    /// Writes the complete state as a new generation. Its log is written first, because writing the slot activates the
    /// generation.
    fn begin_generation(
        &mut self,
        snapshot: Option<Snapshot>,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<(), StoreError> {
        let generation = self.generation + 1;
        let log = begin_log(&self.folder, generation, hard_state, entries)?;
        // If this fails, it is unknown whether the generation is active until the store is opened again.
        self.poisoned = true;
        write_slot(&self.folder, Slot { generation, snapshot })?;
        self.poisoned = false;
        self.generation = generation;
        self.log = log;
        truncate_other_generation(&self.folder, generation)
    }
}

/// Frees the space of the generation before the active one. The active one is complete and synced, so the other is not
/// needed any more, and this need not be durable.
fn truncate_other_generation(folder: &Path, active: u64) -> Result<(), StoreError> {
    let other = active + 1;
    files::truncate(&slot_path(folder, other))?;
    files::truncate(&log_path(folder, other))
}

/// Returns the record for a write to the log; none for a snapshot, which begins a new generation.
fn to_record(write: &Write) -> Option<Record> {
    match write {
        Write::HardState(hard_state) => Some(Record::HardState(*hard_state)),
        Write::Entries(entries) => Some(Record::Entries(entries.clone())),
        Write::Snapshot { .. } => None,
    }
}

/// Writes and syncs the slot file of a generation, which activates the generation.
fn write_slot(folder: &Path, slot: Slot) -> Result<(), StoreError> {
    files::replace(&slot_path(folder, slot.generation), &slot.to_bytes())?;
    files::sync_folder(folder)
}

/// Writes and syncs the log file of a new generation.
fn begin_log(
    folder: &Path,
    generation: u64,
    hard_state: HardState,
    entries: Vec<Entry>,
) -> Result<LogFile, StoreError> {
    let path = log_path(folder, generation);
    let mut bytes = Vec::new();
    let chain = ChecksumChain::START.write(&Record::Base { generation, hard_state, entries }, &mut bytes);
    let file = files::replace(&path, &bytes)?;
    files::sync_folder(folder)?;
    Ok(LogFile { path, file, length: bytes.len() as u64, chain, dirty: false })
}

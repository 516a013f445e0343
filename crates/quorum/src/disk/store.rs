//! The store of one partition: opening, appending, and starting a new generation.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, ensure};

use super::error::{DamagedSnafu, IoSnafu, NewerFormatSnafu, PoisonedSnafu, StoreError};
use super::files;
use super::records::{ChecksumChain, Record, UnknownRecord, VerifiedRecord};
use super::slot::Slot;
use crate::entry::{Entry, HardState, RestoredState, Snapshot, Write};

/// The first generation; its slot has no snapshot.
const FIRST_GENERATION: u64 = 1;

/// The files of one partition.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    generation: u64,
    log: LogFile,
    poisoned: bool,
}

/// The log's file of the active generation.
#[derive(Debug)]
struct LogFile {
    path: PathBuf,
    file: File,
    /// The complete records, in bytes.
    length: u64,
    chain: ChecksumChain,
    /// Something was written since the last sync.
    dirty: bool,
}

/// What a log's file holds.
#[derive(Debug)]
struct LogContent {
    generation: u64,
    hard_state: HardState,
    entries: Vec<Entry>,
    length: u64,
    chain: ChecksumChain,
    /// There is more than the first record, so the generation has been active.
    was_active: bool,
}

impl Store {
    /// Opens the files in `folder`, which belongs to this store alone, and creates them if there are none. What is
    /// returned is synced: a torn end of the log has been cut off, and a generation that was not finished is left out.
    ///
    /// # Errors
    ///
    /// When the disk returns an error, what was synced once can't be read, or a newer version of this program has written it.
    pub fn open(folder: &Path) -> Result<(Store, RestoredState), StoreError> {
        files::create_folder(folder)?;
        let slots = [read_slot(folder, 0)?, read_slot(folder, 1)?];
        let logs = [read_log(folder, 0)?, read_log(folder, 1)?];
        let newest = (0..2)
            .filter(|&parity| is_complete(&slots[parity], &logs[parity]))
            .max_by_key(|&parity| slots[parity].as_ref().map(|slot| slot.generation));
        let generation = newest.and_then(|parity| slots[parity].as_ref()).map(|slot| slot.generation);
        ensure_no_synced_file_lost(folder, generation, &slots, &logs)?;
        let newest_files = newest.and_then(|parity| {
            let slot = slots.into_iter().nth(parity).flatten()?;
            let log = logs.into_iter().nth(parity).flatten()?;
            Some((slot, log))
        });
        match newest_files {
            Some((slot, log)) => Store::resume(folder, slot, log),
            None => Store::create(folder),
        }
    }

    /// Opens the files after a write or sync has failed in this process, and writes all of them anew: the system may
    /// take for synced what it could not write once, so that syncing the same files again proves nothing.
    ///
    /// # Errors
    ///
    /// As [`Store::open`], and when the disk still fails.
    pub fn open_after_failure(folder: &Path) -> Result<(Store, RestoredState), StoreError> {
        let (mut store, restored) = Store::open(folder)?;
        store.begin_generation(restored.snapshot.clone(), restored.hard_state, restored.entries.clone())?;
        Ok((store, restored))
    }

    fn create(folder: &Path) -> Result<(Store, RestoredState), StoreError> {
        let log = begin_log(folder, FIRST_GENERATION, HardState::default(), Vec::new())?;
        write_slot(folder, Slot { generation: FIRST_GENERATION, snapshot: None })?;
        let store = Store { folder: folder.to_owned(), generation: FIRST_GENERATION, log, poisoned: false };
        Ok((store, RestoredState::default()))
    }

    /// Opens a generation that was found complete. A process that ended between write and sync leaves files that
    /// are readable but not yet safe, so they are synced first.
    fn resume(folder: &Path, slot: Slot, content: LogContent) -> Result<(Store, RestoredState), StoreError> {
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

    /// Writes a batch, in one write of the file; the records are durable once [`Store::sync`] has returned. A
    /// snapshot is synced right here.
    ///
    /// # Errors
    ///
    /// When the disk is full or fails. What was there before is unharmed, and the same batch may be tried again, unless
    /// the error is [`StoreError::Poisoned`] then.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        ensure!(!self.poisoned, PoisonedSnafu);
        let newest = writes.iter().rposition(|write| matches!(write, Write::Snapshot { .. }));
        if let Some(Write::Snapshot { snapshot, hard_state, entries }) = newest.and_then(|at| writes.get(at))
        {
            self.begin_generation(Some(snapshot.clone()), *hard_state, entries.clone())?;
        }
        let appended = &writes[newest.map_or(0, |at| at + 1)..];
        let mut bytes = Vec::new();
        let mut chain = self.log.chain;
        for record in appended.iter().filter_map(to_record) {
            chain = chain.write(&record, &mut bytes);
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.append(&bytes, chain)
    }

    /// Makes everything that was written durable.
    ///
    /// # Errors
    ///
    /// When the disk fails. What the file holds is unknown then, and the store accepts no more writes.
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

    /// The size of the log's file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.length
    }

    fn append(&mut self, bytes: &[u8], chain: ChecksumChain) -> Result<(), StoreError> {
        let log = &mut self.log;
        log.dirty = true;
        if let Err(error) = log.file.write_all_at(bytes, log.length) {
            // No partial record may stay: a later one would follow it. If the cut fails too, the store accepts no more writes.
            self.poisoned = log.file.set_len(log.length).is_err();
            return Err(error).context(IoSnafu { action: "write", path: &log.path });
        }
        log.length += bytes.len() as u64;
        log.chain = chain;
        Ok(())
    }

    /// Writes the complete state as a new generation. Its log comes first: writing the slot activates the generation.
    fn begin_generation(
        &mut self,
        snapshot: Option<Snapshot>,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<(), StoreError> {
        let generation = self.generation + 1;
        let log = begin_log(&self.folder, generation, hard_state, entries)?;
        // When this fails, the generation may be active or not; only opening anew can tell.
        self.poisoned = true;
        write_slot(&self.folder, Slot { generation, snapshot })?;
        self.poisoned = false;
        self.generation = generation;
        self.log = log;
        truncate_other_generation(&self.folder, generation)
    }
}

/// Frees the space of the generation before the active one, which is complete and synced. Nothing reads it again, so this
/// need not be durable.
fn truncate_other_generation(folder: &Path, active: u64) -> Result<(), StoreError> {
    let other = active + 1;
    files::truncate(&slot_path(folder, other))?;
    files::truncate(&log_path(folder, other))
}

fn to_record(write: &Write) -> Option<Record> {
    match write {
        Write::HardState(hard_state) => Some(Record::HardState(*hard_state)),
        Write::Entries(entries) => Some(Record::Entries(entries.clone())),
        Write::Snapshot { .. } => None,
    }
}

fn slot_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("slot-{}", generation % 2))
}

fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("log-{}", generation % 2))
}

fn write_slot(folder: &Path, slot: Slot) -> Result<(), StoreError> {
    files::replace(&slot_path(folder, slot.generation), &slot.to_bytes())?;
    files::sync_folder(folder)
}

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

fn read_slot(folder: &Path, parity: u64) -> Result<Option<Slot>, StoreError> {
    let path = slot_path(folder, parity);
    let content = files::read(&path)?;
    ensure!(!Slot::is_newer(&content), NewerFormatSnafu { what: "the slot", path });
    Ok(Slot::from_bytes(&content).filter(|slot| slot.generation % 2 == parity))
}

fn read_log(folder: &Path, parity: u64) -> Result<Option<LogContent>, StoreError> {
    let path = log_path(folder, parity);
    let content = files::read(&path)?;
    let newer = |_: UnknownRecord| NewerFormatSnafu { what: "a record of the log", path: &path }.build();
    let base = read_base(&content).map_err(newer)?;
    let Some(mut log) = base.filter(|log| log.generation % 2 == parity) else {
        return Ok(None);
    };
    while let Some(VerifiedRecord { record, chain, size }) =
        log.chain.read(&content[log.length as usize..]).map_err(newer)?
    {
        match record {
            Record::Base { .. } => break,
            Record::HardState(hard_state) => log.hard_state = hard_state,
            Record::Entries(entries) => {
                let follows = replace_tail(&mut log.entries, entries);
                ensure!(follows, DamagedSnafu { what: "the entries have a gap", path });
            }
        }
        log.chain = chain;
        log.length += size as u64;
        log.was_active = true;
    }
    Ok(Some(log))
}

/// The first record.
fn read_base(content: &[u8]) -> Result<Option<LogContent>, UnknownRecord> {
    Ok(match ChecksumChain::START.read(content)? {
        Some(VerifiedRecord { record: Record::Base { generation, hard_state, entries }, chain, size }) => {
            Some(LogContent {
                generation,
                hard_state,
                entries,
                length: size as u64,
                chain,
                was_active: false,
            })
        }
        _ => None,
    })
}

/// Replaces everything from the first new entry's index on. Returns whether the result has no gap.
fn replace_tail(entries: &mut Vec<Entry>, newer: Vec<Entry>) -> bool {
    let Some(first) = newer.first().map(|entry| entry.index) else { return true };
    entries.truncate(entries.partition_point(|entry| entry.index < first));
    let follows = entries.last().is_none_or(|last| last.index.next() == first);
    entries.extend(newer);
    follows
}

fn is_complete(slot: &Option<Slot>, log: &Option<LogContent>) -> bool {
    matches!((slot, log), (Some(slot), Some(log)) if slot.generation == log.generation)
}

/// Rejects a disk that has lost what it had synced. A slot is written only after its log, a log is appended to only after
/// its slot, and only the first generation has none before it.
fn ensure_no_synced_file_lost(
    folder: &Path,
    active: Option<u64>,
    slots: &[Option<Slot>; 2],
    logs: &[Option<LogContent>; 2],
) -> Result<(), StoreError> {
    let newest = active.unwrap_or(0);
    let slot_without_log = slots.iter().flatten().any(|slot| slot.generation > newest);
    ensure!(!slot_without_log, DamagedSnafu { what: "the log of a slot is not whole", path: folder });
    let is_ahead = |log: &LogContent| log.was_active || log.generation > newest + 1;
    let log_without_slot = logs.iter().flatten().any(|log| log.generation > newest && is_ahead(log));
    ensure!(!log_without_slot, DamagedSnafu { what: "the slot of a log is not whole", path: folder });
    Ok(())
}

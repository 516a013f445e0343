//! Recovery at the start: it finds the newest complete generation on disk, and checks that nothing that was synced is
//! missing.

use std::path::Path;

use snafu::ensure;

use super::error::{DamagedSnafu, NewerFormatSnafu, StoreError};
use super::files;
use super::layout::{log_path, slot_path};
use super::records::{ChecksumChain, Record, UnknownRecord, VerifiedRecord};
use super::slot::Slot;
use crate::entry::{Entry, HardState};

/// A complete generation that was read from disk.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) slot: Slot,
    pub(super) log: LogContent,
}

/// The content of a log file.
#[derive(Debug)]
pub(super) struct LogContent {
    pub(super) generation: u64,
    pub(super) hard_state: HardState,
    pub(super) entries: Vec<Entry>,
    /// The size of the complete records, in bytes.
    pub(super) length: u64,
    /// The checksum chain after the last complete record.
    pub(super) chain: ChecksumChain,
    /// Whether there are records after the first one, so that the generation has been active.
    pub(super) was_active: bool,
}

/// Returns the newest complete generation; none if not even the first one was completed.
pub(super) fn newest_generation(folder: &Path) -> Result<Option<Generation>, StoreError> {
    let slots = [read_slot(folder, 0)?, read_slot(folder, 1)?];
    let logs = [read_log(folder, 0)?, read_log(folder, 1)?];
    let newest_parity = (0..2)
        .filter(|&parity| is_complete(&slots[parity], &logs[parity]))
        .max_by_key(|&parity| slots[parity].as_ref().map(|slot| slot.generation));
    let generation = newest_parity.and_then(|parity| slots[parity].as_ref()).map(|slot| slot.generation);
    ensure_no_synced_file_lost(folder, generation, &slots, &logs)?;
    Ok(newest_parity.and_then(|parity| {
        let slot = slots.into_iter().nth(parity).flatten()?;
        let log = logs.into_iter().nth(parity).flatten()?;
        Some(Generation { slot, log })
    }))
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
    let newer_format =
        |_: UnknownRecord| NewerFormatSnafu { what: "a record of the log", path: &path }.build();
    let base = read_base(&content).map_err(newer_format)?;
    let Some(mut log) = base.filter(|log| log.generation % 2 == parity) else {
        return Ok(None);
    };
    while let Some(VerifiedRecord { record, chain, size }) =
        log.chain.read(&content[log.length as usize..]).map_err(newer_format)?
    {
        match record {
            Record::Base { .. } => break,
            Record::HardState(hard_state) => log.hard_state = hard_state,
            Record::Entries(entries) => {
                let has_no_gap = replace_tail(&mut log.entries, entries);
                ensure!(has_no_gap, DamagedSnafu { what: "the entries have a gap", path });
            }
        }
        log.chain = chain;
        log.length += size as u64;
        log.was_active = true;
    }
    Ok(Some(log))
}

/// Reads the first record of a log; none if there is no complete record of that kind.
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

/// Replaces all entries from the index of the first newer entry on. Returns whether the result has no gap.
fn replace_tail(entries: &mut Vec<Entry>, newer: Vec<Entry>) -> bool {
    let Some(first) = newer.first().map(|entry| entry.index) else { return true };
    entries.truncate(entries.partition_point(|entry| entry.index < first));
    let has_no_gap = entries.last().is_none_or(|last| last.index.next() == first);
    entries.extend(newer);
    has_no_gap
}

/// Whether a slot and a log can be read and are of the same generation.
fn is_complete(slot: &Option<Slot>, log: &Option<LogContent>) -> bool {
    matches!((slot, log), (Some(slot), Some(log)) if slot.generation == log.generation)
}

/// Returns an error if the disk has lost data that was synced. A slot is written only after its log, a log is appended
/// to only after its slot is written, and every generation but the first follows a complete one.
fn ensure_no_synced_file_lost(
    folder: &Path,
    active: Option<u64>,
    slots: &[Option<Slot>; 2],
    logs: &[Option<LogContent>; 2],
) -> Result<(), StoreError> {
    let active = active.unwrap_or(0);
    let slot_without_log = slots.iter().flatten().any(|slot| slot.generation > active);
    ensure!(!slot_without_log, DamagedSnafu { what: "the log of a slot is not whole", path: folder });
    let is_ahead = |log: &LogContent| log.was_active || log.generation > active + 1;
    let log_without_slot = logs.iter().flatten().any(|log| log.generation > active && is_ahead(log));
    ensure!(!log_without_slot, DamagedSnafu { what: "the slot of a log is not whole", path: folder });
    Ok(())
}

//! Disks: what was synced lasts; of what was written later, a partition may be there after a loss of power.
//!
//! The files of a replica are a chain of records, each with a checksum over all before it. So whatever a loss of power
//! leaves of the later writes, present, missing or torn, what is read back of them is a beginning of the chain. The tests
//! of the store itself check that on bytes; here a loss keeps a drawn beginning.

use grebeusher_quorum::{Entry, HardState, RestoredState, Snapshot, Write};
use grebeusher_time::{Duration, DurationExt, Instant};
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A disk.
#[derive(Debug)]
pub struct Disk {
    /// What a sync takes.
    pub sync_takes: Duration,
    /// Whether syncs only pretend: a fault that no machine should have, to show that it is found.
    pub pretends: bool,
    /// Whether it takes no more writes.
    pub full: bool,
    identity: Option<Written<u64>>,
    stores: BTreeMap<PathBuf, Store>,
}

#[derive(Debug)]
struct Written<T> {
    what: T,
    at: Instant,
    safe: Option<Instant>,
}

#[derive(Debug, Default)]
struct Store {
    base: RestoredState,
    later: Vec<Written<Write>>,
}

impl Disk {
    /// An empty disk.
    pub fn new(sync_takes: Duration) -> Disk {
        Disk { sync_takes, pretends: false, full: false, identity: None, stores: BTreeMap::new() }
    }

    /// The identity, made of `random` if there is none; and whether it was there.
    pub fn identity(&mut self, now: Instant, random: u64) -> (u64, bool) {
        let existed = self.identity.is_some();
        let safe = Some(now + self.sync_takes.scaled(4.0));
        let identity = self.identity.get_or_insert(Written { what: random, at: now, safe });
        (identity.what, existed)
    }

    /// What a folder holds; from here on it lasts.
    pub fn open(&mut self, now: Instant, folder: &Path) -> RestoredState {
        let safe = now + self.sync_takes.scaled(2.0);
        let store = self.stores.entry(folder.to_owned()).or_default();
        for written in &mut store.later {
            written.safe.get_or_insert(safe);
        }
        store.all()
    }

    /// Writes; what it takes.
    pub fn write(&mut self, now: Instant, folder: &Path, writes: &[Write]) -> Duration {
        let sync_takes = self.sync_takes;
        let pretends = self.pretends;
        let Some(store) = self.stores.get_mut(folder) else { return Duration::from_nanos(0) };
        store.settle(now);
        let mut takes = Duration::from_nanos(20_000);
        for write in writes {
            let whole = matches!(write, Write::Snapshot { .. });
            if whole {
                takes += sync_takes.scaled(3.0);
            }
            let safe = (whole && !pretends).then_some(now + takes);
            store.later.push(Written { what: write.clone(), at: now, safe });
        }
        takes
    }

    /// Syncs; what it takes.
    pub fn sync(&mut self, now: Instant, folder: &Path) -> Duration {
        let takes = self.sync_takes;
        if self.pretends {
            return takes;
        }
        let Some(store) = self.stores.get_mut(folder) else { return takes };
        for written in &mut store.later {
            written.safe.get_or_insert(now + takes);
        }
        takes
    }

    /// The process is gone; what it would only have written later is not there.
    pub fn process_ended(&mut self, now: Instant) {
        self.identity.take_if(|identity| identity.at > now);
        for store in self.stores.values_mut() {
            store.later.retain(|written| written.at <= now);
        }
    }

    /// The power is gone.
    pub fn power_lost(&mut self, now: Instant, random: &mut Pcg64) {
        self.process_ended(now);
        self.identity.take_if(|identity| identity.safe.is_none_or(|safe| safe > now));
        let takes_all = random.random_bool(0.3);
        for store in self.stores.values_mut() {
            let safe = store.later.iter().rposition(|written| written.safe.is_some_and(|safe| safe <= now));
            let safe = safe.map_or(0, |last| last + 1);
            let unsafe_count = store.later.len() - safe;
            let kept = if takes_all { 0 } else { random.random_range(0..=unsafe_count) };
            store.later.truncate(safe + kept);
        }
    }

    /// The disk was lost; an empty one is there.
    pub fn wipe(&mut self) {
        self.identity = None;
        self.stores.clear();
    }
}

impl Store {
    fn all(&self) -> RestoredState {
        let mut all = self.base.clone();
        for written in &self.later {
            apply(&mut all, &written.what);
        }
        all
    }

    /// Writes that last are put into one, so that memory stays bounded.
    fn settle(&mut self, now: Instant) {
        let safe = self.later.iter().take_while(|written| written.safe.is_some_and(|safe| safe <= now));
        let count = safe.count();
        for written in self.later.drain(..count) {
            apply(&mut self.base, &written.what);
        }
    }
}

fn apply(state: &mut RestoredState, write: &Write) {
    match write {
        Write::HardState(hard_state) => state.hard_state = *hard_state,
        Write::Entries(entries) => append(&mut state.entries, entries),
        Write::Snapshot { snapshot, hard_state, entries } => replace(state, snapshot, hard_state, entries),
    }
}

fn append(log: &mut Vec<Entry>, entries: &[Entry]) {
    let Some(first) = entries.first() else { return };
    log.truncate(log.partition_point(|entry| entry.index < first.index));
    log.extend_from_slice(entries);
}

fn replace(state: &mut RestoredState, snapshot: &Snapshot, hard_state: &HardState, entries: &[Entry]) {
    state.snapshot = Some(snapshot.clone());
    state.hard_state = *hard_state;
    state.entries = entries.to_vec();
}

//! A simulated disk that distinguishes synced from unsynced writes. The formats of real files are tested in `disk.rs`
//! of this crate's tests.

use grebeusher_quorum::{Entry, Group, HardState, Index, Payload, RestoredState, Term, Write};
use rand::Rng;
use rand::rngs::SmallRng;

#[derive(Clone, Debug, Default)]
pub struct Disk {
    synced: RestoredState,
    unsynced: Vec<Write>,
}

impl Disk {
    /// Returns a disk that has the bootstrap of the partition and nothing that was written later.
    pub fn with_bootstrap_only(group: Group) -> Disk {
        let cluster_id = Some(group.cluster_id());
        let entry = Entry { index: Index(1), term: Term(1), payload: Payload::Group(group) };
        let hard_state = HardState { term: Term(1), vote: None, cluster_id, commit: Index(0) };
        Disk {
            synced: RestoredState { hard_state, snapshot: None, entries: vec![entry] },
            unsynced: Vec::new(),
        }
    }

    pub fn write(&mut self, writes: Vec<Write>) {
        self.unsynced.extend(writes);
    }

    pub fn sync(&mut self) {
        for write in std::mem::take(&mut self.unsynced) {
            apply(&mut self.synced, write);
        }
    }

    /// Keeps a random number of the writes since the last sync, counted from the oldest, or none of them without `rng`.
    pub fn lose_power(&mut self, rng: Option<&mut SmallRng>) {
        let kept_writes = rng.map_or(0, |rng| rng.random_range(0..=self.unsynced.len()));
        self.unsynced.truncate(kept_writes);
        self.sync();
    }

    pub fn restored(&self) -> RestoredState {
        self.synced.clone()
    }
}

fn apply(state: &mut RestoredState, write: Write) {
    match write {
        Write::HardState(hard_state) => state.hard_state = hard_state,
        Write::Entries(entries) => {
            let Some(first) = entries.first().map(|entry| entry.index) else { return };
            state.entries.retain(|entry| entry.index < first);
            let snapshot_index = state.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.last.index);
            let last = state.entries.last().map_or(snapshot_index, |entry| entry.index);
            assert_eq!(last.next(), first, "entries must be written without gaps");
            state.entries.extend(entries);
        }
        Write::Snapshot { snapshot, hard_state, entries } => {
            *state = RestoredState { hard_state, snapshot: Some(snapshot), entries };
        }
    }
}

//! A disk that knows what is synced. The forms on real files are tested in `disk.rs` beside.

use grebeusher_quorum::{Entry, Group, HardState, Index, Payload, Restored, Term, Write};
use rand::Rng;
use rand::rngs::SmallRng;

#[derive(Clone, Debug, Default)]
pub struct Disk {
    synced: Restored,
    unsynced: Vec<Write>,
}

impl Disk {
    /// A disk that knows how the partition was founded, and nothing since.
    pub fn forgetful(group: Group) -> Disk {
        let founding = Some(group.founding());
        let entry = Entry { index: Index(1), term: Term(1), payload: Payload::Group(group) };
        let hard = HardState { term: Term(1), voted: None, founding, commit: Index(0) };
        Disk { synced: Restored { hard, snapshot: None, entries: vec![entry] }, unsynced: Vec::new() }
    }

    pub fn write(&mut self, writes: Vec<Write>) {
        self.unsynced.extend(writes);
    }

    pub fn sync(&mut self) {
        for write in std::mem::take(&mut self.unsynced) {
            apply(&mut self.synced, write);
        }
    }

    /// The records after the last sync are there up to some point, or none of them.
    pub fn lose_power(&mut self, rng: Option<&mut SmallRng>) {
        let kept = rng.map_or(0, |rng| rng.random_range(0..=self.unsynced.len()));
        self.unsynced.truncate(kept);
        self.sync();
    }

    pub fn restored(&self) -> Restored {
        self.synced.clone()
    }
}

fn apply(state: &mut Restored, write: Write) {
    match write {
        Write::Hard(hard) => state.hard = hard,
        Write::Entries(entries) => {
            let Some(first) = entries.first().map(|entry| entry.index) else { return };
            state.entries.retain(|entry| entry.index < first);
            let base = state.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.last.index);
            let last = state.entries.last().map_or(base, |entry| entry.index);
            assert_eq!(last.next(), first, "entries are written without gaps");
            state.entries.extend(entries);
        }
        Write::Snapshot { snapshot, hard, entries } => {
            *state = Restored { hard, snapshot: Some(snapshot), entries };
        }
    }
}

//! The log of a group in memory. A snapshot is the state itself, written as it is asked for.

use crate::Machine;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::storage::{GetEntriesContext, MemStorage, RaftState, Storage};
use std::cell::RefCell;
use std::rc::Rc;

/// The state, and what it stands on: the index of the last entry that is settled in it.
pub struct Store<M> {
    log: MemStorage,
    pub machine: Rc<RefCell<M>>,
}

/// So many settled entries are kept for those who lag; who lags more gets the state.
const KEPT: u64 = 256;

impl<M: Machine> Store<M> {
    /// Of a member that knows nothing yet: it gets all from whoever leads.
    pub fn empty(machine: M) -> Store<M> {
        Store { log: MemStorage::new(), machine: Rc::new(RefCell::new(machine)) }
    }

    /// Of whoever founds a group of these voters. The log begins after a snapshot, so that no member takes an empty log
    /// for the beginning: all get voters and state from there.
    pub fn founding(machine: M, voters: Vec<u64>) -> raft::Result<Store<M>> {
        let store = Store::empty(machine);
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.set_conf_state(ConfState::from((voters, Vec::new())));
        store.log.wl().apply_snapshot(snapshot)?;
        Ok(store)
    }

    pub fn voters(&self) -> Vec<u64> {
        self.log.initial_state().map(|state| state.conf_state.voters).unwrap_or_default()
    }

    /// The members of each of which a majority is needed: while members change, those before and those after.
    pub fn quorums(&self) -> Vec<Vec<u64>> {
        let conf = self.log.initial_state().map(|state| state.conf_state).unwrap_or_default();
        [conf.voters, conf.voters_outgoing].into_iter().filter(|voters| !voters.is_empty()).collect()
    }

    /// The state as whoever leads has it.
    pub fn takes(&self, snapshot: Snapshot) -> raft::Result<()> {
        if let Ok(machine) = postcard::from_bytes(&snapshot.data) {
            *self.machine.borrow_mut() = machine;
        }
        self.log.wl().apply_snapshot(snapshot)
    }

    pub fn appends(&self, entries: &[Entry]) -> raft::Result<()> {
        self.log.wl().append(entries)
    }

    pub fn stands(&self, hard: HardState) {
        self.log.wl().set_hardstate(hard);
    }

    pub fn commits(&self, index: u64) {
        self.log.wl().mut_hard_state().set_commit(index);
    }

    pub fn has_voters(&self, conf: ConfState) {
        self.log.wl().set_conf_state(conf);
    }

    /// What is settled up to here need not be kept as entries, but for the last few.
    pub fn tidies(&self, applied: u64) -> raft::Result<()> {
        let first = self.log.first_index()?;
        if applied > first + 2 * KEPT { self.log.wl().compact(applied - KEPT) } else { Ok(()) }
    }
}

impl<M: Machine> Storage for Store<M> {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    /// All that is committed is also in the state whenever this is asked: the keeper settles it before anything else.
    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut snapshot = self.log.snapshot(request_index, to)?;
        let machine = postcard::to_allocvec(&*self.machine.borrow());
        snapshot.data = machine.map_err(|e| raft::Error::CodecError(codec(&e)))?.into();
        Ok(snapshot)
    }
}

fn codec(e: &postcard::Error) -> protobuf::ProtobufError {
    protobuf::ProtobufError::IoError(std::io::Error::other(e.to_string()))
}

//! The storage that raft-rs uses for one group: the log in memory, and the state machine, of which a snapshot is made
//! only when raft-rs requests one.
//!
//! Invariant: whenever raft-rs requests a snapshot, all committed entries have been applied to the state machine.

use crate::StateMachine;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::storage::{GetEntriesContext, MemStorage, RaftState, Storage};
use std::cell::RefCell;
use std::rc::Rc;

/// The Raft log and the state machine of one member of a group.
pub(crate) struct GroupStorage<M> {
    log: MemStorage,
    pub(crate) machine: Rc<RefCell<M>>,
}

/// The number of applied entries that the log retains for members that lag behind; the leader sends a snapshot to a
/// member that lags further. The log is compacted once it holds more than twice as many.
const RETAINED_ENTRIES: u64 = 256;

impl<M: StateMachine> GroupStorage<M> {
    /// Creates the storage of a member that has no log and no state yet: the leader sends it a snapshot.
    pub(crate) fn empty(machine: M) -> GroupStorage<M> {
        GroupStorage { log: MemStorage::new(), machine: Rc::new(RefCell::new(machine)) }
    }

    /// Creates the storage of the member that bootstraps a group. Its log starts after a snapshot, so that no other
    /// member can start from an empty log: all other members receive the membership and the state by a snapshot.
    pub(crate) fn bootstrapped(machine: M, members: Vec<u64>) -> raft::Result<GroupStorage<M>> {
        let storage = GroupStorage::empty(machine);
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.set_conf_state(ConfState::from((members, Vec::new())));
        storage.log.wl().apply_snapshot(snapshot)?;
        Ok(storage)
    }

    /// Returns the ids of the group's members.
    pub(crate) fn members(&self) -> Vec<u64> {
        self.log.initial_state().map(|state| state.conf_state.voters).unwrap_or_default()
    }

    /// Returns the member lists of the joint configuration, each of which must reach a quorum: two lists while a
    /// membership change is in progress, one otherwise.
    pub(crate) fn member_lists(&self) -> Vec<Vec<u64>> {
        let conf_state = self.log.initial_state().map(|state| state.conf_state).unwrap_or_default();
        [conf_state.voters, conf_state.voters_outgoing]
            .into_iter()
            .filter(|voters| !voters.is_empty())
            .collect()
    }

    /// Replaces the state and the log with a snapshot from the leader.
    pub(crate) fn install_snapshot(&self, snapshot: Snapshot) -> raft::Result<()> {
        if let Ok(machine) = postcard::from_bytes(&snapshot.data) {
            *self.machine.borrow_mut() = machine;
        }
        self.log.wl().apply_snapshot(snapshot)
    }

    /// Appends entries to the log.
    pub(crate) fn append(&self, entries: &[Entry]) -> raft::Result<()> {
        self.log.wl().append(entries)
    }

    /// Stores the term, the vote and the commit index.
    pub(crate) fn set_hard_state(&self, hard_state: HardState) {
        self.log.wl().set_hardstate(hard_state);
    }

    /// Advances the commit index.
    pub(crate) fn set_commit(&self, index: u64) {
        self.log.wl().mut_hard_state().set_commit(index);
    }

    /// Stores the membership of the group.
    pub(crate) fn set_conf_state(&self, conf_state: ConfState) {
        self.log.wl().set_conf_state(conf_state);
    }

    /// Drops applied entries from the log, except for the last [`RETAINED_ENTRIES`]; `applied` is the applied index.
    pub(crate) fn compact(&self, applied: u64) -> raft::Result<()> {
        let first = self.log.first_index()?;
        if applied > first + 2 * RETAINED_ENTRIES {
            self.log.wl().compact(applied - RETAINED_ENTRIES)
        } else {
            Ok(())
        }
    }
}

impl<M: StateMachine> Storage for GroupStorage<M> {
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

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut snapshot = self.log.snapshot(request_index, to)?;
        let encoded_machine = postcard::to_allocvec(&*self.machine.borrow());
        snapshot.data = encoded_machine.map_err(|error| raft::Error::CodecError(codec_error(&error)))?.into();
        Ok(snapshot)
    }
}

fn codec_error(error: &postcard::Error) -> protobuf::ProtobufError {
    protobuf::ProtobufError::IoError(std::io::Error::other(error.to_string()))
}

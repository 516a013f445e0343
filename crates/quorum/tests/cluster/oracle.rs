//! Checks the invariants of the cluster: a term has one leader, a committed entry never changes, the states of
//! applications agree, and reads are never stale.

use std::collections::BTreeMap;

use grebeusher_quorum::{Blob, Committed, Group, Index, Payload, Replica, ReplicaId, Term};
use grebeusher_time::Instant;

use super::{MachineId, State};

#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// The leader of each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// The term and content of each committed command.
    committed: BTreeMap<Index, (Term, Blob)>,
    /// The term of each committed entry, with or without a command.
    terms: BTreeMap<Index, Term>,
    /// The index up to which the entries of each replica were checked since its start.
    checked: BTreeMap<ReplicaId, Index>,
    /// The state of the application at each index.
    states: BTreeMap<Index, State>,
    /// The group that the partition was bootstrapped with.
    bootstrap_group: Option<Group>,
    /// The newest committed group and its index.
    committed_group: Option<(Index, Group)>,
    /// The highest index that a leader has acknowledged to clients or that a read has returned.
    visible_index: Index,
    pub acknowledged: u64,
    pub reads: u64,
    /// The violations that were found while `collect_violations` is true.
    pub violations: Vec<String>,
    /// Whether violations are collected for a test that expects them, instead of failing the test.
    pub collect_violations: bool,
}

impl Oracle {
    fn report_violation(&mut self, what: String) {
        assert!(self.collect_violations, "{what}");
        self.violations.push(what);
    }

    pub fn observe(&mut self, replica: &Replica) {
        if self.bootstrap_group.is_none()
            && let Some(Payload::Group(group)) = replica.entry(Index(1)).map(|entry| entry.payload.clone())
        {
            self.bootstrap_group = Some(group);
        }
        self.check_entries(replica);
        let is_committed = replica.commit_index() >= replica.group_index();
        let is_newer = self.committed_group.as_ref().is_none_or(|(index, _)| *index < replica.group_index());
        if is_committed && is_newer && replica.group_index() > Index(0) {
            self.committed_group = Some((replica.group_index(), replica.group().clone()));
        }
        if !replica.is_leader() {
            return;
        }
        let leader = *self.leaders.entry(replica.term()).or_insert(replica.identity());
        if leader != replica.identity() {
            self.report_violation(format!(
                "{:?} has two leaders: {leader:?} and {:?}",
                replica.term(),
                replica.identity()
            ));
        }
    }

    /// Checks the entries that a replica takes for committed and that were not checked yet, and the last one again.
    fn check_entries(&mut self, replica: &Replica) {
        let (identity, commit) = (replica.identity(), replica.commit_index());
        let checked = self.checked.get(&identity).copied().unwrap_or_default();
        // The entries before those in memory are in a snapshot, whose state is checked.
        let mut index = checked.next().max(replica.snapshot_index().min(commit));
        while index <= commit {
            if let Some(term) = replica.entry(index).map(|entry| entry.term) {
                let known = *self.terms.entry(index).or_insert(term);
                if known != term {
                    self.report_violation(format!(
                        "the entry at {index:?} was committed with {known:?} and with {term:?}"
                    ));
                }
            }
            index = index.next();
        }
        self.checked.insert(identity, commit);
    }

    /// Prepares for a restart of a replica, which may have other entries on disk than it had in memory.
    pub fn reset_checked(&mut self, replica: ReplicaId) {
        self.checked.remove(&replica);
    }

    /// The newest committed group.
    pub fn committed_group(&self) -> Group {
        self.committed_group.as_ref().map_or_else(|| self.bootstrap_group(), |(_, group)| group.clone())
    }

    pub fn bootstrap_group(&self) -> Group {
        self.bootstrap_group.clone().expect("the partition was bootstrapped")
    }

    pub fn check_committed(&mut self, committed: &Committed, machine_id: MachineId) {
        let entry = (committed.term, committed.payload.clone());
        let known = self.committed.entry(committed.index).or_insert_with(|| entry.clone());
        if *known != entry {
            let what = format!("{machine_id:?} commits {committed:?}, but {known:?} was committed before");
            self.report_violation(what);
        }
    }

    pub fn check_state(&mut self, index: Index, state: State, machine_id: MachineId) {
        let known = *self.states.entry(index).or_insert(state);
        if known != state {
            self.report_violation(format!(
                "{machine_id:?} has {state:?} at {index:?}, others have {known:?}"
            ));
        }
    }

    pub fn acknowledge(&mut self, applied: Index, _now: Instant) {
        self.visible_index = self.visible_index.max(applied);
        self.acknowledged += 1;
    }

    pub fn check_read(&mut self, read_index: Index, machine_id: MachineId) {
        self.reads += 1;
        if read_index < self.visible_index {
            self.report_violation(format!(
                "stale read at {machine_id:?}: it returned {read_index:?} after {:?} was returned or acknowledged",
                self.visible_index
            ));
        }
        self.visible_index = self.visible_index.max(read_index);
    }

    pub fn last_committed(&self) -> Index {
        self.committed.keys().next_back().copied().unwrap_or_default()
    }

    pub fn commands(&self) -> usize {
        self.committed.len()
    }
}

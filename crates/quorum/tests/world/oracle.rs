//! What must hold whatever happens: one leader a term, a committed entry stays, states agree, reads are never stale.

use std::collections::BTreeMap;

use grebeusher_quorum::{Blob, Committed, Group, Index, Payload, Replica, ReplicaId, Term};
use grebeusher_time::Instant;

use super::{Site, State};

#[derive(Clone, Debug, Default)]
pub struct Oracle {
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<Index, (Term, Blob)>,
    /// The terms of all committed entries.
    terms: BTreeMap<Index, Term>,
    /// How far the entries of each replica were checked since its start.
    checked: BTreeMap<ReplicaId, Index>,
    states: BTreeMap<Index, State>,
    cluster_id: Option<Group>,
    decided: Option<(Index, Group)>,
    /// What a leader has acknowledged to clients, or a read has shown.
    shown: Index,
    pub acknowledged: u64,
    pub reads: u64,
    /// What went wrong, where a test wants to see that it does.
    pub violations: Vec<String>,
    /// Notes violations instead of failing at once.
    pub lenient: bool,
}

impl Oracle {
    fn report_violation(&mut self, what: String) {
        assert!(self.lenient, "{what}");
        self.violations.push(what);
    }

    pub fn see(&mut self, replica: &Replica) {
        if self.cluster_id.is_none()
            && let Some(Payload::Group(group)) = replica.entry(Index(1)).map(|entry| entry.payload.clone())
        {
            self.cluster_id = Some(group);
        }
        self.check_entries(replica);
        let is_decided = replica.commit_index() >= replica.group_index();
        let is_newer = self.decided.as_ref().is_none_or(|(index, _)| *index < replica.group_index());
        if is_decided && is_newer && replica.group_index() > Index(0) {
            self.decided = Some((replica.group_index(), replica.group().clone()));
        }
        if !replica.is_leader() {
            return;
        }
        let leader = *self.leaders.entry(replica.term()).or_insert(replica.identity());
        if leader != replica.identity() {
            self.report_violation(format!(
                "two leaders of {:?}: {leader:?} and {:?}",
                replica.term(),
                replica.identity()
            ));
        }
    }

    /// All that a replica takes for committed and no check has seen yet, and the end of it again.
    fn check_entries(&mut self, replica: &Replica) {
        let (identity, commit) = (replica.identity(), replica.commit_index());
        let checked = self.checked.get(&identity).copied().unwrap_or_default();
        // What lies before the entries in memory went into a snapshot, whose state is checked.
        let mut index = checked.next().max(replica.snapshot_index().min(commit));
        while index <= commit {
            if let Some(term) = replica.entry(index).map(|entry| entry.term) {
                let known = *self.terms.entry(index).or_insert(term);
                if known != term {
                    self.report_violation(format!("{index:?} was decided in {known:?} and in {term:?}"));
                }
            }
            index = index.next();
        }
        self.checked.insert(identity, commit);
    }

    /// A replica starts anew, and may have other entries on disk than it had.
    pub fn forget(&mut self, replica: ReplicaId) {
        self.checked.remove(&replica);
    }

    /// The newest group that is known to be committed.
    pub fn committed_group(&self) -> Group {
        self.decided.as_ref().map_or_else(|| self.bootstrap_group(), |(_, group)| group.clone())
    }

    pub fn bootstrap_group(&self) -> Group {
        self.cluster_id.clone().expect("the part was founded")
    }

    pub fn check_committed(&mut self, committed: &Committed, site: Site) {
        let timeout_now_sent = (committed.term, committed.payload.clone());
        let known = self.committed.entry(committed.index).or_insert_with(|| timeout_now_sent.clone());
        if *known != timeout_now_sent {
            let what = format!("{site:?} decides {committed:?}, but {known:?} was decided before");
            self.report_violation(what);
        }
    }

    pub fn check_state(&mut self, index: Index, state: State, site: Site) {
        let known = *self.states.entry(index).or_insert(state);
        if known != state {
            self.report_violation(format!("{site:?} has {state:?} at {index:?}, others {known:?}"));
        }
    }

    pub fn acknowledge(&mut self, applied: Index, _now: Instant) {
        self.shown = self.shown.max(applied);
        self.acknowledged += 1;
    }

    pub fn check_read(&mut self, shown: Index, site: Site) {
        self.reads += 1;
        if shown < self.shown {
            self.report_violation(format!(
                "stale read at {site:?}: {shown:?} after {:?} was shown",
                self.shown
            ));
        }
        self.shown = self.shown.max(shown);
    }

    pub fn last_committed(&self) -> Index {
        self.committed.keys().next_back().copied().unwrap_or_default()
    }

    pub fn commands(&self) -> usize {
        self.committed.len()
    }
}

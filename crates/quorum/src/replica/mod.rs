//! The Raft state machine of one replica. It has no I/O, no clock and no threads.
//!
//! Inputs are messages, time and proposals ([`Replica::receive`], [`Replica::tick`], [`Replica::propose`]); the output
//! is one [`Ready`](crate::Ready) batch at a time ([`Replica::take_ready`], [`Replica::synced`]).
//!
//! # Invariants
//!
//! - **Term.** `hard_state.term` never decreases. A vote belongs to its term: entering a newer term clears it.
//! - **One vote per term.** A vote or a new term is synced before any message that depends on it is sent. So a term has
//!   at most one leader, also across restarts.
//! - **Election restriction.** A vote goes only to a candidate whose last entry is at least as recent as the voter's
//!   own (compared by term, then index). A replica with an empty log never votes: its disk may have been wiped.
//! - **Leader completeness.** A leader never changes its own entries, and a follower never truncates below its commit
//!   index.
//! - **Commit.** An index is committed once a quorum has synced it and its entry is of the leader's own term; in a
//!   joint group a quorum is a majority of both lists of voters. The leader counts itself only up to `output.synced`.
//! - **Order of indexes.** `snapshot <= applied <= commit <= last` and `synced <= writing <= last`.
//! - **Lease.** The lease counts from the sending time of messages that a quorum has answered, on the leader's own
//!   clock, and is shorter than the time for which a voter that heard from that leader votes for no other one
//!   (`election_timeout_min`). A leader that has sent `TimeoutNow` has no lease for the rest of its term.
//! - **Group.** A new group is in force from the entry that carries it, committed or not. Only one change is in
//!   progress at a time.
//!
//! # Modules
//!
//! | concern | module |
//! | --- | --- |
//! | inputs: messages and time | `step` |
//! | elections, votes, terms | `election` |
//! | a follower's log and incoming snapshots | `follower` |
//! | a leader's followers, its commit index and lease | `leader` |
//! | entries, heartbeats and snapshots to followers | `replication` |
//! | change of the voters | `group_change` |
//! | transfer of leadership | `leadership_transfer` |
//! | commands and compaction | `proposal` |
//! | outgoing batches | `batch`, `output` |
//! | read-only accessors | `status`, `digest` |

mod batch;
mod digest;
mod election;
mod follower;
mod group_change;
mod leader;
mod leadership_transfer;
mod output;
mod proposal;
mod replication;
mod role;
mod status;
mod step;

use grebeusher_time::Instant;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::entry::{HardState, Payload, RestoredState};
use crate::error::BootstrapError;
use crate::group::Group;
use crate::ids::{Index, ReplicaId, Term};
use crate::raft_log::RaftLog;
use crate::ready::Restore;
use crate::timing::Timing;
use follower::IncomingSnapshot;
use output::PendingOutput;
use role::Role;

/// A replica of one partition. See the [crate] for the loop that drives it.
#[derive(Clone, Debug)]
pub struct Replica {
    identity: ReplicaId,
    timing: Timing,
    rng: Pcg64Mcg,
    /// The latest time that a caller has given; it never goes back.
    now: Instant,
    hard_state: HardState,
    log: RaftLog,
    commit: Index,
    /// The index up to which all entries have been given to the application.
    applied: Index,
    role: Role,
    /// When a message of a leader last arrived, or when this replica started: just before the start it may have
    /// answered a leader, whose lease depends on that answer.
    last_leader_contact: Instant,
    /// When the next election starts, unless this replica is the leader.
    election_deadline: Instant,
    incoming_snapshot: Option<IncomingSnapshot>,
    output: PendingOutput,
}

impl Replica {
    /// Starts a replica from what its disk holds.
    ///
    /// It grants no vote for `timing.election_timeout_min`, because it may have answered a leader just before it was
    /// stopped. `seed` drives the random part of its election timeouts.
    pub fn new(
        identity: ReplicaId,
        restored: RestoredState,
        timing: Timing,
        seed: u64,
        now: Instant,
    ) -> Replica {
        let hard_state = restored.hard_state;
        let log = RaftLog::restored(restored);
        let snapshot = log.snapshot_last().index;
        let last = log.last().index;
        let restore = log
            .snapshot()
            .map(|snapshot| Restore { index: snapshot.last.index, bytes: snapshot.bytes.clone() });
        let mut replica = Replica {
            identity,
            timing: timing.bounded(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            hard_state,
            commit: hard_state.commit.min(last).max(snapshot),
            applied: snapshot,
            log,
            role: Role::Follower { leader: None },
            last_leader_contact: now,
            election_deadline: now,
            incoming_snapshot: None,
            output: PendingOutput { restore, writing: last, synced: last, ..PendingOutput::default() },
        };
        replica.reset_election_timeout();
        replica
    }

    /// Starts a new partition with this group as the first entry of the log. Each replica of the group has to be given
    /// the same group.
    ///
    /// A replica never changes its cluster. Calling this again with the same group has no effect.
    ///
    /// # Errors
    ///
    /// When the replica belongs to another cluster already, or the group is not valid or does not contain it.
    pub fn bootstrap(&mut self, group: Group) -> Result<(), BootstrapError> {
        if group.is_joint() || !group.is_well_formed() || !group.contains(self.identity) {
            return Err(BootstrapError::Invalid);
        }
        let cluster_id = group.cluster_id();
        match self.hard_state.cluster_id {
            Some(own_id) if own_id != cluster_id => return Err(BootstrapError::AlreadyBootstrapped),
            // A loss of power may have left the cluster id on disk without the entry, which is then appended again.
            Some(_) if self.log.last().index > Index(0) => return Ok(()),
            _ => {}
        }
        self.advance_term(Term(1));
        self.hard_state.cluster_id = Some(cluster_id);
        self.output.hard_state_changed = true;
        self.append(Term(1), Payload::Group(group));
        self.reset_election_timeout();
        Ok(())
    }
}

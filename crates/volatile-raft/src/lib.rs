//! Raft among three or five voters without disks, over datagrams: a small replicated state that survives the loss of
//! any minority of the voters. The crate does no I/O and reads no clock. The consensus itself is
//! implemented by the crate `raft` (raft-rs).
//!
//! Each node that is a voter runs one [`Voter`] with a [`StateMachine`], and a [`Host`] that sends its datagrams. The
//! caller passes each received datagram to [`Voter::receive`] and calls [`Voter::tick`] at the time that
//! [`Voter::next_wake`] returns. Commands are proposed on the leader with [`Voter::propose`]; their outcomes are passed
//! to the leader's host. `grebeusher-node` divides budgets and maintenance permits with this crate; `grebeusher-quorum`
//! is the Raft implementation that persists its state on disk.
//!
//! # Invariants
//!
//! - **A restarted voter never votes under its former id.** Without a disk it has lost its votes, so each start is a new
//!   incarnation, whose id is the node id in raft-rs.
//! - **A group has exactly one member for each voter**, also for voters that were absent when it was bootstrapped, so
//!   that each quorum is a majority of all voters. The leader replaces the old incarnation of a voter with the new
//!   one through a joint membership change.
//! - **An incarnation never changes its group.** To leave a group, the voter starts a new incarnation.
//! - **Bootstrap.** When a majority of all voters has no state, the state is lost, and the first of these voters
//!   bootstraps a new group. Two groups never commit alternately: each needs a majority of the voters, and a voter
//!   belongs to one group at a time and never returns to an earlier one. Grants of the lost state may still be in use,
//!   so [`StateMachine::bootstrapped`] must assume that any grants may have been issued before.
//!
//! # Example
//!
//! ```
//! use grebeusher_dispatch::time::{Duration, Instant};
//! use grebeusher_volatile_raft::{GroupOrigin, Host, StateMachine, Voter};
//! use serde::{Deserialize, Serialize};
//!
//! #[derive(Clone, Serialize, Deserialize)]
//! struct Counter(u64);
//!
//! impl StateMachine for Counter {
//!     type Command = u64;
//!     type Outcome = u64;
//!     fn apply(&mut self, _: Duration, commands: Vec<u64>) -> Vec<u64> {
//!         self.0 += commands.iter().sum::<u64>();
//!         vec![self.0]
//!     }
//!     fn depends_on_time(&self) -> bool {
//!         false
//!     }
//!     fn bootstrapped(&mut self, _: Instant) {}
//! }
//!
//! #[derive(Default)]
//! struct Outcomes(Vec<u64>);
//!
//! impl Host<Counter> for Outcomes {
//!     fn send(&mut self, _: usize, _: &[u8]) {}
//!     fn applied(&mut self, outcome: u64) {
//!         self.0.push(outcome);
//!     }
//!     fn joined_group(&mut self, _: u64, _: GroupOrigin) {}
//!     fn leader_changed(&mut self, _: usize, _: u64) {}
//! }
//!
//! let start = Instant(1_000_000_000_000);
//! let mut voter = Voter::new(start, 0, 1, 7, Counter(0), Outcomes::default());
//! while !voter.is_leader() {
//!     let now = voter.next_wake();
//!     voter.tick(now);
//! }
//! let now = voter.next_wake() + Duration::from_millis(10);
//! voter.propose(now, 5).expect("it is the leader");
//! assert_eq!(voter.host().0, [5]);
//! ```

#![warn(missing_docs)]

mod datagram;
mod error;
mod fragments;
mod group;
mod incarnation;
mod peers;
mod storage;
mod voter;

pub use error::{ProposeError, ReceiveError};
use grebeusher_dispatch::time::{Duration, Instant};
use serde::Serialize;
use serde::de::DeserializeOwned;
pub use voter::{MAX_VOTERS, Voter};

/// The replicated state. It is deterministic: equal commands applied to equal states give equal states.
pub trait StateMachine: Clone + Serialize + DeserializeOwned {
    /// A change of the state.
    type Command: Serialize + DeserializeOwned;
    /// The result of applied commands, which the leader passes to its host.
    type Outcome;
    /// Applies a batch of committed commands, `elapsed` after the previous batch. `elapsed` is at most the time that
    /// has really passed since the previous batch was proposed.
    fn apply(&mut self, elapsed: Duration, commands: Vec<Self::Command>) -> Vec<Self::Outcome>;
    /// Whether the passing of time alone changes the state, so that the leader must also commit entries without
    /// commands.
    fn depends_on_time(&self) -> bool;
    /// Prepares the state that a new group starts with; `at` is the time by the clock of the voter that bootstraps the
    /// group. Numbers that the state assigns should start above any number that a lost group may have assigned.
    fn bootstrapped(&mut self, at: Instant);
}

/// How a voter became a member of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupOrigin {
    /// This voter bootstrapped the group.
    Bootstrapped,
    /// A leader added this voter to an existing group.
    Joined,
}

/// The functions that a voter calls in the program that runs it.
pub trait Host<M: StateMachine> {
    /// Sends a datagram to the voter with this index; the datagram may get lost.
    fn send(&mut self, voter: usize, datagram: &[u8]);
    /// Receives an outcome of applied commands. Only the leader's host is notified.
    fn applied(&mut self, outcome: M::Outcome);
    /// Notifies the host that this voter has become a member of the group with this id.
    fn joined_group(&mut self, group: u64, origin: GroupOrigin);
    /// Notifies the host that the voter with this index leads the group in this term.
    fn leader_changed(&mut self, voter: usize, term: u64);
}

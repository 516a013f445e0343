//! Raft among three or five voters without disks, over datagrams: a small replicated state that survives the loss of any
//! minority of the voters. No I/O and no clock. The consensus itself is the crate `raft` (raft-rs).
//!
//! Each node that is a voter runs one [`Voter`] with a [`StateMachine`], and a [`Host`] that sends its datagrams. The
//! caller passes on each datagram by [`Voter::receive`] and calls [`Voter::tick`] whenever [`Voter::next_wake`] says so.
//! Commands go to the leader, by [`Voter::propose`]; their outcomes come back through the leader's host. The node
//! (`grebeusher-node`) divides budgets and maintenance permits by it; `grebeusher-quorum` is the Raft with disks.
//!
//! # Invariants
//!
//! - **A restarted voter never votes under its former id.** Without a disk it has forgotten its votes, so each start is a
//!   new incarnation, and the id in `raft` is that of the incarnation.
//! - **A group has exactly one member for each voter**, also for voters that were absent when it was bootstrapped, so
//!   that each quorum is a majority of all voters. The leader replaces the old incarnation of a voter by the new one
//!   through a joint membership change.
//! - **An incarnation belongs to one group for good.** To leave a group, the voter starts a new incarnation.
//! - **Bootstrap.** When a majority of all voters has no state, the state is lost, and the first of these voters
//!   bootstraps a new group. Two groups never commit in turns: each needs a majority of the voters, and a voter belongs
//!   to one group at a time, to the later after the earlier. What the lost state has granted is still out, so a
//!   [`StateMachine`] must start as one whose past is unknown.
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
    /// What a command leads to.
    type Outcome;
    /// Applies committed commands, `elapsed` after the ones before. That is at most the time that really passed since
    /// the commands were proposed.
    fn apply(&mut self, elapsed: Duration, commands: Vec<Self::Command>) -> Vec<Self::Outcome>;
    /// Whether the passing of time alone changes the state, so that entries without commands are needed.
    fn depends_on_time(&self) -> bool;
    /// A group starts with this state, by the clock of the voter that bootstraps it. Numbers that the state gives out
    /// should start beyond any number of a group that was lost.
    fn bootstrapped(&mut self, at: Instant);
}

/// Whether a voter's group is a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupOrigin {
    /// This voter bootstrapped the group.
    Bootstrapped,
    /// A leader added this voter to an existing group.
    Joined,
}

/// What a voter needs of the program that runs it.
pub trait Host<M: StateMachine> {
    /// Sends a datagram to a voter, by its index; it may get lost.
    fn send(&mut self, voter: usize, datagram: &[u8]);
    /// The outcome of a command that was applied. Only the leader's host is notified.
    fn applied(&mut self, outcome: M::Outcome);
    /// This voter belongs to a group from now on.
    fn joined_group(&mut self, group: u64, origin: GroupOrigin);
    /// A voter, by its index, leads the group in this term.
    fn leader_changed(&mut self, voter: usize, term: u64);
}

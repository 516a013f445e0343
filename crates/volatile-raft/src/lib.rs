//! A small state that three or five keepers agree on, by `raft`, though any minority of them and whoever leads may be lost
//! at any time. No I/O and no clock.
//!
//! A caller makes one [`Keeper`] in each node that is one, with a [`Machine`] that says what a settled step does, and a
//! [`Host`] to act through; then it says `heard` for each datagram and `due` whenever `next_due` says so. What is to be
//! settled goes to whoever leads, by `propose`; what comes of it is told to the host there.
//!
//! **Keepers have no disk.** One that starts has forgotten what it voted for, so it never votes as the one that it was:
//! each start has a life of its own, which is its name in `raft`. A group has exactly one voter a keeper's place, also for
//! those that were not there as it was founded, so that what it settles always has a majority of all places. Whoever leads
//! puts the new life of a place in the stead of the old one, which is dead, by a change of membership that the majority of
//! old and of new must agree on. A life belongs to one group for good; to leave it, it ends and another begins.
//!
//! **Founding.** Where a majority of all keepers says that it has nothing, what there was is lost: the first of them founds
//! a new group. Two groups never settle in turns: for each a majority of places must live in it, and a place lives in one
//! at a time, the later after the earlier. What the lost state has let others do is still out, so a [`Machine`] must begin as one
//! whose earlier life is not known.

mod keeper;
mod pieces;
mod store;

use grebeusher_dispatch::time::{Duration, Instant};
pub use keeper::{Keeper, MAX_VOTERS};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What is agreed on: a state machine over steps. Equal steps from equal states give equal states.
pub trait Machine: Clone + Serialize + DeserializeOwned {
    type Step: Serialize + DeserializeOwned;
    type Outcome;
    /// These steps are settled, so long after the ones before: at most as long as it really is, from when a step was asked
    /// for on.
    fn settles(&mut self, passed: Duration, steps: Vec<Self::Step>) -> Vec<Self::Outcome>;
    /// Whether time alone moves it on.
    fn waits(&self) -> bool;
    /// A group begins with this state, by the clock of whoever founds it: what is numbered should go on beyond any number of a group
    /// that was lost.
    fn founded(&mut self, at: Instant);
}

/// What a keeper asks of whoever runs it.
pub trait Host<M: Machine> {
    /// To a keeper, by its place; it may get lost.
    fn send(&mut self, place: usize, datagram: &[u8]);
    /// What came of a step, told to whoever leads as it is settled.
    fn settled(&mut self, outcome: M::Outcome);
    /// A group that this one belongs to from now on, and whether it founds it.
    fn belongs(&mut self, group: u64, founds: bool);
    /// Who leads now, by its place, and in which term.
    fn leads(&mut self, place: usize, term: u64);
}

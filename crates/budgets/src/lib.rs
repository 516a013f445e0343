//! What the whole fleet may spend within any window of a stated length, divided among its nodes: never more than the whole,
//! whatever fails. No I/O and no clock.
//!
//! [`Division`] is what the keepers agree on: who holds how many units of which budget, and until when. It is a state machine
//! over entries; equal entries give equal states. [`Purse`] is one node's side of one budget: it says what may be spent now, and
//! what to ask the keepers for.
//!
//! Why the sum holds. A unit that is granted may be spent once in a window by its holder while the lease lasts. The holder
//! counts the lease from when it asked, and ends it early by [`DRIFT`]; the keepers count it from when the grant was settled,
//! which is later. A unit comes back by the holder's word that it spends it no more, by which it goes from when it says so, or as
//! the lease is over. As far as it may have been spent just before it rests until that has left the window, and counts as held. What
//! nodes may spend without asking, their floor, is taken off beforehand for as many nodes as there may ever be.

mod division;
mod purse;

pub use division::{Ask, Division, Entry, Grant, Holder, Key, Whole, Wholes};
pub use purse::{DRIFT, Purse, WAITS};

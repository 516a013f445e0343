//! Machines are taken out for work one after the other, in an order that the nodes settle among themselves, with nothing lost.
//! No I/O and no clock.
//!
//! [`Works`] is what the keepers agree on: the plan, how far each machine is, and what every node may still do. It is a state
//! machine over [`Step`]s; equal steps give equal states. [`Permission`] is one node's side: at which machines it may send
//! nothing, and what to ask the keepers for.
//!
//! **Why nothing is sent to a machine that is out.** A node sends by a permission with an end. It asks for a new one five times
//! as often as it ends, and gets with it the machines that are closed. A machine is closed by a decision with a number; it is
//! out once every life of every node has either said, by a permission of that number or a later one, that it sends nothing
//! there any more and has nothing in hand there, or had a permission that has run out, and as long again as a unit may run.
//! The node counts its permission from when it asked and ends it early by the drift of clocks; the keepers count it from
//! when it was settled, which is later. A node whose permission has run out keeps away from all machines that may have been
//! closed meanwhile. Which these are it knows: a machine is announced to all before it can be closed, and whoever has not
//! heard of the announcement holds it up, unless it has been without a permission for so long ([`LONG`]) that it keeps away
//! from all machines of the plan. One that has just started sends nowhere until it has its first permission.
//!
//! **A node's own machine** in a plan is sent to by clients alone, so only it has to say that it is through. From then on it sends to no
//! executor, and nothing waits for it, until it hears that it is not to go any more.

mod permission;
mod plan;
mod works;

pub use permission::Permission;
pub use plan::{Plan, WhenLost};
pub use works::{
    Ask, Command, Moved, Outcome, Permit, Phase, Seen, Shown, ShownMachine, Stage, Step, View, Works,
    ZoneSeen, node_name,
};

/// A node that was without a permission for so many of them keeps away from all machines of the plan, and holds nothing up any
/// more. A cut is over or a process back in a minute with permissions of ten seconds; longer ones are somebody's work.
pub const LONG: u64 = 6;

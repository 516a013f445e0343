//! Takes machines out for maintenance in an order that the nodes agree on, without losing work. Does no I/O
//! and reads no clock.
//!
//! [`MaintenanceState`] is the state that the voters replicate: the plan, the phase of each machine, and what each node
//! may still do. It is a state machine over [`Step`]s: equal steps give equal states. [`Permission`] is the
//! side of one node: which machines it may send nothing to, and what it requests of the voters.
//!
//! **Why nothing is sent to a machine that is out.** A node sends under a permission that expires. It
//! requests a new one five times per lease and receives the closed machines with it. A machine is closed by a
//! numbered decision. It is out once every process of every node has either reported, under a permission of
//! that decision or a later one, that it no longer sends there and has nothing in flight there, or had a
//! permission that expired at least as long ago as a unit of work may run. The node counts its permission
//! from the time of its request and ends it early by the clock drift; the voters count it from the commit,
//! which is later. A node whose permission has expired avoids all machines that may have been closed
//! meanwhile. It knows them: a machine is announced to all nodes before it can be closed, and a node that has
//! not acknowledged the announcement delays the closing, unless it has been without a permission for so long
//! ([`LONG_ABSENCE_LEASES`]) that it avoids all machines of the plan. A node that has just started sends nothing before its
//! first permission.
//!
//! **A node's own machine** in a plan receives requests from clients only, so only that node has to report
//! that it is drained. From then on it sends to no executor, and nothing waits for it, until it learns that
//! it may stay.

mod permission;
mod plan;
mod state;

pub use permission::Permission;
pub use plan::{Plan, WhenLost};
pub use state::{
    Command, ListView, MachineStatus, MachineView, MaintenanceState, Outcome, Permit, PermitRequest, Phase,
    PlanChange, PlanStatus, Stage, Step, ZoneView, node_name,
};

/// After this number of lease times without a permission a node avoids all machines of the plan and no longer
/// delays it. With leases of ten seconds, that is a minute: a partition is over or a process restarted by
/// then; longer outages need an operator.
pub const LONG_ABSENCE_LEASES: u64 = 6;

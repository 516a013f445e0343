//! Divides the budgets of a fleet among its nodes by leases. All nodes together never spend more of a budget in any window than
//! its limit, whatever fails. This crate does no I/O and reads no clock.
//!
//! [`Division`] is the state that the voters replicate: which node holds how many units of which budget, and until when. It is a
//! state machine over entries; equal entries give equal states. [`LocalQuota`] is one node's side of one budget: it says what may
//! be spent now, and what to request from the voters.
//!
//! Why the limit holds: a granted unit may be spent once in a window by its holder while the lease lasts. The holder counts the
//! lease from the time of its request, and ends it early by [`DRIFT`]; the voters count it from the commit of the grant, which is
//! later. A unit becomes free when the holder reports that it no longer spends it, which the holder obeys from the time of the
//! report, or when the lease expires. If it may have been spent recently, it counts as held until that has left the window. The
//! floors, which nodes may spend without a request, are subtracted beforehand for the largest number of nodes that may exist.

mod division;
mod local_quota;

pub use division::{BudgetKey, Division, Entry, FleetBudget, FleetBudgets, Grant, GrantRequest, Holder};
pub use local_quota::{DRIFT, GRANT_WAIT, LocalQuota};

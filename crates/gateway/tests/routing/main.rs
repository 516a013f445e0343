//! Routing on one node, a file for each concern.

mod accounting;
mod admission;
mod affinity;
mod batch_capacity;
mod ejection;
mod eligibility;
mod fixture;
mod lanes;
mod liveness;
mod weighted_pick;

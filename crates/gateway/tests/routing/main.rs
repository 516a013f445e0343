//! Tests of the gateway of one node.

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

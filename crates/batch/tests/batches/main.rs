//! Tests of batch jobs in in-memory partitions, with a module for each concern.

mod abandonment;
mod admission;
mod events;
mod fixture;
mod leader_change;
mod memory_sharing;
mod pages;
mod partition;
mod proposals;
mod random_faults;
mod replay;
mod retries;
mod routes;
mod running;
mod scheduling;
mod submission;

//! What must hold of batch jobs, told as stories over in-memory partitions.

mod admission;
mod events;
mod fixture;
mod leader_change;
mod memory_sharing;
mod pages;
mod partition;
mod random_faults;
mod replay;
mod running;
mod submission;

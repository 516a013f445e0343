//! What must hold of batch jobs, told as stories over in-memory partitions.

mod events;
mod leader_change;
mod pages;
mod partition;
mod quota;
mod replay;
mod running;
mod sample;
mod sharing;
mod storm;
mod submission;

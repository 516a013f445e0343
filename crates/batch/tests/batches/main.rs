//! What must hold of batch jobs, told as stories over in-memory parts.

mod events;
mod leader_change;
mod pages;
mod part;
mod quota;
mod replay;
mod running;
mod sample;
mod sharing;
mod storm;
mod submission;

//! The network protocols of the node: HTTP with clients and executors, the executor list from discovery, the Faktory
//! protocol, and datagrams between nodes.

pub mod call_backs;
pub mod checks;
pub mod clients;
pub mod console;
pub mod discovery;
pub mod executors;
pub mod faktory;
pub mod load;
pub mod one_shot;
pub mod peers;
pub mod siblings;
pub mod voter_group;

use grebeusher_transport::http::Limits;

/// The largest HTTP messages that the node reads, in bytes, and the most headers.
pub const LIMITS: Limits = Limits {
    // Twice what common servers accept; a head of the protocol takes some hundred bytes and a dozen lines.
    most_head: 16 * 1024,
    most_headers: 64,
    // The protocol's own limit.
    most_body: 64 * 1024,
};

//! What is spoken on the wire: HTTP, with clients and executors, and the list from discovery.

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

/// How large messages may be.
pub const LIMITS: Limits = Limits {
    // Twice what common servers bear; the protocol's heads take some hundred bytes and a dozen lines.
    most_head: 16 * 1024,
    most_headers: 64,
    // The protocol's own limit.
    most_body: 64 * 1024,
};

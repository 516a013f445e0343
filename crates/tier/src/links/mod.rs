//! Everything that travels between nodes: the links, the frames on them, and calls with their replies.
//!
//! [`peer_links`] keeps one link to each peer and decides when it is opened, flushed and given up; [`dispatch`] hands each frame
//! that came to the module it is for; [`calls`] keeps what was asked of peers until the reply or the time-out. [`messages`] is
//! the format on the wire. [`socket`] and [`connections`] are the byte level that links share with clients and executors.

pub mod calls;
pub mod connections;
pub mod dispatch;
pub mod link_progress;
pub mod messages;
pub mod peer_links;
pub mod socket;

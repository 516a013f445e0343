//! The communication between nodes: links, the frames on them, and calls with their replies.
//!
//! Three types own the state: the table in [`connections`] owns every socket, the links in [`peer_links`]
//! know which connection belongs to which peer and when a peer may be dialled again, and the pending calls in
//! [`calls`] wait for replies. They don't depend on each other: they get sockets, the time and the peers as
//! arguments and return what is to be done. Only [`dispatch`] connects them, in `impl Node`, and passes each
//! frame to the module that handles it. [`messages`] defines the wire format, so the order of its variants
//! must not change.

pub mod calls;
pub mod connections;
pub mod dispatch;
pub mod link_progress;
pub mod messages;
pub mod peer_links;
pub mod socket;

//! Everything that travels between nodes: the links, the frames on them, and calls with their replies.
//!
//! Three types own the state: [`connections`]' table has every socket, [`peer_links`]' links know which peer has which
//! connection and when to dial again, [`calls`]' pending calls wait for replies. None of them knows another: they take sockets,
//! clock and peers by argument and return what is to be done. [`dispatch`] alone joins them in `impl Node` and hands each
//! frame to the module it is for. [`messages`] is the format on the wire, and its order of variants must stay.

pub mod calls;
pub mod connections;
pub mod dispatch;
pub mod link_progress;
pub mod messages;
pub mod peer_links;
pub mod socket;

//! The connections of a node: what each is for, and how they are found, opened and closed.
//!
//! `ConnectionTable` owns every connection, the pool of idle ones to executors and the list of those with unread input.
//! It knows nothing of requests and links: what a connection carries is up to its [`Role`]. An index may be given to another
//! connection after a close, so whoever keeps an index over a call that may close it compares the serial number.

use crate::links::peer_links::{IncomingLink, OutgoingLink};
use crate::links::socket::Socket;
use crate::node::keys;
use crate::requests::server_connection::ServerConnection;
use crate::requests::upstream_connection::UpstreamConnection;
use crate::runtime::io::World;
use grebeusher_time::Instant;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::io;
use std::sync::Arc;

/// What a connection is for.
pub enum Role {
    /// Somebody calls this node over HTTP.
    Server(ServerConnection),
    /// This node calls an executor.
    Upstream(UpstreamConnection),
    /// A link that another node speaks on.
    Incoming(IncomingLink),
    /// A link that this node speaks on.
    Outgoing(OutgoingLink),
}

/// One connection.
pub struct Connection {
    /// Its socket.
    pub socket: Socket,
    /// What it is for.
    pub role: Role,
    pub(crate) serial: u64,
}

/// All connections of a node, by index.
pub(crate) struct ConnectionTable {
    entries: Slab<Connection>,
    /// Clients may not make the node hold more connections than this.
    max_connections: usize,
    last_serial: u64,
    /// Idle connections to executors, by the executor's instance id; the one that was used last stands last.
    idle_upstreams: FxHashMap<Arc<str>, Vec<usize>>,
    /// Connections whose next request was read while the one before it was answered.
    with_unread_input: Vec<usize>,
}

impl ConnectionTable {
    /// An empty table; clients may fill it up to `max_connections`.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            entries: Slab::new(),
            max_connections,
            last_serial: 0,
            idle_upstreams: FxHashMap::default(),
            with_unread_input: Vec::new(),
        }
    }

    /// Adds a connection that `open` makes under the poller's key that it is given, and returns its index.
    pub fn add(
        &mut self,
        world: &dyn World,
        open: impl FnOnce(&dyn World, usize) -> io::Result<Socket>,
        role: Role,
    ) -> io::Result<usize> {
        let serial = self.next_serial();
        let entry = self.entries.vacant_entry();
        let index = entry.key();
        let socket = open(world, keys::FIRST_CONNECTION + index)?;
        entry.insert(Connection { socket, role, serial });
        Ok(index)
    }

    /// Closes a connection. An outgoing link is closed by [`PeerLinks`](crate::links::peer_links::PeerLinks), which knows it
    /// by its address.
    pub fn close(&mut self, index: usize) {
        let Some(connection) = self.entries.try_remove(index) else { return };
        if let Role::Upstream(upstream) = connection.role
            && !upstream.is_busy()
        {
            self.forget_idle(upstream.instance(), index);
        }
    }

    fn forget_idle(&mut self, instance: &Arc<str>, index: usize) {
        if let Some(indices) = self.idle_upstreams.get_mut(instance) {
            indices.retain(|&other| other != index);
        }
    }

    /// Whether a client's further connection is to be refused.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_connections
    }

    /// The connection at an index.
    pub fn get(&self, index: usize) -> Option<&Connection> {
        self.entries.get(index)
    }

    /// All connections with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Connection)> {
        self.entries.iter()
    }

    /// The serial number of the connection at an index; 0 if there is none.
    pub fn serial(&self, index: usize) -> u64 {
        self.entries.get(index).map_or(0, |connection| connection.serial)
    }

    /// A number that nothing else of this process got.
    pub fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// The connection at an index, if it is of a client, an executor or an operator that calls this node.
    pub fn server_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut ServerConnection)> {
        match self.entries.get_mut(index)? {
            Connection { socket, role: Role::Server(server), .. } => Some((socket, server)),
            _ => None,
        }
    }

    /// The connection at an index, if it is a connection to an executor.
    pub fn upstream_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut UpstreamConnection)> {
        match self.entries.get_mut(index)? {
            Connection { socket, role: Role::Upstream(upstream), .. } => Some((socket, upstream)),
            _ => None,
        }
    }

    /// The connection at an index, if it is a link that a peer sends on.
    pub fn incoming_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut IncomingLink)> {
        match self.entries.get_mut(index)? {
            Connection { socket, role: Role::Incoming(incoming), .. } => Some((socket, incoming)),
            _ => None,
        }
    }

    /// The connection at an index, if it is a link that this node sends on.
    pub fn outgoing_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut OutgoingLink)> {
        match self.entries.get_mut(index)? {
            Connection { socket, role: Role::Outgoing(outgoing), .. } => Some((socket, outgoing)),
            _ => None,
        }
    }

    /// Stops reading from a connection, or resumes it.
    pub fn pause(&mut self, index: usize, paused: bool) {
        if let Some(connection) = self.entries.get_mut(index) {
            // One that can't be watched any more fails at its next use.
            let _ = connection.socket.pause(paused);
        }
    }

    /// Notes that the input of a connection holds a request that nobody has looked at.
    pub fn note_unread_input(&mut self, index: usize) {
        self.with_unread_input.push(index);
    }

    /// The connections that [`ConnectionTable::note_unread_input`] noted; the list is empty after it.
    pub fn take_unread_input(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.with_unread_input)
    }

    /// Puts a connection into the pool of its executor.
    pub fn put_idle(&mut self, instance: Arc<str>, index: usize) {
        self.idle_upstreams.entry(instance).or_default().push(index);
    }

    /// Takes a usable connection to an executor out of the pool. Those that are past their time are closed on the way.
    pub fn take_idle(&mut self, instance: &Arc<str>, now: Instant) -> Option<usize> {
        loop {
            let index = self.idle_upstreams.get_mut(instance)?.pop()?;
            let is_usable = self.upstream_mut(index).is_some_and(|(_, upstream)| upstream.is_usable(now));
            if is_usable {
                return Some(index);
            }
            self.close(index);
        }
    }

    /// Closes the idle connections to an executor.
    pub fn close_idle(&mut self, instance: &str) {
        let indices = self.idle_upstreams.remove(instance).unwrap_or_default();
        indices.into_iter().for_each(|index| self.close(index));
    }

    /// Closes the idle connections to executors that are past their time.
    pub fn close_expired_idle(&mut self, now: Instant) {
        let is_expired = |index: &usize| match self.get(*index).map(|connection| &connection.role) {
            Some(Role::Upstream(upstream)) => !upstream.is_usable(now),
            _ => false,
        };
        let expired: Vec<usize> =
            self.idle_upstreams.values().flatten().copied().filter(is_expired).collect();
        expired.into_iter().for_each(|index| self.close(index));
        self.idle_upstreams.retain(|_, indices| !indices.is_empty());
    }
}

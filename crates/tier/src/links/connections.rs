//! The table of a node's connections: their purposes, and how they are found, opened and closed.
//!
//! `ConnectionTable` owns every connection, the pool of idle connections to executors and the list of
//! connections with unread input. It does not depend on requests and links: the [`Role`] of a connection says
//! what it carries. The index of a closed connection may be reused, so code that keeps an index across a call
//! that may close the connection must compare the serial number.

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

/// The purpose of a connection.
pub enum Role {
    /// An HTTP connection from a client, an executor or an operator that calls this node.
    Server(ServerConnection),
    /// An HTTP connection on which this node calls an executor.
    Upstream(UpstreamConnection),
    /// A link on which another node sends frames to this one.
    Incoming(IncomingLink),
    /// A link on which this node sends frames to another one.
    Outgoing(OutgoingLink),
}

/// A connection of the node.
pub struct Connection {
    /// The socket of the connection.
    pub socket: Socket,
    /// The purpose of the connection.
    pub role: Role,
    /// The number of this connection, which no other connection of the process has had.
    pub(crate) serial: u64,
}

/// All connections of a node, by index.
pub(crate) struct ConnectionTable {
    entries: Slab<Connection>,
    /// Further connections of clients are refused while the node has this many connections.
    max_connections: usize,
    last_serial: u64,
    /// The indices of idle connections to executors, by the executor's instance id; the most recently used
    /// one is the last.
    idle_upstreams: FxHashMap<Arc<str>, Vec<usize>>,
    /// The indices of connections whose next request was read while the previous one was still being
    /// answered.
    unread_input: Vec<usize>,
}

impl ConnectionTable {
    /// Creates an empty table. Further connections of clients are refused once it holds `max_connections`.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            entries: Slab::new(),
            max_connections,
            last_serial: 0,
            idle_upstreams: FxHashMap::default(),
            unread_input: Vec::new(),
        }
    }

    /// Adds the connection that `open` opens, and returns its index. `open` gets the key under which the
    /// poller is to report the connection's events.
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

    /// Closes a connection. Outgoing links must be closed by
    /// [`PeerLinks`](crate::links::peer_links::PeerLinks), which also removes them from its own table.
    pub fn close(&mut self, index: usize) {
        let Some(connection) = self.entries.try_remove(index) else { return };
        if let Role::Upstream(upstream) = connection.role
            && !upstream.is_busy()
        {
            self.remove_idle(upstream.instance(), index);
        }
    }

    fn remove_idle(&mut self, instance: &Arc<str>, index: usize) {
        if let Some(indices) = self.idle_upstreams.get_mut(instance) {
            indices.retain(|&other| other != index);
        }
    }

    /// Whether a further connection of a client is to be refused.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_connections
    }

    /// The connection at an index.
    pub fn get(&self, index: usize) -> Option<&Connection> {
        self.entries.get(index)
    }

    /// Iterates over all connections with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Connection)> {
        self.entries.iter()
    }

    /// The serial number of the connection at an index; 0 if there is none.
    pub fn serial(&self, index: usize) -> u64 {
        self.entries.get(index).map_or(0, |connection| connection.serial)
    }

    /// Returns a number that it has not returned before in this process.
    pub fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// The connection at an index, if a client, an executor or an operator calls this node on it.
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

    /// Stops reading from a connection (`paused`), or resumes it.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        if let Some(connection) = self.entries.get_mut(index) {
            // If this fails, the connection can't be polled any more, and its next use fails too.
            let _ = connection.socket.set_paused(paused);
        }
    }

    /// Notes that the input of a connection contains a request that is not processed yet.
    pub fn note_unread_input(&mut self, index: usize) {
        self.unread_input.push(index);
    }

    /// Removes and returns the indices that [`ConnectionTable::note_unread_input`] noted.
    pub fn take_unread_input(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.unread_input)
    }

    /// Adds an idle connection to the pool of its executor.
    pub fn put_idle(&mut self, instance: Arc<str>, index: usize) {
        self.idle_upstreams.entry(instance).or_default().push(index);
    }

    /// Takes a connection to an executor out of the pool that is usable for a call with this attempt id. Expired
    /// ones that it finds are closed.
    pub fn take_idle(&mut self, instance: &Arc<str>, attempt_id: &str, now: Instant) -> Option<usize> {
        let indices = self.idle_upstreams.get_mut(instance)?;
        for position in (0..indices.len()).rev() {
            match usable_upstream(&self.entries, indices[position], now) {
                Some(upstream) if upstream.can_carry(attempt_id) => return Some(indices.remove(position)),
                Some(_) => {}
                None => drop(self.entries.try_remove(indices.remove(position))),
            }
        }
        None
    }

    /// Closes the idle connections to an executor.
    pub fn close_idle(&mut self, instance: &str) {
        let indices = self.idle_upstreams.remove(instance).unwrap_or_default();
        indices.into_iter().for_each(|index| self.close(index));
    }

    /// Closes the idle connections to executors that have expired.
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

/// The connection to an executor at an index, unless it has expired.
fn usable_upstream(entries: &Slab<Connection>, index: usize, now: Instant) -> Option<&UpstreamConnection> {
    match &entries.get(index)?.role {
        Role::Upstream(upstream) => Some(upstream).filter(|upstream| upstream.is_usable(now)),
        _ => None,
    }
}

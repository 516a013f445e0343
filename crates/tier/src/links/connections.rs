//! The connections of a node: what each is for, and how they are found, opened and closed.

use crate::links::peer_links::{IncomingLink, OutgoingLink};
use crate::links::socket::Socket;
use crate::node::{Node, keys};
use crate::requests::server::ServerConnection;
use crate::requests::upstream::Upstream;
use crate::runtime::io::World;
use std::io;

/// What a connection is for.
pub enum Role {
    /// Somebody calls this node over HTTP.
    Server(ServerConnection),
    /// This node calls an executor.
    Upstream(Upstream),
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

impl Node {
    /// Adds a connection that `open` makes under the key that it is given. Its place.
    pub(crate) fn add_connection(
        &mut self,
        open: impl FnOnce(&dyn World, usize) -> io::Result<Socket>,
        role: Role,
    ) -> io::Result<usize> {
        let serial = self.next_serial();
        let entry = self.connections.vacant_entry();
        let index = entry.key();
        let socket = open(&*self.world, keys::FIRST_CONNECTION + index)?;
        entry.insert(Connection { socket, role, serial });
        Ok(index)
    }

    /// Closes a connection.
    pub(crate) fn close(&mut self, index: usize) {
        let Some(connection) = self.connections.try_remove(index) else { return };
        match connection.role {
            Role::Upstream(upstream) if !upstream.is_busy() => self.forget_idle(&upstream, index),
            Role::Outgoing(outgoing) => self.forget_link(&outgoing),
            _ => {}
        }
    }

    /// The serial number of the connection at a place; 0 if there is none.
    pub(crate) fn serial(&self, index: usize) -> u64 {
        self.connections.get(index).map_or(0, |connection| connection.serial)
    }

    pub(crate) fn next_serial(&mut self) -> u64 {
        self.serials += 1;
        self.serials
    }

    pub(crate) fn server_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut ServerConnection)> {
        match self.connections.get_mut(index)? {
            Connection { socket, role: Role::Server(server), .. } => Some((socket, server)),
            _ => None,
        }
    }

    pub(crate) fn upstream_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut Upstream)> {
        match self.connections.get_mut(index)? {
            Connection { socket, role: Role::Upstream(upstream), .. } => Some((socket, upstream)),
            _ => None,
        }
    }

    pub(crate) fn incoming_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut IncomingLink)> {
        match self.connections.get_mut(index)? {
            Connection { socket, role: Role::Incoming(incoming), .. } => Some((socket, incoming)),
            _ => None,
        }
    }

    pub(crate) fn outgoing_mut(&mut self, index: usize) -> Option<(&mut Socket, &mut OutgoingLink)> {
        match self.connections.get_mut(index)? {
            Connection { socket, role: Role::Outgoing(outgoing), .. } => Some((socket, outgoing)),
            _ => None,
        }
    }

    /// Holds reading of a connection back, or takes it up again.
    pub(crate) fn pause_connection(&mut self, index: usize, paused: bool) {
        if let Some(connection) = self.connections.get_mut(index) {
            // One that can't be watched any more fails at its next use.
            let _ = connection.socket.pause(paused);
        }
    }
}

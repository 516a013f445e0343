//! How connections come up.

use super::{Connection, Listening, MAX_OPENINGS, REOPEN_DELAY, Side, State};
use crate::hub::{End, Happening, Hub, Owner, Path};
use grebeusher_time::{Duration, DurationExt};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;

impl Hub {
    /// Listens at an address.
    ///
    /// # Errors
    /// Somebody else does.
    pub fn listen(&mut self, owner: Owner, address: SocketAddrV4, key: usize) -> io::Result<()> {
        let host = self.host_of(*address.ip()).ok_or(ErrorKind::AddrNotAvailable)?;
        if self.listeners.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        self.listeners.insert(address, Listening { owner, host, key, backlog: VecDeque::new() });
        Ok(())
    }

    /// Ends listening; those who wait are reset.
    pub fn unlisten(&mut self, address: SocketAddrV4) {
        if let Some(listening) = self.listeners.remove(&address) {
            for end in listening.backlog {
                self.close(end);
            }
        }
    }

    /// Takes in one that waits.
    pub fn accept(&mut self, address: SocketAddrV4) -> Option<End> {
        self.listeners.get_mut(&address)?.backlog.pop_front()
    }

    /// Begins to connect.
    pub fn dial(&mut self, owner: Owner, host: usize, to: SocketAddrV4, key: usize) -> End {
        let connection = self.next_connection;
        self.next_connection += 1;
        let dialler = Side::new(owner, host, key, State::Opening);
        let mut target = Side::new(owner, host, 0, State::Opening);
        target.open = false;
        self.connections.insert(connection, Connection { sides: [dialler, target], to, forgotten: false });
        let way = self.host_of(*to.ip()).map_or(Duration::from_millis(1), |target| self.way(host, target));
        self.schedule(self.local_now() + way, Happening::Opening { connection, attempt: 1 });
        End::new(connection, 0)
    }

    /// An opening packet arrives.
    pub fn opening(&mut self, connection: u64, attempt: u32) {
        let Some(found) = self.connections.get(&connection) else { return };
        let (to, from) = (found.to, found.sides[0].host);
        if !found.sides[0].open || found.sides[0].state != State::Opening {
            return;
        }
        let target = self.host_of(*to.ip()).filter(|host| self.hosts[*host].powered);
        let Some(target) = target else { return self.reopen(connection, attempt) };
        match (self.path(from, target), self.path(target, from)) {
            (Path::Open, Path::Open) => {}
            (Path::Resets, _) | (_, Path::Resets) => return self.answer_opening(connection, target, false),
            _ => return self.reopen(connection, attempt),
        }
        let Some(listening) = self.listeners.get_mut(&to) else {
            return self.answer_opening(connection, target, false);
        };
        let owner = listening.owner;
        listening.backlog.push_back(End::new(connection, 1));
        if let Some(found) = self.connections.get_mut(&connection) {
            found.sides[1] = Side::new(owner, target, 0, State::Up);
        }
        match owner {
            Owner::Process(process) => self.process_listener_ready(process, to),
            _ => self.notify(End::new(connection, 1)),
        }
        self.answer_opening(connection, target, true);
    }

    pub(super) fn reopen(&mut self, connection: u64, attempt: u32) {
        if attempt < MAX_OPENINGS {
            let after = REOPEN_DELAY.scaled(f64::from(1u32 << (attempt - 1)));
            self.schedule(self.now + after, Happening::Opening { connection, attempt: attempt + 1 });
        } else {
            self.break_side(connection, 0, ErrorKind::TimedOut);
        }
    }

    pub(super) fn answer_opening(&mut self, connection: u64, target: usize, accepted: bool) {
        let Some(found) = self.connections.get(&connection) else { return };
        let dialler = found.sides[0].host;
        let way = self.way(target, dialler);
        self.schedule(self.now + way, Happening::Opened { connection, accepted });
    }

    /// The answer to an opening packet arrives.
    pub fn opened(&mut self, connection: u64, accepted: bool) {
        let Some(found) = self.connections.get_mut(&connection) else { return };
        if found.sides[0].state != State::Opening {
            return;
        }
        if accepted {
            found.sides[0].state = State::Up;
            self.notify(End::new(connection, 0));
        } else {
            self.break_side(connection, 0, ErrorKind::ConnectionRefused);
        }
    }
}

//! Ends of connections, as those who hold them see them.

use super::{Packet, Received, State, WINDOW};
use crate::hub::{End, Happening, Hub, Owner};
use grebeusher_transport::poller::{Event, Interest};
use std::io::{self, ErrorKind};

impl Hub {
    /// Something can be done at an end, perhaps.
    pub(super) fn notify(&mut self, end: End) {
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let side = &mut found.sides[end.side()];
        if !side.open {
            return;
        }
        match side.owner {
            Owner::Process(process) => {
                if self.event_of(end).is_some() {
                    self.process_end_ready(process, end);
                }
            }
            _ if side.notified => {}
            _ => {
                side.notified = true;
                self.schedule(self.now, Happening::Socket { end });
            }
        }
    }

    /// The owner of an end, which hears now of what can be done there.
    pub fn told(&mut self, end: End) -> Option<Owner> {
        let side = &mut self.connections.get_mut(&end.connection())?.sides[end.side()];
        side.notified = false;
        side.open.then_some(side.owner)
    }

    /// What a process's poller says of an end.
    pub(crate) fn event_of(&self, end: End) -> Option<Event> {
        let found = self.connections.get(&end.connection())?;
        let (side, other) = (&found.sides[end.side()], &found.sides[1 - end.side()]);
        if !side.open || side.key == 0 {
            return None;
        }
        if matches!(side.state, State::Broken(_)) {
            let is_polled = side.interest != Interest::NONE;
            return is_polled.then_some(Event { key: side.key, readable: true, writable: true });
        }
        let readable = side.interest.readable && (side.unread() > 0 || side.ended);
        let room = side.state == State::Up && side.flying + other.unread() < WINDOW;
        let writable = side.interest.writable && room;
        (readable || writable).then_some(Event { key: side.key, readable, writable })
    }

    /// What a process waits for at an end, under which key.
    pub fn watch(&mut self, end: End, key: usize, interest: Interest) {
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let side = &mut found.sides[end.side()];
        side.key = key;
        side.interest = interest;
        if let Owner::Process(process) = side.owner
            && self.event_of(end).is_some()
        {
            self.process_end_ready(process, end);
        }
    }

    /// The key of an end.
    pub fn key_of(&self, end: End) -> usize {
        self.connections.get(&end.connection()).map_or(0, |found| found.sides[end.side()].key)
    }

    /// Whether a dialled connection has come up.
    ///
    /// # Errors
    /// Why it never will.
    pub fn connected(&self, end: End) -> io::Result<bool> {
        let found = self.connections.get(&end.connection()).ok_or(ErrorKind::NotConnected)?;
        match found.sides[end.side()].state {
            State::Opening => Ok(false),
            State::Up => Ok(true),
            State::Broken(kind) => Err(kind.into()),
        }
    }

    /// The host at the other side.
    pub fn peer_host(&self, end: End) -> Option<usize> {
        self.connections.get(&end.connection()).map(|found| found.sides[1 - end.side()].host)
    }

    /// Reads as a socket does.
    ///
    /// # Errors
    /// `WouldBlock`, or the connection is broken and nothing is left to read; later reads find the end of the stream.
    pub fn read(&mut self, end: End, bytes: &mut [u8]) -> io::Result<usize> {
        let found = self.connections.get_mut(&end.connection()).ok_or(ErrorKind::NotConnected)?;
        let side = &mut found.sides[end.side()];
        let count = side.unread().min(bytes.len());
        if count == 0 {
            return side.read_nothing();
        }
        bytes[..count].copy_from_slice(&side.inbox[side.read..side.read + count]);
        side.read += count;
        if side.read == side.inbox.len() {
            side.inbox.clear();
            side.read = 0;
        }
        self.notify(End::new(end.connection(), 1 - end.side()));
        Ok(count)
    }

    /// Reads all there is, for one that isn't a process.
    pub fn receive(&mut self, end: End) -> Received {
        let mut received = Received::default();
        let mut piece = [0; 16 * 1024];
        loop {
            match self.read(end, &mut piece) {
                Ok(0) => {
                    received.ended = true;
                    return received;
                }
                Ok(count) => received.bytes.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return received,
                Err(_) => {
                    received.broken = true;
                    return received;
                }
            }
        }
    }

    /// Writes as a socket does.
    ///
    /// # Errors
    /// `WouldBlock`, or the connection is broken; `BrokenPipe` if that was reported before.
    pub fn write(&mut self, end: End, bytes: &[u8]) -> io::Result<usize> {
        let found = self.connections.get_mut(&end.connection()).ok_or(ErrorKind::NotConnected)?;
        let other_unread = found.sides[1 - end.side()].unread();
        let side = &mut found.sides[end.side()];
        match side.state {
            State::Broken(_) => {
                return Err(side.unreported_failure.take().unwrap_or(ErrorKind::BrokenPipe).into());
            }
            State::Opening => return Err(ErrorKind::WouldBlock.into()),
            State::Up if side.fin_sent => return Err(ErrorKind::BrokenPipe.into()),
            State::Up => {}
        }
        let count = bytes.len().min(WINDOW.saturating_sub(side.flying + other_unread));
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        side.flying += count;
        self.send(end, Packet::Data(bytes[..count].to_vec()));
        Ok(count)
    }
}

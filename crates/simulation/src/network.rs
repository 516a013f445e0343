//! Connections: opening, packets in order with delay, small windows, ends and resets.

use crate::hub::{End, Happening, Hub, Owner, Path};
use grebeusher_time::{Moment, Span};
use grebeusher_transport::poller::{Event, Interest};
use rand::Rng;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;

/// What may be under way and unread in one direction, in bytes.
const WINDOW: usize = 96 * 1024;
/// Bytes that a link carries in a second.
const BYTES_PER_S: f64 = 60e6;
/// After this a packet that was lost is sent again.
const RESEND_AFTER: Span = Span::millis(200);
/// An opening packet is sent again after this, doubled each time.
const REOPEN_AFTER: Span = Span::millis(1000);
/// Opening packets that are sent in all.
const MOST_OPENINGS: u32 = 5;

/// An address that is listened at.
pub struct Listening {
    /// Whose it is.
    pub owner: Owner,
    /// Its host.
    pub host: usize,
    /// The key of its events, for processes.
    pub key: usize,
    /// Ends that wait to be taken in.
    pub backlog: VecDeque<End>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Up,
    Broken(ErrorKind),
}

enum Packet {
    Data(Vec<u8>),
    Fin,
    Reset,
}

struct Flying {
    sent: Moment,
    at: Moment,
    packet: Packet,
}

struct Side {
    owner: Owner,
    host: usize,
    key: usize,
    interest: Interest,
    /// Whether whoever has it still holds it.
    open: bool,
    state: State,
    inbox: Vec<u8>,
    read: usize,
    ended: bool,
    /// What it has sent that has not arrived.
    flight: VecDeque<Flying>,
    flying: usize,
    last_at: Moment,
    fin_sent: bool,
    notified: bool,
}

impl Side {
    fn new(owner: Owner, host: usize, key: usize, state: State) -> Side {
        Side {
            owner,
            host,
            key,
            interest: Interest::NONE,
            open: true,
            state,
            inbox: Vec::new(),
            read: 0,
            ended: false,
            flight: VecDeque::new(),
            flying: 0,
            last_at: Moment(0),
            fin_sent: false,
            notified: false,
        }
    }

    fn unread(&self) -> usize {
        self.inbox.len() - self.read
    }
}

/// A connection.
pub struct Connection {
    sides: [Side; 2],
    to: SocketAddrV4,
}

/// What a read of one that isn't a process finds.
#[derive(Debug, Default)]
pub struct Received {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The other side has ended.
    pub ended: bool,
    /// The connection is broken.
    pub broken: bool,
}

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
        self.connections.insert(connection, Connection { sides: [dialler, target], to });
        let way = self.host_of(*to.ip()).map_or(Span::millis(1), |target| self.way(host, target));
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

    fn reopen(&mut self, connection: u64, attempt: u32) {
        if attempt < MOST_OPENINGS {
            let after = REOPEN_AFTER * f64::from(1u32 << (attempt - 1));
            self.schedule(self.now + after, Happening::Opening { connection, attempt: attempt + 1 });
        } else {
            self.break_side(connection, 0, ErrorKind::TimedOut);
        }
    }

    fn answer_opening(&mut self, connection: u64, target: usize, accepted: bool) {
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

    fn break_side(&mut self, connection: u64, side: usize, kind: ErrorKind) {
        let Some(found) = self.connections.get_mut(&connection) else { return };
        let broken = &mut found.sides[side];
        broken.state = State::Broken(kind);
        broken.inbox.clear();
        broken.read = 0;
        broken.flight.clear();
        broken.flying = 0;
        self.notify(End::new(connection, side));
        self.forget_if_over(connection);
    }

    /// Packets of a side arrive.
    pub fn arrival(&mut self, connection: u64, side: usize) {
        loop {
            let Some(found) = self.connections.get(&connection) else { return };
            let Some(first) = found.sides[side].flight.front() else { return };
            if first.at > self.now {
                return;
            }
            let (from, to) = (found.sides[side].host, found.sides[1 - side].host);
            match self.path(from, to) {
                Path::Open if self.hosts[to].powered => {}
                Path::Resets => {
                    self.break_side(connection, 0, ErrorKind::ConnectionReset);
                    return self.break_side(connection, 1, ErrorKind::ConnectionReset);
                }
                _ => {
                    let again = self.now + RESEND_AFTER * self.random.random_range(0.5..1.5);
                    let Some(found) = self.connections.get_mut(&connection) else { return };
                    for flying in &mut found.sides[side].flight {
                        flying.at = flying.at.max(again);
                    }
                    found.sides[side].last_at = found.sides[side].last_at.max(again);
                    return self.schedule(again, Happening::Arrival { connection, side });
                }
            }
            self.take_packet(connection, side);
        }
    }

    fn take_packet(&mut self, connection: u64, side: usize) {
        let Some(found) = self.connections.get_mut(&connection) else { return };
        let Some(flying) = found.sides[side].flight.pop_front() else { return };
        let target = &mut found.sides[1 - side];
        match flying.packet {
            Packet::Data(bytes) => {
                if !target.open || matches!(target.state, State::Broken(_)) {
                    // Nobody is there any more: the answer is a reset.
                    return self.break_side(connection, side, ErrorKind::ConnectionReset);
                }
                target.inbox.extend_from_slice(&bytes);
                found.sides[side].flying -= bytes.len();
            }
            Packet::Fin => target.ended = true,
            Packet::Reset => return self.break_side(connection, 1 - side, ErrorKind::ConnectionReset),
        }
        self.notify(End::new(connection, 1 - side));
        self.forget_if_over(connection);
    }

    fn forget_if_over(&mut self, connection: u64) {
        let over = self.connections.get(&connection).is_some_and(|found| {
            found.sides.iter().all(|side| !side.open) && found.sides.iter().all(|side| side.flight.is_empty())
        });
        if over {
            self.connections.remove(&connection);
        }
    }

    /// Something can be done at an end, perhaps.
    fn notify(&mut self, end: End) {
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
        let broken = matches!(side.state, State::Broken(_));
        let readable = side.interest.readable && (side.unread() > 0 || side.ended || broken);
        let room = side.state == State::Up && side.flying + other.unread() < WINDOW;
        let writable = side.interest.writable && (room || broken);
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

    /// Reads as a socket does.
    ///
    /// # Errors
    /// `WouldBlock`, or the connection is broken.
    pub fn read(&mut self, end: End, bytes: &mut [u8]) -> io::Result<usize> {
        let found = self.connections.get_mut(&end.connection()).ok_or(ErrorKind::NotConnected)?;
        let side = &mut found.sides[end.side()];
        if let State::Broken(kind) = side.state {
            return Err(kind.into());
        }
        let count = side.unread().min(bytes.len());
        if count == 0 {
            return if side.ended { Ok(0) } else { Err(ErrorKind::WouldBlock.into()) };
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
    /// `WouldBlock`, or the connection is broken.
    pub fn write(&mut self, end: End, bytes: &[u8]) -> io::Result<usize> {
        let found = self.connections.get_mut(&end.connection()).ok_or(ErrorKind::NotConnected)?;
        let other_unread = found.sides[1 - end.side()].unread();
        let side = &mut found.sides[end.side()];
        match side.state {
            State::Broken(kind) => return Err(kind.into()),
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

    fn send(&mut self, end: End, packet: Packet) {
        let Some(found) = self.connections.get(&end.connection()) else { return };
        let (from, to) = (found.sides[end.side()].host, found.sides[1 - end.side()].host);
        let way = self.way(from, to);
        let sent = self.local_now();
        let length = if let Packet::Data(bytes) = &packet { bytes.len() } else { 0 };
        let transfer = Span::secs(length as f64 / BYTES_PER_S);
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let side = &mut found.sides[end.side()];
        let at = (sent + way).max(side.last_at) + transfer;
        side.last_at = at;
        side.flight.push_back(Flying { sent, at, packet });
        self.schedule(at, Happening::Arrival { connection: end.connection(), side: end.side() });
    }

    /// Says that nothing more will be written.
    pub fn end_writing(&mut self, end: End) {
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let side = &mut found.sides[end.side()];
        if side.state == State::Up && !side.fin_sent {
            side.fin_sent = true;
            self.send(end, Packet::Fin);
        }
    }

    /// Closes an end: with a reset if there are unread bytes.
    pub fn close(&mut self, end: End) {
        let Some(found) = self.connections.get_mut(&end.connection()) else { return };
        let taken = found.sides[1].open;
        let side = &mut found.sides[end.side()];
        if !side.open {
            return;
        }
        side.open = false;
        let unread = side.unread() > 0;
        match side.state {
            State::Up if unread => self.send(end, Packet::Reset),
            State::Up if !side.fin_sent => {
                side.fin_sent = true;
                self.send(end, Packet::Fin);
            }
            // Its opening packet may have been taken already.
            State::Opening if taken => self.send(end, Packet::Reset),
            _ => {}
        }
        self.forget_if_over(end.connection());
    }

    /// Breaks a connection at once, on both sides.
    pub fn reset(&mut self, end: End) {
        self.break_side(end.connection(), 1 - end.side(), ErrorKind::ConnectionReset);
        self.break_side(end.connection(), end.side(), ErrorKind::ConnectionReset);
    }

    /// The host at the other side.
    pub fn peer_host(&self, end: End) -> Option<usize> {
        self.connections.get(&end.connection()).map(|found| found.sides[1 - end.side()].host)
    }

    /// A life of a process is over now: what it would only have sent later is not sent. Without power nothing more is said;
    /// otherwise the kernel closes what it held.
    pub fn end_process(&mut self, process: usize, power_lost: bool) {
        self.processes[process].alive = false;
        let owner = Owner::Process(process);
        let now = self.now;
        let listening: Vec<SocketAddrV4> =
            self.listeners.iter().filter(|(_, l)| l.owner == owner).map(|(address, _)| *address).collect();
        let mut ends: Vec<End> = Vec::new();
        for (number, found) in &mut self.connections {
            for (side, state) in
                found.sides.iter_mut().enumerate().filter(|(_, s)| s.open && s.owner == owner)
            {
                let held_up = |flying: &Flying| power_lost && flying.at < now;
                state.flight.retain(|flying| flying.sent <= now && !held_up(flying));
                ends.push(End::new(*number, side));
            }
        }
        // Maps have no order of their own.
        ends.sort_unstable();
        for end in ends {
            if power_lost {
                if let Some(found) = self.connections.get_mut(&end.connection()) {
                    found.sides[end.side()].open = false;
                }
                self.forget_if_over(end.connection());
            } else {
                self.close(end);
            }
        }
        for address in listening {
            self.unlisten(address);
        }
    }
}

impl Hub {
    /// Resets all connections of a life of a process.
    pub fn reset_all(&mut self, process: usize) {
        let owner = Owner::Process(process);
        let mut ends: Vec<End> = Vec::new();
        for (number, found) in &self.connections {
            for (side, state) in found.sides.iter().enumerate() {
                if state.open && state.owner == owner {
                    ends.push(End::new(*number, side));
                }
            }
        }
        ends.sort_unstable();
        for end in ends {
            self.reset(end);
        }
    }
}

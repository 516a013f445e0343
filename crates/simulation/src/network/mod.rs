//! Connections: opening, packets in order with delay, small windows, ends and resets. They fail as on Linux: what arrived before
//! can still be read, and the failure is reported once, to the next write, or to the next read when nothing is left.

mod ends;
mod opening;
mod packets;
mod sockets;

use crate::hub::{End, Owner};
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::poller::Interest;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;

/// What may be under way and unread in one direction, in bytes.
const WINDOW: usize = 96 * 1024;
/// Bytes that a link carries in a second.
const BYTES_PER_S: f64 = 60e6;
/// After this a packet that was lost is sent again.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// An opening packet is sent again after this, doubled each time.
const REOPEN_DELAY: Duration = Duration::from_millis(1000);
/// Opening packets that are sent in all.
const MAX_OPENINGS: u32 = 5;

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
    sent: Instant,
    at: Instant,
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
    /// The failure of a broken connection, until a call has reported it.
    unreported_failure: Option<ErrorKind>,
    inbox: Vec<u8>,
    read: usize,
    ended: bool,
    /// What it has sent that has not arrived.
    flight: VecDeque<Flying>,
    flying: usize,
    last_at: Instant,
    fin_sent: bool,
    /// It breaks when what was sent has not arrived for so long.
    breaks_after: Option<Duration>,
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
            unreported_failure: None,
            inbox: Vec::new(),
            read: 0,
            ended: false,
            flight: VecDeque::new(),
            flying: 0,
            last_at: Instant(0),
            fin_sent: false,
            breaks_after: None,
            notified: false,
        }
    }

    /// Whether what it sent has not arrived for longer than it bears.
    fn is_overdue(&self, now: Instant) -> bool {
        let first = self.flight.front().map(|flying| flying.sent);
        self.breaks_after.zip(first).is_some_and(|(within, sent)| now > sent + within)
    }

    fn unread(&self) -> usize {
        self.inbox.len() - self.read
    }

    /// The connection has failed. One that the other side had ended before fails as a pipe whose reader is gone.
    fn fail(&mut self, kind: ErrorKind) {
        if matches!(self.state, State::Broken(_)) {
            return;
        }
        let is_reset_after_end = self.ended && kind == ErrorKind::ConnectionReset;
        self.state = State::Broken(kind);
        self.unreported_failure = Some(if is_reset_after_end { ErrorKind::BrokenPipe } else { kind });
        self.flight.clear();
        self.flying = 0;
    }

    /// The result of a read when nothing is left to read.
    fn read_nothing(&mut self) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        match (self.unreported_failure.take(), self.state) {
            (Some(kind), _) => Err(kind.into()),
            (None, State::Broken(_)) => Ok(0),
            (None, _) => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

/// A connection.
pub struct Connection {
    sides: [Side; 2],
    to: SocketAddrV4,
    /// Whether something on the way has forgotten it: nothing arrives any more.
    forgotten: bool,
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

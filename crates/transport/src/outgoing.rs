//! One outgoing link between nodes, without its socket: what waits to be sent, and when to dial, to give up and to dial
//! again.

use crate::link::{self, Hello, LinkError};
use grebeusher_time::{Duration, Instant};
use snafu::Snafu;
use std::collections::VecDeque;

/// What becomes of a message for which there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Newer ones make it worthless: the oldest of these give way.
    Lossy,
    /// It is refused, so that its sender can say so. It makes lossy ones give way.
    Reliable,
}

/// The bounds of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most that waits, in bytes with the framing.
    pub most_waiting: usize,
    /// A connection that has not come up after this long is given up.
    pub connect_within: Duration,
    /// A connection on which bytes wait and none was taken for this long is given up.
    pub stuck_after: Duration,
    /// From the end of a connection until the next is tried.
    pub redial_after: Duration,
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// There is no room among what may not be dropped.
    #[snafu(display("{waiting} bytes wait on the link"))]
    Full {
        /// Bytes that wait.
        waiting: usize,
    },
    /// It is larger than a frame may be.
    #[snafu(display("{source}"))]
    TooLarge {
        /// How large it is, and may be.
        source: LinkError,
    },
}

/// What whoever has the socket is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing now.
    None,
    /// Dial, and say how it went.
    Dial,
    /// Close the socket: it did not come up, or is stuck. The link has taken note.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No connection; the next may be tried from this moment on.
    Down { not_before: Instant },
    /// Dialled at a moment.
    Dialling { since: Instant },
    /// Bytes were taken last, or began to wait, at a moment.
    Up { moved: Instant },
}

struct Waiting {
    bytes: Vec<u8>,
    delivery: Delivery,
}

/// An outgoing link.
pub struct Outgoing {
    bounds: Bounds,
    hello: Hello,
    phase: Phase,
    /// The greeting of this connection as far as it is not sent yet.
    greeting: Vec<u8>,
    queue: VecDeque<Waiting>,
    /// Bytes in the queue, with those of its first frame that are gone.
    queued: usize,
    /// How much of the queue's first frame is gone.
    gone: usize,
}

impl Outgoing {
    /// A link that has nothing to say yet. `hello` is said first on each connection.
    pub fn new(bounds: Bounds, hello: Hello) -> Outgoing {
        let phase = Phase::Down { not_before: Instant(0) };
        let (greeting, queue) = (Vec::new(), VecDeque::new());
        Outgoing { bounds, hello, phase, greeting, queue, queued: 0, gone: 0 }
    }

    /// Takes a message to be sent. How many older ones were dropped for it.
    ///
    /// # Errors
    /// There is no room for it, or it is too large: it was not taken.
    pub fn push(
        &mut self,
        channel: u8,
        payload: &[u8],
        delivery: Delivery,
        now: Instant,
    ) -> Result<usize, SendError> {
        let mut bytes = Vec::new();
        link::append_frame(channel, payload, &mut bytes).map_err(|source| SendError::TooLarge { source })?;
        let full = self.queued + bytes.len() > self.bounds.most_waiting;
        if full && self.fixed() + bytes.len() > self.bounds.most_waiting {
            return Err(SendError::Full { waiting: self.waiting() });
        }
        if let Phase::Up { moved } = &mut self.phase
            && self.queue.is_empty()
            && self.greeting.is_empty()
        {
            *moved = now;
        }
        let dropped = self.make_room(bytes.len());
        self.queued += bytes.len();
        self.queue.push_back(Waiting { bytes, delivery });
        Ok(dropped)
    }

    /// How many bytes wait.
    pub fn waiting(&self) -> usize {
        self.greeting.len() + self.queued - self.gone
    }

    /// The next bytes to write on the connection; none while it is not up.
    pub fn next_bytes(&self) -> &[u8] {
        match (self.phase, self.queue.front()) {
            (Phase::Up { .. }, _) if !self.greeting.is_empty() => &self.greeting,
            (Phase::Up { .. }, Some(first)) => &first.bytes[self.gone..],
            _ => &[],
        }
    }

    /// So many of the next bytes were taken.
    pub fn written(&mut self, count: usize, now: Instant) {
        let count = count.min(self.next_bytes().len());
        let Phase::Up { moved } = &mut self.phase else { return };
        if count == 0 {
            return;
        }
        *moved = now;
        if !self.greeting.is_empty() {
            self.greeting.drain(..count);
            return;
        }
        self.gone += count;
        if let Some(first) = self.queue.front().filter(|first| first.bytes.len() == self.gone) {
            self.queued -= first.bytes.len();
            self.gone = 0;
            self.queue.pop_front();
        }
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: Instant) -> Action {
        match self.phase {
            Phase::Down { not_before } if now >= not_before && !self.queue.is_empty() => {
                self.phase = Phase::Dialling { since: now };
                Action::Dial
            }
            Phase::Dialling { .. } | Phase::Up { .. } if self.next_due().is_some_and(|due| now >= due) => {
                self.ended(now);
                Action::Close
            }
            _ => Action::None,
        }
    }

    /// When `poll` may have something to be done next, if nothing else happens.
    pub fn next_due(&self) -> Option<Instant> {
        let waits = self.waiting() > 0;
        match self.phase {
            Phase::Down { not_before } => (!self.queue.is_empty()).then_some(not_before),
            Phase::Dialling { since } => Some(since + self.bounds.connect_within),
            Phase::Up { moved } => waits.then(|| moved + self.bounds.stuck_after),
        }
    }

    /// The connection has come up.
    pub fn connected(&mut self, now: Instant) {
        if let Phase::Dialling { .. } = self.phase {
            self.phase = Phase::Up { moved: now };
            self.greeting = link::encode_hello(&self.hello);
        }
    }

    /// The connection has ended or never came up. A frame that was sent in part is sent whole on the next one; what the
    /// system had taken and not delivered is lost.
    pub fn ended(&mut self, now: Instant) {
        self.phase = Phase::Down { not_before: now + self.bounds.redial_after };
        self.greeting.clear();
        self.gone = 0;
    }

    /// Drops all messages, for a peer that is not spoken to any more; a frame that is sent in part stays.
    pub fn clear(&mut self) {
        self.queue.truncate(usize::from(self.gone > 0));
        self.queued = self.queue.iter().map(|waiting| waiting.bytes.len()).sum();
    }

    /// Bytes of what may not be dropped: of reliable messages, and of a frame that is sent in part.
    fn fixed(&self) -> usize {
        let fixed = |(at, waiting): &(usize, &Waiting)| !self.may_drop(*at, waiting);
        self.queue.iter().enumerate().filter(fixed).map(|(_, waiting)| waiting.bytes.len()).sum()
    }

    fn may_drop(&self, at: usize, waiting: &Waiting) -> bool {
        waiting.delivery == Delivery::Lossy && (at > 0 || self.gone == 0)
    }

    /// Drops the oldest that may be until so many bytes fit.
    fn make_room(&mut self, bytes: usize) -> usize {
        let mut dropped = 0;
        while self.queued + bytes > self.bounds.most_waiting {
            let oldest = self.queue.iter().enumerate().position(|(at, waiting)| self.may_drop(at, waiting));
            let Some(removed) = oldest.and_then(|at| self.queue.remove(at)) else { break };
            self.queued -= removed.bytes.len();
            dropped += 1;
        }
        dropped
    }
}

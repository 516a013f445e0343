//! Waits for sockets, level-triggered: what is not dealt with shows again, so that nothing is armed anew after an event.
//!
//! A source is handed over to its [`Registered`], which deletes it from the poller before it is closed. This is what
//! `polling` wants of its callers, and why `unsafe` is here and nowhere else in the tier.

use crate::signals::Signals;
use polling::{Event as RawEvent, Events, PollMode};
use socket2::Socket;
use std::cell::RefCell;
use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::ops::Deref;
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::rc::Rc;
use std::time::Duration;

/// What is waited for at a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Something can be read, someone wants to connect, or the other side has ended.
    pub readable: bool,
    /// Something can be written, or a dialled connection has come up or failed.
    pub writable: bool,
}

impl Interest {
    /// Nothing; not even a connection's end shows.
    pub const NONE: Interest = Interest { readable: false, writable: false };
    /// Only reading.
    pub const READABLE: Interest = Interest { readable: true, writable: false };
    /// Only writing.
    pub const WRITABLE: Interest = Interest { readable: false, writable: true };
    /// Both.
    pub const BOTH: Interest = Interest { readable: true, writable: true };

    fn with_key(self, key: usize) -> RawEvent {
        RawEvent::new(key, self.readable, self.writable)
    }
}

/// What happened at the source of a key. It may be that the source was let go since, or that the key has gone to another
/// one: after the first events of a batch were dealt with, the others are hints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The key under which the source was registered.
    pub key: usize,
    /// Reading will not block.
    pub readable: bool,
    /// Writing will not block.
    pub writable: bool,
}

/// What can be waited for: it owns one descriptor, the same one until it is dropped. Only types of which this is known
/// are so, as [`Registered`] relies on it.
pub trait Source: AsFd + AsRawFd + sealed::Sealed + 'static {}

mod sealed {
    pub trait Sealed {}
}

macro_rules! sources {
    ($($source:ty),+) => {
        $(impl sealed::Sealed for $source {}
        impl Source for $source {})+
    };
}

sources!(TcpListener, TcpStream, UdpSocket, UnixListener, UnixStream, Socket, Signals);

/// Waits for many sources at once, on one thread.
pub struct Poller {
    inner: polling::Poller,
    /// Kept between waits, so that none takes memory.
    events: RefCell<Events>,
}

impl Poller {
    /// # Errors
    /// The system has no descriptor or memory left.
    pub fn new() -> io::Result<Poller> {
        Ok(Poller { inner: polling::Poller::new()?, events: RefCell::new(Events::new()) })
    }

    /// Takes over a source and waits for what is of interest at it. `key` comes with its events; `usize::MAX` is refused.
    ///
    /// # Errors
    /// The system refuses; the source is closed then.
    pub fn register<S: Source>(
        self: &Rc<Poller>,
        source: S,
        key: usize,
        interest: Interest,
    ) -> io::Result<Registered<S>> {
        let mut registered =
            Registered { poller: self.clone(), source, key, interest: Interest::NONE, watched: false };
        registered.set_interest(interest)?;
        Ok(registered)
    }

    /// Waits for events, at most for the time-out (without one for ever), and puts them in the place of what `events`
    /// holds. A signal's handler doesn't end the wait.
    ///
    /// # Errors
    /// The system refuses to wait, which no later call would mend.
    pub fn wait(&self, timeout: Option<Duration>, events: &mut Vec<Event>) -> io::Result<()> {
        events.clear();
        let mut raw = self.events.borrow_mut();
        raw.clear();
        self.inner.wait(&mut raw, timeout)?;
        events.extend(raw.iter().map(|event| Event {
            key: event.key,
            readable: event.readable,
            writable: event.writable,
        }));
        Ok(())
    }

    #[allow(unsafe_code)]
    fn add<S: Source>(&self, source: &S, event: RawEvent) -> io::Result<()> {
        // SAFETY: a source that was added must be deleted before its descriptor is closed. The only caller is
        // `Registered::set_interest`, on the source that the `Registered` owns: it never gives it out but by shared
        // reference, through which no `Source` can close or change its descriptor, and deletes it on drop, before the
        // source itself is dropped. One that is forgotten instead is never closed.
        unsafe { self.inner.add_with_mode(source, event, PollMode::Level) }
    }
}

/// A source under a poller. Dropped, it is deleted from the poller and then closed.
pub struct Registered<S: Source> {
    poller: Rc<Poller>,
    source: S,
    key: usize,
    interest: Interest,
    /// Whether the poller has it. Without any interest it doesn't: a connection that has ended would show at every wait.
    watched: bool,
}

impl<S: Source> Registered<S> {
    /// The source.
    pub fn get(&self) -> &S {
        &self.source
    }

    /// The key that comes with its events.
    pub fn key(&self) -> usize {
        self.key
    }

    /// What is waited for.
    pub fn interest(&self) -> Interest {
        self.interest
    }

    /// Waits for something else from now on. The system is only asked if that is a change.
    ///
    /// # Errors
    /// The system refuses; what is waited for is as before.
    pub fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        if interest == self.interest {
            return Ok(());
        }
        let event = interest.with_key(self.key);
        match (self.watched, interest) {
            (true, Interest::NONE) => {
                self.poller.inner.delete(&self.source)?;
                self.watched = false;
            }
            (true, _) => self.poller.inner.modify_with_mode(&self.source, event, PollMode::Level)?,
            (false, _) => {
                self.poller.add(&self.source, event)?;
                self.watched = true;
            }
        }
        self.interest = interest;
        Ok(())
    }
}

impl<S: Source> Deref for Registered<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.source
    }
}

impl<S: Source> Drop for Registered<S> {
    fn drop(&mut self) {
        if self.watched {
            // It can only fail if the poller doesn't have it, and then there is nothing to delete.
            let _ = self.poller.inner.delete(&self.source);
        }
    }
}

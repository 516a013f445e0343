//! The sockets of all stand-ins and clients, in one loop, with the links between. Each connection has a node at its other
//! end; what comes from there is stamped when it leaves the socket and given on when its link lets it pass.

use crate::link::{DRIP_INTERVAL, Link};
use grebeusher_dispatch::time::{DurationExt, Instant};
use polling::{Event, Poller};
use rand_pcg::Pcg32;
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

/// Connections that may wait to be taken in.
const QUEUE: i32 = 1024;
/// So many fill the queue of a door that is cut off: the system takes one more than it is told.
const FILLERS: usize = 2;
/// Keys of doors begin here, far above those of connections.
const DOORS: usize = 1 << 32;

/// Keys of relays of datagrams begin here.
const RELAYS: usize = 1 << 33;
/// A datagram is no longer than this.
const LONGEST: usize = 65_536;

/// A link of which nothing is ever wrong.
pub const CLEAR: usize = 0;

enum Piece {
    Bytes(Vec<u8>),
    End,
}

struct Conn<O> {
    owner: O,
    stream: TcpStream,
    link: usize,
    connecting: bool,
    /// From the node: when it was read and when it passes.
    coming: VecDeque<(Instant, Instant, Piece)>,
    /// To the node: when it passes.
    going: VecDeque<(Instant, Vec<u8>)>,
    /// What has passed and is not written, or not taken by the owner.
    out: Vec<u8>,
    came: Vec<u8>,
    /// When the last of what has come was read.
    stamp: Instant,
    bytes: u64,
    /// Nothing passes any more, and nobody says so.
    mute: bool,
    over: bool,
    dripped: Instant,
}

struct Door<O> {
    owner: O,
    address: SocketAddr,
    link: usize,
    /// `None` while it refuses.
    listener: Option<Socket>,
    /// Connections of our own that fill its queue, so that others get no answer.
    fillers: Vec<TcpStream>,
}

/// What happened to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    Came,
    Ended,
}

pub struct Wire<O> {
    poller: Poller,
    conns: Slab<Conn<O>>,
    doors: Slab<Door<O>>,
    pub links: Vec<Link>,
    /// When something is to be looked at again.
    looks: BTreeSet<(Instant, usize)>,
    chance: Pcg32,
    pub accepted: u64,
    relays: Vec<UdpSocket>,
    /// What came at a relay, and from where.
    pub datagrams: Vec<(usize, SocketAddr, Vec<u8>)>,
}

impl<O: Copy> Wire<O> {
    pub fn new(chance: Pcg32) -> io::Result<Wire<O>> {
        Ok(Wire {
            poller: Poller::new()?,
            conns: Slab::new(),
            doors: Slab::new(),
            links: vec![Link::default()],
            looks: BTreeSet::new(),
            chance,
            accepted: 0,
            relays: Vec::new(),
            datagrams: Vec::new(),
        })
    }

    pub fn link(&mut self) -> usize {
        self.links.push(Link::default());
        self.links.len() - 1
    }

    /// A relay of datagrams, by its place.
    pub fn relays(&mut self, address: SocketAddr) -> io::Result<usize> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        self.poller.add(&socket, Event::readable(RELAYS + self.relays.len()))?;
        self.relays.push(socket);
        Ok(self.relays.len() - 1)
    }

    /// Passes a datagram on from a relay's address; who is not there does not get it.
    pub fn passes(&self, relay: usize, to: SocketAddr, datagram: &[u8]) {
        let _ = self.relays[relay].send_to(datagram, to);
    }

    fn reads_relay(&mut self, at: usize) -> io::Result<()> {
        let mut datagram = vec![0; LONGEST];
        loop {
            match self.relays[at].recv_from(&mut datagram) {
                Ok((length, from)) => self.datagrams.push((at, from, datagram[..length].to_vec())),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // What was passed on earlier met nobody.
                Err(_) => {}
            }
        }
        self.poller.modify(&self.relays[at], Event::readable(RELAYS + at))
    }

    /// A door that listens; who comes in has its owner and link.
    pub fn opens(&mut self, address: SocketAddr, owner: O, link: usize) -> io::Result<usize> {
        let door = self.doors.insert(Door { owner, address, link, listener: None, fillers: Vec::new() });
        self.listens(door)?;
        Ok(door)
    }

    /// From now on a door refuses, as that of a process that is gone.
    pub fn refuses(&mut self, door: usize) {
        let door = &mut self.doors[door];
        door.fillers.clear();
        if let Some(listener) = door.listener.take() {
            // Gone from the poller with its descriptor in any case.
            let _ = self.poller.delete(&listener);
        }
    }

    /// It takes in connections, again.
    pub fn listens(&mut self, at: usize) -> io::Result<()> {
        let door = &mut self.doors[at];
        if door.listener.is_some() {
            return Ok(());
        }
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", door.address));
        socket.bind(&door.address.into()).map_err(named)?;
        socket.listen(QUEUE)?;
        self.poller.add(&socket, Event::readable(DOORS + at))?;
        door.listener = Some(socket);
        let link = door.link;
        self.blocks(at, self.links[link].is_cut())
    }

    /// Has a door's queue full, so that nobody who comes gets an answer, or no more.
    fn blocks(&mut self, at: usize, blocked: bool) -> io::Result<()> {
        let door = &mut self.doors[at];
        let Some(listener) = &door.listener else { return Ok(()) };
        if blocked != door.fillers.is_empty() {
            return Ok(());
        }
        if blocked {
            listener.listen(0)?;
            for _ in 0..FILLERS {
                door.fillers.push(dial(door.address)?);
            }
            self.poller.modify(listener, Event::none(DOORS + at))
        } else {
            door.fillers.clear();
            listener.listen(QUEUE)?;
            self.poller.modify(listener, Event::readable(DOORS + at))
        }
    }

    /// What is wrong with a link has changed.
    pub fn link_changed(&mut self, link: usize, now: Instant) -> io::Result<()> {
        let cut = self.links[link].is_cut();
        let doors: Vec<usize> =
            self.doors.iter().filter(|(_, door)| door.link == link).map(|(at, _)| at).collect();
        doors.into_iter().try_for_each(|at| self.blocks(at, cut))?;
        let of_link = self.conns.iter().filter(|(_, conn)| conn.link == link);
        self.looks.extend(of_link.map(|(key, _)| (now, key)));
        Ok(())
    }

    /// Connections of a link that stand now fall silent for good.
    pub fn mutes(&mut self, link: usize) {
        self.conns.iter_mut().filter(|(_, c)| c.link == link).for_each(|(_, c)| c.mute = true);
    }

    /// A connection to a node's address; whether it comes up is told by its news.
    pub fn dials(&mut self, address: SocketAddr, owner: O, link: usize, now: Instant) -> io::Result<usize> {
        let stream = dial(address)?;
        self.takes(stream, owner, link, true, now)
    }

    fn takes(
        &mut self,
        stream: TcpStream,
        owner: O,
        link: usize,
        connecting: bool,
        now: Instant,
    ) -> io::Result<usize> {
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let interest = if connecting { Event::all(key) } else { Event::readable(key) };
        self.poller.add(&stream, interest)?;
        entry.insert(Conn {
            owner,
            stream,
            link,
            connecting,
            coming: VecDeque::new(),
            going: VecDeque::new(),
            out: Vec::new(),
            came: Vec::new(),
            stamp: now,
            bytes: 0,
            mute: false,
            over: false,
            dripped: now,
        });
        Ok(key)
    }

    pub fn owner(&self, key: usize) -> Option<O> {
        self.conns.get(key).map(|conn| conn.owner)
    }

    pub fn owned_by(&mut self, key: usize, owner: O) {
        self.conns[key].owner = owner;
    }

    /// What has come, to be taken off the front, and when the last of it was read.
    pub fn came(&mut self, key: usize) -> Option<(&mut Vec<u8>, Instant)> {
        self.conns.get_mut(key).map(|conn| (&mut conn.came, conn.stamp))
    }

    /// Says something as soon as the link lets it pass.
    pub fn says(&mut self, key: usize, bytes: Vec<u8>, now: Instant) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let due = self.links[conn.link].passes(now, &mut self.chance);
        // What was said before passes before.
        let due = conn.going.back().map_or(due, |(last, _)| due.max(*last));
        conn.going.push_back((due, bytes));
        self.looks.insert((now, key));
    }

    pub fn closes(&mut self, key: usize) {
        if let Some(conn) = self.conns.try_remove(key) {
            // Gone from the poller with its descriptor in any case.
            let _ = self.poller.delete(&conn.stream);
        }
    }

    /// Breaks a connection off, as the end of a process does.
    pub fn breaks(&mut self, key: usize) {
        if let Some(conn) = self.conns.get(key) {
            // Without it the other side sees an end in place of a reset, which is as good.
            let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
        }
        self.closes(key);
    }

    /// Connections whose owner fits.
    pub fn find(&self, fits: impl Fn(O) -> bool) -> Vec<usize> {
        self.conns.iter().filter(|(_, conn)| fits(conn.owner)).map(|(key, _)| key).collect()
    }

    pub fn open(&self) -> usize {
        self.conns.len()
    }

    /// Waits for something to happen, up to `until`, and tells what did.
    pub fn turns(&mut self, clock: impl Fn() -> Instant, until: Instant) -> io::Result<Vec<(usize, News)>> {
        let next = self.looks.first().map_or(until, |(when, _)| until.min(*when));
        let mut events = Vec::new();
        let wait = Duration::from_nanos(next.since(clock()).nanos());
        match self.poller.wait(&mut events, Some(wait)) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        // What has come bears the time after the wait. Guards against sends that seem earlier by as long as nothing came.
        let now = clock();
        let mut keys = BTreeSet::new();
        for event in events {
            if event.key >= RELAYS {
                self.reads_relay(event.key - RELAYS)?;
            } else if event.key >= DOORS {
                self.takes_in(event.key - DOORS, now)?;
            } else {
                keys.insert(event.key);
            }
        }
        while let Some(&(when, key)) = self.looks.first().filter(|(when, _)| *when <= now) {
            self.looks.remove(&(when, key));
            keys.insert(key);
        }
        let mut news = Vec::new();
        for key in keys {
            if self.conns.contains(key) {
                news.extend(self.pumps(key, now).map(|what| (key, what)));
            }
        }
        Ok(news)
    }

    fn takes_in(&mut self, at: usize, now: Instant) -> io::Result<()> {
        loop {
            let Some(door) = self.doors.get(at) else { return Ok(()) };
            let Some(listener) = &door.listener else { return Ok(()) };
            let (owner, link) = (door.owner, door.link);
            match listener.accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(true)?;
                    socket.set_nodelay(true)?;
                    self.accepted += 1;
                    self.takes(TcpStream::from(socket), owner, link, false, now)?;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return self.poller.modify(listener, Event::readable(DOORS + at));
                }
                // One that was given up before it was taken in.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => return Err(io::Error::new(e.kind(), format!("no more connections: {e}"))),
            }
        }
    }

    /// Moves all that may be moved now.
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of event")]
    fn pumps(&mut self, key: usize, now: Instant) -> Option<News> {
        let conn = &mut self.conns[key];
        let link = &self.links[conn.link];
        let mut ended = false;
        if conn.connecting {
            match (conn.stream.take_error(), conn.stream.peer_addr()) {
                (Ok(None), Ok(_)) => conn.connecting = false,
                (Ok(None), Err(_)) => {
                    self.rearms(key);
                    return None;
                }
                _ => ended = true,
            }
        }
        let drips = link.drips();
        // What has dripped lately is enough for now.
        let dry = drips.is_some() && now.since(conn.dripped) < DRIP_INTERVAL;
        let mut look = None;
        if !conn.connecting && !ended {
            if !conn.mute {
                conn.reads(now, link, &mut self.chance);
            }
            let most = drips.unwrap_or(usize::MAX);
            let (mut came, mut went) = (0, 0);
            while !conn.over
                && !conn.mute
                && !dry
                && came < most
                && !link.holds_from_nodes()
                && conn.coming.front().is_some_and(|(_, due, _)| *due <= now)
            {
                let Some((stamp, _, piece)) = conn.coming.pop_front() else { break };
                match piece {
                    Piece::Bytes(mut bytes) => {
                        if bytes.len() > most - came {
                            let rest = bytes.split_off(most - came);
                            conn.coming.push_front((stamp, now, Piece::Bytes(rest)));
                        }
                        came += bytes.len();
                        conn.came.extend_from_slice(&bytes);
                        conn.stamp = stamp;
                    }
                    Piece::End => conn.over = true,
                }
            }
            while !conn.mute
                && !dry
                && went < most
                && !link.holds_to_nodes()
                && conn.going.front().is_some_and(|(due, _)| *due <= now)
            {
                let Some((_, mut bytes)) = conn.going.pop_front() else { break };
                if bytes.len() > most - went {
                    let rest = bytes.split_off(most - went);
                    conn.going.push_front((now, rest));
                }
                went += bytes.len();
                conn.out.extend_from_slice(&bytes);
            }
            if came + went > 0 && drips.is_some() {
                conn.dripped = now;
            }
            ended |= !conn.mute && conn.writes().is_err();
            if link.resets_after().is_some_and(|after| conn.bytes > after) {
                // As something on the way does: neither side says it, both hear it.
                let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
                ended = true;
            }
            let held =
                (!link.holds_from_nodes()).then(|| conn.coming.front().map(|(_, due, _)| *due)).flatten();
            let going = (!link.holds_to_nodes()).then(|| conn.going.front().map(|(due, _)| *due)).flatten();
            let again = if drips.is_some() { conn.dripped + DRIP_INTERVAL } else { now };
            let look_at = held.into_iter().chain(going).min().map(|due| due.max(again));
            look = look_at.filter(|_| !conn.mute);
        }
        ended |= conn.over;
        let news = match (ended, conn.came.is_empty()) {
            (true, _) => Some(News::Ended),
            (false, false) => Some(News::Came),
            (false, true) => None,
        };
        if !ended {
            self.looks.extend(look.map(|when| (when, key)));
            self.rearms(key);
        }
        news
    }

    fn rearms(&mut self, key: usize) {
        let conn = &self.conns[key];
        let writable = !conn.mute && (conn.connecting || !conn.out.is_empty());
        let readable = !conn.mute && !matches!(conn.coming.back(), Some((_, _, Piece::End)));
        // One that can't be watched falls silent, and its owner gives it up in time.
        let _ = self.poller.modify(&conn.stream, Event { key, readable, writable });
    }
}

impl<O> Conn<O> {
    fn reads(&mut self, now: Instant, link: &Link, chance: &mut Pcg32) {
        if matches!(self.coming.back(), Some((_, _, Piece::End))) {
            return;
        }
        let mut bytes = Vec::new();
        let mut chunk = [0; 16 * 1024];
        let over = loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => break true,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        let mut due = link.passes(now, chance);
        due = self.coming.back().map_or(due, |(_, last, _)| due.max(*last));
        if !bytes.is_empty() {
            self.bytes += bytes.len() as u64;
            self.coming.push_back((now, due, Piece::Bytes(bytes)));
        }
        if over {
            self.coming.push_back((now, due, Piece::End));
        }
    }

    fn writes(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.out.len() {
            match self.stream.write(&self.out[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.out.drain(..written);
        Ok(())
    }
}

/// A connection that is on its way up.
fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    const UNDER_WAY: i32 = 115; // EINPROGRESS
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(UNDER_WAY) && e.kind() != ErrorKind::WouldBlock => Err(e),
        _ => Ok(TcpStream::from(socket)),
    }
}

//! Links to the other nodes: one outgoing connection to each node that is spoken to, incoming ones from any.

use crate::links::connections::Role;
use crate::links::messages::Channel;
use crate::links::socket::{Reading, Socket};
use crate::node::Node;
use crate::runtime::io::Accepted;
use crate::runtime::timers::Timer;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::link::{self, Frame, FrameDecoder, Hello};
use std::net::SocketAddrV4;
use tracing::debug;

/// A link that has not come up by then is given up, with all that waits on it, and dialled anew at the next frame. A
/// packet that opens a connection and finds no machine is sent again only after a second, so that waiting longer than
/// a round trip takes gains nothing: after a loss of all power nodes that start a moment apart would not hear of each
/// other for that second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that a peer has not taken for this long show that it can't be reached: the link is begun anew.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A link that nothing was sent on for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(20_000);
/// The most that waits on a link (bytes): more is dropped, as all that is said is said again.
const MAX_WAITING: usize = 12 * 1024 * 1024;
/// After a link could not be made, the next is tried only after this.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);

/// An outgoing link.
pub struct OutgoingLink {
    address: SocketAddrV4,
    progress: LinkProgress,
    used: Instant,
}

/// Whether bytes move on a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkProgress {
    /// When bytes last moved, or nothing waited.
    moved: Instant,
    /// Bytes that had been written then.
    sent: u64,
}

impl LinkProgress {
    /// Of a link that begins now.
    pub fn new(now: Instant) -> LinkProgress {
        LinkProgress { moved: now, sent: 0 }
    }

    /// Something is put on the link while `waiting` bytes wait.
    pub fn put(&mut self, now: Instant, waiting: usize) {
        if waiting == 0 {
            self.moved = now;
        }
    }

    /// What went was written: `sent` bytes in the life of the link, and `waiting` bytes wait still. Goes by what was written,
    /// not by what waits: under load more is put on a link than goes out in a turn, and it is not stuck for that.
    pub fn flushed(&mut self, now: Instant, sent: u64, waiting: usize) {
        if sent > self.sent || waiting == 0 {
            self.moved = now;
        }
        self.sent = sent;
    }

    /// Whether bytes wait that nobody has taken any of for longer than `within`.
    pub fn is_stuck(&self, now: Instant, waiting: usize, within: Duration) -> bool {
        waiting > 0 && now.since(self.moved) > within
    }
}

/// An incoming link.
pub struct IncomingLink {
    decoder: FrameDecoder,
    peer: Option<SocketAddrV4>,
}

impl Node {
    /// Sends a frame to a node. It may be lost, as any on a network.
    pub fn send_frame(&mut self, to: SocketAddrV4, channel: Channel, payload: &[u8]) {
        if to == self.internal_address {
            self.receive_frame(to, channel, payload);
            return;
        }
        let Some(index) = self.link_to(to) else { return };
        let now = self.now;
        let Some((socket, outgoing)) = self.connections.outgoing_mut(index) else { return };
        outgoing.used = now;
        if socket.waiting() + payload.len() > MAX_WAITING {
            return;
        }
        outgoing.progress.put(now, socket.waiting());
        socket.put(&link::encode_frame(channel as u8, payload));
        self.traffic.sent(channel, payload);
        if !self.unflushed_links.contains(&index) {
            self.unflushed_links.push(index);
        }
    }

    /// Writes what this turn of the loop put on links.
    pub fn flush_links(&mut self) {
        for index in std::mem::take(&mut self.unflushed_links) {
            self.flush_link(index);
        }
    }

    fn flush_link(&mut self, index: usize) {
        let now = self.now;
        let Some((socket, outgoing)) = self.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            return;
        }
        if socket.flush().is_err() {
            return self.drop_link(index);
        }
        outgoing.progress.flushed(now, socket.sent(), socket.waiting());
    }

    fn link_to(&mut self, to: SocketAddrV4) -> Option<usize> {
        if let Some(&index) = self.links.get(&to) {
            return Some(index);
        }
        let now = self.now;
        if self.redial_after.get(&to).is_some_and(|&after| now < after) {
            return None;
        }
        let outgoing = OutgoingLink { address: to, progress: LinkProgress::new(now), used: now };
        let added =
            self.add_connection(|world, key| Socket::dial_link(world, to, key), Role::Outgoing(outgoing));
        match added {
            Ok(index) => {
                self.links.insert(to, index);
                let serial = self.serial(index);
                self.alarms.set(now + CONNECT_TIMEOUT, Timer::LinkExpires { connection: index, serial });
                let hello = link::encode_hello(&Hello::new(self.internal_address));
                if let Some((socket, _)) = self.connections.outgoing_mut(index) {
                    socket.put(&hello);
                }
                Some(index)
            }
            Err(_) => {
                self.redial_after.insert(to, now + RECONNECT_BACKOFF);
                None
            }
        }
    }

    /// A link that should have come up by now is given up. It was waited for long enough: the next frame dials anew.
    pub fn link_expired(&mut self, index: usize, serial: u64) {
        if self.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = self.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            self.close_link(index);
        }
    }

    /// Closes the link to a node: the next frame dials anew.
    pub(crate) fn close_link_to(&mut self, address: SocketAddrV4) {
        if let Some(&index) = self.links.get(&address) {
            self.close_link(index);
        }
    }

    fn drop_link(&mut self, index: usize) {
        let now = self.now;
        if let Some((_, outgoing)) = self.connections.outgoing_mut(index) {
            let address = outgoing.address;
            self.redial_after.insert(address, now + RECONNECT_BACKOFF);
        }
        self.close_link(index);
    }

    /// Something can be done on an outgoing link.
    pub fn outgoing_ready(&mut self, index: usize, readable: bool) {
        let Some((socket, outgoing)) = self.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            match socket.connected() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return self.drop_link(index),
            }
        }
        if readable {
            // The peer says nothing on this side: its end is all that can come.
            match socket.read() {
                Ok(Reading::Open { .. }) => drop(socket.take_input()),
                _ => {
                    let address = outgoing.address;
                    debug!("link to {address} ended");
                    return self.drop_link(index);
                }
            }
        }
        self.flush_link(index);
    }

    /// Closes links that are stuck, and those that nothing is said on.
    pub fn sweep_links(&mut self) {
        let now = self.now;
        let mut over = Vec::new();
        for &index in self.links.values() {
            let Some(connection) = self.connections.get(index) else { continue };
            let Role::Outgoing(outgoing) = &connection.role else { continue };
            let stuck = outgoing.progress.is_stuck(now, connection.socket.waiting(), STALL_TIMEOUT);
            if stuck || now.since(outgoing.used) > IDLE_TIMEOUT {
                over.push(index);
            }
        }
        over.into_iter().for_each(|index| self.drop_link(index));
        self.redial_after.retain(|_, after| now < *after);
    }

    fn close_link(&mut self, index: usize) {
        if let Some((_, outgoing)) = self.connections.outgoing_mut(index) {
            self.links.remove(&outgoing.address);
        }
        self.connections.close(index);
    }

    /// Takes in nodes that wait to connect.
    pub fn accept_links(&mut self) {
        for _ in 0..64 {
            let Some(listener) = &self.internal_listener else { return };
            match listener.accept() {
                Ok(arrival) => self.admit_link(arrival),
                Err(_) => return,
            }
        }
    }

    fn admit_link(&mut self, arrival: Box<dyn Accepted>) {
        let incoming = IncomingLink { decoder: FrameDecoder::default(), peer: None };
        let _ = self.add_connection(|_, key| Socket::accepted(arrival, key), Role::Incoming(incoming));
    }

    /// Frames have come.
    pub fn incoming_ready(&mut self, index: usize) {
        let serial = self.serial(index);
        let Some((socket, incoming)) = self.connections.incoming_mut(index) else { return };
        let reading = socket.read();
        let bytes = socket.take_input();
        incoming.decoder.feed(&bytes);
        while self.serial(index) == serial {
            let Some((_, incoming)) = self.connections.incoming_mut(index) else { return };
            match incoming.decoder.next_frame() {
                Ok(Some(frame)) => self.incoming_frame(index, frame),
                Ok(None) => break,
                Err(error) => {
                    debug!("a link is closed: {error}");
                    return self.close(index);
                }
            }
        }
        if self.serial(index) == serial && !matches!(reading, Ok(Reading::Open { .. })) {
            self.close(index);
        }
    }

    fn incoming_frame(&mut self, index: usize, frame: Frame) {
        let Some((_, incoming)) = self.connections.incoming_mut(index) else { return };
        let Some(peer) = incoming.peer else {
            match link::decode_hello(&frame) {
                Ok(hello) => incoming.peer = Some(hello.address),
                Err(error) => {
                    debug!("a link is closed: {error}");
                    self.close(index);
                }
            }
            return;
        };
        if let Some(channel) = Channel::from_byte(frame.channel) {
            self.traffic.received(channel, &frame.payload);
            self.receive_frame(peer, channel, &frame.payload);
        }
    }
}

//! Links to the peers: one outgoing connection to each node that this one sends to, incoming ones from any.
//!
//! `PeerLinks` owns which address has which link, which links have unwritten frames, and when a peer may be dialled again.
//! Its sockets stand in the `ConnectionTable` and its timers in the loop's alarms; both come in by `LinkContext`. It is the
//! only one that opens or closes links. What a frame means is up to [`dispatch`](crate::links::dispatch).

use crate::links::connections::{ConnectionTable, Role};
use crate::links::link_progress::LinkProgress;
use crate::links::messages::Channel;
use crate::links::socket::{Reading, Socket};
use crate::runtime::io::{AcceptedConnection, Listener, World};
use crate::runtime::timers::Timer;
use crate::runtime::traffic::Traffic;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::link::{self, Frame, FrameDecoder, Hello};
use rustc_hash::FxHashMap;
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
/// The most that waits on a link (bytes). More is dropped: whoever sends repeats what was not acknowledged.
const MAX_WAITING: usize = 12 * 1024 * 1024;
/// After a link could not be made, the next is tried only after this.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);

/// How many links one turn of the loop accepts.
const MAX_ACCEPTS: usize = 64;

/// An outgoing link.
pub struct OutgoingLink {
    address: SocketAddrV4,
    progress: LinkProgress,
    used: Instant,
}

/// An incoming link.
pub struct IncomingLink {
    decoder: FrameDecoder,
    /// The sender's address, once its hello has come.
    peer: Option<SocketAddrV4>,
}

/// A frame of a peer that is for this node.
pub(crate) struct ReceivedFrame {
    /// The address that the peer is known by.
    pub peer: SocketAddrV4,
    /// What the payload belongs to.
    pub channel: Channel,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// What the links use of the rest of the node.
pub(crate) struct LinkContext<'a> {
    /// The time of this turn of the loop.
    pub now: Instant,
    /// Dials.
    pub world: &'a dyn World,
    /// Holds the sockets.
    pub connections: &'a mut ConnectionTable,
    /// Takes the time-outs of connecting.
    pub alarms: &'a mut Alarms<Timer>,
    /// Counts the frames.
    pub traffic: &'a mut Traffic,
}

/// The links of a node.
pub(crate) struct PeerLinks {
    /// The address that the peers know this node by.
    own_address: SocketAddrV4,
    listener: Box<dyn Listener>,
    outgoing: FxHashMap<SocketAddrV4, usize>,
    unflushed: Vec<usize>,
    redial_after: FxHashMap<SocketAddrV4, Instant>,
}

impl PeerLinks {
    /// No links yet.
    pub fn new(own_address: SocketAddrV4, listener: Box<dyn Listener>) -> PeerLinks {
        PeerLinks {
            own_address,
            listener,
            outgoing: FxHashMap::default(),
            unflushed: Vec::new(),
            redial_after: FxHashMap::default(),
        }
    }

    /// The address that the peers know this node by.
    pub fn own_address(&self) -> SocketAddrV4 {
        self.own_address
    }

    /// Puts a frame on the link to a peer, which is dialled if there is none. The frame may be lost, as any on a network.
    pub fn send(
        &mut self,
        context: &mut LinkContext<'_>,
        to: SocketAddrV4,
        channel: Channel,
        payload: &[u8],
    ) {
        let Some(index) = self.link_to(context, to) else { return };
        let Some((socket, outgoing)) = context.connections.outgoing_mut(index) else { return };
        outgoing.used = context.now;
        if socket.waiting() + payload.len() > MAX_WAITING {
            return;
        }
        outgoing.progress.put(context.now, socket.waiting());
        socket.put(&link::encode_frame(channel as u8, payload));
        context.traffic.count_sent(channel, payload);
        if !self.unflushed.contains(&index) {
            self.unflushed.push(index);
        }
    }

    /// Writes what this turn of the loop put on links.
    pub fn flush(&mut self, context: &mut LinkContext<'_>) {
        for index in std::mem::take(&mut self.unflushed) {
            self.flush_link(context, index);
        }
    }

    fn flush_link(&mut self, context: &mut LinkContext<'_>, index: usize) {
        let Some((socket, outgoing)) = context.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            return;
        }
        if socket.flush().is_err() {
            return self.fail(context, index);
        }
        outgoing.progress.flushed(context.now, socket.sent(), socket.waiting());
    }

    /// The link to a peer; `None` while it may not be dialled again.
    fn link_to(&mut self, context: &mut LinkContext<'_>, to: SocketAddrV4) -> Option<usize> {
        if let Some(&index) = self.outgoing.get(&to) {
            return Some(index);
        }
        if self.redial_after.get(&to).is_some_and(|&after| context.now < after) {
            return None;
        }
        let Some(index) = self.dial(context, to) else {
            self.redial_after.insert(to, context.now + RECONNECT_BACKOFF);
            return None;
        };
        self.outgoing.insert(to, index);
        Some(index)
    }

    fn dial(&self, context: &mut LinkContext<'_>, to: SocketAddrV4) -> Option<usize> {
        let now = context.now;
        let outgoing = OutgoingLink { address: to, progress: LinkProgress::new(now), used: now };
        let dial = |world: &dyn World, key| Socket::dial_link(world, to, key);
        let index = context.connections.add(context.world, dial, Role::Outgoing(outgoing)).ok()?;
        let serial = context.connections.serial(index);
        context.alarms.set(now + CONNECT_TIMEOUT, Timer::LinkExpires { connection: index, serial });
        let (socket, _) = context.connections.outgoing_mut(index)?;
        socket.put(&link::encode_hello(&Hello::new(self.own_address)));
        Some(index)
    }

    /// Closes a link that should have come up by now. It was waited for long enough: the next frame dials anew.
    pub fn connect_expired(&mut self, connections: &mut ConnectionTable, index: usize, serial: u64) {
        if connections.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            self.close(connections, index);
        }
    }

    /// Closes the link to a peer: the next frame dials anew.
    pub fn close_link_to(&mut self, connections: &mut ConnectionTable, address: SocketAddrV4) {
        if let Some(&index) = self.outgoing.get(&address) {
            self.close(connections, index);
        }
    }

    fn close(&mut self, connections: &mut ConnectionTable, index: usize) {
        if let Some((_, outgoing)) = connections.outgoing_mut(index) {
            self.outgoing.remove(&outgoing.address);
        }
        connections.close(index);
    }

    /// Closes a link that failed; the peer is dialled again only after a pause.
    fn fail(&mut self, context: &mut LinkContext<'_>, index: usize) {
        if let Some((_, outgoing)) = context.connections.outgoing_mut(index) {
            self.redial_after.insert(outgoing.address, context.now + RECONNECT_BACKOFF);
        }
        self.close(context.connections, index);
    }

    /// Handles an event of an outgoing link.
    pub fn outgoing_ready(&mut self, context: &mut LinkContext<'_>, index: usize, readable: bool) {
        let Some((socket, outgoing)) = context.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            match socket.connected() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return self.fail(context, index),
            }
        }
        if readable {
            // The peer sends nothing on this side: its end is all that can come.
            match socket.read() {
                Ok(Reading::Open { .. }) => drop(socket.take_input()),
                _ => {
                    debug!(peer = %outgoing.address, "link ended");
                    return self.fail(context, index);
                }
            }
        }
        self.flush_link(context, index);
    }

    /// Closes links that are stuck, and those that nothing was sent on for long.
    pub fn sweep(&mut self, context: &mut LinkContext<'_>) {
        let is_over = |index: &usize| {
            let Some(connection) = context.connections.get(*index) else { return false };
            let Role::Outgoing(outgoing) = &connection.role else { return false };
            let waiting = connection.socket.waiting();
            outgoing.progress.is_stuck(context.now, waiting, STALL_TIMEOUT)
                || context.now.since(outgoing.used) > IDLE_TIMEOUT
        };
        let over: Vec<usize> = self.outgoing.values().copied().filter(is_over).collect();
        over.into_iter().for_each(|index| self.fail(context, index));
        self.redial_after.retain(|_, after| context.now < *after);
    }

    /// Accepts the links of peers that wait to connect.
    pub fn accept(&self, context: &mut LinkContext<'_>) {
        for _ in 0..MAX_ACCEPTS {
            match self.listener.accept() {
                Ok(arrival) => admit(context, arrival),
                Err(_) => return,
            }
        }
    }
}

fn admit(context: &mut LinkContext<'_>, arrival: Box<dyn AcceptedConnection>) {
    let incoming = IncomingLink { decoder: FrameDecoder::default(), peer: None };
    let open = |_: &dyn World, key| Socket::accepted(arrival, key);
    // A link that can't be watched is lost, and its peer dials anew.
    let _ = context.connections.add(context.world, open, Role::Incoming(incoming));
}

/// Reads what has come on an incoming link into its decoder.
///
/// # Errors
/// The peer has closed the link, or it failed: it is to be closed once its frames are taken.
pub(crate) fn read_incoming(connections: &mut ConnectionTable, index: usize) -> Result<(), LinkClosed> {
    let Some((socket, incoming)) = connections.incoming_mut(index) else { return Ok(()) };
    let reading = socket.read();
    incoming.decoder.feed(&socket.take_input());
    match reading {
        Ok(Reading::Open { .. }) => Ok(()),
        _ => Err(LinkClosed),
    }
}

/// The other side of a link is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkClosed;

/// The next complete frame of an incoming link. A link with an invalid frame is closed.
pub(crate) fn next_received(connections: &mut ConnectionTable, index: usize) -> Option<ReceivedFrame> {
    loop {
        let (_, incoming) = connections.incoming_mut(index)?;
        let received = match incoming.decoder.next_frame() {
            Ok(None) => return None,
            Ok(Some(frame)) => incoming.take_frame(frame),
            Err(error) => Err(error),
        };
        match received {
            Ok(Some(received)) => return Some(received),
            // A hello, or a frame of a channel that this version does not know.
            Ok(None) => {}
            Err(error) => {
                debug!(%error, "link with an invalid frame closed");
                connections.close(index);
                return None;
            }
        }
    }
}

impl IncomingLink {
    fn take_frame(&mut self, frame: Frame) -> Result<Option<ReceivedFrame>, link::LinkError> {
        let Some(peer) = self.peer else {
            self.peer = Some(link::decode_hello(&frame)?.address);
            return Ok(None);
        };
        let channel = Channel::from_byte(frame.channel);
        Ok(channel.map(|channel| ReceivedFrame { peer, channel, payload: frame.payload }))
    }
}

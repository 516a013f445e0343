//! Links to the other nodes (peers): one outgoing connection to each node that this one sends frames to, and
//! incoming connections from the nodes that send frames to this one.
//!
//! `PeerLinks` owns the table of outgoing links by address, the list of links with unwritten frames, and the
//! times at which peers may be dialled again. The sockets are in the `ConnectionTable` and the timers among
//! the event loop's alarms; `LinkContext` gives access to both. Only this module opens or closes links.
//! [`dispatch`](crate::links::dispatch) handles the frames.

use crate::links::connections::{ConnectionTable, Role};
use crate::links::link_progress::LinkProgress;
use crate::links::messages::Channel;
use crate::links::socket::{ReadOutcome, Socket};
use crate::runtime::io::{AcceptedConnection, Listener, World};
use crate::runtime::timers::Timer;
use crate::runtime::traffic::Traffic;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::link::{self, Frame, FrameDecoder, Hello};
use rustc_hash::FxHashMap;
use std::net::SocketAddrV4;
use tracing::debug;

/// A link that is not established after this time is closed together with the frames queued on it; the next
/// frame dials anew. The operating system repeats a lost SYN packet only after a second, so waiting longer
/// than a round trip gains nothing: after a power loss of all machines, nodes that start at slightly
/// different times would not reach each other for that second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// If none of the queued bytes could be sent for this long, the peer can't be reached: the link is closed,
/// and dialled anew at a later frame.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A link on which no frame was sent for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(20_000);
/// The most bytes that may be queued on a link. Further frames are dropped: their senders repeat what is not
/// acknowledged.
const MAX_QUEUED_BYTES: usize = 12 * 1024 * 1024;
/// After a link has failed, its peer is dialled again only after this time.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);

/// The most links that are accepted in one turn of the event loop.
const MAX_ACCEPTS: usize = 64;

/// A link on which this node sends frames.
pub struct OutgoingLink {
    /// The peer's address.
    address: SocketAddrV4,
    progress: LinkProgress,
    /// When a frame was last sent on the link, or the link was dialled.
    last_used: Instant,
}

/// A link on which a peer sends frames.
pub struct IncomingLink {
    decoder: FrameDecoder,
    /// The peer's address; `None` until its hello has arrived.
    peer: Option<SocketAddrV4>,
}

/// A frame that this node received from a peer.
pub(crate) struct ReceivedFrame {
    /// The address of the peer, as its hello gave it.
    pub peer: SocketAddrV4,
    /// The kind of message in the payload.
    pub channel: Channel,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// The parts of the node that the links use.
pub(crate) struct LinkContext<'a> {
    /// The time of this turn of the event loop.
    pub now: Instant,
    /// The operating system, which opens connections.
    pub world: &'a dyn World,
    /// The table that holds the sockets.
    pub connections: &'a mut ConnectionTable,
    /// The event loop's alarms, for the time-outs of connecting.
    pub alarms: &'a mut Alarms<Timer>,
    /// The counters of sent and received frames.
    pub traffic: &'a mut Traffic,
}

/// The links of a node.
pub(crate) struct PeerLinks {
    /// The address under which the peers know this node.
    own_address: SocketAddrV4,
    listener: Box<dyn Listener>,
    /// The connection index of the outgoing link to each peer, by the peer's address.
    outgoing: FxHashMap<SocketAddrV4, usize>,
    /// The connection indices of links on which frames were queued in this turn of the event loop.
    unflushed: Vec<usize>,
    /// The times before which peers may not be dialled again, by the peer's address.
    redial_after: FxHashMap<SocketAddrV4, Instant>,
}

impl PeerLinks {
    /// Creates the state without any links.
    pub fn new(own_address: SocketAddrV4, listener: Box<dyn Listener>) -> PeerLinks {
        PeerLinks {
            own_address,
            listener,
            outgoing: FxHashMap::default(),
            unflushed: Vec::new(),
            redial_after: FxHashMap::default(),
        }
    }

    /// The address under which the peers know this node.
    pub fn own_address(&self) -> SocketAddrV4 {
        self.own_address
    }

    /// Queues a frame on the link to a peer, and dials the peer if there is no link. Delivery is not
    /// guaranteed.
    pub fn send(
        &mut self,
        context: &mut LinkContext<'_>,
        to: SocketAddrV4,
        channel: Channel,
        payload: &[u8],
    ) {
        let Some(index) = self.link_to(context, to) else { return };
        let Some((socket, outgoing)) = context.connections.outgoing_mut(index) else { return };
        outgoing.last_used = context.now;
        if socket.unsent_bytes() + payload.len() > MAX_QUEUED_BYTES {
            return;
        }
        outgoing.progress.record_queued(context.now, socket.unsent_bytes());
        socket.append_output(&link::encode_frame(channel as u8, payload));
        context.traffic.count_sent(channel, payload);
        if !self.unflushed.contains(&index) {
            self.unflushed.push(index);
        }
    }

    /// Writes the frames that were queued in this turn of the event loop.
    pub fn flush(&mut self, context: &mut LinkContext<'_>) {
        for index in std::mem::take(&mut self.unflushed) {
            self.flush_link(context, index);
        }
    }

    /// Writes the queued frames of an established link.
    fn flush_link(&mut self, context: &mut LinkContext<'_>, index: usize) {
        let Some((socket, outgoing)) = context.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            return;
        }
        if socket.flush().is_err() {
            return self.close_failed(context, index);
        }
        outgoing.progress.record_flushed(context.now, socket.sent_bytes(), socket.unsent_bytes());
    }

    /// The connection index of the link to a peer, which is dialled if there is none; `None` if the peer may
    /// not be dialled yet or dialling fails.
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

    /// Dials a peer and queues the hello frame; returns the new link's connection index.
    fn dial(&self, context: &mut LinkContext<'_>, to: SocketAddrV4) -> Option<usize> {
        let now = context.now;
        let outgoing = OutgoingLink { address: to, progress: LinkProgress::new(now), last_used: now };
        let dial = |world: &dyn World, key| Socket::dial_link(world, to, key);
        let index = context.connections.add(context.world, dial, Role::Outgoing(outgoing)).ok()?;
        let serial = context.connections.serial(index);
        context.alarms.set(now + CONNECT_TIMEOUT, Timer::LinkExpires { connection: index, serial });
        let (socket, _) = context.connections.outgoing_mut(index)?;
        socket.append_output(&link::encode_hello(&Hello::new(self.own_address)));
        Some(index)
    }

    /// Closes a link that is not established after [`CONNECT_TIMEOUT`]. The next frame may dial anew at once,
    /// as the peer has had its time already.
    pub fn connect_expired(&mut self, connections: &mut ConnectionTable, index: usize, serial: u64) {
        if connections.serial(index) != serial {
            return;
        }
        let Some((socket, _)) = connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            self.close(connections, index);
        }
    }

    /// Closes the link to a peer. The next frame dials anew.
    pub fn close_link_to(&mut self, connections: &mut ConnectionTable, address: SocketAddrV4) {
        if let Some(&index) = self.outgoing.get(&address) {
            self.close(connections, index);
        }
    }

    /// Closes an outgoing link and removes it from the table.
    fn close(&mut self, connections: &mut ConnectionTable, index: usize) {
        if let Some((_, outgoing)) = connections.outgoing_mut(index) {
            self.outgoing.remove(&outgoing.address);
        }
        connections.close(index);
    }

    /// Closes a link that failed. The peer is dialled again only after [`RECONNECT_BACKOFF`].
    fn close_failed(&mut self, context: &mut LinkContext<'_>, index: usize) {
        if let Some((_, outgoing)) = context.connections.outgoing_mut(index) {
            self.redial_after.insert(outgoing.address, context.now + RECONNECT_BACKOFF);
        }
        self.close(context.connections, index);
    }

    /// Handles an event that the poller reports for an outgoing link.
    pub fn outgoing_ready(&mut self, context: &mut LinkContext<'_>, index: usize, readable: bool) {
        let Some((socket, outgoing)) = context.connections.outgoing_mut(index) else { return };
        if socket.is_connecting() {
            match socket.connected() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return self.close_failed(context, index),
            }
        }
        if readable {
            // The peer sends nothing on this connection, so the only thing to read is the end of the
            // connection.
            match socket.read() {
                Ok(ReadOutcome::Open { .. }) => drop(socket.take_input()),
                _ => {
                    debug!(peer = %outgoing.address, "link ended");
                    return self.close_failed(context, index);
                }
            }
        }
        self.flush_link(context, index);
    }

    /// Closes links that are stalled, and those on which no frame was sent for [`IDLE_TIMEOUT`].
    pub fn sweep(&mut self, context: &mut LinkContext<'_>) {
        let is_expired = |index: &usize| {
            let Some(connection) = context.connections.get(*index) else { return false };
            let Role::Outgoing(outgoing) = &connection.role else { return false };
            let queued_bytes = connection.socket.unsent_bytes();
            outgoing.progress.is_stalled(context.now, queued_bytes, STALL_TIMEOUT)
                || context.now.since(outgoing.last_used) > IDLE_TIMEOUT
        };
        let expired: Vec<usize> = self.outgoing.values().copied().filter(is_expired).collect();
        expired.into_iter().for_each(|index| self.close_failed(context, index));
        self.redial_after.retain(|_, after| context.now < *after);
    }

    /// Accepts the links of peers that are waiting to connect.
    pub fn accept(&self, context: &mut LinkContext<'_>) {
        for _ in 0..MAX_ACCEPTS {
            match self.listener.accept() {
                Ok(accepted) => add_incoming(context, accepted),
                Err(_) => return,
            }
        }
    }
}

/// Adds an accepted connection to the table as an incoming link.
fn add_incoming(context: &mut LinkContext<'_>, accepted: Box<dyn AcceptedConnection>) {
    let incoming = IncomingLink { decoder: FrameDecoder::default(), peer: None };
    let open = |_: &dyn World, key| Socket::accepted(accepted, key);
    // A link that can't be registered with the poller is closed, and its peer dials anew.
    let _ = context.connections.add(context.world, open, Role::Incoming(incoming));
}

/// Reads the bytes that have arrived on an incoming link into its decoder.
///
/// # Errors
/// The peer has closed the link, or it failed. The caller is to close it after handling the frames in the
/// decoder.
pub(crate) fn read_incoming(connections: &mut ConnectionTable, index: usize) -> Result<(), LinkClosed> {
    let Some((socket, incoming)) = connections.incoming_mut(index) else { return Ok(()) };
    let reading = socket.read();
    incoming.decoder.feed(&socket.take_input());
    match reading {
        Ok(ReadOutcome::Open { .. }) => Ok(()),
        _ => Err(LinkClosed),
    }
}

/// The error for an incoming link that its peer has closed or that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkClosed;

/// Takes the next complete frame of an incoming link from its decoder. A link with an invalid frame is
/// closed.
pub(crate) fn next_received(connections: &mut ConnectionTable, index: usize) -> Option<ReceivedFrame> {
    loop {
        let (_, incoming) = connections.incoming_mut(index)?;
        let received = match incoming.decoder.next_frame() {
            Ok(None) => return None,
            Ok(Some(frame)) => incoming.interpret_frame(frame),
            Err(error) => Err(error),
        };
        match received {
            Ok(Some(received)) => return Some(received),
            // The frame was a hello, or belongs to a channel that this version does not know.
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
    /// Interprets a frame: the first one of a link is the peer's hello, which gives `None`, as does an
    /// unknown channel.
    fn interpret_frame(&mut self, frame: Frame) -> Result<Option<ReceivedFrame>, link::LinkError> {
        let Some(peer) = self.peer else {
            self.peer = Some(link::decode_hello(&frame)?.address);
            return Ok(None);
        };
        let channel = Channel::from_byte(frame.channel);
        Ok(channel.map(|channel| ReceivedFrame { peer, channel, payload: frame.payload }))
    }
}

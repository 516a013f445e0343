//! The other processes of this node during an upgrade. While a new version runs beside the old one, executors and
//! limits see both as one node. Each process listens on a socket file in a shared folder; a new process connects to
//! those that it finds there. The processes exchange JSON objects, one to a line.

use crate::coordinator::Coordinator;
use crate::interfaces::{CallerId, SiblingProcesses};
use crate::state::clock::Clock;
use crate::state::connection::Connection;
use grebeusher_dispatch::time::{Duration, Instant};
use grebeusher_transport::alarms::Alarms;
use grebeusher_transport::buffer::Reading;
use polling::{Event, Poller};
use serde::{Deserialize, Serialize};
use slab::Slab;
use socket2::{Domain, SockAddr, Socket, Type};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{info, warn};

/// The descriptors that are reserved for sibling processes: the listener, and a few processes that stop while another
/// starts.
pub const DESCRIPTORS: usize = 1 + MAX_SIBLINGS;
const MAX_SIBLINGS: usize = 4;
/// A sibling identifies itself at once. A connection that stays silent for longer is closed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A sibling answers within a turn of its event loop. An executor whose callback waits longer is asked to send it
/// again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// After this many unanswered messages in a row the sibling is treated as gone.
const MAX_MISSED_ANSWERS: u32 = 5;
/// The longest line in bytes: the body of a callback fits with every byte of it escaped. A longer line is not a message
/// of a sibling.
const MAX_LINE: usize = 512 * 1024;

/// The messages between sibling processes.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// The first message in each direction: the name of the node that the sender is a process of.
    Node(String),
    /// A callback, as received, for a request that the sender does not have.
    CallBack { ask: u64, body: String },
    /// Whether the sender has that request, and has processed the callback.
    Taken { ask: u64, taken: bool },
    /// The sender was told to stop: the receiver sends to the executors in slow start from now on.
    Leaves,
}

struct Link {
    connection: Connection,
    serial: u64,
    /// The process was running before this one.
    is_older: bool,
    /// The process has identified itself as one of this node.
    is_identified: bool,
    is_stopping: bool,
    missed_answers: u32,
}

/// A callback that waits for answers of siblings, by their serial numbers.
struct PendingCallback {
    caller: CallerId,
    siblings: Vec<u64>,
}

#[derive(Default)]
struct Links {
    table: Slab<Link>,
    next_serial: u64,
    /// When links that have not identified themselves are closed, by serial number.
    handshake_timeouts: Alarms<u64>,
    pending: BTreeMap<u64, PendingCallback>,
    answer_timeouts: Alarms<u64>,
    next_ask: u64,
    /// Callbacks whose wait is over, with the answer: whether a sibling has processed it, or `None` if no sibling
    /// answered.
    resolved: Vec<(CallerId, Option<bool>)>,
}

pub struct Siblings {
    node: String,
    listener: Option<Socket>,
    path: PathBuf,
    poller: Rc<Poller>,
    clock: Clock,
    listener_key: usize,
    key: fn(usize) -> usize,
    links: RefCell<Links>,
}

impl Siblings {
    /// Connects to all processes of `node` that have a socket file in the folder, and listens on a socket file of its
    /// own. If it cannot listen, only later processes fail to find it.
    pub fn connect(
        node: &str,
        folder: &Path,
        (listener_key, key): (usize, fn(usize) -> usize),
        (poller, clock): (&Rc<Poller>, Clock),
    ) -> Siblings {
        let mut siblings = Siblings {
            node: node.to_owned(),
            listener: None,
            path: PathBuf::new(),
            poller: poller.clone(),
            clock,
            listener_key,
            key,
            links: RefCell::default(),
        };
        let file_safe_name: String =
            node.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        for number in 0..MAX_SIBLINGS {
            let path = folder.join(format!("grebeusher-{file_safe_name}-{number}.sock"));
            match connect_socket(&path) {
                Ok(socket) => siblings.add_link(socket, true),
                Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                    if siblings.listener.is_none() {
                        siblings.listen(path);
                    }
                }
                Err(e) => warn!("cannot connect to the sibling process at {}: {e}", path.display()),
            }
        }
        if siblings.listener.is_none() {
            warn!("not listening for sibling processes: later processes cannot find this one");
        }
        siblings
    }

    fn listen(&mut self, path: PathBuf) {
        // No process listens on this file: a killed process left it behind.
        let _ = std::fs::remove_file(&path);
        let listening = Socket::new(Domain::UNIX, Type::STREAM, None).and_then(|socket| {
            socket.set_nonblocking(true)?;
            socket.bind(&SockAddr::unix(&path)?)?;
            socket.listen(MAX_SIBLINGS as i32)?;
            self.poller.add(&socket, Event::readable(self.listener_key))?;
            Ok(socket)
        });
        match listening {
            Ok(listener) => (self.listener, self.path) = (Some(listener), path),
            Err(e) => warn!("cannot listen for sibling processes at {}: {e}", path.display()),
        }
    }

    /// Accepts connections of new processes.
    pub fn accept(&self) {
        let Some(listener) = &self.listener else { return };
        while let Ok((socket, _)) = listener.accept() {
            self.add_link(socket, false);
        }
        if let Err(e) = self.poller.modify(listener, Event::readable(self.listener_key)) {
            warn!("cannot watch the socket file {}: {e}", self.path.display());
        }
    }

    fn add_link(&self, socket: Socket, is_older: bool) {
        let mut links = self.links.borrow_mut();
        if links.table.len() >= MAX_SIBLINGS {
            return warn!("closed the connection of a sibling process beyond the limit of {MAX_SIBLINGS}");
        }
        let serial = links.next_serial;
        links.next_serial += 1;
        let key = (self.key)(links.table.vacant_key());
        match Connection::from_socket(socket, &self.poller, key) {
            Ok(mut connection) => {
                connection.set_max_unread(MAX_LINE);
                let link = Link {
                    connection,
                    serial,
                    is_older,
                    is_identified: false,
                    is_stopping: false,
                    missed_answers: 0,
                };
                let index = links.table.insert(link);
                links.handshake_timeouts.set(self.clock.now() + HANDSHAKE_TIMEOUT, serial);
                links.send(index, &Message::Node(self.node.clone()));
            }
            Err(e) => warn!("cannot watch the connection of a sibling process: {e}"),
        }
    }

    /// Whether another process of this node is connected.
    pub fn has_any(&self) -> bool {
        self.links.borrow().table.iter().any(|(_, link)| link.is_identified)
    }

    /// Whether a process that started later is connected.
    pub fn has_newer(&self) -> bool {
        self.links.borrow().table.iter().any(|(_, link)| link.is_identified && !link.is_older)
    }

    /// Whether a process that started earlier is connected and has not been told to stop.
    pub fn has_older(&self) -> bool {
        self.links.borrow().table.iter().any(|(_, link)| link.is_older && !link.is_stopping)
    }

    /// Tells the siblings that this process was told to stop.
    pub fn announce_stop(&self) {
        let mut links = self.links.borrow_mut();
        let indices: Vec<usize> = links.table.iter().map(|(index, _)| index).collect();
        indices.into_iter().for_each(|index| links.send(index, &Message::Leaves));
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        let links = self.links.borrow();
        if !links.resolved.is_empty() {
            return Some(Instant(0));
        }
        links.handshake_timeouts.next_at().into_iter().chain(links.answer_timeouts.next_at()).min()
    }

    /// Closes links that did not identify themselves, and gives up on unanswered callbacks. Guards against a silent
    /// sibling, which costs its bounded wait and nothing else.
    pub fn handle_timeouts(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        let mut links = self.links.borrow_mut();
        while let Some(serial) = links.handshake_timeouts.due(now) {
            if let Some(index) = links.index_of(serial).filter(|&index| !links.table[index].is_identified) {
                links.close(index, "it did not identify itself");
            }
        }
        while let Some(ask) = links.answer_timeouts.due(now) {
            let Some(waiting) = links.pending.remove(&ask) else { continue };
            links.resolved.push((waiting.caller, None));
            for index in
                waiting.siblings.into_iter().filter_map(|serial| links.index_of(serial)).collect::<Vec<_>>()
            {
                links.table[index].missed_answers += 1;
                if links.table[index].missed_answers >= MAX_MISSED_ANSWERS {
                    links.close(index, "it does not answer");
                }
            }
        }
        drop(links);
        self.report_resolved(coordinator);
    }

    fn report_resolved(&self, coordinator: &mut Coordinator) {
        let resolved = std::mem::take(&mut self.links.borrow_mut().resolved);
        resolved.into_iter().for_each(|(caller, taken)| coordinator.callback_forwarded(caller, taken));
    }

    /// Handles readiness of a link for reading or writing.
    pub fn handle_event(&self, index: usize, coordinator: &mut Coordinator) {
        let reading = match self.links.borrow_mut().table.get_mut(index) {
            Some(link) => link.connection.write().and_then(|()| link.connection.read()),
            None => return,
        };
        // The borrow has to end before the coordinator is called.
        while let Some(message) = { self.links.borrow_mut().next_message(index) } {
            self.message_received(index, message, coordinator);
        }
        {
            let mut links = self.links.borrow_mut();
            let is_overlong = |link: &Link| link.connection.buffer.unread().len() >= MAX_LINE;
            match reading {
                Ok(Reading::Open) if links.table.get(index).is_some_and(is_overlong) => {
                    links.close(index, "its line is too long");
                }
                Ok(Reading::Open) => {
                    if links.table.get(index).is_some_and(|link| link.connection.watch(false).is_err()) {
                        links.close(index, "the connection cannot be watched");
                    }
                }
                Ok(Reading::Ended) => links.close(index, "it closed the connection"),
                Err(e) => links.close(index, &e.to_string()),
            }
        }
        self.report_resolved(coordinator);
    }

    fn message_received(
        &self,
        index: usize,
        message: serde_json::Result<Message>,
        coordinator: &mut Coordinator,
    ) {
        match message {
            Ok(Message::CallBack { ask, body }) => {
                let taken = coordinator.take_forwarded_callback(body.as_bytes());
                self.links.borrow_mut().send(index, &Message::Taken { ask, taken });
            }
            Ok(Message::Taken { ask, taken }) => self.links.borrow_mut().answer_received(index, ask, taken),
            Ok(Message::Leaves) => {
                if let Some(link) = self.links.borrow_mut().table.get_mut(index) {
                    info!("the sibling process was told to stop");
                    link.is_stopping = true;
                }
            }
            Ok(Message::Node(name)) if name == self.node => {
                if let Some(link) = self.links.borrow_mut().table.get_mut(index) {
                    info!(
                        "connected to {} sibling process",
                        if link.is_older { "an older" } else { "a newer" }
                    );
                    link.is_identified = true;
                }
            }
            Ok(Message::Node(name)) => {
                self.links.borrow_mut().close(index, &format!("it belongs to another node, {name:?}"));
            }
            Err(e) => self.links.borrow_mut().close(index, &format!("its message is invalid: {e}")),
        }
    }
}

impl Drop for Siblings {
    fn drop(&mut self) {
        if self.listener.is_some() {
            // If the removal fails, the next process finds that nobody listens on the file, and removes it.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

impl Links {
    fn index_of(&self, serial: u64) -> Option<usize> {
        self.table.iter().find(|(_, link)| link.serial == serial).map(|(index, _)| index)
    }

    fn send(&mut self, index: usize, message: &Message) {
        let Some(link) = self.table.get_mut(index) else { return };
        let mut line = serde_json::to_vec(message).unwrap_or_default();
        line.push(b'\n');
        let connection = &mut link.connection;
        connection.buffer.put(&line);
        let sent = connection.write().and_then(|()| connection.watch(false));
        if let Err(e) = sent {
            self.close(index, &e.to_string());
        } else if self.table[index].connection.buffer.waiting() > MAX_LINE {
            self.close(index, "it does not read");
        }
    }

    fn next_message(&mut self, index: usize) -> Option<serde_json::Result<Message>> {
        let buffer = &mut self.table.get_mut(index)?.connection.buffer;
        let length = buffer.unread().iter().position(|&byte| byte == b'\n')? + 1;
        let message = serde_json::from_slice(&buffer.unread()[..length]);
        buffer.done_with(length);
        Some(message)
    }

    /// A sibling has answered a forwarded callback. The callback is resolved by the first sibling that has its request,
    /// or by the last one that has not.
    fn answer_received(&mut self, index: usize, ask: u64, taken: bool) {
        let Some(link) = self.table.get_mut(index) else { return };
        link.missed_answers = 0;
        let Some(waiting) = self.pending.get_mut(&ask) else { return };
        waiting.siblings.retain(|serial| *serial != link.serial);
        if taken || waiting.siblings.is_empty() {
            self.resolved.extend(self.pending.remove(&ask).map(|waiting| (waiting.caller, Some(taken))));
        }
    }

    /// Closes the link to a sibling. Callbacks that only it could still answer are resolved without an answer: the
    /// executor sends them again, and they are then for this process alone.
    fn close(&mut self, index: usize, reason: &str) {
        let Some(link) = self.table.try_remove(index) else { return };
        info!("the link to a sibling process was closed: {reason}");
        let ownerless = self.pending.extract_if(.., |_, waiting| {
            waiting.siblings.retain(|serial| *serial != link.serial);
            waiting.siblings.is_empty()
        });
        let ownerless: Vec<CallerId> = ownerless.map(|(_, waiting)| waiting.caller).collect();
        self.resolved.extend(ownerless.into_iter().map(|caller| (caller, None)));
    }
}

/// Connects to a socket file; does not wait for a listener that accepts no connection.
fn connect_socket(path: &Path) -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.connect(&SockAddr::unix(path)?)?;
    Ok(socket)
}

impl SiblingProcesses for Siblings {
    /// Sends the siblings a callback for a request that this process does not have; `false` if there are no siblings.
    /// The executor is answered once they have answered.
    fn forward_callback(&self, caller: CallerId, body: &[u8]) -> bool {
        let mut links = self.links.borrow_mut();
        let asked_links = links.table.iter().filter(|(_, link)| link.is_identified || link.is_older);
        let asked_links: Vec<(usize, u64)> = asked_links.map(|(index, link)| (index, link.serial)).collect();
        if asked_links.is_empty() {
            return false;
        }
        let ask = links.next_ask;
        links.next_ask += 1;
        links.pending.insert(
            ask,
            PendingCallback { caller, siblings: asked_links.iter().map(|(_, serial)| *serial).collect() },
        );
        links.answer_timeouts.set(self.clock.now() + ANSWER_TIMEOUT, ask);
        let message = Message::CallBack { ask, body: String::from_utf8_lossy(body).into_owned() };
        asked_links.into_iter().for_each(|(index, _)| links.send(index, &message));
        true
    }
}

//! The other processes of this node. While a new version starts beside the running one, both are one node to
//! executors and to the limits: each listens on a socket file in a folder that they share, a new one calls on those
//! that it finds there, and they tell each other what the other needs, one JSON object a line.

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

/// Descriptors that are set aside for it: the listener, and a few processes that wind down while another starts.
pub const DESCRIPTORS: usize = 1 + MOST;
const MOST: usize = 4;
/// A sibling says who it is at once. One that is silent for longer is none.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A sibling answers within a turn of its loop. An executor whose call-back waits longer is told to come again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// After so many in a row that were not answered the sibling counts as gone.
const MAX_MISSED: u32 = 5;
/// A call-back's body fits, with every byte of it escaped. What is longer is no word of a sibling's.
const MAX_LINE: usize = 512 * 1024;

/// What siblings tell each other.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Word {
    /// Said first, by both: which node the teller is a process of.
    Node(String),
    /// A call-back for a unit that the teller does not have, as it came.
    CallBack { ask: u64, body: String },
    /// Whether the teller has that unit, and has taken the call-back.
    Taken { ask: u64, taken: bool },
    /// The teller was told to stop: the other one has the cold executors now.
    Leaves,
}

struct Link {
    connection: Connection,
    serial: u64,
    /// It was here before this process.
    elder: bool,
    /// It has said that it is of this node.
    greeted: bool,
    leaves: bool,
    missed: u32,
}

/// A call-back that waits for the siblings that were asked.
struct Asked {
    caller: CallerId,
    of: Vec<u64>,
}

#[derive(Default)]
struct Links {
    kept: Slab<Link>,
    next_serial: u64,
    /// Until when a link must have been greeted.
    ungreeted: Alarms<u64>,
    asked: BTreeMap<u64, Asked>,
    unanswered: Alarms<u64>,
    next_ask: u64,
    /// Call-backs that have their answer: whether a sibling said anything of them, and took them.
    settled: Vec<(CallerId, Option<bool>)>,
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
    /// Calls on all processes of `node` that have a socket file in the folder, and listens at one of its own.
    /// Without a file nobody is met, and nothing else is lost.
    pub fn meet(
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
        let plain: String = node.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        for number in 0..MOST {
            let path = folder.join(format!("grebeusher-{plain}-{number}.sock"));
            match call(&path) {
                Ok(socket) => siblings.take_in(socket, true),
                Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                    if siblings.listener.is_none() {
                        siblings.listen(path);
                    }
                }
                Err(e) => warn!("{} is left alone: {e}", path.display()),
            }
        }
        if siblings.listener.is_none() {
            warn!("no process beside this one can reach it");
        }
        siblings
    }

    fn listen(&mut self, path: PathBuf) {
        // Nobody listens there: it is what a killed process left behind.
        let _ = std::fs::remove_file(&path);
        let listening = Socket::new(Domain::UNIX, Type::STREAM, None).and_then(|socket| {
            socket.set_nonblocking(true)?;
            socket.bind(&SockAddr::unix(&path)?)?;
            socket.listen(MOST as i32)?;
            self.poller.add(&socket, Event::readable(self.listener_key))?;
            Ok(socket)
        });
        match listening {
            Ok(listener) => (self.listener, self.path) = (Some(listener), path),
            Err(e) => warn!("{} can't be listened at: {e}", path.display()),
        }
    }

    /// Takes in those who call.
    pub fn accept(&self) {
        let Some(listener) = &self.listener else { return };
        while let Ok((socket, _)) = listener.accept() {
            self.take_in(socket, false);
        }
        if let Err(e) = self.poller.modify(listener, Event::readable(self.listener_key)) {
            warn!("{} can't be watched: {e}", self.path.display());
        }
    }

    fn take_in(&self, socket: Socket, elder: bool) {
        let mut links = self.links.borrow_mut();
        if links.kept.len() >= MOST {
            return warn!("one process more than {MOST} beside this one is left alone");
        }
        let serial = links.next_serial;
        links.next_serial += 1;
        let key = (self.key)(links.kept.vacant_key());
        match Connection::from_socket(socket, &self.poller, key) {
            Ok(mut connection) => {
                connection.set_max_unread(MAX_LINE);
                let link = Link { connection, serial, elder, greeted: false, leaves: false, missed: 0 };
                let place = links.kept.insert(link);
                links.ungreeted.set(self.clock.now() + HANDSHAKE_TIMEOUT, serial);
                links.say(place, &Word::Node(self.node.clone()));
            }
            Err(e) => warn!("a process beside this one can't be watched: {e}"),
        }
    }

    /// Whether another process of this node is there.
    pub fn any(&self) -> bool {
        self.links.borrow().kept.iter().any(|(_, link)| link.greeted)
    }

    /// Whether one is there that started later.
    pub fn has_younger(&self) -> bool {
        self.links.borrow().kept.iter().any(|(_, link)| link.greeted && !link.elder)
    }

    /// Whether one that was here before still does all that it did.
    pub fn has_elder(&self) -> bool {
        self.links.borrow().kept.iter().any(|(_, link)| link.elder && !link.leaves)
    }

    /// This process was told to stop.
    pub fn say_leaves(&self) {
        let mut links = self.links.borrow_mut();
        let places: Vec<usize> = links.kept.iter().map(|(place, _)| place).collect();
        places.into_iter().for_each(|place| links.say(place, &Word::Leaves));
    }

    pub fn next_due(&self) -> Option<Instant> {
        let links = self.links.borrow();
        if !links.settled.is_empty() {
            return Some(Instant(0));
        }
        links.ungreeted.next_at().into_iter().chain(links.unanswered.next_at()).min()
    }

    /// What falls due: siblings that never said who they are, and call-backs that they did not answer. Guards against
    /// one that is silent, which costs its bounded wait and nothing else.
    pub fn due(&self, coordinator: &mut Coordinator) {
        let now = self.clock.now();
        let mut links = self.links.borrow_mut();
        while let Some(serial) = links.ungreeted.due(now) {
            if let Some(place) = links.place(serial).filter(|&place| !links.kept[place].greeted) {
                links.drop(place, "it did not say who it is");
            }
        }
        while let Some(ask) = links.unanswered.due(now) {
            let Some(asked) = links.asked.remove(&ask) else { continue };
            links.settled.push((asked.caller, None));
            for place in asked.of.into_iter().filter_map(|serial| links.place(serial)).collect::<Vec<_>>() {
                links.kept[place].missed += 1;
                if links.kept[place].missed >= MAX_MISSED {
                    links.drop(place, "it does not answer");
                }
            }
        }
        drop(links);
        self.tell(coordinator);
    }

    fn tell(&self, coordinator: &mut Coordinator) {
        let settled = std::mem::take(&mut self.links.borrow_mut().settled);
        settled.into_iter().for_each(|(caller, taken)| coordinator.callback_forwarded(caller, taken));
    }

    /// Something can be read from or written to a link.
    pub fn stirred(&self, place: usize, coordinator: &mut Coordinator) {
        let reading = match self.links.borrow_mut().kept.get_mut(place) {
            Some(link) => link.connection.write().and_then(|()| link.connection.read()),
            None => return,
        };
        // The borrow must end before the coordinator is told.
        while let Some(word) = { self.links.borrow_mut().next_word(place) } {
            self.told(place, word, coordinator);
        }
        {
            let mut links = self.links.borrow_mut();
            let stuck = |link: &Link| link.connection.buffer.unread().len() >= MAX_LINE;
            match reading {
                Ok(Reading::Open) if links.kept.get(place).is_some_and(stuck) => {
                    links.drop(place, "a line of it never ends");
                }
                Ok(Reading::Open) => {
                    if links.kept.get(place).is_some_and(|link| link.connection.watch(false).is_err()) {
                        links.drop(place, "it can't be watched");
                    }
                }
                Ok(Reading::Ended) => links.drop(place, "it has ended"),
                Err(e) => links.drop(place, &e.to_string()),
            }
        }
        self.tell(coordinator);
    }

    fn told(&self, place: usize, word: serde_json::Result<Word>, coordinator: &mut Coordinator) {
        match word {
            Ok(Word::CallBack { ask, body }) => {
                let taken = coordinator.take_forwarded_callback(body.as_bytes());
                self.links.borrow_mut().say(place, &Word::Taken { ask, taken });
            }
            Ok(Word::Taken { ask, taken }) => self.links.borrow_mut().answered(place, ask, taken),
            Ok(Word::Leaves) => {
                if let Some(link) = self.links.borrow_mut().kept.get_mut(place) {
                    info!("the process beside this one was told to stop");
                    link.leaves = true;
                }
            }
            Ok(Word::Node(name)) if name == self.node => {
                if let Some(link) = self.links.borrow_mut().kept.get_mut(place) {
                    info!("a process beside this one, {}", if link.elder { "older" } else { "younger" });
                    link.greeted = true;
                }
            }
            Ok(Word::Node(name)) => {
                self.links.borrow_mut().drop(place, &format!("it is of another node, {name:?}"));
            }
            Err(e) => self.links.borrow_mut().drop(place, &format!("what it says can't be read: {e}")),
        }
    }
}

impl Drop for Siblings {
    fn drop(&mut self) {
        if self.listener.is_some() {
            // What stays behind is found stale by the next one.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

impl Links {
    fn place(&self, serial: u64) -> Option<usize> {
        self.kept.iter().find(|(_, link)| link.serial == serial).map(|(place, _)| place)
    }

    fn say(&mut self, place: usize, word: &Word) {
        let Some(link) = self.kept.get_mut(place) else { return };
        let mut line = serde_json::to_vec(word).unwrap_or_default();
        line.push(b'\n');
        let connection = &mut link.connection;
        connection.buffer.put(&line);
        let said = connection.write().and_then(|()| connection.watch(false));
        if let Err(e) = said {
            self.drop(place, &e.to_string());
        } else if self.kept[place].connection.buffer.waiting() > MAX_LINE {
            self.drop(place, "it does not listen");
        }
    }

    fn next_word(&mut self, place: usize) -> Option<serde_json::Result<Word>> {
        let buffer = &mut self.kept.get_mut(place)?.connection.buffer;
        let length = buffer.unread().iter().position(|&byte| byte == b'\n')? + 1;
        let word = serde_json::from_slice(&buffer.unread()[..length]);
        buffer.done_with(length);
        Some(word)
    }

    /// A sibling has answered a call-back that was passed to it: it is settled by the first that has taken it, or by
    /// the last that has not.
    fn answered(&mut self, place: usize, ask: u64, taken: bool) {
        let Some(link) = self.kept.get_mut(place) else { return };
        link.missed = 0;
        let Some(asked) = self.asked.get_mut(&ask) else { return };
        asked.of.retain(|serial| *serial != link.serial);
        if taken || asked.of.is_empty() {
            self.settled.extend(self.asked.remove(&ask).map(|asked| (asked.caller, Some(taken))));
        }
    }

    /// The sibling is gone. Call-backs that only it could have taken come again, and then meet this process alone.
    fn drop(&mut self, place: usize, why: &str) {
        let Some(link) = self.kept.try_remove(place) else { return };
        info!("the link to a process beside this one ended: {why}");
        let gone = self.asked.extract_if(.., |_, asked| {
            asked.of.retain(|serial| *serial != link.serial);
            asked.of.is_empty()
        });
        let gone: Vec<CallerId> = gone.map(|(_, asked)| asked.caller).collect();
        self.settled.extend(gone.into_iter().map(|caller| (caller, None)));
    }
}

/// Calls at a socket file, without waiting for one whose listener does not take anybody in.
fn call(path: &Path) -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.connect(&SockAddr::unix(path)?)?;
    Ok(socket)
}

impl SiblingProcesses for Siblings {
    /// Asks the siblings to take a call-back for a unit that this process does not have; `false` where none is
    /// there. Whoever called is answered when they have answered.
    fn forward_callback(&self, caller: CallerId, body: &[u8]) -> bool {
        let mut links = self.links.borrow_mut();
        let met = links.kept.iter().filter(|(_, link)| link.greeted || link.elder);
        let met: Vec<(usize, u64)> = met.map(|(place, link)| (place, link.serial)).collect();
        if met.is_empty() {
            return false;
        }
        let ask = links.next_ask;
        links.next_ask += 1;
        links.asked.insert(ask, Asked { caller, of: met.iter().map(|(_, serial)| *serial).collect() });
        links.unanswered.set(self.clock.now() + ANSWER_TIMEOUT, ask);
        let word = Word::CallBack { ask, body: String::from_utf8_lossy(body).into_owned() };
        met.into_iter().for_each(|(place, _)| links.say(place, &word));
        true
    }
}

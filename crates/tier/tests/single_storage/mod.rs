//! One storage node in memory that leads partition 1; the test acts as its peer.

#![allow(dead_code)]

use crate::single_node::network::{ConnectionId, Network, SharedNetwork, TestWorld};
use grebeusher_configuration::settings::Settings;
use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_quorum::{Entry, Payload, ReplicaId, RestoredState, Write};
use grebeusher_tier::links::messages::{Call, CallEnvelope, CallNumber, Channel, Reply, ReplyEnvelope};
use grebeusher_tier::node::Node;
use grebeusher_tier::runtime::io::{Listener, PartitionStore, ReceivedSignals, Stream, World};
use grebeusher_tier::runtime::start::Start;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::link::{FrameDecoder, Hello, encode_frame, encode_hello};
use grebeusher_transport::poller::Event;
use nanoserde::{DeBin, SerBin};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;

const NODE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7660);
const PEER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7660);
/// The identity of the node's disk.
pub const DISK: ReplicaId = ReplicaId(5);
const SETTINGS: &str = r#"{"node_name":"storage-1","role":"storage","machine_class":"storage","served_roles":["storage"],
    "ip_address":"10.0.0.1","zone":"a","region":"r","zones":{"a":"r"},"internal_ports":[7660,7675],
    "seed_nodes":["10.0.0.2:8146"],"quorum_member":true,"data_path":"/data",
    "limits":{"cpu_share":0.5,"memory_mb":260,"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":64}}"#;

type Commands = Rc<RefCell<Vec<Vec<u8>>>>;

/// The environment of a node whose disk is in memory.
struct DiskWorld {
    network: TestWorld,
    commands: Commands,
    /// The stored state of partition 1. All other partitions are empty.
    stored: RestoredState,
}

struct Disk(Option<Commands>);

impl PartitionStore for Disk {
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        for write in writes {
            let (Some(commands), Write::Entries(entries)) = (&self.0, write) else { continue };
            let command_of = |entry: &Entry| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.as_slice().to_vec()),
                Payload::Noop | Payload::Group(_) => None,
            };
            commands.borrow_mut().extend(entries.iter().filter_map(command_of));
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        Ok(())
    }
}

impl World for DiskWorld {
    fn now(&self) -> Instant {
        self.network.now()
    }

    fn wall_ms(&self) -> u64 {
        self.network.wall_ms()
    }

    fn random(&self) -> u64 {
        self.network.random()
    }

    fn wait(&self, span: Duration, events: &mut Vec<Event>) -> io::Result<()> {
        self.network.wait(span, events)
    }

    fn listen(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Listener>> {
        self.network.listen(address, key)
    }

    fn dial(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        self.network.dial(address, key)
    }

    fn dial_link(&self, address: SocketAddrV4, key: usize) -> io::Result<Box<dyn Stream>> {
        self.network.dial_link(address, key)
    }

    fn signals(&self) -> ReceivedSignals {
        self.network.signals()
    }

    fn settings(&self) -> io::Result<String> {
        self.network.settings()
    }

    fn identity(&self, _: &Path) -> Result<Identity, StoreError> {
        Ok(Identity { id: DISK, existed: true })
    }

    fn open_store(&self, folder: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError> {
        if folder.ends_with("part-1") {
            Ok((Box::new(Disk(Some(self.commands.clone()))), self.stored.clone()))
        } else {
            Ok((Box::new(Disk(None)), RestoredState::default()))
        }
    }
}

/// A storage node that leads partition 1. The test acts as its peer.
pub struct Storage {
    pub network: SharedNetwork,
    node: Node,
    link_to_node: ConnectionId,
    link_from_node: Option<ConnectionId>,
    frames: FrameDecoder,
    /// The commands that were written to the log of partition 1.
    pub commands: Commands,
    calls: u64,
}

impl Storage {
    /// Starts a node whose disk holds this state of partition 1, and waits until it leads the partition.
    pub fn start(stored: RestoredState) -> Storage {
        let network = Network::shared(1);
        let commands = Commands::default();
        let inner = TestWorld { network: network.clone(), settings: SETTINGS.to_owned() };
        let world = DiskWorld { network: inner, commands: commands.clone(), stored };
        let settings = Settings::read(SETTINGS).expect("valid settings");
        let start = Start::open(settings, Rc::new(world)).expect("nothing is missing");
        let node = Node::new(start).expect("the state on the disk is read");
        let link_to_node = network.borrow_mut().connect(NODE);
        let frames = FrameDecoder::default();
        let mut storage =
            Storage { network, node, link_to_node, link_from_node: None, frames, commands, calls: 0 };
        storage.network.borrow_mut().send(link_to_node, &encode_hello(&Hello::new(PEER)));
        storage.advance(Duration::from_millis(8_000));
        storage
    }

    /// Advances the clock and runs the event loop.
    pub fn advance(&mut self, span: Duration) {
        let until = self.network.borrow().now() + span;
        while self.network.borrow().now() < until {
            self.network.borrow_mut().advance(Duration::from_millis(5));
            for _ in 0..50 {
                let events = self.network.borrow().events();
                self.node.turn(&events).expect("the disk does not fail");
                if self.network.borrow().events().is_empty() {
                    break;
                }
            }
        }
    }

    /// Calls the node and returns its reply.
    pub fn call(&mut self, call: Call) -> Reply {
        self.calls += 1;
        let number = CallNumber(self.calls);
        let envelope = CallEnvelope { number, call };
        let frame = encode_frame(Channel::Call as u8, &SerBin::serialize_bin(&envelope));
        self.network.borrow_mut().send(self.link_to_node, &frame);
        self.advance(Duration::from_millis(300));
        self.reply_to(number).expect("a reply")
    }

    fn reply_to(&mut self, number: CallNumber) -> Option<Reply> {
        loop {
            let dialled = self.network.borrow_mut().next_dialled();
            let Some((address, connection)) = dialled else { break };
            if address == PEER {
                self.link_from_node = Some(connection);
                self.frames = FrameDecoder::default();
            }
        }
        let bytes = self.network.borrow_mut().take(self.link_from_node?);
        self.frames.feed(&bytes);
        while let Ok(Some(frame)) = self.frames.next_frame() {
            if frame.channel == Channel::Reply as u8 {
                let envelope = <ReplyEnvelope as DeBin>::deserialize_bin(&frame.payload).expect("a reply");
                if envelope.number == number {
                    return Some(envelope.reply);
                }
            }
        }
        None
    }

    pub fn status(&mut self) -> String {
        let Reply::Answer { status: 200, body } = self.call(Call::ShowPartition { partition: 1 }) else {
            panic!("the node owns the part")
        };
        String::from_utf8(body).expect("text")
    }
}

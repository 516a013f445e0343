//! Compatibility of the log entries of a batch partition: this version must read and write the bytes of earlier versions.

mod single_node;

use grebeusher_configuration::settings::Settings;
use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_quorum::{
    Blob, Entry, Group, HardState, Index, Payload, Position, ReplicaId, RestoredState, Snapshot, Term, Write,
};
use grebeusher_tier::links::messages::{
    Call, CallEnvelope, CallNumber, Channel, Reply, ReplyEnvelope, SubmitJob,
};
use grebeusher_tier::node::Node;
use grebeusher_tier::runtime::io::{Listener, PartitionStore, ReceivedSignals, Stream, World};
use grebeusher_tier::runtime::start::Start;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::link::{FrameDecoder, Hello, encode_frame, encode_hello};
use grebeusher_transport::poller::Event;
use nanoserde::{DeBin, SerBin};
use single_node::network::{ConnectionId, Network, SharedNetwork, TestWorld};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;

const NODE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7660);
const PEER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7660);
const DISK: ReplicaId = ReplicaId(5);
const SETTINGS: &str = r#"{"node_name":"storage-1","role":"storage","machine_class":"storage","served_roles":["storage"],
    "ip_address":"10.0.0.1","zone":"a","region":"r","zones":{"a":"r"},"internal_ports":[7660,7675],
    "seed_nodes":["10.0.0.2:8146"],"quorum_member":true,"data_path":"/data",
    "limits":{"cpu_share":0.5,"memory_mb":260,"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":64}}"#;

/// The snapshot of a partition without jobs, in which `node-0` is to be retired.
const SNAPSHOT: &[u8] = b"\x02\x00\x00\x00\x00\x00\x00\x00\x01\x00\x01\x00\x00\x00\x00\x00\x00\x00\x06\x00\x00\x00\x00\x00\x00\x00node-0";
/// The entry that `node-1` is to be retired.
const RETIRE: &[u8] = b"\x02node-1";
/// The entry of a submitted job with one item.
const SUBMIT: &[u8] = b"\x01\x01\x05job-1\x04lots\x06models\x0clots.example\x01\x01a\x07/lots/a\x00\x02\x00\xff\x1e\x00\x00\x00\xe0\xd4\x03\x03\x00\x00";
/// The encoded submission of another job, which the node puts into an entry.
const SUBMISSION: &[u8] =
    b"\x05job-2\x04lots\x06models\x0clots.example\x01\x01a\x07/lots/a\x00\x02\x00\xff\x1e";
/// The entry that the node writes for the end of the first job.
const ENDED: &[u8] = b"\x01\x04\x05job-1";

type Commands = Rc<RefCell<Vec<Vec<u8>>>>;

/// The environment of a node whose disk is in memory.
struct DiskWorld {
    network: TestWorld,
    commands: Commands,
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
            Ok((Box::new(Disk(Some(self.commands.clone()))), stored_state()))
        } else {
            Ok((Box::new(Disk(None)), RestoredState::default()))
        }
    }
}

/// The stored state of partition 1, of which this node has the only replica.
fn stored_state() -> RestoredState {
    let command = |index, bytes: &[u8]| Entry {
        index: Index(index),
        term: Term(1),
        payload: Payload::Command(Blob::from(bytes)),
    };
    let last = Position { term: Term(1), index: Index(1) };
    RestoredState {
        hard_state: HardState { term: Term(1), vote: None, cluster_id: None, commit: Index(1) },
        snapshot: Some(Snapshot { last, group: Group::of([DISK]), bytes: Blob::from(SNAPSHOT) }),
        entries: vec![command(2, RETIRE), command(3, SUBMIT)],
    }
}

/// A storage node that leads partition 1. The test acts as its peer.
struct Storage {
    network: SharedNetwork,
    node: Node,
    link_to_node: ConnectionId,
    link_from_node: Option<ConnectionId>,
    frames: FrameDecoder,
    commands: Commands,
    calls: u64,
}

impl Storage {
    fn start() -> Storage {
        let network = Network::shared(1);
        let commands = Commands::default();
        let inner = TestWorld { network: network.clone(), settings: SETTINGS.to_owned() };
        let world = DiskWorld { network: inner, commands: commands.clone() };
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

    fn advance(&mut self, span: Duration) {
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
    fn call(&mut self, call: Call) -> Reply {
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

    fn status(&mut self) -> String {
        let Reply::Answer { status: 200, body } = self.call(Call::ShowPartition { partition: 1 }) else {
            panic!("the node owns the part")
        };
        String::from_utf8(body).expect("text")
    }
}

/// Returns the number after some words in a status. It is a size that may differ between versions.
fn number_after(text: &str, words: &str) -> u64 {
    let rest = text.split_once(words).expect("the words are there").1;
    rest.split(' ').next().and_then(|number| number.parse().ok()).expect("a number")
}

#[test]
fn a_log_and_a_snapshot_of_an_earlier_version_are_taken_over() {
    let mut storage = Storage::start();
    let status = storage.status();
    let (log, jobs) = (number_after(&status, "log of "), number_after(&status, "in about "));
    let expected = format!(
        "part 1 owned by storage-1 at term 2: commit 4, log of {log} bytes\n\
         part 1 voter storage-1 Alive a disk 0000000000000005 has 4\n\
         part 1 is to leave node-0\n\
         part 1 is to leave node-1\n\
         part 1 holds 1 jobs in about {jobs} bytes\n\
         part 1 job job-1: 0 of 1 items listed, open\n"
    );
    assert_eq!(status, expected);
    let body = storage.call(Call::ReadItem { partition: 1, job: "job-1".to_owned(), item: "a".to_owned() });
    assert!(matches!(body, Reply::Answer { status: 200, body } if body == [0x00, 0xff]));
}

#[test]
fn what_is_put_into_the_log_keeps_its_bytes() {
    let mut storage = Storage::start();
    let submit = SubmitJob {
        partition: 1,
        submission: SUBMISSION.to_vec(),
        completion_target_ms: 300,
        retention_ms: 60_000,
        max_attempts: 3,
        queue_token_limit: 0,
    };
    let reply = storage.call(Call::SubmitJob(submit));
    assert!(matches!(&reply, Reply::Answer { status: 202, body } if body == b"{}"), "{reply:?}");
    let reply = storage.call(Call::EndJob { partition: 1, job: "job-1".to_owned() });
    assert!(matches!(&reply, Reply::Answer { status: 200, body } if body == b"{}"), "{reply:?}");
    let commands = storage.commands.borrow();
    let [submitted, ended] = &commands[..] else { panic!("two commands, not {commands:?}") };
    // After the submission the entry has the settings of the job, which begin with the time of day.
    assert_eq!(submitted[..2 + SUBMISSION.len()], [b"\x01\x01", SUBMISSION].concat());
    assert_eq!(
        submitted[2 + SUBMISSION.len()..].escape_ascii().to_string(),
        r"\xc5\x8e\x96\xff\xbc1\x00\xac\x02\xe0\xd4\x03\x03\x00\x00"
    );
    assert_eq!(ended, ENDED);
}

//! Compatibility of the hint files in the data folder of a node: this version must read and write the names and bytes of
//! the files of earlier versions.

mod single_node;

use grebeusher_configuration::settings::Settings;
use grebeusher_quorum::RestoredState;
use grebeusher_quorum::disk::{Identity, StoreError};
use grebeusher_tier::node::Node;
use grebeusher_tier::runtime::io::{Listener, PartitionStore, ReceivedSignals, Stream, World};
use grebeusher_tier::runtime::start::Start;
use grebeusher_tier::runtime::system::System;
use grebeusher_time::{Duration, DurationExt, Instant};
use grebeusher_transport::poller::Event;
use single_node::network::{Network, SharedNetwork, TestWorld};
use std::fmt::Write;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;

const NODE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
/// The content of the file `executors` after a heartbeat of one executor.
const EXECUTORS_FILE: &str = "\
    4472d9bd01010003692d3101730a090001901f01610800000002763104626f7468000000000000000000010000000000\
    00000100016d040000000000000006656467652d31";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect()
}

/// Creates an empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stable_hints_{name}"));
    drop(fs::remove_dir_all(&folder));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// An environment with the network and the clock of the test, and with real files.
struct FileWorld {
    network: TestWorld,
    files: System,
}

impl World for FileWorld {
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

    fn identity(&self, folder: &Path) -> Result<Identity, StoreError> {
        self.network.identity(folder)
    }

    fn read_hint(&self, folder: &Path, name: &str) -> Option<Vec<u8>> {
        self.files.read_hint(folder, name)
    }

    fn write_hint(&self, folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.write_hint(folder, name, bytes)
    }

    fn open_store(&self, folder: &Path) -> Result<(Box<dyn PartitionStore>, RestoredState), StoreError> {
        self.network.open_store(folder)
    }
}

/// An edge node with a data folder and no replica.
struct EdgeNode {
    network: SharedNetwork,
    node: Node,
}

impl EdgeNode {
    fn start(data: &Path) -> EdgeNode {
        let settings = format!(
            r#"{{"node_name":"edge-1","role":"edge","machine_class":"edge","served_roles":["edge","controller"],
            "ip_address":"{NODE}","zone":"a","region":"r","zones":{{"a":"r"}},"data_path":"{}",
            "bindings":{{"frontend":"{NODE}:8144","readiness":"{NODE}:8140","control_plane":"{NODE}:8146"}},
            "internal_ports":[7660,7675],"seed_nodes":["{NODE}:8146"],"bootstrap":false,"quorum_member":false,
            "limits":{{"cpu_share":0.5,"cpu_cores":1,"memory_mb":260,"file_descriptors":4100,"link_mbps":1000.0}},
            "heartbeat_ms":1200,"contracts":["base"],
            "fault_tolerance":{{"machine_losses":0,"zones":0,"region_losses":0}},
            "bounds":{{"grace_period_s":8,"drain_timeout_ms":2000}}}}"#,
            data.display()
        );
        let network = Network::shared(1);
        let world = FileWorld {
            network: TestWorld { network: Rc::clone(&network), settings: settings.clone() },
            files: System::open(PathBuf::new()).expect("the system has descriptors"),
        };
        let settings = Settings::read(&settings).expect("valid settings");
        let start = Start::open(settings, Rc::new(world)).expect("nothing is missing");
        let node = Node::new(start).expect("nothing is missing");
        EdgeNode { network, node }
    }

    fn turn(&mut self) {
        for _ in 0..10 {
            let events = self.network.borrow().events();
            self.node.turn(&events).expect("the files can be written");
        }
    }

    fn advance(&mut self, span: Duration) {
        for _ in 0..10 {
            self.network.borrow_mut().advance(span.scaled(0.1));
            self.turn();
        }
    }

    fn call(&mut self, request: &str) -> String {
        let connection = self.network.borrow_mut().connect(SocketAddrV4::new(NODE, 8146));
        self.turn();
        self.network.borrow_mut().send(connection, request.as_bytes());
        self.turn();
        String::from_utf8_lossy(&self.network.borrow_mut().take(connection)).into_owned()
    }

    fn send_heartbeat(&mut self) {
        let body = r#"{"service":"s","address":"10.9.0.1:8080","zone":"a","config_version":"v1","slot_count":8,"pipeline_stage":"both","state":"up","cold_left_ms":0,"call_seq":1,"models":[{"name":"m","config_version":4}]}"#;
        let answer = self.call(&format!(
            "POST /api/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
}

#[test]
fn the_executors_that_a_node_knows_are_written_to_the_same_file() {
    let data = folder("written");
    let mut node = EdgeNode::start(&data);
    node.advance(Duration::from_millis(2_500));
    node.send_heartbeat();
    node.advance(Duration::from_millis(2_500));
    let file = fs::read(data.join("executors")).expect("the file is written");
    assert_eq!(hex(&file), EXECUTORS_FILE);
}

#[test]
fn a_file_of_an_earlier_version_is_read_at_the_start() {
    let data = folder("read");
    fs::write(data.join("executors"), bytes(EXECUTORS_FILE)).expect("a file");
    let mut node = EdgeNode::start(&data);
    let shown = node.call("GET /api/status HTTP/1.1\r\nHost: n\r\n\r\n");
    assert!(shown.contains("\nexecutor i-1 s 10.9.0.1:8080 Up silent false"), "{shown}");
}

#[test]
fn a_hint_keeps_its_checksum_before_it() {
    let data = folder("checksum");
    let files = System::open(PathBuf::new()).expect("the system has descriptors");
    files.write_hint(&data, "name", b"content").expect("it is written");
    let pinned = "a930c5fe636f6e74656e74";
    assert_eq!(hex(&fs::read(data.join("name")).expect("the file is written")), pinned);
    fs::write(data.join("name"), bytes(pinned)).expect("a file");
    assert_eq!(files.read_hint(&data, "name").as_deref(), Some(&b"content"[..]));
    // The temporary file is renamed and no longer there.
    assert_eq!(fs::read_dir(&data).expect("a folder").count(), 1);
}

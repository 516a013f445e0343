//! Bytes written by earlier versions that this version must read and write unchanged: messages between nodes, the
//! executors hint on the disk, and the hashes in both.

use grebeusher_registry::{
    Class, Executor, ExecutorState, Heartbeat, HeartbeatReport, Losses, MAX_MESSAGE, MAX_METADATA, Member,
    MemberState, Message, Model, NodeId, NodeMetadata, Register, Registry, Relay, Settings, Summary, Timings,
};
use grebeusher_time::Instant;
use nanoserde::{DeBin, SerBin};
use rstest::rstest;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

const NOW: Instant = Instant(1_000_000_000);
/// The exact number of bucket hashes in a message.
const BUCKETS: usize = 64;

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

fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), port)
}

fn edge() -> Member {
    Member {
        name: "edge-1".to_owned(),
        address: address(1, 7_660),
        incarnation: 0x0000_0190_1122_3344,
        status_version: 5,
        class: Class::Edge,
        zone: "z1".to_owned(),
        control: Some(address(1, 8_146)),
        replica: Some(0x0123_4567_89ab_cdef),
        bootstrap: true,
        state: MemberState::Alive,
    }
}

fn storage() -> Member {
    Member {
        name: "storage-2".to_owned(),
        address: address(2, 7_661),
        incarnation: 7,
        status_version: 0,
        class: Class::Storage,
        zone: String::new(),
        control: None,
        replica: None,
        bootstrap: false,
        state: MemberState::Alive,
    }
}

fn member_in(state: MemberState) -> Member {
    Member { state, ..storage() }
}

fn executor() -> Executor {
    Executor {
        report: HeartbeatReport {
            id: "i-1".to_owned(),
            service: "chat".to_owned(),
            address: address(9, 8_080),
            zone: "z2".to_owned(),
            slot_count: 0x0102_0304,
            config_version: "v3".to_owned(),
            pipeline_stage: "both".to_owned(),
            state: ExecutorState::Up,
            cold_left_ms: 1_500,
            call_seq: 0x1122_3344_5566_7788,
            models: vec![
                Model { name: "large".to_owned(), config_version: 9 },
                Model { name: "größer".to_owned(), config_version: u64::MAX },
            ],
        },
        reporter: "edge-1".to_owned(),
        unresponsive: false,
    }
}

fn with_id(id: &str, mut executor: Executor) -> Executor {
    executor.report.id = id.to_owned();
    executor
}

fn bare_executor(state: ExecutorState, unresponsive: bool) -> Executor {
    Executor {
        report: HeartbeatReport {
            id: "i-2".to_owned(),
            service: "s".to_owned(),
            address: address(8, 1),
            zone: "z".to_owned(),
            slot_count: 1,
            config_version: String::new(),
            pipeline_stage: String::new(),
            state,
            cold_left_ms: 0,
            call_seq: 2,
            models: Vec::new(),
        },
        reporter: "edge-1".to_owned(),
        unresponsive,
    }
}

fn node_metadata() -> NodeMetadata {
    NodeMetadata {
        node: "edge-1".to_owned(),
        incarnation: 3,
        counter: 4,
        payload: vec![0xde, 0xad, 0x00, 0xbe],
    }
}

fn buckets() -> Vec<u64> {
    (0..BUCKETS as u64).map(|place| place << 56 | place).collect()
}

fn registry() -> Registry {
    let settings = Settings {
        member: Member { name: "edge-3".to_owned(), address: address(3, 7_660), ..edge() },
        seeds: Vec::new(),
        timings: Timings::default(),
        losses: Losses::default(),
    };
    Registry::new(settings, 1, NOW)
}

/// Returns the first byte of each kind of message. A new kind needs its number here and its bytes below.
fn first_byte(message: &Message) -> u8 {
    match message {
        Message::Join(_) => 0,
        Message::Welcome(_) => 1,
        Message::Heartbeat(_) => 2,
        Message::Ping { .. } => 3,
        Message::PingFor(_) => 4,
        Message::Pong { .. } => 5,
        Message::Relay(_) => 6,
        Message::Confirm { .. } => 7,
        Message::Buckets(_) => 8,
        Message::Summaries { .. } => 9,
        Message::Want(_) => 10,
        Message::Registers(_) => 11,
    }
}

fn register_byte(register: &Register) -> u8 {
    match register {
        Register::Member(_) => 0,
        Register::Executor(_) => 1,
        Register::NodeMetadata(_) => 2,
    }
}

#[rstest]
#[case::join(
    Message::Join(edge()),
    "0006656467652d310a000001ec1d4433221190010000050000000000000008027a31010a000001d21f01efcdab8967452301"
)]
#[case::welcome_of_nobody(Message::Welcome(Vec::new()), "010000")]
#[case::welcome(Message::Welcome(vec![edge(), storage()]), "\
    01020006656467652d310a000001ec1d4433221190010000050000000000000008027a31010a000001d21f01efcdab89\
    674523010973746f726167652d320a000002ed1d0700000000000000000000000000000001000000")]
#[case::heartbeat(
    Message::Heartbeat(Heartbeat {
        node: NodeId(0x0102_0304_0506_0708),
        incarnation: 0x0000_0190_1122_3344,
        status_version: 5,
        digest: 0xfedc_ba98_7654_3210,
        configuration_version: 12,
        answer: true,
    }),
    "020807060504030201443322119001000005000000000000001032547698badcfe0c0000000000000001"
)]
#[case::heartbeat_without_answer(
    Message::Heartbeat(Heartbeat {
        node: NodeId(1),
        incarnation: 2,
        status_version: 3,
        digest: 4,
        configuration_version: 0,
        answer: false,
    }),
    "020100000000000000020000000000000003000000000000000400000000000000000000000000000000"
)]
#[case::ping(Message::Ping { asker: None }, "0300")]
#[case::ping_for_another(Message::Ping { asker: Some(NodeId(0x0102)) }, "03010201000000000000")]
#[case::request_for_a_ping(Message::PingFor(NodeId(0x0102_0304_0506_0708)), "040807060504030201")]
#[case::pong(Message::Pong { subject: NodeId(0x0a), asker: None }, "050a0000000000000000")]
#[case::pong_for_another(Message::Pong { subject: NodeId(0x0a), asker: Some(NodeId(0x0b)) }, "050a00000000000000010b00000000000000")]
#[case::relay(
    Message::Relay(Relay {
        origin: NodeId(0x0102_0304_0506_0708),
        incarnation: 0x0000_0190_1122_3344,
        sequence: 6,
        confirm: true,
        registers: vec![Register::Member(edge()), Register::Executor(executor()), Register::NodeMetadata(node_metadata())],
    }),
    "\
     060807060504030201443322119001000006000000000000000103000006656467652d310a000001ec1d443322119001\
     0000050000000000000008027a31010a000001d21f01efcdab89674523010103692d3104636861740a000009901f027a\
     320403020102763304626f746800dc0500000000000088776655443322110200056c6172676509000000000000000867\
     72c3b6c39f6572ffffffffffffffff06656467652d310206656467652d31030000000000000004000000000000000400\
     dead00be"
)]
#[case::relay_of_nothing(
    Message::Relay(Relay {
        origin: NodeId(1),
        incarnation: 2,
        sequence: 3,
        confirm: false,
        registers: Vec::new(),
    }),
    "06010000000000000002000000000000000300000000000000000000"
)]
#[case::confirm(Message::Confirm { incarnation: 0x0000_0190_1122_3344, sequence: 6 }, "0744332211900100000600000000000000")]
#[case::buckets(
    Message::Buckets(buckets()),
    "\
     084000000000000000000001000000000000010200000000000002030000000000000304000000000000040500000000\
     00000506000000000000060700000000000007080000000000000809000000000000090a0000000000000a0b00000000\
     00000b0c0000000000000c0d0000000000000d0e0000000000000e0f0000000000000f10000000000000101100000000\
     000011120000000000001213000000000000131400000000000014150000000000001516000000000000161700000000\
     000017180000000000001819000000000000191a0000000000001a1b0000000000001b1c0000000000001c1d00000000\
     00001d1e0000000000001e1f0000000000001f2000000000000020210000000000002122000000000000222300000000\
     000023240000000000002425000000000000252600000000000026270000000000002728000000000000282900000000\
     0000292a0000000000002a2b0000000000002b2c0000000000002c2d0000000000002d2e0000000000002e2f00000000\
     00002f300000000000003031000000000000313200000000000032330000000000003334000000000000343500000000\
     00003536000000000000363700000000000037380000000000003839000000000000393a0000000000003a3b00000000\
     00003b3c0000000000003c3d0000000000003d3e0000000000003e3f0000000000003f"
)]
#[case::summaries(
    Message::Summaries {
        complete: 0x8000_0000_0000_0001,
        entries: vec![
            Summary { key: 0x0102_0304_0506_0708, version: 0x1112_1314_1516_1718 },
            Summary { key: 1, version: 2 },
        ],
    },
    "09010000000000008002000807060504030201181716151413121101000000000000000200000000000000"
)]
#[case::want(Message::Want(vec![0x0102_0304_0506_0708, 1]), "0a020008070605040302010100000000000000")]
#[case::registers(
    Message::Registers(vec![
        Register::Member(storage()),
        Register::Executor(executor()),
        Register::NodeMetadata(node_metadata()),
    ]),
    "\
     0b0300000973746f726167652d320a000002ed1d07000000000000000000000000000000010000000103692d31046368\
     61740a000009901f027a320403020102763304626f746800dc0500000000000088776655443322110200056c61726765\
     0900000000000000086772c3b6c39f6572ffffffffffffffff06656467652d310206656467652d310300000000000000\
     04000000000000000400dead00be"
)]
fn a_message_keeps_its_bytes(#[case] message: Message, #[case] pinned: &str) {
    assert_eq!(hex(&message.encode()), pinned);
    assert_eq!(message.encode()[0], first_byte(&message));
    assert_eq!(Message::decode(&bytes(pinned)), Ok(message));
}

#[rstest]
#[case::member(
    Register::Member(edge()),
    "0006656467652d310a000001ec1d4433221190010000050000000000000008027a31010a000001d21f01efcdab8967452301"
)]
#[case::member_of_storage(
    Register::Member(storage()),
    "000973746f726167652d320a000002ed1d0700000000000000000000000000000001000000"
)]
#[case::dead_member(
    Register::Member(member_in(MemberState::Dead)),
    "000973746f726167652d320a000002ed1d0700000000000000000000000000000003000000"
)]
#[case::leaving_member(
    Register::Member(member_in(MemberState::Leaving)),
    "000973746f726167652d320a000002ed1d0700000000000000000000000000000005000000"
)]
#[case::left_member(
    Register::Member(member_in(MemberState::Left)),
    "000973746f726167652d320a000002ed1d0700000000000000000000000000000007000000"
)]
#[case::executor(
    Register::Executor(executor()),
    "\
     0103692d3104636861740a000009901f027a320403020102763304626f746800dc050000000000008877665544332211\
     0200056c617267650900000000000000086772c3b6c39f6572ffffffffffffffff06656467652d31"
)]
#[case::bare_executor(
    Register::Executor(bare_executor(ExecutorState::Up, false)),
    "0103692d3201730a0000080100017a0100000000000000000000000000000200000000000000000006656467652d31"
)]
#[case::draining_executor(
    Register::Executor(bare_executor(ExecutorState::Draining, false)),
    "0103692d3201730a0000080100017a0100000000000100000000000000000200000000000000000006656467652d31"
)]
#[case::gone_executor(
    Register::Executor(bare_executor(ExecutorState::Gone, false)),
    "0103692d3201730a0000080100017a0100000000000200000000000000000200000000000000000006656467652d31"
)]
#[case::silent_executor(
    Register::Executor(bare_executor(ExecutorState::Up, true)),
    "0103692d3201730a0000080100017a0100000000000400000000000000000200000000000000000006656467652d31"
)]
#[case::silent_draining_executor(
    Register::Executor(bare_executor(ExecutorState::Draining, true)),
    "0103692d3201730a0000080100017a0100000000000500000000000000000200000000000000000006656467652d31"
)]
#[case::silent_gone_executor(
    Register::Executor(bare_executor(ExecutorState::Gone, true)),
    "0103692d3201730a0000080100017a0100000000000600000000000000000200000000000000000006656467652d31"
)]
#[case::node_metadata(
    Register::NodeMetadata(node_metadata()),
    "0206656467652d31030000000000000004000000000000000400dead00be"
)]
#[case::facts_of_nothing(Register::NodeMetadata(NodeMetadata { payload: Vec::new(), ..node_metadata() }), "0206656467652d31030000000000000004000000000000000000")]
fn a_register_keeps_its_bytes(#[case] register: Register, #[case] pinned: &str) {
    // The message contains one register; the header of the message is three bytes long.
    let message = Message::Registers(vec![register.clone()]);
    assert_eq!(hex(&message.encode()[..3]), "0b0100");
    assert_eq!(hex(&message.encode()[3..]), pinned);
    assert_eq!(message.encode()[3], register_byte(&register));
    assert_eq!(Message::decode(&bytes(&format!("0b0100{pinned}"))), Ok(message));
}

#[test]
fn a_suspected_member_is_encoded_as_alive() {
    let told = Message::Join(member_in(MemberState::Suspect)).encode();
    assert_eq!(hex(&told), hex(&Message::Join(member_in(MemberState::Alive)).encode()));
}

#[test]
fn a_message_among_other_values_keeps_its_length_before_it() {
    let message = Message::Confirm { incarnation: 1, sequence: 2 };
    let pinned = "110000000701000000000000000200000000000000";
    assert_eq!(hex(&message.serialize_bin()), pinned);
    assert_eq!(Message::deserialize_bin(&bytes(pinned)).expect("a message"), message);
}

#[test]
fn the_executors_hint_keeps_its_bytes() {
    let pinned = "\
        01020003692d3104636861740a000009901f027a320403020102763304626f746800dc05000000000000887766554433\
        22110200056c617267650900000000000000086772c3b6c39f6572ffffffffffffffff06656467652d3103692d320173\
        0a0000080100017a0100000000000100000000000000000200000000000000000006656467652d31";
    let mut told = registry();
    // Given a node that has received executors, one of which is gone and one unresponsive,
    let executors = [
        executor(),
        bare_executor(ExecutorState::Draining, false),
        with_id("i-3", bare_executor(ExecutorState::Gone, false)),
        with_id("i-4", bare_executor(ExecutorState::Up, true)),
    ];
    let registers = executors.iter().cloned().map(Register::Executor).collect();
    told.receive(NOW, address(1, 7_660), Message::Registers(registers));
    // then it encodes the others in the hint like earlier versions,
    assert_eq!(hex(&told.executors_hint()), pinned);
    // and a later process reads the hint and writes it unchanged.
    let mut later = registry();
    assert_eq!(later.restore_executors(NOW, &bytes(pinned)), Ok(2));
    assert_eq!(later.executors().collect::<Vec<_>>(), [&executors[0], &executors[1]]);
    assert_eq!(hex(&later.executors_hint()), pinned);
}

#[test]
fn an_empty_executors_hint_keeps_its_bytes() {
    let pinned = "010000";
    assert_eq!(hex(&registry().executors_hint()), pinned);
    assert_eq!(registry().restore_executors(NOW, &bytes(pinned)), Ok(0));
}

#[rstest]
#[case("edge-1", 0x2f88_25f0_c316_4273)]
#[case("storage-2", 0x902f_c16d_a592_b140)]
#[case("", 0xa017_47c1_55a4_e030)]
fn all_versions_give_a_node_the_same_id(#[case] name: &str, #[case] id: u64) {
    assert_eq!(NodeId::of(name), NodeId(id));
}

/// Returns the answers of a node with one register of each kind to a message of another node.
fn answers(message: Message) -> Vec<Message> {
    let mut registry = registry();
    let peer = address(1, 7_660);
    let registers = vec![
        Register::Member(edge()),
        Register::Executor(executor()),
        Register::NodeMetadata(node_metadata()),
        Register::Member(member_in(MemberState::Dead)),
    ];
    registry.receive(NOW, peer, Message::Registers(registers));
    registry.take_output();
    registry.receive(NOW, peer, message);
    registry.take_output().messages.into_iter().map(|(_, message)| message).collect()
}

#[test]
fn all_versions_find_and_compare_registers_by_the_same_hashes() {
    // Given a peer whose buckets all differ, then all registers are listed with the hashes of their keys and contents.
    let listed = answers(Message::Buckets(vec![1; BUCKETS]));
    let pinned = "\
        09ffffffffffffffff0500734216c3f025882ff76aa64a0dff65afa91a41d75eb37659e73ef6dbd1beafd6ca47ed061b\
        331774e771c2c23e3edc7640b192a56dc12f906231d0d5c87160fa4b769844d861b8becba8d2f49685e876";
    let listed: Vec<String> = listed.iter().map(|message| hex(&message.encode())).collect();
    assert_eq!(listed, [pinned]);
}

#[test]
fn all_versions_sum_up_registers_in_the_same_digest() {
    // Given a peer whose digest differs, then the answer carries the combined hash of all live registers.
    let asked = Heartbeat {
        node: edge().id(),
        incarnation: edge().incarnation,
        status_version: edge().status_version,
        digest: 1,
        configuration_version: 0,
        answer: false,
    };
    let answered: Vec<String> =
        answers(Message::Heartbeat(asked)).iter().map(|message| hex(&message.encode())).collect();
    assert_eq!(
        answered,
        ["02ca47ed061b331774443322119001000005000000000000003c8d40a774fafe79000000000000000001"]
    );
}

#[test]
fn message_bounds_keep_their_values() {
    assert_eq!(MAX_MESSAGE, 16_384);
    assert_eq!(MAX_METADATA, 512);
}

/// Creates a node that knows four others, all of which accept heartbeats of executors. Each node forwards a relay to at
/// most two nodes.
fn node_among_others() -> Registry {
    let control = Some(address(3, 8_146));
    let own = Member { name: "edge-3".to_owned(), address: address(3, 7_660), control, ..edge() };
    let timings = Timings { fan_out: 2, ..Timings::default() };
    let settings = Settings { member: own, seeds: Vec::new(), timings, losses: Losses::default() };
    let mut registry = Registry::new(settings, 1, NOW);
    for number in 4..8 {
        let control = Some(address(number, 8_146));
        let other =
            Member { name: format!("edge-{number}"), address: address(number, 7_660), control, ..edge() };
        registry.receive(NOW, address(number, 7_660), Message::Join(other));
    }
    registry
}

#[test]
fn all_versions_relay_along_the_same_trees() {
    let registry = node_among_others();
    let trees: Vec<Vec<SocketAddrV4>> =
        (3..8).map(|number| registry.relay_children(&format!("edge-{number}"))).collect();
    assert_eq!(
        format!("{trees:?}"),
        "[[10.0.0.7:7660, 10.0.0.5:7660], [], [], [10.0.0.5:7660, 10.0.0.4:7660], []]"
    );
}

#[test]
fn all_versions_send_an_executor_to_the_same_node() {
    let mut registry = node_among_others();
    let mut target = |id: &str| {
        let body = br#"{"service":"s","address":"10.9.0.1:8080","zone":"z1","slot_count":8,"state":"up","call_seq":1}"#;
        let report = HeartbeatReport::parse(id, body).expect("a heartbeat");
        registry.heartbeat(NOW, report).heartbeat_target.map(|target| target.to_string())
    };
    let targets: Vec<String> = (1..=6).filter_map(|number| target(&format!("i-{number}"))).collect();
    assert_eq!(
        targets.join(" "),
        "10.0.0.4:8146 10.0.0.5:8146 10.0.0.5:8146 10.0.0.7:8146 10.0.0.3:8146 10.0.0.4:8146"
    );
}

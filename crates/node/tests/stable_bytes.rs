//! Bytes that earlier versions have written, and that this version must read and write unchanged: the datagrams between
//! nodes, and the replicated state of the voters.

use grebeusher_budgets::{self as budgets, Division, Entry, FleetBudget, FleetBudgets, Grant, Holder};
use grebeusher_dispatch::time::Duration;
use grebeusher_maintenance::{
    Command, ListView, MachineStatus, MachineView, MaintenanceState, Outcome, Permit, PermitRequest, Phase,
    Plan, PlanChange, PlanStatus, Stage, Step, WhenLost, ZoneView,
};
use grebeusher_membership::ExecutorObservation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::hash::Hasher;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{self, Child, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("the text is hexadecimal")).collect()
}

/// Asserts that the value is written as these bytes, and read from them.
fn assert_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, pinned: &str) {
    let encoded = hex(&postcard::to_allocvec(value).expect("the value is written"));
    assert_eq!(encoded, pinned, "{value:?}");
    assert_eq!(postcard::from_bytes::<T>(&bytes(pinned)).as_ref(), Ok(value));
}

const HOLDER: Holder = Holder { number: 7, generation: 1_700_000_000_007 };

fn budget_request() -> budgets::GrantRequest {
    budgets::GrantRequest {
        holder: HOLDER,
        budget: 0x8c1f_30d2_7a5b_e964,
        wanted_units: 300,
        adopted_grant: 41,
        kept_units: 5,
        spent: 6,
        spent_expiry_ms: 900,
        remaining_wait_ms: 800,
        request: 12,
    }
}

fn grant() -> Grant {
    Grant { holder: HOLDER, budget: 0x8c1f_30d2_7a5b_e964, request: 12, number: 42, units: 299, edition: 3 }
}

fn fleet_budgets() -> FleetBudgets {
    let budget = FleetBudget { units: 500, window_ms: 1500, floor: 2, nodes: 40 };
    FleetBudgets { edition: 3, of: vec![(0x8c1f_30d2_7a5b_e964, budget)] }
}

fn ask() -> PermitRequest {
    PermitRequest {
        holder: HOLDER,
        zone: "north".to_owned(),
        sequence: 13,
        socket_hash: 14,
        known_decision: 15,
        in_flight: vec![(16, 300)],
        closed: vec![17],
        is_drained: true,
        units: 1000,
        rejected: 18,
        wants_status: true,
    }
}

fn view() -> ListView {
    ListView {
        zones: vec![ZoneView { zone: "north".to_owned(), listed: 300, ready: 299 }],
        machines: vec![MachineView { machine: 16, ready: true, started_ms: 1_700_000_000_000 }],
    }
}

fn plan() -> Plan {
    let texts = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect::<Vec<String>>();
    Plan {
        name: "new kernel".to_owned(),
        machines: texts(&["s-0", "s-3"]),
        of_zones: texts(&["north"]),
        of_kinds: texts(&["plain"]),
        zones: texts(&["north", "south"]),
        nodes: vec![3, 4],
        most_nodes_out: 2,
        least_nodes: 30,
        most_nodes_out_a_zone: 5,
        most_out: 7,
        most_out_a_zone: 6,
        most_cold: Some(4),
        least_ready: 8,
        drain_within_s: 60,
        work_within_s: 3600,
        warm_s: 31,
        longest_unit_s: 32,
        when_lost: WhenLost::GoOn,
        goes_on: true,
        most_turned_back: 0.05,
        first: texts(&["s-3"]),
        without: vec![9],
    }
}

fn permit() -> Permit {
    let shown_machine = MachineStatus {
        name: "s-0".to_owned(),
        phase: Phase::Draining,
        for_s: 300,
        number: 43,
        why: "work".to_owned(),
    };
    let shown = PlanStatus {
        number: 44,
        plan: "new kernel".to_owned(),
        standing: "runs".to_owned(),
        why: "nothing".to_owned(),
        for_s: 301,
        machines: vec![shown_machine],
        answers: vec![(45, "yes".to_owned())],
    };
    Permit {
        holder: HOLDER,
        sequence: 13,
        number: 44,
        machines: Some(vec![(16, Stage::Waiting), (17, Stage::Next), (18, Stage::Closed)]),
        longest_unit_s: 32,
        plan_status: Some(shown),
    }
}

#[test]
fn the_messages_about_budgets_are_as_they_were() {
    assert_bytes(&HOLDER, "0787d095ffbc31");
    assert_bytes(&budget_request(), "0787d095ffbc31e4d2efd2a79acc8f8c01ac022905068407a0060c");
    assert_bytes(&grant(), "0787d095ffbc31e4d2efd2a79acc8f8c010c2aab0203");
    assert_bytes(&fleet_budgets(), "0301e4d2efd2a79acc8f8c01f403dc0b0228");
    assert_bytes(
        &Entry { elapsed_ms: 300, budgets: Some(fleet_budgets()), requests: vec![budget_request()] },
        "ac02010301e4d2efd2a79acc8f8c01f403dc0b0228010787d095ffbc31e4d2efd2a79acc8f8c01ac022905068407a0060c",
    );
    assert_bytes(&Entry::default(), "000000");
}

#[test]
fn the_budget_state_is_as_it_was() {
    let mut division = Division::new(Duration::from_millis(2000), true);
    division.raise_grant_number(40);
    assert_bytes(&division, "00d00f28d00f0000");
    division.apply(&Entry { budgets: Some(fleet_budgets()), ..Entry::default() });
    division.apply(&Entry { elapsed_ms: 5000, requests: vec![budget_request()], ..Entry::default() });
    let request = budgets::GrantRequest { request: 13, adopted_grant: 42, ..budget_request() };
    division.apply(&Entry { elapsed_ms: 5000, requests: vec![request], ..Entry::default() });
    assert_bytes(
        &division,
        "904ed00f2abb1b0301e4d2efd2a79acc8f8c01a403eb0b010787d095ffbc31012aac02e05d010787d095ffbc31ac02e05d00000000",
    );
}

#[test]
fn each_maintenance_step_is_as_it_was() {
    let commands = [
        (
            Command::Submit(Box::new(plan())),
            "000a6e6577206b65726e656c0203732d3003732d3301056e6f7274680105706c61696e02056e6f72746805736f757468020304021e0507060104083c901c1f2001019a9999999999a93f0103732d330109",
        ),
        (Command::Pause, "01"),
        (Command::Resume, "02"),
        (Command::Idle("s-0".to_owned(), 300), "0303732d30ac02"),
        (Command::Withdraw, "04"),
    ];
    for (command, pinned) in commands {
        // A new phase has to be added here as well.
        match command {
            Command::Submit(_) | Command::Pause | Command::Resume | Command::Idle(..) | Command::Withdraw => {
            }
        }
        assert_bytes(&command, pinned);
    }
    let steps = [
        (Step::PermitRequest(ask()), "000787d095ffbc31056e6f7274680d0e0f0110ac02011101e8071201"),
        (Step::View(view()), "0101056e6f727468ac02ab0201100180d095ffbc31"),
        (Step::Command(300, Command::Pause), "02ac0201"),
    ];
    for (step, pinned) in steps {
        match step {
            Step::PermitRequest(_) | Step::View(_) | Step::Command(..) => {}
        }
        assert_bytes(&step, pinned);
    }
    assert_bytes(&[WhenLost::Stop, WhenLost::GoOn], "0001");
}

#[test]
fn each_maintenance_outcome_is_as_it_was() {
    let moved = PlanChange { number: 44, what: "s-0 is out".to_owned() };
    let outcomes = [
        (
            Outcome::Permit(permit()),
            "000787d095ffbc310d2c010310001101120220012c0a6e6577206b65726e656c0472756e73076e6f7468696e67ad020103732d3002ac022b04776f726b012d03796573",
        ),
        (Outcome::PlanChange(moved), "012c0a732d30206973206f7574"),
    ];
    for (outcome, pinned) in outcomes {
        match outcome {
            Outcome::Permit(_) | Outcome::PlanChange(_) => {}
        }
        assert_bytes(&outcome, pinned);
    }
    let phases = [
        Phase::Waiting,
        Phase::Next,
        Phase::Draining,
        Phase::Quiet,
        Phase::Out,
        Phase::Back,
        Phase::Done,
        Phase::Left,
        Phase::Lost,
    ];
    for phase in phases {
        match phase {
            Phase::Waiting | Phase::Next | Phase::Draining | Phase::Quiet | Phase::Out => {}
            Phase::Back | Phase::Done | Phase::Left | Phase::Lost => {}
        }
    }
    assert_bytes(&phases, "000102030405060708");
    let names = phases.map(|phase| serde_json::to_value(phase).expect("the phase is JSON"));
    let known = ["waiting", "next", "draining", "quiet", "out", "back", "done", "left", "lost"];
    assert_eq!(names, known);
}

fn length(text: &str) -> u64 {
    text.len() as u64
}

#[test]
fn the_maintenance_state_is_as_it_was() {
    let mut maintenance = MaintenanceState::new(Duration::from_millis(10_000), 40, &[0, 1, 2]);
    assert_bytes(&maintenance, "00904e28030001020088270000000000000000000000");
    let named = Plan { of_zones: Vec::new(), of_kinds: Vec::new(), ..plan() };
    let steps = vec![
        Step::View(view()),
        Step::PermitRequest(ask()),
        Step::Command(300, Command::Submit(Box::new(named))),
    ];
    maintenance.apply(7000, steps, length);
    maintenance.apply(
        70_000,
        vec![
            Step::PermitRequest(PermitRequest { sequence: 14, ..ask() }),
            Step::Command(301, Command::Pause),
        ],
        length,
    );
    assert_bytes(
        &maintenance,
        "c8d904904e28030001021588270107010787d095ffbc310ed8a7050e000f0110ac0201e807120107056e6f72746801110001056e6f727468ac02ab0201100180d095ffbc3102d836e80712c8d904e80712e80712010a6e6577206b65726e656c0203732d3003732d33000002056e6f72746805736f757468020304021e0507060104083c901c1f2001019a9999999999a93f0103732d33010901d83601056e6f727468010403732d300003056e6f72746801d8361300010000000003732d33000305736f75746801d83612000100000000066e6f646520330103060001d83614000000000000066e6f646520340104060001d83615000000000000000002ac021d74616b656e3a206e6577206b65726e656c2c2034206d616368696e6573ad0206706175736564",
    );
}

const VERSION: u8 = 3;
const FLEET: &str = "lipa";
const SECRET: &str = "what only the nodes know";

/// The datagram around a body: version, kind, a tag that only nodes with the secret of the fleet can make, and the
/// body.
fn datagram(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut key = SipHasher24::new();
    key.write(SECRET.as_bytes());
    let mut tag = SipHasher24::new_with_key(&key.finish128().as_bytes());
    tag.write(&[VERSION, kind, FLEET.len() as u8]);
    tag.write(FLEET.as_bytes());
    tag.write(body);
    [&[VERSION, kind][..], &tag.finish128().as_bytes(), body].concat()
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("the value is written")
}

/// An address at which nobody listens.
const NOWHERE: &str = "127.0.0.1:9";

/// One datagram of each kind, as node 2 sends it to node 1: its name, the datagram, and the pinned bytes.
#[expect(clippy::too_many_lines, reason = "one sample for each kind of datagram")]
fn datagrams() -> Vec<(&'static str, Vec<u8>, &'static str)> {
    let unused_address: SocketAddr = NOWHERE.parse().expect("an address");
    let from = (7u32, unused_address);
    let group = (0x5a5a_5a5a_5a5a_5a00_u64 | 1, 0x77_u64);
    let observations =
        [(0x8c1f_30d2_7a5b_e964_u64, 1_700_000_003_000_u64, true), (7, 1_700_000_004_000, false)]
            .map(|(executor, at_ms, gone)| ExecutorObservation { executor, at_ms, gone });
    let moved = PlanChange { number: 44, what: "s-0 is out".to_owned() };
    // The membership message of a node that has just started.
    let join_message = bytes("0120010db80000000000000000000000078a3e0282d095ffbc3100000a0100018a3e000006");
    let estimates = (vec![(0.25_f32, 0.5_f32)], vec![("plain".to_owned(), (1.5_f32, 2.5_f32, 3.0_f32))]);
    vec![
        (
            "membership",
            datagram(1, &join_message),
            "03016b4f98be98a773d8865501893fd86a9e0120010db80000000000000000000000078a3e0282d095ffbc3100000a0100018a3e000006",
        ),
        (
            "a load message",
            datagram(2, &[0, 0, 0, 2, 1, 0xab, 0xcd, 3]),
            "030233468253393d57f7e9d5e55cb0aa38fb0000000201abcd03",
        ),
        (
            "a hello of a voter",
            datagram(3, &encoded(&(0u8, group.0, None::<u64>))),
            "0303cb66107dd24cb9d591920e4c7ade45eb0081b4e9d2a5cb96ad5a00",
        ),
        (
            "a hello of a voter in a group",
            datagram(3, &encoded(&(0u8, group.0, Some(group.1)))),
            "0303884ff20552768efbe62e52861b085cd80081b4e9d2a5cb96ad5a0177",
        ),
        (
            "a piece of a message of a voter",
            datagram(3, &encoded(&(1u8, group.0, group.1, 300u32, 1u16, 3u16, vec![1u8, 2, 3]))),
            "0303f1fd36d54c677b0916688f2ac9ba8be10181b4e9d2a5cb96ad5a77ac02010303010203",
        ),
        (
            "a command: a budget ask",
            datagram(4, &encoded(&(true, from, 0u8, budget_request()))),
            "030477419987687d6f3ec200e95c5bce76d20107007f00000109000787d095ffbc31e4d2efd2a79acc8f8c01ac022905068407a0060c",
        ),
        (
            "a command: budgets",
            datagram(4, &encoded(&(false, from, 1u8, fleet_budgets()))),
            "0304e0c23a3a3e63be397de5e04f01c8cfda0007007f00000109010301e4d2efd2a79acc8f8c01f403dc0b0228",
        ),
        (
            "a command: maintenance",
            datagram(4, &encoded(&(true, from, 2u8, Step::PermitRequest(ask())))),
            "0304b22b4cbfe6f0d2c921fe69290025f3610107007f0000010902000787d095ffbc31056e6f7274680d0e0f0110ac02011101e8071201",
        ),
        (
            "an outcome: a budget grant",
            datagram(5, &encoded(&(2u8, 0u8, grant()))),
            "0305cdd991b49954f7b599c17f0c91b55d1d02000787d095ffbc31e4d2efd2a79acc8f8c010c2aab0203",
        ),
        (
            "an outcome: a permit",
            datagram(5, &encoded(&(2u8, 1u8, permit()))),
            "0305ff26e1f7dce10093ad965d7507f46b4702010787d095ffbc310d2c010310001101120220012c0a6e6577206b65726e656c0472756e73076e6f7468696e67ad020103732d3002ac022b04776f726b012d03796573",
        ),
        (
            "an outcome: a decision of maintenance",
            datagram(5, &encoded(&(2u8, 2u8, moved))),
            "030524892e72e7611fe022640c499525ea5502022c0a732d30206973206f7574",
        ),
        ("a nudge", datagram(6, &[]), "03062035ee3b5458488b4db3561a88b71001"),
        (
            "missed observations",
            datagram(7, &encoded(&observations.to_vec())),
            "030745eb9953600834cadea769e58fe6509102e4d2efd2a79acc8f8c01b8e795ffbc310107a0ef95ffbc3100",
        ),
        (
            "an ask for missed observations",
            datagram(8, &encoded(&unused_address)),
            "0308f41f9ca78344cf2f7598e81a001e94be007f00000109",
        ),
        (
            "learned estimates",
            datagram(9, &encoded(&estimates)),
            "0309aabcc39e575e053af52d66f0f915b042010000803e0000003f0105706c61696e0000c03f0000204000004040",
        ),
    ]
}

#[test]
fn each_kind_of_datagram_is_written_as_it_was() {
    for (name, datagram, pinned) in datagrams() {
        assert_eq!(hex(&datagram), pinned, "{name}");
    }
}

/// A node on its own: number 1 of 3, in this fleet, with these voters.
struct Node {
    child: Child,
    http_address: String,
    datagrams: SocketAddr,
    folder: Folder,
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The address of the node for others, by its settings.
const KNOWN_AS: &str = "10.1.0.1:7946";

impl Node {
    fn start(voters: &str) -> Node {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("grebeusher-bytes-{}-{number}", process::id()));
        std::fs::create_dir(&folder).expect("a new folder");
        let folder = Folder(folder);
        let datagram_address = UdpSocket::bind("127.0.0.1:0")
            .and_then(|socket_hash| socket_hash.local_addr())
            .expect("a free port");
        let fleet = format!(
            "[fellows]\nfleet = {FLEET:?}\nsecret = {SECRET:?}\nport = {}\nknown_as = {KNOWN_AS:?}\n\
             contacts = [{NOWHERE:?}]\n[keepers]\nnodes = {voters}\n[maintenance]\n\
             [budgets]\nedition = 3\n[[budgets.of]]\ntariff = \"search\"\nunits = 500\nwindow_ms = 1500\nfloor = 2\n\
             nodes = 40\n",
            datagram_address.port()
        );
        let settings = json!({"fleet_size": 3, "me": 1, "zones": ["a"], "kinds": ["m"], "caps": {"peers": true},
            "contract": {"cold_share": 0.15, "warm_within_ns": 24e9, "overload_factor": 2.5, "fall_ns": 1e9},
            "tariffs": [{"name": "search", "effect": "read_like", "quoted_time_ns": 4e9, "patience_ns": 10e9}]});
        let config = json!({"listen": "127.0.0.1:0", "discovery": NOWHERE, "settings": settings});
        let (config_path, fleet_path) = (folder.0.join("posting.json"), folder.0.join("fleet.toml"));
        std::fs::write(&config_path, config.to_string()).expect("the value is written");
        std::fs::write(&fleet_path, fleet).expect("the value is written");
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_grebeusher"))
            .env("GW_CONFIG", &config_path)
            .env("GREBEUSHER_FLEET", &fleet_path)
            .env("TMPDIR", &folder.0)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log is a pipe"));
        let mut line = String::new();
        let http_address = loop {
            line.clear();
            assert_ne!(log.read_line(&mut line).expect("the log is text"), 0, "the node ended at once");
            if let Some((_, at)) = line.split_once("listens at ") {
                break at.split([' ', ';', ',', '\n']).next().unwrap_or_default().to_owned();
            }
        };
        // Further log lines are read and discarded. Guards against a node that blocks on a full pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Node { child, http_address, datagrams: datagram_address, folder }
    }

    fn counter(&self, name: &str) -> u64 {
        let mut stream = TcpStream::connect(&self.http_address).expect("the node listens");
        stream.write_all(b"GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n").expect("the node reads");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("the node answers");
        let value =
            text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.split(' ').next());
        value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    /// Writes newer budgets into the fleet file, and makes the node reload it.
    fn reload_newer_budgets(&self) {
        let file = self.folder.0.join("fleet.toml");
        let fleet = std::fs::read_to_string(&file).expect("the fleet file is read");
        std::fs::write(&file, fleet.replace("edition = 3", "edition = 4")).expect("the value is written");
        let status =
            process::Command::new("sh").args(["-c", &format!("kill -HUP {}", self.child.id())]).status();
        assert!(status.expect("a shell").success());
    }

    /// Waits until this many datagrams have arrived, and returns how many of them the node has rejected.
    fn bad_datagrams(&self, arrived: u64) -> u64 {
        let started = Instant::now();
        while self.counter("datagrams_came") < arrived {
            assert!(started.elapsed() < TIMEOUT, "datagrams got lost");
            std::thread::sleep(Duration::from_millis(5));
        }
        self.counter("datagrams_bad")
    }
}

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_node_reads_each_kind_of_datagram_as_it_was() {
    let node = Node::start("[0, 1, 2]");
    let socket_hash = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let send = |datagram: &[u8]| socket_hash.send_to(datagram, node.datagrams).expect("the datagram is sent");
    let mut sent = 0;
    for (name, _, pinned) in datagrams() {
        send(&bytes(pinned));
        sent += 1;
        assert_eq!(node.bad_datagrams(sent), 0, "{name}");
    }
    // Datagrams of another version or kind, truncated ones, and ones with a wrong tag are counted as bad.
    let mut invalid: Vec<Vec<u8>> = Vec::new();
    for (_, datagram, _) in datagrams() {
        invalid.push([&[VERSION + 1], &datagram[1..]].concat());
        invalid.push(datagram[..datagram.len().min(17)].to_vec());
    }
    invalid.push(datagram(10, &[]));
    invalid.push(datagram(4, &encoded(&(true, (7u32, node.datagrams), 3u8))));
    for (number, datagram) in invalid.iter().enumerate() {
        send(datagram);
        sent += 1;
        assert_eq!(node.bad_datagrams(sent), number as u64 + 1, "{}", hex(datagram));
    }
}

/// The bodies of datagrams that the node sends to node 0, by kind, until there is one of each wanted kind; of commands,
/// one of each variant.
fn received_from(node: &Node, expected: &[(u8, Option<u8>)]) -> BTreeMap<(u8, Option<u8>), Vec<u8>> {
    let socket_hash = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket_hash.set_read_timeout(Some(TIMEOUT)).expect("a timeout is set");
    let own = socket_hash.local_addr().expect("an address");
    let node_address: SocketAddr = KNOWN_AS.parse().expect("an address");
    // A membership message by which the node learns that node 0 is at this address.
    let join_message = (own, 0u32, 1_700_000_000_000_u64, 0u16, (node_address, 0u32, 0u64), 6u8);
    socket_hash.send_to(&datagram(1, &encoded(&join_message)), node.datagrams).expect("the datagram is sent");
    socket_hash.send_to(&datagram(8, &encoded(&own)), node.datagrams).expect("the datagram is sent");
    let mut received = BTreeMap::new();
    let mut buffer = [0; 2048];
    let started = Instant::now();
    while expected.iter().any(|expected| !received.contains_key(expected)) {
        assert!(started.elapsed() < TIMEOUT, "only these arrived: {:?}", received.keys());
        let (length, _) = socket_hash.recv_from(&mut buffer).expect("the node sends a datagram");
        let (kind, body) = (buffer[1], &buffer[18..length]);
        assert_eq!(hex(&buffer[..length]), hex(&datagram(kind, body)), "the tag is as it was");
        let variant = (kind == 4).then(|| {
            let step: (bool, (u32, SocketAddr), u8) =
                postcard::take_from_bytes(body).expect("the body is a command").0;
            step.2
        });
        received.entry((kind, variant)).or_insert_with(|| body.to_vec());
    }
    received
}

#[test]
fn a_node_writes_datagrams_as_it_did() {
    let node = Node::start("[0]");
    let node_address: SocketAddr = KNOWN_AS.parse().expect("an address");
    node.reload_newer_budgets();
    let expected = [(1, None), (2, None), (4, Some(1)), (4, Some(2)), (8, None), (9, None)];
    let received = received_from(&node, &expected);
    // The node's ask for observations, its learned estimates, and the budgets of its file with the hash that names
    // them.
    for (kind, pinned) in [
        ((8, None), "000a0100018a3e"),
        ((9, None), "0000"),
        ((4, Some(1)), "0101000a0100018a3e010401ddebf7c8ad89a59cfe01f403dc0b0228"),
    ] {
        assert_eq!(hex(&received[&kind]), pinned, "{kind:?}");
    }
    // A command that contains the time is read and written back.
    type MaintenanceMessage = (bool, (u32, SocketAddr), u8, Step);
    let body = &received[&(4, Some(2))];
    let step: MaintenanceMessage = postcard::from_bytes(body).expect("the body is a command");
    assert_eq!((hex(&encoded(&step)), step.0, step.1), (hex(body), true, (1, node_address)));
    assert!(matches!(step.3, Step::PermitRequest(ask) if ask.holder.number == 1 && ask.zone == "a"));
    assert_eq!(
        received[&(2, None)][..4],
        [0, 0, 0, 1],
        "a load message begins with the number of its sender"
    );
}

#[test]
fn a_voter_sends_its_hello_as_it_did() {
    let node = Node::start("[0, 1, 2]");
    let received = received_from(&node, &[(3, None)]);
    type Hello = (u8, u64, Option<u64>);
    let hello: Hello = postcard::from_bytes(&received[&(3, None)]).expect("the body is a hello");
    assert_eq!((hello.0, hello.1 & 0xff, hello.2), (0, 2, None), "index 2, in no group");
    assert_eq!(encoded(&hello), received[&(3, None)]);
}

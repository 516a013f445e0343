//! A tiny fake world on ephemeral loopback ports: discovery, executors and clients, each played by the story
//! itself, around one node that runs as it would in service.

use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const POSTING: &str = "posting.json";

/// Nothing in a story takes as long as this, unless it fails.
const FAR_TOO_LONG: Duration = Duration::from_secs(20);

pub fn settings() -> Value {
    json!({"fleet_size": 1, "registry_mode": "subscribe", "zones": ["a"], "kinds": ["m"],
        "caps": {"most_allocations": 3, "second_copies": false, "cancelling": true, "may_probe": false,
            "conn_idle_ns": 60e9, "dial_timeout_ns": 250e6},
        "contract": {"cold_share": 0.15, "warm_within_ns": 24e9, "overload_factor": 2.5, "fall_ns": 1e9},
        "family_info": {"tells_start": true, "progress_ns": 1e9, "report_x0": "free slots"},
        "report": {"via": "piggyback", "fields": ["load_share", "x0"]},
        "tariffs": [
            {"name": "search", "effect": "read_like", "quoted_time_ns": 4e9, "patience_ns": 10e9, "earnings": 5},
            {"name": "reserve", "effect": "non_idempotent", "quoted_time_ns": 4e9, "patience_ns": 5e9,
                "earnings": 8}]})
}

pub struct World {
    pub node: SocketAddr,
    /// Where its staff call, if the posting names a console.
    pub console: Option<SocketAddr>,
    /// Where Faktory clients and workers connect, if a file of fronts says so.
    pub faktory: Option<SocketAddr>,
    /// Where other balancers ask, if a file of fronts says so.
    pub agent: Option<SocketAddr>,
    pub health: Option<SocketAddr>,
    pub discovery: TcpListener,
    posting: Value,
    child: Child,
    folder: Rc<Folder>,
    /// The clients' socket, where the platform holds it.
    held: Option<TcpListener>,
}

/// A folder of the story's own, which goes when the last node that uses it is over.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("grebeusher-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).expect("a folder of the story's own");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The file of a node before these executors.
fn posting(executors: &[&TcpListener], discovery: &TcpListener, settings: Value, limits: Value) -> Value {
    let known: Vec<Value> = executors.iter().enumerate().map(|(i, l)| entry(i, l, "active")).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": address(discovery),
        "seed": "8c1f30d27a5be964", "limits": limits, "settings": settings,
        "known": {"generation": 41, "reset": true, "instances": known}})
}

/// The same with a console.
fn staffed_posting(executors: &[&TcpListener], discovery: &TcpListener) -> Value {
    let mut posting = posting(executors, discovery, settings(), json!({"sockets": 1024}));
    posting["console"] = json!("127.0.0.1:0");
    posting
}

impl World {
    pub fn around(executor: &TcpListener) -> World {
        World::with(&[executor], settings(), 1024, 1024)
    }

    /// `sockets` are promised to the node, `descriptors` are what it gets.
    pub fn with(executors: &[&TcpListener], settings: Value, sockets: usize, descriptors: usize) -> World {
        World::limited(executors, settings, json!({"sockets": sockets}), descriptors)
    }

    pub fn limited(executors: &[&TcpListener], settings: Value, limits: Value, descriptors: usize) -> World {
        World::posted(executors, settings, limits, descriptors, |posting| posting)
    }

    /// With a posting that was changed before the node starts.
    pub fn posted(
        executors: &[&TcpListener],
        settings: Value,
        limits: Value,
        descriptors: usize,
        change: impl FnOnce(Value) -> Value,
    ) -> World {
        let discovery = listener();
        let posting = change(posting(executors, &discovery, settings, limits));
        World::started(discovery, posting, Rc::new(Folder::new()), descriptors, None, None)
    }

    fn started(
        discovery: TcpListener,
        posting: Value,
        folder: Rc<Folder>,
        descriptors: usize,
        held: Option<TcpListener>,
        fronts: Option<&str>,
    ) -> World {
        let path = folder.0.join(POSTING);
        std::fs::write(&path, posting.to_string()).expect("the posting is written");
        let mut command = Command::new("sh");
        let limited = if let Some(held) = &held {
            let own = held.try_clone().expect("one more of it");
            command.stdin(Stdio::from(OwnedFd::from(own))).env("GW_INHERITED_FD", "4");
            format!("ulimit -n {descriptors}; exec 4<&0 0</dev/null; exec \"$0\"")
        } else {
            format!("ulimit -n {descriptors}; exec \"$0\"")
        };
        if let Some(fronts) = fronts {
            let path = folder.0.join("fronts.toml");
            std::fs::write(&path, fronts).expect("the file is written");
            command.env("GREBEUSHER_FRONTS", path);
        }
        let mut child = command
            .args(["-c", &limited, env!("CARGO_BIN_EXE_grebeusher")])
            .env("GW_CONFIG", &path)
            .env("TMPDIR", &folder.0)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log is a pipe"));
        let mut line = String::new();
        let (mut console, mut faktory, mut agent, mut health) = (None, None, None, None);
        let node = loop {
            line.clear();
            assert_ne!(log.read_line(&mut line).expect("the log is text"), 0, "the node ended at once");
            console = console.or_else(|| said_address(&line, "console at "));
            faktory = faktory.or_else(|| said_address(&line, "faktory at "));
            agent = agent.or_else(|| said_address(&line, "agent checks at "));
            health = health.or_else(|| said_address(&line, "health calls at "));
            if let Some(node) = said_address(&line, "listens at ") {
                break node;
            }
        };
        // What it says later is read and dropped, or it would wait for a reader.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        World { node, console, faktory, agent, health, discovery, posting, child, folder, held }
    }

    /// With a console.
    pub fn staffed(executors: &[&TcpListener]) -> World {
        World::posted(executors, settings(), json!({"sockets": 1024}), 1024, |mut posting| {
            posting["console"] = json!("127.0.0.1:0");
            posting
        })
    }

    /// With a console, and a socket for clients that the platform holds.
    pub fn held(executors: &[&TcpListener], folder: Folder) -> World {
        let (held, discovery) = (listener(), listener());
        let mut posting = staffed_posting(executors, &discovery);
        posting["listen"] = json!(address(&held));
        World::started(discovery, posting, Rc::new(folder), 1024, Some(held), None)
    }

    /// With a console and a Faktory front.
    pub fn fronted(executors: &[&TcpListener], further: &str) -> World {
        World::with_fronts(executors, &format!("[faktory]\nlisten = \"127.0.0.1:0\"\n{further}"))
    }

    /// With a console and what this file says.
    pub fn with_fronts(executors: &[&TcpListener], fronts: &str) -> World {
        let discovery = listener();
        let posting = staffed_posting(executors, &discovery);
        World::started(discovery, posting, Rc::new(Folder::new()), 1024, None, Some(fronts))
    }

    /// What an agent check is told.
    pub fn agent_says(&self) -> String {
        let stream = TcpStream::connect(self.agent.expect("it has an address for them")).expect("it listens");
        let mut balancer = Talk::over(stream);
        let said = balancer.line();
        assert!(balancer.is_closed());
        said
    }

    /// What a health call is answered.
    pub fn health_says(&self, method: &str) -> Message {
        let stream =
            TcpStream::connect(self.health.expect("it has an address for them")).expect("it listens");
        let mut balancer = Talk::over(stream);
        balancer.say(&format!("{method} /any/path HTTP/1.1\r\nHost: n\r\n\r\n"));
        balancer.hear()
    }

    /// Connects to the Faktory front, and hears the greeting.
    pub fn call_faktory(&self) -> Talk {
        greeted_at(self.faktory.expect("it has a front"))
    }

    /// A worker that is known by this name.
    pub fn worker(&self, wid: &str) -> Talk {
        worker_at(self.faktory.expect("it has a front"), wid)
    }

    /// A client that pushes a job and waits.
    pub fn push(&self, jid: &str, queue: &str, further: &str) -> Talk {
        let mut client = self.call_faktory();
        assert_eq!(client.ask_line("HELLO {\"v\":2}"), "+OK");
        client.say(&format!(
            "PUSH {{\"jid\":\"{jid}\",\"jobtype\":\"import\",\"queue\":\"{queue}\",\"args\":[1]{further}}}\r\n"
        ));
        client
    }

    /// Starts a node with a job log in this folder, listening on `address` if one is given, so that a node that was
    /// killed can be started again.
    pub fn with_job_log(executors: &[&TcpListener], job_log: &Folder, address: Option<SocketAddr>) -> World {
        let discovery = listener();
        let mut settings = settings();
        settings["family_info"]["progress_ns"] = json!(200e6);
        let mut posting = posting(executors, &discovery, settings, json!({"sockets": 1024}));
        if let Some(address) = address {
            posting["listen"] = json!(address.to_string());
        }
        let fronts = format!("[ledger]\nfolder = \"{}\"\n", job_log.0.join("jobs").display());
        World::started(discovery, posting, Rc::new(Folder::new()), 1024, None, Some(&fronts))
    }

    /// Submits a durable job and returns the HTTP status.
    pub fn submit_durable(&self, id: &str, tariff: &str, patience_ms: u64) -> u16 {
        let mut client = self.call();
        client.say(&unit(id, tariff, patience_ms).replacen("POST /", "POST /durable/", 1));
        client.hear().status()
    }

    /// Asks for the result of a durable job; the status is 202 as long as there is none.
    pub fn durable_result(&self, id: &str) -> Message {
        let mut anyone = self.call();
        anyone.say(&format!("GET /durable/{id} HTTP/1.1\r\n\r\n"));
        anyone.hear()
    }

    /// Waits for the result of a durable job.
    pub fn wait_for_durable_result(&self, id: &str) -> Message {
        let started = Instant::now();
        loop {
            let message = self.durable_result(id);
            if message.status() != 202 {
                return message;
            }
            assert!(started.elapsed() < FAR_TOO_LONG, "{id} has no result");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// One more process of the same node, beside this one.
    pub fn beside(&self) -> World {
        let discovery = self.discovery.try_clone().expect("one more of it");
        let held = self.held.as_ref().map(|held| held.try_clone().expect("one more of it"));
        World::started(discovery, self.posting.clone(), self.folder.clone(), 1024, held, None)
    }

    /// Waits until the console says that the process is ready.
    pub fn becomes_ready(&self) {
        let started = Instant::now();
        while self.ask("GET /healthcheck").status() != 200 {
            assert!(started.elapsed() < FAR_TOO_LONG, "it is never ready");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills the process, as a machine that has no memory left does.
    pub fn kill(mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ends");
    }

    pub fn call(&self) -> Talk {
        Talk::over(TcpStream::connect(self.node).expect("the node listens"))
    }

    pub fn call_console(&self) -> Talk {
        Talk::over(TcpStream::connect(self.console.expect("it has a console")).expect("it listens"))
    }

    /// The answer to one call of the staff, after which the connection is closed.
    pub fn ask(&self, call: &str) -> Message {
        let mut staff = self.call_console();
        staff.say(&format!("{call} HTTP/1.1\r\n\r\n"));
        let answer = staff.hear();
        assert!(staff.is_closed());
        answer
    }

    /// What `GET /ready` says to the front.
    pub fn is_ready(&self) -> bool {
        let mut front = self.call();
        front.say("GET /ready HTTP/1.1\r\n\r\n");
        front.hear().status() == 200
    }

    /// A client hands in one unit and waits.
    pub fn bring(&self, id: &str, tariff: &str, patience_ms: u64) -> Talk {
        let mut client = self.call();
        client.say(&unit(id, tariff, patience_ms));
        client
    }

    /// Calls back as the executor `s-0` does, and tells the status of the answer.
    pub fn call_back(&self, id: &str, what: Value) -> u16 {
        self.call().call_back(id, what)
    }

    /// The value of one counter.
    pub fn counter(&self, name: &str) -> u64 {
        let mut anyone = self.call();
        anyone.say("GET /counters HTTP/1.1\r\n\r\n");
        let text = anyone.hear().body;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let value = lines.find_map(|rest| rest.split(' ').next()?.parse().ok());
        value.unwrap_or_else(|| panic!("no counter {name} in {text}"))
    }

    /// Tells the node by a signal.
    pub fn tell(&self, signal: &str) {
        let told = Command::new("sh").args(["-c", &format!("kill -{signal} {}", self.child.id())]).status();
        assert!(told.expect("a shell").success());
    }

    /// Replaces the file of the posting by one that names another discovery, and tells the node so.
    pub fn move_discovery(&self, to: &TcpListener) {
        let mut posting = self.posting.clone();
        posting["discovery"] = json!(address(to));
        self.replace_posting(&posting.to_string());
    }

    /// Replaces the file by one that differs in one key, which stands at this place.
    pub fn change_posting(&self, place: &str, value: Value) {
        let mut posting = self.posting.clone();
        *posting.pointer_mut(place).expect("a key of the posting") = value;
        self.replace_posting(&posting.to_string());
    }

    /// Waits until a counter stands there.
    pub fn counts(&self, name: &str, wanted: u64) {
        let started = Instant::now();
        while self.counter(name) != wanted {
            assert!(started.elapsed() < FAR_TOO_LONG, "{name} is {}", self.counter(name));
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn replace_posting(&self, text: &str) {
        std::fs::write(self.folder.0.join(POSTING), text).expect("the posting is written");
        self.tell("HUP");
    }

    pub fn posting_file(&self) -> PathBuf {
        self.folder.0.join(POSTING)
    }

    /// What becomes of another node that is started with the file as it stands, which must end by itself.
    pub fn start_another(&self) -> (ExitStatus, String) {
        self.start_another_by(|_| {})
    }

    /// The same with a file of fronts.
    pub fn start_another_with(&self, fronts: &Path) -> (ExitStatus, String) {
        self.start_another_by(|command| {
            command.env("GREBEUSHER_FRONTS", fronts);
        })
    }

    /// The same with a clock that is off.
    pub fn start_another_off(&self, off: &str) -> (ExitStatus, String) {
        self.start_another_by(|command| {
            command.env("GREBEUSHER_CLOCK", off);
        })
    }

    fn start_another_by(&self, change: impl FnOnce(&mut Command)) -> (ExitStatus, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_grebeusher"));
        change(command.env("GW_CONFIG", self.posting_file()));
        let output = command.output().expect("it starts");
        (output.status, String::from_utf8_lossy(&output.stderr).into_owned())
    }

    pub fn end(mut self) -> ExitStatus {
        self.child.wait().expect("the node ends")
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // Already gone where the story ended it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn greeted_at(front: SocketAddr) -> Talk {
    let mut peer = Talk::over(TcpStream::connect(front).expect("it listens"));
    assert!(peer.line().starts_with("+HI "));
    peer
}

pub fn worker_at(front: SocketAddr, wid: &str) -> Talk {
    let mut worker = greeted_at(front);
    assert_eq!(worker.ask_line(&format!("HELLO {{\"wid\":\"{wid}\",\"v\":2}}")), "+OK");
    worker
}

fn said_address(line: &str, before: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(before)?;
    rest.split([' ', ';', ',', '\n']).next()?.parse().ok()
}

pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    // Guards against a story that waits for ever for a node that has ended.
    SockRef::from(&listener).set_read_timeout(Some(FAR_TOO_LONG)).expect("a time-out");
    listener
}

/// A port that is taken, and refuses: one that was let go could be another story's by now.
pub fn refusing() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.into()
}

/// One whose queue of connections is full: who dials it is not let in before those that fill it are taken out, which
/// dropping them does.
pub fn full() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(0).expect("it listens");
    let listener: TcpListener = socket.into();
    SockRef::from(&listener).set_read_timeout(Some(FAR_TOO_LONG)).expect("a time-out");
    let at = listener.local_addr().expect("an address");
    // One fits into the queue; of the next the system drops the first word, and it is said again a second later.
    let fill = vec![TcpStream::connect(at).expect("room for one")];
    (listener, fill)
}

/// The first that dials who is not one of those that filled the queue.
pub fn accept_told(listener: &TcpListener) -> Talk {
    drop(listener.accept().expect("who filled it"));
    accept(listener)
}

pub fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

pub fn accept(listener: &TcpListener) -> Talk {
    Talk::over(listener.accept().expect("somebody connects").0)
}

/// The first connection to any of these, and to which.
pub fn accept_any(listeners: &[&TcpListener]) -> (usize, Talk) {
    let started = Instant::now();
    listeners.iter().for_each(|l| l.set_nonblocking(true).expect("a mode"));
    loop {
        for (place, listener) in listeners.iter().enumerate() {
            if let Ok((stream, _)) = listener.accept() {
                return (place, Talk::over(stream));
            }
        }
        assert!(started.elapsed() < FAR_TOO_LONG, "nobody connects");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn entry(number: usize, listens: &TcpListener, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": address(listens), "zone": "a", "machineType": "m",
        "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn unit(id: &str, tariff: &str, patience_ms: u64) -> String {
    format!(
        "POST /{tariff} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {tariff}\r\nX-Call-Cost: 500000\r\n\
         X-Budget-Ms: {patience_ms}\r\nContent-Length: 4\r\n\r\nwork"
    )
}

/// One connection, from either end.
pub struct Talk {
    stream: BufReader<TcpStream>,
}

pub struct Message {
    pub start: String,
    pub headers: Vec<String>,
    pub body: String,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|h| h.strip_prefix(name)?.strip_prefix(": "))
    }
}

impl Talk {
    pub fn over(stream: TcpStream) -> Talk {
        stream.set_read_timeout(Some(FAR_TOO_LONG)).expect("a time-out");
        Talk { stream: BufReader::new(stream) }
    }

    pub fn say(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("the other side listens");
    }

    /// The same where the other side may have gone.
    pub fn try_say(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    pub fn post(&mut self, path: &str, body: &str) {
        self.say(&format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Calls back on this connection.
    pub fn call_back(&mut self, id: &str, what: Value) -> u16 {
        let mut body = json!({"id": id, "from": "s-0"});
        body.as_object_mut().expect("an object").extend(what.as_object().expect("an object").clone());
        self.post("/v1/job-events", &body.to_string());
        self.hear().status()
    }

    pub fn answer(&mut self, status: u16, headers: &str) {
        self.say(&format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n{headers}\r\n"));
    }

    /// The next message; its start is empty if the other side has closed.
    pub fn hear(&mut self) -> Message {
        let mut message = Message { start: self.line(), headers: Vec::new(), body: String::new() };
        loop {
            let line = self.line();
            if line.is_empty() {
                break;
            }
            message.headers.push(line);
        }
        let length = message.header("Content-Length").map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).expect("a whole body");
        message.body = String::from_utf8(body).expect("text");
        message
    }

    /// One line said, and the one heard for it.
    pub fn ask_line(&mut self, line: &str) -> String {
        self.say(&format!("{line}\r\n"));
        self.line()
    }

    /// What a fetch is answered: a job, or nothing.
    pub fn hear_bulk(&mut self) -> Option<Value> {
        let length: i64 = self.line().strip_prefix('$').and_then(|n| n.parse().ok()).expect("a length");
        if length < 0 {
            return None;
        }
        let body = self.line();
        assert_eq!(body.len() as i64, length);
        Some(serde_json::from_str(&body).expect("JSON"))
    }

    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).expect("a line in time");
        line.trim_end().to_owned()
    }

    /// Closed in order, with no reset.
    pub fn is_ended(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    pub fn is_closed(&mut self) -> bool {
        // A reset is as closed as an end; silence is not.
        match self.stream.read(&mut [0]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

//! The environment of a node under test, on ephemeral loopback ports: the test itself acts as discovery, executors and
//! clients, around a node that runs as in production.

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

const CONFIG_FILE: &str = "posting.json";

/// The timeout of everything in a test; only a failure takes this long.
const TIMEOUT: Duration = Duration::from_secs(20);

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
    /// The console's address, if the settings file has a console.
    pub console: Option<SocketAddr>,
    /// The address of the Faktory frontend, if the frontend file has one.
    pub faktory: Option<SocketAddr>,
    /// The addresses of the health checks, if the frontend file has them.
    pub agent: Option<SocketAddr>,
    pub health: Option<SocketAddr>,
    pub discovery: TcpListener,
    config: Value,
    child: Child,
    folder: Rc<Folder>,
    /// The clients' listening socket, where the node inherits it.
    inherited_listener: Option<TcpListener>,
}

/// A temporary folder, which is removed when the last node that uses it has ended.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("grebeusher-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).expect("a new folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The settings file of a node with these executors.
fn config(executors: &[&TcpListener], discovery: &TcpListener, settings: Value, limits: Value) -> Value {
    let known: Vec<Value> = executors.iter().enumerate().map(|(i, l)| list_entry(i, l, "active")).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": address(discovery),
        "seed": "8c1f30d27a5be964", "limits": limits, "settings": settings,
        "known": {"generation": 41, "reset": true, "instances": known}})
}

/// The same with a console.
fn config_with_console(executors: &[&TcpListener], discovery: &TcpListener) -> Value {
    let mut config = config(executors, discovery, settings(), json!({"sockets": 1024}));
    config["console"] = json!("127.0.0.1:0");
    config
}

impl World {
    pub fn with_executor(executor: &TcpListener) -> World {
        World::with_settings(&[executor], settings(), 1024, 1024)
    }

    /// Starts a node with `sockets` in its settings, under a system limit of `descriptors`.
    pub fn with_settings(
        executors: &[&TcpListener],
        settings: Value,
        sockets: usize,
        descriptors: usize,
    ) -> World {
        World::with_limits(executors, settings, json!({"sockets": sockets}), descriptors)
    }

    pub fn with_limits(
        executors: &[&TcpListener],
        settings: Value,
        limits: Value,
        descriptors: usize,
    ) -> World {
        World::with_changed_config(executors, settings, limits, descriptors, |config| config)
    }

    /// Starts a node with a settings file that is changed by `change`.
    pub fn with_changed_config(
        executors: &[&TcpListener],
        settings: Value,
        limits: Value,
        descriptors: usize,
        change: impl FnOnce(Value) -> Value,
    ) -> World {
        let discovery = listener();
        let config = change(config(executors, &discovery, settings, limits));
        World::start(discovery, config, Rc::new(Folder::new()), descriptors, None, None)
    }

    fn start(
        discovery: TcpListener,
        config: Value,
        folder: Rc<Folder>,
        descriptors: usize,
        inherited_listener: Option<TcpListener>,
        frontends: Option<&str>,
    ) -> World {
        let path = folder.0.join(CONFIG_FILE);
        std::fs::write(&path, config.to_string()).expect("the settings file is written");
        let mut command = Command::new("sh");
        let script = if let Some(inherited_listener) = &inherited_listener {
            let own = inherited_listener.try_clone().expect("the socket is cloned");
            command.stdin(Stdio::from(OwnedFd::from(own))).env("GW_INHERITED_FD", "4");
            format!("ulimit -n {descriptors}; exec 4<&0 0</dev/null; exec \"$0\"")
        } else {
            format!("ulimit -n {descriptors}; exec \"$0\"")
        };
        if let Some(frontends) = frontends {
            let path = folder.0.join("fronts.toml");
            std::fs::write(&path, frontends).expect("the frontend file is written");
            command.env("GREBEUSHER_FRONTS", path);
        }
        let mut child = command
            .args(["-c", &script, env!("CARGO_BIN_EXE_grebeusher")])
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
            console = console.or_else(|| logged_address(&line, "console at "));
            faktory = faktory.or_else(|| logged_address(&line, "faktory at "));
            agent = agent.or_else(|| logged_address(&line, "agent checks at "));
            health = health.or_else(|| logged_address(&line, "health calls at "));
            if let Some(node) = logged_address(&line, "listens at ") {
                break node;
            }
        };
        // Further log lines are read and discarded. Guards against a node that blocks on a full pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        World { node, console, faktory, agent, health, discovery, config, child, folder, inherited_listener }
    }

    /// Starts a node with a console.
    pub fn with_console(executors: &[&TcpListener]) -> World {
        World::with_changed_config(executors, settings(), json!({"sockets": 1024}), 1024, |mut config| {
            config["console"] = json!("127.0.0.1:0");
            config
        })
    }

    /// Starts a node with a console that inherits its listening socket.
    pub fn with_inherited_listener(executors: &[&TcpListener], folder: Folder) -> World {
        let (inherited_listener, discovery) = (listener(), listener());
        let mut config = config_with_console(executors, &discovery);
        config["listen"] = json!(address(&inherited_listener));
        World::start(discovery, config, Rc::new(folder), 1024, Some(inherited_listener), None)
    }

    /// Starts a node with a console and a Faktory frontend.
    pub fn with_faktory(executors: &[&TcpListener], extra_fields: &str) -> World {
        World::with_frontends(executors, &format!("[faktory]\nlisten = \"127.0.0.1:0\"\n{extra_fields}"))
    }

    /// Starts a node with a console and this frontend file.
    pub fn with_frontends(executors: &[&TcpListener], frontends: &str) -> World {
        let discovery = listener();
        let config = config_with_console(executors, &discovery);
        World::start(discovery, config, Rc::new(Folder::new()), 1024, None, Some(frontends))
    }

    /// The response to an agent check.
    pub fn agent_check(&self) -> String {
        let stream = TcpStream::connect(self.agent.expect("the node has this health check"))
            .expect("the listener is open");
        let mut balancer = TestConnection::from_stream(stream);
        let verdict = balancer.read_line();
        assert!(balancer.is_closed());
        verdict
    }

    /// The response to an HTTP health check.
    pub fn health_check(&self, method: &str) -> Message {
        let stream = TcpStream::connect(self.health.expect("the node has this health check"))
            .expect("the listener is open");
        let mut balancer = TestConnection::from_stream(stream);
        balancer.send(&format!("{method} /any/path HTTP/1.1\r\nHost: n\r\n\r\n"));
        balancer.receive()
    }

    /// Connects to the Faktory frontend, and reads the greeting.
    pub fn connect_faktory(&self) -> TestConnection {
        connect_greeted(self.faktory.expect("the node has a Faktory frontend"))
    }

    /// Connects a Faktory worker with this ID.
    pub fn worker(&self, wid: &str) -> TestConnection {
        connect_worker(self.faktory.expect("the node has a Faktory frontend"), wid)
    }

    /// Pushes a job from a new client, which waits for the answer.
    pub fn push(&self, jid: &str, queue: &str, extra_fields: &str) -> TestConnection {
        let mut client = self.connect_faktory();
        assert_eq!(client.exchange_line("HELLO {\"v\":2}"), "+OK");
        client.send(&format!(
            "PUSH {{\"jid\":\"{jid}\",\"jobtype\":\"import\",\"queue\":\"{queue}\",\"args\":[1]{extra_fields}}}\r\n"
        ));
        client
    }

    /// Starts a node with a job log in this folder, listening on `address` if one is given, so that a node that was
    /// killed can be started again.
    pub fn with_job_log(executors: &[&TcpListener], job_log: &Folder, address: Option<SocketAddr>) -> World {
        let discovery = listener();
        let mut settings = settings();
        settings["family_info"]["progress_ns"] = json!(200e6);
        let mut config = config(executors, &discovery, settings, json!({"sockets": 1024}));
        if let Some(address) = address {
            config["listen"] = json!(address.to_string());
        }
        let frontends = format!("[ledger]\nfolder = \"{}\"\n", job_log.0.join("jobs").display());
        World::start(discovery, config, Rc::new(Folder::new()), 1024, None, Some(&frontends))
    }

    /// Submits a durable job and returns the HTTP status.
    pub fn submit_durable(&self, id: &str, class: &str, patience_ms: u64) -> u16 {
        let mut client = self.connect();
        client.send(&request_text(id, class, patience_ms).replacen("POST /", "POST /durable/", 1));
        client.receive().status()
    }

    /// Asks for the result of a durable job; the status is 202 as long as there is none.
    pub fn durable_result(&self, id: &str) -> Message {
        let mut client = self.connect();
        client.send(&format!("GET /durable/{id} HTTP/1.1\r\n\r\n"));
        client.receive()
    }

    /// Waits for the result of a durable job.
    pub fn wait_for_durable_result(&self, id: &str) -> Message {
        let started = Instant::now();
        loop {
            let message = self.durable_result(id);
            if message.status() != 202 {
                return message;
            }
            assert!(started.elapsed() < TIMEOUT, "{id} has no result");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts another process of the same node beside this one.
    pub fn start_sibling(&self) -> World {
        let discovery = self.discovery.try_clone().expect("the socket is cloned");
        let inherited_listener = self
            .inherited_listener
            .as_ref()
            .map(|inherited_listener| inherited_listener.try_clone().expect("the socket is cloned"));
        World::start(discovery, self.config.clone(), self.folder.clone(), 1024, inherited_listener, None)
    }

    /// Waits until the console says that the process is ready.
    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while self.ask_console("GET /healthcheck").status() != 200 {
            assert!(started.elapsed() < TIMEOUT, "the node does not become ready");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills the process, as the system does when memory runs out.
    pub fn kill(mut self) {
        self.child.kill().expect("the node runs");
        self.child.wait().expect("the node ends");
    }

    pub fn connect(&self) -> TestConnection {
        TestConnection::from_stream(TcpStream::connect(self.node).expect("the node listens"))
    }

    pub fn connect_console(&self) -> TestConnection {
        TestConnection::from_stream(
            TcpStream::connect(self.console.expect("the node has a console")).expect("the listener is open"),
        )
    }

    /// The response to one request at the console, which closes the connection after it.
    pub fn ask_console(&self, call: &str) -> Message {
        let mut operator = self.connect_console();
        operator.send(&format!("{call} HTTP/1.1\r\n\r\n"));
        let answer = operator.receive();
        assert!(operator.is_closed());
        answer
    }

    /// Whether `GET /ready` answers 200.
    pub fn is_ready(&self) -> bool {
        let mut balancer = self.connect();
        balancer.send("GET /ready HTTP/1.1\r\n\r\n");
        balancer.receive().status() == 200
    }

    /// Submits a request from a new client, which waits for the response.
    pub fn submit(&self, id: &str, class: &str, patience_ms: u64) -> TestConnection {
        let mut client = self.connect();
        client.send(&request_text(id, class, patience_ms));
        client
    }

    /// Sends a callback of the executor `s-0`, and returns the status of the response.
    pub fn send_callback(&self, id: &str, fields: Value) -> u16 {
        self.connect().send_callback(id, fields)
    }

    /// The value of one counter.
    pub fn counter(&self, name: &str) -> u64 {
        let mut client = self.connect();
        client.send("GET /counters HTTP/1.1\r\n\r\n");
        let text = client.receive().body;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let value = lines.find_map(|rest| rest.split(' ').next()?.parse().ok());
        value.unwrap_or_else(|| panic!("no counter {name} in {text}"))
    }

    /// Sends the node a signal.
    pub fn signal(&self, signal: &str) {
        let confirmed_watch =
            Command::new("sh").args(["-c", &format!("kill -{signal} {}", self.child.id())]).status();
        assert!(confirmed_watch.expect("a shell").success());
    }

    /// Replaces the address of discovery in the settings file, and makes the node reload it.
    pub fn move_discovery(&self, to: &TcpListener) {
        let mut config = self.config.clone();
        config["discovery"] = json!(address(to));
        self.replace_config(&config.to_string());
    }

    /// Changes the value at this JSON pointer in the settings file, and makes the node reload it.
    pub fn change_config(&self, pointer: &str, value: Value) {
        let mut config = self.config.clone();
        *config.pointer_mut(pointer).expect("a key of the settings file") = value;
        self.replace_config(&config.to_string());
    }

    /// Waits until a counter has this value.
    pub fn wait_for_counter(&self, name: &str, expected: u64) {
        let started = Instant::now();
        while self.counter(name) != expected {
            assert!(started.elapsed() < TIMEOUT, "{name} is {}", self.counter(name));
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn replace_config(&self, text: &str) {
        std::fs::write(self.folder.0.join(CONFIG_FILE), text).expect("the settings file is written");
        self.signal("HUP");
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.0.join(CONFIG_FILE)
    }

    /// Starts another node with the current settings file, which has to end by itself; returns its exit status and its
    /// log.
    pub fn start_another(&self) -> (ExitStatus, String) {
        self.start_another_by(|_| {})
    }

    /// The same with a frontend file.
    pub fn start_another_with(&self, frontends: &Path) -> (ExitStatus, String) {
        self.start_another_by(|command| {
            command.env("GREBEUSHER_FRONTS", frontends);
        })
    }

    /// The same with a wrong clock.
    pub fn start_another_with_clock(&self, offset: &str) -> (ExitStatus, String) {
        self.start_another_by(|command| {
            command.env("GREBEUSHER_CLOCK", offset);
        })
    }

    fn start_another_by(&self, change: impl FnOnce(&mut Command)) -> (ExitStatus, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_grebeusher"));
        change(command.env("GW_CONFIG", self.config_path()));
        let output = command.output().expect("the node starts");
        (output.status, String::from_utf8_lossy(&output.stderr).into_owned())
    }

    pub fn wait_for_exit(mut self) -> ExitStatus {
        self.child.wait().expect("the node ends")
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // The process has already ended if the test has ended it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn connect_greeted(address: SocketAddr) -> TestConnection {
    let mut peer = TestConnection::from_stream(TcpStream::connect(address).expect("the listener is open"));
    assert!(peer.read_line().starts_with("+HI "));
    peer
}

pub fn connect_worker(address: SocketAddr, wid: &str) -> TestConnection {
    let mut worker = connect_greeted(address);
    assert_eq!(worker.exchange_line(&format!("HELLO {{\"wid\":\"{wid}\",\"v\":2}}")), "+OK");
    worker
}

fn logged_address(line: &str, before: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(before)?;
    rest.split([' ', ';', ',', '\n']).next()?.parse().ok()
}

pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    // Guards against a test that waits for ever for a node that has ended.
    SockRef::from(&listener).set_read_timeout(Some(TIMEOUT)).expect("a timeout is set");
    listener
}

/// A bound port that refuses connections. It stays bound, as a released port could be taken by another test.
pub fn refusing_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.into()
}

/// A listener whose queue of connections is full: a new connection is established only once the connections that fill
/// the queue are accepted or dropped.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(0).expect("the listener is open");
    let listener: TcpListener = socket.into();
    SockRef::from(&listener).set_read_timeout(Some(TIMEOUT)).expect("a timeout is set");
    let address = listener.local_addr().expect("the listener has an address");
    // One connection fits into the queue; of the next the system drops the first SYN, which is sent again a second
    // later.
    let fillers = vec![TcpStream::connect(address).expect("the queue holds one connection")];
    (listener, fillers)
}

/// Accepts the connection that fills the queue, and returns the next one.
pub fn accept_after_filler(listener: &TcpListener) -> TestConnection {
    drop(listener.accept().expect("the connection that fills the queue"));
    accept(listener)
}

pub fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

pub fn accept(listener: &TcpListener) -> TestConnection {
    TestConnection::from_stream(listener.accept().expect("a connection arrives").0)
}

/// The first connection to any of these listeners, with the index of the listener.
pub fn accept_any(listeners: &[&TcpListener]) -> (usize, TestConnection) {
    let started = Instant::now();
    listeners.iter().for_each(|l| l.set_nonblocking(true).expect("a mode"));
    loop {
        for (index, listener) in listeners.iter().enumerate() {
            if let Ok((stream, _)) = listener.accept() {
                return (index, TestConnection::from_stream(stream));
            }
        }
        assert!(started.elapsed() < TIMEOUT, "no connection arrives");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn list_entry(number: usize, executor_listener: &TcpListener, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": address(executor_listener), "zone": "a", "machineType": "m",
        "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn request_text(id: &str, class: &str, patience_ms: u64) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Call-Cost: 500000\r\n\
         X-Budget-Ms: {patience_ms}\r\nContent-Length: 4\r\n\r\nwork"
    )
}

/// One end of a connection.
pub struct TestConnection {
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

impl TestConnection {
    pub fn from_stream(stream: TcpStream) -> TestConnection {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout is set");
        TestConnection { stream: BufReader::new(stream) }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("the other side reads");
    }

    /// Sends, where the other side may have closed the connection.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    pub fn post(&mut self, path: &str, body: &str) {
        self.send(&format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Sends a callback on this connection.
    pub fn send_callback(&mut self, id: &str, fields: Value) -> u16 {
        let mut body = json!({"id": id, "from": "s-0"});
        body.as_object_mut().expect("an object").extend(fields.as_object().expect("an object").clone());
        self.post("/v1/job-events", &body.to_string());
        self.receive().status()
    }

    pub fn answer(&mut self, status: u16, headers: &str) {
        self.send(&format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n{headers}\r\n"));
    }

    /// Reads the next message; its start is empty if the other side has closed the connection.
    pub fn receive(&mut self) -> Message {
        let mut message = Message { start: self.read_line(), headers: Vec::new(), body: String::new() };
        loop {
            let line = self.read_line();
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

    /// Sends a line, and reads the line that answers it.
    pub fn exchange_line(&mut self, line: &str) -> String {
        self.send(&format!("{line}\r\n"));
        self.read_line()
    }

    /// Reads the answer to a fetch: a job, or nothing.
    pub fn receive_bulk(&mut self) -> Option<Value> {
        let length: i64 = self.read_line().strip_prefix('$').and_then(|n| n.parse().ok()).expect("a length");
        if length < 0 {
            return None;
        }
        let body = self.read_line();
        assert_eq!(body.len() as i64, length);
        Some(serde_json::from_str(&body).expect("JSON"))
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).expect("a line in time");
        line.trim_end().to_owned()
    }

    /// Whether the other side has closed the connection in order, without a reset.
    pub fn is_ended(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    pub fn is_closed(&mut self) -> bool {
        // A reset counts as closed, silence does not.
        match self.stream.read(&mut [0]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

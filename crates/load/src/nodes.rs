//! The nodes: real processes, started with a file of their own and ended with the run.

use crate::floor::Floor;
use grebeusher_dispatch::time::Moment;
use grebeusher_emulator::scenario::Scenario;
use grebeusher_emulator::stage::START;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub struct Node {
    pub place: usize,
    pub address: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    process: Mutex<Option<Child>>,
    /// Counts its lives; odd while it is down.
    lives: AtomicU32,
}

impl Node {
    /// A port that is free now. The node binds it a moment later; a run in which somebody else was quicker ends with
    /// the node's own word on that.
    pub fn new(place: usize, program: &Path, folder: &TempDir) -> io::Result<Node> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let (program, folder) = (program.to_owned(), folder.path().join(format!("n{place}")));
        fs::create_dir(&folder)?;
        Ok(Node { place, address, program, folder, process: Mutex::new(None), lives: AtomicU32::new(1) })
    }

    pub fn start(&self, floor: &Floor, discovery: SocketAddr, known: &Value) -> io::Result<()> {
        let file = self.folder.join("posting.json");
        let posting = json!({"name": format!("n{}", self.place), "listen": self.address.to_string(),
            "discovery": discovery.to_string(),
            "seed": format!("{:x}", floor.scenario.seed ^ floor.now().since(Moment(START)).0),
            "limits": {"sockets": 1024, "memory_mb": 64}, "known": known,
            "settings": settings(&floor.scenario, self.place)});
        fs::write(&file, posting.to_string())?;
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command.env("GW_CONFIG", &file).env_remove("GW_INHERITED_FD").env_remove("GW_CONSOLE");
        command.env("TMPDIR", &self.folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child =
            command.spawn().map_err(|e| io::Error::other(format!("{}: {e}", self.program.display())))?;
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(child);
        self.is_up()?;
        self.lives.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Waits until it listens.
    fn is_up(&self) -> io::Result<()> {
        const WITHIN: Duration = Duration::from_secs(10);
        let began = Instant::now();
        while began.elapsed() < WITHIN {
            if TcpStream::connect(self.address).is_ok() {
                return Ok(());
            }
            if self.has_ended() {
                return Err(io::Error::other(format!("a node ended at its start: {}", self.last_words())));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("a node does not listen: {}", self.last_words())))
    }

    fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        process.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    fn last_words(&self) -> String {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().last().unwrap_or("nothing in its log").to_owned()
    }

    /// Kills the process, which loses what it has.
    pub fn kill(&self) {
        self.lives.fetch_add(1, Ordering::Relaxed);
        self.end();
    }

    fn end(&self) {
        let process = self.process.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(mut child) = process {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Which life it is in, if it is up.
    pub fn life(&self) -> Option<u32> {
        Some(self.lives.load(Ordering::Relaxed)).filter(|life| life.is_multiple_of(2))
    }

    /// Whether it ended though nobody told it to.
    pub fn has_crashed(&self) -> Option<String> {
        (self.life().is_some() && self.has_ended()).then(|| self.last_words())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// All nodes, for those who deal out clients.
pub type Nodes = Vec<Arc<Node>>;

/// The scenario in the words of a node's file.
fn settings(s: &Scenario, place: usize) -> Value {
    let ns = |ms: f64| ms * 1e6;
    let tariffs: Vec<Value> = s
        .tariffs
        .iter()
        .map(|t| {
            let effect = if t.is_binding() { "non_idempotent" } else { "read_like" };
            json!({"name": t.name, "effect": effect, "quoted_time_ns": ns(t.quoted_ms), "aim_stretch": t.stretch,
                "patience_ns": ns(t.patience_ms), "earnings": t.earnings})
        })
        .collect();
    let mut kinds: Vec<&str> = s.executors.iter().map(|e| e.kind.as_str()).collect();
    kinds.dedup();
    json!({"fleet_size": s.nodes.count, "me": place, "registry_mode": "subscribe",
        "zones": s.nodes.zones, "az": place % s.nodes.zones.len(), "kinds": kinds,
        "caps": {"most_allocations": s.nodes.most_allocations, "second_copies": s.nodes.second_copies,
            "cancelling": s.nodes.recalls, "may_probe": false, "conn_idle_ns": s.network.idle_s * 1e9,
            "dial_timeout_ns": ns(s.network.dial_within_ms)},
        "contract": {"cold_share": s.rules.cold_share, "warm_within_ns": s.rules.warm_within_s * 1e9,
            "overload_factor": s.rules.fall_factor, "fall_ns": ns(s.rules.fall_window_ms)},
        "family_info": {"tells_start": s.nodes.starts_told, "progress_ns": ns(s.nodes.progress_ms),
            "report_x0": "free slots"},
        "report": {"via": "piggyback", "fields": ["load_share", "x0"]},
        "tariffs": tariffs})
}

//! A stand-in discovery: the whole list, and a watch that says what has changed.

use crate::executor::Executor;
use crate::floor::Floor;
use crate::talk::Talk;
use grebeusher_dispatch::time::Moment;
use grebeusher_emulator::stage::START;
use serde_json::{Value, json};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// While nothing changes an empty line comes so often.
const EMPTY_EVERY: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(20);

struct List {
    generation: u64,
    lifecycles: Vec<&'static str>,
    /// Each change: which executor, as of which generation.
    changes: Vec<(u64, usize)>,
}

pub struct Discovery {
    pub address: SocketAddr,
    listener: TcpListener,
    floor: Arc<Floor>,
    executors: Vec<Arc<Executor>>,
    list: Mutex<List>,
    down: AtomicU32,
    /// The Unix time at the start of the run.
    began: Duration,
}

impl Discovery {
    pub fn start(floor: &Arc<Floor>, executors: &[Arc<Executor>]) -> io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let lifecycles = executors.iter().map(|_| "active").collect();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let passed = Duration::from_nanos(floor.now().since(Moment(START)).0);
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            listener,
            floor: floor.clone(),
            executors: executors.to_vec(),
            list: Mutex::new(List { generation: 1, lifecycles, changes: Vec::new() }),
            down: AtomicU32::new(0),
            began: unix.saturating_sub(passed),
        });
        let door = discovery.clone();
        thread::spawn(move || door.listens());
        Ok(discovery)
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn says(&self, executor: usize, lifecycle: &'static str) {
        let mut list = self.list();
        list.generation += 1;
        list.lifecycles[executor] = lifecycle;
        let generation = list.generation;
        list.changes.push((generation, executor));
    }

    pub fn goes_down(&self, down: bool) {
        if down {
            self.down.fetch_add(1, Ordering::Relaxed);
        } else {
            self.down.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed) > 0
    }

    fn listens(self: Arc<Self>) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.floor.stops() {
                return;
            }
            if self.is_down() {
                continue;
            }
            let discovery = self.clone();
            thread::spawn(move || discovery.serves(stream));
        }
    }

    /// What the list says of these executors, as of the generation.
    fn version(&self, list: &List, reset: bool, which: &[usize]) -> Value {
        let entry = |&at: &usize| {
            let executor = &self.executors[at];
            let started = executor
                .started()
                .map_or(0, |at| (self.began.as_nanos() as u64 + at.since(Moment(START)).0) / 1_000_000);
            json!({"instanceId": executor.name, "hostPort": executor.address.to_string(),
                "zone": self.floor.scenario.nodes.zones[executor.zone], "machineType": executor.kind,
                "cell": 0, "lifecycle": list.lifecycles[at], "weight": 1.0, "startedAtMs": started})
        };
        let instances: Vec<Value> = which.iter().map(entry).collect();
        json!({"generation": list.generation, "reset": reset, "instances": instances})
    }

    /// The whole list, as nodes are told it at their start.
    pub fn whole(&self) -> Value {
        let list = self.list();
        let present = (0..self.executors.len()).filter(|&at| list.lifecycles[at] != "left");
        self.version(&list, true, &present.collect::<Vec<_>>())
    }

    /// What has changed since that generation, and the generation now.
    fn since(&self, generation: u64) -> (Option<Value>, u64) {
        let list = self.list();
        let mut changed: Vec<usize> =
            list.changes.iter().filter(|(at, _)| *at > generation).map(|(_, which)| *which).collect();
        changed.sort_unstable();
        changed.dedup();
        let version = (!changed.is_empty()).then(|| self.version(&list, false, &changed));
        (version, list.generation)
    }

    fn serves(&self, stream: TcpStream) {
        let Ok(mut talk) = Talk::over(stream) else { return };
        while let Ok(Some(request)) = talk.request() {
            let served = match request.target.split_once("stream=1&index=") {
                Some((_, index)) => self.streams(&mut talk, index.parse().unwrap_or(0)),
                None => talk.say("HTTP/1.1 200 x\r\n", self.whole().to_string().as_bytes()),
            };
            if served.is_err() {
                return;
            }
        }
    }

    /// A watch; it ends when discovery goes down, or the run is over.
    fn streams(&self, talk: &mut Talk, index: u64) -> io::Result<()> {
        talk.raw(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut line = |text: &str| talk.raw(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes());
        let mut known = self.list().generation;
        if index == known {
            line("")?;
        } else {
            line(&self.whole().to_string())?;
        }
        let mut said = Instant::now();
        while !self.floor.stops() && !self.is_down() {
            thread::sleep(LOOK_EVERY);
            let (version, generation) = self.since(known);
            known = generation;
            match version {
                Some(version) => line(&version.to_string())?,
                None if said.elapsed() >= EMPTY_EVERY => line("")?,
                None => continue,
            }
            said = Instant::now();
        }
        Err(io::Error::other("the watch is over"))
    }
}

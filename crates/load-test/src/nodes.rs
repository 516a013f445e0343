//! The nodes: real processes, started with a file of their own and ended with the run.

use grebeusher_dispatch::time::Duration;
use grebeusher_emulator::scenario::Scenario;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Node {
    pub place: usize,
    pub address: SocketAddr,
    /// Where this one finds discovery.
    pub discovery: SocketAddr,
    /// Where others' datagrams to it go, and whom it asks first; `None` where nodes do not talk.
    pub known_as: Option<(SocketAddr, Vec<SocketAddr>)>,
    program: PathBuf,
    folder: PathBuf,
    process: Option<Child>,
    /// Counts its starts.
    pub life: u32,
    /// It was told to stop, and may end by itself.
    pub stopping: bool,
    pub frozen: bool,
    /// The list that it was told at its first start.
    first_list: Option<Value>,
    /// What its operators' file says of budgets: the edition, and the units of the first one where they are others.
    budgets: (u64, Option<u32>),
    /// Whether it logs JSON, for an account of the run.
    pub as_json: bool,
}

impl Node {
    pub fn new(
        place: usize,
        (address, discovery): (SocketAddr, SocketAddr),
        program: &Path,
        folder: &Path,
    ) -> io::Result<Node> {
        let folder = folder.join(format!("n{place}"));
        fs::create_dir_all(&folder)?;
        Ok(Node {
            place,
            address,
            discovery,
            known_as: None,
            program: program.to_owned(),
            folder,
            process: None,
            life: 0,
            stopping: false,
            frozen: false,
            first_list: None,
            budgets: (1, None),
            as_json: false,
        })
    }

    /// Starts the process; it listens a moment later. With its first list in place of `known`, if it is to come back with
    /// that.
    pub fn start(&mut self, scenario: &Scenario, known: &Value, old_list: bool) -> io::Result<()> {
        let first = self.first_list.get_or_insert_with(|| known.clone());
        let known = if old_list { first } else { known };
        let file = self.folder.join("posting.json");
        let seed = scenario.seed ^ (u64::from(self.life) << 32) ^ self.place as u64;
        let posting = json!({"name": format!("n{}", self.place), "listen": self.address.to_string(),
            "discovery": self.discovery.to_string(), "seed": format!("{seed:x}"),
            "limits": {"sockets": 1024, "memory_mb": 64}, "known": known,
            "settings": settings(scenario, self.place)});
        fs::write(&file, posting.to_string())?;
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command.env("GW_CONFIG", &file).env_remove("GW_INHERITED_FD").env_remove("GW_CONSOLE");
        command.env_remove("GREBEUSHER_FRONTS").env_remove(FLEET);
        command.env_remove(CLOCK);
        if let Some(off) = scenario.nodes.clock_of(self.place) {
            command.env(CLOCK, format!("{:.0} {}", off.ahead_ms, off.pace));
        }
        if self.as_json {
            command.env(FORM, "json");
        }
        if scenario.maintenance.is_some() {
            command.env("GW_CONSOLE", self.console().to_string());
        }
        if let Some(file) = self.writes_fleet(scenario)? {
            command.env(FLEET, &file);
        }
        command.env("TMPDIR", &self.folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child =
            command.spawn().map_err(|e| io::Error::other(format!("{}: {e}", self.program.display())))?;
        self.process = Some(child);
        (self.life, self.stopping, self.frozen) = (self.life + 1, false, false);
        Ok(())
    }

    /// Whether it is of a version that knows nothing of plans: in its first life only.
    fn is_older(&self, scenario: &Scenario) -> bool {
        self.life == 0 && scenario.maintenance.as_ref().is_some_and(|plan| plan.older.contains(&self.place))
    }

    /// Writes the operators' file, where there is one.
    fn writes_fleet(&self, scenario: &Scenario) -> io::Result<Option<PathBuf>> {
        let Some(text) = fleet(scenario, self.is_older(scenario), &self.known_as, self.budgets) else {
            return Ok(None);
        };
        let file = self.folder.join("fleet.toml");
        fs::write(&file, text)?;
        Ok(Some(file))
    }

    /// The first budget has so many units from now on, by a file of this edition.
    pub fn posts_budgets(&mut self, scenario: &Scenario, edition: u64, units: u32) -> io::Result<()> {
        self.budgets = (edition, Some(units));
        self.writes_fleet(scenario)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Where it listens for datagrams.
    pub fn talks_at(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), TALKS)
    }

    /// Where its staff call.
    pub fn console(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), CONSOLE)
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Whether its process has ended since this was last asked; it is gone from then on.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.process.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            self.process = None;
        }
        ended
    }

    /// All that its processes have logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn last_words(&self) -> String {
        let log = self.log();
        log.lines().last().unwrap_or("nothing in its log").to_owned()
    }

    /// Kills the process, which loses what it has.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn pid(&self) -> Option<Pid> {
        self.process.as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // One that has ended meanwhile is seen to have.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn stop(&mut self) {
        self.stopping = true;
        self.signal(Signal::TERM);
    }

    pub fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen;
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
    }

    /// From now on it gets no further descriptor, or as many as it was promised.
    pub fn fill_descriptors(&self, full: bool) {
        let Some(pid) = self.pid() else { return };
        let most = rustix::process::getrlimit(Resource::Nofile).maximum;
        // The limit is one of numbers, and the first free one is given next. Guards against a table that is not full since
        // the process has inherited one of a high number.
        let first_free = || {
            let open = |number: &u64| fs::exists(format!("/proc/{}/fd/{number}", pid.as_raw_nonzero()));
            (0..).find(|number| !open(number).unwrap_or(false))
        };
        let current = if full { first_free() } else { most };
        // As with signals.
        let _ = prlimit(Some(pid), Resource::Nofile, Rlimit { current, maximum: most });
    }

    /// Time of a core that its process has used since that started; `None` where the system does not tell.
    pub fn worked(&self) -> Option<Duration> {
        let told = fs::read_to_string(format!("/proc/{}/stat", self.pid()?.as_raw_nonzero())).ok()?;
        // After its name, which may hold anything, the user's and the system's time are fields 12 and 13.
        let (_, fields) = told.rsplit_once(") ")?;
        let ticks: u64 =
            fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        Some(Duration::from_nanos(ticks * 1_000_000_000 / rustix::param::clock_ticks_per_second()))
    }

    /// Bytes of memory that it holds; `None` where the system does not tell.
    pub fn memory(&self) -> Option<u64> {
        let told = fs::read_to_string(format!("/proc/{}/statm", self.pid()?.as_raw_nonzero())).ok()?;
        let pages: u64 = told.split_whitespace().nth(1)?.parse().ok()?;
        Some(pages * rustix::param::page_size() as u64)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

const FLEET: &str = "GREBEUSHER_FLEET";
const CLOCK: &str = "GREBEUSHER_CLOCK";
const FORM: &str = "GREBEUSHER_LOG_FORM";

/// The port of datagrams, beside the clients'.
const TALKS: u16 = 7946;
/// The console's.
const CONSOLE: u16 = 7990;

/// The operators' file of how nodes behave together; without one each is alone.
fn fleet(
    s: &Scenario,
    is_older: bool,
    known_as: &Option<(SocketAddr, Vec<SocketAddr>)>,
    (edition, first_units): (u64, Option<u32>),
) -> Option<String> {
    let mut text = format!("[executors]\nrecalls_stop_waiting = {}\n", s.nodes.recalls_stop);
    if let Some((known_as, contacts)) = known_as {
        let contacts: Vec<String> = contacts.iter().map(|contact| format!("\"{contact}\"")).collect();
        text += &format!(
            "[fellows]\nfleet = \"rig\"\nsecret = \"of this run alone\"\nport = {TALKS}\nknown_as = \"{known_as}\"\n\
             contacts = [{}]\n",
            contacts.join(", ")
        );
    }
    if !s.budgets.is_empty() || s.maintenance.is_some() {
        let keepers: Vec<usize> = (0..s.nodes.keepers).collect();
        text += &format!("[keepers]\nnodes = {keepers:?}\n");
    }
    if let Some(plan) = s.maintenance.as_ref().filter(|_| !is_older) {
        text += &format!("[maintenance]\npermission_ms = {}\n", plan.permission_ms);
    }
    if !s.budgets.is_empty() {
        text += &format!("[budgets]\nedition = {edition}\n");
        for (at, b) in s.budgets.iter().enumerate() {
            let units = first_units.filter(|_| at == 0).unwrap_or(b.units);
            text += &format!(
                "[[budgets.of]]\ntariff = {:?}\nfurther = {}\nunits = {units}\nwindow_ms = {}\nfloor = {}\nnodes = {}\n",
                b.tariff, b.further, b.window_ms as u64, b.floor, s.nodes.count
            );
        }
    }
    (s.nodes.recalls_stop || known_as.is_some()).then_some(text)
}

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
    // A number beyond those that it was told of is refused by a node.
    let told_count = s.nodes.told_count.unwrap_or(s.nodes.count);
    json!({"fleet_size": told_count, "me": place % told_count, "registry_mode": "subscribe",
        "zones": s.nodes.zones, "az": place % s.nodes.zones.len(), "kinds": kinds,
        "caps": {"most_allocations": s.nodes.most_allocations, "second_copies": s.nodes.second_copies,
            "peers": s.nodes.words, "cancelling": s.nodes.recalls, "may_probe": false, "conn_idle_ns": s.network.idle_s * 1e9,
            "dial_timeout_ns": ns(s.network.dial_within_ms)},
        "contract": {"cold_share": s.rules.cold_share, "warm_within_ns": s.rules.warm_within_s * 1e9,
            "overload_factor": s.rules.fall_factor, "fall_ns": ns(s.rules.fall_window_ms)},
        "family_info": {"tells_start": s.nodes.starts_told, "progress_ns": ns(s.nodes.progress_ms),
            "report_x0": "free slots"},
        "report": {"via": "piggyback", "fields": ["load_share", "x0"]},
        "tariffs": tariffs})
}

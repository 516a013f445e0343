//! Where everything of a demonstration is: the machines, each with a loopback address of its own, their ports and settings.

use crate::error::DemoError;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::sync::Arc;

/// Ports that are taken in a row: clients, readiness, control, and two between nodes.
const PORTS: u16 = 5;
/// Ports are looked for from here, below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// How many rows of ports are tried.
const ROWS: u16 = 2_000;
/// The last number of the address where a row of ports is reserved.
const RESERVATION: u8 = 10;
/// The last number of the first machine's loopback address.
const FIRST_MACHINE: u8 = 11;
/// The last number of the first stand-in executor's loopback address.
const FIRST_EXECUTOR: u8 = 231;
/// The zones that machines are spread over in turn.
const ZONES: [&str; 3] = ["north", "east", "south"];
/// From SIGTERM to the latest exit of a process, in seconds.
pub const GRACE_PERIOD_S: u64 = 8;
/// About how often executors send heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 400;
/// How long after the acknowledgement a draining executor may still get requests, in milliseconds.
pub const DRAIN_TIMEOUT_MS: u64 = 2000;

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineKind {
    /// Takes clients, executors and operators, and has a disk.
    EdgeWithDisk,
    /// The same without a disk.
    Edge,
    /// Keeps batch jobs.
    Storage,
}

/// How many machines of each kind there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machines {
    /// Edge machines with a disk.
    pub edge_with_disk: u8,
    /// Edge machines without one.
    pub edge: u8,
    /// Storage machines.
    pub storage: u8,
    /// Stand-in executors.
    pub executors: u8,
}

impl Default for Machines {
    fn default() -> Machines {
        Machines { edge_with_disk: 4, edge: 2, storage: 4, executors: 4 }
    }
}

/// One machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The name of its node.
    pub name: String,
    /// What it is for.
    pub kind: MachineKind,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
}

/// All machines and their ports.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The machines: first those of clients, then those of batch jobs.
    pub machines: Vec<Machine>,
    /// The addresses of the stand-in executors.
    pub executors: Vec<SocketAddrV4>,
    first_port: u16,
    /// Demonstrations that run side by side take no row whose reservation is held.
    _reservation: Arc<TcpListener>,
}

impl Layout {
    /// Machines with ports that are free now at each of their addresses.
    ///
    /// # Errors
    /// No ports are free.
    pub fn find(counts: Machines) -> Result<Layout, DemoError> {
        let kinds = [
            (MachineKind::EdgeWithDisk, counts.edge_with_disk),
            (MachineKind::Edge, counts.edge),
            (MachineKind::Storage, counts.storage),
        ];
        let kinds = kinds.iter().flat_map(|(kind, count)| (0..*count).map(|_| *kind));
        let machines: Vec<Machine> = kinds.enumerate().map(|(index, kind)| machine(index, kind)).collect();
        let hosts = (0..counts.executors).map(|index| loopback(FIRST_EXECUTOR.saturating_add(index)));
        let hosts: Vec<Ipv4Addr> = hosts.collect();
        // Demonstrations that run side by side begin to look at different places.
        let turn = (std::process::id() % u32::from(ROWS)) as u16;
        let rows = (0..ROWS).map(|row| FIRST_PORT + (row + turn) % ROWS * PORTS);
        let all: Vec<Ipv4Addr> =
            machines.iter().map(|machine| machine.address).chain(hosts.clone()).collect();
        let reserved = rows.into_iter().find_map(|first| reserve(&all, first).map(|held| (first, held)));
        let (first_port, reservation) = reserved.ok_or(DemoError::NoPorts { wanted: PORTS })?;
        let executors = hosts.into_iter().map(|host| SocketAddrV4::new(host, first_port)).collect();
        Ok(Layout { machines, executors, first_port, _reservation: Arc::new(reservation) })
    }

    /// The edge machines.
    pub fn edges(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| machine.kind != MachineKind::Storage)
    }

    /// The control addresses of all edge machines.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        self.edges().map(|machine| self.control(machine)).collect()
    }

    /// Where all edge machines take clients.
    pub fn frontends(&self) -> Vec<SocketAddrV4> {
        self.edges().map(|machine| self.frontend(machine)).collect()
    }

    /// Where a machine takes clients.
    pub fn frontend(&self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.address, self.first_port)
    }

    /// Where a machine says whether it is ready.
    pub fn readiness(&self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.address, self.first_port + 1)
    }

    /// Where a machine takes executors and operators.
    pub fn control(&self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.address, self.first_port + 2)
    }

    /// The zone of an executor, by its place.
    pub fn executor_zone(index: usize) -> &'static str {
        ZONES[index % ZONES.len()]
    }

    /// The text of a machine's settings file; `folder` is its disk. `bootstrap` is true when the whole tier starts for the first
    /// time.
    pub fn settings(&self, machine: &Machine, folder: &Path, bootstrap: bool) -> String {
        let is_storage = machine.kind == MachineKind::Storage;
        let (class, served) =
            if is_storage { ("storage", "\"storage\"") } else { ("edge", "\"edge\", \"controller\"") };
        let bindings = if is_storage {
            String::new()
        } else {
            format!(
                r#""frontend": "{}", "readiness": "{}", "control_plane": "{}""#,
                self.frontend(machine),
                self.readiness(machine),
                self.control(machine)
            )
        };
        let seeds: Vec<String> =
            self.edges().take(3).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\": \"loopback\"")).collect();
        let has_disk = machine.kind != MachineKind::Edge;
        let disk = if has_disk { format!("\"data_path\": \"{}\",", folder.display()) } else { String::new() };
        let disk_mb = if has_disk { ", \"disk_mb\": 64" } else { "" };
        format!(
            r#"{{
  "node_name": "{name}", "role": "{class}", "machine_class": "{class}", "served_roles": [{served}],
  "ip_address": "{address}", "zone": "{zone}", "region": "loopback", "zones": {{{zones}}},
  "bindings": {{{bindings}}},
  "internal_ports": [{first_internal}, {last_internal}],
  "seed_nodes": [{seeds}],
  "bootstrap": {bootstrap}, "quorum_member": {has_disk}, {disk}
  "limits": {{"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 256, "file_descriptors": 1024, "link_mbps": 1000.0{disk_mb}}},
  "heartbeat_ms": {HEARTBEAT_MS},
  "contracts": ["base", "drain", "config", "batch", "stream"],
  "fault_tolerance": {{"machine_losses": 1, "zones": 0, "region_losses": 0}},
  "bounds": {{"grace_period_s": {GRACE_PERIOD_S}, "drain_timeout_ms": {DRAIN_TIMEOUT_MS}}}
}}
"#,
            name = machine.name,
            address = machine.address,
            zone = machine.zone,
            zones = zones.join(", "),
            first_internal = self.first_port + 3,
            last_internal = self.first_port + PORTS - 1,
            seeds = seeds.join(", "),
        )
    }
}

fn machine(index: usize, kind: MachineKind) -> Machine {
    let class = if kind == MachineKind::Storage { "storage" } else { "edge" };
    let zone = ZONES[index % ZONES.len()];
    let last = FIRST_MACHINE.saturating_add(index as u8);
    Machine { name: format!("{class}-{zone}-{index}"), kind, address: loopback(last), zone }
}

fn loopback(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last)
}

/// Reserves a row of ports that are free at all the addresses.
fn reserve(addresses: &[Ipv4Addr], first_port: u16) -> Option<TcpListener> {
    let reservation = TcpListener::bind((loopback(RESERVATION), first_port)).ok()?;
    let mut places = addresses.iter().flat_map(|host| (0..PORTS).map(|port| (*host, first_port + port)));
    places.all(|place| TcpListener::bind(place).is_ok()).then_some(reservation)
}

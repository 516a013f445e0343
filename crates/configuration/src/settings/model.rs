//! The types of the settings. [`super::parse`] fills them; nothing here reads text.

use super::bounds::Bounds;
use crate::names::{NodeName, RegionName, RoleName, ZoneName};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the machine.
    pub node_name: NodeName,
    /// The name of the process's role in the deploy file.
    pub role: RoleName,
    /// The class of the machine.
    pub machine_class: MachineClass,
    /// Who may call this process from outside.
    pub served_roles: Vec<ServedRole>,
    /// The address of the machine.
    pub ip_address: Ipv4Addr,
    /// The zone of the machine.
    pub zone: ZoneName,
    /// The region of that zone.
    pub region: RegionName,
    /// All zones of the deployment with their regions.
    pub zones: Zones,
    /// The addresses of what the process serves.
    pub bindings: Bindings,
    /// Ports that are free on every machine for traffic between nodes.
    pub internal_ports: PortRange,
    /// `control_plane` addresses of a few machines, which may be down.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether this is the first start of the system, when the disks are empty. Default false.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts in `fault_tolerance`. Default false.
    pub quorum_member: bool,
    /// The resources that the process may use.
    pub limits: ProcessLimits,
    /// The folder on the machine's disk; none where the machine has no disk.
    pub data_path: Option<PathBuf>,
    /// About how often executors send heartbeats, in milliseconds; above 0. Default 1000.
    pub heartbeat_ms: u64,
    /// The sets of rules that are in force. Default: none.
    pub contracts: Vec<Contract>,
    /// What may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// The time-outs and limits of those rules.
    pub bounds: Bounds,
}

/// The class of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineClass {
    /// Clients can reach it.
    Edge,
    /// It has a disk for data.
    Storage,
    /// A class that this version doesn't know.
    Other(String),
}

/// Who may call a process from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServedRole {
    /// Clients.
    Edge,
    /// Nobody outside; the machine keeps data.
    Storage,
    /// Executors and the operator.
    Controller,
    /// A role that this version doesn't know.
    Other(String),
}

/// A set of rules that the deployment holds the tier to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contract {
    /// What holds always.
    Base,
    /// Executors that leave.
    Drain,
    /// Configurations in force.
    Config,
    /// Prices.
    Cost,
    /// Service after a final fault.
    Recover,
    /// Batch jobs.
    Batch,
    /// Streams of events.
    Stream,
    /// Model executors.
    Engine,
    /// New versions of services.
    Rollout,
    /// A set that this version doesn't know.
    Other(String),
}

/// The zones of a deployment, each with its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones(pub(super) BTreeMap<ZoneName, RegionName>);

impl Zones {
    /// The region that holds the zone.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.0.get(zone)
    }

    /// The zones in the order of their names.
    pub fn names(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.keys()
    }

    /// How many zones there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// The addresses of what a process serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bindings {
    /// Where clients connect.
    pub frontend: Option<SocketAddrV4>,
    /// Where the platform asks whether the node is ready.
    pub readiness: Option<SocketAddrV4>,
    /// Where executors and the operator connect.
    pub control_plane: Option<SocketAddrV4>,
}

/// Ports from the first to the last, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port; not 0.
    pub first: u16,
    /// The highest port; not below the first.
    pub last: u16,
}

impl PortRange {
    /// How many ports there are.
    pub fn count(&self) -> usize {
        (usize::from(self.last) + 1).saturating_sub(usize::from(self.first))
    }

    /// The port at the index, counted from 0.
    pub fn port(&self, index: usize) -> Option<u16> {
        (usize::from(self.first)..=usize::from(self.last))
            .nth(index)
            .and_then(|port| u16::try_from(port).ok())
    }
}

/// What a process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// The share of a core; above 0.
    pub cpu_share: f64,
    /// Memory in megabytes; above 0. The platform kills a process that exceeds it.
    pub memory_mb: u64,
    /// Open files and sockets; above 0. Of these, 200 are reserved for files outside the data folder.
    pub file_descriptors: u64,
    /// The bandwidth of the machine's link in megabits a second; above 0.
    pub link_mbps: f64,
    /// Disk space in megabytes; none where the machine has no disk.
    pub disk_mb: Option<u64>,
}

/// What may be lost at the same time while all rules still hold. Each is 0 by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines with `quorum_member`.
    pub machine_losses: u32,
    /// Whole zones.
    pub zones: u32,
    /// Whole regions.
    pub region_losses: u32,
}

impl Settings {
    /// Whether a set of rules is in force.
    pub fn has_contract(&self, contract: &Contract) -> bool {
        self.contracts.contains(contract)
    }

    /// Whether the process is called from outside in this role.
    pub fn serves(&self, role: &ServedRole) -> bool {
        self.served_roles.contains(role)
    }
}

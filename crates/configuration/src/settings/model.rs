//! The types of the settings. [`super::parse`] creates their values from JSON.

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
    /// The role of the process, as the deployment file names it.
    pub role: RoleName,
    /// The class of the machine.
    pub machine_class: MachineClass,
    /// The kinds of callers outside of the tier that may call this process.
    pub served_roles: Vec<ServedRole>,
    /// The IP address of the machine.
    pub ip_address: Ipv4Addr,
    /// The zone of the machine.
    pub zone: ZoneName,
    /// The region that contains the zone of the machine.
    pub region: RegionName,
    /// All zones of the deployment, each with its region.
    pub zones: Zones,
    /// The addresses on which the process listens.
    pub bindings: Bindings,
    /// Ports that are free on every machine for traffic between nodes.
    pub internal_ports: PortRange,
    /// The `control_plane` addresses of a few machines, any of which may be down.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether this is the first start of the system, at which all disks are empty. The default is false.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts in `fault_tolerance`. The default is false.
    pub quorum_member: bool,
    /// The resources that the process may use.
    pub limits: ProcessLimits,
    /// The folder for data on the disk of the machine; `None` if the machine has no disk.
    pub data_path: Option<PathBuf>,
    /// The approximate interval between two heartbeats of an executor, in milliseconds; above 0. The default is 1000.
    pub heartbeat_ms: u64,
    /// The sets of rules that the tier must keep. By default there are none.
    pub contracts: Vec<Contract>,
    /// The numbers of machines, zones and regions that may be lost at the same time.
    pub fault_tolerance: FaultTolerance,
    /// The timeouts and limits of the rules in `contracts`.
    pub bounds: Bounds,
}

/// The class of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineClass {
    /// A machine that clients can reach.
    Edge,
    /// A machine that has a disk for data.
    Storage,
    /// A class that this version of the program does not know.
    Other(String),
}

/// A kind of callers outside of the tier that may call a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServedRole {
    /// Clients may call the process.
    Edge,
    /// No outside callers may call the process; the machine stores data.
    Storage,
    /// Executors and the operator may call the process.
    Controller,
    /// A role that this version of the program does not know.
    Other(String),
}

/// A set of rules that the tier must keep in a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contract {
    /// The rules that always apply.
    Base,
    /// The rules for draining executors.
    Drain,
    /// The rules for changes of the configuration.
    Config,
    /// The rules for prices.
    Cost,
    /// The rules for serving requests again after the last fault.
    Recover,
    /// The rules for batch jobs.
    Batch,
    /// The rules for streams of events.
    Stream,
    /// The rules for executors that run models.
    Engine,
    /// The rules for rolling out new versions of services.
    Rollout,
    /// A set of rules that this version of the program does not know.
    Other(String),
}

/// The zones of a deployment, each with its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones(pub(super) BTreeMap<ZoneName, RegionName>);

impl Zones {
    /// Returns the region that contains the zone.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.0.get(zone)
    }

    /// Returns the names of the zones in alphabetical order.
    pub fn names(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.keys()
    }

    /// Returns the number of zones.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// The addresses on which a process listens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bindings {
    /// The address to which clients connect.
    pub frontend: Option<SocketAddrV4>,
    /// The address at which the platform checks whether the node is ready.
    pub readiness: Option<SocketAddrV4>,
    /// The address to which executors and the operator connect.
    pub control_plane: Option<SocketAddrV4>,
}

/// A range of ports from the first to the last, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port; not 0.
    pub first: u16,
    /// The highest port; not below the first.
    pub last: u16,
}

impl PortRange {
    /// Returns the number of ports in the range.
    pub fn count(&self) -> usize {
        (usize::from(self.last) + 1).saturating_sub(usize::from(self.first))
    }

    /// Returns the port at `index`, where the first port has index 0.
    pub fn port(&self, index: usize) -> Option<u16> {
        (usize::from(self.first)..=usize::from(self.last))
            .nth(index)
            .and_then(|port| u16::try_from(port).ok())
    }
}

/// The resources that a process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// The CPU time that the process may use, as a share of one core; above 0.
    pub cpu_share: f64,
    /// The memory that the process may use, in megabytes; above 0. The platform kills a process that uses more.
    pub memory_mb: u64,
    /// The number of files and sockets that the process may have open; above 0. Of these, 200 are reserved for files
    /// outside the data folder.
    pub file_descriptors: u64,
    /// The bandwidth of the network link of the machine, in megabits a second; above 0.
    pub link_mbps: f64,
    /// The disk space that the process may use, in megabytes; `None` if the machine has no disk.
    pub disk_mb: Option<u64>,
}

/// The losses that may occur at the same time while the tier still keeps all rules. Each number is 0 by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// The number of machines with `quorum_member`.
    pub machine_losses: u32,
    /// The number of whole zones.
    pub zones: u32,
    /// The number of whole regions.
    pub region_losses: u32,
}

impl Settings {
    /// Whether the tier must keep this set of rules.
    pub fn has_contract(&self, contract: &Contract) -> bool {
        self.contracts.contains(contract)
    }

    /// Whether callers from outside may call the process in this role.
    pub fn serves(&self, role: &ServedRole) -> bool {
        self.served_roles.contains(role)
    }
}

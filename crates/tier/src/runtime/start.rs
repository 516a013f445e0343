//! The start of a process: reading the settings, opening the disk and the listeners.

use crate::batch::api::BATCH_PARTITIONS;
use crate::batch::partition::BatchPartition;
use crate::control::api::CONFIGURATION_PARTITION;
use crate::control::configuration_partition::ConfigurationPartition;
use crate::control::disk_budget::DiskBudget;
use crate::control::partition_host::{Application, PartitionHost, ReplicaConfig};
use crate::node::{RunError, keys};
use crate::requests::server_connection::ListenerKind;
use crate::runtime::io::{Listener, SharedWorld, World};
use grebeusher_configuration::settings::{MachineClass, Settings, SettingsError};
use grebeusher_quorum::ReplicaId;
use grebeusher_quorum::disk::StoreError;
use grebeusher_registry::{Class, Losses, Member, MemberState, Registry, Timings};
use grebeusher_time::{Duration, Instant};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// The number of file descriptors that are reserved for links, executors and the disk.
const RESERVED_DESCRIPTORS: u64 = 600;

/// The opened resources that a node starts with.
pub struct Start {
    /// The settings of the node.
    pub settings: Settings,
    /// The environment of the process.
    pub world: SharedWorld,
    /// The listening sockets.
    pub listeners: Listeners,
    /// The registry, which has only this node as a member so far.
    pub registry: Registry,
    /// The identity of the disk; `None` if the node holds no replicas.
    pub identity: Option<ReplicaId>,
    /// The replicas of partitions on this node.
    pub partitions: Vec<PartitionHost>,
    /// The seed of all random numbers of the node.
    pub seed: u64,
}

/// The listeners for all connections except those of the other nodes. Each is `None` if the settings have no such address.
pub struct ClientListeners {
    frontend: Option<Box<dyn Listener>>,
    readiness: Option<Box<dyn Listener>>,
    control: Option<Box<dyn Listener>>,
}

impl ClientListeners {
    /// Returns the listener of a kind, if this process has one.
    pub(crate) fn get(&self, kind: ListenerKind) -> Option<&dyn Listener> {
        let listener = match kind {
            ListenerKind::Frontend => &self.frontend,
            ListenerKind::Readiness => &self.readiness,
            ListenerKind::Control => &self.control,
        };
        listener.as_deref()
    }
}

/// The listening sockets of a process.
pub struct Listeners {
    /// The listeners for clients, readiness checks of the platform, executors and operators.
    pub clients: ClientListeners,
    /// The listener for other nodes.
    pub internal: Box<dyn Listener>,
    /// The address of this node for other nodes.
    pub internal_address: SocketAddrV4,
    /// The maximum number of connections that the process accepts.
    pub max_connections: usize,
}

/// The error of a failed start of a process.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    SettingsFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidSettings {
        /// The path of the file.
        path: PathBuf,
        /// The invalid field and a description of its valid values.
        source: SettingsError,
    },
    /// The settings have no port for the links between nodes.
    #[snafu(display("internal_ports: at least one port is needed"))]
    NoInternalPort,
    /// Listening at an address has failed.
    #[snafu(display("listening at {address}: {source}"))]
    Listen {
        /// The address to listen at.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The poller or the signal handler can't be created.
    #[snafu(display("the loop: {source}"), context(false))]
    Loop {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The identity of the disk can't be read or created.
    #[snafu(display("the identity of the disk: {source}"))]
    DiskIdentity {
        /// The error of the store.
        source: StoreError,
    },
    /// A partition can't be opened.
    #[snafu(display("{source}"), context(false))]
    Partition {
        /// The error of the partition.
        source: RunError,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
/// Fails if the file can't be read or a field is invalid.
pub fn read_settings(path: &Path) -> Result<Settings, StartError> {
    let text = std::fs::read_to_string(path).context(SettingsFileSnafu { path })?;
    Settings::read(&text).context(InvalidSettingsSnafu { path })
}

impl Start {
    /// Opens the listeners and the partitions of a process with these settings.
    ///
    /// # Errors
    /// Fails if an address can't be bound or the disk fails.
    pub fn open(settings: Settings, world: SharedWorld) -> Result<Start, StartError> {
        let seed = world.random();
        let listeners = Listeners::open(&settings, &*world)?;
        let (identity, partitions) = open_partitions(&settings, &*world, seed)?;
        let registry = open_registry(&settings, &*world, &listeners, identity, seed);
        Ok(Start { settings, world, listeners, registry, identity, partitions, seed })
    }
}

impl Listeners {
    fn open(settings: &Settings, world: &dyn World) -> Result<Listeners, StartError> {
        let port = settings.internal_ports.port(0).ok_or(StartError::NoInternalPort)?;
        let internal_address = SocketAddrV4::new(settings.ip_address, port);
        let open =
            |address: SocketAddrV4, key: usize| world.listen(address, key).context(ListenSnafu { address });
        let optional = |address: Option<SocketAddrV4>, key| address.map(|at| open(at, key)).transpose();
        let descriptors = settings.limits.file_descriptors;
        Ok(Listeners {
            internal: open(internal_address, keys::INTERNAL)?,
            clients: ClientListeners {
                control: optional(settings.bindings.control_plane, keys::CONTROL)?,
                readiness: optional(settings.bindings.readiness, keys::READINESS)?,
                frontend: optional(settings.bindings.frontend, keys::FRONTEND)?,
            },
            internal_address,
            max_connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64) as usize,
        })
    }
}

/// Returns the partitions whose replicas a machine of this class holds.
fn partitions_of(class: &MachineClass) -> Vec<u8> {
    match class {
        MachineClass::Edge => vec![CONFIGURATION_PARTITION],
        MachineClass::Storage => (1..=BATCH_PARTITIONS).collect(),
        MachineClass::Other(_) => Vec::new(),
    }
}

fn open_partitions(
    settings: &Settings,
    world: &dyn World,
    seed: u64,
) -> Result<(Option<ReplicaId>, Vec<PartitionHost>), StartError> {
    let data_folder = match &settings.data_path {
        Some(data_folder) if settings.quorum_member => data_folder,
        _ => return Ok((None, Vec::new())),
    };
    let identity = world.identity(data_folder).context(DiskIdentitySnafu)?;
    let disk_bytes = settings.limits.disk_mb.unwrap_or(64) as usize * 1024 * 1024;
    let memory_bytes = settings.limits.memory_mb as usize * 1024 * 1024;
    let mut partitions = Vec::new();
    for partition in partitions_of(&settings.machine_class) {
        let seed = seed.wrapping_add(u64::from(partition) + 1);
        let (application, budget) = if partition == CONFIGURATION_PARTITION {
            let budget = DiskBudget::for_configuration(disk_bytes);
            (Application::Configuration(ConfigurationPartition::default()), budget)
        } else {
            let budget = DiskBudget::for_batch_partition(disk_bytes, memory_bytes);
            (
                Application::Batch(Box::new(BatchPartition::new(budget.max_job_bytes(memory_bytes), seed))),
                budget,
            )
        };
        let config = ReplicaConfig { budget, link_mbps: settings.limits.link_mbps, seed };
        partitions.push(PartitionHost::open(
            world,
            data_folder,
            partition,
            identity.id,
            application,
            config,
        )?);
    }
    Ok((Some(identity.id), partitions))
}

fn open_registry(
    settings: &Settings,
    world: &dyn World,
    listeners: &Listeners,
    identity: Option<ReplicaId>,
    seed: u64,
) -> Registry {
    let class = match settings.machine_class {
        MachineClass::Storage => Class::Storage,
        MachineClass::Edge | MachineClass::Other(_) => Class::Edge,
    };
    let member = Member {
        name: settings.node_name.as_str().to_owned(),
        address: listeners.internal_address,
        incarnation: world.wall_ms(),
        status_version: 0,
        class,
        zone: settings.zone.as_str().to_owned(),
        control: settings.bindings.control_plane,
        replica: identity.map(|identity| identity.0),
        bootstrap: settings.bootstrap,
        state: MemberState::Alive,
    };
    let timings =
        Timings { executor_heartbeat: Duration::from_millis(settings.heartbeat_ms), ..Timings::default() };
    let seeds = seed_addresses(settings);
    let losses = losses_of(settings);
    Registry::new(grebeusher_registry::Settings { member, seeds, timings, losses }, seed, Instant(0))
}

/// Returns how many machines and zones may be lost at once without loss of service, by the settings.
pub fn losses_of(settings: &Settings) -> Losses {
    let tolerated = settings.fault_tolerance;
    Losses { machines: tolerated.machine_losses as usize, zones: tolerated.zones as usize }
}

/// Returns the internal addresses of the seed nodes. All machines use the same internal ports.
pub fn seed_addresses(settings: &Settings) -> Vec<SocketAddrV4> {
    let port = settings.internal_ports.first;
    settings.seed_nodes.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
}

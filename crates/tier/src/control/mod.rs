//! The control plane: the partitions that this node has a replica of, who leads them, the operator's configuration, and the
//! HTTP interface of executors and operators.
//!
//! [`partitions`] drives the replicas; what a partition's log means is up to [`configuration_partition`] and
//! [`batch::partition`](crate::batch::partition). [`membership_maintenance`], [`leader_balance`], [`retire`] and [`bootstrap`]
//! change the groups of replicas and their leaders; nothing else does.
//!
//! Each concern owns its state in a type of its module, such as [`active_configuration`]'s served configuration, and decides
//! by the registry, the partitions and the time that it is given. The text of [`status`] and [`partition_status`] is an interface
//! of the operators and must stay.

pub mod active_configuration;
pub mod api;
pub mod bootstrap;
pub mod configuration_partition;
pub mod disk_budget;
pub mod executor_hints;
pub mod leader_balance;
pub mod leader_index;
pub mod membership_maintenance;
pub mod partition_host;
pub mod partition_status;
pub mod partitions;
pub(crate) mod peer_directory;
pub(crate) mod replica_names;
pub mod replica_placement;
pub mod replica_status;
pub mod retire;
pub(crate) mod rollout_sync;
pub mod rollouts;
pub mod status;

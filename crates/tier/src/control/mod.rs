//! The control plane: the replicas of partitions on this node, the leaders of the partitions, the operator's
//! configuration, and the HTTP interface for executors and operators.
//!
//! [`partitions`] drives the replicas; [`configuration_partition`] and [`batch::partition`](crate::batch::partition) apply
//! the entries of the logs. Only [`membership_maintenance`], [`leader_balance`], [`retire`] and [`bootstrap`] change the
//! groups of replicas and their leaders.
//!
//! Each module owns its state in one type, such as the served configuration in [`active_configuration`], and decides by
//! the registry, the partitions and the time that are passed to it. The output of [`status`] and [`partition_status`] is
//! an interface for operators and must not change.

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

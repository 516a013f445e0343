//! The programs of the serving tier, put together from the libraries of its planes.
//!
//! One process is a [`node::Node`]: an edge node takes clients, executors and operators and may hold a replica of the
//! configuration; a storage node holds replicas of the batch partitions and runs their items. Both are the same loop, and the
//! settings say what is there.

pub mod batch_front;
pub mod batch_load;
pub mod batch_partition;
pub mod calls;
pub mod configuration;
pub mod configuration_partition;
pub mod connections;
pub mod control;
pub mod copies;
pub mod disk_room;
pub mod dispatch;
pub mod event_cutter;
pub mod exchange;
pub mod founding;
pub mod group_care;
pub mod header_names;
pub mod io;
pub mod items;
pub mod leader_balance;
pub mod leaders;
pub mod log_ring;
pub mod messages;
pub mod node;
pub mod page_size;
pub mod partition_status;
pub mod partitions;
pub mod peers;
pub mod placement;
pub mod popularity;
pub mod promises;
pub mod remembered;
pub mod retire;
pub mod routing;
pub mod server;
pub mod show;
pub mod socket;
pub mod start;
pub mod status;
pub mod stop;
pub mod system;
pub mod timers;
pub mod traffic;
pub mod upstream;

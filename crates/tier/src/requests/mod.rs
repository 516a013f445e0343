//! Live requests: a client's request is read, sent to an executor, and the executor's response is written back to the client.
//!
//! - `plane` defines the type that owns the state of live requests; `dispatch` connects it to the rest of the node
//!   in `impl Node`.
//! - [`server`] accepts connections and writes responses; [`server_connection`] parses the requests of one connection.
//! - [`exchange`] is one client request with its attempts at executors.
//! - [`upstream`] sends calls to executors on [`upstream_connection`]s; `attempt_ids` remembers which calls one has carried.
//! - [`routing`] asks the `gateway` crate for an executor; [`version_permissions`] says which executors it may use.
//! - [`prefix_popularity`] shares with the other nodes which prompt prefixes are popular.

mod attempt_ids;
pub(crate) mod dispatch;
pub mod event_buffer;
pub mod exchange;
pub mod header_names;
pub mod not_executed;
pub(crate) mod plane;
pub mod prefix_popularity;
pub mod routing;
pub mod server;
pub mod server_connection;
pub mod upstream;
pub mod upstream_connection;
pub mod version_permissions;

//! Live requests: from a client's connection to an executor's and back.
//!
//! `plane` has the type that owns their state, and `dispatch` alone joins it with the other planes in `impl Node`.
//! [`server`] accepts connections and writes answers, [`server_connection`] is one of them as it reads requests, [`exchange`] is
//! one request with its attempts, [`upstream`] sends calls to executors over [`upstream_connection`]s, and [`routing`] asks the `gateway` crate which
//! executor is next, of those that [`version_permissions`] lets through. [`prefix_popularity`] shares which beginnings of prompts are popular.

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

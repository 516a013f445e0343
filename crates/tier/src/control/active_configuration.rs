//! The operator's configuration that this node serves clients by, and how the node fetches it from the leader or a peer.
//!
//! `ServedConfiguration` owns the configuration in force, the limits that it sets, and the state of a fetch of a newer
//! one. The version in force never decreases while the process runs.

use crate::control::api::CONFIGURATION_PARTITION;
use crate::links::calls::Continuation;
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use grebeusher_batch::{RouteIndex, RouteLookup};
use grebeusher_configuration::configuration::{ClientLimits, Configuration, Route, RouteType};
use grebeusher_configuration::routes::RouteTable;
use grebeusher_time::{Duration, Instant};
use grebeusher_transport::http::Limits;
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use tracing::{info, warn};

/// How long to wait for the newer configuration of a peer that announced one.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a node that has just started asks the leader. After that it serves by the configuration of its peers.
const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// A configuration in force.
pub struct ActiveConfiguration {
    /// The version of the configuration.
    pub version: u64,
    /// The bytes of the configuration, exactly as the operator sent them.
    pub body: Arc<[u8]>,
    /// The routes of the configuration.
    pub routes: Rc<Routes>,
}

/// The routes of a configuration, shared with the requests in progress.
pub struct Routes {
    table: RouteTable,
    shared: Vec<Rc<Route>>,
}

impl Routes {
    /// Builds the route table of a configuration.
    pub fn new(configuration: Configuration) -> Routes {
        let table = RouteTable::new(Arc::new(configuration));
        let shared = table.configuration().routes.iter().cloned().map(Rc::new).collect();
        Routes { table, shared }
    }

    /// Returns the route of a request by its host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.shared.get(self.table.find_index(host, path)?).cloned()
    }

    /// Returns the bulk route that the request of an item matches by its host and path, whatever the name of the route.
    /// Guards against sending an item to the service of another route.
    pub fn bulk(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.at(self.bulk_route(host, path)?)
    }

    /// Returns the route with an index.
    pub fn at(&self, index: RouteIndex) -> Option<&Rc<Route>> {
        self.shared.get(index.0)
    }

    /// Returns the bulk routes with a name, which several routes may share.
    pub fn bulk_named(&self, name: &str) -> impl Iterator<Item = RouteIndex> {
        self.bulk_routes().filter(move |(_, route)| route.name.as_str() == name).map(|(index, _)| index)
    }

    /// Returns all bulk routes with their indices.
    pub fn bulk_routes(&self) -> impl Iterator<Item = (RouteIndex, &Rc<Route>)> {
        let routes = self.shared.iter().enumerate().map(|(index, route)| (RouteIndex(index), route));
        routes.filter(|(_, route)| route.route_type == RouteType::Bulk)
    }

    /// Returns the whole configuration.
    pub fn configuration(&self) -> &Configuration {
        self.table.configuration()
    }
}

impl RouteLookup for Routes {
    fn bulk_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let index = self.table.find_index(host, path).map(RouteIndex)?;
        self.at(index).filter(|route| route.route_type == RouteType::Bulk).map(|_| index)
    }
}

impl fmt::Debug for Routes {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Routes").field("count", &self.shared.len()).finish_non_exhaustive()
    }
}

/// The configuration that this node serves by.
pub(crate) struct ServedConfiguration {
    active: Option<Rc<ActiveConfiguration>>,
    /// The limits on the sizes of HTTP heads and bodies.
    http_limits: Limits,
    /// The other limits for clients, such as time-outs.
    client_limits: ClientLimits,
    /// Whether the leader has replied to the first question for the newest configuration, or that question has timed out.
    confirmed: bool,
    /// When the fetch from a peer in progress times out; `None` if there is none.
    fetch_ends: Option<Instant>,
}

impl ServedConfiguration {
    /// Starts without a configuration. `http_limits` apply until one is in force.
    pub fn new(http_limits: Limits) -> ServedConfiguration {
        ServedConfiguration {
            active: None,
            http_limits,
            client_limits: ClientLimits::default(),
            confirmed: false,
            fetch_ends: None,
        }
    }

    /// Returns the limits on the sizes of HTTP heads and bodies from clients and executors.
    pub fn http_limits(&self) -> &Limits {
        &self.http_limits
    }

    /// Returns the other limits for clients, such as time-outs.
    pub fn client_limits(&self) -> &ClientLimits {
        &self.client_limits
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<&Rc<ActiveConfiguration>> {
        self.active.as_ref()
    }

    /// Returns the version in force, or 0 if there is no configuration.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    /// Whether the leader has replied to the first question for the newest configuration, or that question has timed out,
    /// so that this node may serve clients.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns the reply to a peer that asks for a configuration newer than `version`. If there is none, the reply has
    /// version 0 and an empty body.
    pub fn newer_than(&self, version: u64) -> Reply {
        match &self.active {
            Some(active) if active.version > version => {
                Reply::Configuration { version: active.version, body: active.body.to_vec() }
            }
            _ => Reply::Configuration { version: 0, body: Vec::new() },
        }
    }

    /// Starts a fetch of a newer configuration and returns when it times out; `None` while another fetch is in progress.
    fn begin_fetch(&mut self, now: Instant) -> Option<Instant> {
        if self.fetch_ends.is_some_and(|ends| now < ends) {
            return None;
        }
        self.fetch_ends = Some(now + FETCH_TIMEOUT);
        self.fetch_ends
    }

    /// Puts a configuration in force if it is valid and newer. Returns whether it did.
    fn activate(&mut self, version: u64, body: Arc<[u8]>) -> bool {
        if self.active.as_ref().is_some_and(|active| active.version >= version) {
            return false;
        }
        let configuration = match Configuration::read(&body) {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!(version, %error, "configuration unreadable");
                return false;
            }
        };
        info!(version, "configuration in force");
        let limits = configuration.limits;
        self.client_limits = limits;
        self.http_limits.most_head = limits.max_header_bytes as usize;
        self.http_limits.most_body = limits.max_body_bytes as usize;
        let routes = Rc::new(Routes::new(configuration));
        self.active = Some(Rc::new(ActiveConfiguration { version, body, routes }));
        true
    }
}

/// The node that a configuration was fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchSource {
    /// The leader of the configuration partition, while it held its lease.
    Leader,
    /// A peer that announced a newer configuration.
    Peer,
}

impl Node {
    /// Puts a configuration in force on this node if it is newer than the present one.
    pub(crate) fn activate_configuration(&mut self, version: u64, body: Arc<[u8]>) {
        if self.configuration.activate(version, body) {
            self.registry.set_configuration_version(version);
            self.routing_changed = true;
            self.set_routes_of_jobs();
        }
    }

    /// Fetches the configuration of a peer that announced a newer one.
    pub(crate) fn configuration_behind(&mut self, peer: SocketAddrV4) {
        let Some(until) = self.configuration.begin_fetch(self.now) else { return };
        let call = Call::FetchConfiguration { newer_than: self.configuration.version() };
        self.call_node(peer, call, until, Continuation::Configuration(FetchSource::Peer));
    }

    /// Asks the leader for the newest configuration. Called when the node starts.
    pub(crate) fn request_leader_configuration(&mut self) {
        let until = self.now + LEADER_REPLY_TIMEOUT;
        let continuation = Continuation::Configuration(FetchSource::Leader);
        self.call_leader(CONFIGURATION_PARTITION, Call::ShowConfiguration, until, continuation);
    }

    /// Handles the reply to a fetch, which may be that there is no configuration or no leader.
    pub(crate) fn fetched_configuration(&mut self, reply: Reply, source: FetchSource) {
        match source {
            // Without a reply from the leader the node serves by the configuration of its peers.
            FetchSource::Leader => self.configuration.confirmed = true,
            FetchSource::Peer => self.configuration.fetch_ends = None,
        }
        if let Reply::Configuration { version, body } = reply
            && version > 0
        {
            self.activate_configuration(version, Arc::from(body));
        }
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version()
    }
}

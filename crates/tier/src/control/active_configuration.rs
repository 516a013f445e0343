//! The operator's configuration as this node serves by it, and how it gets here from its leader.
//!
//! `ServedConfiguration` owns the configuration in force, the limits that follow from it, and the state of fetching a newer
//! one. Versions only rise within one incarnation of the process.

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

/// A peer that announced a newer configuration sends it within this.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// A node that starts asks the leader for this long; then what the peers have must do.
const PROOF_TIMEOUT: Duration = Duration::from_millis(2500);

/// A configuration in force.
pub struct ActiveConfiguration {
    /// Its version.
    pub version: u64,
    /// Its bytes, exactly as the operator sent them.
    pub body: Arc<[u8]>,
    /// Its routes.
    pub routes: Rc<Routes>,
}

/// The routes of a configuration, shared with the requests that are under way.
pub struct Routes {
    table: RouteTable,
    shared: Vec<Rc<Route>>,
}

impl Routes {
    /// The routes of a configuration.
    pub fn new(configuration: Configuration) -> Routes {
        let table = RouteTable::new(Arc::new(configuration));
        let shared = table.configuration().routes.iter().cloned().map(Rc::new).collect();
        Routes { table, shared }
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.shared.get(self.table.find_index(host, path)?).cloned()
    }

    /// The bulk route that the request of an item matches. Guards against items at the service of another route, which an
    /// item's request must not reach, whatever the routes are called.
    pub fn bulk(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.at(self.bulk_route(host, path)?)
    }

    /// A route by its index.
    pub fn at(&self, index: RouteIndex) -> Option<&Rc<Route>> {
        self.shared.get(index.0)
    }

    /// The bulk routes of this name. Several may have it.
    pub fn bulk_named(&self, name: &str) -> impl Iterator<Item = RouteIndex> {
        self.bulk_routes().filter(move |(_, route)| route.name.as_str() == name).map(|(index, _)| index)
    }

    /// All bulk routes.
    pub fn bulk_routes(&self) -> impl Iterator<Item = (RouteIndex, &Rc<Route>)> {
        let routes = self.shared.iter().enumerate().map(|(index, route)| (RouteIndex(index), route));
        routes.filter(|(_, route)| route.route_type == RouteType::Bulk)
    }

    /// The complete configuration.
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
    /// The limits on heads and bodies.
    http_limits: Limits,
    /// The other limits for clients.
    client_limits: ClientLimits,
    /// Whether the leader was asked for the newest configuration, and answered or did not for long.
    proven: bool,
    /// A peer is asked for its newer configuration until then.
    fetch_ends: Option<Instant>,
}

impl ServedConfiguration {
    /// None yet: clients are served by these limits until one is in force.
    pub fn new(http_limits: Limits) -> ServedConfiguration {
        ServedConfiguration {
            active: None,
            http_limits,
            client_limits: ClientLimits::default(),
            proven: false,
            fetch_ends: None,
        }
    }

    /// The limits on heads and bodies of clients and executors.
    pub fn http_limits(&self) -> &Limits {
        &self.http_limits
    }

    /// The time-outs of clients.
    pub fn client_limits(&self) -> &ClientLimits {
        &self.client_limits
    }

    /// The configuration in force.
    pub fn active(&self) -> Option<&Rc<ActiveConfiguration>> {
        self.active.as_ref()
    }

    /// The version in force; 0 before there is one.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    /// Whether the leader's answer, or its absence for long, allows this node to serve.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// The configuration in force if it is newer than a version, as a reply to a peer; version 0 and empty if it is not.
    pub fn newer_than(&self, version: u64) -> Reply {
        match &self.active {
            Some(active) if active.version > version => {
                Reply::Configuration { version: active.version, body: active.body.to_vec() }
            }
            _ => Reply::Configuration { version: 0, body: Vec::new() },
        }
    }

    /// Begins to fetch a newer configuration; `None` while another fetch goes on. Until when it may last.
    fn begin_fetch(&mut self, now: Instant) -> Option<Instant> {
        if self.fetch_ends.is_some_and(|ends| now < ends) {
            return None;
        }
        self.fetch_ends = Some(now + FETCH_TIMEOUT);
        self.fetch_ends
    }

    /// Puts a configuration in force if it is newer; whether it is in force now.
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

/// Where a fetched configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchSource {
    /// The leader of the configuration, under its lease.
    Leader,
    /// A peer that had a newer one.
    Peer,
}

impl Node {
    /// Puts a committed configuration in force, if it is newer.
    pub(crate) fn activate_configuration(&mut self, version: u64, body: Arc<[u8]>) {
        if self.configuration.activate(version, body) {
            self.registry.set_configuration_version(version);
            self.routing_changed = true;
            self.set_routes_of_jobs();
        }
    }

    /// A peer has a newer configuration.
    pub(crate) fn configuration_behind(&mut self, peer: SocketAddrV4) {
        let Some(until) = self.configuration.begin_fetch(self.now) else { return };
        let call = Call::FetchConfiguration { newer_than: self.configuration.version() };
        self.call_node(peer, call, until, Continuation::Configuration(FetchSource::Peer));
    }

    /// Asks the leader for the newest configuration: what a node serves by when it starts.
    pub(crate) fn prove_configuration(&mut self) {
        let until = self.now + PROOF_TIMEOUT;
        let continuation = Continuation::Configuration(FetchSource::Leader);
        self.call_leader(CONFIGURATION_PARTITION, Call::ShowConfiguration, until, continuation);
    }

    /// A configuration has come, or the reply that there is none.
    pub(crate) fn fetched_configuration(&mut self, reply: Reply, source: FetchSource) {
        match source {
            // Without a leader for so long, what the peers have must do.
            FetchSource::Leader => self.configuration.proven = true,
            FetchSource::Peer => self.configuration.fetch_ends = None,
        }
        if let Reply::Configuration { version, body } = reply
            && version > 0
        {
            self.activate_configuration(version, Arc::from(body));
        }
    }

    /// The version in force; 0 before there is one.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version()
    }
}

//! The operator's configuration as this node serves by it, and how it gets here from its leader.

use crate::control::api::CONFIGURATION_PARTITION;
use crate::links::calls::Continuation;
use crate::links::messages::{Call, Reply};
use crate::node::Node;
use grebeusher_configuration::configuration::{Configuration, Route};
use grebeusher_configuration::routes::RouteTable;
use grebeusher_time::Duration;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use tracing::{info, warn};

/// A peer that tells of a newer configuration hands it over within this.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// A node that starts asks the leader for this long; then what peers say has to do.
const PROOF_TIMEOUT: Duration = Duration::from_millis(2500);

/// A configuration in force.
pub struct ActiveConfiguration {
    /// Its version.
    pub version: u64,
    /// Its bytes, exactly as the operator sent them.
    pub body: Arc<[u8]>,
    /// Its routes.
    pub routes: Routes,
}

/// The routes of a configuration, shared with the requests that are under way.
pub struct Routes {
    table: RouteTable,
    shared: Vec<Rc<Route>>,
}

impl Routes {
    fn new(configuration: Configuration) -> Routes {
        let table = RouteTable::new(Arc::new(configuration));
        let shared = table.configuration().routes.iter().cloned().map(Rc::new).collect();
        Routes { table, shared }
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.shared.get(self.table.find_index(host, path)?).cloned()
    }

    /// The whole configuration.
    pub fn configuration(&self) -> &Configuration {
        self.table.configuration()
    }
}

impl Node {
    /// Puts a committed configuration in force, if it is newer: within one life versions only rise.
    pub fn activate_configuration(&mut self, version: u64, body: Arc<[u8]>) {
        if self.configuration.as_ref().is_some_and(|active| active.version >= version) {
            return;
        }
        let configuration = match Configuration::read(&body) {
            Ok(configuration) => configuration,
            Err(error) => return warn!("configuration {version} can't be read: {error}"),
        };
        info!("configuration {version} in force");
        self.client_limits = configuration.limits;
        self.http_limits.most_head = configuration.limits.max_header_bytes as usize;
        self.http_limits.most_body = configuration.limits.max_body_bytes as usize;
        let routes = Routes::new(configuration);
        self.configuration = Some(Rc::new(ActiveConfiguration { version, body, routes }));
        self.registry.set_configuration_version(version);
        self.routing_changed = true;
    }

    /// A peer has a newer configuration.
    pub fn configuration_behind(&mut self, peer: SocketAddrV4) {
        let now = self.now;
        if self.fetching.is_some_and(|until| now < until) {
            return;
        }
        self.fetching = Some(now + FETCH_TIMEOUT);
        let newer_than = self.configuration_version();
        let call = Call::FetchConfiguration { newer_than };
        self.call_node(peer, call, now + FETCH_TIMEOUT, Continuation::Configuration);
    }

    /// Asks the leader for the newest configuration: what a node serves by when it starts.
    pub fn prove_configuration(&mut self) {
        let until = self.now + PROOF_TIMEOUT;
        self.call_leader(
            CONFIGURATION_PARTITION,
            Call::ShowConfiguration,
            until,
            Continuation::FirstConfiguration,
        );
    }

    /// A configuration has come from a peer or, `proven`, from the leader.
    pub fn fetched_configuration(&mut self, reply: Reply, proven: bool) {
        if proven {
            // Without a leader for so long, what the peers have must do.
            self.configuration_proven = true;
        } else {
            self.fetching = None;
        }
        if let Reply::Configuration { version, body } = reply
            && version > 0
        {
            self.activate_configuration(version, Arc::from(body));
        }
    }

    /// The version in force; 0 before there is one.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |active| active.version)
    }
}

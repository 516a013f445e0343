//! Finds the route of a request by the host and path, and picks the service of a request by the weights of the route.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Route};
use crate::names::{HostName, ServiceName};

/// The routes of one configuration, arranged for fast lookups.
///
/// A lookup finds the prefixes of the host in a hash table, and runs a binary search for the path among them. From the
/// prefix that it finds, it goes on to the longest other prefix with which that one begins, and so on, until a prefix
/// of the path is found.
#[derive(Clone, Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<HostName, HostRoutes>,
}

/// The routes of one host, sorted by prefix.
#[derive(Clone, Debug, Default)]
struct HostRoutes(Vec<PrefixNode>);

#[derive(Clone, Copy, Debug)]
struct PrefixNode {
    /// The index of the route among the routes of the configuration.
    route: usize,
    /// The index, among the routes of the same host, of the longest other prefix with which this prefix begins.
    parent: Option<usize>,
}

impl RouteTable {
    /// Builds the table of the routes of a configuration.
    pub fn new(configuration: Arc<Configuration>) -> RouteTable {
        let mut hosts: HashMap<HostName, HostRoutes> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let nodes = &mut hosts.entry(route.hostname.clone()).or_default().0;
            nodes.push(PrefixNode { route: index, parent: None });
        }
        for routes in hosts.values_mut() {
            routes.sort_and_link(&configuration.routes);
        }
        RouteTable { configuration, hosts }
    }

    /// Returns the configuration from which the table was built.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Finds the route of a request. Among the routes of the host, it is the one with the longest prefix of the path.
    ///
    /// `host` is the value of the `Host` header, with or without a port, in upper or lower case. `path` is the target
    /// of the request; a query in it is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.configuration.routes.get(self.find_index(host, path)?)
    }

    /// Finds the route of a request like [`RouteTable::find`], and returns its index among the routes of the
    /// configuration.
    pub fn find_index(&self, host: &str, path: &str) -> Option<usize> {
        let host = bare_host(host);
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.hosts.get(host.as_ref())?.find(&self.configuration.routes, path)
    }
}

impl HostRoutes {
    fn sort_and_link(&mut self, routes: &[Route]) {
        let prefix = |node: &PrefixNode| routes[node.route].path_prefix.as_ref();
        self.0.sort_unstable_by(|left, right| prefix(left).cmp(prefix(right)));
        // In this order, a prefix is followed directly by all prefixes that begin with it. So when a prefix is reached,
        // all prefixes with which it begins are still on the stack.
        let mut ancestors: Vec<usize> = Vec::new();
        for index in 0..self.0.len() {
            let text = prefix(&self.0[index]);
            while ancestors.last().is_some_and(|last| !text.starts_with(prefix(&self.0[*last]))) {
                ancestors.pop();
            }
            self.0[index].parent = ancestors.last().copied();
            ancestors.push(index);
        }
    }

    fn find(&self, routes: &[Route], path: &str) -> Option<usize> {
        let prefix = |node: &PrefixNode| routes[node.route].path_prefix.as_ref();
        // All texts that lie in this order between a prefix of the path and the path itself begin with that prefix. So
        // the longest prefix of the path is the last one that is not greater than the path, or an ancestor of that one.
        let mut next = self.0.partition_point(|node| prefix(node) <= path).checked_sub(1);
        while let Some(node) = next.and_then(|index| self.0.get(index)) {
            if path.starts_with(prefix(node)) {
                return Some(node.route);
            }
            next = node.parent;
        }
        None
    }
}

impl Route {
    /// Picks the service of a request by the weights. The caller draws `point` uniformly from 0 (inclusive) to 1
    /// (exclusive).
    ///
    /// A service of weight 0 is never picked, whatever `point` is.
    pub fn pick_service(&self, point: f64) -> &ServiceName {
        self.traffic.pick(point)
    }
}

/// Returns a host in lower case and without its port. An IPv6 address keeps its brackets.
pub fn bare_host(host: &str) -> Cow<'_, str> {
    let host = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

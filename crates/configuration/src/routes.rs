//! Picks the route of a request by its host and path, and the service of a route by its weights.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Route};
use crate::names::{HostName, ServiceName};

/// The routes of one configuration, ready for look-ups.
///
/// A look-up hashes the host, searches its prefixes by halves, and then steps from a prefix to the next shorter
/// one that begins it, until one begins the path.
#[derive(Clone, Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<HostName, HostRoutes>,
}

/// The routes of one host, ordered by prefix.
#[derive(Clone, Debug, Default)]
struct HostRoutes(Vec<PrefixNode>);

#[derive(Clone, Copy, Debug)]
struct PrefixNode {
    /// The index of the route in the configuration.
    route: usize,
    /// The index in the same host of the longest other prefix that begins this one.
    parent: Option<usize>,
}

impl RouteTable {
    /// Orders the routes of a configuration.
    pub fn new(configuration: Arc<Configuration>) -> RouteTable {
        let mut hosts: HashMap<HostName, HostRoutes> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let nodes = &mut hosts.entry(route.hostname.clone()).or_default().0;
            nodes.push(PrefixNode { route: index, parent: None });
        }
        for routes in hosts.values_mut() {
            routes.order(&configuration.routes);
        }
        RouteTable { configuration, hosts }
    }

    /// The configuration that the table was built from.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The route of a request: of its host's routes, the one with the longest prefix that begins the path.
    ///
    /// `host` is the value of the `Host` header, with or without a port and in any case; `path` is the target of
    /// the request, of which a query is left out.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.configuration.routes.get(self.find_index(host, path)?)
    }

    /// The same, as its place among the configuration's routes.
    pub fn find_index(&self, host: &str, path: &str) -> Option<usize> {
        let host = bare_host(host);
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.hosts.get(host.as_ref())?.find(&self.configuration.routes, path)
    }
}

impl HostRoutes {
    fn order(&mut self, routes: &[Route]) {
        let prefix = |node: &PrefixNode| routes[node.route].path_prefix.as_ref();
        self.0.sort_unstable_by(|one, other| prefix(one).cmp(prefix(other)));
        // In this order, all that a prefix begins follow it, so its ancestors are still on the stack.
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
        // What stands between a prefix of the path and the path in this order begins with that prefix, so the
        // longest one is the last that isn't above the path, or an ancestor of it.
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
    /// The service that a request goes to, by the weights; `point` is drawn evenly from 0 to below 1.
    ///
    /// A service of weight 0 is never picked, whatever the point.
    pub fn pick_service(&self, point: f64) -> &ServiceName {
        self.traffic.pick(point)
    }
}

/// A host in lower case and without its port. An IPv6 address keeps its brackets.
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

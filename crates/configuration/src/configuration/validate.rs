//! Checks the routes and services of a configuration against one another.

use std::collections::HashSet;

use super::error::ConfigurationError;
use super::model::{Configuration, Route};
use crate::names::ServiceName;

/// Checks rules that involve several fields: that service names are unique, that routes name known services, and that
/// each host and prefix has one route. Also checks the slashes of each prefix.
pub(super) fn configuration(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let services = service_names(configuration)?;
    let mut seen = HashSet::with_capacity(configuration.routes.len());
    for route in &configuration.routes {
        check_prefix(route)?;
        check_services(route, &services)?;
        if !seen.insert((&route.hostname, &route.path_prefix)) {
            let path_prefix = route.path_prefix.to_string();
            return Err(ConfigurationError::DuplicateRoute { hostname: route.hostname.clone(), path_prefix });
        }
    }
    Ok(())
}

fn service_names(configuration: &Configuration) -> Result<HashSet<&ServiceName>, ConfigurationError> {
    let mut names = HashSet::with_capacity(configuration.services.len());
    match configuration.services.iter().find(|service| !names.insert(&service.name)) {
        Some(service) => Err(ConfigurationError::DuplicateService { service: service.name.clone() }),
        None => Ok(names),
    }
}

fn check_prefix(route: &Route) -> Result<(), ConfigurationError> {
    if route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/') {
        Ok(())
    } else {
        Err(ConfigurationError::Prefix { route: route.name.clone() })
    }
}

fn check_services(route: &Route, services: &HashSet<&ServiceName>) -> Result<(), ConfigurationError> {
    match route.traffic.shares().iter().find(|share| !services.contains(&share.service)) {
        Some(share) => Err(ConfigurationError::UnknownService {
            route: route.name.clone(),
            service: share.service.clone(),
        }),
        None => Ok(()),
    }
}

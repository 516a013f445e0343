//! Checks of routes and services against one another.

use std::collections::HashSet;

use super::error::ConfigurationError;
use super::model::{Configuration, Route};
use crate::names::ServiceName;

/// Checks what single fields cannot show: unique names, known services, and one route per host and prefix.
pub(super) fn configuration(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let services = service_names(configuration)?;
    let mut seen = HashSet::with_capacity(configuration.routes.len());
    for route in &configuration.routes {
        prefix(route)?;
        known_services(route, &services)?;
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

fn prefix(route: &Route) -> Result<(), ConfigurationError> {
    if route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/') {
        Ok(())
    } else {
        Err(ConfigurationError::Prefix { route: route.name.clone() })
    }
}

fn known_services(route: &Route, services: &HashSet<&ServiceName>) -> Result<(), ConfigurationError> {
    match route.traffic.shares().iter().find(|target| !services.contains(&target.service)) {
        Some(target) => Err(ConfigurationError::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        }),
        None => Ok(()),
    }
}

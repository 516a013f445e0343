//! Checks of a configuration's parts against one another.

use std::collections::HashSet;

use super::{Configuration, Invalid, Route};
use crate::names::ServiceName;

pub(super) fn whole(configuration: &Configuration) -> Result<(), Invalid> {
    let services = service_names(configuration)?;
    let mut places = HashSet::with_capacity(configuration.routes.len());
    for route in &configuration.routes {
        prefix(route)?;
        known_services(route, &services)?;
        if !places.insert((&route.hostname, &route.path_prefix)) {
            let path_prefix = route.path_prefix.to_string();
            return Err(Invalid::SamePlace { hostname: route.hostname.clone(), path_prefix });
        }
    }
    Ok(())
}

fn service_names(configuration: &Configuration) -> Result<HashSet<&ServiceName>, Invalid> {
    let mut names = HashSet::with_capacity(configuration.services.len());
    match configuration.services.iter().find(|service| !names.insert(&service.name)) {
        Some(service) => Err(Invalid::ServiceTwice { service: service.name.clone() }),
        None => Ok(names),
    }
}

fn prefix(route: &Route) -> Result<(), Invalid> {
    if route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/') {
        Ok(())
    } else {
        Err(Invalid::Prefix { route: route.name.clone() })
    }
}

fn known_services(route: &Route, services: &HashSet<&ServiceName>) -> Result<(), Invalid> {
    match route.traffic.shares().iter().find(|target| !services.contains(&target.service)) {
        Some(target) => {
            Err(Invalid::UnknownService { route: route.name.clone(), service: target.service.clone() })
        }
        None => Ok(()),
    }
}

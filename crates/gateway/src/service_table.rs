//! The table of services, which finds them by key and by name. Services are never removed.

use crate::config::GatewayConfig;
use crate::ids::ServiceId;
use crate::service::Service;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// All services. Their names come from the configuration and from the executors in the registry, and both limit their
/// number.
#[derive(Default)]
pub(crate) struct ServiceTable {
    services: Vec<Service>,
    by_name: FxHashMap<Arc<str>, ServiceId>,
}

impl ServiceTable {
    /// The key of a service name. A service that is not in the table yet is added.
    pub fn id_of(&mut self, name: &str, config: &GatewayConfig) -> ServiceId {
        if let Some(id) = self.by_name.get(name) {
            return *id;
        }
        let service = Service::new(name, config);
        let id = ServiceId(self.services.len() as u32);
        self.by_name.insert(service.name.clone(), id);
        self.services.push(service);
        id
    }

    pub fn get(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id.0 as usize)
    }

    pub fn get_mut(&mut self, id: ServiceId) -> Option<&mut Service> {
        self.services.get_mut(id.0 as usize)
    }
}

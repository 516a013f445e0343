//! The routing state of one node, and its updates from the configuration and the registry. Each kind of decision and
//! each kind of observation has a module of its own, which adds methods to [`Gateway`].

use crate::attempt_accounting::OpenAttempt;
use crate::candidate::Candidate;
use crate::config::GatewayConfig;
use crate::decision::DecisionCounters;
use crate::executor::{Executor, ExecutorDescriptor, LaneEffect};
use crate::executor_table::ExecutorTable;
use crate::failure_accrual::ExecutorFault;
use crate::ids::{ExecutorId, ServiceId, ZoneKey};
use crate::liveness::LivenessCheck;
use crate::prefix_demand::PrefixDemand;
use crate::prefix_details::PrefixDetailsTable;
use crate::service::ServiceSettings;
use crate::service_table::ServiceTable;
use crate::slot_map::SlotMap;
use grebeusher_prefix_popularity::PopularityEstimator;
use grebeusher_time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The greatest number of open attempts that are counted. No node has file descriptors for as many.
const MAX_OPEN_ATTEMPTS: usize = 16_384;

/// Makes the routing decisions of one node. The documentation of the crate describes them.
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    pub(crate) zone: ZoneKey,
    /// The number of nodes among which the connections of an executor are divided, at least 1.
    pub(crate) node_count: u32,
    pub(crate) rng: Pcg32,
    pub(crate) executors: ExecutorTable,
    pub(crate) services: ServiceTable,
    pub(crate) attempts: SlotMap<OpenAttempt>,
    pub(crate) liveness: LivenessCheck,
    pub(crate) decisions: DecisionCounters,
    pub(crate) prefix_demand: PrefixDemand,
    /// The estimate of prefix popularity that the nodes share, if they share one.
    pub(crate) popularity: Option<PopularityEstimator>,
    pub(crate) prefix_details: PrefixDetailsTable,
    /// The candidates of the latest request. The buffer is reused between decisions to save allocations.
    pub(crate) candidate_buffer: Vec<Candidate>,
}

impl Gateway {
    /// Creates a gateway without executors for a node in `zone`. `seed` determines its random picks.
    pub fn new(config: GatewayConfig, zone: ZoneKey, seed: u64) -> Gateway {
        Gateway {
            config,
            zone,
            node_count: 1,
            rng: Pcg32::seed_from_u64(seed),
            executors: ExecutorTable::default(),
            services: ServiceTable::default(),
            attempts: SlotMap::with_limit(MAX_OPEN_ATTEMPTS),
            liveness: LivenessCheck::default(),
            decisions: DecisionCounters::default(),
            prefix_demand: PrefixDemand::default(),
            popularity: None,
            prefix_details: PrefixDetailsTable::default(),
            candidate_buffer: Vec::new(),
        }
    }

    /// Sets the number of nodes, including this one, among which the connections of an executor are divided.
    pub fn set_node_count(&mut self, node_count: u32) {
        self.node_count = node_count.max(1);
    }

    /// Sets the settings of a service. The key of a service name never changes.
    pub fn set_service_settings(&mut self, name: &str, settings: ServiceSettings) -> ServiceId {
        let id = self.service_id(name);
        if let Some(service) = self.services.get_mut(id).filter(|service| service.settings != settings) {
            service.settings = settings;
            for member in &service.members {
                if let Some(executor) = self.executors.get_mut(*member) {
                    executor.prefix_cache.set_capacity(settings.kv_capacity_tokens);
                }
            }
        }
        id
    }

    /// The key of a service name. A service that is not in the table yet is added.
    pub fn service_id(&mut self, name: &str) -> ServiceId {
        self.services.id_of(name, &self.config)
    }

    /// Adds an executor, or updates it to its new description. Its key stays the same until it is removed.
    pub fn upsert_executor(&mut self, descriptor: &ExecutorDescriptor<'_>) -> ExecutorId {
        let service = self.service_id(descriptor.service);
        let Some(id) = self.find_executor(descriptor.instance_id) else {
            return self.insert(service, descriptor);
        };
        let known = self.executors.get_mut(id).filter(|executor| executor.service == service);
        let Some(executor) = known else {
            // The executor now belongs to another service.
            self.remove_executor(id);
            return self.insert(service, descriptor);
        };
        if executor.update(descriptor) == LaneEffect::Stale
            && let Some(service) = self.services.get_mut(service)
        {
            service.are_lanes_stale = true;
        }
        id
    }

    /// Adds an executor that is not in the table.
    fn insert(&mut self, service_id: ServiceId, descriptor: &ExecutorDescriptor<'_>) -> ExecutorId {
        let id = self.executors.insert_with(|id| Executor::new(id, service_id, descriptor));
        let Some(service) = self.services.get_mut(service_id) else { return id };
        service.members.push(id);
        service.are_lanes_stale = true;
        if let Some(executor) = self.executors.get_mut(id) {
            executor.prefix_cache.set_capacity(service.settings.kv_capacity_tokens);
        }
        id
    }

    /// Removes an executor. Attempts that are open there may still end afterwards, whatever their outcome.
    pub fn remove_executor(&mut self, id: ExecutorId) {
        let Some(executor) = self.executors.remove(id) else { return };
        if let Some(service) = self.services.get_mut(executor.service) {
            service.members.retain(|member| *member != id);
            service.are_lanes_stale = true;
        }
    }

    /// The key of the executor with an `instance_id`.
    pub fn find_executor(&self, instance_id: &str) -> Option<ExecutorId> {
        self.executors.find(instance_id)
    }

    /// Whether a request that was routed to an executor a moment ago may still start there. It is meant to be checked
    /// right before the first byte is written, because the executor may have started to drain while the request waited
    /// for a connection.
    pub fn accepts_requests(&self, id: ExecutorId) -> bool {
        self.executors.get(id).is_some_and(|executor| !executor.is_draining())
    }

    /// Records a fault of an executor that does not end an attempt, for example a connection that could not be
    /// established before there was a request to send.
    pub fn record_fault(&mut self, now: Instant, id: ExecutorId, fault: ExecutorFault) {
        let jitter = self.rng.random::<f64>();
        if let Some(executor) = self.executors.get_mut(id) {
            executor.failures.record(now, fault, jitter);
            if fault == ExecutorFault::Misdirected {
                executor.prefix_cache.clear();
            }
        }
    }
}
